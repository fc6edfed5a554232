//! Rate limits that emulated targets name in their answers.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use ::http::HeaderValue;

use super::http::HttpResponse;
use super::{Inner, Platform};

/// Time after which all hosts keep a limit that was named.
pub const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// A host keeps a limit this long after it has passed on an answer that names it.
const APPLIED_WITHIN: Duration = Duration::from_millis(500);
/// Requests are counted in windows of this length.
pub const WINDOW: Duration = Duration::from_secs(4);

/// A rate limit that a target names, and the requests that it gets meanwhile.
pub struct NamedLimit {
    requests_per_s: f64,
    since: Instant,
    /// Requests within the last window.
    arrivals: VecDeque<Instant>,
}

impl NamedLimit {
    /// Most requests within a window.
    fn max_per_window(&self) -> usize {
        (self.requests_per_s * WINDOW.as_secs_f64() * 1.5) as usize + 5
    }

    /// Postpones the time from which on the limit applies by what a pause held up: no answer named it,
    /// and requests that are read at the end of the pause were sent before.
    pub(super) fn add_pause(&mut self, from: Instant, until: Instant) {
        if from < self.since + KNOWN_WITHIN {
            self.since += until.saturating_duration_since(from.max(self.since));
        }
    }

    /// Records a request. Returns how many came within the window if they are too many.
    fn record_arrival(&mut self, now: Instant) -> Option<usize> {
        if now < self.since + APPLIED_WITHIN {
            return None;
        }
        self.arrivals.retain(|at| now - *at < WINDOW);
        self.arrivals.push_back(now);
        let count = self.arrivals.len();
        (now >= self.since + KNOWN_WITHIN && count > self.max_per_window()).then_some(count)
    }
}

impl Platform {
    /// Sets or removes the rate limit that a target names.
    pub fn set_limit(&self, id: &str, requests_per_s: Option<f64>) {
        let limit = requests_per_s.map(|requests_per_s| NamedLimit {
            requests_per_s,
            since: Instant::now(),
            arrivals: VecDeque::new(),
        });
        if let Some(target) = self.lock().targets.get_mut(id) {
            target.limit = limit;
        }
    }

    /// Adds the limit that a target names to an answer.
    pub(super) fn add_limit(&self, id: &str, answer: &mut HttpResponse) {
        let inner = self.lock();
        let limit = inner.targets.get(id).and_then(|target| target.limit.as_ref());
        if let Some(limit) = limit {
            let value = HeaderValue::from_str(&limit.requests_per_s.to_string());
            answer.headers_mut().insert("server-limit", value.expect("a number"));
        }
    }
}

impl Inner {
    /// Records a request to a target, and whether it gets more than it takes.
    pub(super) fn record_limited_arrival(&mut self, id: &str) {
        let now = Instant::now();
        let limit = self.targets.get_mut(id).and_then(|target| target.limit.as_mut());
        let Some(limit) = limit else { return };
        if let Some(count) = limit.record_arrival(now) {
            let (max, age) = (limit.max_per_window(), limit.since.elapsed());
            let what = format!(
                "{id} gets {count} requests in {WINDOW:?}, {max} allowed, {age:?} after it has named \
                 its limit"
            );
            self.observations.limit_excesses.push((now, what));
        }
    }
}
