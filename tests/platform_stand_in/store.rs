//! An emulated store of KV cache, which frees parts only on request.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

use super::http::{self, HttpResponse};
use super::target::PartOrigin;
use super::{Inner, Platform};

/// Name of a part: its cache salt and its id.
pub type PartName = (String, String);

/// Events that the store retains.
const MAX_EVENTS: usize = 2_000;

#[derive(Default)]
pub struct Store {
    /// Number of this start of the store; 0 before the first one.
    pub epoch: u64,
    parts: BTreeMap<PartName, Part>,
    events: VecDeque<(u64, Value)>,
    next_event: u64,
    /// Number of parts freed.
    pub freed: u64,
    /// How often the fetches of a run have been checked.
    pub fetched: u64,
}

struct Part {
    tokens: u64,
    is_complete: bool,
    origin: PartOrigin,
}

impl Store {
    /// Restarts the store empty, in the next epoch.
    pub fn restart(&mut self) {
        let epoch = self.epoch + 1;
        *self = Store { epoch, freed: self.freed, fetched: self.fetched, ..Store::default() };
    }

    /// Whether a part has a reservation but is incomplete.
    pub fn is_partial(&self, part: &PartName) -> bool {
        self.parts.get(part).is_some_and(|part| !part.is_complete)
    }

    /// Reserves space for a part.
    pub fn begin_save(&mut self, part: &PartName, tokens: u64, origin: &PartOrigin) {
        let new = || Part { tokens, is_complete: false, origin: origin.clone() };
        self.parts.entry(part.clone()).or_insert_with(new);
    }

    /// The origin of a part, if it is stored completely.
    pub fn origin(&self, part: &PartName) -> Option<PartOrigin> {
        self.parts.get(part).filter(|part| part.is_complete).map(|part| part.origin.clone())
    }

    /// Marks a part as complete and publishes an event.
    pub fn complete_save(&mut self, part: &PartName) {
        if let Some(known) = self.parts.get_mut(part).filter(|known| !known.is_complete) {
            known.is_complete = true;
            let tokens = known.tokens;
            self.push_event("+", part, tokens);
        }
    }

    fn free(&mut self, part: &PartName) {
        if self.parts.remove(part).is_some() {
            self.freed += 1;
            self.push_event("-", part, 0);
        }
    }

    fn push_event(&mut self, sign: &str, part: &PartName, tokens: u64) {
        let number = self.next_event;
        self.next_event += 1;
        self.events.push_back((number, json!([number, sign, part.0, part.1, tokens, "m"])));
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    fn list(&self, clock_ms: u64) -> Value {
        let entries = |whole| {
            let parts = self.parts.iter().filter(move |(_, part)| part.is_complete == whole);
            parts.map(move |((salt, id), part)| match whole {
                true => json!([salt, id, part.tokens, "m"]),
                false => json!([salt, id, 0, part.tokens]),
            })
        };
        json!({"BootEpoch": self.epoch, "NextToken": self.next_event, "clock_ms": clock_ms,
               "Held": entries(true).collect::<Vec<_>>(),
               "Partial": entries(false).collect::<Vec<_>>()})
    }

    fn events_since(&self, since: u64, clock_ms: u64) -> Value {
        let events: Vec<&Value> =
            self.events.iter().filter(|(number, _)| *number >= since).map(|(_, e)| e).collect();
        let is_lost = self.events.front().is_some_and(|(number, _)| *number > since);
        json!({"BootEpoch": self.epoch, "NextToken": self.next_event, "Lost": is_lost,
               "Events": events, "clock_ms": clock_ms})
    }
}

impl Platform {
    /// Serves the store until the runtime shuts down. Returns its address.
    pub async fn serve_store(&self, at: SocketAddr) -> SocketAddr {
        self.lock().store.restart();
        let platform = self.clone();
        http::serve(at, move |request| {
            let platform = platform.clone();
            async move { platform.respond_as_store(request).await }
        })
        .await
    }

    async fn respond_as_store(
        &self,
        request: ::http::Request<hyper::body::Incoming>,
    ) -> HttpResponse {
        let path = request.uri().path().to_string();
        let query = request.uri().query().unwrap_or_default();
        let since = query.strip_prefix("Since=").and_then(|text| text.parse().ok()).unwrap_or(0);
        match path.as_str() {
            "/kv-list" => http::json(&self.lock().store.list(clock_ms())),
            "/kv-events" => {
                let wait = http::header(&request, "wait-ms").and_then(|text| text.parse().ok());
                let end = tokio::time::Instant::now() + Duration::from_millis(wait.unwrap_or(0));
                while self.lock().store.next_event <= since && tokio::time::Instant::now() < end {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
                http::json(&self.lock().store.events_since(since, clock_ms()))
            }
            "/kv-free" => match http::read_body(request).await {
                Some(body) => self.lock().free(&serde_json::from_slice(&body).unwrap_or_default()),
                None => http::status(400),
            },
            _ => http::status(404),
        }
    }
}

impl Inner {
    fn free(&mut self, order: &Value) -> HttpResponse {
        let is_void = order["until_ms"].as_u64().is_some_and(|until| clock_ms() > until);
        if is_void || order["BootEpoch"].as_u64().is_some_and(|epoch| epoch != self.store.epoch) {
            return http::status(409);
        }
        for part in order["parts"].as_array().into_iter().flatten() {
            let text = |at: usize| part[at].as_str().unwrap_or_default().to_string();
            self.store.free(&(text(0), text(1)));
        }
        http::status(200)
    }
}

/// Wall-clock time in Unix milliseconds.
pub fn clock_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
