//! Pauses of emulated targets. A target reads what was sent during a pause at its end, and names nothing
//! to anyone before that.

use std::time::{Duration, Instant};

use super::Platform;
use super::target::Target;

/// A target has read what was sent during a pause this long after its end.
const READ_WITHIN: Duration = Duration::from_millis(250);

/// The last pause of a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetPause {
    from: Instant,
    until: Instant,
    /// Whether it refuses what it reads at the end, as its queue is full.
    wakes_full: bool,
}

impl Platform {
    /// Records that a target goes on after a pause.
    #[allow(dead_code, reason = "not used by the tests of a deployment")]
    pub fn record_pause(&self, id: &str, from: Instant, wakes_full: bool) {
        let pause = TargetPause { from, until: Instant::now(), wakes_full };
        if let Some(target) = self.lock().targets.get_mut(id) {
            target.last_pause = Some(pause);
            if let Some(limit) = &mut target.limit {
                limit.add_pause(pause.from, pause.until);
            }
        }
    }
}

impl Target {
    /// The earliest time at which a request that it reads now may have been sent.
    pub(super) fn sent_from(&self) -> Instant {
        self.pause_before().map_or_else(Instant::now, |pause| pause.from)
    }

    /// Whether it refuses requests after a pause.
    pub(super) fn has_woken_full(&self) -> bool {
        self.pause_before().is_some_and(|pause| pause.wakes_full)
    }

    /// The pause that has just ended.
    fn pause_before(&self) -> Option<TargetPause> {
        self.last_pause.filter(|pause| pause.until.elapsed() < READ_WITHIN)
    }
}
