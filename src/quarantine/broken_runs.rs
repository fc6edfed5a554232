//! Determines whether a target has terminated or only failed to complete some answers.
//!
//! To a single request, an overloaded target, a lost response and a connection reset look like a
//! target that has terminated. A target counts as terminated if its address refuses connections, if
//! another target answers there, or if the platform no longer lists it although it never announced
//! that it was leaving.
//!
//! An answer that ends with its connection looks complete, too, if its target terminated between two
//! events. It counts as complete only if the target outlives it.

use std::collections::HashMap;
use std::time::Duration;

use super::Fingerprint;
use crate::clock::BootTime;
use crate::ids::TargetStart;

/// How long broken runs wait for evidence that their target has terminated; the platform lists such
/// targets for some seconds more.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest number of runs tracked per target. An engine runs fewer requests at once, each of which counts
/// once for itself and once for each part of its prompt.
const MAX_RUNS_PER_TARGET: usize = 1_024;

/// A run of a request that ended without a complete answer, or without a proof that it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenRun {
    /// Identifies the request's content, or a part of its prompt.
    pub fingerprint: Fingerprint,
    pub sent_at: BootTime,
    pub broke_at: BootTime,
}

/// Broken runs by target.
#[derive(Clone, Debug, Default)]
pub struct BrokenRuns {
    targets: HashMap<TargetStart, TargetRuns>,
}

#[derive(Clone, Debug)]
struct TargetRuns {
    /// Runs whose cause is not known yet, at most one per request.
    runs: Vec<BrokenRun>,
    /// Runs whose answers ended with their connections, and may be complete.
    unproven: Vec<BrokenRun>,
    /// When the last run broke, or the target was found to have terminated.
    last_event_at: BootTime,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A check that began at this time is in progress.
    Checking(BootTime),
    /// The target accepted the last connection attempt.
    Listening,
    /// The target has terminated.
    Ended,
}

/// What the caller has to do after a run broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCheck {
    /// Nothing: the target has terminated, so this run counts against its request.
    TargetEnded,
    /// Check whether the target still accepts connections.
    StartCheck,
    /// Wait for a check that is in progress.
    CheckInProgress,
}

/// What follows from a check that found its target listening.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListeningTarget {
    /// Runs whose answers are complete, as the target has outlived them.
    pub completed: Vec<BrokenRun>,
    /// Whether another check is needed, for answers that ended during this one.
    pub needs_check: bool,
}

impl BrokenRuns {
    /// Records a run that broke.
    pub fn record_broken_run(&mut self, target: &TargetStart, run: BrokenRun) -> TargetCheck {
        self.record(target, run, |entry| add_run(&mut entry.runs, run))
    }

    /// Records a run whose answer ended with its connection.
    pub fn record_unproven_answer(&mut self, target: &TargetStart, run: BrokenRun) -> TargetCheck {
        self.record(target, run, |entry| {
            // An answer to the same request is proven first, so that frequent ones don't postpone each other.
            if entry.unproven.iter().all(|known| known.fingerprint != run.fingerprint) {
                add_run(&mut entry.unproven, run);
            }
        })
    }

    fn record(
        &mut self,
        target: &TargetStart,
        run: BrokenRun,
        add: impl FnOnce(&mut TargetRuns),
    ) -> TargetCheck {
        self.remove_expired(run.broke_at);
        let new = || TargetRuns {
            runs: Vec::new(),
            unproven: Vec::new(),
            last_event_at: run.broke_at,
            state: State::Listening,
        };
        let entry = self.targets.entry(target.clone()).or_insert_with(new);
        entry.last_event_at = run.broke_at;
        if entry.state == State::Ended {
            return TargetCheck::TargetEnded;
        }
        add(entry);
        match entry.state {
            State::Checking(_) => TargetCheck::CheckInProgress,
            State::Listening | State::Ended => {
                entry.state = State::Checking(run.broke_at);
                TargetCheck::StartCheck
            }
        }
    }

    /// Records that a target still listens at the end of a check.
    pub fn mark_listening(&mut self, target: &TargetStart) -> ListeningTarget {
        let Some(entry) = self.targets.get_mut(target) else { return ListeningTarget::default() };
        let State::Checking(since) = entry.state else { return ListeningTarget::default() };
        let unproven = std::mem::take(&mut entry.unproven);
        let (completed, later): (Vec<_>, Vec<_>) =
            unproven.into_iter().partition(|run| run.broke_at <= since);
        let next_check_at = later.iter().map(|run| run.broke_at).max();
        entry.unproven = later;
        entry.state = next_check_at.map_or(State::Listening, State::Checking);
        ListeningTarget { completed, needs_check: next_check_at.is_some() }
    }

    /// Records that a check could not tell whether a target still listens.
    pub fn mark_unreachable(&mut self, target: &TargetStart) {
        if let Some(entry) = self.targets.get_mut(target)
            && matches!(entry.state, State::Checking(_))
        {
            entry.state = State::Listening;
        }
    }

    /// Records that a target has terminated. Returns the runs that broke there, or may have, each only once.
    pub fn mark_ended(&mut self, target: &TargetStart, now: BootTime) -> Vec<BrokenRun> {
        self.remove_expired(now);
        let Some(entry) = self.targets.get_mut(target) else { return Vec::new() };
        entry.state = State::Ended;
        let mut runs = std::mem::take(&mut entry.runs);
        std::mem::take(&mut entry.unproven).into_iter().for_each(|run| add_run(&mut runs, run));
        runs
    }

    /// Whether a target is known to have terminated.
    pub fn has_ended(&self, target: &TargetStart) -> bool {
        self.targets.get(target).is_some_and(|entry| entry.state == State::Ended)
    }

    /// Targets with broken runs whose cause is not known yet.
    pub fn unresolved_targets(&self) -> impl Iterator<Item = &TargetStart> {
        let unresolved = self.targets.iter().filter(|(_, entry)| entry.state != State::Ended);
        unresolved.map(|(target, _)| target)
    }

    fn remove_expired(&mut self, now: BootTime) {
        self.targets.retain(|_, entry| now < entry.last_event_at + EVIDENCE_TIMEOUT);
        for entry in self.targets.values_mut() {
            entry.runs.retain(|run| now < run.broke_at + EVIDENCE_TIMEOUT);
            entry.unproven.retain(|run| now < run.broke_at + EVIDENCE_TIMEOUT);
        }
    }
}

fn add_run(runs: &mut Vec<BrokenRun>, run: BrokenRun) {
    let has_room = runs.len() < MAX_RUNS_PER_TARGET;
    match runs.iter_mut().find(|known| known.fingerprint == run.fingerprint) {
        // The target survived the start of the earlier run, so the longer one counts.
        Some(known) => {
            known.sent_at = known.sent_at.min(run.sent_at);
            known.broke_at = known.broke_at.max(run.broke_at);
        }
        None if has_room => runs.push(run),
        None => {}
    }
}
