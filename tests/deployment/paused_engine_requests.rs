//! The deployment and the requests of the test with paused engine processes, and what a caller may get.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::platform_stand_in::job::{expected_body, expected_event};
use crate::processes::Disturbance;
use crate::stand_in::header;

pub const PLAIN_SERVICE: &str = "app";
/// Few enough that engines are full when they go on after a pause.
pub const MAX_RUNNING: u32 = 4;
const SHORT_ROUTE_TIMEOUT: Duration = Duration::from_secs(10);
const LONG_ROUTE_TIMEOUT: Duration = Duration::from_secs(14);
pub const SHORT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const LONG_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Entries may answer this long before the timeout of the route that it was reached.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(100);
/// An entry that stops may close a connection that carries a request if it does so this soon after the
/// request was sent, and passes it on to no target.
const CROSSING_TIME: Duration = Duration::from_millis(500);

/// A kind of route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    StreamOnce,
    Resumable,
    /// A resumable stream on a route that comes and goes.
    Extra,
    Safe,
    Once,
}

pub const ROUTE_KINDS: [RouteKind; 5] = [
    RouteKind::StreamOnce,
    RouteKind::Resumable,
    RouteKind::Extra,
    RouteKind::Safe,
    RouteKind::Once,
];

impl RouteKind {
    /// Name of the route, and prefix of the ids of its requests.
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::StreamOnce => "stream",
            RouteKind::Resumable => "resumable",
            RouteKind::Extra => "resumable-extra",
            RouteKind::Safe => "safe",
            RouteKind::Once => "once",
        }
    }

    pub fn is_stream(self) -> bool {
        !matches!(self, RouteKind::Safe | RouteKind::Once)
    }

    pub fn may_repeat(self) -> bool {
        !matches!(self, RouteKind::StreamOnce | RouteKind::Once)
    }

    pub fn attempts(self) -> usize {
        match self {
            RouteKind::Resumable => 3,
            _ => 2,
        }
    }

    pub fn document(self, toggled: &BTreeSet<Change>) -> Value {
        let timeout = match toggled.contains(&Change::RouteTimeout) {
            true => SHORT_ROUTE_TIMEOUT,
            false => LONG_ROUTE_TIMEOUT,
        };
        let (first, second) = if toggled.contains(&Change::Weights) { (2, 8) } else { (7, 3) };
        let split = match self {
            RouteKind::Safe | RouteKind::Once => json!([{"Service": "app", "Weight": 1}]),
            _ => json!([{"Service": "llm", "Weight": first},
                        {"Service": "llm-large", "Weight": second}]),
        };
        json!({"Name": self.name(), "Host": "shop.example",
               "PathPrefix": format!("/{}/", self.name()),
               "Kind": match self {
                   RouteKind::Safe => "safe",
                   RouteKind::Once => "unsafe",
                   _ => "stream",
               },
               "TimeoutMs": timeout.as_millis() as u64, "SloMs": 400, "Priority": 1,
               "Split": split, "Attempts": self.attempts(), "Public": false,
               "Sticky": self.is_stream(),
               "Resumable": self.is_stream() && self.may_repeat(), "GapTargetMs": 300})
    }
}

/// A part of the deployment that changes to and fro.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    IdleTimeout,
    RouteTimeout,
    Route,
    Weights,
    /// The limits of services and of requests.
    Limits,
    /// A key goes to another client account.
    Account,
}

pub const CHANGES: [Change; 6] = [
    Change::IdleTimeout,
    Change::RouteTimeout,
    Change::Route,
    Change::Weights,
    Change::Limits,
    Change::Account,
];

pub fn document(version: u64, toggled: &BTreeSet<Change>) -> Value {
    let is = |change| toggled.contains(&change);
    let kinds = ROUTE_KINDS.iter();
    let kinds = kinds.filter(|kind| **kind != RouteKind::Extra || !is(Change::Route));
    let routes: Vec<Value> = kinds.map(|kind| kind.document(toggled)).collect();
    let connections = if is(Change::Limits) { 60 } else { 100 };
    let engines = |name: &str| {
        json!({"Name": name, "HealthPath": "/healthz", "MaxConns": connections,
               "Engine": {"Slots": MAX_RUNNING, "KvCapacity": 60_000, "KvTokenBytes": 1000,
                          "LinkMbps": 1_000_000.0, "Models": [{"Name": "m"}]}})
    };
    let plain = json!({"Name": PLAIN_SERVICE, "HealthPath": "/healthz", "MaxConns": connections});
    let idle = if is(Change::IdleTimeout) { SHORT_IDLE_TIMEOUT } else { LONG_IDLE_TIMEOUT };
    let (alpha_keys, beta_keys) = match is(Change::Account) {
        true => (vec!["key-alpha", "key-moving"], vec!["key-beta"]),
        false => (vec!["key-alpha"], vec!["key-beta", "key-moving"]),
    };
    let priority = if is(Change::Limits) { 1 } else { 3 };
    json!({"Version": version, "Routes": routes,
           "Services": [engines("llm"), engines("llm-large"), plain],
           "Limits": {"MaxHeaderBytes": if is(Change::Limits) { 16_384 } else { 20_000 },
                      "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3000,
                      "IdleTimeoutMs": idle.as_millis() as u64},
           "Tenants": [{"Name": "alpha", "ApiKeys": alpha_keys, "Priority": priority},
                       {"Name": "beta", "ApiKeys": beta_keys}]})
}

/// A request and what its caller got.
pub struct Exchange {
    pub id: String,
    pub kind: RouteKind,
    pub entry: usize,
    /// Number of events of a stream.
    pub events: u64,
    /// Whether it is the first one on its connection.
    pub is_first: bool,
    /// When the connection was opened, or its previous answer was whole.
    pub idle_since: Instant,
    pub sent_at: Instant,
    /// When the last part was sent.
    pub sent_whole_at: Instant,
    pub ended_at: Instant,
    pub received: String,
    /// Whether all of an answer was received.
    pub is_whole: bool,
}

/// How a request that is allowed to end so has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Answered,
    Refused,
    /// The route was gone.
    NotFound,
    TimedOut,
    /// An entry that stops closed the connection that was just opened for the request.
    CrossedNew,
    /// An entry that stops closed the kept connection while the request was under way.
    CrossedKept,
    /// The entry was killed.
    Killed,
}

impl Exchange {
    pub fn status(&self) -> &str {
        self.received.get(9..12).unwrap_or_default()
    }

    pub fn expected_body(&self) -> String {
        match self.kind.is_stream() {
            true => (1..=self.events).map(|number| expected_event(&self.id, number)).collect(),
            false => expected_body(&self.id),
        }
    }

    /// Judges the exchange by the number of its runs and by the disturbances of its entry.
    pub fn judge(
        &self,
        runs: usize,
        disturbances: &[Disturbance],
    ) -> Result<Outcome, &'static str> {
        if runs > 1 && !self.kind.may_repeat() {
            return Err("runs twice");
        }
        if !self.is_whole {
            return self.judge_partial(runs, disturbances);
        }
        match self.status() {
            "200" if body_of(&self.received) != Some(self.expected_body()) => Err("is wrong"),
            "200" if runs == 0 => Err("is answered without a run"),
            "200" => Ok(Outcome::Answered),
            "429" | "503" if runs > 0 => Err("is refused although it has run"),
            "429" | "503" if header(&self.received, "retry-after").is_none() => {
                Err("is refused without a time for a retry")
            }
            "429" | "503" => Ok(Outcome::Refused),
            "404" if self.kind == RouteKind::Extra && runs == 0 => Ok(Outcome::NotFound),
            "502" | "504" if self.is_over() => Ok(Outcome::TimedOut),
            "502" | "504" => Err("fails before the timeout of its route"),
            _ => Err("has a status that nothing explains"),
        }
    }

    pub fn judge_partial(
        &self,
        runs: usize,
        disturbances: &[Disturbance],
    ) -> Result<Outcome, &'static str> {
        if disturbances.contains(&Disturbance::Unplanned) {
            return Ok(Outcome::Killed);
        }
        if !self.received.is_empty() {
            return if self.is_over() { Ok(Outcome::TimedOut) } else { Err("is cut off") };
        }
        let is_closed_soon = self.ended_at - self.sent_whole_at < CROSSING_TIME;
        match disturbances.contains(&Disturbance::Stop) && is_closed_soon && runs == 0 {
            true if self.is_first => Ok(Outcome::CrossedNew),
            true => Ok(Outcome::CrossedKept),
            false => Err("gets no byte"),
        }
    }

    /// Whether the shortest timeout of its route has passed.
    pub fn is_over(&self) -> bool {
        self.ended_at - self.sent_at + TIMEOUT_MARGIN >= SHORT_ROUTE_TIMEOUT
    }
}

pub fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    match header(head, "content-length") {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// The body of a whole answer; `None` if its chunks are invalid.
pub fn body_of(text: &str) -> Option<String> {
    let (head, mut rest) = text.split_once("\r\n\r\n")?;
    if header(head, "content-length").is_some() {
        return Some(rest.to_string());
    }
    let mut body = String::new();
    loop {
        let (size, chunk) = rest.split_once("\r\n")?;
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            return (chunk == "\r\n").then_some(body);
        }
        body += chunk.get(..size)?;
        rest = chunk.get(size..)?.strip_prefix("\r\n")?;
    }
}
