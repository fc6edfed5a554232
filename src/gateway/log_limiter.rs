//! Bounds the lines that are written for requests.

use std::cell::Cell;
use std::hash::BuildHasher;

use rustc_hash::FxBuildHasher;

use crate::clock::BootTime;

/// Lines of whole answers that are written each second. Beyond that only those of some requests
/// are, by a hash of their ids, so that all processes keep the same ones.
const SUCCESSES_PER_S: u32 = 100;
/// Lines of all other endings that are written each second: 20 for each of a hundred connections.
const FAILURES_PER_S: u32 = 2_000;
/// One request in this many is kept then.
const SAMPLE_ONE_IN: u64 = 16;

/// Bounds the lines that are written for requests.
#[derive(Debug, Default)]
pub struct RequestLogLimiter {
    second: Cell<u64>,
    successes: Cell<u32>,
    failures: Cell<u32>,
}

impl RequestLogLimiter {
    /// Whether the line of a request is written.
    pub fn should_log(&self, id: &str, is_success: bool, now: BootTime) -> bool {
        if self.second.replace(now.as_secs()) != now.as_secs() {
            self.successes.set(0);
            self.failures.set(0);
        }
        let (count, limit) = match is_success {
            true => (&self.successes, SUCCESSES_PER_S),
            false => (&self.failures, FAILURES_PER_S),
        };
        count.set(count.get() + 1);
        let is_sampled = is_success && FxBuildHasher.hash_one(id).is_multiple_of(SAMPLE_ONE_IN);
        count.get() <= limit || is_sampled
    }
}
