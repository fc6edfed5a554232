//! Determines whether a target has terminated or only failed to complete some answers.
//!
//! To a single request, an overloaded target, a lost response and a connection reset look like a
//! target that has terminated. A target counts as terminated if its address refuses connections, if
//! another target answers there, or if the platform no longer lists it although it never announced
//! that it was leaving.

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

/// A run of a request that ended without a complete answer.
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
    /// When the last run broke, or the target was found to have terminated.
    last_event_at: BootTime,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// A connection attempt is in progress.
    Checking,
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

impl BrokenRuns {
    /// Records a run that broke.
    pub fn record_broken_run(&mut self, target: &TargetStart, run: BrokenRun) -> TargetCheck {
        self.remove_expired(run.broke_at);
        let new = || TargetRuns {
            runs: Vec::new(),
            last_event_at: run.broke_at,
            state: State::Listening,
        };
        let entry = self.targets.entry(target.clone()).or_insert_with(new);
        entry.last_event_at = run.broke_at;
        if entry.state == State::Ended {
            return TargetCheck::TargetEnded;
        }
        let has_room = entry.runs.len() < MAX_RUNS_PER_TARGET;
        match entry.runs.iter_mut().find(|known| known.fingerprint == run.fingerprint) {
            // The target survived the start of the earlier run, so the longer one counts.
            Some(known) => {
                known.sent_at = known.sent_at.min(run.sent_at);
                known.broke_at = known.broke_at.max(run.broke_at);
            }
            None if has_room => entry.runs.push(run),
            None => {}
        }
        match std::mem::replace(&mut entry.state, State::Checking) {
            State::Checking => TargetCheck::CheckInProgress,
            State::Listening | State::Ended => TargetCheck::StartCheck,
        }
    }

    /// Records that a target accepted a connection.
    pub fn mark_listening(&mut self, target: &TargetStart) {
        if let Some(entry) = self.targets.get_mut(target)
            && entry.state == State::Checking
        {
            entry.state = State::Listening;
        }
    }

    /// Records that a target has terminated. Returns the runs that broke there, each only once.
    pub fn mark_ended(&mut self, target: &TargetStart, now: BootTime) -> Vec<BrokenRun> {
        self.remove_expired(now);
        let Some(entry) = self.targets.get_mut(target) else { return Vec::new() };
        entry.state = State::Ended;
        std::mem::take(&mut entry.runs)
    }

    /// Targets with broken runs whose cause is not known yet.
    pub fn unresolved_targets(&self) -> impl Iterator<Item = &TargetStart> {
        let unresolved = self.targets.iter().filter(|(_, entry)| entry.state != State::Ended);
        unresolved.map(|(target, _)| target)
    }

    fn remove_expired(&mut self, now: BootTime) {
        self.targets.retain(|_, entry| now < entry.last_event_at + EVIDENCE_TIMEOUT);
    }
}
