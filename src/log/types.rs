//! Log entries, messages between replicas, and the state that a replica keeps on disk.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::NodeId;

/// Number of an election. Each term has at most one leader.
pub type Term = u64;
/// Position in the log, starting at 1.
pub type Index = u64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The entry's position in the log.
    pub index: Index,
    /// The term of the leader that created the entry.
    pub term: Term,
    pub payload: Payload,
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation. A new leader appends it in order to commit the entries of earlier terms.
    Noop,
    /// A new set of replicas, in effect from this entry on.
    Members(Members),
    /// A command for the state machine.
    Command(Arc<Vec<u8>>),
}

/// The set of replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count towards a quorum.
    pub voters: BTreeSet<NodeId>,
    /// Replicas that receive the log but neither vote nor count towards a quorum.
    pub learners: BTreeSet<NodeId>,
}

impl Members {
    /// A set of voters without learners.
    pub fn from_voters(voters: impl IntoIterator<Item = NodeId>) -> Members {
        Members { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub fn all(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }
}

/// The state machine's state at an index. It replaces all entries up to that index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry included.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The set of replicas at that index.
    pub members: Members,
    /// The encoded state.
    pub data: Arc<Vec<u8>>,
}

/// The election state that a replica keeps on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The highest term seen.
    pub term: Term,
    /// The candidate that this replica voted for in that term.
    pub voted_for: Option<NodeId>,
    /// The leader that this replica last acknowledged, or the candidate that it has voted for since; may be the
    /// replica itself. No other replica can hold a lease that rests on an acknowledgement by this one, because it
    /// votes only after the lease of the previous leader has expired.
    pub acknowledged_leader: Option<NodeId>,
}

/// Changes to write to disk, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persist {
    /// The new election state.
    pub vote: Option<Vote>,
    /// A snapshot that replaces all entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// Discards the entries from this index on.
    pub truncate_from: Option<Index>,
    pub append: Vec<Entry>,
}

impl Persist {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Persist::default()
    }
}

/// Messages between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would grant a vote. Does not change the receiver's state.
    PreVote {
        /// The term that the candidate would start.
        term: Term,
        /// The index of the candidate's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    PreVoteReply {
        /// The requested term if granted, else the sender's term.
        term: Term,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    RequestVote {
        /// The candidate's term.
        term: Term,
        /// The index of the candidate's last entry.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
    },
    VoteReply {
        /// The sender's term.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries. Without entries it is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The index of the entry before the first one sent.
        prev_index: Index,
        /// The term of that entry.
        prev_term: Term,
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The index of the leader's last entry.
        last_index: Index,
        /// The number of the leader's broadcast; replies to it confirm the leadership.
        round: u64,
        /// The last acknowledgement that the leader received from the receiver; `None` if the leader did not hold
        /// its lease when it sent the message.
        round_ack: Option<RoundAck>,
    },
    /// Reply to `Append` and `InstallSnapshot`.
    AppendReply {
        /// The sender's term.
        term: Term,
        /// The last index up to which the sender's durable log matches the leader's, or where the logs diverge.
        result: Result<Index, Mismatch>,
        /// The acknowledged round.
        round_ack: RoundAck,
    },
    /// Sends a snapshot to a replica that needs entries which the leader has already compacted.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        snapshot: Snapshot,
        /// The index of the leader's last entry.
        last_index: Index,
        /// The number of the leader's broadcast.
        round: u64,
    },
    /// Sent by a replica that has restarted to the leader that it acknowledged before: asks whether the
    /// receiver may still hold a lease that rests on that acknowledgement.
    LeaseQuery {
        /// Random number of the sender's start.
        nonce: u64,
    },
    /// Reply to `LeaseQuery`: the sender's process has never been the leader, so any lease of an earlier
    /// process on that node is gone.
    NoLease {
        /// The nonce of the `LeaseQuery`.
        nonce: u64,
    },
}

impl Message {
    /// Whether only a leader sends this kind of message.
    pub fn is_from_leader(&self) -> bool {
        matches!(self, Message::Append { .. } | Message::InstallSnapshot { .. })
    }
}

/// The acknowledgement of one round of a leader's broadcasts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundAck {
    /// Random number of the acknowledging replica's start. Acknowledgements from earlier starts are ignored.
    pub start_nonce: u64,
    /// The acknowledged round; 0 if no round is acknowledged.
    pub round: u64,
}

/// The receiver's entry before the first one sent is missing or has a different term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// The last index at which the logs may still match.
    pub hint: Index,
}
