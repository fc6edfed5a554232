//! Rates that targets bear, and how the hosts keep them together.

use std::hash::BuildHasher;
use std::time::Duration;

use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::TargetStart;

/// Entries draw a new share this often.
const SHARE_PERIOD: Duration = Duration::from_secs(1);

/// The rate of requests that a target takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit {
    /// Finite and not negative.
    pub requests_per_s: f64,
}

impl RateLimit {
    /// Time between requests.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.requests_per_s)
    }

    pub fn scaled(self, factor: f64) -> RateLimit {
        RateLimit { requests_per_s: self.requests_per_s * factor }
    }
}

/// Spaces the requests of one sender to a target evenly. Several senders in succession, such
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
    pub fn record(&mut self, limit: RateLimit, now: BootTime) {
        self.next_at = now + limit.interval();
    }
}

/// The share of one entry in the requests to limited targets that no scheduler places.
#[derive(Clone, Debug)]
pub struct IndependentShare {
    /// Number of entries that share the rate.
    pub entries: u32,
    /// Makes the draws of entries independent of each other.
    pub seed: u64,
}

/// Requests that one entry has sent to a target in its current period.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareUse {
    period: u64,
    requests: u32,
}

impl IndependentShare {
    /// Whether this entry may send another request to a target that takes `limit` from all entries
    /// together.
    pub fn admits(
        &self,
        target: &TargetStart,
        limit: RateLimit,
        used: ShareUse,
        now: BootTime,
    ) -> bool {
        let period = self.period(now);
        let requests = if used.period == period { used.requests } else { 0 };
        requests < self.allowance(target, limit, period)
    }

    /// Records a request that is sent now.
    pub fn record(&self, used: &mut ShareUse, now: BootTime) {
        let period = self.period(now);
        let requests = if used.period == period { used.requests } else { 0 };
        *used = ShareUse { period, requests: requests + 1 };
    }

    /// Requests allowed in a period. On average the allowances of all entries add up to the limit,
    /// also if that is less than one request an entry.
    fn allowance(&self, target: &TargetStart, limit: RateLimit, period: u64) -> u32 {
        let share =
            limit.requests_per_s * SHARE_PERIOD.as_secs_f64() / f64::from(self.entries.max(1));
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
