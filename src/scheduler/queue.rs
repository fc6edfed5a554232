//! Queue of prompts that wait for an engine: the most urgent first, of equally urgent ones those that
//! go on with a stream, periodically the oldest to prevent starvation, and each with a wait limit.

use std::collections::VecDeque;
use std::time::Duration;

use super::messages::PlacementRequest;
use crate::clock::BootTime;

/// Identifies a queued prompt.
pub type WaiterId = u64;

/// Every n-th pop takes the oldest prompt, so that less urgent ones don't starve. These are up to
/// ten times as long as urgent ones, so even a few take a large share of prefill time.
const OLDEST_FIRST_INTERVAL: u64 = 25;
/// Bounds of the longest wait, as fractions of the time-to-first-token objective.
const WAIT_FRACTIONS: (f64, f64) = (0.3, 0.8);
/// The longest wait leaves this multiple of the expected time from placement to first token.
const SERVICE_TIME_RESERVE: f64 = 1.5;
/// Longest wait if the operator sets no objective, and of prompts that go on with a stream.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
pub struct QueuedPrompt {
    pub waiter: WaiterId,
    pub request: PlacementRequest,
    /// When it was submitted.
    pub since: BootTime,
    /// Expected time from its placement to the first token.
    pub service_time: Duration,
}

impl QueuedPrompt {
    /// Whether it goes on with a stream and only the engines may take it that may take `other`.
    pub fn needs_same_engines(&self, other: &QueuedPrompt) -> bool {
        self.request.software.is_some()
            && self.request.software == other.request.software
            && self.request.service == other.request.service
    }

    /// When it is refused if it has not been placed.
    pub fn expires_at(&self) -> BootTime {
        let objective = self.request.objective;
        // The objective is that of the first token, which the caller of a stream has.
        let max_wait = match objective.is_zero() || self.request.software.is_some() {
            true => DEFAULT_MAX_WAIT,
            false => {
                let left =
                    objective.saturating_sub(self.service_time.mul_f64(SERVICE_TIME_RESERVE));
                let (min, max) = WAIT_FRACTIONS;
                left.clamp(objective.mul_f64(min), objective.mul_f64(max))
            }
        };
        self.since + max_wait.min(self.request.time_left)
    }
}

/// Prompts that wait for an engine.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// In order of arrival.
    waiting: VecDeque<QueuedPrompt>,
    pops: u64,
}

impl Queue {
    pub fn add(&mut self, queued: QueuedPrompt) {
        self.waiting.push_back(queued);
    }

    /// Puts back a prompt that could not be placed, at its place by arrival time.
    pub fn requeue(&mut self, queued: QueuedPrompt) {
        let position = self.waiting.partition_point(|other| other.since <= queued.since);
        self.waiting.insert(position, queued);
    }

    /// Removes a prompt whose caller has left.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.waiting.retain(|queued| queued.waiter != waiter);
    }

    /// Removes and returns prompts that have reached their wait limit.
    pub fn drain_expired(&mut self, now: BootTime) -> Vec<QueuedPrompt> {
        let is_expired = |queued: &QueuedPrompt| queued.expires_at() <= now;
        if !self.waiting.iter().any(is_expired) {
            return Vec::new();
        }
        let (expired, waiting): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_expired);
        self.waiting = waiting.into();
        expired
    }

    /// Removes and returns the prompt to place next, of those that `may_pop` accepts.
    pub fn pop_next(&mut self, may_pop: impl Fn(&QueuedPrompt) -> bool) -> Option<QueuedPrompt> {
        self.pops += 1;
        let mut candidates = self.waiting.iter().enumerate().filter(|(_, queued)| may_pop(queued));
        let next = if self.pops.is_multiple_of(OLDEST_FIRST_INTERVAL) {
            candidates.next()
        } else {
            // Of equally urgent prompts, the first.
            candidates.min_by_key(|(_, queued)| {
                (queued.request.priority, queued.request.software.is_none())
            })
        };
        let position = next?.0;
        self.waiting.remove(position)
    }

    /// Number of prompts for the same service that are placed before a new one.
    pub fn ahead_of(&self, request: &PlacementRequest) -> usize {
        let is_ahead = |queued: &&QueuedPrompt| {
            queued.request.service == request.service && queued.request.priority <= request.priority
        };
        self.waiting.iter().filter(is_ahead).count()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
