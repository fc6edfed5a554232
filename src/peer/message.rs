//! Messages between nodes.

use serde::{Deserialize, Serialize};

use crate::config::Update;
use crate::ids::{BlockKey, ConfigNumber, Incarnation, NodeId, TargetId};
use crate::limits::shares::{GrantedShare, ShareRequest};
use crate::log::Message;
use crate::log::raft::Change;
use crate::log::state::{Command, Reply};
use crate::prefix_catalog::{AnsweredPrompt, ExportOutcome, PrefixLocation};
use crate::quarantine::{Report, Revision};

/// A frame of a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A message of the replicated log; has no response.
    Log(Message),
    /// Notification of a dispatch; has no response.
    Dispatched(Dispatched),
    /// A request with its number.
    Request(u64, PeerRequest),
    /// The response to the request with this number.
    Response(u64, PeerResponse),
}

/// Notification that a node sent a prompt to an engine, so that others count it before the engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatched {
    pub engine: TargetId,
    /// The start of the engine.
    pub incarnation: Incarnation,
    /// Number of tokens that the engine must prefill.
    pub prefill_tokens: u64,
    /// The import that precedes the prefill.
    pub import: Option<StoreImport>,
}

/// An import from a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreImport {
    pub store: TargetId,
    /// Size of the import in bytes.
    pub size_bytes: u64,
}

/// A request of a node to another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    RenewLease(RenewLease),
    /// Proposes a command to the replicated log. Only the leader accepts it.
    Propose(Command),
    /// Reads the newest configuration, confirmed by a quorum. Only the leader accepts it.
    ReadConfig {
        /// The configuration number of the requesting node.
        known_number: ConfigNumber,
    },
    /// Changes the set of replicas. Only the leader accepts it.
    ChangeReplicas(Change),
    /// Looks up the stored contexts that start with this block, and pins them for a while.
    Lookup {
        /// The first block.
        root: BlockKey,
    },
    /// Reports a completed prompt.
    Seen(AnsweredPrompt),
    /// Reports a completed export.
    Written(ExportOutcome),
    /// Requests a share of the limit of an account from its owner.
    Share(ShareRequest),
    /// Reads the status of the node, for operators.
    Status,
}

/// Request to renew a freshness lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewLease {
    /// The configuration number of the requesting node.
    pub known_number: ConfigNumber,
    /// The lowest configuration number among the requesting node and the nodes that it grants leases to.
    pub subtree_number: ConfigNumber,
    /// Whether the granting node acts as a relay. Otherwise it must be the leader.
    pub as_relay: bool,
    /// Reports on requests suspected of terminating their targets, as far as the granting node may lack them.
    pub quarantine: Vec<Report>,
    /// Up to where the requesting node has received such reports from the granting node.
    pub quarantine_received: QuarantineCursor,
}

/// Position in a node's sequence of changes to its quarantine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineCursor {
    /// Boot number of the node that sent the reports; 0 if none were received.
    pub boot: u64,
    /// Revision of the last change that was received.
    pub revision: Revision,
}

/// A response to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// A freshness lease. It starts when the requesting node sent the renewal.
    Granted {
        lasts_ms: u64,
        /// The configuration number after the update is applied.
        number: ConfigNumber,
        update: Update,
        /// Reports on requests suspected of terminating several targets, since `quarantine_received`.
        quarantine: Vec<Report>,
        /// Up to where the requesting node has received such reports with this response.
        quarantine_sent: QuarantineCursor,
    },
    /// Result of the command, which is committed.
    Decided(Reply),
    Config(Update),
    /// The change of the replicas is committed, or the reason why not.
    ReplicasChanged(Result<(), String>),
    /// The stored contexts.
    Kept(Vec<PrefixLocation>),
    /// An export that is worthwhile, if any.
    Export(Option<crate::prefix_catalog::ExportPlan>),
    /// A share of an account's limit.
    Share(GrantedShare),
    Done,
    /// The status of the node as JSON text.
    Status(String),
    /// The node is not the leader; this one may be.
    NotLeader(Option<NodeId>),
    /// The node can't process the request now, for example because its own lease has expired.
    Unavailable,
}
