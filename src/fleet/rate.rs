//! Rates that targets bear, and how the hosts keep them together.

use std::hash::BuildHasher;
use std::time::Duration;

use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::TargetStart;

/// Entries draw a new share this often.
const SHARE_PERIOD: Duration = Duration::from_secs(1);
/// How far ahead an entry looks for its next share.
const MAX_PERIODS_AHEAD: u64 = 30;
/// A target whose limit is lower still gets a request now and then: only its answers show when the
/// limit ends.
const MIN_REQUESTS_PER_S: f64 = 0.2;
/// A named limit that differs by less than this fraction is the same. Keeps a target that names
/// another number in each answer from being news each time.
const SAME_LIMIT_TOLERANCE: f64 = 0.1;
/// Fractions of a named limit that entries use when each decides for itself. They draw their shares
/// at random, so at times more of them send than expected. A scheduler may use the whole limit for
/// prompts of other entries meanwhile.
const INDEPENDENT_PLAIN_FRACTION: f64 = 0.8;
const INDEPENDENT_PROMPT_FRACTION: f64 = 0.5;

/// The rate of requests that a target takes from all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RateLimit {
    /// Finite and not negative.
    pub requests_per_s: f64,
}

impl RateLimit {
    pub const ZERO: RateLimit = RateLimit { requests_per_s: 0.0 };

    /// Time between requests.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.requests_per_s)
    }

    pub fn scaled(self, factor: f64) -> RateLimit {
        RateLimit { requests_per_s: self.requests_per_s * factor }
    }

    pub fn min(self, other: RateLimit) -> RateLimit {
        if other < self { other } else { self }
    }

    fn is_similar(self, other: RateLimit) -> bool {
        let difference = (self.requests_per_s - other.requests_per_s).abs();
        difference <= self.requests_per_s * SAME_LIMIT_TOLERANCE
    }
}

/// What one process knows of the rate limit that a target names in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NamedLimit {
    limit: Option<RateLimit>,
    /// When an answer last named it, or showed its end.
    observed_at: BootTime,
}

impl NamedLimit {
    /// The limit in force; `None` if the target takes any number of requests.
    pub fn get(&self) -> Option<RateLimit> {
        let limit = self.limit?;
        Some(RateLimit { requests_per_s: limit.requests_per_s.max(MIN_REQUESTS_PER_S) })
    }

    /// When an answer last named it, or showed its end.
    pub fn observed_at(&self) -> BootTime {
        self.observed_at
    }

    /// The rate of all entries together that decide for themselves.
    pub fn independent_limit(&self, is_prompt: bool) -> Option<RateLimit> {
        let fraction =
            if is_prompt { INDEPENDENT_PROMPT_FRACTION } else { INDEPENDENT_PLAIN_FRACTION };
        Some(self.get()?.scaled(fraction))
    }

    /// Records the limit that an answer to a request sent at `sent_at` names. Returns whether it
    /// begins, changes or ends.
    pub fn answered(&mut self, named: Option<RateLimit>, sent_at: BootTime, now: BootTime) -> bool {
        match (self.limit, named) {
            (None, None) => return false,
            // It may have been given before the limit was first named, and overtaken.
            (Some(_), None) if sent_at < self.observed_at => return false,
            _ => self.observed_at = now,
        }
        let is_same = self.limit.zip(named).is_some_and(|(known, named)| known.is_similar(named));
        if !is_same {
            self.limit = named;
        }
        !is_same
    }

    /// Records what another process observed at `at`.
    pub fn told(&mut self, limit: Option<RateLimit>, at: BootTime) {
        if at > self.observed_at {
            (self.limit, self.observed_at) = (limit, at);
        }
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

    /// When the next request may be sent.
    pub fn next_at(&self) -> BootTime {
        self.next_at
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

    /// Time until this entry may send a request to a target whose share of this period is used up.
    pub fn next_admission(
        &self,
        target: &TargetStart,
        limit: RateLimit,
        now: BootTime,
    ) -> Duration {
        let period = self.period(now);
        let ahead = (1..MAX_PERIODS_AHEAD)
            .find(|ahead| self.allowance(target, limit, period + ahead) > 0)
            .unwrap_or(MAX_PERIODS_AHEAD);
        let period_ms = SHARE_PERIOD.as_millis() as u64;
        let elapsed_ms = (now.as_millis() as u64 + self.offset_ms()) % period_ms;
        Duration::from_millis(ahead * period_ms - elapsed_ms)
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

    fn period(&self, now: BootTime) -> u64 {
        (now.as_millis() as u64 + self.offset_ms()) / SHARE_PERIOD.as_millis() as u64
    }

    /// Periods of different entries begin at different times.
    fn offset_ms(&self) -> u64 {
        self.seed % SHARE_PERIOD.as_millis() as u64
    }
}
