//! Model engines and plain services.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::http::{HeaderValue, Request};
use bytes::Bytes;
use futures::StreamExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::task::AbortHandle;

use super::account::{Run, RunEnd};
use super::http::{self, Answer, header};
use super::store::{PartName, clock_ms};
use super::{Inner, LIST_LAG, Platform};

/// A leaving target may get new requests for this long after its list showed that it leaves. Longer
/// than a deployment allows: a busy machine may keep a process waiting for a while.
const LEAVES_WITHIN: Duration = Duration::from_secs(8);
/// Time between two events of a stream.
const EVENT_EVERY: Duration = Duration::from_millis(8);
/// How long a load of weights takes.
const LOAD_TAKES: Duration = Duration::from_millis(300);
/// How often it is looked whether orders are still held.
const HELD_LOOK_EVERY: Duration = Duration::from_millis(10);
/// How long a save or a fetch takes.
const TRANSFER_TAKES: Duration = Duration::from_millis(5);

/// One start of a target.
pub struct Target {
    /// Its id.
    pub id: String,
    /// What it serves.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where the list says that it listens.
    pub listed_address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// The version of the weights that it runs; `None` for a plain service.
    pub weights: Option<u64>,
    /// When the list began to show that it leaves.
    pub leaves_from: Option<Instant>,
    /// Whether it is on the list.
    pub is_listed: bool,
    /// What it does wrong.
    pub fault: Fault,
    /// Until when it loads weights.
    pub loads_until: Option<Instant>,
    /// Orders that it has accepted.
    pub orders: u64,
    running: u32,
    /// Who may use what it has read: the text under which it is kept, and whose request read it.
    resident: HashMap<PartName, Reader>,
    server: Option<AbortHandle>,
}

/// Whose request read a part, and with which weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reader {
    /// The account.
    pub tenant: String,
    /// The version of the weights.
    pub weights: u64,
}

/// What a target does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// It says that it is full, and runs nothing.
    Full,
    /// It runs each request and then fails.
    Fails,
    /// It runs each request and never answers.
    Mute,
    /// It breaks off in the middle of an answer.
    BreaksOff,
    /// It runs each request, and the answer is another request's.
    Crosses,
}

/// Accounts that share nothing with others.
pub const ISOLATED: &str = "walled";

impl Target {
    /// Its entry on the list.
    pub fn listed(&self) -> Option<Value> {
        let models: Vec<Value> = self
            .weights
            .iter()
            .map(|version| json!({"Name": "m", "Version": version, "Adapters": []}))
            .collect();
        self.is_listed.then(|| {
            json!({"Id": self.id, "Service": self.service, "Addr": self.listed_address,
                   "Zone": self.zone, "Version": "v1", "Slots": 16, "ColdLeftMs": 0,
                   "State": if self.leaves_from.is_some() { "draining" } else { "ready" },
                   "Models": models})
        })
    }
}

impl Platform {
    /// Starts a target and lists it, at an address that a proxy may stand before.
    pub async fn start_target(
        &self,
        id: &str,
        service: &str,
        zone: &str,
        at: SocketAddr,
        listed_address: Option<SocketAddr>,
    ) -> SocketAddr {
        let (platform, name) = (self.clone(), id.to_string());
        let (address, server) = http::start(at, move |request| {
            let (platform, name) = (platform.clone(), name.clone());
            async move { platform.answer_of_target(&name, request).await }
        })
        .await;
        let mut inner = self.lock();
        let weights = (service == "llm").then_some(inner.named_weights);
        let target = Target {
            id: id.to_string(),
            service: service.to_string(),
            address,
            listed_address: listed_address.unwrap_or(address),
            zone: zone.to_string(),
            weights,
            leaves_from: None,
            is_listed: true,
            fault: Fault::None,
            loads_until: None,
            orders: 0,
            running: 0,
            resident: HashMap::new(),
            server: Some(server),
        };
        inner.targets.insert(id.to_string(), target);
        inner.list_changed();
        address
    }

    /// Ends a target at once: its connections are reset and its address is free.
    pub fn crash_target(&self, id: &str) {
        let mut inner = self.lock();
        if let Some(target) = inner.targets.get_mut(id) {
            target.is_listed = false;
            if let Some(server) = target.server.take() {
                server.abort();
            }
        }
        inner.list_changed();
    }

    /// A target says on the list that it leaves, and serves on.
    pub fn drain_target(&self, id: &str) {
        let mut inner = self.lock();
        if let Some(target) = inner.targets.get_mut(id) {
            target.leaves_from.get_or_insert_with(|| Instant::now() + LIST_LAG);
        }
        inner.list_changed();
    }

    async fn answer_of_target(&self, id: &str, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/report" => http::json(&self.lock().report(id)),
            "/healthz" => http::status(200),
            "/order" => {
                let expected = header(&request, "x-expect-instance").map(str::to_string);
                let Some(body) = http::body_of(request).await else { return http::status(400) };
                let order = serde_json::from_slice(&body).unwrap_or_default();
                self.lock().ordered.insert(id.to_string());
                let (platform, id) = (self.clone(), id.to_string());
                // Goes on when its sender waits no longer.
                let carried_out = tokio::spawn(async move {
                    while platform.lock().holds_orders {
                        tokio::time::sleep(HELD_LOOK_EVERY).await;
                    }
                    platform.lock().take_order(&id, expected.as_deref(), &order)
                });
                carried_out.await.unwrap_or_else(|_| http::status(500))
            }
            _ => self.run(id, request).await,
        }
    }

    async fn run(&self, id: &str, request: Request<Incoming>) -> Answer {
        let began = self.lock().begin(self, id, &request);
        let (job, fault) = match began {
            Ok(began) => began,
            Err(refused) => return *refused,
        };
        // Reads the body to its end: some callers' bodies come in chunks.
        if http::body_of(request).await.is_none() {
            job.end(RunEnd::Left(Instant::now()));
            return http::status(400);
        }
        job.fetch().await;
        match fault {
            Fault::Mute => std::future::pending().await,
            Fault::Fails => {
                job.end(RunEnd::Whole);
                job.stamped(http::with_body(500, "it failed"))
            }
            _ if job.is_stream => job.into_events(fault == Fault::BreaksOff),
            _ => {
                tokio::time::sleep(EVENT_EVERY).await;
                job.end(RunEnd::Whole);
                let mut answer = job.stamped(http::with_body(200, text_of(&job.request)));
                if fault == Fault::Crosses {
                    let other = HeaderValue::from_static("another-request");
                    answer.headers_mut().insert("x-request-id", other);
                }
                answer
            }
        }
    }
}

/// The whole answer of a plain request.
pub fn text_of(request: &str) -> String {
    format!("the answer to {request}")
}

/// One event of a stream.
pub fn event_of(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} {number}\n\n")
}

/// A request that a target runs.
struct Job {
    platform: Platform,
    target: String,
    request: String,
    stamp: String,
    is_stream: bool,
    /// Events that have been made before, and that there shall be.
    events: (u64, u64),
    weights: Option<u64>,
    fetches: Vec<PartName>,
    until_ms: u64,
    saves: Vec<PartName>,
}

impl Drop for Job {
    /// However it ends, also when its caller closes the connection.
    fn drop(&mut self) {
        self.end(RunEnd::Left(Instant::now()));
        if let Some(target) = self.platform.lock().targets.get_mut(&self.target) {
            target.running -= 1;
        }
    }
}

impl Job {
    fn end(&self, end: RunEnd) {
        self.platform.lock().account.ended(&self.request, &self.stamp, end);
    }

    fn stamped(&self, mut answer: Answer) -> Answer {
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
    async fn fetch(&self) {
        if !self.fetches.is_empty() {
            self.check_fetches("at its begin");
            tokio::time::sleep(TRANSFER_TAKES).await;
            if clock_ms() <= self.until_ms {
                self.check_fetches("at its end");
            }
        }
        let (platform, saves) = (self.platform.clone(), self.saves.clone());
        if !saves.is_empty() {
            tokio::spawn(async move {
                let epoch = platform.lock().store.epoch;
                tokio::time::sleep(TRANSFER_TAKES).await;
                let mut inner = platform.lock();
                if inner.store.epoch == epoch {
                    saves.iter().for_each(|part| inner.store.end_save(part));
                }
            });
        }
    }

    fn check_fetches(&self, when: &str) {
        let mut inner = self.platform.lock();
        for part in &self.fetches {
            // What is missing is read again. What is there but not whole must not be asked for.
            if inner.store.is_partial(part) {
                let what = format!("{} takes {part:?}, which is not whole {when}", self.request);
                inner.account.violation(what);
            }
        }
        inner.store.fetched += 1;
    }

    fn into_events(self, breaks_off: bool) -> Answer {
        let (made, all) = self.events;
        let breaks_at = if breaks_off { made + (all - made) / 2 } else { u64::MAX };
        let stamped = self.stamped(http::status(200));
        let parts = futures::stream::unfold((self, made), move |(job, made)| async move {
            if made == all {
                job.end(RunEnd::Whole);
                return None;
            }
            tokio::time::sleep(EVENT_EVERY).await;
            if made >= breaks_at {
                let broken = std::io::Error::other("it breaks off");
                return Some((Err(broken), (job, all)));
            }
            let event = event_of(&job.request, made + 1);
            Some((Ok(Bytes::from(event)), (job, made + 1)))
        });
        let mut answer = http::in_parts(parts.boxed());
        answer.headers_mut().extend(stamped.headers().clone());
        let kind = HeaderValue::from_static("text/event-stream");
        answer.headers_mut().insert("content-type", kind);
        answer
    }
}

impl Inner {
    fn report(&self, id: &str) -> Value {
        let Some(target) = self.targets.get(id) else { return Value::Null };
        let is_busy = target.loads_until.is_some_and(|until| Instant::now() < until);
        let models: Vec<Value> =
            target.weights.iter().map(|version| json!({"Name": "m", "Version": version})).collect();
        json!({"Stage": "colocated", "Models": models, "Busy": is_busy, "Seq": target.orders,
               "Waiting": 0, "Running": target.running, "KvUsed": 0, "KvTotal": 1_000_000,
               "Handles": 0})
    }

    fn take_order(&mut self, id: &str, expected: Option<&str>, order: &Value) -> Answer {
        let named = self.named_weights;
        let Some(target) = self.targets.get_mut(id) else { return http::status(503) };
        let version = order["Version"].as_u64();
        if expected.is_some_and(|expected| expected != id) {
            return http::status(421);
        }
        if order["Holder"].is_null() || order["Fence"].is_null() || version > Some(named) {
            return http::status(400);
        }
        let is_busy = target.loads_until.is_some_and(|until| Instant::now() < until);
        let is_void = order["Precondition"].as_u64().is_some_and(|count| count != target.orders);
        if is_busy || is_void {
            return http::status(409);
        }
        if target.weights == version {
            return http::status(200);
        }
        target.orders += 1;
        target.weights = version;
        target.resident.clear();
        target.loads_until = Some(Instant::now() + LOAD_TAKES);
        self.account.orders += 1;
        self.list_changed();
        http::status(202)
    }

    /// Begins a request, or says why it does not run.
    fn begin(
        &mut self,
        platform: &Platform,
        id: &str,
        request: &Request<Incoming>,
    ) -> Result<(Job, Fault), Box<Answer>> {
        let text = |name: &str| header(request, name).unwrap_or_default().to_string();
        let number = |name: &str| text(name).parse::<u64>().ok();
        let name = text("x-request-id");
        let Some(target) = self.targets.get_mut(id) else { return Err(not_run(503)) };
        if text("x-expect-instance") != id {
            return Err(not_run(421));
        }
        let expected = number("x-expect-version");
        if expected.is_some_and(|version| Some(version) != target.weights) {
            return Err(not_run(421));
        }
        let loads = target.loads_until.is_some_and(|until| Instant::now() < until);
        if loads || target.fault == Fault::Full {
            return Err(not_run(503));
        }
        let (weights, fault) = (target.weights, target.fault);
        target.running += 1;
        let late = target.leaves_from.map(|from| from.elapsed());
        if let Some(late) = late.filter(|late| *late > LEAVES_WITHIN) {
            self.account.violation(format!("{name} reaches {id} {late:?} after it began to leave"));
        }
        if request.headers().contains_key("authorization") {
            self.account.violation(format!("{name} brings its caller's key to {id}"));
        }
        let tenant = text("x-tenant");
        let parts = parts_of(&text("x-cache-salt"), &text("x-prompt-prefix"));
        let reader = Reader { tenant: tenant.clone(), weights: weights.unwrap_or_default() };
        self.read(id, &name, &parts, &reader);
        let chosen = |header: &str| {
            let texts: Vec<String> = text(header).split(',').map(str::to_string).collect();
            let named = parts.iter().zip(texts).filter(|(_, address)| address.contains(':'));
            named.map(|(part, _)| part.clone()).collect::<Vec<_>>()
        };
        let (fetches, saves) = (chosen("x-kv-fetch"), chosen("x-kv-save"));
        for (part, tokens) in &saves {
            self.store.begin_save(part, *tokens, &reader);
        }
        for (part, _) in &fetches {
            self.check_reader(&name, self.store.reader(part), &reader);
        }
        let stamp = self.account.next_stamp();
        let made = number("last-event-id").unwrap_or(0);
        self.account.began(
            &name,
            Run {
                target: id.to_string(),
                begun: Instant::now(),
                tenant,
                resumed_after: made,
                stamp: stamp.clone(),
                end: RunEnd::Running,
            },
        );
        let counts = text("x-token-count");
        let job = Job {
            platform: platform.clone(),
            target: id.to_string(),
            request: name,
            stamp,
            is_stream: weights.is_some(),
            events: (made, counts.split_once(',').and_then(|(_, n)| n.parse().ok()).unwrap_or(0)),
            weights,
            fetches: fetches.into_iter().map(|(part, _)| part).collect(),
            until_ms: number("x-kv-until").unwrap_or(u64::MAX),
            saves: saves.into_iter().map(|(part, _)| part).collect(),
        };
        Ok((job, fault))
    }

    /// Reads parts into an engine's memory, or uses them where they are resident.
    fn read(&mut self, id: &str, name: &str, parts: &[(PartName, u64)], reader: &Reader) {
        for (part, _) in parts {
            let Some(target) = self.targets.get_mut(id) else { return };
            let resident = target.resident.entry(part.clone()).or_insert_with(|| reader.clone());
            let resident = resident.clone();
            self.check_reader(name, Some(resident), reader);
        }
    }

    fn check_reader(&mut self, name: &str, kept: Option<Reader>, user: &Reader) {
        let Some(kept) = kept else { return };
        if kept.weights != user.weights {
            self.account.violation(format!("{name} on weights {user:?} uses what {kept:?} made"));
        }
        let is_walled = [&kept.tenant, &user.tenant].into_iter().any(|tenant| *tenant == ISOLATED);
        if is_walled && kept.tenant != user.tenant {
            self.account.violation(format!("{name} of {user:?} uses what {kept:?} made"));
        }
    }
}

fn not_run(code: u16) -> Box<Answer> {
    let mut answer = http::status(code);
    answer.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    Box::new(answer)
}

/// The parts of a prompt with their tokens.
fn parts_of(salt: &str, prefix: &str) -> Vec<(PartName, u64)> {
    let part = |text: &str| {
        let (id, tokens) = text.split_once(':')?;
        Some(((salt.to_string(), id.to_string()), tokens.parse().ok()?))
    };
    prefix.split(',').filter_map(part).collect()
}
