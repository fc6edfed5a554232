//! The actor that runs one replica of the log and its replicated state.
//!
//! Inputs that are waiting in the mailbox are processed as a batch, which shares one disk sync.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot, watch};
use xtra::prelude::*;

use crate::clock::{BootTime, boot_now, unix_ms};
use crate::config::Update;
use crate::ids::{ConfigNumber, NodeId};
use crate::lease::LeaseGrantor;
use crate::log::disk::Disk;
use crate::log::driver::{Driver, Output};
use crate::log::raft::{Change, ChangeError, NotLeader, Raft, RaftStatus, ReadId};
use crate::log::state::{Command, PatchAnswer, Reply, State};
use crate::log::{Index, Message, Payload, Term};
use crate::node::freshness::LeaseGrant;
use crate::peer::Links;
use crate::telemetry::metrics::NodeMetrics;

/// Maximum number of inputs in a batch.
const MAX_BATCHED_INPUTS: usize = 256;
/// Number of applied entries after which the log is compacted into a snapshot.
const SNAPSHOT_INTERVAL: Index = 4_096;

#[derive(xtra::Actor)]
pub struct Replica {
    driver: Driver,
    state: State,
    links: Arc<Links>,
    metrics: Arc<NodeMetrics>,
    lease_duration: Duration,
    /// Freshness leases granted in `grantor_term`; `None` until this replica first leads.
    grantor: Option<LeaseGrantor>,
    grantor_term: Term,
    pending_proposals: BTreeMap<Index, (Term, ProposalWaiter)>,
    pending_reads: BTreeMap<ReadId, ReadWaiter>,
    /// Requests for leases that wait for the first commit of this replica's term as the leader.
    early_grants: Vec<GrantLease>,
    /// Accepted configuration numbers that are not yet in force on all nodes, with the times when
    /// they were accepted.
    awaiting_in_force: BTreeMap<ConfigNumber, BootTime>,
    in_force: ConfigNumber,
    batched_inputs: usize,
    status: watch::Sender<ReplicaStatus>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaStatus {
    pub raft: RaftStatus,
    /// The newest configuration number that is applied here.
    pub number: ConfigNumber,
    /// The newest configuration number that is known to be in force on all nodes. Only the leader
    /// updates it.
    pub in_force: ConfigNumber,
    /// Number of claims in the replicated state.
    pub claims: usize,
}

/// Why a proposal or read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaError {
    /// This replica is not the leader. Contains the leader, if known.
    NotLeader(Option<NodeId>),
    /// Leadership was lost; the proposal may or may not be committed.
    OutcomeUnknown,
}

type ProposalSender = oneshot::Sender<Result<Reply, ReplicaError>>;

enum ProposalWaiter {
    Command(ProposalSender),
    Change(oneshot::Sender<Result<(), ChangeError>>),
}

/// What waits until a quorum has confirmed that this replica leads.
enum ReadWaiter {
    Config(ReadConfig),
    Grant(GrantLease),
}

/// A message from another replica.
pub struct PeerMessage(pub NodeId, pub Message);

/// Proposes a command. The sender gets the reply once the command is applied.
pub struct Propose(pub Command, pub ProposalSender);

/// Performs a linearizable read of the configuration, as an update from this number.
pub struct ReadConfig(pub ConfigNumber, pub oneshot::Sender<Result<Update, ReplicaError>>);

/// Changes the members of the log.
pub struct ChangeReplicas(pub Change, pub oneshot::Sender<Result<(), ChangeError>>);

/// Grants a freshness lease to `child`.
pub struct GrantLease {
    pub child: NodeId,
    /// The configuration number of the child.
    pub known_number: ConfigNumber,
    /// The number that the child and all nodes with leases from it have applied.
    pub acked: ConfigNumber,
    /// Gets the grant, or the leader, if known.
    pub sender: oneshot::Sender<Result<LeaseGrant, Option<NodeId>>>,
}

/// Returns the term of this replica if it holds the leader lease.
pub struct LeadingTerm;

/// Advances time.
pub struct Tick;

/// A save has completed. Sent after each notification by `Replica::save_ended`.
pub struct SaveEnded;

impl Replica {
    /// Creates the actor without starting it. The receiver gets updates of its status.
    pub fn new(
        raft: Raft,
        disk: Disk,
        state: State,
        links: Arc<Links>,
        metrics: Arc<NodeMetrics>,
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
            early_grants: Vec::new(),
            awaiting_in_force: BTreeMap::new(),
            in_force: 0,
            batched_inputs: 0,
            status: sender,
        };
        (replica, receiver)
    }

    /// Notified when a save has completed; send `SaveEnded` then.
    pub fn save_ended(&self) -> Arc<Notify> {
        self.driver.save_ended()
    }

    /// Processes the effects of all inputs since the last call, unless more inputs are waiting that
    /// can share the sync.
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
                self.pending_proposals.retain(|proposal, _| *proposal > index);
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
                // All entries committed before the read have been applied by earlier outputs.
                match self.pending_reads.remove(&read) {
                    Some(ReadWaiter::Config(ReadConfig(known_number, sender))) => {
                        let update = self.state.history().update_since(known_number);
                        // Fails only if the receiver has been dropped.
                        let _ = sender.send(Ok(update));
                    }
                    Some(ReadWaiter::Grant(grant)) => self.grant_lease(grant, boot_now()),
                    None => {}
                }
            }
        }
    }

    /// Drops the grantor and all waiters after a disk failure; the receivers of the waiters fail.
    fn stop_serving(&mut self) {
        self.grantor = None;
        self.pending_proposals.clear();
        self.pending_reads.clear();
        self.early_grants.clear();
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
                // Fails only if the receiver has been dropped.
                let _ = sender.send(result);
            }
        }
    }

    /// Grants a lease once this replica is confirmed as the leader, or rejects it.
    fn request_grant(&mut self, grant: GrantLease, now: BootTime) {
        if self.driver.raft.holds_leader_lease(now) {
            self.grant_lease(grant, now);
            return;
        }
        // The leader lease expires when heartbeats are slow, well before leadership is lost.
        match self.driver.raft.read() {
            Ok(id) => drop(self.pending_reads.insert(id, ReadWaiter::Grant(grant))),
            Err(_) if self.driver.raft.status().is_leader => self.early_grants.push(grant),
            Err(NotLeader { leader }) => drop(grant.sender.send(Err(leader))),
        }
    }

    /// Grants a lease. Requires that this replica has been confirmed as the leader since the request.
    fn grant_lease(&mut self, grant: GrantLease, now: BootTime) {
        let GrantLease { child, known_number, acked, sender } = grant;
        let (number, lease_duration) = (self.state.config().number, self.lease_duration);
        let update = self.state.history().update_since(known_number);
        let duration = self.grantor(now).grant(child, acked, lease_duration, now);
        // Fails only if the receiver has been dropped.
        let _ = sender.send(Ok((duration, number, update)));
    }

    /// The grantor of the current term.
    fn grantor(&mut self, now: BootTime) -> &mut LeaseGrantor {
        let term = self.driver.raft.term();
        if self.grantor_term != term {
            self.grantor = None;
            self.grantor_term = term;
        }
        self.grantor.get_or_insert_with(|| LeaseGrantor::new(self.lease_duration, now))
    }

    fn update_in_force(&mut self, now: BootTime) {
        let number = self.state.config().number;
        if !self.driver.raft.holds_leader_lease(now) {
            return;
        }
        let min_acked = self.grantor(now).min_acked(number, now);
        self.in_force = self.in_force.max(min_acked);
        while let Some((number, accepted_at)) = self.awaiting_in_force.first_key_value()
            && *number <= min_acked
        {
            let elapsed = now.saturating_sub(*accepted_at);
            log::info!("event=config_in_force number={number} took_ms={}", elapsed.as_millis());
            self.metrics.in_force_s.record(elapsed.as_secs_f64(), &[]);
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
        for grant in std::mem::take(&mut self.early_grants) {
            if !grant.sender.is_closed() {
                self.request_grant(grant, now);
            }
        }
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
        // Never fails, since postcard can serialize all types in commands.
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
        match self.driver.raft.read() {
            Ok(id) => {
                self.pending_reads.insert(id, ReadWaiter::Config(read));
            }
            Err(NotLeader { leader }) => drop(read.1.send(Err(ReplicaError::NotLeader(leader)))),
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
    type Return = ();

    async fn handle(&mut self, grant: GrantLease, context: &mut Context<Self>) {
        self.process_batch(context);
        self.request_grant(grant, boot_now());
        self.process_batch(context);
    }
}

impl Handler<LeadingTerm> for Replica {
    type Return = Option<Term>;

    async fn handle(&mut self, _leads: LeadingTerm, _context: &mut Context<Self>) -> Self::Return {
        self.driver.raft.holds_leader_lease(boot_now()).then(|| self.driver.raft.term())
    }
}

/// Sets the leader's wall-clock time in commands that have one.
fn with_timestamp(command: Command) -> Command {
    match command {
        Command::Claim { key, digest, token, .. } => {
            Command::Claim { key, digest, token, at_ms: unix_ms() }
        }
        other => other,
    }
}
