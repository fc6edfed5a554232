//! Raft as a state machine without I/O: its inputs are messages and time, its outputs are effects.
//!
//! After one or more inputs the caller takes the effects. It sends `immediate_messages` and applies `committed` at
//! once. It makes `persist` durable, calls `saved`, and then sends `messages_after_persist`. Inputs may continue
//! during a save; the changes that they need to persist are returned after it.

mod change;
mod election;
mod entries;
mod replication;
mod restart;
mod round_times;
mod save;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::types::{
    Entry, Index, Members, Message, Payload, Persist, RoundAck, Snapshot, Term, Vote,
};
use crate::clock::BootTime;
use crate::ids::NodeId;
pub use change::{Change, ChangeError};
use entries::Entries;
use restart::Restart;
use round_times::RoundTimes;
use save::Save;

/// The leader lease is shorter than the election timeout by one part in this many, because the clocks of the
/// replicas may run at different rates.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// Payload bytes of applied entries after which the log is compacted, however few entries they are. Also the
/// most that a replica is sent in place of a small snapshot: a few hundredths of a second between replicas.
const MIN_COMPACTION_BYTES: usize = 2 << 20;
/// The log is compacted once its applied entries take this many times the bytes of the snapshot: the disk holds
/// at most four times the state while a snapshot is replaced, and each byte of a command is written twice.
const SNAPSHOTS_PER_LOG: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftTiming {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum time without contact to a leader after which a replica starts an election. The actual time is
    /// random, between this and twice this.
    pub election_timeout: Duration,
}

/// The state that a replica reads from its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The election state.
    pub vote: Vote,
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Whether synced data was lost, so that entries which this replica acknowledged may be missing.
    pub has_lost_data: bool,
}

/// Identifies a linearizable read.
pub type ReadId = u64;

/// What the caller must do, in the order described at the top of this module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Messages that may be sent before `persist` is durable.
    pub immediate_messages: Vec<(NodeId, Message)>,
    /// Changes to write to disk.
    pub persist: Persist,
    /// Messages that may be sent only once `persist` is durable.
    pub messages_after_persist: Vec<(NodeId, Message)>,
    /// A snapshot to replace the state machine's state with.
    pub restore: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Confirmed reads. Each may be answered once the entry at its index is applied.
    pub reads: Vec<(ReadId, Index)>,
}

impl Effects {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Effects::default()
    }
}

/// This replica is not the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The current leader, if known.
    pub leader: Option<NodeId>,
}

/// The Raft state machine of one replica.
#[derive(Clone, Debug)]
pub struct Raft {
    id: NodeId,
    timing: RaftTiming,
    random: SmallRng,
    /// The newest election state, which may not be durable yet. The term never decreases.
    vote: Vote,
    log: Entries,
    /// The set of replicas according to the last `Members` entry in the log, committed or not.
    members: Members,
    role: Role,
    leader: Option<NodeId>,
    /// When a leader last contacted this replica; `None` if no leader can hold a lease that rests on this replica.
    /// Initially the start time if a leader may hold such a lease, because contacts are not kept on disk.
    last_leader_contact: Option<BootTime>,
    restart: Restart,
    /// Whether this process has ever been the leader.
    has_led: bool,
    /// Latest time as of which this replica is known to have all entries that were committed by then.
    caught_up_at: Option<BootTime>,
    round_times: RoundTimes,
    election_deadline: BootTime,
    /// Never decreases, and never exceeds the last index.
    commit: Index,
    /// The last index that was returned in `Effects::committed`. Never exceeds `commit`.
    applied: Index,
    /// Entries up to this index are durable on this replica's disk and unchanged in `log` since.
    persisted: Index,
    /// The save that is running.
    save: Option<Save>,
    /// The election state that is on disk.
    durable_vote: Vote,
    last_save_duration: Duration,
    /// Whether this replica has voted, for itself or another candidate, and does not know the outcome yet.
    awaits_vote_outcome: bool,
    /// Elections that this replica has started, all without a winner, since it last led or heard from a leader.
    failed_elections: u32,
    /// Set after a loss of synced data: the replica does not vote until it has caught up.
    recovering: Option<Recovering>,
    /// Whether the disk has failed. Never reset.
    stopped: bool,
    effects: Effects,
}

/// The state of a replica that catches up after a loss of synced data.
#[derive(Clone, Copy, Debug)]
struct Recovering {
    /// The leader's last index at the first contact: the replica has caught up once it is durable here.
    target_index: Option<Index>,
}

#[derive(Clone, Debug)]
enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<NodeId> },
    Candidate { granted: BTreeSet<NodeId> },
    Leader(Leader),
}

#[derive(Clone, Debug)]
struct Leader {
    /// The index of the no-op entry appended on election. Once it is committed, so are all earlier entries.
    noop_index: Index,
    progress: BTreeMap<NodeId, Progress>,
    heartbeat_at: BootTime,
    round: u64,
    /// Rounds that no quorum has acknowledged yet, with the times at which they were sent.
    rounds: VecDeque<(u64, BootTime)>,
    /// When the last round that a quorum acknowledged was sent.
    confirmed_at: BootTime,
    reads: Vec<PendingRead>,
    next_read_id: ReadId,
    /// Whether entries or reads are waiting for the next broadcast.
    broadcast_due: bool,
}

/// A read that waits until a quorum has confirmed the leadership.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    id: ReadId,
    /// The commit index when the read was requested.
    index: Index,
    /// The round whose acknowledgement confirms the read; `None` until the next broadcast.
    round: Option<u64>,
}

/// A leader's view of another replica.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The next index to send.
    next_index: Index,
    /// The last index that is known to be durable on the replica and to match the leader's log.
    match_index: Index,
    acked_round: u64,
    /// The newest acknowledgement received.
    round_ack: Option<RoundAck>,
    snapshot_sent_at: Option<BootTime>,
}

/// The status of a replica, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaftStatus {
    pub term: Term,
    /// Whether it is the leader.
    pub is_leader: bool,
    /// The current leader, if known.
    pub leader: Option<NodeId>,
    pub commit: Index,
    /// The index of the last entry.
    pub last: Index,
    pub members: Members,
    /// Whether it does not vote because it is catching up after a loss of data.
    pub recovering: bool,
    /// Whether its disk has failed.
    pub stopped: bool,
}

impl Raft {
    /// Creates the state machine of a replica that is starting. `members` is used only if neither the snapshot
    /// nor the log specifies the set of replicas.
    pub fn new(
        id: NodeId,
        members: Members,
        timing: RaftTiming,
        recovered: Recovered,
        seed: u64,
        now: BootTime,
    ) -> Raft {
        let mut random = SmallRng::seed_from_u64(seed);
        let restart = Restart::new(id, &recovered, &mut random, now + timing.election_timeout);
        let recovering = recovered.has_lost_data.then_some(Recovering { target_index: None });
        let snapshot_index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let restore = recovered.snapshot.clone();
        let log = Entries::new(recovered.snapshot, recovered.entries, members);
        let mut raft = Raft {
            id,
            timing,
            random,
            vote: recovered.vote,
            members: log.members(),
            role: Role::Follower,
            leader: None,
            last_leader_contact: restart.initial_leader_contact(now),
            restart,
            has_led: false,
            caught_up_at: None,
            round_times: RoundTimes::default(),
            election_deadline: now,
            commit: snapshot_index,
            applied: snapshot_index,
            persisted: log.last_index(),
            save: None,
            durable_vote: recovered.vote,
            last_save_duration: Duration::ZERO,
            awaits_vote_outcome: false,
            failed_elections: 0,
            log,
            recovering,
            stopped: false,
            effects: Effects { restore, ..Effects::default() },
        };
        raft.reset_election_deadline(now);
        if raft.restart.may_campaign_early(now) {
            raft.election_deadline = now;
        }
        raft
    }

    /// Advances time: sends heartbeats and starts elections that are due.
    pub fn tick(&mut self, now: BootTime) {
        if self.stopped {
            return;
        }
        if let Some((leader, nonce)) = self.restart.next_lease_query(now) {
            self.effects.immediate_messages.push((leader, Message::LeaseQuery { nonce }));
        }
        match &self.role {
            Role::Leader(leader) => {
                if now >= leader.confirmed_at + self.timing.election_timeout * 2 {
                    self.become_follower(self.vote.term, None, now);
                } else if now >= leader.heartbeat_at {
                    self.broadcast(now);
                }
            }
            _ if now >= self.election_deadline && self.may_campaign() && self.is_vote_durable() => {
                self.start_pre_vote(now);
            }
            _ => {}
        }
    }

    /// Processes a message from another replica.
    pub fn receive(&mut self, from: NodeId, message: Message, now: BootTime) {
        if self.stopped {
            return;
        }
        match message {
            Message::PreVote { term, last_index, last_term } => {
                self.on_pre_vote(from, term, (last_term, last_index), now);
            }
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(from, term, granted, now);
            }
            Message::RequestVote { term, last_index, last_term } => {
                self.on_request_vote(from, term, (last_term, last_index), now);
            }
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted, now),
            Message::LeaseQuery { nonce } => self.on_lease_query(from, nonce),
            Message::NoLease { nonce } => self.on_no_lease(from, nonce),
            Message::Append { .. } => self.on_append(from, message, now),
            Message::AppendReply { term, result, round_ack } => {
                self.on_append_reply(from, term, result, round_ack, now);
            }
            Message::InstallSnapshot { term, snapshot, last_index, round } => {
                self.on_snapshot(from, term, snapshot, last_index, round, now);
            }
        }
    }

    /// Appends a command. It is committed once the entry at the returned index is committed with the returned term.
    ///
    /// # Errors
    /// If this replica is not the leader.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), NotLeader> {
        let payload = Payload::Command(Arc::new(command));
        self.append_as_leader(payload)
    }

    /// Starts a linearizable read. `Effects::reads` contains it once it may be answered.
    ///
    /// # Errors
    /// If this replica is not the leader, or has not committed an entry of its term yet.
    pub fn read(&mut self) -> Result<ReadId, NotLeader> {
        let not_leader = NotLeader { leader: self.leader };
        let commit = self.commit;
        let Role::Leader(leader) = &mut self.role else { return Err(not_leader) };
        if commit < leader.noop_index {
            return Err(not_leader);
        }
        let id = leader.next_read_id;
        leader.next_read_id += 1;
        leader.reads.push(PendingRead { id, index: commit, round: None });
        leader.broadcast_due = true;
        Ok(id)
    }

    /// Takes the pending effects. While a save is running, `persist` and `messages_after_persist` are empty.
    pub fn take_effects(&mut self, now: BootTime) -> Effects {
        if let Role::Leader(leader) = &self.role
            && leader.broadcast_due
        {
            self.broadcast(now);
        }
        self.emit_committed();
        let mut effects = std::mem::take(&mut self.effects);
        if self.save.is_some() {
            self.effects.persist = std::mem::take(&mut effects.persist);
            self.effects.messages_after_persist =
                std::mem::take(&mut effects.messages_after_persist);
        } else if !effects.persist.is_empty() {
            self.begin_save(now);
        }
        effects
    }

    /// Records that the disk has failed: this replica no longer votes or acknowledges entries.
    pub fn disk_failed(&mut self) {
        self.stopped = true;
        self.save = None;
        self.role = Role::Follower;
        self.leader = None;
        self.effects = Effects::default();
    }

    /// Replaces the entries up to `index`, which must be applied, by a snapshot of the state at that index.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        if index > self.applied || index <= self.log.snapshot_index() {
            return;
        }
        self.effects.persist.snapshot = self.log.compact(index, data).cloned();
        // Unsaved entries up to the index are part of the snapshot.
        self.effects.persist.append.retain(|entry| entry.index > index);
    }

    /// Whether the applied entries are to be replaced by a snapshot: they are at least `max_entries`, or take more
    /// bytes than a snapshot is worth.
    pub fn needs_compaction(&self, max_entries: Index) -> bool {
        let first = self.log.snapshot_index() + 1;
        let snapshot_bytes = self.log.snapshot().map_or(0, |snapshot| snapshot.data.len());
        let max_bytes = MIN_COMPACTION_BYTES.max(snapshot_bytes * SNAPSHOTS_PER_LOG);
        self.applied + 1 >= first + max_entries
            || self.log.bytes_between(first, self.applied) >= max_bytes
    }

    /// The most that the log and its snapshot take on disk once a command of `added_bytes` is part of both: while a
    /// snapshot and the rest of the log are replaced, the old and the new files exist.
    pub fn peak_disk_bytes(&self, added_bytes: usize) -> usize {
        let snapshot_bytes = self.log.snapshot().map_or(0, |snapshot| snapshot.data.len());
        let log_bytes = self.log.bytes_between(0, self.log.last_index());
        // The next snapshot may grow by each entry, and uncommitted entries are copied to the new log.
        2 * (snapshot_bytes + log_bytes) + self.uncommitted_bytes() + 3 * added_bytes
    }

    /// Payload bytes of the entries that are not committed yet. They are held in memory and can't be compacted.
    pub fn uncommitted_bytes(&self) -> usize {
        self.log.bytes_between(self.commit + 1, self.log.last_index())
    }

    /// Whether this replica holds the leader lease at `now`: no other replica can have been elected yet.
    pub fn holds_leader_lease(&self, now: BootTime) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let safe =
            self.timing.election_timeout - self.timing.election_timeout / CLOCK_DRIFT_DIVISOR;
        self.commit >= leader.noop_index && now < leader.confirmed_at + safe
    }

    /// The latest time as of which this replica is known to have all entries that were committed by then;
    /// `None` if there is none.
    pub fn caught_up_at(&self, now: BootTime) -> Option<BootTime> {
        match &self.role {
            Role::Leader(_) => self.holds_leader_lease(now).then_some(now),
            _ => self.caught_up_at,
        }
    }

    /// The last index that was returned in `Effects::committed` or restored from a snapshot.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The last index in the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// All entries after the snapshot.
    pub fn entries_after_snapshot(&self) -> Vec<Entry> {
        self.log.range(self.log.snapshot_index() + 1, self.log.last_index())
    }

    /// The index of the last snapshot; 0 if there is none.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_index()
    }

    pub fn term(&self) -> Term {
        self.vote.term
    }

    /// The status, for operators.
    pub fn status(&self) -> RaftStatus {
        RaftStatus {
            term: self.vote.term,
            is_leader: matches!(self.role, Role::Leader(_)),
            leader: self.leader,
            commit: self.commit,
            last: self.log.last_index(),
            members: self.members.clone(),
            recovering: self.recovering.is_some(),
            stopped: self.stopped,
        }
    }

    /// Appends an entry if this replica is the leader.
    fn append_as_leader(&mut self, payload: Payload) -> Result<(Term, Index), NotLeader> {
        let not_leader = NotLeader { leader: self.leader };
        let term = self.vote.term;
        let index = self.log.last_index() + 1;
        let Role::Leader(leader) = &mut self.role else { return Err(not_leader) };
        leader.broadcast_due = true;
        if let Payload::Members(members) = &payload {
            self.members = members.clone();
        }
        let entry = Entry { index, term, payload };
        self.effects.persist.append.push(entry.clone());
        self.log.append(entry);
        Ok((term, index))
    }

    fn emit_committed(&mut self) {
        let from = self.applied.max(self.log.snapshot_index()) + 1;
        if from > self.commit {
            return;
        }
        self.effects.committed.extend(self.log.range(from, self.commit));
        self.applied = self.commit;
    }

    fn reset_election_deadline(&mut self, now: BootTime) {
        let spread: f64 = self.random.random();
        self.election_deadline =
            now + self.timing.election_timeout + self.timing.election_timeout.mul_f64(spread);
    }

    /// Becomes a follower in `term`, of `leader` if it is known.
    fn become_follower(&mut self, term: Term, leader: Option<NodeId>, now: BootTime) {
        if term > self.vote.term {
            self.vote = Vote { term, voted_for: None, ..self.vote };
            self.round_times = RoundTimes::default();
            self.effects.persist.vote = Some(self.vote);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.awaits_vote_outcome = false;
        self.reset_election_deadline(now);
    }
}
