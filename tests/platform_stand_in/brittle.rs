//! Emulated targets that are brittle: they say how many requests they may turn away in a second, and
//! crash if they have to turn away more.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use ::http::HeaderValue;

use super::http::HttpResponse;
use super::limits::KNOWN_WITHIN;
use super::starts::Restart;
use super::{Inner, Platform};

/// Rejections are counted in windows of this length.
const WINDOW: Duration = Duration::from_secs(1);
/// Time until a target that has crashed restarts.
const DOWNTIME: Duration = Duration::from_secs(2);

/// What a brittle target bears.
#[derive(Clone, Debug)]
pub struct Brittle {
    /// Requests that it may turn away within a second.
    rejections_per_s: usize,
    /// Requests that it holds at once after `KNOWN_WITHIN`.
    room: u32,
    since: Instant,
    /// Rejections within the last window.
    rejected: VecDeque<Instant>,
}

impl Platform {
    /// Makes a target brittle, with the number of requests that it may turn away within a second and
    /// the number that it holds at once, or sound again.
    pub fn set_brittle(&self, id: &str, bears: Option<(usize, u32)>) {
        let brittle = bears.map(|(rejections_per_s, room)| Brittle {
            rejections_per_s,
            room,
            since: Instant::now(),
            rejected: VecDeque::new(),
        });
        if let Some(target) = self.lock().targets.get_mut(id) {
            target.brittle = brittle;
        }
    }

    /// Adds to an answer that the target is brittle.
    pub(super) fn add_brittleness(&self, id: &str, answer: &mut HttpResponse) {
        let inner = self.lock();
        let brittle = inner.targets.get(id).and_then(|target| target.brittle.as_ref());
        if let Some(brittle) = brittle {
            let value = HeaderValue::from(brittle.rejections_per_s);
            answer.headers_mut().insert("server-brittle", value);
        }
    }

    /// Crashes a target that has turned away too many requests, and restarts it later.
    pub(super) fn crash_if_overrun(&self, id: &str) {
        let mut inner = self.lock();
        let Some(target) = inner.targets.get_mut(id) else { return };
        let Some(brittle) = &mut target.brittle else { return };
        let count = brittle.rejected.len();
        if count <= brittle.rejections_per_s {
            return;
        }
        brittle.rejected.clear();
        let kept = target.brittle.clone();
        let (at, what) =
            (target.address, format!("{id} crashes, as it has turned away {count} in a second"));
        let listed_address = Some(target.listed_address);
        inner.observations.overruns.push((Instant::now(), what));
        drop(inner);
        let (platform, id) = (self.clone(), id.to_string());
        tokio::spawn(async move {
            let restart = Restart { down: DOWNTIME, listed_address, ..Restart::at(at) };
            platform.restart_target(&id, restart).await;
            if let Some(target) = platform.lock().targets.get_mut(&id) {
                target.brittle = kept;
            }
        });
    }
}

impl Inner {
    /// Whether a brittle target has no room for another request, which it then turns away.
    pub(super) fn is_out_of_room(&mut self, id: &str) -> bool {
        let Some(target) = self.targets.get_mut(id) else { return false };
        let Some(brittle) = &mut target.brittle else { return false };
        let now = Instant::now();
        if now < brittle.since + KNOWN_WITHIN || target.running < brittle.room {
            return false;
        }
        brittle.rejected.retain(|at| now - *at < WINDOW);
        brittle.rejected.push_back(now);
        self.observations.rejections += 1;
        true
    }
}
