//! A request that a stand-in target runs.

use std::time::{Duration, Instant};

use ::http::HeaderValue;
use bytes::Bytes;
use futures::StreamExt;

use super::Platform;
use super::http::{self, HttpResponse};
use super::observations::RunEnd;
use super::store::{PartName, clock_ms};
use super::target::EVENT_INTERVAL;

/// How long a save or a fetch takes.
const TRANSFER_TIME: Duration = Duration::from_millis(5);

/// The whole answer of a plain request.
pub fn expected_body(request: &str) -> String {
    format!("the answer to {request}")
}

/// One event of a stream.
pub fn expected_event(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}

/// A request that a target runs.
pub struct Job {
    pub platform: Platform,
    pub target: String,
    pub start: u64,
    pub request: String,
    pub stamp: String,
    pub is_stream: bool,
    /// Events that have been made before, and that there shall be.
    pub events: (u64, u64),
    pub weights: Option<u64>,
    /// What it takes from the store.
    pub fetches: Vec<PartName>,
    pub until_ms: u64,
    pub saves: Vec<PartName>,
}

impl Drop for Job {
    /// However it ends, also when its caller closes the connection.
    fn drop(&mut self) {
        self.end(RunEnd::Left(Instant::now()));
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
        let load = self.platform.lock().targets.get(&self.target).map_or(0, |t| t.running);
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::from_str(&value).expect("a header's text");
            answer.headers_mut().insert(name, value);
        };
        set("x-request-id", self.request.clone());
        set("x-response-stamp", self.stamp.clone());
        set("x-server-load", format!("{load},0,16"));
        if let Some(weights) = self.weights {
            set("x-weight-versions", weights.to_string());
        }
        answer
    }

    /// Takes parts from the store, and then saves what it was told to.
    pub async fn transfer_parts(&self) {
        if !self.fetches.is_empty() {
            self.check_fetches("at its begin");
            tokio::time::sleep(TRANSFER_TIME).await;
            if clock_ms() <= self.until_ms {
                self.check_fetches("at its end");
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
            // What is missing is read again. What is there but not whole must not be asked for.
            if inner.store.is_partial(part) {
                let what = format!("{} takes {part:?}, which is not whole {when}", self.request);
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
                job.end(RunEnd::Whole);
                return None;
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
            if made >= breaks_at {
                let broken = std::io::Error::other("it breaks off");
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
