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

impl RequestRecord {
    pub(super) fn merge_ends(&mut self, ends: Vec<ReportedEnd>, now: BootTime) {
        for ReportedEnd { target, age, lasted, is_cleared } in ends {
            let at_ms = ms(now).saturating_sub(ms(age));
            let lasted_ms = ms(lasted);
            let known_end =
                self.ends.entry(target).or_insert(TargetEnd { at_ms, lasted_ms, is_cleared });
            known_end.at_ms = at_ms.min(known_end.at_ms);
            known_end.lasted_ms = lasted_ms.max(known_end.lasted_ms);
            known_end.is_cleared |= is_cleared;
        }
        while self.ends.len() > MAX_ENDS_PER_REQUEST {
            let first = self.ends.iter().min_by_key(|(_, end)| end.at_ms);
            let Some(first) = first.map(|(target, _)| target.clone()) else { return };
            self.ends.remove(&first);
        }
    }

    /// Whether several targets have ended during its runs, for whatever reason.
    pub(super) fn is_suspect(&self) -> bool {
        self.ends.len() >= ENDS_TO_SUSPECT
    }

    /// Clears the ends before a complete answer at `completed_at_ms`.
    pub(super) fn clear_ends_before(&mut self, completed_at_ms: i64) {
        let before = self.ends.values_mut().filter(|end| end.at_ms < completed_at_ms);
        before.for_each(|end| end.is_cleared = true);
    }

    /// Whether the reports of both records contain the same, except for times.
    pub(super) fn reports_same_as(&self, before: &RequestRecord) -> bool {
        let reported = |record: &RequestRecord| -> Vec<(TargetStart, i64, bool)> {
            let reported = |(target, end): (&TargetStart, &TargetEnd)| {
                (target.clone(), end.lasted_ms, end.is_cleared)
            };
            record.ends.iter().map(reported).collect()
        };
        self.was_answered == before.was_answered && reported(self) == reported(before)
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

    /// When the last target ended, also if that was cleared.
    pub(super) fn latest_end_ms(&self) -> Option<i64> {
        self.ends.values().map(|end| end.at_ms).max()
    }

    pub(super) fn last_end_ms(&self) -> i64 {
        self.uncleared_ends().map(|(_, end)| end.at_ms).max().unwrap_or(i64::MIN)
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
