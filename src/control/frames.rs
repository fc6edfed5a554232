//! The frames that replicas and entries exchange, and their encoding: a length prefix and a
//! postcard body.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt};

use super::entry_directory::{EntriesByDomain, EntryProcess, PeerEntry};
use super::pieces::Piece;
pub use super::versioned_roster::{RosterVersion, VersionedRoster};
use crate::deployment::Deployment;
use crate::deployment::document::DeploymentVersion;
use crate::fleet::RosterHistory;
use crate::fleet::compact::CompactTargets;
use crate::fleet::evacuation::Evacuations;
use crate::fleet::news::TargetNews;
use crate::fleet::software::ToldSoftware;
use crate::fleet::streams::{StreamKey, StreamOrigin, StreamsOfOrigin};
use crate::ids::{DomainId, ModelId, NodeId, ServiceId, TargetStart};
use crate::log::{Message, Term};
use crate::quarantine::Report;
use crate::scheduler::weights::NamedWeights;
use crate::scheduler::{Placement, PlacementError, PlacementEvent, PlacementRequest};

/// Longer frames are rejected as corrupt. Must exceed the largest deployment together with its
/// document.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;

/// The newest weight versions of each model, with the time since each was named.
pub type NamedAges = BTreeMap<ModelId, Vec<NamedWeights>>;

/// The first frame on a connection, which identifies the peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Handshake {
    /// A replica. It sends `ReplicaFrame`s and receives nothing.
    Replica { node: NodeId, ip: IpAddr, failure_domain: DomainId },
    /// An entry that subscribes to updates. It sends `SubscriberRequest`s and receives `Update`s.
    Entry {
        /// The name of its host.
        name: String,
        /// Its process, at whose peer port other entries reach it.
        process: EntryProcess,
        failure_domain: DomainId,
        /// The version of its deployment; 0 if it has none.
        deployment: DeploymentVersion,
        /// The weight versions known to the entry. Replicas that have all restarted may know fewer.
        named: NamedAges,
    },
    /// An entry that uses the scheduler. It sends `SchedulerRequest`s and receives
    /// `SchedulerReply`s.
    SchedulerClient {
        /// The name of its host.
        name: String,
        process: EntryProcess,
    },
}

/// A request from a subscribed entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SubscriberRequest {
    SubscribeRoster(RosterSubscription),
    /// Quarantine reports that the replica may not have.
    Quarantine(Vec<Report>),
    News(Vec<TargetNews>),
    /// The entry has this deployment, from whichever replica.
    DeploymentHeld(DeploymentVersion),
    /// Asks for an `Update::Confirmed` once the entry has been sent the newest deployment.
    Confirm(ConfirmId),
    /// Streams that have begun.
    Streams(Vec<StreamsOfOrigin>),
    /// Asks where a stream began.
    FindStream(StreamLookup),
}

/// Identifies a stream lookup of an entry. Ids increase.
pub type LookupId = u64;

/// A question where a stream began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamLookup {
    pub id: LookupId,
    pub stream: StreamKey,
    /// The service that is to go on with it.
    pub service: ServiceId,
}

/// What a replica knows of where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginAnswer {
    /// It was told.
    Told(StreamOrigin),
    /// It was not told, and would have been if the stream had begun elsewhere.
    Presumed(StreamOrigin),
    /// It was not told, and the stream may have begun at several versions.
    Uncertain,
    /// It lacks knowledge of earlier streams or targets. Now only this version of the service is listed.
    Sole(StreamOrigin),
    /// It lacks that knowledge while several versions are listed, or may not be up to date.
    Unknown,
}

/// Identifies a confirmation request of an entry. Ids increase.
pub type ConfirmId = u64;

/// A subscription to the roster, with what the entry already holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterSubscription {
    /// The version of the roster that the entry holds; the default if it has none.
    pub whole: RosterVersion,
    /// The version of a partly received roster, and the number of pieces received.
    pub part: (RosterVersion, u32),
    /// What to send once the entry has the current roster.
    pub detail: RosterDetail,
}

/// How much of each roster change an entry receives. It subscribes to two replicas and gets the
/// full changes from only one of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterDetail {
    /// Full changes.
    #[default]
    Changes,
    /// Only the new version and the targets that have begun to leave.
    Versions,
}

/// A request from an entry to the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SchedulerRequest {
    /// Places a prompt. The id identifies the request in replies.
    Place(u64, Box<PlacementRequest>),
    /// Cancels the request with this id.
    Withdraw(u64),
    /// Reports progress or the end of a placement.
    Event(PlacementEvent),
    /// Asks for a retry at the service. The id identifies the request in the reply.
    Retry(u64, ServiceId),
}

/// A reply from the scheduler to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SchedulerReply {
    /// The prompt is queued until an engine has capacity; `Placed` follows.
    Queued(u64),
    /// The result of the request with this id.
    Placed(u64, Result<Placement, SchedulerError>),
    /// Whether the retry with this id may be made.
    Retry(u64, bool),
}

/// Why a prompt was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SchedulerError {
    /// The replica is not the leader, or its leadership is not confirmed.
    NotScheduling,
    /// No engine can take the prompt.
    Placement(PlacementError),
}

impl From<PlacementError> for SchedulerError {
    fn from(unplaced: PlacementError) -> SchedulerError {
        SchedulerError::Placement(unplaced)
    }
}

/// A frame from one replica to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReplicaFrame {
    /// A Raft message.
    Log {
        /// The intended recipient. Another replica may have replaced it on the same host.
        to: NodeId,
        message: Message,
    },
    /// The sender asks to join the cluster.
    Join,
    /// Hosts of all replicas known to the sender, in answer to `Join`.
    Hosts(BTreeSet<IpAddr>),
    /// The sender's whole roster.
    Roster(VersionedRoster),
    /// The change from an earlier roster: a whole one is large, and may change with each read.
    RosterChanged {
        /// The version before the change.
        before: RosterVersion,
        /// The version after the change.
        version: RosterVersion,
        /// Targets that were added or have changed.
        changed: CompactTargets,
        gone: Vec<TargetStart>,
        /// Bookkeeping of the later roster that the earlier one lacks.
        remembered: RosterHistory,
    },
    /// The sender has read the target list.
    TargetListRead {
        /// The version of the sender's roster after the read.
        version: RosterVersion,
        /// Time since the read began.
        age: Duration,
    },
    /// The sender cannot read the target list, or the list is slow to answer. Another replica
    /// should read it now.
    TargetListReadFailed,
    /// Asks for the recipient's whole roster.
    RosterRequested,
    /// Entries connected to the sender.
    Entries(EntriesByDomain),
    /// Quarantine reports known to the sender.
    Quarantine(Vec<Report>),
    /// The digest of the sender's quarantine. The recipient sends `Quarantine` if its own differs.
    QuarantineDigest(u64),
    News(Vec<TargetNews>),
    /// Asks for `NamedAges`, after a restart.
    NamedAgesRequested,
    /// Streams of which entries have told the sender.
    Streams(Vec<StreamsOfOrigin>),
    /// Asks for `AllStreams`, after a restart.
    StreamsRequested,
    /// All streams and software versions known to the sender.
    AllStreams {
        streams: Vec<StreamsOfOrigin>,
        software: Vec<ToldSoftware>,
        /// Whether these are all streams that any replica knows.
        is_complete: bool,
    },
    /// Weight versions known to the sender.
    NamedAges {
        /// The versions with their ages.
        named: NamedAges,
        /// Whether the sender is the leader.
        leads: bool,
    },
}

/// An update from a replica to an entry. Each one holds until it is replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The sender is up to date.
    Heartbeat {
        /// Hosts of all replicas.
        replicas: BTreeSet<IpAddr>,
        /// The number of entries; `None` if the sender does not know it yet, in which case the last
        /// count still holds.
        entries: Option<u32>,
        /// The host of the leader, which runs the scheduler.
        leader: Option<IpAddr>,
        /// The term of the leader.
        term: Term,
    },
    /// The newest deployment.
    Deployment(Arc<Deployment>),
    /// The failure domain of each replica, by host.
    Domains(BTreeMap<IpAddr, DomainId>),
    RosterPiece(Piece),
    /// The change from an earlier roster.
    RosterChanged {
        /// The version before the change.
        before: RosterVersion,
        /// The version after the change.
        version: RosterVersion,
        /// Targets that were added or have changed.
        changed: CompactTargets,
        gone: Vec<TargetStart>,
    },
    /// The sender has a new roster, for an entry subscribed to versions only.
    RosterVersionOnly {
        /// The new version.
        version: RosterVersion,
        /// Targets that have begun to leave. Removed targets are not included.
        leaving: Vec<TargetStart>,
    },
    /// Weight versions with their ages.
    Weights(NamedAges),
    Evacuations(Arc<Evacuations>),
    /// Answers a confirmation request: the entry has been sent every deployment committed up to
    /// `age` ago. Sent after those deployments.
    Confirmed {
        /// The request. A later request supersedes one that is still pending.
        id: ConfirmId,
        /// Time between the sender's last being up to date and this frame.
        age: Duration,
    },
    /// Requests under which several targets have ended.
    Quarantine(Vec<Report>),
    News(Vec<TargetNews>),
    /// Entries that may forward requests for the recipient. Replaces earlier ones.
    PeerEntries(Vec<PeerEntry>),
    /// Where a stream began.
    StreamFound {
        id: LookupId,
        answer: OriginAnswer,
    },
}

/// Encodes a frame with its length prefix.
pub fn encode<T: Serialize>(frame: &T) -> Arc<[u8]> {
    // Serialization cannot fail: frames contain only types that postcard supports.
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes.into()
}

/// Reads the next frame.
///
/// # Errors
///
/// If the connection ends or the bytes are not a valid frame.
pub async fn read<T: DeserializeOwned>(from: &mut (impl AsyncRead + Unpin)) -> std::io::Result<T> {
    let length = from.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(std::io::Error::other("the frame exceeds the size limit"));
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(std::io::Error::other)
}
