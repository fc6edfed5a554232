//! Tells targets that have ended from those that only broke off some answers. Pure.
//!
//! A sick target, a lost answer and a connection that is reset look to one request like a target that has
//! ended. What tells them apart is the target's address: it refuses connections, or another target answers
//! there, or the list names that start no more though it never said that it leaves.

use std::collections::HashMap;
use std::time::Duration;

use super::Fingerprint;
use crate::clock::BootTime;
use crate::ids::TargetStart;

/// Broken runs wait for evidence of their target's end for this long: one that has ended stays on the
/// platform's list for some seconds.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Runs of one target that wait for evidence, at the most: more than any engine runs at once.
const MAX_RUNS_PER_TARGET: usize = 512;

/// A run of a request that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenRun {
    /// What it asks.
    pub fingerprint: Fingerprint,
    /// When it was sent.
    pub sent_at: BootTime,
    /// When it broke off.
    pub broke_at: BootTime,
}

/// Runs that broke off, by target.
#[derive(Clone, Debug, Default)]
pub struct BrokenRuns {
    targets: HashMap<TargetStart, TargetRuns>,
}

#[derive(Clone, Debug)]
struct TargetRuns {
    /// Runs for which there is no evidence yet, one of each request.
    runs: Vec<BrokenRun>,
    /// When the last one broke off, or the target was found to have ended.
    last_event_at: BootTime,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is being looked whether the target still listens.
    Checking,
    /// It listened when it was last looked.
    Listening,
    /// It has ended.
    Ended,
}

/// What is known of a target when a run there breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetCheck {
    /// It has ended, and this run was there.
    TargetEnded,
    /// Somebody must look whether it still listens.
    StartCheck,
    /// Somebody looks.
    CheckInProgress,
}

impl BrokenRuns {
    /// A run broke off at a target.
    pub fn record_broken_run(&mut self, target: &TargetStart, run: BrokenRun) -> TargetCheck {
        self.remove_expired(run.broke_at);
        let new = || TargetRuns {
            runs: Vec::new(),
            last_event_at: run.broke_at,
            state: State::Listening,
        };
        let broken = self.targets.entry(target.clone()).or_insert_with(new);
        broken.last_event_at = run.broke_at;
        if broken.state == State::Ended {
            return TargetCheck::TargetEnded;
        }
        let has_room = broken.runs.len() < MAX_RUNS_PER_TARGET;
        match broken.runs.iter_mut().find(|known| known.fingerprint == run.fingerprint) {
            // The target has stood the begin of the earlier one.
            Some(known) => known.sent_at = known.sent_at.min(run.sent_at),
            None if has_room => broken.runs.push(run),
            None => {}
        }
        match std::mem::replace(&mut broken.state, State::Checking) {
            State::Checking => TargetCheck::CheckInProgress,
            State::Listening | State::Ended => TargetCheck::StartCheck,
        }
    }

    /// A target has accepted a connection.
    pub fn mark_listening(&mut self, target: &TargetStart) {
        if let Some(broken) = self.targets.get_mut(target)
            && broken.state == State::Checking
        {
            broken.state = State::Listening;
        }
    }

    /// There is evidence that a target has ended. Returns the runs that broke off there, if that is news.
    pub fn mark_ended(&mut self, target: &TargetStart, now: BootTime) -> Vec<BrokenRun> {
        self.remove_expired(now);
        let Some(broken) = self.targets.get_mut(target) else { return Vec::new() };
        broken.state = State::Ended;
        std::mem::take(&mut broken.runs)
    }

    /// Targets with runs for which there is no evidence yet.
    pub fn unresolved_targets(&self) -> impl Iterator<Item = &TargetStart> {
        let unresolved = self.targets.iter().filter(|(_, broken)| broken.state != State::Ended);
        unresolved.map(|(target, _)| target)
    }

    fn remove_expired(&mut self, now: BootTime) {
        self.targets.retain(|_, broken| now < broken.last_event_at + EVIDENCE_TIMEOUT);
    }
}
