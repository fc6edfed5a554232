//! Records of target terminations by request, and the decision which requests are held.
//!
//! An "end" is the unexpected termination of a target while it ran the request. It is cleared when
//! the request later gets a complete answer.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use super::Fingerprint;
use super::broken_runs::BrokenRun;
use crate::clock::BootTime;
use crate::ids::TargetStart;

/// A request with this many ends is held. Ends that coincide count once.
const ENDS_TO_HOLD: usize = 3;
/// A request with this many ends is a suspect. Suspects are reported to all processes, so that a
/// complete answer at any of them clears the request.
const ENDS_TO_SUSPECT: usize = ENDS_TO_HOLD - 1;
/// Ends within this time of each other count once if the request was already running on both
/// targets: hosts that lose power together take down many targets that ran the same frequent
/// request.
const COINCIDENCE_WINDOW: Duration = Duration::from_millis(100);
/// How long a request is held at first. Each further end doubles this.
const INITIAL_HOLD: Duration = Duration::from_secs(600);
/// How long a request is held at first while it may not be to blame. The next attempts will show.
const UNCERTAIN_HOLD: Duration = Duration::from_secs(2);
/// Each end beyond `ENDS_TO_HOLD` multiplies a doubtful hold by this. After three ends more it is as
/// long as any other.
const DOUBTFUL_HOLD_FACTOR: u32 = 8;
/// Two requests can't be distinguished if their numbers of ends differ by no more than this, as a
/// target may have terminated for an unrelated reason.
const RIVAL_MARGIN_ENDS: usize = 1;
/// Longest time for which a request is held.
const MAX_HOLD: Duration = Duration::from_secs(24 * 3600);
/// Ends are retained for this multiple of the hold time, so that a request that causes another end
/// after its hold is held for longer.
const RETENTION_HOLDS: u32 = 2;
/// How long a request without uncleared ends is retained, as delayed reports may still mention it.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);
/// How long complete answers are retained. Evidence that a target has terminated may arrive some
/// seconds late.
const COMPLETION_RETENTION: Duration = Duration::from_secs(15);
/// Largest number of retained complete answers; enough for several hundred per second.
const MAX_COMPLETIONS: usize = 8_192;
/// Largest number of ends retained per request; the oldest are dropped first.
const MAX_ENDS_PER_REQUEST: usize = 16;
/// Largest number of requests. Those with the fewest ends are evicted first, and among them the
/// oldest.
const MAX_REQUESTS: usize = 2_048;
/// Largest number of suspects that are compared to assign blame.
const MAX_RANKED_SUSPECTS: usize = 64;
/// Number of requests evicted beyond the excess, so that evictions are rare.
const EVICTION_BATCH: usize = 256;
/// Interval between removals of expired records.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Number of changes to one process's quarantine; 0 is before the first.
pub type Revision = u64;

/// What a process knows of requests during which targets terminated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Quarantine {
    requests: HashMap<Fingerprint, RequestRecord>,
    revision: Revision,
    /// When expired records were last removed.
    last_cleanup_at: BootTime,
    /// When each request last got a complete answer here. Evidence of an earlier end may arrive
    /// later.
    completed_at_ms: HashMap<Fingerprint, i64>,
    /// Revision of the last change to a suspect.
    suspects_revision: Revision,
    /// Requests with enough attributed ends to be held; the hold may have expired.
    blamed: HashMap<Fingerprint, Blame>,
}

/// A request with enough ends to be held.
struct Suspect {
    fingerprint: Fingerprint,
    /// Its uncleared ends, whichever request they are attributed to.
    ends: usize,
}

/// The ends attributed to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Blame {
    ends: usize,
    certainty: Certainty,
}

/// How certain it is that a request terminated the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Certainty {
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
    ends: usize,
    certainty: Certainty,
    /// All targets with uncleared ends.
    targets: Vec<TargetStart>,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq)]
struct RequestRecord {
    /// Ends by target. They are added and cleared but not removed, until the request expires or has
    /// more than `MAX_ENDS_PER_REQUEST`.
    ends: BTreeMap<TargetStart, TargetEnd>,
    /// Whether the request got a complete answer, shortly before its ends or after one of them. It
    /// does not terminate each target that runs it.
    was_answered: bool,
    /// Revision and time of the last change to this record.
    last_change: (Revision, BootTime),
}

/// The end of a target during a run of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TargetEnd {
    /// When, in milliseconds since this host's boot; negative if before. The earliest of all
    /// reported times.
    at_ms: i64,
    /// How long the request had been running there. The longest of all reported times, so that all
    /// processes agree.
    lasted_ms: i64,
    /// Whether the request got a complete answer later, which shows that it was not the cause.
    is_cleared: bool,
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

/// The result of merging reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Whether they contained anything new.
    pub changed: bool,
    /// Requests that are newly held.
    pub held: Vec<Fingerprint>,
}

impl Quarantine {
    /// Records that a target ended during some runs.
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
        let report = |run: &BrokenRun| Report {
            fingerprint: run.fingerprint,
            ends: vec![end(run)],
            was_answered: false,
        };
        self.merge_reports(runs.iter().map(report).collect(), now)
    }

    /// Records that a request got a complete answer, which clears its earlier ends. Returns whether
    /// this changed its record.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: BootTime) -> bool {
        self.remove_expired(now);
        let is_known = self.completed_at_ms.contains_key(&fingerprint);
        if is_known || self.completed_at_ms.len() < MAX_COMPLETIONS {
            self.completed_at_ms.insert(fingerprint, ms(now));
        }
        let Some(record) = self.requests.get_mut(&fingerprint) else { return false };
        let changed = !record.was_answered || record.ends.values().any(|end| !end.is_cleared);
        if changed {
            record.was_answered = true;
            record.ends.values_mut().for_each(|end| end.is_cleared = true);
            self.revision += 1;
            record.last_change = (self.revision, now);
            if record.is_suspect() {
                self.suspects_revision = self.revision;
            }
            self.assign_blame();
        }
        changed
    }

    /// Merges reports from another process.
    pub fn merge_reports(&mut self, reports: Vec<Report>, now: BootTime) -> MergeResult {
        self.remove_expired(now);
        let mut merged = MergeResult::default();
        for report in reports {
            let fingerprint = report.fingerprint;
            let before = self.requests.get(&fingerprint).cloned().unwrap_or_default();
            let mut record = before.clone();
            record.merge_ends(report.ends, now);
            record.was_answered |= report.was_answered;
            if let Some(completed_at_ms) = self.completed_at_ms.get(&fingerprint) {
                record.was_answered = true;
                record.clear_ends_before(*completed_at_ms);
            }
            if !record.reports_same_as(&before) {
                self.revision += 1;
                record.last_change = (self.revision, now);
                if record.is_suspect() {
                    self.suspects_revision = self.revision;
                }
                merged.changed = true;
            }
            // The report is late; other processes have removed the request, too.
            if record.is_expired(now) {
                continue;
            }
            self.requests.insert(fingerprint, record);
        }
        self.evict_excess();
        if merged.changed {
            merged.held = self.assign_blame();
        }
        merged
    }

    /// Decides which requests are held. Returns those that were not held before.
    ///
    /// A target that ends breaks the runs of many requests, and frequent requests soon have run on
    /// several such targets. Each end is therefore attributed to a single request: first the ends
    /// of the request with the most ends, or with the shortest runs if there are several, then the
    /// remaining ends in the same way. Requests that have been answered before come last. If the
    /// wrong request is held, the right one soon has one end more, and the wrong one is released.
    fn assign_blame(&mut self) -> Vec<Fingerprint> {
        let suspects = self.ranked_suspects();
        let attributed = self.attribute_ends(&suspects);
        let blame = |(fingerprint, ends): (&Fingerprint, &usize)| {
            let certainty = self.certainty(*fingerprint, &suspects, &attributed);
            (*fingerprint, Blame { ends: *ends, certainty })
        };
        let blamed: HashMap<Fingerprint, Blame> = attributed.iter().map(blame).collect();
        let is_new = |fingerprint: &&Fingerprint| !self.blamed.contains_key(fingerprint);
        let new = blamed.keys().filter(is_new).copied().collect();
        self.blamed = blamed;
        new
    }

    /// The suspects that are blamed, with the number of ends attributed to each.
    fn attribute_ends(&self, suspects: &[Suspect]) -> HashMap<Fingerprint, usize> {
        let mut explained = HashSet::new();
        let mut attributed = HashMap::new();
        for suspect in suspects {
            let record = &self.requests[&suspect.fingerprint];
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
        &self,
        fingerprint: Fingerprint,
        suspects: &[Suspect],
        attributed: &HashMap<Fingerprint, usize>,
    ) -> Certainty {
        let record = &self.requests[&fingerprint];
        let explains_most = |other: &&Suspect| {
            let other_record = &self.requests[&other.fingerprint];
            other.fingerprint != fingerprint
                && record.counted_ends(|target| other_record.has_uncleared_end(target))
                    < ENDS_TO_HOLD
        };
        let mut certainty =
            if record.was_answered { Certainty::Doubtful } else { Certainty::Certain };
        for other in suspects.iter().filter(explains_most) {
            let was_other_answered = self.requests[&other.fingerprint].was_answered;
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
    fn ranked_suspects(&self) -> Vec<Suspect> {
        let suspects = self.requests.iter().map(|(fingerprint, record)| Suspect {
            fingerprint: *fingerprint,
            ends: record.counted_ends(|_| false),
        });
        let mut suspects: Vec<_> =
            suspects.filter(|suspect| suspect.ends >= ENDS_TO_HOLD).collect();
        suspects.sort_unstable_by_key(|suspect| {
            let total_run_ms = self.requests[&suspect.fingerprint].total_run_ms();
            (Reverse(suspect.ends), total_run_ms, suspect.fingerprint)
        });
        suspects.truncate(MAX_RANKED_SUSPECTS);
        suspects.sort_by_key(|suspect| self.requests[&suspect.fingerprint].was_answered);
        suspects
    }

    fn held_until_ms(&self, fingerprint: Fingerprint) -> Option<i64> {
        let blame = self.blamed.get(&fingerprint)?;
        let last_ms = self.requests.get(&fingerprint)?.last_end_ms();
        Some(last_ms.saturating_add(ms(blame.hold_duration())))
    }

    /// Remaining time for which a request is held; `None` if it may be sent.
    pub fn held_for(&self, fingerprint: Fingerprint, now: BootTime) -> Option<Duration> {
        let left_ms = self.held_until_ms(fingerprint)?.saturating_sub(ms(now));
        (left_ms > 0).then(|| Duration::from_millis(left_ms.unsigned_abs()))
    }

    /// Why a request is held, for logs; `None` if it has too few ends.
    pub fn hold_reason(&self, fingerprint: Fingerprint) -> Option<HoldReason> {
        let Blame { ends, certainty } = *self.blamed.get(&fingerprint)?;
        let record = self.requests.get(&fingerprint)?;
        let targets = record.uncleared_ends().map(|(target, _)| target.clone()).collect();
        Some(HoldReason { ends, certainty, targets })
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests that are held at `now`.
    pub fn held_count(&self, now: BootTime) -> usize {
        self.blamed.keys().filter(|fingerprint| self.held_for(**fingerprint, now).is_some()).count()
    }

    /// Increases with each change of the quarantine.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Reports of all records changed since `revision`, for processes that count ends themselves.
    pub fn reports_since(&self, revision: Revision, now: BootTime) -> Vec<Report> {
        let changed = self.requests.iter().filter(|(_, record)| record.last_change.0 > revision);
        changed.map(|(fingerprint, record)| record.report(*fingerprint, now)).collect()
    }

    /// Reports of the suspects changed since `revision`, for processes that only enforce holds and
    /// report complete answers.
    pub fn suspect_reports_since(&self, revision: Revision, now: BootTime) -> Vec<Report> {
        if self.suspects_revision <= revision {
            return Vec::new();
        }
        let is_due =
            |record: &RequestRecord| record.last_change.0 > revision && record.is_suspect();
        let due = self.requests.iter().filter(|(_, record)| is_due(record));
        due.map(|(fingerprint, record)| record.report(*fingerprint, now)).collect()
    }

    /// Revision of the last change that `suspect_reports_since` includes.
    pub fn suspects_revision(&self) -> Revision {
        self.suspects_revision
    }

    /// Digest of all records without their times. Equal digests mean that two processes know the
    /// same.
    pub fn digest(&self) -> u64 {
        let digest_of = |(fingerprint, record): (&Fingerprint, &RequestRecord)| {
            let mut hasher = FxHasher::default();
            (fingerprint, record.was_answered).hash(&mut hasher);
            record.ends.iter().for_each(|(target, end)| {
                (target, end.lasted_ms, end.is_cleared).hash(&mut hasher);
            });
            hasher.finish()
        };
        self.requests.iter().map(digest_of).fold(0, u64::wrapping_add)
    }

    fn remove_expired(&mut self, now: BootTime) {
        if now >= self.last_cleanup_at + CLEANUP_INTERVAL {
            self.last_cleanup_at = now;
            self.requests.retain(|_, record| !record.is_expired(now));
            self.completed_at_ms.retain(|_, at_ms| ms(now) < *at_ms + ms(COMPLETION_RETENTION));
        }
    }

    fn evict_excess(&mut self) {
        if self.requests.len() <= MAX_REQUESTS {
            return;
        }
        let excess = self.requests.len() - MAX_REQUESTS + EVICTION_BATCH;
        let rank = |record: &RequestRecord| (record.counted_ends(|_| false), record.last_end_ms());
        let mut ranks: Vec<_> = self
            .requests
            .iter()
            .map(|(fingerprint, record)| (rank(record), *fingerprint))
            .collect();
        ranks.sort_unstable();
        ranks
            .iter()
            .take(excess)
            .for_each(|(_, fingerprint)| drop(self.requests.remove(fingerprint)));
    }
}

impl RequestRecord {
    fn merge_ends(&mut self, ends: Vec<ReportedEnd>, now: BootTime) {
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
    fn is_suspect(&self) -> bool {
        self.ends.len() >= ENDS_TO_SUSPECT
    }

    /// Clears the ends before a complete answer at `completed_at_ms`.
    fn clear_ends_before(&mut self, completed_at_ms: i64) {
        let before = self.ends.values_mut().filter(|end| end.at_ms < completed_at_ms);
        before.for_each(|end| end.is_cleared = true);
    }

    /// Whether the reports of both records contain the same, except for times.
    fn reports_same_as(&self, before: &RequestRecord) -> bool {
        let reported = |record: &RequestRecord| -> Vec<(TargetStart, i64, bool)> {
            let reported = |(target, end): (&TargetStart, &TargetEnd)| {
                (target.clone(), end.lasted_ms, end.is_cleared)
            };
            record.ends.iter().map(reported).collect()
        };
        self.was_answered == before.was_answered && reported(self) == reported(before)
    }

    /// Whether the target ended during a run of the request, and this was not cleared.
    fn has_uncleared_end(&self, target: &TargetStart) -> bool {
        self.ends.get(target).is_some_and(|end| !end.is_cleared)
    }

    /// Ends that were not cleared.
    fn uncleared_ends(&self) -> impl Iterator<Item = (&TargetStart, &TargetEnd)> {
        self.ends.iter().filter(|(_, end)| !end.is_cleared)
    }

    /// Number of uncleared ends that are not explained by another request. Ends that coincide count
    /// once.
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

    /// Total duration of the runs during which targets ended.
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

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let targets: Vec<String> = self.targets.iter().map(TargetStart::to_string).collect();
        let HoldReason { ends, certainty, .. } = self;
        write!(f, "ends={ends} certainty={certainty:?} targets={}", targets.join(","))
    }
}

impl Blame {
    /// How long the request is held after its last end.
    fn hold_duration(self) -> Duration {
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

/// How long a request with this many ends is held if it is certainly the cause.
fn hold_duration(ends: usize) -> Duration {
    INITIAL_HOLD.saturating_mul(1 << further_ends(ends)).min(MAX_HOLD)
}

/// Number of ends beyond those for which a request is held.
fn further_ends(ends: usize) -> u32 {
    // At most `MAX_ENDS_PER_REQUEST`, so that the conversion can't fail.
    ends.saturating_sub(ENDS_TO_HOLD).min(MAX_ENDS_PER_REQUEST) as u32
}

/// Converts a time since boot, or a duration, to signed milliseconds, so that differences may be
/// negative.
fn ms(period: Duration) -> i64 {
    i64::try_from(period.as_millis()).unwrap_or(i64::MAX)
}
