//! Prompts that wait for an engine: the most urgent first, but now and then the oldest, and none
//! longer than it can hope to be on time.

use std::collections::VecDeque;
use std::time::Duration;

use super::messages::PlacementRequest;
use crate::clock::BootTime;

/// Names a prompt that waits.
pub type WaiterId = u64;

/// One pick in this many takes the oldest prompt, so that less urgent ones are not starved. They are
/// up to ten times as long as urgent ones, so that few pops are a large part of what engines read.
const OLDEST_FIRST_INTERVAL: u64 = 25;
/// A prompt waits for at most this part of its objective. The rest is for reading it.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// The same where the operator names no objective.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(1);

/// A prompt that waits.
#[derive(Clone, Debug)]
pub struct QueuedPrompt {
    /// Its name.
    pub waiter: WaiterId,
    /// What it asks.
    pub request: PlacementRequest,
    /// When it came.
    pub since: BootTime,
}

impl QueuedPrompt {
    fn expires_at(&self) -> BootTime {
        let objective = self.request.objective;
        let most = match objective.is_zero() {
            true => DEFAULT_MAX_WAIT,
            false => objective.mul_f64(MAX_WAIT_FRACTION),
        };
        self.since + most.min(self.request.time_left)
    }
}

/// All that wait.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// In the order of arrival.
    waiting: VecDeque<QueuedPrompt>,
    pops: u64,
}

impl Queue {
    /// Adds a prompt.
    pub fn add(&mut self, queued: QueuedPrompt) {
        self.waiting.push_back(queued);
    }

    /// Puts a prompt back that could not be placed.
    pub fn requeue(&mut self, queued: QueuedPrompt) {
        let place = self.waiting.partition_point(|other| other.since <= queued.since);
        self.waiting.insert(place, queued);
    }

    /// Takes a prompt out whose caller has left.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.waiting.retain(|queued| queued.waiter != waiter);
    }

    /// Takes out those that have waited for as long as makes sense.
    pub fn drain_expired(&mut self, now: BootTime) -> Vec<QueuedPrompt> {
        let is_expired = |queued: &QueuedPrompt| queued.expires_at() <= now;
        if !self.waiting.iter().any(is_expired) {
            return Vec::new();
        }
        let (expired, waiting): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_expired);
        self.waiting = waiting.into();
        expired
    }

    /// Takes out the one that is next.
    pub fn pop_next(&mut self) -> Option<QueuedPrompt> {
        self.pops += 1;
        if self.pops.is_multiple_of(OLDEST_FIRST_INTERVAL) {
            return self.waiting.pop_front();
        }
        let most_urgent = self.waiting.iter().map(|queued| queued.request.priority).min()?;
        let place = self.waiting.iter().position(|w| w.request.priority == most_urgent)?;
        self.waiting.remove(place)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
