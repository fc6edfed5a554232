//! The rate at which engines of a service take waiting prompts, and how long a number of prompts
//! waits at that rate.

use std::time::Duration;

use crate::clock::BootTime;

/// Measurements lose weight by a factor of e in this time in which prompts wait. Bursts last for
/// some seconds, so the rate must follow within one.
const DECAY_TIME: Duration = Duration::from_secs(1);
/// A longer time without a placement is not counted. When all engines are silent or load weights,
/// nothing is known about the rate at which they take prompts afterwards.
const MAX_GAP: Duration = Duration::from_millis(200);
/// Fewer placements (with decay) don't show a rate.
const MIN_PLACED: f64 = 8.0;
/// Nor does a shorter time: engines that were silent first finish what they hold.
const MIN_MEASURED: Duration = Duration::from_millis(250);

/// Measures placements while prompts wait. At other times the rate is that of the demand.
#[derive(Clone, Debug, Default)]
pub struct PlacementRate {
    placed: f64,
    /// Time in which prompts waited, multiplied by the number of engines.
    engine_s: f64,
    /// Time in which prompts waited.
    measured_s: f64,
    /// Since when prompts wait, or the last placement among these.
    measured_until: Option<BootTime>,
}

/// Capacity that becomes free for waiting prompts.
#[derive(Clone, Debug, Default)]
pub struct Supply {
    pub per_engine_per_s: f64,
    pub engines: usize,
    /// Times from now at which further engines are tried again, in order.
    pub returns: Vec<Duration>,
    /// Nothing is placed before this time from now.
    pub starts_in: Duration,
}

impl PlacementRate {
    /// Records that prompts wait from now on.
    pub fn begin(&mut self, now: BootTime) {
        self.measured_until.get_or_insert(now);
    }

    /// Records that no prompt waits any more.
    pub fn end(&mut self) {
        self.measured_until = None;
    }

    /// Records the placement of waiting prompts.
    pub fn add(&mut self, placed: usize, engines: usize, now: BootTime) {
        let Some(since) = self.measured_until else { return };
        if placed == 0 {
            return;
        }
        self.measured_until = Some(now);
        let gap = now.saturating_sub(since);
        if gap > MAX_GAP {
            return;
        }
        let took = gap.as_secs_f64();
        let decay = (-took / DECAY_TIME.as_secs_f64()).exp();
        self.placed = self.placed * decay + placed as f64;
        self.engine_s = self.engine_s * decay + took * engines as f64;
        self.measured_s = self.measured_s * decay + took;
    }

    /// Placements per second on each engine; `None` if too few were seen.
    pub fn per_engine_per_s(&self) -> Option<f64> {
        let is_known = self.placed >= MIN_PLACED && self.measured_s >= MIN_MEASURED.as_secs_f64();
        (is_known && self.engine_s > 0.0).then(|| self.placed / self.engine_s)
    }
}

impl Supply {
    pub fn per_s(&self) -> f64 {
        self.per_engine_per_s * self.engines as f64
    }

    /// How long the last of `prompts` waits if `others_per_s` go before them, which leave them
    /// `min_share` of the placements at least.
    pub fn time_for(&self, prompts: f64, others_per_s: f64, min_share: f64) -> Duration {
        let left_at = |rate: f64| (rate - others_per_s).max(rate * min_share);
        let (mut at, mut rate, mut left) = (0.0, self.per_s(), prompts);
        for returns_in in &self.returns {
            let placed = left_at(rate) * (returns_in.as_secs_f64() - at);
            if placed >= left {
                break;
            }
            left -= placed;
            at = returns_in.as_secs_f64();
            rate += self.per_engine_per_s;
        }
        let wait_s = at + left / left_at(rate).max(f64::MIN_POSITIVE);
        self.starts_in
            + Duration::try_from_secs_f64(wait_s).unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
    }
}

/// Longer waits are not told apart: no caller waits for so long.
const LONGEST_WAIT: Duration = Duration::from_secs(3_600);
