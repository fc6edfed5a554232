//! Prompts that wait for an engine: the most urgent first, but now and then the oldest, and none
//! longer than it can hope to be on time.

use std::collections::VecDeque;
use std::time::Duration;

use super::messages::PlacementRequest;
use crate::clock::BootTime;

/// Names a prompt that waits.
pub type WaiterId = u64;

/// One pick in this many takes the oldest prompt, so that less urgent ones are not starved. They are
/// up to ten times as long as urgent ones, so that few picks are a large part of what engines read.
const OLDEST_FIRST_ONE_IN: u64 = 25;
/// A prompt waits for at most this part of its objective. The rest is for reading it.
const WAIT_PART: f64 = 0.5;
/// The same where the operator names no objective.
const WAIT_WITHOUT_OBJECTIVE: Duration = Duration::from_secs(1);

/// A prompt that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Its name.
    pub waiter: WaiterId,
    /// What it asks.
    pub request: PlacementRequest,
    /// When it came.
    pub since: BootTime,
}

impl Waiting {
    fn gives_up_at(&self) -> BootTime {
        let objective = self.request.objective;
        let most = match objective.is_zero() {
            true => WAIT_WITHOUT_OBJECTIVE,
            false => objective.mul_f64(WAIT_PART),
        };
        self.since + most.min(self.request.time_left)
    }
}

/// All that wait.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// In the order of arrival.
    waiting: VecDeque<Waiting>,
    picks: u64,
}

impl Queue {
    /// Adds a prompt.
    pub fn add(&mut self, waiting: Waiting) {
        self.waiting.push_back(waiting);
    }

    /// Puts a prompt back that could not be placed.
    pub fn put_back(&mut self, waiting: Waiting) {
        let place = self.waiting.partition_point(|other| other.since <= waiting.since);
        self.waiting.insert(place, waiting);
    }

    /// Takes a prompt out whose caller has left.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.waiting.retain(|waiting| waiting.waiter != waiter);
    }

    /// Takes out those that have waited for as long as makes sense.
    pub fn drain_hopeless(&mut self, now: BootTime) -> Vec<Waiting> {
        let is_hopeless = |waiting: &Waiting| waiting.gives_up_at() <= now;
        if !self.waiting.iter().any(is_hopeless) {
            return Vec::new();
        }
        let (hopeless, waiting): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_hopeless);
        self.waiting = waiting.into();
        hopeless
    }

    /// Takes out the one that is next.
    pub fn pick(&mut self) -> Option<Waiting> {
        self.picks += 1;
        if self.picks.is_multiple_of(OLDEST_FIRST_ONE_IN) {
            return self.waiting.pop_front();
        }
        let most_urgent = self.waiting.iter().map(|waiting| waiting.request.priority).min()?;
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
