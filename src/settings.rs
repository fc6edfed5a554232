//! Settings of `serve`. They are read from JSON and validated completely before anything starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use log::LevelFilter;
use serde_json::Value;

use crate::error::{Error, Problem, Result};
use crate::ids::{DomainId, NodeId};
use crate::json_reader::ObjectReader;
use crate::telemetry::logs::LogSettings;

const MAX_PERIOD_MS: u64 = 86_400_000;
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Minimum number of renewal intervals in a lease, so that a failed renewal can be retried before the lease ends.
const MIN_RENEWALS_PER_LEASE: u32 = 2;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Id of this node; unique, and never reused for another host.
    pub node_id: NodeId,
    pub region: String,
    /// Failure domain of this node.
    pub failure_domain: DomainId,
    /// Address of the HTTP server for callers.
    pub callers_address: SocketAddr,
    /// Address of the HTTP server for operators.
    pub operators_address: SocketAddr,
    /// TCP and UDP address for other nodes.
    pub peer_address: SocketAddr,
    /// File with the key with which nodes authenticate each other.
    pub key_file: PathBuf,
    /// Folder for durable state; required on replicas only.
    pub data_folder: Option<PathBuf>,
    /// Base URL of the platform's list of targets.
    pub platform_url: String,
    /// All nodes known at the start, including this one. At least one is a replica.
    pub nodes: Vec<NodeSettings>,
    /// Configuration to propose while there is none, that is, while the configuration number is 0.
    pub first_config: Option<Value>,
    /// Level and destination of logs.
    pub log: LogSettings,
    /// Intervals, timeouts and retention times.
    pub timing: Timing,
    /// Limits on the resources of this node.
    pub bounds: Bounds,
    /// Whether `POST /v1/faults` may cut this node off from others; allowed only if `environment` is `test`.
    pub fault_knobs: bool,
}

/// A node in the list of known nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    pub node_id: NodeId,
    /// TCP and UDP address of the node.
    pub peer_address: SocketAddr,
    pub failure_domain: DomainId,
    /// Whether the node is a voter of the replicated log.
    pub replica: bool,
}

/// Intervals, timeouts and retention times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Duration of a freshness lease; at least twice `renew`.
    pub lease: Duration,
    /// Time between two renewals of the freshness lease of a node.
    pub renew: Duration,
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Time without a leader after which a replica starts an election; at least three times `heartbeat`.
    pub election: Duration,
    /// Time between two membership probes of a node.
    pub probe: Duration,
    /// Time between two reads of an engine's load report and cache events.
    pub load_poll: Duration,
    /// Time between two reads of the platform's target list.
    pub platform_poll: Duration,
    /// Timeout of connecting to a target.
    pub connect: Duration,
    /// Maximum time that a graceful shutdown waits for requests to finish.
    pub shutdown: Duration,
    /// Retention time of the claim and outcome of a request that is marked not repeatable.
    pub claim_retention: Duration,
}

/// Limits on the resources of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of requests queued for an engine; further ones are refused at once.
    pub queue_len: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum number of contexts in this node's prefix catalog.
    pub context_entries: usize,
    /// Maximum number of engines of one model that this node watches.
    pub watched_engines: usize,
}

impl Settings {
    /// Reads and validates the settings in a file.
    ///
    /// # Errors
    /// `Error::Start` if the file can't be read, `Error::Invalid` with all problems found.
    pub fn read(path: &Path) -> Result<Settings> {
        Settings::from_value(&read_json(path)?, &path.display().to_string())
    }

    /// Validates settings from parsed JSON. `file` is the name to use in errors.
    ///
    /// # Errors
    /// `Error::Invalid` with all problems found.
    pub fn from_value(value: &Value, file: &str) -> Result<Settings> {
        let mut problems = Vec::new();
        let settings = parse_settings(value, &mut problems);
        settings.check(&mut problems);
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(Error::Invalid { file: file.to_string(), problems })
    }

    /// The nodes that are marked as replicas.
    pub fn replicas(&self) -> Vec<NodeId> {
        self.nodes.iter().filter(|node| node.replica).map(|node| node.node_id).collect()
    }

    /// Whether this node is a replica.
    pub fn is_replica(&self) -> bool {
        self.replicas().contains(&self.node_id)
    }

    fn check(&self, problems: &mut Vec<Problem>) {
        let mut report = |path: &str, message: String, remedy: &str| {
            problems.push(Problem { path: path.into(), message, remedy: remedy.into() });
        };
        if self.timing.lease < self.timing.renew * MIN_RENEWALS_PER_LEASE {
            let message = format!("{} is shorter than two renewals", self.timing.lease.as_millis());
            report("timing.lease_ms", message, "raise it to at least twice timing.renew_ms");
        }
        if self.timing.election < self.timing.heartbeat * 3 {
            let message = format!("{} is too short", self.timing.election.as_millis());
            report(
                "timing.election_ms",
                message,
                "raise it to at least three times timing.heartbeat_ms",
            );
        }
        if !self.nodes.iter().any(|node| node.node_id == self.node_id) {
            report("nodes", format!("node {} is missing", self.node_id), "list this node as well");
        }
        let mut ids: Vec<NodeId> = self.nodes.iter().map(|node| node.node_id).collect();
        ids.sort_unstable();
        if ids.windows(2).any(|pair| pair[0] == pair[1]) {
            report("nodes", "a node_id is listed twice".into(), "give each node its own id");
        }
        if self.replicas().is_empty() {
            report("nodes", "no node is a replica".into(), "mark one, three or five as replica");
        }
        if self.is_replica() && self.data_folder.is_none() {
            let remedy = "name a folder on a disk of this host";
            report("data_folder", "is missing on a replica".into(), remedy);
        }
        if !self.platform_url.is_empty() && !self.platform_url.starts_with("http://") {
            let message = format!("{:?} is not accepted", self.platform_url);
            report("platform_url", message, "give a URL that starts with http://");
        }
    }
}

/// Reads a JSON file.
///
/// # Errors
/// `Error::Start` if the file can't be read, `Error::Invalid` if it is not JSON.
pub fn read_json(path: &Path) -> Result<Value> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::start(&file, source, "name a file that this user may read"))?;
    serde_json::from_str(&text).map_err(|source| {
        let problem = Problem {
            path: format!("line {}", source.line()),
            message: source.to_string(),
            remedy: "correct the JSON there".into(),
        };
        Error::Invalid { file, problems: vec![problem] }
    })
}

fn parse_settings(value: &Value, problems: &mut Vec<Problem>) -> Settings {
    let mut fields = ObjectReader::new(value, "", problems);
    let environment = fields.optional_text("environment").unwrap_or_else(|| "production".into());
    if !["production", "test"].contains(&environment.as_str()) {
        fields.report("environment", format!("{environment:?}"), "give production or test");
    }
    let fault_knobs = fields.bool("fault_knobs", false);
    if fault_knobs && environment != "test" {
        let remedy = "remove it, or set environment to test";
        fields.report("fault_knobs", "true is refused in production".into(), remedy);
    }
    let node_id = fields.number("node_id", 0, 1, u32::MAX.into());
    if node_id == 0 {
        fields.report("node_id", "is missing".into(), "give this node a number from 1");
    }
    let settings = Settings {
        node_id,
        region: fields.text("region", "name this node's region"),
        failure_domain: fields.text("failure_domain", "name this node's failure domain"),
        callers_address: fields.address("callers_address"),
        operators_address: fields.address("operators_address"),
        peer_address: fields.address("peer_address"),
        key_file: fields.text("key_file", "name the file with the nodes' shared key").into(),
        data_folder: fields.optional_text("data_folder").map(PathBuf::from),
        platform_url: fields.text("platform_url", "give the URL of the platform's list"),
        nodes: fields.list("nodes", parse_node_settings),
        first_config: fields.value("first_config"),
        log: fields.object("log", parse_log_settings),
        timing: fields.object("timing", parse_timing),
        bounds: fields.object("bounds", parse_bounds),
        fault_knobs,
    };
    fields.finish();
    settings
}

fn parse_node_settings(mut fields: ObjectReader<'_>) -> NodeSettings {
    let node = NodeSettings {
        node_id: fields.number("node_id", 0, 1, u32::MAX.into()),
        peer_address: fields.address("peer_address"),
        failure_domain: fields.text("failure_domain", "name the node's failure domain"),
        replica: fields.bool("replica", false),
    };
    fields.finish();
    node
}

/// Parses the `log` object, which is the same in the settings of `serve` and `emulate`.
pub fn parse_log_settings(mut fields: ObjectReader<'_>) -> LogSettings {
    let text = fields.optional_text("level").unwrap_or_else(|| "info".into());
    let level = LevelFilter::from_str(&text).unwrap_or_else(|_| {
        let remedy = "give off, error, warn, info, debug or trace";
        fields.report("level", format!("{text:?} is not a level"), remedy);
        LevelFilter::Info
    });
    let settings = LogSettings { level, file: fields.optional_text("file").map(PathBuf::from) };
    fields.finish();
    settings
}

fn parse_timing(mut fields: ObjectReader<'_>) -> Timing {
    let mut period =
        |name, default| Duration::from_millis(fields.number(name, default, 1, MAX_PERIOD_MS));
    let timing = Timing {
        lease: period("lease_ms", 3_000),
        renew: period("renew_ms", 1_000),
        heartbeat: period("heartbeat_ms", 100),
        election: period("election_ms", 600),
        probe: period("probe_ms", 500),
        load_poll: period("load_poll_ms", 250),
        platform_poll: period("platform_poll_ms", 500),
        connect: period("connect_ms", 500),
        shutdown: period("shutdown_ms", 30_000),
        claim_retention: period("claim_retention_ms", 86_400_000),
    };
    fields.finish();
    timing
}

fn parse_bounds(mut fields: ObjectReader<'_>) -> Bounds {
    let bounds = Bounds {
        queue_len: fields.number("queue_len", 256, 1, 1_000_000) as usize,
        body_bytes: fields.number("body_bytes", 4 << 20, 1, MAX_BODY_BYTES) as usize,
        context_entries: fields.number("context_entries", 100_000, 1, 10_000_000) as usize,
        watched_engines: fields.number("watched_engines", 64, 1, 10_000) as usize,
    };
    fields.finish();
    bounds
}
