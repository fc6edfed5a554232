//! Brittle targets: they crash if they must reject more requests in a second, from all hosts together,
//! than they state, and they may let fewer requests wait meanwhile.

use std::time::Duration;

use super::rate::{NamedLimit, RateLimit};
use crate::clock::BootTime;

/// A brittle target gets no requests for this long after it has rejected one. Covers the time until
/// the other hosts know of the rejection.
const CLOSED_FOR: Duration = Duration::from_millis(300);
/// After that it gets few requests for this long, each of which it may reject.
const PROBED_FOR: Duration = Duration::from_millis(700);
/// Fraction of the rejections that a target bears which probes may cause.
const PROBE_FRACTION: f64 = 0.5;
/// How often one more request may run at a target that has rejected one.
const RAISE_INTERVAL: Duration = Duration::from_millis(500);

/// What one process knows of the brittleness of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Brittleness {
    /// The rejections in a second that its answers state; none if it is not brittle.
    bears: NamedLimit,
    /// When it last rejected a request, from any host.
    rejected_at: Option<BootTime>,
    /// The requests that it held when it last rejected one of this process, and when.
    full_at: Option<(u32, BootTime)>,
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

    /// Records that it rejected a request while it held `held` others.
    pub fn rejected(&mut self, held: u32, now: BootTime) {
        let held = self.max_held(now).map_or(held, |known| known.min(held));
        self.full_at = Some((held.max(1), now));
        self.told_rejection(now);
    }

    /// Records that it rejected a request of another process at `at`.
    pub fn told_rejection(&mut self, at: BootTime) {
        self.rejected_at = self.rejected_at.max(Some(at));
    }

    /// How long it gets no requests; `None` if it gets some.
    pub fn closed_for(&self, now: BootTime) -> Option<Duration> {
        self.bears.get()?;
        let left = (self.rejected_at? + CLOSED_FOR).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// The rate of requests from all hosts together while it may reject them; `None` if it is not
    /// limited.
    pub fn probe_limit(&self, now: BootTime) -> Option<RateLimit> {
        let bears = self.bears.get()?;
        let is_probed = now < self.rejected_at? + CLOSED_FOR + PROBED_FOR;
        is_probed.then(|| bears.scaled(PROBE_FRACTION))
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
        let (held, at) = self.full_at?;
        let raised = now.saturating_sub(at).as_millis() / RAISE_INTERVAL.as_millis();
        Some(held.saturating_add(raised as u32))
    }
}
