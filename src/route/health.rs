//! Health of one target: ejection after failures and return in steps.

use std::time::Duration;

use crate::clock::BootTime;

/// Failures in a row that eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection; each one in a row doubles it.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Requests at a time while a target is on trial.
const MAX_TRIAL_REQUESTS: u32 = 1;
/// Successes on trial that end it.
const SUCCESSES_TO_RECOVER: u32 = 3;

/// Whose cause a failed request was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The target's: it broke, hung or could not be reached.
    Target,
    /// The caller's or nobody's: a wrong request, a cancel, a refusal for good reason.
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy { failures: u32 },
    Ejected { until: BootTime },
    Trial { successes: u32 },
}

/// Health of one target as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    state: State,
    /// Ejections since the last return.
    ejections: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health { state: State::Healthy { failures: 0 }, ejections: 0 }
    }
}

impl Health {
    /// Whether a request may be sent now, with `running` of ours running there.
    pub fn admits(&self, running: u32, now: BootTime) -> bool {
        match self.state {
            State::Healthy { .. } => true,
            State::Ejected { until } => now >= until && running < MAX_TRIAL_REQUESTS,
            State::Trial { .. } => running < MAX_TRIAL_REQUESTS,
        }
    }

    /// Whether it is ejected or on trial.
    pub fn is_unhealthy(&self) -> bool {
        !matches!(self.state, State::Healthy { .. })
    }

    /// Records a whole answer.
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

    /// Records a failure.
    pub fn record_failure(&mut self, cause: FailureCause, now: BootTime) {
        if cause == FailureCause::Other {
            return;
        }
        self.state = match self.state {
            State::Healthy { failures } if failures + 1 < FAILURES_TO_EJECT => {
                State::Healthy { failures: failures + 1 }
            }
            // A late failure of a request from before the ejection doesn't lengthen it.
            State::Ejected { until } if now < until => State::Ejected { until },
            _ => self.eject(now),
        };
    }

    /// Records that it can't be reached: no more requests are risked to be sure of that.
    pub fn record_unreachable(&mut self, now: BootTime) {
        self.state = match self.state {
            State::Ejected { until } if now < until => State::Ejected { until },
            _ => self.eject(now),
        };
    }

    fn eject(&mut self, now: BootTime) -> State {
        let duration = INITIAL_EJECTION.saturating_mul(1 << self.ejections.min(10));
        self.ejections += 1;
        State::Ejected { until: now + duration.min(MAX_EJECTION) }
    }
}
