//! Health of one target: ejection after consecutive failures, and gradual readmission.

use std::time::Duration;

use crate::clock::BootTime;

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Length of the first ejection; each further one without a recovery in between doubles it.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Concurrent requests from this process to a target on trial.
const MAX_TRIAL_REQUESTS: u32 = 1;
/// Successes on trial after which a target is healthy again.
const SUCCESSES_TO_RECOVER: u32 = 3;

/// Whether a failed request counts against the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The target crashed, hung or gave a wrong answer.
    Target,
    /// A connection to the target broke. So do connections of a process that loses its own path to
    /// targets.
    Connection,
    /// Not the target's fault: an invalid request, a cancellation or a legitimate refusal.
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy { failures: u32 },
    Ejected { until: BootTime, cause: EjectionCause },
    Trial { successes: u32 },
}

/// Why a target was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EjectionCause {
    Failures,
    /// It could not be reached, or connections broke.
    Connection,
}

/// Health of one target as seen by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    state: State,
    /// Ejections since the target was last healthy.
    ejections: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health { state: State::Healthy { failures: 0 }, ejections: 0 }
    }
}

impl Health {
    /// Whether a request may be sent now; `running` is the number of this process's requests that
    /// run there.
    pub fn admits(&self, running: u32, now: BootTime) -> bool {
        match self.state {
            State::Healthy { .. } => true,
            State::Ejected { until, .. } => now >= until && running < MAX_TRIAL_REQUESTS,
            State::Trial { .. } => running < MAX_TRIAL_REQUESTS,
        }
    }

    /// Whether the target is ejected or on trial.
    pub fn is_unhealthy(&self) -> bool {
        !matches!(self.state, State::Healthy { .. })
    }

    /// When the target is tried again; `None` if it is not ejected.
    pub fn ejected_until(&self) -> Option<BootTime> {
        match self.state {
            State::Ejected { until, .. } => Some(until),
            _ => None,
        }
    }

    /// Whether the target is ejected because it could not be reached.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.state, State::Ejected { cause: EjectionCause::Connection, .. })
    }

    /// Records that the target can be reached, which ends an ejection for broken connections.
    pub fn record_reached(&mut self) {
        if self.is_unreachable() {
            *self = Health::default();
        }
    }

    /// Records a complete answer.
    pub fn record_success(&mut self) {
        self.state = match self.state {
            State::Healthy { .. } => State::Healthy { failures: 0 },
            State::Ejected { .. } => State::Trial { successes: 1 },
            State::Trial { successes } if successes + 1 >= SUCCESSES_TO_RECOVER => {
                self.ejections = 0;
                State::Healthy { failures: 0 }
            }
            State::Trial { successes } => State::Trial { successes: successes + 1 },
        };
    }

    /// Records a failed request. Only failures caused by the target count.
    pub fn record_failure(&mut self, cause: FailureCause, now: BootTime) {
        let cause = match cause {
            FailureCause::Other => return,
            FailureCause::Target => EjectionCause::Failures,
            FailureCause::Connection => EjectionCause::Connection,
        };
        self.state = match self.state {
            State::Healthy { failures } if failures + 1 < FAILURES_TO_EJECT => {
                State::Healthy { failures: failures + 1 }
            }
            // Requests sent before the ejection may still fail; they don't prolong it.
            ejected @ State::Ejected { until, .. } if now < until => ejected,
            _ => self.eject(cause, now),
        };
    }

    /// Ejects the target at once, without waiting for further failures.
    pub fn record_unreachable(&mut self, now: BootTime) {
        self.state = match self.state {
            ejected @ State::Ejected { until, .. } if now < until => ejected,
            _ => self.eject(EjectionCause::Connection, now),
        };
    }

    fn eject(&mut self, cause: EjectionCause, now: BootTime) -> State {
        let duration = INITIAL_EJECTION.saturating_mul(1 << self.ejections.min(10));
        self.ejections += 1;
        State::Ejected { until: now + duration.min(MAX_EJECTION), cause }
    }
}
