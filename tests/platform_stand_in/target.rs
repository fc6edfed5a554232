//! Emulated targets: model engines and plain services.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::http::Request;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::task::AbortHandle;

use super::brittle::Brittle;
use super::http::{self, HttpResponse, header};
use super::limits::NamedLimit;
use super::pauses::TargetPause;
use super::store::{PartName, clock_ms};
use super::{Inner, Platform};

/// Interval between events of a stream.
pub(super) const EVENT_INTERVAL: Duration = Duration::from_millis(8);
/// Time to load weights.
const WEIGHT_LOAD_TIME: Duration = Duration::from_millis(300);
pub(super) const DEFAULT_SLOTS: u32 = 16;
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
    /// Number of requests beyond which it refuses more as full; `None` if it refuses none for that.
    pub max_running: Option<u32>,
    /// The rate limit that it names.
    pub(super) limit: Option<NamedLimit>,
    pub(super) last_pause: Option<TargetPause>,
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
    pub(super) resident: HashMap<PartName, (PartOrigin, u64)>,
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

/// A request whose body has this prefix crashes its target, which restarts after [`CRASH_DOWNTIME`].
pub const CRASHING_BODY_PREFIX: &[u8] = b"ends its target";
/// A prompt with a part, other than its last, whose id has this prefix crashes its target, too.
pub const CRASHING_PART_PREFIX: &str = "dead";

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
            max_running: None,
            limit: None,
            last_pause: None,
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
               "Zone": self.zone, "Version": self.software, "Slots": self.slots(),
               "ColdLeftMs": self.cold_left().as_millis() as u64,
               "State": if self.leaves_from.is_some() { "draining" } else { "ready" },
               "Models": self.models(), "born": self.born_ms})
    }

    /// Whether it is cold.
    #[allow(dead_code, reason = "not used by the tests of a deployment")]
    pub fn is_cold(&self) -> bool {
        !self.cold_left().is_zero()
    }

    /// Whether it could run requests and runs none.
    #[allow(dead_code, reason = "not used by the tests of a deployment")]
    pub fn is_idle(&self) -> bool {
        let is_offered = self.is_listed && self.leaves_from.is_none();
        let is_sound = self.fault == Fault::None && self.loading.is_none() && !self.is_cold();
        is_offered && is_sound && self.running == 0
    }

    /// The number of slots that it names.
    pub(super) fn slots(&self) -> u32 {
        self.max_running.unwrap_or(DEFAULT_SLOTS)
    }

    pub(super) fn is_full(&self) -> bool {
        self.fault == Fault::Full || self.max_running.is_some_and(|max| self.running >= max)
    }

    /// How much longer it is cold.
    fn cold_left(&self) -> Duration {
        self.cold_for.saturating_sub(self.started_at.elapsed())
    }

    /// Number of requests that arrived within the last second, including this one; 0 if it is warm.
    pub(super) fn record_cold_arrival(&mut self) -> usize {
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

    pub(super) fn push_event(&mut self, sign: &str, part: &PartName, tokens: u64) {
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
}
