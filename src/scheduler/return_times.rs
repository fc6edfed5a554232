//! When refused callers are to return: one after another, at the interval at which capacity becomes free.
//!
//! A caller who returns is judged as a new one. Capacity that is kept for callers who may not return makes others late.

use std::time::Duration;

use crate::clock::BootTime;

/// Callers that can't come as late as their turn are spread over the last part of this size of the
/// time for which they wait.
const CAPPED_SPREAD: f64 = 0.3;

/// The time within which a caller returns.
#[derive(Clone, Copy, Debug)]
pub struct ReturnWindow {
    pub now: BootTime,
    pub earliest: BootTime,
    /// When the caller gives up waiting.
    pub latest: BootTime,
}

/// Return times of equally urgent prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    /// The earliest time for the next caller that is refused.
    next_at: BootTime,
}

impl ReturnTimes {
    /// When a caller is to return. `random` is a fraction that differs by caller.
    pub fn next(&mut self, window: ReturnWindow, interval: Duration, random: f64) -> BootTime {
        let ReturnWindow { now, earliest, latest } = window;
        let turn = earliest.max(self.next_at);
        // Callers that can't come as late as their turn don't delay those after them.
        self.next_at = self.next_at.max(turn.min(latest) + interval).min(latest + interval);
        match turn <= latest {
            true => turn,
            false => latest - latest.saturating_sub(now).mul_f64(random * CAPPED_SPREAD),
        }
    }
}
