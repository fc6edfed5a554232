//! A published deployment: immutable once it has a version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, DomainId, ModelId, ServiceId};

/// Counts published deployments. The operator chooses it; the highest one is in force.
pub type DeploymentVersion = u64;

/// Everything that operators decide about callers, routes and targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// Its version.
    pub version: DeploymentVersion,
    /// Routes; no two have the same host and prefix.
    pub routes: Vec<Route>,
    /// Services that routes name, and stores.
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts; `None` if callers need no key.
    pub accounts: Option<Vec<Account>>,
    /// What a caller may send.
    pub request_limits: RequestLimits,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The prefix of the path, from slash to slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub policy: RunPolicy,
    /// The longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// The time to the first part of the answer that the operator aims at.
    pub objective: Duration,
    /// Rank among routes, 0 first.
    pub priority: u8,
    /// Services and their weights. Invariant of a valid route: the weights' sum is above 0.
    pub split: Vec<WeightedService>,
    /// Most targets to which one request may be sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether requests share prompt parts, so that it matters which engine runs them.
    pub is_sticky: bool,
    /// The longest pause between events for an answer to be on time.
    pub max_event_gap: Option<Duration>,
}

/// What of a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunPolicy {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
    /// A stream of events that runs at most once.
    StreamOnce,
    /// A stream of events that may go on at another engine after the last event that was sent.
    StreamResumable,
}

impl RunPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RunPolicy::StreamOnce | RunPolicy::StreamResumable)
    }

    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, RunPolicy::Idempotent | RunPolicy::StreamResumable)
    }
}

/// One service of a split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its part of the requests, relative to the others'.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// What it is.
    pub role: ServiceRole,
    /// Connections that one of its targets accepts from all callers together.
    pub max_connections: u32,
}

/// What a service is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServiceRole {
    /// Model engines.
    Engines(EngineSpec),
    /// A store of kept KV cache.
    Store(StoreSpec),
    /// Anything else.
    Plain,
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit in memory, of running requests and kept parts together.
    pub capacity_tokens: u64,
    /// Memory of one token.
    pub token_bytes: u64,
    /// Link speed in megabits a second.
    pub link_mbps: f64,
    /// Models that they serve.
    pub models: Vec<ModelId>,
}

/// A store of kept KV cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreSpec {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Tokens that fit.
    pub capacity_tokens: u64,
    /// Link speed in megabits a second.
    pub link_mbps: f64,
    /// Time before each transfer begins.
    pub first_byte: Duration,
    /// Whether it drops nothing unless it is told to.
    pub is_managed: bool,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Its name, which targets are told.
    pub id: AccountId,
    /// Keys that callers may name. Invariant of a valid deployment: no key belongs to two accounts.
    pub keys: Vec<String>,
    /// Whether it shares no kept cache with other accounts.
    pub is_isolated: bool,
    /// Goes before the route's priority if there is one.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Largest head of a request.
    pub head_bytes: usize,
    /// Largest body.
    pub body_bytes: usize,
    /// Longest time for a head, once it has begun.
    pub head_timeout: Duration,
    /// Longest time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// In force only where a deployment names none: common defaults of HTTP servers.
    fn default() -> RequestLimits {
        RequestLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
