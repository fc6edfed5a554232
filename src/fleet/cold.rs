//! Cold targets: for some time after its start a target bears only a low rate of requests, summed
//! over all hosts, and crashes above it.

use std::hash::BuildHasher;
use std::time::Duration;

use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::TargetStart;

/// Fraction of a cold target's rate that entries use when each decides for itself. They draw their
/// shares at random, so more of them than expected may send within the same second.
const INDEPENDENT_FRACTION: f64 = 0.5;
/// Entries draw a new share this often.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

/// What the targets of a service bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a target is cold.
    pub duration: Duration,
    /// Requests that it bears meanwhile, summed over all hosts. Always positive.
    pub requests_per_s: f64,
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

/// Spaces the requests of one sender to a cold target evenly. Several senders in succession, such
/// as the schedulers of successive leaders, together keep the rate without knowing of each other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pacer {
    next_at: BootTime,
}

impl Pacer {
    /// Whether a request may be sent now.
    pub fn admits(&self, now: BootTime) -> bool {
        now >= self.next_at
    }

    /// Records a request that is sent now.
    pub fn record(&mut self, cold_start: &ColdStart, now: BootTime) {
        self.next_at = now + Duration::from_secs_f64(1.0 / cold_start.requests_per_s);
    }
}

/// The share of one entry in the requests to cold targets that no scheduler places.
#[derive(Clone, Debug)]
pub struct IndependentShare {
    /// Number of entries that share the rate.
    pub entries: u32,
    /// Makes the draws of entries independent of each other.
    pub seed: u64,
}

/// Requests that one entry has sent to a cold target in its current period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareUse {
    period: u64,
    requests: u32,
}

impl IndependentShare {
    /// Whether this entry may send another request to a cold target.
    pub fn admits(
        &self,
        target: &TargetStart,
        cold_start: &ColdStart,
        used: ShareUse,
        now: BootTime,
    ) -> bool {
        let period = self.period(now);
        let requests = if used.period == period { used.requests } else { 0 };
        requests < self.allowance(target, cold_start, period)
    }

    /// Records a request that is sent now.
    pub fn record(&self, used: &mut ShareUse, now: BootTime) {
        let period = self.period(now);
        let requests = if used.period == period { used.requests } else { 0 };
        *used = ShareUse { period, requests: requests + 1 };
    }

    /// Requests allowed in a period. On average the allowances of all entries add up to
    /// `INDEPENDENT_FRACTION` of the rate, also if that is less than one request an entry.
    fn allowance(&self, target: &TargetStart, cold_start: &ColdStart, period: u64) -> u32 {
        let share =
            cold_start.requests_per_s * INDEPENDENT_FRACTION / f64::from(self.entries.max(1));
        let hash = FxBuildHasher.hash_one((self.seed, &target.id, period));
        let draw = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        share as u32 + u32::from(draw < share.fract())
    }

    /// Periods of different entries begin at different times.
    fn period(&self, now: BootTime) -> u64 {
        let offset_ms = self.seed % SHARE_PERIOD.as_millis() as u64;
        (now.as_millis() as u64 + offset_ms) / SHARE_PERIOD.as_millis() as u64
    }
}
