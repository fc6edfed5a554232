//! What a process is told about its host when it starts.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use crate::ids::DomainId;
use crate::scheduler::weights::OldWeightsPolicy;

/// Settings of one process, whatever wrote them.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The host's name, for logs.
    pub name: String,
    /// The host's address.
    pub ip: IpAddr,
    /// The host's failure domain.
    pub failure_domain: DomainId,
    /// Where callers are served, on an entry.
    pub callers_address: Option<SocketAddr>,
    /// Where an entry tells whether it takes new callers.
    pub readiness_address: Option<SocketAddr>,
    /// Where operators are served, on a replica.
    pub operators_address: Option<SocketAddr>,
    /// Where the system's own processes reach each other; the same on all hosts.
    pub peer_port: u16,
    /// Where metrics are served; the same on all hosts.
    pub metrics_port: u16,
    /// Operators' addresses of some replicas; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    pub is_first_start: bool,
    /// Memory that the process may use.
    pub memory_bytes: u64,
    /// Descriptors that the process may use.
    pub descriptors: u64,
    /// Folder for durable state, where the host has a disk.
    pub data_folder: Option<PathBuf>,
    /// Where the platform lists targets.
    pub target_list: Option<SocketAddr>,
    /// Reads of that list a second that are allowed, for all hosts together.
    pub target_list_rate: f64,
    /// Periods that hold on all hosts.
    pub periods: Periods,
    /// Hosts with a disk that may be lost at once.
    pub tolerated_losses: usize,
    /// Retries allowed for each request to a service, over all hosts.
    pub retry_ratio: f64,
    /// Retries of a service allowed beyond that in each window, over all hosts.
    pub retry_slack: f64,
}

/// Periods that hold on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Periods {
    /// Time between the request to stop and the kill.
    pub grace: Duration,
    /// Orders of two hosts to one engine must be at least this far apart.
    pub order_lease: Duration,
    /// How long prompts may begin on older weights.
    pub old_weights: OldWeightsPolicy,
    /// The window in which retries are counted.
    pub retry_window: Duration,
    /// How long after its acknowledgement a deployment may take to be in force; `None` if nothing is promised.
    pub in_force: Option<Duration>,
}
