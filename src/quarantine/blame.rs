//! Decides which requests and prompt parts are to blame for the ends of targets, and how long requests
//! are held.
//!
//! Below, "request" also stands for a prompt part, that is for all requests that contain it.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use super::Fingerprint;
use super::record::{ENDS_TO_HOLD, RequestRecord, further_ends, hold_duration};
use crate::ids::TargetStart;

/// How long a request is held at first while it may not be to blame. The next attempts will show.
const UNCERTAIN_HOLD: Duration = Duration::from_secs(2);
/// A part of a prompt under which fewer targets ended is held as if it were doubtful. It may be shared by many
/// requests, which are all refused meanwhile, so that nothing would clear a part that is not to blame.
const TARGETS_TO_HOLD_PART_FULLY: usize = 4;
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
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Blame {
    pub(super) ends: usize,
    /// Targets that ended under it, also at the same time.
    targets: usize,
    /// Whether the request was answered before.
    is_doubtful: bool,
    /// Others that may be to blame in its place, as they explain most of its ends and have about as many.
    rivals: Vec<Fingerprint>,
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

impl Certainty {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Certainty::Certain => "certain",
            Certainty::Doubtful => "doubtful",
            Certainty::Indistinguishable => "indistinguishable",
        }
    }
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
        (*fingerprint, blame(requests, *fingerprint, *ends, &suspects, &attributed))
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

/// Determines what else may be the cause of the `ends` attributed to a request.
fn blame(
    requests: &Records,
    fingerprint: Fingerprint,
    ends: usize,
    suspects: &[Suspect],
    attributed: &HashMap<Fingerprint, usize>,
) -> Blame {
    let record = &requests[&fingerprint];
    let all_ends = record.counted_ends(|_| false);
    let mut blame = Blame {
        ends,
        targets: record.uncleared_ends().count(),
        is_doubtful: record.was_answered,
        rivals: Vec::new(),
    };
    for other in suspects.iter().filter(|other| other.fingerprint != fingerprint) {
        let other_record = &requests[&other.fingerprint];
        let unexplained = ends_apart(record, other_record);
        let explains_most = unexplained < ENDS_TO_HOLD && unexplained * 2 < all_ends;
        if !explains_most {
            continue;
        }
        if other_record.was_answered && !record.was_answered {
            // Only ends that nothing else explains show that it terminates targets now.
            if attributed.contains_key(&other.fingerprint) {
                blame.is_doubtful = true;
            }
            continue;
        }
        // Without the ends that both have. Ends that coincide hide part of a lead.
        let has_lead_apart = unexplained > ends_apart(other_record, record) + RIVAL_MARGIN_ENDS;
        if other.ends + RIVAL_MARGIN_ENDS >= ends && !has_lead_apart {
            blame.rivals.push(other.fingerprint);
        }
    }
    blame
}

/// Number of ends of a request that another one does not explain.
fn ends_apart(record: &RequestRecord, other: &RequestRecord) -> usize {
    record.counted_ends(|target| other.has_uncleared_end(target))
}

/// Requests with enough ends to be held, in the order in which they are blamed.
fn ranked_suspects(requests: &Records) -> Vec<Suspect> {
    let has_enough =
        |(_, record): &(&Fingerprint, &RequestRecord)| record.ends.len() >= ENDS_TO_HOLD;
    let suspects = requests.iter().filter(has_enough).map(|(fingerprint, record)| Suspect {
        fingerprint: *fingerprint,
        ends: record.counted_ends(|_| false),
    });
    let mut suspects: Vec<_> = suspects.filter(|suspect| suspect.ends >= ENDS_TO_HOLD).collect();
    suspects.sort_by_cached_key(|suspect| {
        let total_run_ms = requests[&suspect.fingerprint].total_run_ms();
        (Reverse(suspect.ends), total_run_ms, suspect.fingerprint)
    });
    suspects.truncate(MAX_RANKED_SUSPECTS);
    suspects.sort_by_key(|suspect| requests[&suspect.fingerprint].was_answered);
    suspects
}

/// What a blamed fingerprint names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Blamed {
    Request,
    Part,
}

impl Blame {
    /// How certain it is that the blamed request is the cause.
    pub(super) fn certainty(&self) -> Certainty {
        match (self.rivals.is_empty(), self.is_doubtful) {
            (false, _) => Certainty::Indistinguishable,
            (true, true) => Certainty::Doubtful,
            (true, false) => Certainty::Certain,
        }
    }

    /// How long a request that contains the blamed one, and everything else in `contained`, is held after
    /// the last end.
    ///
    /// The run of a request that contains only some of those that can't be distinguished will tell them apart.
    /// That of a request that contains all of them would only terminate one more target.
    pub(super) fn hold_duration(&self, blamed: Blamed, contained: &[Fingerprint]) -> Duration {
        let full_hold = hold_duration(self.ends);
        if !self.rivals.iter().all(|rival| contained.contains(rival)) {
            return UNCERTAIN_HOLD;
        }
        let has_few_ends = blamed == Blamed::Part && self.targets < TARGETS_TO_HOLD_PART_FULLY;
        if !self.is_doubtful && !has_few_ends {
            return full_hold;
        }
        let factor = DOUBTFUL_HOLD_FACTOR.saturating_pow(further_ends(self.ends));
        UNCERTAIN_HOLD.saturating_mul(factor).min(full_hold)
    }
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let targets: Vec<String> = self.targets.iter().map(TargetStart::to_string).collect();
        let HoldReason { ends, certainty, .. } = self;
        let certainty = certainty.name();
        write!(f, "ends={ends} certainty={certainty} targets={}", targets.join(","))
    }
}
