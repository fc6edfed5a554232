//! Limits the rate of request log lines.

use std::cell::Cell;
use std::hash::BuildHasher;

use rustc_hash::FxBuildHasher;

use crate::clock::BootTime;

/// Successful requests that are logged each second. Beyond that, a sample chosen by a hash of the
/// request id is logged, so that all processes log the same requests.
const SUCCESSES_PER_S: u32 = 100;
/// Other requests that are logged each second.
const FAILURES_PER_S: u32 = 2_000;
/// Responses that an entry or target cut short, logged each second. Beyond that, nothing else is
/// logged in their place.
const CUTS_PER_S: u32 = 4_000;
/// One in this many successful requests is in the sample.
const SAMPLE_ONE_IN: u64 = 16;

/// Limits the rate of request log lines, with separate limits for successes, for responses that were
/// cut short, and for other failures.
#[derive(Debug, Default)]
pub struct RequestLogLimiter {
    second: Cell<u64>,
    successes: Cell<u32>,
    failures: Cell<u32>,
    cuts: Cell<u32>,
}

impl RequestLogLimiter {
    /// Counts a finished request and returns whether to log it.
    pub fn should_log(&self, id: &str, is_success: bool, now: BootTime) -> bool {
        self.begin_second(now);
        let (count, limit) = match is_success {
            true => (&self.successes, SUCCESSES_PER_S),
            false => (&self.failures, FAILURES_PER_S),
        };
        count.set(count.get() + 1);
        let is_sampled = is_success && FxBuildHasher.hash_one(id).is_multiple_of(SAMPLE_ONE_IN);
        self.cuts.get() <= CUTS_PER_S && (count.get() <= limit || is_sampled)
    }

    /// Counts a request whose response the entry or a target cut short, and returns whether to log it.
    pub fn should_log_cut(&self, now: BootTime) -> bool {
        self.begin_second(now);
        self.cuts.set(self.cuts.get() + 1);
        self.cuts.get() <= CUTS_PER_S
    }

    fn begin_second(&self, now: BootTime) {
        if self.second.replace(now.as_secs()) != now.as_secs() {
            [&self.successes, &self.failures, &self.cuts].iter().for_each(|count| count.set(0));
        }
    }
}
