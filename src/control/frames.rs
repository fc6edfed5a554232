//! What replicas and entries say to each other, and how it is framed on a connection.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt};

pub use super::numbered_roster::{NumberedRoster, RosterName};
use super::pieces::Piece;
use crate::deployment::Deployment;
use crate::deployment::document::DeploymentVersion;
use crate::fleet::RosterHistory;
use crate::fleet::compact::CompactTargets;
use crate::ids::{DomainId, ModelId, NodeId, TargetStart};
use crate::log::{Message, Term};
use crate::quarantine::Report;
use crate::scheduler::weights::NamedWeights;
use crate::scheduler::{Placement, PlacementError, PlacementEvent, PlacementRequest};

/// A longer frame is taken for damage. Larger than any deployment with its text: a body of an
/// operator's call is at most 4 MiB.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// The length before each frame.
const HEADER_BYTES: usize = 4;

/// Named weights of each model, the newest and some before, with how long ago they were named.
pub type NamedAges = BTreeMap<ModelId, Vec<NamedWeights>>;

/// The first frame on each connection: who opened it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Introduction {
    /// Another replica; `ToReplica` frames follow, nothing is sent back.
    Replica {
        /// Its id.
        node: NodeId,
        /// Its host.
        ip: IpAddr,
        /// Its failure domain.
        failure_domain: DomainId,
    },
    /// An entry; `Update` is sent back, `FromSubscriber` frames follow.
    Entry {
        /// Its host's name.
        name: String,
        /// Its failure domain.
        failure_domain: DomainId,
        /// The version of the deployment that it knows; 0 if it knows none.
        deployment: DeploymentVersion,
        /// Named weights that it knows of: replicas that were all restarted may know less.
        named: NamedAges,
    },
    /// An entry that asks the scheduler; `FromEntry` frames follow, `ToEntry` is sent back.
    SchedulerClient {
        /// Its host's name.
        name: String,
    },
}

/// From an entry that has subscribed to updates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromSubscriber {
    /// Send the list of targets from here on.
    FollowTargets(FollowTargets),
    /// What the entry knows of requests under which targets have ended, and the replica may not.
    Quarantine(Vec<Report>),
    /// Confirm that the entry knows the newest deployment: `Update::Confirmed` is the answer.
    Confirm(ConfirmId),
}

/// Tells requests for a confirmation of one entry apart. They rise.
pub type ConfirmId = u64;

/// What to send an entry of the list of targets, first what is missing there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FollowTargets {
    /// The list that the entry has; the default if it has none.
    pub whole: RosterName,
    /// A list of which it has some pieces, and how many.
    pub part: (RosterName, u32),
    /// What to send of lists from here on.
    pub detail: ListDetail,
}

/// What an entry subscribes to of the list of targets. It subscribes to two replicas: one sends all, the other who
/// leaves, and that there is a later list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListDetail {
    /// All that changes.
    #[default]
    Changes,
    /// The names of lists, and who leaves.
    Names,
}

/// From an entry to the scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Place a prompt; the number names the answer.
    Place(u64, PlacementRequest),
    /// The caller of the ask with this number has left.
    Withdraw(u64),
    /// What became of a placement.
    Event(PlacementEvent),
}

/// From the scheduler to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The prompt waits for an engine with room; `Placed` follows.
    Queued(u64),
    /// Where a prompt runs.
    Placed(u64, Result<Placement, SchedulerError>),
}

/// Why a prompt was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SchedulerError {
    /// The asked replica does not lead, or is not sure of it.
    NotScheduling,
    /// There is no engine for it.
    Placement(PlacementError),
}

impl From<PlacementError> for SchedulerError {
    fn from(unplaced: PlacementError) -> SchedulerError {
        SchedulerError::Placement(unplaced)
    }
}

/// From replica to replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToReplica {
    /// Of the log.
    Log {
        /// The replica that is meant. Another one may have come in its place on the same host.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// The sender wants to be a replica.
    Join,
    /// Hosts of all replicas that the sender knows of, for one that wants to join.
    Hosts(BTreeSet<IpAddr>),
    /// The list of targets.
    Roster(NumberedRoster),
    /// How the list of targets differs from an earlier one: a whole list is some 220 KB for 3,000 targets, and
    /// changes with each read while targets come and go.
    RosterChanged {
        /// The earlier list.
        before: RosterName,
        /// The list.
        name: RosterName,
        /// Targets that are new, or not as they were.
        changed: CompactTargets,
        /// Starts of targets that are listed no more.
        gone: Vec<TargetStart>,
        /// What the list remembers, and the earlier one does not.
        remembered: RosterHistory,
    },
    /// The sender has read the list.
    RosterRead {
        /// The list that it knows now.
        name: RosterName,
        /// How long ago the read began.
        age: Duration,
    },
    /// The sender fails to read the list, or waits long for it: another replica should read it now.
    RosterUnread,
    /// The sender has an older list than the one that was read.
    RosterWanted,
    /// Entries that are connected to the sender.
    Entries(BTreeSet<String>),
    /// What the sender knows of requests under which targets have ended.
    Quarantine(Vec<Report>),
    /// The digest of all that the sender knows of them. `Quarantine` is the answer if it differs.
    QuarantineDigest(u64),
    /// The sender has just started: `NamedAges` is the answer.
    NamedAgesWanted,
    /// Named weights that the sender knows of.
    NamedAges {
        /// Their ages.
        named: NamedAges,
        /// Whether the sender leads.
        leads: bool,
    },
}

/// From a replica to an entry. What is sent holds until something else is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The sender had all that was committed just now.
    Heartbeat {
        /// Hosts of all replicas.
        replicas: BTreeSet<IpAddr>,
        /// How many entries there are, if the sender can know: until it does, what was sent last holds.
        entries: Option<u32>,
        /// The host of the replica that leads, and schedules.
        leader: Option<IpAddr>,
        /// The term in which it leads.
        term: Term,
    },
    /// The newest deployment.
    Deployment(Arc<Deployment>),
    /// In which failure domains replicas are.
    Domains(BTreeMap<IpAddr, DomainId>),
    /// A part of the list of targets.
    RosterPiece(Piece),
    /// How the list of targets differs from an earlier one.
    RosterChanged {
        /// The earlier list.
        before: RosterName,
        /// The list.
        name: RosterName,
        /// Targets that are new, or not as they were.
        changed: CompactTargets,
        /// Starts of targets that are listed no more.
        gone: Vec<TargetStart>,
    },
    /// The sender knows this list, the changes of which it was not asked for.
    RosterNamed {
        /// The list.
        name: RosterName,
        /// Targets that leave, and did not by the list before. Others may be listed no more.
        leaving: Vec<TargetStart>,
    },
    /// Named weights.
    Weights(NamedAges),
    /// The entry was sent all deployments that were committed before this age. Comes after them.
    Confirmed {
        /// The request that is answered. One that is not answered yet is void once a later one comes.
        id: ConfirmId,
        /// How long ago, when this was sent, the sender was last sure to have all.
        age: Duration,
    },
    /// Requests under which several targets have ended.
    Quarantine(Vec<Report>),
}

/// Writes a frame.
pub fn encode<T: Serialize>(frame: &T) -> Arc<[u8]> {
    // Cannot fail: frames hold only types that the codec writes.
    let body = postcard::to_stdvec(frame).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes.into()
}

/// Reads the next frame.
///
/// # Errors
/// If the connection ends, or what comes is no such frame.
pub async fn read<T: DeserializeOwned>(from: &mut (impl AsyncRead + Unpin)) -> std::io::Result<T> {
    let length = from.read_u32_le().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(std::io::Error::other("frame too large"));
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(std::io::Error::other)
}
