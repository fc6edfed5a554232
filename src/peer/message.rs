//! What nodes say to each other.

use serde::{Deserialize, Serialize};

use crate::config::Update;
use crate::ids::{BlockKey, ConfigNumber, Incarnation, NodeId, TargetId};
use crate::limits::shares::{Demand, Share};
use crate::log::Message;
use crate::log::raft::Change;
use crate::log::state::{Command, Reply};
use crate::quarantine::{Report, Revision};
use crate::whereabouts::{Kept, Seen, Written};

/// One frame of a connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Between replicas; no answer.
    Log(Message),
    /// News of a dispatch; no answer.
    Dispatched(Dispatched),
    /// A question.
    Request(u64, PeerRequest),
    /// The answer to the question with this number.
    Response(u64, PeerResponse),
}

/// A node sent a request to an engine, which the engine's next report can't show yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatched {
    /// The engine.
    pub engine: TargetId,
    /// The start of it.
    pub incarnation: Incarnation,
    /// Tokens that it must prefill.
    pub prefill_tokens: u64,
    /// What it imports first.
    pub import: Option<StoreImport>,
}

/// An import that uses a store's link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreImport {
    /// The store.
    pub store: TargetId,
    /// Bytes moved.
    pub size_bytes: u64,
}

/// A question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Renews a freshness lease.
    RenewLease(RenewLease),
    /// Has a command decided. Only the leader does.
    Propose(Command),
    /// Reads the configuration, confirmed by a quorum. Only the leader does.
    ReadConfig {
        /// The number that the asker has.
        known_number: ConfigNumber,
    },
    /// Changes the replicas. Only the leader does.
    ChangeReplicas(Change),
    /// What is kept of contexts that begin with this block? The answer pins it for a while.
    Lookup {
        /// The first block.
        root: BlockKey,
    },
    /// A prompt was answered.
    Seen(Seen),
    /// An export ended.
    Written(Written),
    /// Asks the owner of an account for a share of its limit.
    Share(Demand),
    /// For the operators' pages.
    Status,
}

/// Renews a freshness lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewLease {
    /// The number that the asker has.
    pub known_number: ConfigNumber,
    /// The number that all nodes below the asker have.
    pub subtree_number: ConfigNumber,
    /// Whether the asked node shall grant as a relay; else it must be the leader.
    pub as_relay: bool,
    /// What the asker knows of requests under which targets have ended, and the asked node may not.
    pub quarantine: Vec<Report>,
    /// What the asker was told of them by the asked node.
    pub quarantine_received: QuarantineCursor,
}

/// What one node was told by another of requests under which targets have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineCursor {
    /// The teller's start; 0 if nothing was told.
    pub boot: u64,
    /// All changes of the teller's book up to this one.
    pub revision: Revision,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// A freshness lease, counted from when the asker sent its renewal.
    Granted {
        /// How long it lasts.
        lasts_ms: u64,
        /// The number that the asker has once it has applied the update.
        number: ConfigNumber,
        /// How it gets there.
        update: Update,
        /// Requests under which several targets have ended, as far as the asker was not told.
        quarantine: Vec<Report>,
        /// What the asker has been told of them by now.
        quarantine_sent: QuarantineCursor,
    },
    /// The command was decided.
    Decided(Reply),
    /// The configuration.
    Config(Update),
    /// The change of the replicas is committed, or why not.
    ReplicasChanged(Result<(), String>),
    /// What is kept.
    Kept(Vec<Kept>),
    /// It would be worth exporting this.
    Export(Option<crate::whereabouts::ExportPlan>),
    /// A share of an account's limit.
    Share(Share),
    /// Done.
    Done,
    /// For the operators' pages, as JSON text.
    Status(String),
    /// The asked node does not lead; this one may.
    NotLeader(Option<NodeId>),
    /// The asked node can't answer now, for example since its own lease has ended.
    Unable,
}
