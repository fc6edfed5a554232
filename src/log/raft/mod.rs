//! Raft as a state machine without I/O: fed messages and time, it returns effects.
//!
//! The caller takes the effects after each input or a few of them, sends `early` and applies what is
//! committed. It makes `persist` durable, calls `saved`, and then sends `late`. Inputs go on meanwhile: what they
//! need durable is handed out after that save.

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

/// What of an election timeout is given up for clocks that run at different rates.
const CLOCK_DRIFT_DIVISOR: u32 = 10;

/// Periods of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftTiming {
    /// How often a leader sends heartbeats.
    pub heartbeat_interval: Duration,
    /// How long a replica waits for a leader before it stands; drawn between this and twice this.
    pub election_timeout: Duration,
}

/// What a replica finds on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The vote.
    pub vote: Vote,
    /// The snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// Whether synced bytes were lost, so that what this replica acknowledged may be missing.
    pub has_lost_data: bool,
}

/// Names a read that waits for confirmation.
pub type ReadId = u64;

/// What the caller must do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Messages that may leave before `persist` is durable.
    pub immediate_messages: Vec<(NodeId, Message)>,
    /// What must be durable first.
    pub persist: Persist,
    /// Messages that may leave only then.
    pub messages_after_persist: Vec<(NodeId, Message)>,
    /// A snapshot that replaces the state machine's state.
    pub restore: Option<Snapshot>,
    /// Entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once the entry at the index is applied.
    pub reads: Vec<(ReadId, Index)>,
}

impl Effects {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Effects::default()
    }
}

/// This replica does not lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// Who does, as far as is known.
    pub leader: Option<NodeId>,
}

/// One replica.
#[derive(Clone, Debug)]
pub struct Raft {
    id: NodeId,
    timing: RaftTiming,
    random: SmallRng,
    /// Durable before any late message that depends on it leaves. The term never falls.
    vote: Vote,
    log: Entries,
    /// The replicas by the last `Members` entry in the log, committed or not.
    members: Members,
    role: Role,
    leader: Option<NodeId>,
    /// When a leader was heard last; `None` while none counts on this replica. Starts at the start where
    /// one may, so that a replica that forgot what it heard does not vote too early.
    last_leader_contact: Option<BootTime>,
    restart: Restart,
    /// Whether this process has led.
    has_led: bool,
    /// When this replica last had all that its leader had committed by then.
    caught_up_at: Option<BootTime>,
    round_times: RoundTimes,
    election_deadline: BootTime,
    /// Never falls, and never passes the last index.
    commit: Index,
    /// Entries up to here were handed out. Never passes `commit`.
    applied: Index,
    /// Entries up to here are durable here, and the same as the log's.
    persisted: Index,
    /// The save that is under way.
    save: Option<Save>,
    /// The vote that is durable here.
    durable_vote: Vote,
    /// How long the last save took.
    last_save_duration: Duration,
    /// Set while this replica waits for what comes of a vote that it gave, its own candidacy included.
    awaits_vote_outcome: bool,
    /// Candidacies without a winner since a leader was heard.
    failed_elections: u32,
    /// Set while synced bytes are known to be lost: no vote until caught up.
    recovering: Option<Recovering>,
    /// Set for good once the disk has failed.
    stopped: bool,
    effects: Effects,
}

#[derive(Clone, Copy, Debug)]
struct Recovering {
    /// The leader's last index at the first contact.
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
    /// The entry written on election; once it is committed, so is all before it.
    noop_index: Index,
    progress: BTreeMap<NodeId, Progress>,
    heartbeat_at: BootTime,
    round: u64,
    /// Rounds that no quorum has answered yet, with the time they were sent.
    rounds: VecDeque<(u64, BootTime)>,
    /// When the last round that a quorum answered was sent.
    confirmed_at: BootTime,
    reads: Vec<PendingRead>,
    next_read_id: ReadId,
    /// Whether entries or reads wait for a broadcast.
    broadcast_due: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    id: ReadId,
    index: Index,
    /// The round that confirms it; `None` until it is sent.
    round: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    next_index: Index,
    match_index: Index,
    acked_round: u64,
    /// The last answer that was read.
    round_ack: Option<RoundAck>,
    snapshot_sent_at: Option<BootTime>,
}

/// What operators see of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaftStatus {
    /// Its term.
    pub term: Term,
    /// Whether it leads.
    pub is_leader: bool,
    /// Who leads, as far as is known.
    pub leader: Option<NodeId>,
    /// The commit index.
    pub commit: Index,
    /// The last index.
    pub last: Index,
    /// The replicas.
    pub members: Members,
    /// Whether it withholds votes until it has caught up.
    pub recovering: bool,
    /// Whether its disk has failed.
    pub stopped: bool,
}

impl Raft {
    /// A replica as it starts. `members` counts only while nothing was ever written.
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

    /// Lets time pass.
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

    /// Takes a message.
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

    /// Appends a command. It is decided once its index is committed in the returned term.
    ///
    /// # Errors
    /// If this replica does not lead.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), NotLeader> {
        let payload = Payload::Command(Arc::new(command));
        self.append_as_leader(payload)
    }

    /// Starts a read of the newest state; `Effects::reads` tells when it may be answered.
    ///
    /// # Errors
    /// If this replica does not lead, or has committed nothing in its term yet.
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

    /// Takes everything that must be done now. While a save is under way nothing is to be saved, and
    /// nothing sent late.
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

    /// Records that the disk has failed: this replica votes and acknowledges no more.
    pub fn disk_failed(&mut self) {
        self.stopped = true;
        self.save = None;
        self.role = Role::Follower;
        self.leader = None;
        self.effects = Effects::default();
    }

    /// Replaces the entries up to `index`, which must be applied, by the state at it.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        if index > self.applied || index <= self.log.snapshot_index() {
            return;
        }
        self.effects.persist.snapshot = self.log.compact(index, data).cloned();
        // Entries that wait for the save before are in the snapshot.
        self.effects.persist.append.retain(|entry| entry.index > index);
    }

    /// Whether this replica surely leads at `now`: nobody else can have been elected yet.
    pub fn holds_leader_lease(&self, now: BootTime) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let safe =
            self.timing.election_timeout - self.timing.election_timeout / CLOCK_DRIFT_DIVISOR;
        self.commit >= leader.noop_index && now < leader.confirmed_at + safe
    }

    /// When this replica last had all that was committed: a later read here may be older.
    pub fn caught_up_at(&self, now: BootTime) -> Option<BootTime> {
        match &self.role {
            Role::Leader(_) => self.holds_leader_lease(now).then_some(now),
            _ => self.caught_up_at,
        }
    }

    /// The last index that was handed out to be applied.
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

    /// Index of the last snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot_index()
    }

    /// The term.
    pub fn term(&self) -> Term {
        self.vote.term
    }

    /// What operators see.
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

    /// Becomes a follower in `term`, of `leader` if one is known.
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
