//! Entries, messages and durable records of the replicated log.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::NodeId;

/// Counts elections. There is at most one leader in a term.
pub type Term = u64;
/// Position in the log, from 1.
pub type Index = u64;

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry, which commits those of earlier terms.
    Noop,
    /// Who the replicas are from here on.
    Members(Members),
    /// A command for the state machine.
    Command(Arc<Vec<u8>>),
}

/// The replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count for a quorum.
    pub voters: BTreeSet<NodeId>,
    /// Replicas that catch up before they count.
    pub learners: BTreeSet<NodeId>,
}

impl Members {
    /// Voters only.
    pub fn from_voters(voters: impl IntoIterator<Item = NodeId>) -> Members {
        Members { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Voters needed for a decision.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }
}

/// The state at an index, in place of all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it contains.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The replicas at that index.
    pub members: Members,
    /// The state machine's state.
    pub data: Arc<Vec<u8>>,
}

/// What must survive of elections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The highest term seen.
    pub term: Term,
    /// Whom this replica voted for in it.
    pub voted_for: Option<NodeId>,
    /// The last leader that this replica acknowledged, or whom it voted for since, itself included: it alone
    /// may still count on that, since votes are given only once nobody counts on an earlier leader.
    pub acknowledged_leader: Option<NodeId>,
}

/// What must be durable before late messages leave. Parts are written in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persist {
    /// The new vote.
    pub vote: Option<Vote>,
    /// A snapshot that replaces all entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// The first index whose entries are void.
    pub truncate_from: Option<Index>,
    /// Entries to append.
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
    /// Would you vote for me in this term? Nothing changes by asking.
    PreVote {
        /// The term that would be stood in.
        term: Term,
        /// The candidate's last index.
        last_index: Index,
        /// That entry's term.
        last_term: Term,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// The asked term if granted, else the sender's.
        term: Term,
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me.
    RequestVote {
        /// The term stood in.
        term: Term,
        /// The candidate's last index.
        last_index: Index,
        /// That entry's term.
        last_term: Term,
    },
    /// Answer to `RequestVote`.
    VoteReply {
        /// The sender's term.
        term: Term,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries, or a heartbeat without any.
    Append {
        /// The leader's term.
        term: Term,
        /// Index before the first entry.
        prev_index: Index,
        /// Its term.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The leader's last index.
        last_index: Index,
        /// Counts the leader's broadcasts, to confirm that it still leads.
        round: u64,
        /// The receiver's last answer that the leader had read, if it was sure to lead.
        round_ack: Option<RoundAck>,
    },
    /// Answer to `Append`.
    AppendReply {
        /// The sender's term.
        term: Term,
        /// The last index that is durable and equal to the leader's, or why not.
        result: Result<Index, Mismatch>,
        /// The round that is answered, and by which start of the sender.
        round_ack: RoundAck,
    },
    /// A snapshot, for a replica that is behind the leader's first entry.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot,
        /// The leader's last index.
        last_index: Index,
        /// Counts the leader's broadcasts.
        round: u64,
    },
    /// The sender has started, and before that acknowledged the receiver as the leader. Does a process
    /// that led still run?
    LeaseQuery {
        /// Drawn at the start.
        nonce: u64,
    },
    /// Answer to `Started`: the sender has not led since its own start, so that the process that led is
    /// gone, and nobody counts on what was acknowledged to it.
    NoLease {
        /// That of `Started`: the answer is later than the start.
        nonce: u64,
    },
}

impl Message {
    /// Whether only a leader sends it.
    pub fn is_from_leader(&self) -> bool {
        matches!(self, Message::Append { .. } | Message::InstallSnapshot { .. })
    }
}

/// A round of a leader's broadcasts that was answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoundAck {
    /// Drawn by the replica that answered when it started: what it answered before is void.
    pub start_nonce: u64,
    /// The round.
    pub round: u64,
}

/// The entry before the first one sent is missing or different.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mismatch {
    /// The last index at which the logs may still be equal.
    pub hint: Index,
}
