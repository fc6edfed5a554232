//! Emulated targets: model engines and plain services.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::http::{HeaderValue, Request};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::task::AbortHandle;

use super::brittle::Brittle;
use super::http::{self, HttpResponse, header};
use super::job::Job;
pub use super::job::{expected_body, expected_event};
use super::limits::NamedLimit;
use super::observations::{CrashCause, Run, RunEnd};
use super::starts::Restart;
use super::store::{PartName, clock_ms};
use super::{Inner, Platform};

/// Interval between events of a stream.
pub(super) const EVENT_INTERVAL: Duration = Duration::from_millis(8);
/// Time to load weights.
const WEIGHT_LOAD_TIME: Duration = Duration::from_millis(300);
/// Interval of checks whether orders are still blocked.
const HELD_ORDER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay until an unanswered order is executed.
const LATE_ORDER_DELAY: Duration = Duration::from_millis(1_500);
/// How long after a start an order may still be based on a report of the previous start, because it
/// was in transit.
const OUTDATED_REPORT_GRACE: Duration = Duration::from_secs(4);
/// Events about parts that a target retains.
const MAX_EVENTS: usize = 2_000;

/// One start of a target.
pub struct Target {
    /// Target id.
    pub id: String,
    /// Number of this start under the id, from 1.
    pub start: u64,
    /// Start time in Unix milliseconds of its own clock.
    pub born_ms: u64,
    /// The service that it provides.
    pub service: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its address in the list.
    pub listed_address: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// The version of its software.
    pub software: String,
    /// Version of its weights; `None` for a plain service.
    pub weights: Option<u64>,
    /// When the list starts to show it as draining.
    pub leaves_from: Option<Instant>,
    /// Whether it is on the list.
    pub is_listed: bool,
    /// Injected fault.
    pub fault: Fault,
    /// The rate limit that it names.
    pub(super) limit: Option<NamedLimit>,
    /// What it bears if it is brittle.
    pub(super) brittle: Option<Brittle>,
    /// The weights that it is loading.
    pub loading: Option<u64>,
    /// Number of orders that it has accepted.
    pub orders: u64,
    /// Number of requests that it has started.
    pub begun: u64,
    /// The list entry of the previous start, shown until this time.
    pub(super) earlier_entry: Option<(Value, Instant)>,
    /// Its HTTP server; `None` once it has stopped.
    pub(super) server: Option<AbortHandle>,
    pub(super) started_at: Instant,
    /// Time between the end of its previous start and this start.
    pub(super) down_for: Duration,
    /// How long it is cold after its start.
    pub(super) cold_for: Duration,
    /// Requests that arrived while it was cold, within the last second.
    cold_arrivals: VecDeque<Instant>,
    pub(super) running: u32,
    /// The highest fencing token of an order.
    fence: u64,
    /// Parts in its cache, with the origin and the number of tokens of each.
    resident: HashMap<PartName, (PartOrigin, u64)>,
    events: VecDeque<Value>,
    next_event: u64,
}

/// The account and the weights for which a part was computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartOrigin {
    /// The client account.
    pub tenant: String,
    /// The version of the weights.
    pub weights: u64,
}

/// A fault of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Refuses all requests as if full.
    Full,
    /// Runs each request, then responds with status 500.
    RespondsWithError,
    /// Runs each request and never responds.
    NeverResponds,
    /// Breaks off streams half-way.
    BreaksOff,
    /// Responds with the id of another request.
    WrongRequestId,
    /// Never answers orders and executes them late, possibly after a restart.
    LateOrders,
}

/// A part of a prompt with its number of tokens and the address to fetch it from or save it to.
type LocatedPart = ((PartName, u64), SocketAddr);

/// A request whose body has this prefix crashes its target, which restarts after [`CRASH_DOWNTIME`].
pub const CRASHING_BODY_PREFIX: &[u8] = b"ends its target";
/// A prompt with a part, other than its last, whose id has this prefix crashes its target, too.
pub const CRASHING_PART_PREFIX: &str = "dead";
/// Time until a crashed target restarts.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_200);

/// The version of the software of targets for which none is set.
pub const FIRST_SOFTWARE: &str = "v1";

/// Client account that shares no cache with others.
pub const ISOLATED_ACCOUNT: &str = "walled";

impl Target {
    /// A target that has just started.
    pub fn new(id: &str, service: &str, zone: &str, address: SocketAddr) -> Target {
        Target {
            id: id.to_string(),
            start: 1,
            born_ms: clock_ms(),
            service: service.to_string(),
            address,
            listed_address: address,
            zone: zone.to_string(),
            software: FIRST_SOFTWARE.to_string(),
            weights: None,
            leaves_from: None,
            is_listed: true,
            fault: Fault::None,
            limit: None,
            brittle: None,
            loading: None,
            orders: 0,
            begun: 0,
            earlier_entry: None,
            server: None,
            started_at: Instant::now(),
            down_for: Duration::ZERO,
            cold_for: Duration::ZERO,
            cold_arrivals: VecDeque::new(),
            running: 0,
            fence: 0,
            resident: HashMap::new(),
            events: VecDeque::new(),
            next_event: 0,
        }
    }

    /// The entry that the list shows, if the target is listed.
    pub fn listed(&self) -> Option<Value> {
        let earlier = self.earlier_entry.as_ref().filter(|(_, until)| Instant::now() < *until);
        let entry = earlier.map(|(entry, _)| entry.clone());
        self.is_listed.then(|| entry.unwrap_or_else(|| self.entry()))
    }

    fn entry(&self) -> Value {
        json!({"Id": self.id, "Service": self.service, "Addr": self.listed_address,
               "Zone": self.zone, "Version": self.software, "Slots": 16,
               "ColdLeftMs": self.cold_left().as_millis() as u64,
               "State": if self.leaves_from.is_some() { "draining" } else { "ready" },
               "Models": self.models(), "born": self.born_ms})
    }

    /// How much longer it is cold.
    fn cold_left(&self) -> Duration {
        self.cold_for.saturating_sub(self.started_at.elapsed())
    }

    /// Number of requests that arrived within the last second, including this one; 0 if it is warm.
    fn record_cold_arrival(&mut self) -> usize {
        if self.cold_left().is_zero() {
            return 0;
        }
        let now = Instant::now();
        self.cold_arrivals.retain(|at| now - *at < Duration::from_secs(1));
        self.cold_arrivals.push_back(now);
        self.cold_arrivals.len()
    }

    fn models(&self) -> Vec<Value> {
        let model = |version| json!({"Name": "m", "Version": version, "Adapters": []});
        self.weights.iter().map(model).collect()
    }

    fn report(&self) -> Value {
        json!({"Stage": "colocated", "Models": self.models(), "Busy": self.loading.is_some(),
               "Seq": self.orders, "Waiting": 0, "Running": self.running, "KvUsed": 0,
               "KvTotal": 1_000_000, "Handles": 0, "born": self.born_ms})
    }

    /// Stops the server and cancels the load of weights.
    pub(super) fn end(&mut self) {
        self.loading = None;
        if let Some(server) = self.server.take() {
            server.abort();
        }
    }

    fn push_event(&mut self, sign: &str, part: &PartName, tokens: u64) {
        let event = json!([self.next_event, sign, part.0, part.1, tokens, "m"]);
        self.events.push_back(event);
        self.next_event += 1;
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    fn forget_parts(&mut self) {
        for part in std::mem::take(&mut self.resident).keys() {
            self.push_event("-", part, 0);
        }
    }

    fn events_since(&self, since: u64) -> Value {
        let first = self.next_event - self.events.len() as u64;
        let events: Vec<_> =
            self.events.iter().skip(since.saturating_sub(first) as usize).collect();
        json!({"BootEpoch": self.start, "NextToken": self.next_event, "Lost": since < first,
               "Events": events, "clock_ms": clock_ms(), "born": self.born_ms})
    }

    fn parts(&self) -> Value {
        let part = |((salt, id), (_, tokens)): (&PartName, &(PartOrigin, u64))| {
            json!([salt, id, tokens, "m"])
        };
        let held = self.resident.iter().map(part);
        json!({"BootEpoch": self.start, "NextToken": self.next_event,
               "Held": held.collect::<Vec<_>>(), "clock_ms": clock_ms(), "born": self.born_ms})
    }
}

impl Platform {
    pub(super) async fn respond_as_target(
        &self,
        id: &str,
        start: u64,
        request: Request<Incoming>,
    ) -> HttpResponse {
        if !self.lock().runs(id, start) {
            // This start has stopped: its connections are about to be reset.
            return std::future::pending().await;
        }
        let told = |tell: fn(&Target) -> Value| self.lock().targets.get(id).map(tell);
        match request.uri().path() {
            "/report" => http::json(&told(Target::report).unwrap_or_default()),
            "/kv-list" => http::json(&told(Target::parts).unwrap_or_default()),
            "/kv-events" => {
                let since = request.uri().query().and_then(|query| query.strip_prefix("Since="));
                let since = since.and_then(|text| text.parse().ok()).unwrap_or(0);
                let inner = self.lock();
                http::json(
                    &inner.targets.get(id).map(|t| t.events_since(since)).unwrap_or_default(),
                )
            }
            "/healthz" => http::status(200),
            "/order" => {
                let expected = header(&request, "x-expect-instance").map(str::to_string);
                let Some(body) = http::read_body(request).await else { return http::status(400) };
                let order = serde_json::from_slice(&body).unwrap_or_default();
                self.lock().ordered.insert(id.to_string());
                let fault = self.lock().targets.get(id).map(|target| target.fault);
                let (platform, id) = (self.clone(), id.to_string());
                if fault == Some(Fault::LateOrders) {
                    tokio::spawn(async move {
                        tokio::time::sleep(LATE_ORDER_DELAY).await;
                        platform.order(&id, expected.as_deref(), &order, true)
                    });
                    return std::future::pending().await;
                }
                // The order is executed even if its sender disconnects.
                let carried_out = tokio::spawn(async move {
                    let is_held = platform.lock().holds_orders;
                    while platform.lock().holds_orders {
                        tokio::time::sleep(HELD_ORDER_POLL_INTERVAL).await;
                    }
                    platform.order(&id, expected.as_deref(), &order, is_held)
                });
                carried_out.await.unwrap_or_else(|_| http::status(500))
            }
            _ => {
                self.lock().record_limited_arrival(id);
                let mut answer = self.run(id, request).await;
                self.add_limit(id, &mut answer);
                self.add_brittleness(id, &mut answer);
                self.crash_if_overrun(id);
                answer
            }
        }
    }

    /// Crashes the target shortly after the response head of a stream, and restarts it later.
    fn crash_during(&self, job: &Job, cause: CrashCause) {
        let (id, start) = (job.target.clone(), job.start);
        self.lock().observations.record_crashing_send(&cause);
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(EVENT_INTERVAL / 2).await;
            let addresses = {
                let mut inner = platform.lock();
                if !inner.runs(&id, start) {
                    return;
                }
                inner.observations.record_crash(&cause);
                inner.targets.get(&id).map(|target| (target.address, target.listed_address))
            };
            let Some((address, listed_address)) = addresses else { return };
            let (down, listed_address) = (CRASH_DOWNTIME, Some(listed_address));
            let restart = Restart { down, listed_address, ..Restart::at(address) };
            platform.restart_target(&id, restart).await;
        });
    }

    fn order(
        &self,
        id: &str,
        expected: Option<&str>,
        order: &Value,
        is_late: bool,
    ) -> HttpResponse {
        let mut inner = self.lock();
        let status = inner.take_order(id, expected, order, is_late);
        let start = inner.targets.get(id).map_or(0, |target| target.start);
        drop(inner);
        if status == 202 {
            let (platform, id) = (self.clone(), id.to_string());
            tokio::spawn(async move {
                tokio::time::sleep(WEIGHT_LOAD_TIME).await;
                platform.lock().loaded(&id, start);
            });
        }
        http::status(status)
    }

    async fn run(&self, id: &str, request: Request<Incoming>) -> HttpResponse {
        let began = self.lock().begin(self, id, &request);
        let (job, fault) = match began {
            Ok(began) => began,
            Err(refused) => return *refused,
        };
        let crashing_part = crashing_part(&request);
        // Reads the body to its end, as it may come in chunks.
        let Some(body) = http::read_body(request).await else {
            job.end(RunEnd::Aborted(Instant::now()));
            return http::status(400);
        };
        job.transfer_parts().await;
        let crashing_body = || {
            let body = String::from_utf8_lossy(&body).into_owned();
            body.as_bytes().starts_with(CRASHING_BODY_PREFIX).then_some(CrashCause::Body(body))
        };
        if let Some(cause) = crashing_part.map(CrashCause::Part).or_else(crashing_body) {
            self.crash_during(&job, cause);
            return match job.is_stream {
                true => job.into_event_stream(false),
                false => std::future::pending().await,
            };
        }
        match fault {
            Fault::NeverResponds => std::future::pending().await,
            Fault::RespondsWithError => {
                job.end(RunEnd::Complete);
                job.add_response_headers(http::with_body(500, "injected failure"))
            }
            _ if job.is_stream => job.into_event_stream(fault == Fault::BreaksOff),
            _ => {
                tokio::time::sleep(EVENT_INTERVAL).await;
                job.end(RunEnd::Complete);
                let mut answer =
                    job.add_response_headers(http::with_body(200, expected_body(&job.request)));
                if fault == Fault::WrongRequestId {
                    let other = HeaderValue::from_static("another-request");
                    answer.headers_mut().insert("x-request-id", other);
                }
                answer
            }
        }
    }
}

impl Inner {
    /// Checks an order and starts its execution. Returns the response status.
    fn take_order(
        &mut self,
        id: &str,
        expected: Option<&str>,
        order: &Value,
        is_late: bool,
    ) -> u16 {
        let named = self.named_weights;
        let Some(target) = self.targets.get_mut(id) else { return 503 };
        let version = order["Version"].as_u64();
        if expected.is_some_and(|expected| expected != id) {
            return 421;
        }
        let Some(fence) = order["Fence"].as_u64() else { return 400 };
        if order["Holder"].is_null() || version > Some(named) {
            return 400;
        }
        let count = order["Precondition"].as_u64();
        let is_settled = !is_late && target.started_at.elapsed() > OUTDATED_REPORT_GRACE;
        if count.is_none_or(|count| is_settled && count > target.orders) {
            let what =
                format!("start {} of {id} receives an order based on {count:?}", target.start);
            self.observations
                .violation(format!("{what} orders, but has accepted {}", target.orders));
        }
        if fence < target.fence {
            return 412;
        }
        if target.loading.is_some() || count.is_some_and(|count| count != target.orders) {
            return 409;
        }
        target.fence = fence;
        if target.weights == version {
            return 200;
        }
        target.orders += 1;
        target.loading = version;
        target.forget_parts();
        self.observations.orders += 1;
        202
    }

    /// Completes the load of weights, if this start of the target still runs.
    fn loaded(&mut self, id: &str, start: u64) {
        let target = self.targets.get_mut(id).filter(|target| target.start == start);
        if let Some(target) = target
            && let Some(version) = target.loading.take()
        {
            target.weights = Some(version);
            self.list_changed();
        }
    }

    /// Starts a request, or returns the response that refuses it.
    fn begin(
        &mut self,
        platform: &Platform,
        id: &str,
        request: &Request<Incoming>,
    ) -> Result<(Job, Fault), Box<HttpResponse>> {
        let text = |name: &str| header(request, name).unwrap_or_default().to_string();
        let number = |name: &str| text(name).parse::<u64>().ok();
        let name = text("x-request-id");
        let Some(target) = self.targets.get_mut(id) else { return Err(not_run(503)) };
        if text("x-expect-instance") != id {
            return Err(not_run(421));
        }
        if target.loading.is_some() || target.fault == Fault::Full {
            return Err(not_run(503));
        }
        if self.is_out_of_room(id) {
            return Err(not_run(503));
        }
        let Some(target) = self.targets.get_mut(id) else { return Err(not_run(503)) };
        let expected = number("x-expect-version");
        if expected.is_some_and(|version| Some(version) != target.weights) {
            return Err(not_run(421));
        }
        let (weights, fault, start) = (target.weights, target.fault, target.start);
        target.running += 1;
        target.begun += 1;
        let cold_arrivals = target.record_cold_arrival();
        let (age, down_for) = (target.started_at.elapsed(), target.down_for);
        let (zone, software) = (target.zone.clone(), target.software.clone());
        if let Some(from) = target.leaves_from {
            self.observations.record_leaving_target(&name, id, from);
        }
        self.observations.record_zone(&name, id, &zone);
        if self.cold_start.is_some_and(|cold| cold_arrivals > cold.max_per_s()) {
            self.observations.record_cold_burst(id, cold_arrivals, age, down_for);
        }
        if let Some(weights) = weights {
            self.observations.record_weights_of_run(&name, id, weights);
        }
        if request.headers().contains_key("authorization") {
            self.observations
                .violation(format!("{name} forwards the API key of its caller to {id}"));
        }
        let tenant = text("x-tenant");
        let parts = parts_of(&text("x-cache-salt"), &text("x-prompt-prefix"));
        let origin = PartOrigin { tenant: tenant.clone(), weights: weights.unwrap_or_default() };
        self.read(id, &name, &parts, &origin);
        let chosen = |header: &str| {
            let texts: Vec<String> = text(header).split(',').map(str::to_string).collect();
            let named = parts.iter().zip(texts);
            let named = named.filter_map(|(part, address)| Some((part, address.parse().ok()?)));
            named.map(|(part, address)| (part.clone(), address)).collect::<Vec<LocatedPart>>()
        };
        let (fetches, saves) = (chosen("x-kv-fetch"), chosen("x-kv-save"));
        for ((part, tokens), _) in &saves {
            self.store.begin_save(part, *tokens, &origin);
        }
        let engines = self.targets.values().filter(|target| target.weights.is_some());
        self.engine_addresses.extend(engines.map(|target| target.listed_address));
        let (from_engines, from_store): (Vec<_>, Vec<_>) =
            fetches.into_iter().partition(|(_, at)| self.engine_addresses.contains(at));
        for ((part, _), _) in &from_store {
            self.check_origin(&name, self.store.origin(part), &origin);
        }
        // An engine sends what it has of a prompt, which may be nothing or only a prefix.
        for ((part, _), address) in &from_engines {
            let source = self.engine_at(*address);
            let kept = source.and_then(|source| source.resident.get(part));
            let kept = kept.map(|(origin, _)| origin.clone());
            self.check_origin(&name, kept, &origin);
        }
        let stamp = self.observations.next_stamp();
        let made = number("last-event-id").unwrap_or(0);
        self.observations.record_start(
            &name,
            Run {
                target: id.to_string(),
                start,
                started_at: Instant::now(),
                tenant,
                software,
                resumed_after: made,
                resumes: header(request, "resumes").map(str::to_string),
                stamp: stamp.clone(),
                end: RunEnd::Running,
            },
        );
        let counts = text("x-token-count");
        let job = Job {
            platform: platform.clone(),
            target: id.to_string(),
            start,
            request: name,
            stamp,
            is_stream: weights.is_some(),
            events: (made, counts.split_once(',').and_then(|(_, n)| n.parse().ok()).unwrap_or(0)),
            weights,
            fetches: from_store.into_iter().map(|((part, _), _)| part).collect(),
            until_ms: number("x-kv-until").unwrap_or(u64::MAX),
            saves: saves.into_iter().map(|((part, _), _)| part).collect(),
        };
        Ok((job, fault))
    }

    /// The engine with this address in the list.
    fn engine_at(&self, address: SocketAddr) -> Option<&Target> {
        let mut targets = self.targets.values();
        targets.find(|target| target.listed_address == address && target.weights.is_some())
    }

    /// Computes parts into the cache of an engine, or uses those that are resident.
    fn read(&mut self, id: &str, name: &str, parts: &[(PartName, u64)], origin: &PartOrigin) {
        for (part, tokens) in parts {
            let Some(target) = self.targets.get_mut(id) else { return };
            let resident = target.resident.get(part).map(|(origin, _)| origin.clone());
            if resident.is_none() {
                target.resident.insert(part.clone(), (origin.clone(), *tokens));
                target.push_event("+", part, *tokens);
            }
            self.check_origin(name, resident, origin);
        }
    }

    fn check_origin(&mut self, name: &str, kept: Option<PartOrigin>, user: &PartOrigin) {
        let Some(kept) = kept else { return };
        if kept.weights != user.weights {
            self.observations
                .violation(format!("{name} on weights {user:?} uses a part of {kept:?}"));
        }
        let is_isolated =
            [&kept.tenant, &user.tenant].into_iter().any(|tenant| *tenant == ISOLATED_ACCOUNT);
        if is_isolated && kept.tenant != user.tenant {
            self.observations.violation(format!("{name} of {user:?} uses a part of {kept:?}"));
        }
    }
}

fn not_run(code: u16) -> Box<HttpResponse> {
    let mut answer = http::status(code);
    answer.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    Box::new(answer)
}

/// The part, other than the last, under which a target crashes.
fn crashing_part(request: &Request<Incoming>) -> Option<String> {
    let prefix = header(request, "x-prompt-prefix")?;
    let mut ids: Vec<&str> =
        prefix.split(',').filter_map(|part| Some(part.split_once(':')?.0)).collect();
    ids.pop();
    ids.into_iter().find(|id| id.starts_with(CRASHING_PART_PREFIX)).map(str::to_string)
}

/// Parses the parts of a prompt with their numbers of tokens.
fn parts_of(salt: &str, prefix: &str) -> Vec<(PartName, u64)> {
    let part = |text: &str| {
        let (id, tokens) = text.split_once(':')?;
        Some(((salt.to_string(), id.to_string()), tokens.parse().ok()?))
    };
    prefix.split(',').filter_map(part).collect()
}
