//! The record of one request: the targets that ended during its runs.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Fingerprint, Revision};
use crate::clock::BootTime;
use crate::ids::TargetStart;

/// A request with this many ends is held. Ends that coincide count once.
pub(super) const ENDS_TO_HOLD: usize = 3;
/// A request with this many ends is a suspect. Suspects are reported to all processes, so that a
/// complete answer at any of them clears the request.
pub(super) const ENDS_TO_SUSPECT: usize = ENDS_TO_HOLD - 1;
/// Ends within this time of each other count once if the request was already running on both
/// targets: hosts that lose power together take down many targets that ran the same frequent
/// request.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(100);
/// How long a request is held at first. Each further end doubles this.
const INITIAL_HOLD: Duration = Duration::from_secs(600);
/// Longest time for which a request is held.
const MAX_HOLD: Duration = Duration::from_secs(24 * 3600);
/// Ends are retained for this multiple of the hold time, so that a request that causes another end
/// after its hold is held for longer.
const RETENTION_HOLDS: u32 = 2;
/// How long a request without uncleared ends is retained, as delayed reports may still mention it.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// Largest number of ends retained per request; the oldest are dropped first.
const MAX_ENDS_PER_REQUEST: usize = 16;

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RequestRecord {
    /// Ends by target. They are added and cleared but not removed, until the request expires or has
    /// more than `MAX_ENDS_PER_REQUEST`.
    pub(super) ends: BTreeMap<TargetStart, TargetEnd>,
    /// Whether the request got a complete answer, shortly before its ends or after one of them. It
    /// does not terminate each target that runs it.
    pub(super) was_answered: bool,
    /// Revision and time of the last change to this record.
    pub(super) last_change: (Revision, BootTime),
    /// Revision of the last change that other replicas may not know of.
    pub(super) last_news: Revision,
    /// Revision of the last change that may begin, lengthen or end a hold.
    pub(super) last_hold_change: Revision,
}

/// The end of a target during a run of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetEnd {
    /// When, in milliseconds since this host's boot; negative if before. The earliest of all
    /// reported times.
    at_ms: i64,
    /// How long the request had been running there. The longest of all reported times, so that all
    /// processes agree.
    pub(super) lasted_ms: i64,
    /// Whether the request got a complete answer later, which shows that it was not the cause.
    pub(super) is_cleared: bool,
}

/// A report about one request, from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub fingerprint: Fingerprint,
    /// The targets that ended during its runs.
    pub ends: Vec<ReportedEnd>,
    /// Whether it got a complete answer, shortly before its ends or after one of them.
    pub was_answered: bool,
}

/// The end of a target, as reported to another process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedEnd {
    pub target: TargetStart,
    /// Time since the end. An age, as hosts have different clocks.
    pub age: Duration,
    /// How long the request had been running there.
    pub lasted: Duration,
    /// Whether the request got a complete answer later.
    pub is_cleared: bool,
}

/// How a record has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Change {
    Unchanged,
    /// Only how long runs lasted.
    Durations,
    /// Which targets have ended, or that there was an answer.
    Ends,
}

impl RequestRecord {
    /// Adds what another process reports, except for the last change.
    pub(super) fn merge(&mut self, report: Report, now: BootTime) -> Change {
        let mut change = Change::Unchanged;
        let mut added = Vec::new();
        if report.was_answered && !self.was_answered {
            self.was_answered = true;
            change = Change::Ends;
        }
        for reported in report.ends {
            let reported_end = TargetEnd {
                at_ms: ms(now).saturating_sub(ms(reported.age)),
                lasted_ms: ms(reported.lasted),
                is_cleared: reported.is_cleared,
            };
            match self.ends.get_mut(&reported.target) {
                Some(known) => change = change.max(known.merge(reported_end)),
                None => {
                    added.push(reported.target.clone());
                    self.ends.insert(reported.target, reported_end);
                }
            }
        }
        while self.ends.len() > MAX_ENDS_PER_REQUEST {
            let Some(dropped) = self.drop_oldest_end() else { break };
            match added.iter().position(|target| *target == dropped) {
                Some(position) => drop(added.swap_remove(position)),
                None => change = Change::Ends,
            }
        }
        if added.is_empty() { change } else { Change::Ends }
    }

    fn drop_oldest_end(&mut self) -> Option<TargetStart> {
        let (oldest, _) = self.ends.iter().min_by_key(|(_, end)| end.at_ms)?;
        let oldest = oldest.clone();
        self.ends.remove(&oldest);
        Some(oldest)
    }

    /// Whether several targets have ended during its runs, for whatever reason.
    pub(super) fn is_suspect(&self) -> bool {
        self.ends.len() >= ENDS_TO_SUSPECT
    }

    /// Whether all entries are told of it, so that an answer at any of them clears it.
    pub(super) fn is_told(&self) -> bool {
        self.uncleared_ends().count() >= ENDS_TO_SUSPECT
    }

    /// Whether it may have enough ends to be held; some of them may coincide.
    pub(super) fn may_be_held(&self) -> bool {
        self.uncleared_ends().count() >= ENDS_TO_HOLD
    }

    /// Records a complete answer at `completed_at_ms`, which clears the ends before.
    pub(super) fn merge_completion(&mut self, completed_at_ms: i64) -> Change {
        let mut has_changed = !std::mem::replace(&mut self.was_answered, true);
        for end in self.ends.values_mut().filter(|end| end.at_ms < completed_at_ms) {
            has_changed |= !std::mem::replace(&mut end.is_cleared, true);
        }
        if has_changed { Change::Ends } else { Change::Unchanged }
    }

    /// Whether the target ended during a run of the request, and this was not cleared.
    pub(super) fn has_uncleared_end(&self, target: &TargetStart) -> bool {
        self.ends.get(target).is_some_and(|end| !end.is_cleared)
    }

    /// Ends that were not cleared.
    pub(super) fn uncleared_ends(&self) -> impl Iterator<Item = (&TargetStart, &TargetEnd)> {
        self.ends.iter().filter(|(_, end)| !end.is_cleared)
    }

    /// Number of uncleared ends that are not explained by another request. Ends that coincide count
    /// once.
    pub(super) fn counted_ends(&self, is_explained: impl Fn(&TargetStart) -> bool) -> usize {
        let unexplained = self.uncleared_ends().filter(|(target, _)| !is_explained(target));
        let mut ends: Vec<&TargetEnd> = unexplained.map(|(_, end)| end).collect();
        ends.sort_unstable_by_key(|end| end.at_ms);
        let mut counted: Option<&TargetEnd> = None;
        let mut count = 0;
        for end in ends {
            if !counted.is_some_and(|counted| end.coincides_with(counted)) {
                counted = Some(end);
                count += 1;
            }
        }
        count
    }

    /// Total duration of the runs during which targets ended.
    pub(super) fn total_run_ms(&self) -> i64 {
        self.uncleared_ends().map(|(_, end)| end.lasted_ms).sum()
    }

    /// When the last target ended, unless all ends were cleared.
    pub(super) fn latest_uncleared_ms(&self) -> Option<i64> {
        self.uncleared_ends().map(|(_, end)| end.at_ms).max()
    }

    pub(super) fn last_end_ms(&self) -> i64 {
        self.latest_uncleared_ms().unwrap_or(i64::MIN)
    }

    pub(super) fn is_expired(&self, now: BootTime) -> bool {
        match self.counted_ends(|_| false) {
            0 => now >= self.last_change.1 + CLEARED_RETENTION,
            count => {
                let kept = hold_duration(count) * RETENTION_HOLDS;
                ms(now) >= self.last_end_ms().saturating_add(ms(kept))
            }
        }
    }

    pub(super) fn report(&self, fingerprint: Fingerprint, now: BootTime) -> Report {
        let report = |(target, end): (&TargetStart, &TargetEnd)| ReportedEnd {
            target: target.clone(),
            age: Duration::from_millis(ms(now).saturating_sub(end.at_ms).unsigned_abs()),
            lasted: Duration::from_millis(end.lasted_ms.unsigned_abs()),
            is_cleared: end.is_cleared,
        };
        let ends = self.ends.iter().map(report).collect();
        Report { fingerprint, ends, was_answered: self.was_answered }
    }
}

impl TargetEnd {
    fn merge(&mut self, reported: TargetEnd) -> Change {
        self.at_ms = reported.at_ms.min(self.at_ms);
        let known = (self.lasted_ms, self.is_cleared);
        self.lasted_ms = reported.lasted_ms.max(self.lasted_ms);
        self.is_cleared |= reported.is_cleared;
        match (self.lasted_ms, self.is_cleared) {
            (_, is_cleared) if is_cleared != known.1 => Change::Ends,
            (lasted_ms, _) if lasted_ms != known.0 => Change::Durations,
            _ => Change::Unchanged,
        }
    }

    /// Whether this end may have the same cause as `earlier`.
    fn coincides_with(&self, earlier: &TargetEnd) -> bool {
        self.at_ms.saturating_sub(self.lasted_ms) < earlier.at_ms
            && self.at_ms <= earlier.at_ms + ms(COINCIDENCE_WINDOW)
    }
}

/// How long a request with this many ends is held if it is certainly the cause.
pub(super) fn hold_duration(ends: usize) -> Duration {
    INITIAL_HOLD.saturating_mul(1 << further_ends(ends)).min(MAX_HOLD)
}

/// Number of ends beyond those for which a request is held.
pub(super) fn further_ends(ends: usize) -> u32 {
    // At most `MAX_ENDS_PER_REQUEST`, so that the conversion can't fail.
    ends.saturating_sub(ENDS_TO_HOLD).min(MAX_ENDS_PER_REQUEST) as u32
}

/// Converts a time since boot, or a duration, to signed milliseconds, so that differences may be
/// negative.
pub(super) fn ms(period: Duration) -> i64 {
    i64::try_from(period.as_millis()).unwrap_or(i64::MAX)
}
