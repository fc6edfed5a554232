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
const BATCH: usize = 256;
/// Entries after which a snapshot replaces them.
const SNAPSHOT_EVERY: Index = 4_096;

/// The actor.
#[derive(xtra::Actor)]
pub struct Replica {
    driver: Driver,
    state: State,
    links: Arc<Links>,
    metrics: Arc<Metrics>,
    lease: Duration,
    /// Leases granted; `None` while this replica does not surely lead.
    grantor: Option<Grantor>,
    /// The term that `grantor` is for.
    grantor_term: Term,
    decisions: BTreeMap<Index, (Term, Waiter)>,
    reads: BTreeMap<ReadId, ReadWaiter>,
    /// Accepted numbers that are not known to be in force everywhere, with their times.
    not_in_force: BTreeMap<ConfigNumber, BootTime>,
    in_force: ConfigNumber,
    batched: usize,
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
pub enum Undecided {
    /// This replica does not lead; this one may.
    NotLeader(Option<NodeId>),
    /// Leadership was lost on the way: it may or may not be decided.
    Unknown,
}

type DecisionSender = oneshot::Sender<Result<Reply, Undecided>>;

enum Waiter {
    Command(DecisionSender),
    Change(oneshot::Sender<Result<(), ChangeError>>),
}

struct ReadWaiter {
    has: ConfigNumber,
    sender: oneshot::Sender<Result<Update, Undecided>>,
}

/// A message from another replica.
pub struct FromPeer(pub NodeId, pub Message);

/// Have a command decided.
pub struct Propose(pub Command, pub DecisionSender);

/// Read the configuration, confirmed by a quorum.
pub struct ReadConfig(pub ConfigNumber, pub oneshot::Sender<Result<Update, Undecided>>);

/// Change the replicas.
pub struct ChangeReplicas(pub Change, pub oneshot::Sender<Result<(), ChangeError>>);

/// Grant a freshness lease to `child`, which has number `has` and below which all have `acked`.
pub struct Grant {
    /// The node that asks.
    pub child: NodeId,
    /// The number that it has.
    pub has: ConfigNumber,
    /// The number that all below it have.
    pub acked: ConfigNumber,
}

/// Does this replica surely lead now? In which term?
pub struct Leads;

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
        lease: Duration,
    ) -> (Replica, watch::Receiver<ReplicaStatus>) {
        let status = ReplicaStatus { raft: raft.status(), number: 0, in_force: 0, claims: 0 };
        let (sender, receiver) = watch::channel(status);
        let replica = Replica {
            driver: Driver::new(raft, disk, SNAPSHOT_EVERY),
            state,
            links,
            metrics,
            lease,
            grantor: None,
            grantor_term: 0,
            decisions: BTreeMap::new(),
            reads: BTreeMap::new(),
            not_in_force: BTreeMap::new(),
            in_force: 0,
            batched: 0,
            status: sender,
        };
        (replica, receiver)
    }

    /// Rings when a save has ended: send `SaveEnded` then.
    pub fn save_ended(&self) -> Arc<Notify> {
        self.driver.save_ended()
    }

    /// Makes effects happen, unless more inputs wait that can share the sync.
    fn settle(&mut self, context: &mut Context<Self>) {
        self.batched += 1;
        let waiting = context.mailbox().address().try_upgrade().map_or(0, |address| address.len());
        if waiting > 0 && self.batched < BATCH {
            return;
        }
        self.batched = 0;
        let links = self.links.clone();
        for output in self.driver.process_effects(|to, message| links.send(to, message)) {
            self.carry_out(output);
        }
        if self.driver.raft.status().stopped {
            self.stop();
        }
        let state = &self.state;
        self.driver.compact(|| state.snapshot());
        self.publish();
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Restore(snapshot) => {
                if self.state.restore(&snapshot.data).is_err() {
                    log::error!("event=snapshot_damaged remedy=\"replace this replica\"");
                    self.driver.raft.disk_failed();
                    return;
                }
                let index = snapshot.index;
                self.decisions.retain(|waiting, _| *waiting > index);
            }
            Output::Apply(entry) => {
                let reply = match &entry.payload {
                    Payload::Command(bytes) => {
                        postcard::from_bytes(bytes).ok().map(|command| self.apply(&command))
                    }
                    Payload::Noop | Payload::Members(_) => None,
                };
                self.answer(entry.index, entry.term, reply);
            }
            Output::Read(read) => {
                // All that is committed has been applied above, so the state is new enough.
                if let Some(waiter) = self.reads.remove(&read) {
                    drop(waiter.sender.send(Ok(self.state.history().update_since(waiter.has))));
                }
            }
        }
    }

    /// The disk has failed: nobody who waits gets an answer here.
    fn stop(&mut self) {
        self.grantor = None;
        self.decisions.clear();
        self.reads.clear();
    }

    fn apply(&mut self, command: &Command) -> Reply {
        let reply = self.state.apply(command);
        if let Reply::Patch(PatchAnswer::Accepted(number)) = &reply
            && self.state.config().number == *number
        {
            log::info!("event=config_accepted number={number}");
            self.not_in_force.insert(*number, boot_now());
        }
        reply
    }

    fn answer(&mut self, index: Index, term: Term, reply: Option<Reply>) {
        let Some((expected, waiter)) = self.decisions.remove(&index) else { return };
        match waiter {
            Waiter::Command(sender) => {
                let result = reply.filter(|_| expected == term).ok_or(Undecided::Unknown);
                drop(sender.send(result));
            }
            Waiter::Change(sender) => {
                let result = if expected == term { Ok(()) } else { Err(ChangeError::InProgress) };
                // The asker may have given up waiting.
                let _ = sender.send(result);
            }
        }
    }

    /// The grantor, if this replica surely leads at `now`.
    fn leading_grantor(&mut self, now: BootTime) -> Option<&mut Grantor> {
        if !self.driver.raft.holds_leader_lease(now) {
            return None;
        }
        if self.grantor.is_none() || self.grantor_term != self.driver.raft.term() {
            self.grantor = Some(Grantor::new(self.lease, now));
            self.grantor_term = self.driver.raft.term();
        }
        self.grantor.as_mut()
    }

    fn track_in_force(&mut self, now: BootTime) {
        let number = self.state.config().number;
        let Some(grantor) = self.leading_grantor(now) else { return };
        let floor = grantor.floor(number, now);
        self.in_force = self.in_force.max(floor);
        while let Some((number, accepted_at)) = self.not_in_force.first_key_value()
            && *number <= floor
        {
            let took = now.saturating_sub(*accepted_at);
            log::info!("event=config_in_force number={number} took_ms={}", took.as_millis());
            self.metrics.in_force_s.record(took.as_secs_f64(), &[]);
            self.not_in_force.pop_first();
        }
    }

    fn publish(&mut self) {
        let status = ReplicaStatus {
            raft: self.driver.raft.status(),
            number: self.state.config().number,
            in_force: self.in_force,
            claims: self.state.claims().len(),
        };
        let before = self.status.borrow().raft.clone();
        if before.is_leader != status.raft.is_leader || before.leader != status.raft.leader {
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

impl Handler<FromPeer> for Replica {
    type Return = ();

    async fn handle(&mut self, message: FromPeer, context: &mut Context<Self>) {
        self.driver.raft.receive(message.0, message.1, boot_now());
        self.settle(context);
    }
}

impl Handler<Tick> for Replica {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, context: &mut Context<Self>) {
        let now = boot_now();
        self.driver.raft.tick(now);
        self.track_in_force(now);
        if !self.driver.raft.status().is_leader {
            self.reads.clear();
        }
        self.settle(context);
    }
}

impl Handler<SaveEnded> for Replica {
    type Return = ();

    async fn handle(&mut self, _ended: SaveEnded, context: &mut Context<Self>) {
        self.settle(context);
    }
}

impl Handler<Propose> for Replica {
    type Return = ();

    async fn handle(&mut self, propose: Propose, context: &mut Context<Self>) {
        let Propose(command, sender) = propose;
        let command = stamped(command);
        // Cannot fail: commands hold only types that the codec writes.
        let bytes = postcard::to_stdvec(&command).unwrap_or_default();
        match self.driver.raft.propose(bytes) {
            Ok((term, index)) => {
                self.decisions.insert(index, (term, Waiter::Command(sender)));
            }
            Err(NotLeader { leader }) => drop(sender.send(Err(Undecided::NotLeader(leader)))),
        }
        self.settle(context);
    }
}

impl Handler<ReadConfig> for Replica {
    type Return = ();

    async fn handle(&mut self, read: ReadConfig, context: &mut Context<Self>) {
        let ReadConfig(has, sender) = read;
        match self.driver.raft.read() {
            Ok(id) => {
                self.reads.insert(id, ReadWaiter { has, sender });
            }
            Err(NotLeader { leader }) => drop(sender.send(Err(Undecided::NotLeader(leader)))),
        }
        self.settle(context);
    }
}

impl Handler<ChangeReplicas> for Replica {
    type Return = ();

    async fn handle(&mut self, change: ChangeReplicas, context: &mut Context<Self>) {
        let ChangeReplicas(change, sender) = change;
        match self.driver.raft.propose_change(change) {
            Ok((term, index)) => {
                self.decisions.insert(index, (term, Waiter::Change(sender)));
            }
            Err(error) => drop(sender.send(Err(error))),
        }
        self.settle(context);
    }
}

impl Handler<Grant> for Replica {
    type Return = Result<(Duration, ConfigNumber, Update), Option<NodeId>>;

    async fn handle(&mut self, grant: Grant, context: &mut Context<Self>) -> Self::Return {
        self.settle(context);
        let now = boot_now();
        let leader = self.driver.raft.status().leader;
        let number = self.state.config().number;
        let update = self.state.history().update_since(grant.has);
        let lease = self.lease;
        let Some(grantor) = self.leading_grantor(now) else { return Err(leader) };
        Ok((grantor.grant(grant.child, grant.acked, lease, now), number, update))
    }
}

impl Handler<Leads> for Replica {
    type Return = Option<Term>;

    async fn handle(&mut self, _leads: Leads, _context: &mut Context<Self>) -> Self::Return {
        self.driver.raft.holds_leader_lease(boot_now()).then(|| self.driver.raft.term())
    }
}

/// Sets the leader's time where a command needs one.
fn stamped(command: Command) -> Command {
    match command {
        Command::Claim { key, digest, token, .. } => {
            Command::Claim { key, digest, token, at_ms: unix_ms() }
        }
        other => other,
    }
}
