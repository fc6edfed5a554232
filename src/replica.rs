//! The actor around one replica of the log: its disk, its messages, its clients.
//!
//! Inputs that wait in the mailbox are taken together, so that one sync makes many durable.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};
use xtra::prelude::*;

use crate::clock::{BootTime, boot_now, unix_ms};
use crate::config::Update;
use crate::ids::{ConfigNumber, NodeId};
use crate::lease::Grantor;
use crate::log::disk::Disk;
use crate::log::driver::{Driver, Output};
use crate::log::raft::{Change, ChangeError, NotLeader, Raft, RaftStatus, ReadId};
use crate::log::state::{Command, PatchAnswer, Reply, State};
use crate::log::{Index, Message, Payload, Term};
use crate::peer::Links;
use crate::telemetry::metrics::Metrics;

/// Inputs taken before their effects are made durable, at the most.
const MAX_BATCHED_INPUTS: usize = 256;
/// Entries after which a snapshot replaces them.
const SNAPSHOT_INTERVAL: Index = 4_096;

/// The actor.
#[derive(xtra::Actor)]
pub struct Replica {
    driver: Driver,
    state: State,
    links: Arc<Links>,
    metrics: Arc<Metrics>,
    lease_duration: Duration,
    /// Leases granted; `None` while this replica does not surely lead.
    grantor: Option<Grantor>,
    /// The term that `grantor` is for.
    grantor_term: Term,
    pending_proposals: BTreeMap<Index, (Term, ProposalWaiter)>,
    pending_reads: BTreeMap<ReadId, ReadWaiter>,
    /// Accepted numbers that are not known to be in force everywhere, with their times.
    awaiting_in_force: BTreeMap<ConfigNumber, BootTime>,
    in_force: ConfigNumber,
    batched_inputs: usize,
    status: watch::Sender<ReplicaStatus>,
}

/// What operators see of a replica.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaStatus {
    /// Of the log.
    pub raft: RaftStatus,
    /// The newest number applied here.
    pub number: ConfigNumber,
    /// The number in force everywhere; known only to the leader.
    pub in_force: ConfigNumber,
    /// Claims held.
    pub claims: usize,
}

/// Why there was no decision here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaError {
    /// This replica does not lead; this one may.
    NotLeader(Option<NodeId>),
    /// Leadership was lost on the way: it may or may not be decided.
    OutcomeUnknown,
}

type ProposalSender = oneshot::Sender<Result<Reply, ReplicaError>>;

enum ProposalWaiter {
    Command(ProposalSender),
    Change(oneshot::Sender<Result<(), ChangeError>>),
}

struct ReadWaiter {
    known_number: ConfigNumber,
    sender: oneshot::Sender<Result<Update, ReplicaError>>,
}

/// A message from another replica.
pub struct PeerMessage(pub NodeId, pub Message);

/// Have a command decided.
pub struct Propose(pub Command, pub ProposalSender);

/// Read the configuration, confirmed by a quorum.
pub struct ReadConfig(pub ConfigNumber, pub oneshot::Sender<Result<Update, ReplicaError>>);

/// Change the replicas.
pub struct ChangeReplicas(pub Change, pub oneshot::Sender<Result<(), ChangeError>>);

/// GrantLease a freshness lease to `child`, which has number `has` and below which all have `acked`.
pub struct GrantLease {
    /// The node that asks.
    pub child: NodeId,
    /// The number that it has.
    pub known_number: ConfigNumber,
    /// The number that all below it have.
    pub acked: ConfigNumber,
}

/// Does this replica surely lead now? In which term?
pub struct LeadingTerm;

/// Time passes.
pub struct Tick;

/// A save has ended: `Replica::save_ended` has rung.
pub struct SaveEnded;

impl Replica {
    /// The actor, not started yet. The receiver shows its status.
    pub fn new(
        raft: Raft,
        disk: Disk,
        state: State,
        links: Arc<Links>,
        metrics: Arc<Metrics>,
        lease_duration: Duration,
    ) -> (Replica, watch::Receiver<ReplicaStatus>) {
        let status = ReplicaStatus { raft: raft.status(), number: 0, in_force: 0, claims: 0 };
        let (sender, receiver) = watch::channel(status);
        let replica = Replica {
            driver: Driver::new(raft, disk, SNAPSHOT_INTERVAL),
            state,
            links,
            metrics,
            lease_duration,
            grantor: None,
            grantor_term: 0,
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            awaiting_in_force: BTreeMap::new(),
            in_force: 0,
            batched_inputs: 0,
            status: sender,
        };
        (replica, receiver)
    }

    /// Rings when a save has ended: send `SaveEnded` then.
    pub fn save_ended(&self) -> Arc<Notify> {
        self.driver.save_ended()
    }

    /// Makes effects happen, unless more inputs wait that can share the sync.
    fn process_batch(&mut self, context: &mut Context<Self>) {
        self.batched_inputs += 1;
        let waiting = context.mailbox().address().try_upgrade().map_or(0, |address| address.len());
        if waiting > 0 && self.batched_inputs < MAX_BATCHED_INPUTS {
            return;
        }
        self.batched_inputs = 0;
        let links = self.links.clone();
        for output in self.driver.process_effects(|to, message| links.send(to, message)) {
            self.execute(output);
        }
        if self.driver.raft.status().stopped {
            self.stop_serving();
        }
        let state = &self.state;
        self.driver.compact(|| state.snapshot());
        self.publish_status();
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Restore(snapshot) => {
                if self.state.restore(&snapshot.data).is_err() {
                    log::error!("event=snapshot_damaged remedy=\"replace this replica\"");
                    self.driver.raft.disk_failed();
                    return;
                }
                let index = snapshot.index;
                self.pending_proposals.retain(|waiting, _| *waiting > index);
            }
            Output::Apply(entry) => {
                let reply = match &entry.payload {
                    Payload::Command(bytes) => {
                        postcard::from_bytes(bytes).ok().map(|command| self.apply(&command))
                    }
                    Payload::Noop | Payload::Members(_) => None,
                };
                self.complete_proposal(entry.index, entry.term, reply);
            }
            Output::Read(read) => {
                // All that is committed has been applied above, so the state is new enough.
                if let Some(waiter) = self.pending_reads.remove(&read) {
                    drop(
                        waiter.sender.send(Ok(self.state.book().update_since(waiter.known_number))),
                    );
                }
            }
        }
    }

    /// The disk has failed: nobody who waits gets an answer here.
    fn stop_serving(&mut self) {
        self.grantor = None;
        self.pending_proposals.clear();
        self.pending_reads.clear();
    }

    fn apply(&mut self, command: &Command) -> Reply {
        let reply = self.state.apply(command);
        if let Reply::Patch(PatchAnswer::Accepted(number)) = &reply
            && self.state.config().number == *number
        {
            log::info!("event=config_accepted number={number}");
            self.awaiting_in_force.insert(*number, boot_now());
        }
        reply
    }

    fn complete_proposal(&mut self, index: Index, term: Term, reply: Option<Reply>) {
        let Some((expected, waiter)) = self.pending_proposals.remove(&index) else { return };
        match waiter {
            ProposalWaiter::Command(sender) => {
                let result = reply.filter(|_| expected == term).ok_or(ReplicaError::OutcomeUnknown);
                drop(sender.send(result));
            }
            ProposalWaiter::Change(sender) => {
                let result = if expected == term { Ok(()) } else { Err(ChangeError::InProgress) };
                // The asker may have given up waiting.
                let _ = sender.send(result);
            }
        }
    }

    /// The grantor, if this replica surely leads at `now`.
    fn grantor_if_leader(&mut self, now: BootTime) -> Option<&mut Grantor> {
        if !self.driver.raft.holds_leader_lease(now) {
            return None;
        }
        if self.grantor.is_none() || self.grantor_term != self.driver.raft.term() {
            self.grantor = Some(Grantor::new(self.lease_duration, now));
            self.grantor_term = self.driver.raft.term();
        }
        self.grantor.as_mut()
    }

    fn update_in_force(&mut self, now: BootTime) {
        let number = self.state.config().number;
        let Some(grantor) = self.grantor_if_leader(now) else { return };
        let min_acked = grantor.floor(number, now);
        self.in_force = self.in_force.max(min_acked);
        while let Some((number, accepted_at)) = self.awaiting_in_force.first_key_value()
            && *number <= min_acked
        {
            let took = now.saturating_sub(*accepted_at);
            log::info!("event=config_in_force number={number} took_ms={}", took.as_millis());
            self.metrics.in_force_s.record(took.as_secs_f64(), &[]);
            self.awaiting_in_force.pop_first();
        }
    }

    fn publish_status(&mut self) {
        let status = ReplicaStatus {
            raft: self.driver.raft.status(),
            number: self.state.config().number,
            in_force: self.in_force,
            claims: self.state.claims().len(),
        };
        let previous = self.status.borrow().raft.clone();
        if previous.is_leader != status.raft.is_leader || previous.leader != status.raft.leader {
            log::info!(
                "event=leader_changed term={} leader={} here={}",
                status.raft.term,
                status.raft.leader.unwrap_or(0),
                status.raft.is_leader,
            );
        }
        self.status.send_replace(status);
    }
}

impl Handler<PeerMessage> for Replica {
    type Return = ();

    async fn handle(&mut self, message: PeerMessage, context: &mut Context<Self>) {
        self.driver.raft.receive(message.0, message.1, boot_now());
        self.process_batch(context);
    }
}

impl Handler<Tick> for Replica {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        let now = boot_now();
        self.driver.raft.tick(now);
        self.update_in_force(now);
        if !self.driver.raft.status().is_leader {
            self.pending_reads.clear();
        }
        self.process_batch(context);
    }
}

impl Handler<SaveEnded> for Replica {
    type Return = ();

    async fn handle(&mut self, _ended: SaveEnded, context: &mut Context<Self>) {
        self.process_batch(context);
    }
}

impl Handler<Propose> for Replica {
    type Return = ();

    async fn handle(&mut self, propose: Propose, context: &mut Context<Self>) {
        let Propose(command, sender) = propose;
        let command = with_timestamp(command);
        // Cannot fail: commands hold only types that the codec writes.
        let bytes = postcard::to_stdvec(&command).unwrap_or_default();
        match self.driver.raft.propose(bytes) {
            Ok((term, index)) => {
                self.pending_proposals.insert(index, (term, ProposalWaiter::Command(sender)));
            }
            Err(NotLeader { leader }) => drop(sender.send(Err(ReplicaError::NotLeader(leader)))),
        }
        self.process_batch(context);
    }
}

impl Handler<ReadConfig> for Replica {
    type Return = ();

    async fn handle(&mut self, read: ReadConfig, context: &mut Context<Self>) {
        let ReadConfig(known_number, sender) = read;
        match self.driver.raft.read() {
            Ok(id) => {
                self.pending_reads.insert(id, ReadWaiter { known_number, sender });
            }
            Err(NotLeader { leader }) => drop(sender.send(Err(ReplicaError::NotLeader(leader)))),
        }
        self.process_batch(context);
    }
}

impl Handler<ChangeReplicas> for Replica {
    type Return = ();

    async fn handle(&mut self, change: ChangeReplicas, context: &mut Context<Self>) {
        let ChangeReplicas(change, sender) = change;
        match self.driver.raft.propose_change(change) {
            Ok((term, index)) => {
                self.pending_proposals.insert(index, (term, ProposalWaiter::Change(sender)));
            }
            Err(error) => drop(sender.send(Err(error))),
        }
        self.process_batch(context);
    }
}

impl Handler<GrantLease> for Replica {
    type Return = Result<(Duration, ConfigNumber, Update), Option<NodeId>>;

    async fn handle(&mut self, grant: GrantLease, context: &mut Context<Self>) -> Self::Return {
        self.process_batch(context);
        let now = boot_now();
        let leader = self.driver.raft.status().leader;
        let number = self.state.config().number;
        let update = self.state.book().update_since(grant.known_number);
        let lease_duration = self.lease_duration;
        let Some(grantor) = self.grantor_if_leader(now) else { return Err(leader) };
        Ok((grantor.grant(grant.child, grant.acked, lease_duration, now), number, update))
    }
}

impl Handler<LeadingTerm> for Replica {
    type Return = Option<Term>;

    async fn handle(&mut self, _leads: LeadingTerm, _context: &mut Context<Self>) -> Self::Return {
        self.driver.raft.holds_leader_lease(boot_now()).then(|| self.driver.raft.term())
    }
}

/// Sets the leader's time where a command needs one.
fn with_timestamp(command: Command) -> Command {
    match command {
        Command::Claim { key, digest, token, .. } => {
            Command::Claim { key, digest, token, at_ms: unix_ms() }
        }
        other => other,
    }
}
