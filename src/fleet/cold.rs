//! Cold targets: for some time after its start a target bears only a low rate of requests, summed
//! over all hosts, and crashes above it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rate::RateLimit;
use crate::clock::BootTime;

/// Fraction of a cold target's rate that entries use when each decides for itself. They draw their
/// shares at random, so more of them than expected may send within the same second.
const INDEPENDENT_FRACTION: f64 = 0.5;

/// What the targets of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a target is cold.
    pub duration: Duration,
    /// Requests that it bears meanwhile, summed over all hosts. Always positive.
    pub requests_per_s: f64,
}

impl ColdStart {
    /// The rate of all hosts together.
    pub fn limit(&self) -> RateLimit {
        RateLimit { requests_per_s: self.requests_per_s }
    }

    /// The rate of all entries together that decide for themselves.
    pub fn independent_limit(&self) -> RateLimit {
        self.limit().scaled(INDEPENDENT_FRACTION)
    }
}

/// What one process knows of whether a target is cold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Coldness {
    /// Whether the platform lists it as cold.
    is_listed: bool,
    /// It is taken for cold until then: it may have restarted, and the list lags.
    presumed_until: BootTime,
    /// When it may have ended, if it has answered nothing that was sent since. A restart happens
    /// between this time and the next answer.
    may_have_ended_at: Option<BootTime>,
}

impl Coldness {
    /// A target as the platform lists it.
    pub fn listed(is_cold: bool) -> Coldness {
        Coldness { is_listed: is_cold, ..Coldness::default() }
    }

    pub fn set_listed(&mut self, is_cold: bool) {
        self.is_listed = is_cold;
    }

    /// Records that the target may have ended. It is taken for cold for as long as a cold start
    /// lasts, and once more from its next answer.
    pub fn may_have_ended(&mut self, cold_start: &ColdStart, now: BootTime) {
        self.may_have_ended_at = self.may_have_ended_at.max(Some(now));
        self.presume(cold_start, now);
    }

    /// Records an answer to a request that was sent at `sent_at`.
    pub fn answered(&mut self, cold_start: &ColdStart, sent_at: BootTime, now: BootTime) {
        if self.may_have_ended_at.take_if(|ended_at| *ended_at <= sent_at).is_some() {
            self.presume(cold_start, now);
        }
    }

    fn presume(&mut self, cold_start: &ColdStart, now: BootTime) {
        self.presumed_until = self.presumed_until.max(now + cold_start.duration);
    }

    /// Whether the target may have ended and has not answered since.
    pub fn awaits_answer(&self) -> bool {
        self.may_have_ended_at.is_some()
    }

    pub fn is_cold(&self, now: BootTime) -> bool {
        self.is_listed || now < self.presumed_until
    }
}
