//! A link over which kept parts are moved, one after another.

use std::time::Duration;

use crate::clock::BootTime;

/// A transfer this many times as slow as expected, and a bit, shows that the link has turned slow.
const SLOW_RATIO: f64 = 2.0;
/// Differences below this do not lower the bandwidth estimate: engines delay transfers, too.
const SLOW_SLACK_MS: f64 = 40.0;
/// A slow transfer raises what is expected of the next ones by this factor, at both of its ends: the
/// slow one has others that show it, the sound one has more that show the contrary.
const SLOWNESS_INCREASE: f64 = 1.2;
/// One that is as fast as expected lowers it by this factor, until the link counts as sound.
const SLOWNESS_DECREASE: f64 = 0.93;
/// Slowest that a link is taken for.
const MAX_SLOWNESS: f64 = 20.0;
/// What is believed of a slow link halves in this time: without fetches nothing would show that it is
/// sound again, and contexts would be read again meanwhile.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// A link.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    mbps: f64,
    /// When all that was granted is over.
    busy_until: BootTime,
    /// How many times as long as it should a transfer took when that was last measured. Never below
    /// 1.
    slowness: f64,
    measured_at: BootTime,
}

impl Link {
    /// A link that nothing uses.
    pub fn new(mbps: f64) -> Link {
        let (busy_until, measured_at) = (BootTime::ZERO, BootTime::ZERO);
        Link { mbps: mbps.max(1.0), busy_until, slowness: 1.0, measured_at }
    }

    /// How long earlier transfers still take.
    pub fn queue_delay(&self, now: BootTime) -> Duration {
        self.busy_until.saturating_sub(now)
    }

    /// How long a transfer takes; `domain_factor` is 1 within a failure domain.
    pub fn transfer_time(&self, size_bytes: f64, domain_factor: f64, now: BootTime) -> Duration {
        let ms = size_bytes * 8.0 / (self.mbps * 1e3) * domain_factor * self.slowness(now);
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Grants a transfer.
    pub fn reserve(&mut self, size_bytes: f64, domain_factor: f64, now: BootTime) {
        self.busy_until =
            self.busy_until.max(now) + self.transfer_time(size_bytes, domain_factor, now);
    }

    /// Takes how long a transfer took, and what was expected with those before it. How much is queued
    /// is known from what was granted: one that came late is no sign of more.
    pub fn observe_transfer(&mut self, expected_ms: f64, took_ms: f64, now: BootTime) {
        let slowness = self.slowness(now);
        if took_ms > expected_ms * SLOW_RATIO + SLOW_SLACK_MS {
            self.slowness = (slowness * SLOWNESS_INCREASE).min(MAX_SLOWNESS);
        } else if took_ms <= expected_ms + SLOW_SLACK_MS {
            self.slowness = (slowness * SLOWNESS_DECREASE).max(1.0);
        } else {
            return;
        }
        self.measured_at = now;
    }

    fn slowness(&self, now: BootTime) -> f64 {
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE.as_secs_f64())
    }
}
