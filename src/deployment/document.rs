//! The content of a deployment. A published version never changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::cold::ColdStart;
use crate::ids::{AccountId, DomainId, ModelId, RegionId, ServiceId};

/// Version of a deployment, chosen by the operator. The highest published version is in force.
pub type DeploymentVersion = u64;

/// Configuration of callers, routes and services by the operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    pub version: DeploymentVersion,
    /// Routes. Invariant of a valid deployment: no two routes have the same host and path prefix.
    pub routes: Vec<Route>,
    /// Services by name, including stores.
    pub services: BTreeMap<ServiceId, Service>,
    /// Client accounts; `None` if no route requires a key.
    pub accounts: Option<Vec<Account>>,
    /// Limits on the requests of callers.
    pub request_limits: RequestLimits,
}

/// Configuration of the requests with one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route, used in logs.
    pub name: String,
    /// Host in the requests, without a port. Compared without regard to case.
    pub host: String,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may run more than once.
    pub policy: RunPolicy,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Service level objective for the time to the first part of the response.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services with their weights. Invariant of a valid route: the sum of the weights is positive.
    pub split: Vec<WeightedService>,
    /// Maximum number of targets to which one request is sent.
    pub attempts: u32,
    /// Whether requests without a key are accepted.
    pub is_public: bool,
    /// Whether requests share prompt parts, so that the choice of the engine matters.
    pub is_sticky: bool,
    /// Maximum time between two events of a response that is on time.
    pub max_event_gap: Option<Duration>,
    /// Regions that its requests and their cached prompt parts may reach; empty for all.
    pub allowed_regions: BTreeSet<RegionId>,
}

/// Whether a request may run more than once, and how its response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The response is a stream of events; the request runs at most once.
    StreamOnce,
    /// The response is a stream of events that another engine can resume after the last event sent.
    StreamResumable,
}

impl RunPolicy {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RunPolicy::StreamOnce | RunPolicy::StreamResumable)
    }

    /// Whether a request that may have run may be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, RunPolicy::Idempotent | RunPolicy::StreamResumable)
    }
}

/// A service and its share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    pub service: ServiceId,
    /// Share of the requests, relative to the other weights of the route.
    pub weight: u32,
}

/// A group of equivalent targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub role: ServiceRole,
    /// Maximum number of connections that each target accepts in total.
    pub max_connections: u32,
    /// What its targets bear after their start; `None` if they bear any rate.
    pub cold_start: Option<ColdStart>,
}

/// Role of the targets of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServiceRole {
    Engines(EngineSpec),
    /// A store of KV cache.
    Store(StoreSpec),
    /// Any other service.
    Plain,
}

/// Properties that all engines of a service have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens, for running requests and cached parts together.
    pub capacity_tokens: u64,
    /// Size of one token in the KV cache.
    pub token_bytes: u64,
    /// Bandwidth of the link in megabits per second.
    pub link_mbps: f64,
    /// Models that the engines serve.
    pub models: Vec<ModelId>,
}

/// Properties of a store of KV cache.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreSpec {
    pub address: SocketAddr,
    pub failure_domain: DomainId,
    pub capacity_tokens: u64,
    /// Bandwidth of the link in megabits per second.
    pub link_mbps: f64,
    /// Latency until the first byte of a transfer.
    pub first_byte: Duration,
    /// Whether parts are removed only on request, never evicted by the store itself.
    pub is_managed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account, which is sent to targets.
    pub id: AccountId,
    /// Bearer keys. Invariant of a valid deployment: no key belongs to two accounts.
    pub keys: Vec<String>,
    /// Whether it shares no cached prompt parts with other accounts.
    pub is_isolated: bool,
    /// Overrides the priority of the route if present.
    pub priority: Option<u8>,
    /// Regions that its requests and their cached prompt parts may reach; empty for all.
    pub allowed_regions: BTreeSet<RegionId>,
}

/// Limits on the requests of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of the head of a request.
    pub head_bytes: usize,
    /// Maximum size of the body.
    pub body_bytes: usize,
    /// Maximum time between the first byte and the end of a head.
    pub head_timeout: Duration,
    /// Maximum time for which a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Common defaults of HTTP servers, for a deployment without limits.
    fn default() -> RequestLimits {
        RequestLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
