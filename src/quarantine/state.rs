//! Which requests targets have ended under, and which must wait for it. Pure.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::broken_runs::BrokenRun;
use crate::clock::BootTime;
use crate::ids::TargetStart;

/// A request under which so many targets have ended, one after the other, is held.
const ENDS_TO_HOLD: usize = 3;
/// One end less makes a suspect: all processes hear of it, so that its next whole answer clears it,
/// whoever relays that.
const ENDS_TO_SUSPECT: usize = ENDS_TO_HOLD - 1;
/// Targets that end within this time of each other count once, if the later one already ran the request: hosts
/// that lose power together take targets along that ran the same frequent request.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(100);
/// How long a request is held at first. Each further end doubles it.
const INITIAL_HOLD: Duration = Duration::from_secs(600);
/// How long a request is held while another one ran wherever targets ended under it: their next tries tell
/// them apart.
const UNCERTAIN_HOLD: Duration = Duration::from_secs(2);
/// Requests whose ends differ by no more than this are not told apart by them: a target that ended for another
/// reason makes one more.
const RIVAL_MARGIN_ENDS: usize = 1;
/// A request is held for this long at the most.
const MAX_HOLD: Duration = Duration::from_secs(24 * 3600);
/// What has ended under a request is forgotten after so many times the period for which it was, or would
/// be, held: one that ends a target again after its hold is held for longer.
const RETENTION_HOLDS: u32 = 2;
/// A request whose ends are all cleared is remembered for this long: reports of them may be under way.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// Whole answers are remembered for this long: evidence that a target has ended comes within some seconds.
const COMPLETION_RETENTION: Duration = Duration::from_secs(15);
/// Whole answers that are remembered: several hundred a second.
const MAX_COMPLETIONS: usize = 8_192;
/// Ends that are kept for one request, the last ones.
const MAX_ENDS_PER_REQUEST: usize = 16;
/// Requests that are kept. Beyond it those with the fewest ends go first, the oldest of them.
const MAX_REQUESTS: usize = 2_048;
/// Requests that are compared with each other when ends are blamed on them.
const MAX_RANKED_SUSPECTS: usize = 64;
/// Room that is made then for others to come.
const EVICTION_BATCH: usize = 256;
/// How often it is looked what is to be forgotten.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Counts changes of one process's book; 0 is before the first.
pub type Revision = u64;

/// What a process knows of requests under which targets have ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Quarantine {
    requests: HashMap<Fingerprint, RequestRecord>,
    revision: Revision,
    /// When it was last looked what is to be forgotten.
    last_cleanup_at: BootTime,
    /// When requests last got whole answers here: evidence of a target's end may come after them.
    completed_at_ms: HashMap<Fingerprint, i64>,
    /// The revision of the last change of a request that entries must hear of.
    suspects_revision: Revision,
    /// Requests that are, or were, to be held.
    blamed: HashMap<Fingerprint, Blame>,
}

/// What a request is blamed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Blame {
    /// Ends that count.
    ends: usize,
    /// Whether no other request, with about as many ends, explains most of these.
    is_certain: bool,
}

/// One request.
#[derive(Clone, Debug, Default, PartialEq)]
struct RequestRecord {
    /// Starts of targets that ended under it. Ends are added and cleared, never taken back, until the whole
    /// request is forgotten.
    ends: BTreeMap<TargetStart, TargetEnd>,
    /// The book's revision when this last changed, and the time.
    last_change: (Revision, BootTime),
}

/// A target's end under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TargetEnd {
    /// When, in milliseconds since this host's boot, before which it may have been: the earliest time that
    /// anybody told.
    at_ms: i64,
    /// How long before that the request was sent there; the longest time if it was several times: it did not
    /// end the target then. All processes know the same.
    lasted_ms: i64,
    /// Whether the request got a whole answer later: the end says nothing of it.
    is_cleared: bool,
}

/// What one process tells another of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that ended under it.
    pub ends: Vec<ReportedEnd>,
}

/// A target's end under a request, as it is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedEnd {
    /// The target.
    pub target: TargetStart,
    /// How long ago: clocks differ.
    pub age: Duration,
    /// How long before that the request was sent there.
    pub lasted: Duration,
    /// Whether the request got a whole answer later.
    pub is_cleared: bool,
}

/// What came of hearing a report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Whether anything of it was not known.
    pub changed: bool,
    /// Requests that are held from now on.
    pub held: Vec<Fingerprint>,
}

impl Quarantine {
    /// A target ended under some runs.
    pub fn record_target_end(
        &mut self,
        runs: &[BrokenRun],
        target: &TargetStart,
        now: BootTime,
    ) -> MergeResult {
        let end = |run: &BrokenRun| ReportedEnd {
            target: target.clone(),
            age: now.saturating_sub(run.broke_at),
            lasted: run.broke_at.saturating_sub(run.sent_at),
            is_cleared: false,
        };
        let report =
            |run: &BrokenRun| Report { fingerprint: run.fingerprint, ends: vec![end(run)] };
        self.merge_reports(runs.iter().map(report).collect(), now)
    }

    /// A request got a whole answer: it does not end each target that runs it. Returns whether that clears it
    /// of any end.
    pub fn record_completion(&mut self, run: Fingerprint, now: BootTime) -> bool {
        self.remove_expired(now);
        if self.completed_at_ms.len() < MAX_COMPLETIONS {
            self.completed_at_ms.insert(run, ms(now));
        }
        let Some(known) = self.requests.get_mut(&run) else { return false };
        let changed = known.ends.values().any(|end| !end.is_cleared);
        if changed {
            known.ends.values_mut().for_each(|end| end.is_cleared = true);
            self.revision += 1;
            known.last_change = (self.revision, now);
            if known.is_suspect() {
                self.suspects_revision = self.revision;
            }
            self.assign_blame();
        }
        changed
    }

    /// Takes what another process knows.
    pub fn merge_reports(&mut self, reports: Vec<Report>, now: BootTime) -> MergeResult {
        self.remove_expired(now);
        let mut merged = MergeResult::default();
        for report in reports {
            let fingerprint = report.fingerprint;
            let before = self.requests.get(&fingerprint).cloned().unwrap_or_default();
            let mut known = before.clone();
            known.merge_ends(report.ends, now);
            if let Some(completed_at_ms) = self.completed_at_ms.get(&fingerprint) {
                known.clear_ends_before(*completed_at_ms);
            }
            if !known.reports_same_as(&before) {
                self.revision += 1;
                known.last_change = (self.revision, now);
                if known.is_suspect() {
                    self.suspects_revision = self.revision;
                }
                merged.changed = true;
            }
            // Told too late: it is forgotten everywhere.
            if known.is_expired(now) {
                continue;
            }
            self.requests.insert(fingerprint, known);
        }
        self.evict_excess();
        if merged.changed {
            merged.held = self.assign_blame();
        }
        merged
    }

    /// Finds out whom to hold, and returns those that were not.
    ///
    /// With each target end the runs of many requests, and a frequent one soon ran at several. Each end is
    /// blamed on one request alone: first those of the request with the most ends, of equal ones that with
    /// the shortest runs, and so on with the ends that are left. Should that be the wrong one, the right one
    /// has one end more soon, and the other is free again.
    fn assign_blame(&mut self) -> Vec<Fingerprint> {
        let suspects = self.ranked_suspects();
        let mut explained = HashSet::new();
        let mut blamed = HashMap::new();
        for (_, run) in &suspects {
            let known = &self.requests[run];
            let ends = known.counted_ends(|target| explained.contains(target));
            if ends >= ENDS_TO_HOLD {
                let is_rival = |(count, other): &(usize, Fingerprint)| {
                    let remaining = || {
                        known.counted_ends(|target| self.requests[other].has_uncleared_end(target))
                    };
                    other != run && count + RIVAL_MARGIN_ENDS >= ends && remaining() < ENDS_TO_HOLD
                };
                let is_certain = !suspects.iter().any(is_rival);
                explained.extend(known.uncleared_ends().map(|(target, _)| target.clone()));
                blamed.insert(*run, Blame { ends, is_certain });
            }
        }
        let is_new = |run: &&Fingerprint| !self.blamed.contains_key(run);
        let new = blamed.keys().filter(is_new).copied().collect();
        self.blamed = blamed;
        new
    }

    /// Requests that several targets have ended under, with how many: whom to blame first.
    fn ranked_suspects(&self) -> Vec<(usize, Fingerprint)> {
        let suspects =
            self.requests.iter().map(|(run, known)| (known.counted_ends(|_| false), run));
        let mut suspects: Vec<_> = suspects
            .filter(|(count, _)| *count >= ENDS_TO_HOLD)
            .map(|(n, run)| (n, *run))
            .collect();
        let rank = |(count, run): &(usize, Fingerprint)| {
            (Reverse(*count), self.requests[run].total_run_ms())
        };
        suspects.sort_unstable_by_key(|suspect| (rank(suspect), suspect.1));
        suspects.truncate(MAX_RANKED_SUSPECTS);
        suspects
    }

    fn held_until_ms(&self, run: Fingerprint) -> Option<i64> {
        let blame = self.blamed.get(&run)?;
        let last_ms = self.requests.get(&run)?.last_end_ms();
        Some(last_ms.saturating_add(ms(blame.hold_duration())))
    }

    /// How much longer a request must not reach a target; `None` if it may.
    pub fn held_for(&self, run: Fingerprint, now: BootTime) -> Option<Duration> {
        let left_ms = self.held_until_ms(run)?.saturating_sub(ms(now));
        (left_ms > 0).then(|| Duration::from_millis(left_ms.unsigned_abs()))
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// How many requests are held.
    pub fn held_count(&self, now: BootTime) -> usize {
        self.blamed.keys().filter(|run| self.held_for(**run, now).is_some()).count()
    }

    /// Changes with each change of the book.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// What has changed since a revision, for a process that counts ends.
    pub fn reports_since(&self, revision: Revision, now: BootTime) -> Vec<Report> {
        let changed = self.requests.iter().filter(|(_, known)| known.last_change.0 > revision);
        changed.map(|(run, known)| known.report(*run, now)).collect()
    }

    /// The same, for a process that only needs to know whom to hold, and whose whole answers matter.
    pub fn suspect_reports_since(&self, revision: Revision, now: BootTime) -> Vec<Report> {
        if self.suspects_revision <= revision {
            return Vec::new();
        }
        let is_due = |known: &RequestRecord| known.last_change.0 > revision && known.is_suspect();
        let due = self.requests.iter().filter(|(_, known)| is_due(known));
        due.map(|(run, known)| known.report(*run, now)).collect()
    }

    /// The revision of the last change that `suspect_reports_since` tells.
    pub fn suspects_revision(&self) -> Revision {
        self.suspects_revision
    }

    /// Names all that is known, but for when it happened: two processes with one digest know the same.
    pub fn digest(&self) -> u64 {
        let digest_of = |(run, known): (&Fingerprint, &RequestRecord)| {
            let mut hasher = FxHasher::default();
            run.hash(&mut hasher);
            known.ends.iter().for_each(|(target, end)| {
                (target, end.lasted_ms, end.is_cleared).hash(&mut hasher);
            });
            hasher.finish()
        };
        self.requests.iter().map(digest_of).fold(0, u64::wrapping_add)
    }

    fn remove_expired(&mut self, now: BootTime) {
        if now >= self.last_cleanup_at + CLEANUP_INTERVAL {
            self.last_cleanup_at = now;
            self.requests.retain(|_, known| !known.is_expired(now));
            self.completed_at_ms.retain(|_, at_ms| ms(now) < *at_ms + ms(COMPLETION_RETENTION));
        }
    }

    fn evict_excess(&mut self) {
        if self.requests.len() <= MAX_REQUESTS {
            return;
        }
        let excess = self.requests.len() - MAX_REQUESTS + EVICTION_BATCH;
        let rank = |known: &RequestRecord| (known.counted_ends(|_| false), known.last_end_ms());
        let mut ranks: Vec<_> =
            self.requests.iter().map(|(run, known)| (rank(known), *run)).collect();
        ranks.sort_unstable();
        ranks.iter().take(excess).for_each(|(_, run)| drop(self.requests.remove(run)));
    }
}

impl RequestRecord {
    fn merge_ends(&mut self, ends: Vec<ReportedEnd>, now: BootTime) {
        for ReportedEnd { target, age, lasted, is_cleared } in ends {
            let at_ms = ms(now).saturating_sub(ms(age));
            let lasted_ms = ms(lasted);
            let known =
                self.ends.entry(target).or_insert(TargetEnd { at_ms, lasted_ms, is_cleared });
            known.at_ms = at_ms.min(known.at_ms);
            known.lasted_ms = lasted_ms.max(known.lasted_ms);
            known.is_cleared |= is_cleared;
        }
        while self.ends.len() > MAX_ENDS_PER_REQUEST {
            let first = self.ends.iter().min_by_key(|(_, end)| end.at_ms);
            let Some(first) = first.map(|(target, _)| target.clone()) else { return };
            self.ends.remove(&first);
        }
    }

    /// Whether several targets have ended under it, for whatever reason.
    fn is_suspect(&self) -> bool {
        self.ends.len() >= ENDS_TO_SUSPECT
    }

    /// A whole answer came at this time.
    fn clear_ends_before(&mut self, completed_at_ms: i64) {
        let before = self.ends.values_mut().filter(|end| end.at_ms < completed_at_ms);
        before.for_each(|end| end.is_cleared = true);
    }

    /// Whether another process would learn nothing from this that it did not from `before`.
    fn reports_same_as(&self, before: &RequestRecord) -> bool {
        let reported = |known: &RequestRecord| -> Vec<(TargetStart, i64, bool)> {
            let reported = |(target, end): (&TargetStart, &TargetEnd)| {
                (target.clone(), end.lasted_ms, end.is_cleared)
            };
            known.ends.iter().map(reported).collect()
        };
        reported(self) == reported(before)
    }

    /// Whether a target has ended under it, and no whole answer has cleared that.
    fn has_uncleared_end(&self, target: &TargetStart) -> bool {
        self.ends.get(target).is_some_and(|end| !end.is_cleared)
    }

    /// Ends that no whole answer has cleared.
    fn uncleared_ends(&self) -> impl Iterator<Item = (&TargetStart, &TargetEnd)> {
        self.ends.iter().filter(|(_, end)| !end.is_cleared)
    }

    /// Ends that speak against the request and are not explained by another one; of those that coincide one.
    fn counted_ends(&self, is_explained: impl Fn(&TargetStart) -> bool) -> usize {
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

    /// How long its runs took that targets ended under.
    fn total_run_ms(&self) -> i64 {
        self.uncleared_ends().map(|(_, end)| end.lasted_ms).sum()
    }

    fn last_end_ms(&self) -> i64 {
        self.uncleared_ends().map(|(_, end)| end.at_ms).max().unwrap_or(i64::MIN)
    }

    fn is_expired(&self, now: BootTime) -> bool {
        match self.counted_ends(|_| false) {
            0 => now >= self.last_change.1 + CLEARED_RETENTION,
            count => {
                let kept = hold_duration(count) * RETENTION_HOLDS;
                ms(now) >= self.last_end_ms().saturating_add(ms(kept))
            }
        }
    }

    fn report(&self, fingerprint: Fingerprint, now: BootTime) -> Report {
        let report = |(target, end): (&TargetStart, &TargetEnd)| ReportedEnd {
            target: target.clone(),
            age: Duration::from_millis(ms(now).saturating_sub(end.at_ms).unsigned_abs()),
            lasted: Duration::from_millis(end.lasted_ms.unsigned_abs()),
            is_cleared: end.is_cleared,
        };
        Report { fingerprint, ends: self.ends.iter().map(report).collect() }
    }
}

impl TargetEnd {
    /// Whether this end may have the cause of one before it.
    fn coincides_with(&self, earlier: &TargetEnd) -> bool {
        self.at_ms.saturating_sub(self.lasted_ms) < earlier.at_ms
            && self.at_ms <= earlier.at_ms + ms(COINCIDENCE_WINDOW)
    }
}

impl Blame {
    /// How long the request is held from its last end.
    fn hold_duration(self) -> Duration {
        if self.is_certain { hold_duration(self.ends) } else { UNCERTAIN_HOLD }
    }
}

/// How long a request is, or would be, held that is surely to blame for so many ends.
fn hold_duration(ends: usize) -> Duration {
    let further = ends.saturating_sub(ENDS_TO_HOLD).min(MAX_ENDS_PER_REQUEST);
    INITIAL_HOLD.saturating_mul(1 << further).min(MAX_HOLD)
}

/// A time since boot, or a period, from which others may be subtracted that are longer.
fn ms(period: Duration) -> i64 {
    i64::try_from(period.as_millis()).unwrap_or(i64::MAX)
}
