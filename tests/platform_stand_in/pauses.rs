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
}

impl Platform {
    /// Records that a target goes on after a pause.
    #[allow(dead_code, reason = "not used by the tests of a deployment")]
    pub fn record_pause(&self, id: &str, from: Instant) {
        let pause = TargetPause { from, until: Instant::now() };
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
        let now = Instant::now();
        let pause = self.last_pause.filter(|pause| now < pause.until + READ_WITHIN);
        pause.map_or(now, |pause| pause.from)
    }
}
