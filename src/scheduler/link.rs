//! Bandwidth model of a network link whose transfers run one after another.

use std::time::Duration;

use crate::clock::BootTime;

/// A transfer is slow if it exceeds this multiple of the expected time by more than
/// `SLOW_SLACK_MS`.
const SLOW_RATIO: f64 = 2.0;
/// Delays up to this are not attributed to the link: engines delay transfers, too.
const SLOW_SLACK_MS: f64 = 40.0;
/// Factor by which a slow transfer raises the slowness of the links at both ends. A healthy link
/// recovers through its other transfers, a slow one does not.
const SLOWNESS_INCREASE: f64 = 1.2;
/// Factor by which a transfer on time lowers the slowness, down to 1.
const SLOWNESS_DECREASE: f64 = 0.93;
/// Upper bound of the slowness.
const MAX_SLOWNESS: f64 = 20.0;
/// Half-life of the slowness above 1. A link considered slow gets no fetches that could show its
/// recovery, so the estimate must decay by itself.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
pub struct Link {
    mbps: f64,
    /// When all granted transfers will have ended.
    busy_until: BootTime,
    /// Ratio of actual to nominal transfer time when last measured; at least 1.
    slowness: f64,
    measured_at: BootTime,
}

impl Link {
    pub fn new(mbps: f64) -> Link {
        let (busy_until, measured_at) = (BootTime::ZERO, BootTime::ZERO);
        Link { mbps: mbps.max(1.0), busy_until, slowness: 1.0, measured_at }
    }

    /// Time until earlier transfers have ended.
    pub fn queue_delay(&self, now: BootTime) -> Duration {
        self.busy_until.saturating_sub(now)
    }

    /// Duration of a transfer; `domain_factor` is 1 within a failure domain.
    pub fn transfer_time(&self, size_bytes: f64, domain_factor: f64, now: BootTime) -> Duration {
        let ms = size_bytes * 8.0 / (self.mbps * 1e3) * domain_factor * self.slowness(now);
        Duration::from_secs_f64(ms / 1e3)
    }

    /// Reserves the link for a transfer.
    pub fn reserve(&mut self, size_bytes: f64, domain_factor: f64, now: BootTime) {
        self.busy_until =
            self.busy_until.max(now) + self.transfer_time(size_bytes, domain_factor, now);
    }

    /// Updates the slowness from a finished transfer. Both times include queueing. A late transfer
    /// does not lengthen the queue: the queue follows from granted transfers alone.
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
