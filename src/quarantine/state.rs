//! Records of target terminations by request and by prompt part, and the decision which requests are held.
//!
//! An "end" is the unexpected termination of a target while it ran the request, or a request with the part.
//! It is cleared when the request, or another one with the part, later gets a complete answer.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use rustc_hash::FxHasher;

use super::blame::{self, Blame, Blamed, HoldReason};
use super::broken_runs::BrokenRun;
use super::record::{
    Change, ENDS_TO_HOLD, ENDS_TO_SUSPECT, Report, ReportedEnd, RequestRecord, ms,
};
use super::{Fingerprint, Revision};
use crate::clock::BootTime;
use crate::ids::TargetStart;

/// How long complete answers are retained. Evidence that a target has terminated may arrive some
/// seconds late.
const COMPLETION_RETENTION: Duration = Duration::from_secs(15);
/// Largest number of retained complete answers; enough for several hundred requests per second with some
/// parts each.
const MAX_COMPLETIONS: usize = 32_768;
/// An end is deferred if the request, or another one with the part, was answered here within this time before. Parts
/// that most prompts share run on each target that ends, and each entry would report them each time.
const RECENT_ANSWER: Duration = Duration::from_secs(5);
/// How long an end is deferred.
const DEFERRAL: Duration = Duration::from_secs(1);
/// Largest number of requests. Those with the fewest ends are evicted first, and among them the
/// oldest.
const MAX_REQUESTS: usize = 2_048;
/// Number of requests evicted beyond the excess, so that evictions are rare.
const EVICTION_BATCH: usize = 256;
/// Interval between removals of expired records.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest interval between assignments of blame. Reports come in bursts when many targets end.
const BLAME_INTERVAL: Duration = Duration::from_millis(50);

/// Why a request is held, and for how much longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The request itself or the part of its prompt that is to blame.
    pub fingerprint: Fingerprint,
    pub left: Duration,
}

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
    /// Revision of the last change that may begin, lengthen or end a hold.
    holds_revision: Revision,
    /// Ends of requests that were answered here shortly before.
    deferred: Vec<DeferredEnd>,
    /// Requests with enough attributed ends to be held; the hold may have expired.
    blamed: HashMap<Fingerprint, Blame>,
    /// When `blamed` was last determined.
    blamed_at: Option<BootTime>,
    /// Whether records have changed since.
    is_blame_due: bool,
    /// Records that were evicted have no later end that was not cleared. Reports of them are ignored, lest processes that evict
    /// different ones send them to each other for ever.
    evicted_until_ms: Option<i64>,
}

/// Which processes have a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A process that told only some replicas.
    Observer,
    /// A replica, which told all others as well.
    Replica,
}

/// An end that the next answer will probably clear.
#[derive(Clone, Debug, PartialEq)]
struct DeferredEnd {
    target: TargetStart,
    run: BrokenRun,
}

/// The result of merging reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// Whether they contained anything new.
    pub changed: bool,
    /// Requests that are newly held.
    pub held: Vec<Fingerprint>,
}

impl MergeResult {
    fn and(mut self, other: MergeResult) -> MergeResult {
        self.changed |= other.changed;
        self.held.extend(other.held);
        self
    }
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

    /// Records that this process saw a target end during some runs. Those of requests that were answered here
    /// shortly before are deferred: `record_deferred` has to be called regularly.
    pub fn observe_target_end(
        &mut self,
        runs: &[BrokenRun],
        target: &TargetStart,
        now: BootTime,
    ) -> MergeResult {
        let earlier = self.record_deferred(now);
        let room = MAX_REQUESTS.saturating_sub(self.deferred.len());
        let is_deferred = |run: &BrokenRun| {
            self.was_answered_since(run.fingerprint, run.broke_at.saturating_sub(RECENT_ANSWER))
        };
        let (mut deferred, mut recorded): (Vec<BrokenRun>, Vec<BrokenRun>) =
            runs.iter().copied().partition(is_deferred);
        recorded.extend(deferred.drain(room.min(deferred.len())..));
        let defer = |run| DeferredEnd { target: target.clone(), run };
        self.deferred.extend(deferred.into_iter().map(defer));
        self.record_target_end(&recorded, target, now).and(earlier)
    }

    /// Records the ends that were deferred for long enough and not cleared by an answer meanwhile.
    pub fn record_deferred(&mut self, now: BootTime) -> MergeResult {
        let is_due = |end: &DeferredEnd| now >= end.run.broke_at + DEFERRAL;
        let (due, deferred): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.deferred).into_iter().partition(is_due);
        self.deferred = deferred;
        let mut runs_by_target: BTreeMap<TargetStart, Vec<BrokenRun>> = BTreeMap::new();
        for DeferredEnd { target, run } in due {
            runs_by_target.entry(target).or_default().push(run);
        }
        let mut merged = MergeResult::default();
        for (target, runs) in runs_by_target {
            merged = merged.and(self.record_target_end(&runs, &target, now));
        }
        merged
    }

    fn was_answered_since(&self, fingerprint: Fingerprint, since: BootTime) -> bool {
        self.completed_at_ms.get(&fingerprint).is_some_and(|at_ms| *at_ms > ms(since))
    }

    /// Records that a request got a complete answer, which clears its earlier ends. Returns whether
    /// this changed its record.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: BootTime) -> bool {
        self.record_completions(&[fingerprint], now, now)
    }

    /// Records that a request was answered completely at `completed_at`. `fingerprints` are its own and those
    /// of the parts of its prompt. Returns whether this changed a record.
    pub fn record_completions(
        &mut self,
        fingerprints: &[Fingerprint],
        completed_at: BootTime,
        now: BootTime,
    ) -> bool {
        self.remove_expired(now);
        let mut changed = false;
        for fingerprint in fingerprints {
            self.remember_completion(*fingerprint, ms(completed_at));
            self.deferred.retain(|DeferredEnd { run, .. }| {
                run.fingerprint != *fingerprint || run.broke_at >= completed_at
            });
            changed |= self.clear_ends(*fingerprint, ms(completed_at), now);
        }
        self.assign_blame(now);
        changed
    }

    fn remember_completion(&mut self, fingerprint: Fingerprint, at_ms: i64) {
        let has_room = self.completed_at_ms.len() < MAX_COMPLETIONS;
        match self.completed_at_ms.get_mut(&fingerprint) {
            Some(known_ms) => *known_ms = at_ms.max(*known_ms),
            None if has_room => drop(self.completed_at_ms.insert(fingerprint, at_ms)),
            None => {}
        }
    }

    /// Clears the ends of one record up to a complete answer. Returns whether this changed the record.
    fn clear_ends(
        &mut self,
        fingerprint: Fingerprint,
        completed_at_ms: i64,
        now: BootTime,
    ) -> bool {
        let Some(mut record) = self.requests.remove(&fingerprint) else { return false };
        let was_told = record.is_told();
        let change = record.merge_completion(completed_at_ms.saturating_add(1));
        if change > Change::Unchanged {
            self.note_change(&mut record, change, was_told, now);
            record.last_news = self.revision;
        }
        self.requests.insert(fingerprint, record);
        change > Change::Unchanged
    }

    /// Merges reports from a process that told only some replicas.
    pub fn merge_reports(&mut self, reports: Vec<Report>, now: BootTime) -> MergeResult {
        self.merge(reports, Source::Observer, now)
    }

    /// Merges reports from a replica, which has told all others as well.
    pub fn merge_reports_of_replica(&mut self, reports: Vec<Report>, now: BootTime) -> MergeResult {
        self.merge(reports, Source::Replica, now)
    }

    fn merge(&mut self, reports: Vec<Report>, source: Source, now: BootTime) -> MergeResult {
        self.remove_expired(now);
        let mut merged = MergeResult::default();
        for report in reports {
            if !self.was_evicted(&report, now) {
                merged.changed |= self.merge_report(report, source, now);
            }
        }
        self.evict_excess();
        merged.held = self.assign_blame(now);
        merged
    }

    /// Merges a report. Returns whether it contained anything new.
    fn merge_report(&mut self, report: Report, source: Source, now: BootTime) -> bool {
        let fingerprint = report.fingerprint;
        let mut record = self.requests.remove(&fingerprint).unwrap_or_default();
        let was_told = record.is_told();
        let reported = record.merge(report, now);
        let own = match self.completed_at_ms.get(&fingerprint) {
            Some(completed_at_ms) => record.merge_completion(*completed_at_ms),
            None => Change::Unchanged,
        };
        let change = reported.max(own);
        if change > Change::Unchanged {
            self.note_change(&mut record, change, was_told, now);
            if source == Source::Observer || own > Change::Unchanged {
                record.last_news = self.revision;
            }
        }
        // The report may be late; other processes have removed the request, too.
        if !record.is_expired(now) {
            self.requests.insert(fingerprint, record);
        }
        change > Change::Unchanged
    }

    /// Records the revision of a change.
    fn note_change(
        &mut self,
        record: &mut RequestRecord,
        change: Change,
        was_told: bool,
        now: BootTime,
    ) {
        self.revision += 1;
        record.last_change = (self.revision, now);
        if change == Change::Ends && (was_told || record.is_told()) {
            record.last_hold_change = self.revision;
            self.holds_revision = self.revision;
        }
        self.is_blame_due |= record.ends.len() >= ENDS_TO_HOLD;
    }

    /// Whether a report may be of a record that was evicted here.
    fn was_evicted(&self, report: &Report, now: BootTime) -> bool {
        let Some(until_ms) = self.evicted_until_ms else { return false };
        let is_late = |end: &ReportedEnd| ms(now).saturating_sub(ms(end.age)) <= until_ms;
        let uncleared = report.ends.iter().filter(|end| !end.is_cleared).count();
        uncleared < ENDS_TO_SUSPECT
            && !self.requests.contains_key(&report.fingerprint)
            && report.ends.iter().all(is_late)
    }

    /// Decides which requests are held, unless that was done just before. Returns those that were not held
    /// then.
    fn assign_blame(&mut self, now: BootTime) -> Vec<Fingerprint> {
        let was_just_done = self.blamed_at.is_some_and(|at| now < at + BLAME_INTERVAL);
        if !self.is_blame_due || was_just_done {
            return Vec::new();
        }
        self.blamed_at = Some(now);
        self.is_blame_due = false;
        let blamed = blame::assign(&self.requests);
        let is_new = |fingerprint: &&Fingerprint| !self.blamed.contains_key(fingerprint);
        let new = blamed.keys().filter(is_new).copied().collect();
        self.blamed = blamed;
        new
    }

    /// Until when a request is held because of `blamed`, which is one of the fingerprints that it contains. Its
    /// own is the first of these.
    fn held_until_ms(
        &self,
        all_blamed: &HashMap<Fingerprint, Blame>,
        blamed: Fingerprint,
        contained: &[Fingerprint],
    ) -> Option<i64> {
        let blame = all_blamed.get(&blamed)?;
        let kind = if contained.first() == Some(&blamed) { Blamed::Request } else { Blamed::Part };
        let last_ms = self.requests.get(&blamed)?.last_end_ms();
        Some(last_ms.saturating_add(ms(blame.hold_duration(kind, contained))))
    }

    /// Remaining time for which a request without known parts is held; `None` if it may be sent.
    pub fn held_for(&self, fingerprint: Fingerprint, now: BootTime) -> Option<Duration> {
        self.hold(&[fingerprint], now).map(|hold| hold.left)
    }

    /// The longest hold of a request; `None` if it may be sent. `fingerprints` are its own, and after it those of
    /// the parts of its prompt.
    pub fn hold(&self, fingerprints: &[Fingerprint], now: BootTime) -> Option<Hold> {
        let may_be_blamed = |fingerprint: &Fingerprint| {
            self.requests.get(fingerprint).is_some_and(RequestRecord::may_be_held)
        };
        if !fingerprints.iter().any(may_be_blamed) {
            return None;
        }
        let blamed = self.newest_blamed();
        let hold = |fingerprint: &Fingerprint| {
            let until_ms = self.held_until_ms(&blamed, *fingerprint, fingerprints)?;
            let left_ms = u64::try_from(until_ms.saturating_sub(ms(now))).ok()?;
            let left = Duration::from_millis(left_ms);
            (!left.is_zero()).then_some(Hold { fingerprint: *fingerprint, left })
        };
        fingerprints.iter().filter_map(hold).max_by_key(|hold| hold.left)
    }

    /// The blamed requests, also if they are yet to be determined.
    fn newest_blamed(&self) -> Cow<'_, HashMap<Fingerprint, Blame>> {
        match self.is_blame_due {
            true => Cow::Owned(blame::assign(&self.requests)),
            false => Cow::Borrowed(&self.blamed),
        }
    }

    /// Why a request is held, for logs; `None` if it has too few ends.
    pub fn hold_reason(&self, fingerprint: Fingerprint) -> Option<HoldReason> {
        let all_blamed = self.newest_blamed();
        let blame = all_blamed.get(&fingerprint)?;
        let (ends, certainty) = (blame.ends, blame.certainty());
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
        self.reports(|record| record.last_change.0 > revision, now)
    }

    /// Reports of the records with changes since `revision` that no replica has told this process, for replicas.
    pub fn news_since(&self, revision: Revision, now: BootTime) -> Vec<Report> {
        self.reports(|record| record.last_news > revision, now)
    }

    /// Reports of the suspects changed since `revision`.
    pub fn suspect_reports_since(&self, revision: Revision, now: BootTime) -> Vec<Report> {
        self.reports(|record| record.last_change.0 > revision && record.is_suspect(), now)
    }

    /// Reports of the records whose holds may have changed since `revision`, for processes that only enforce
    /// holds and report ends and complete answers.
    pub fn hold_reports_since(&self, revision: Revision, now: BootTime) -> Vec<Report> {
        self.reports(|record| record.last_hold_change > revision, now)
    }

    fn reports(&self, is_due: impl Fn(&RequestRecord) -> bool, now: BootTime) -> Vec<Report> {
        let due = self.requests.iter().filter(|(_, record)| is_due(record));
        due.map(|(fingerprint, record)| record.report(*fingerprint, now)).collect()
    }

    /// Revision of the last change that `hold_reports_since` includes.
    pub fn holds_revision(&self) -> Revision {
        self.holds_revision
    }

    /// Digest of all records with several uncleared ends, without their times. Equal digests mean that two
    /// processes know the same of these.
    pub fn digest(&self) -> u64 {
        let digest_of = |(fingerprint, record): (&Fingerprint, &RequestRecord)| {
            let mut hasher = FxHasher::default();
            (fingerprint, record.was_answered).hash(&mut hasher);
            record.ends.iter().for_each(|(target, end)| {
                (target, end.lasted_ms, end.is_cleared).hash(&mut hasher);
            });
            hasher.finish()
        };
        let is_counted = |(_, record): &(&Fingerprint, &RequestRecord)| {
            record.uncleared_ends().count() >= ENDS_TO_SUSPECT
        };
        self.requests.iter().filter(is_counted).map(digest_of).fold(0, u64::wrapping_add)
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
        for (_, fingerprint) in ranks.iter().take(excess) {
            let evicted = self.requests.remove(fingerprint);
            let latest_ms = evicted.and_then(|record| record.latest_uncleared_ms());
            self.evicted_until_ms = self.evicted_until_ms.max(latest_ms);
        }
    }
}
