//! Decides which requests are to blame for the ends of targets, and how long they are held.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use super::Fingerprint;
use super::record::{ENDS_TO_HOLD, RequestRecord, further_ends, hold_duration};
use crate::ids::TargetStart;

/// How long a request is held at first while it may not be to blame. The next attempts will show.
const UNCERTAIN_HOLD: Duration = Duration::from_secs(2);
/// Each end beyond `ENDS_TO_HOLD` multiplies a doubtful hold by this. After three ends more it is as
/// long as any other.
const DOUBTFUL_HOLD_FACTOR: u32 = 8;
/// Two requests can't be distinguished if their numbers of ends differ by no more than this, as a
/// target may have terminated for an unrelated reason.
const RIVAL_MARGIN_ENDS: usize = 1;
/// Largest number of suspects that are compared to assign blame.
const MAX_RANKED_SUSPECTS: usize = 64;

type Records = HashMap<Fingerprint, RequestRecord>;

/// A request with enough ends to be held.
struct Suspect {
    fingerprint: Fingerprint,
    /// Its uncleared ends, whichever request they are attributed to.
    ends: usize,
}

/// The ends attributed to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Blame {
    pub(super) ends: usize,
    pub(super) certainty: Certainty,
}

/// How certain it is that a request terminated the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    Certain,
    /// The request has been answered before, or a request that has been answered before explains most
    /// ends and has others.
    Doubtful,
    /// Another request with about as many ends explains most of them.
    Indistinguishable,
}

/// Why a request is held, as pairs of a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldReason {
    /// The ends attributed to the request.
    pub(super) ends: usize,
    pub(super) certainty: Certainty,
    /// All targets with uncleared ends.
    pub(super) targets: Vec<TargetStart>,
}

/// Attributes each end to a single request, and returns the requests that are to blame.
///
/// A target that ends breaks the runs of many requests, and frequent requests soon have run on
/// several such targets. Ends are attributed first to the request with the most of them, or with the
/// shortest runs if there are several, then the remaining ends in the same way. Requests that have
/// been answered before come last. If the wrong request is held, the right one soon has one end more,
/// and the wrong one is released.
pub(super) fn assign(requests: &Records) -> HashMap<Fingerprint, Blame> {
    let suspects = ranked_suspects(requests);
    let attributed = attribute_ends(requests, &suspects);
    let blame = |(fingerprint, ends): (&Fingerprint, &usize)| {
        let certainty = certainty(requests, *fingerprint, &suspects, &attributed);
        (*fingerprint, Blame { ends: *ends, certainty })
    };
    attributed.iter().map(blame).collect()
}

/// The suspects that are blamed, with the number of ends attributed to each.
fn attribute_ends(requests: &Records, suspects: &[Suspect]) -> HashMap<Fingerprint, usize> {
    let mut explained = HashSet::new();
    let mut attributed = HashMap::new();
    for suspect in suspects {
        let record = &requests[&suspect.fingerprint];
        let ends = record.counted_ends(|target| explained.contains(target));
        if ends >= ENDS_TO_HOLD {
            explained.extend(record.uncleared_ends().map(|(target, _)| target));
            attributed.insert(suspect.fingerprint, ends);
        }
    }
    attributed
}

/// How certain it is that a blamed request is the cause of the ends `attributed` to it.
fn certainty(
    requests: &Records,
    fingerprint: Fingerprint,
    suspects: &[Suspect],
    attributed: &HashMap<Fingerprint, usize>,
) -> Certainty {
    let record = &requests[&fingerprint];
    let explains_most = |other: &&Suspect| {
        let other_record = &requests[&other.fingerprint];
        other.fingerprint != fingerprint
            && record.counted_ends(|target| other_record.has_uncleared_end(target)) < ENDS_TO_HOLD
    };
    let mut certainty = if record.was_answered { Certainty::Doubtful } else { Certainty::Certain };
    for other in suspects.iter().filter(explains_most) {
        let was_other_answered = requests[&other.fingerprint].was_answered;
        if was_other_answered && !record.was_answered {
            // Only ends that nothing else explains show that it terminates targets now.
            if attributed.contains_key(&other.fingerprint) {
                certainty = Certainty::Doubtful;
            }
        } else if other.ends + RIVAL_MARGIN_ENDS >= attributed[&fingerprint] {
            return Certainty::Indistinguishable;
        }
    }
    certainty
}

/// Requests with enough ends to be held, in the order in which they are blamed.
fn ranked_suspects(requests: &Records) -> Vec<Suspect> {
    let suspects = requests.iter().map(|(fingerprint, record)| Suspect {
        fingerprint: *fingerprint,
        ends: record.counted_ends(|_| false),
    });
    let mut suspects: Vec<_> = suspects.filter(|suspect| suspect.ends >= ENDS_TO_HOLD).collect();
    suspects.sort_unstable_by_key(|suspect| {
        let total_run_ms = requests[&suspect.fingerprint].total_run_ms();
        (Reverse(suspect.ends), total_run_ms, suspect.fingerprint)
    });
    suspects.truncate(MAX_RANKED_SUSPECTS);
    suspects.sort_by_key(|suspect| requests[&suspect.fingerprint].was_answered);
    suspects
}

impl Blame {
    /// How long the request is held after its last end.
    pub(super) fn hold_duration(self) -> Duration {
        let full_hold = hold_duration(self.ends);
        match self.certainty {
            Certainty::Certain => full_hold,
            Certainty::Doubtful => {
                let factor = DOUBTFUL_HOLD_FACTOR.saturating_pow(further_ends(self.ends));
                UNCERTAIN_HOLD.saturating_mul(factor).min(full_hold)
            }
            Certainty::Indistinguishable => UNCERTAIN_HOLD,
        }
    }
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let targets: Vec<String> = self.targets.iter().map(TargetStart::to_string).collect();
        let HoldReason { ends, certainty, .. } = self;
        write!(f, "ends={ends} certainty={certainty:?} targets={}", targets.join(","))
    }
}
