//! Brittle targets: they crash if they must reject more requests in a second, from all hosts together,
//! than they state, and they may let fewer requests wait meanwhile.

use std::time::Duration;

use super::rate::{NamedLimit, RateLimit};
use crate::clock::BootTime;

/// A brittle target gets no requests for this long after it has rejected one. Covers the time until
/// the other hosts know of the rejection.
const CLOSED_FOR: Duration = Duration::from_millis(300);
/// Rejections within this time tell of the same fullness.
const SAME_FULLNESS: Duration = Duration::from_millis(200);
/// The rate of requests after a rejection, as a fraction of the rejections that it bears. A target that
/// took a higher rate for `STABLE_AFTER` gets half of that.
const FIRST_RATE_FRACTION: f64 = 0.5;
const STABLE_AFTER: Duration = Duration::from_secs(2);
/// The rate doubles within this time up to half of the rate at which the target last rejected a request,
/// and rises by a fraction of that from then on.
const RISE_INTERVAL: Duration = Duration::from_millis(500);
const SLOW_RISE_FRACTION: f64 = 0.1;
/// Number of such times after which the rate is no longer limited.
const MAX_RISES: f64 = 40.0;
/// How often one more request may run at a target that has rejected one.
const ROOM_RISE_INTERVAL: Duration = Duration::from_secs(3);

/// What one process knows of the brittleness of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Brittleness {
    /// The rejections in a second that its answers state; none if it is not brittle.
    bears: NamedLimit,
    rejected: Option<Rejection>,
}

/// The last rejection that is known, from any host.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Rejection {
    at: BootTime,
    /// The requests that the target held.
    held: u32,
    /// The rate of requests from then on.
    first_per_s: f64,
    /// Half of the rate at that time; infinite if that was not limited.
    threshold_per_s: f64,
}

impl Brittleness {
    /// The rejections in a second that it bears; `None` if it is not brittle.
    pub fn bears(&self) -> Option<RateLimit> {
        self.bears.get()
    }

    /// When an answer last stated it, or showed its end.
    pub fn observed_at(&self) -> BootTime {
        self.bears.observed_at()
    }

    /// Records what an answer to a request sent at `sent_at` states. Returns whether it begins,
    /// changes or ends.
    pub fn answered(&mut self, bears: Option<RateLimit>, sent_at: BootTime, now: BootTime) -> bool {
        self.bears.answered(bears, sent_at, now)
    }

    /// Records what another process observed at `at`.
    pub fn told(&mut self, bears: Option<RateLimit>, at: BootTime) {
        self.bears.told(bears, at);
    }

    /// Records that it rejected a request at `at`, of this process or another, while it held `held`
    /// others.
    pub fn rejected(&mut self, held: u32, at: BootTime) {
        let is_known = self.rejected.is_some_and(|known| at <= known.at + SAME_FULLNESS);
        if is_known {
            return;
        }
        let held = self.max_held(at).map_or(held, |known| known.min(held));
        let lowest = self.bears.get().map_or(0.0, first_rate);
        let half = self.rate_limit(at).map(|limit| (limit.requests_per_s / 2.0).max(lowest));
        let was_stable = self.rejected.is_some_and(|known| at >= known.at + STABLE_AFTER);
        self.rejected = Some(Rejection {
            at,
            held: held.max(1),
            first_per_s: half.filter(|_| was_stable).unwrap_or(lowest),
            threshold_per_s: half.unwrap_or(f64::INFINITY),
        });
    }

    /// How long it gets no requests; `None` if it gets some.
    pub fn closed_for(&self, now: BootTime) -> Option<Duration> {
        self.bears.get()?;
        let left = (self.rejected?.at + CLOSED_FOR).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// The rate of requests from all hosts together after a rejection; `None` if it is not limited.
    pub fn rate_limit(&self, now: BootTime) -> Option<RateLimit> {
        // It may have become known as brittle only after the rejection.
        let lowest = first_rate(self.bears.get()?);
        let Rejection { at, first_per_s, threshold_per_s, .. } = self.rejected?;
        let first_per_s = first_per_s.max(lowest);
        let open_for = now.saturating_sub(at + CLOSED_FOR);
        // Continuous, so that the shares of entries don't all rise at the same moment.
        let rises = open_for.as_secs_f64() / RISE_INTERVAL.as_secs_f64();
        if rises >= MAX_RISES {
            return None;
        }
        let doublings = (threshold_per_s / first_per_s).log2();
        let requests_per_s = match rises < doublings {
            true => first_per_s * rises.exp2(),
            false => threshold_per_s * (1.0 + SLOW_RISE_FRACTION * (rises - doublings)),
        };
        Some(RateLimit { requests_per_s })
    }

    /// Requests that may run or wait there at once; `None` if it is not brittle, or if that is not
    /// known. `slots` is the number that it runs at once, 0 if unknown: what it lets wait may shrink at
    /// any time.
    pub fn max_requests(&self, slots: u32, now: BootTime) -> Option<u32> {
        self.bears.get()?;
        let slots = (slots > 0).then_some(slots);
        let max_requests = self.max_held(now).into_iter().chain(slots).min()?;
        Some(max_requests.max(1))
    }

    /// What it held when it rejected a request, raised slowly.
    fn max_held(&self, now: BootTime) -> Option<u32> {
        let Rejection { held, at, .. } = self.rejected?;
        let raised = now.saturating_sub(at).as_millis() / ROOM_RISE_INTERVAL.as_millis();
        Some(held.saturating_add(raised as u32))
    }
}

/// The lowest rate of requests per second after a rejection by a target that bears this many.
fn first_rate(bears: RateLimit) -> f64 {
    bears.requests_per_s * FIRST_RATE_FRACTION
}
