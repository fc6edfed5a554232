//! Memory of engines, as an entry that places prompts without the scheduler estimates it. Pure.
//!
//! An engine's memory holds the prompt and the output of each of its requests. The entry knows the
//! sizes of its own requests, and the number of others from load reports.

use std::time::Duration;

use crate::clock::BootTime;

/// Requests may use at most this fraction of an engine's memory, as in the scheduler's placements.
/// Beyond it, running requests are preempted.
const MAX_IN_USE_FRACTION: f64 = 0.97;
/// Size in tokens that is assumed of a request until the entry has seen some: the mean over the requests
/// that an engine holds, of which long ones are most, since they run longest. A lower one would
/// overfill engines at first.
pub const DEFAULT_REQUEST_TOKENS: f64 = 6_000.0;
/// Weight of a sample in the mean size, which follows a change of the mix within some 50 prompts.
const MEAN_SIZE_WEIGHT: f64 = 0.02;
/// Requests of the default size that count as the first sample, so that one request doesn't set the mean.
const DEFAULT_REQUESTS: f64 = 1.0;
/// Weight of a new report in the mean number of requests at an engine. An entry gets some ten
/// reports per second, and load changes within seconds.
const MEAN_LOAD_WEIGHT: f64 = 0.1;
/// The influence of a reported load decays linearly to zero within this time, towards the mean over the
/// service: about how long a request with a long output holds its memory.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// A prompt is refused for want of memory only on reports that are younger than this, about as long as
/// most requests run.
const CURRENT_FOR: Duration = Duration::from_millis(600);
/// Mean number of own requests in progress below which the mean size is still the default. Nothing is refused
/// on the default: with small prompts it takes engines for full that are nearly empty.
const MIN_MEAN_REQUESTS: f64 = 0.2;
/// Requests that are assumed at an engine without a report, as a multiple of the mean over the service:
/// the fullest engines hold more than the mean. In the simulation of
/// `tests/deployment/memory_share.rs`, 1 overfilled a tenth more engines, and 1.5 hardly fewer.
const GUESS_FACTOR: f64 = 1.3;
/// An engine with fewer requests than this is believed to hold nothing. Means are not whole numbers.
const EMPTY_BELOW_REQUESTS: f64 = 0.5;

/// What an entry knows of the memory of a service's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceMemory {
    /// Memory of each engine; 0 if it is unknown or the service has no engines.
    pub capacity_tokens: u64,
    /// Requests of this entry at all engines, and the tokens that they hold.
    own_requests: u32,
    own_tokens: u64,
    /// Means of both over the moments at which a prompt was sent. Their ratio is the mean size of the
    /// requests that an engine holds; the mean over prompts would be too low, as long ones run longer.
    mean_requests: f64,
    mean_tokens: f64,
    /// Mean number of other entries' requests at an engine, by the reports of all engines.
    mean_others: f64,
}

/// Requests of other entries at an engine, as its last answer reported them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedRequests {
    pub others: u32,
    pub at: BootTime,
}

impl ServiceMemory {
    /// Records a request of this entry that holds `tokens`, with its reserved output.
    pub fn begin(&mut self, tokens: u64) {
        let to_sample = |mean: f64, now: f64| mean + (now - mean) * MEAN_SIZE_WEIGHT;
        self.mean_requests = to_sample(self.mean_requests, f64::from(self.own_requests));
        self.mean_tokens = to_sample(self.mean_tokens, self.own_tokens as f64);
        self.own_requests += 1;
        self.own_tokens += tokens;
    }

    /// Records that such a request has left its engine.
    pub fn end(&mut self, tokens: u64) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
    }

    /// Records the number of other entries' requests that an engine reports.
    pub fn record_others(&mut self, others: u32) {
        self.mean_others += (f64::from(others) - self.mean_others) * MEAN_LOAD_WEIGHT;
    }

    /// Mean size of the requests that engines hold, in tokens.
    fn request_tokens(&self) -> f64 {
        let default = DEFAULT_REQUESTS * MEAN_SIZE_WEIGHT;
        (self.mean_tokens + default * DEFAULT_REQUEST_TOKENS) / (self.mean_requests + default)
    }

    /// The memory of an engine that holds `own_tokens` of this entry; `None` if its capacity is unknown.
    pub fn of_engine(
        &self,
        own_tokens: u64,
        reported: Option<ReportedRequests>,
        now: BootTime,
    ) -> Option<EngineMemory> {
        let age = reported.map(|reported| now.saturating_sub(reported.at));
        let weight =
            age.map_or(0.0, |age| (1.0 - age.as_secs_f64() / REPORT_TTL.as_secs_f64()).max(0.0));
        let others = reported.map_or(0.0, |reported| f64::from(reported.others));
        let guess = self.mean_others * GUESS_FACTOR;
        let others = weight * others + (1.0 - weight) * guess;
        (self.capacity_tokens > 0).then_some(EngineMemory {
            capacity_tokens: self.capacity_tokens,
            own_tokens,
            others,
            other_tokens: others * self.request_tokens(),
            is_current: age.is_some_and(|age| age < CURRENT_FOR)
                && self.mean_requests >= MIN_MEAN_REQUESTS,
        })
    }
}

/// What an entry believes of an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineMemory {
    pub capacity_tokens: u64,
    /// Tokens that this entry's requests hold.
    pub own_tokens: u64,
    /// Estimated number of other entries' requests.
    pub others: f64,
    /// Tokens that these hold.
    pub other_tokens: f64,
    /// Whether the estimate is based on a recent report of the engine and on known sizes of requests.
    pub is_current: bool,
}

impl EngineMemory {
    /// Tokens left for further prompts; negative if the engine is believed to be too full.
    pub fn free_tokens(&self) -> f64 {
        let limit_tokens = self.capacity_tokens as f64 * MAX_IN_USE_FRACTION;
        limit_tokens - self.own_tokens as f64 - self.other_tokens
    }

    /// Whether a prompt with its reserved output fits. One that is larger than the memory of every
    /// engine runs alone.
    pub fn has_room(&self, tokens: u64) -> bool {
        let is_empty = self.own_tokens == 0 && self.others < EMPTY_BELOW_REQUESTS;
        is_empty || tokens as f64 <= self.free_tokens()
    }
}
