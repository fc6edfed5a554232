//! A request while an emulated target runs it.

use std::time::{Duration, Instant};

use ::http::HeaderValue;
use bytes::Bytes;
use futures::StreamExt;

use super::Platform;
use super::http::{self, HttpResponse};
use super::observations::RunEnd;
use super::store::{PartName, clock_ms};
use super::target::{DEFAULT_SLOTS, EVENT_INTERVAL, Target};

/// Duration of a save to or a fetch from the store.
const TRANSFER_TIME: Duration = Duration::from_millis(5);

/// The response body of a plain service to a request.
pub fn expected_body(request: &str) -> String {
    format!("the answer to {request}")
}

/// One event of the response stream to a request.
pub fn expected_event(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}

/// A request while a target runs it.
pub struct Job {
    pub platform: Platform,
    pub target: String,
    pub start: u64,
    pub request: String,
    pub stamp: String,
    pub is_stream: bool,
    /// The number of the last event sent by an earlier run, and the total number of events.
    pub events: (u64, u64),
    pub weights: Option<u64>,
    /// Parts to fetch from the store.
    pub fetches: Vec<PartName>,
    /// When the fetches expire, in Unix milliseconds.
    pub until_ms: u64,
    /// Parts to save to the store.
    pub saves: Vec<PartName>,
}

impl Drop for Job {
    /// Records the end of the run, also if the client has disconnected.
    fn drop(&mut self) {
        self.end(RunEnd::Aborted(Instant::now()));
        let mut inner = self.platform.lock();
        let target = inner.targets.get_mut(&self.target);
        if let Some(target) = target.filter(|target| target.start == self.start) {
            target.running -= 1;
        }
    }
}

impl Job {
    pub fn end(&self, end: RunEnd) {
        self.platform.lock().observations.record_end(&self.request, &self.stamp, end);
    }

    pub fn add_response_headers(&self, mut answer: HttpResponse) -> HttpResponse {
        let load = |target: &Target| (target.running, target.slots());
        let load = self.platform.lock().targets.get(&self.target).map(load);
        let (running, slots) = load.unwrap_or((0, DEFAULT_SLOTS));
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::from_str(&value).expect("a valid header value");
            answer.headers_mut().insert(name, value);
        };
        set("x-request-id", self.request.clone());
        set("x-response-stamp", self.stamp.clone());
        set("x-server-load", format!("{running},0,{slots}"));
        if let Some(weights) = self.weights {
            set("x-weight-versions", weights.to_string());
        }
        answer
    }

    /// Fetches parts from the store, then saves parts in the background.
    pub async fn transfer_parts(&self) {
        if !self.fetches.is_empty() {
            self.check_fetches("when the fetch starts");
            tokio::time::sleep(TRANSFER_TIME).await;
            if clock_ms() <= self.until_ms {
                self.check_fetches("when the fetch ends");
            }
        }
        let (platform, saves) = (self.platform.clone(), self.saves.clone());
        let (target, start) = (self.target.clone(), self.start);
        if !saves.is_empty() {
            tokio::spawn(async move {
                let epoch = platform.lock().store.epoch;
                tokio::time::sleep(TRANSFER_TIME).await;
                let mut inner = platform.lock();
                if inner.store.epoch == epoch && inner.runs(&target, start) {
                    saves.iter().for_each(|part| inner.store.complete_save(part));
                }
            });
        }
    }

    pub fn check_fetches(&self, when: &str) {
        let mut inner = self.platform.lock();
        for part in &self.fetches {
            // A missing part is recomputed, but an incomplete one must not be requested.
            if inner.store.is_partial(part) {
                let what = format!("{} fetches {part:?}, which is incomplete {when}", self.request);
                inner.observations.violation(what);
            }
        }
        inner.store.fetched += 1;
    }

    pub fn into_event_stream(self, breaks_off: bool) -> HttpResponse {
        let (made, all) = self.events;
        let breaks_at = if breaks_off { made + (all - made) / 2 } else { u64::MAX };
        let stamped = self.add_response_headers(http::status(200));
        let parts = futures::stream::unfold((self, made), move |(job, made)| async move {
            if made == all {
                job.end(RunEnd::Complete);
                return None;
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
            if made >= breaks_at {
                let broken = std::io::Error::other("injected failure of the stream");
                return Some((Err(broken), (job, all)));
            }
            let event = expected_event(&job.request, made + 1);
            Some((Ok(Bytes::from(event)), (job, made + 1)))
        });
        let mut answer = http::streaming(parts.boxed());
        answer.headers_mut().extend(stamped.headers().clone());
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert("content-type", kind);
        answer
    }
}
