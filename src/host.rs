//! Settings of a process that depend on its host, read at the start.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use crate::fleet::budget::RetryLimit;
use crate::fleet::locality::BytePrice;
use crate::ids::{DomainId, RegionId};
use crate::scheduler::weights::OldWeightsPolicy;

/// Settings of one process, independent of the format that they are read from.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The host's name, used in logs.
    pub name: String,
    pub ip: IpAddr,
    pub failure_domain: DomainId,
    /// The region of each failure domain that the platform names.
    pub regions: BTreeMap<DomainId, RegionId>,
    /// Address of the server for callers, on an entry.
    pub callers_address: Option<SocketAddr>,
    /// Address of the readiness check, on an entry.
    pub readiness_address: Option<SocketAddr>,
    /// Address of the server for operators, on a replica.
    pub operators_address: Option<SocketAddr>,
    /// Port for connections between processes of the system; the same on all hosts.
    pub peer_port: u16,
    /// Port of the metrics server; the same on all hosts.
    pub metrics_port: u16,
    /// Operator addresses of some replicas, which may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system is started for the first time, with empty disks.
    pub is_first_start: bool,
    /// Maximum memory use of the process.
    pub memory_limit_bytes: u64,
    /// Size of the disk; `None` if it is not known.
    pub disk_limit_bytes: Option<u64>,
    /// Maximum number of open file descriptors.
    pub file_descriptor_limit: u64,
    /// Folder for durable state; `None` on a host without a disk.
    pub data_folder: Option<PathBuf>,
    /// Address of the platform's list of targets.
    pub target_list: Option<SocketAddr>,
    /// Maximum rate of reads of that list, summed over all hosts.
    pub target_list_reads_per_s: f64,
    /// Durations that apply to all hosts.
    pub periods: Periods,
    /// Number of hosts with a disk that may fail at the same time.
    pub tolerated_losses: usize,
    /// Maximum ratio of retries to requests of a service, over all hosts.
    pub retry_ratio: f64,
    /// Retries of a service allowed in each window in addition to that ratio, over all hosts.
    pub retry_slack: f64,
    /// Price of traffic between failure domains, from the command line.
    pub cross_domain_price: BytePrice,
}

impl HostSettings {
    /// Limit on the retries of all entries at one service.
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.periods.retry_window,
        }
    }
}

/// Durations that apply to all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Periods {
    /// Time between the request to stop a process and its forced termination.
    pub shutdown_grace: Duration,
    /// Minimum time between the orders of two different hosts to the same engine.
    pub min_order_interval: Duration,
    /// How long prompts may still start on older weights.
    pub old_weights: OldWeightsPolicy,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// Maximum time from the acknowledgement of a deployment until it is in force; `None` if there is no limit.
    pub config_apply_limit: Option<Duration>,
}
