//! The task around one replica: its log, its operators' commands, its peers.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::forming::{Presence, Step};
use super::frames::{NumberedRoster, ToReplica, encode};
use super::publisher::CURRENT_WITHIN;
use super::shared::{Belief, Currency, Shared, StalePeers};
use super::state::{Command, ControlState, Published, Reply};
use crate::clock::{BootTime, boot_now};
use crate::fleet::RosterChange;
use crate::ids::NodeId;
use crate::log::driver::{Driver, Output};
use crate::log::raft::{Change, NotLeader, ReadId};
use crate::log::{Entry, Index, Payload, Term};
use crate::quarantine::Revision;

/// How often timers of the log are looked at.
const TICK: Duration = Duration::from_millis(25);
/// Inputs that are taken before their effects are made durable together.
const BATCH: usize = 256;
/// How often replicas tell each other which entries they serve, and how often one that no leader
/// talks to asks to join.
const TELL: Duration = Duration::from_millis(500);
/// A replica that has heard no leader for this long asks to join.
const ASK_TO_JOIN_AFTER: Duration = Duration::from_millis(900);
/// Entries that a replica told of are counted for this long.
const ENTRIES_LAST: Duration = Duration::from_secs(2);

/// Why there was no decision here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undecided {
    /// This replica does not lead; the one on this host may.
    NotLeader(Option<IpAddr>),
    /// Leadership was lost on the way: it may or may not be decided.
    Unknown,
}

/// What the task takes.
pub enum Input {
    /// A frame from another replica.
    Frame {
        /// Its id.
        node: NodeId,
        /// Its host.
        ip: IpAddr,
        /// The frame.
        frame: ToReplica,
    },
    /// Have a command decided.
    Propose(Command, oneshot::Sender<Result<Reply, Undecided>>),
    /// Read the deployment, confirmed by a quorum.
    Read(oneshot::Sender<Result<Option<Published>, Undecided>>),
}

/// The task.
pub struct Replica {
    shared: Rc<Shared>,
    driver: Driver,
    state: ControlState,
    presence: Presence,
    /// Hosts that replicas said that they are on.
    introduced: BTreeMap<NodeId, IpAddr>,
    ip: IpAddr,
    /// Voters that there should be.
    wanted: usize,
    decisions: BTreeMap<Index, (Term, oneshot::Sender<Result<Reply, Undecided>>)>,
    reads: BTreeMap<ReadId, oneshot::Sender<Result<Option<Published>, Undecided>>>,
    /// Entries of other replicas, with the time at which they told of them.
    others_entries: BTreeMap<NodeId, (BTreeSet<String>, BootTime)>,
    /// When another replica first told of its entries.
    others_heard_from: Option<BootTime>,
    heard_leader_at: BootTime,
    told_at: BootTime,
    led: bool,
    /// Whether entries may rely on this replica, as the log told last, and since when.
    currency: (Currency, BootTime),
}

/// What a replica starts from.
pub struct Start {
    /// Its log.
    pub driver: Driver,
    /// The state before any snapshot and entry.
    pub state: ControlState,
    /// Its host.
    pub ip: IpAddr,
    /// Voters that there should be.
    pub wanted: usize,
}

impl Replica {
    /// A replica as it starts.
    pub fn new(shared: Rc<Shared>, start: Start) -> Replica {
        Replica {
            shared,
            driver: start.driver,
            state: start.state,
            presence: Presence::default(),
            introduced: BTreeMap::new(),
            ip: start.ip,
            wanted: start.wanted,
            decisions: BTreeMap::new(),
            reads: BTreeMap::new(),
            others_entries: BTreeMap::new(),
            others_heard_from: None,
            heard_leader_at: boot_now(),
            told_at: BootTime::ZERO,
            led: false,
            currency: (Currency::NoLeader, boot_now()),
        }
    }

    /// Runs until the disk fails.
    pub async fn run(mut self, inputs: &mut mpsc::Receiver<Input>) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let save_ended = self.driver.save_ended();
        while !self.driver.raft.status().stopped {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_all(input, inputs),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                () = save_ended.notified() => {}
            }
            self.settle();
        }
    }

    fn handle_all(&mut self, first: Input, inputs: &mut mpsc::Receiver<Input>) {
        self.take(first);
        for _ in 1..BATCH {
            match inputs.try_recv() {
                Ok(input) => self.take(input),
                Err(_) => return,
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Frame { node, ip, frame } => self.handle_frame(node, ip, frame),
            Input::Propose(command, sender) => self.propose(&command, sender),
            Input::Read(sender) => match self.driver.raft.read() {
                Ok(read) => drop(self.reads.insert(read, sender)),
                Err(not_leader) => drop(sender.send(Err(self.not_leader(not_leader)))),
            },
        }
    }

    fn handle_frame(&mut self, node: NodeId, ip: IpAddr, frame: ToReplica) {
        let now = boot_now();
        self.introduced.insert(node, ip);
        self.presence.heard(node, now);
        match frame {
            // What is meant for a replica whose place this one took must not keep it from joining.
            ToReplica::Log { to, .. } if to != self.shared.node => {}
            ToReplica::Log { message, .. } => {
                if message.is_from_leader() {
                    self.heard_leader_at = now;
                }
                self.driver.raft.receive(node, message, now);
            }
            ToReplica::Join => {
                self.presence.asked(node, ip, now);
                // Only the leader can let it in, and it may know but a few others.
                self.shared.links.send(ip, encode(&ToReplica::Hosts(self.hosts())));
            }
            ToReplica::Hosts(hosts) => self.shared.seeds.borrow_mut().extend(hosts),
            ToReplica::Roster(roster) => self.observe_roster(roster, ip),
            ToReplica::RosterChanged { before, name, changed, gone, remembered } => {
                let change = changed.to_listed().map(|changed| RosterChange { changed, gone });
                let known = self.shared.roster.borrow().clone();
                let heard =
                    change.ok().and_then(|change| known.advanced(before, name, change, remembered));
                match heard {
                    Some(roster) => self.observe_roster(roster, ip),
                    None => self.shared.links.send(ip, encode(&ToReplica::RosterWanted)),
                }
            }
            ToReplica::RosterUnread => self.shared.reading.update(|mut reading| {
                reading.was_asked(now);
                reading
            }),
            ToReplica::RosterRead { name, age } => match self
                .shared
                .observe_read(name, now.saturating_sub(age))
            {
                Ordering::Less => self.publish_roster(ip),
                Ordering::Equal => {}
                Ordering::Greater => self.shared.links.send(ip, encode(&ToReplica::RosterWanted)),
            },
            ToReplica::RosterWanted => self.publish_roster(ip),
            ToReplica::Quarantine(reports) => self.shared.observe_quarantine(reports),
            ToReplica::QuarantineDigest(digest) => {
                let known = self.shared.quarantine.borrow();
                if known.digest() != digest {
                    let reports = known.changed_since(Revision::default(), now);
                    self.shared.links.send(ip, encode(&ToReplica::Quarantine(reports)));
                }
            }
            ToReplica::NamedAgesWanted => {
                let leads = self.driver.raft.status().is_leader;
                let ages = ToReplica::NamedAges { named: self.shared.ages(), leads };
                self.shared.links.send(ip, encode(&ages));
            }
            ToReplica::NamedAges { named, leads } => {
                self.shared.observe_ages(named);
                self.shared.knows_ages.set(leads || self.shared.knows_ages.get());
            }
            ToReplica::Entries(entries) => {
                self.others_entries.insert(node, (entries, now));
                self.others_heard_from.get_or_insert(now);
            }
        }
    }

    fn observe_roster(&self, roster: NumberedRoster, from: IpAddr) {
        match self.shared.observe_roster(roster) {
            StalePeers::Nobody => {}
            StalePeers::Sender => self.publish_roster(from),
            StalePeers::Everybody => {
                let roster = self.shared.roster.borrow().clone();
                self.shared.broadcast(&self.state, self.ip, &ToReplica::Roster(roster));
            }
        }
    }

    fn publish_roster(&self, to: IpAddr) {
        let roster = self.shared.roster.borrow().clone();
        self.shared.links.send(to, encode(&ToReplica::Roster(roster)));
    }

    fn propose(&mut self, command: &Command, sender: oneshot::Sender<Result<Reply, Undecided>>) {
        // Cannot fail: commands hold only types that the codec writes.
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        match self.driver.raft.propose(bytes) {
            Ok((term, index)) => drop(self.decisions.insert(index, (term, sender))),
            Err(not_leader) => drop(sender.send(Err(self.not_leader(not_leader)))),
        }
    }

    fn tick(&mut self) {
        let now = boot_now();
        self.driver.raft.tick(now);
        let status = self.driver.raft.status();
        if status.is_leader && !self.led {
            self.presence.reset(now);
        }
        self.led = status.is_leader;
        if status.is_leader {
            self.heard_leader_at = now;
            self.advance_membership(now);
        } else {
            self.reads.clear();
        }
        if !self.shared.knows_ages.get() {
            self.shared.broadcast(&self.state, self.ip, &ToReplica::NamedAgesWanted);
        }
        if now >= self.told_at + TELL {
            self.told_at = now;
            self.publish_entries(now);
        }
    }

    /// Brings the set of voters one step closer to what it should be.
    fn advance_membership(&mut self, now: BootTime) {
        let members = self.driver.raft.status().members;
        let me = self.shared.node;
        let step = self.presence.next_step(me, &members, &self.state.places, self.wanted, now);
        let Some(step) = step else { return };
        let change = match step {
            Step::Place(node, ip) => {
                let (sender, _) = oneshot::channel();
                self.propose(&Command::Place { node, ip }, sender);
                return;
            }
            Step::AddLearner(node) => Change::AddLearner(node),
            Step::Promote(node) => Change::Promote(node),
            Step::Remove(node) => Change::Remove(node),
        };
        // Refused while another change is under way or the learner lacks entries: asked again.
        if self.driver.raft.propose_change(change).is_ok() {
            log::info!("event=replicas_change change={change:?} voters={}", members.voters.len());
        }
    }

    fn publish_entries(&mut self, now: BootTime) {
        let entries: BTreeSet<String> = self.shared.own_entries.borrow().keys().cloned().collect();
        self.others_entries.retain(|_, (_, at)| now.saturating_sub(*at) < ENTRIES_LAST);
        let others = self.others_entries.values().flat_map(|(entries, _)| entries);
        let all: BTreeSet<&String> = entries.iter().chain(others).collect();
        // Each of several replicas knows a part of the entries; by a part, each may retry too much.
        let is_only = self.state.places.keys().eq([&self.shared.node]);
        let has_heard = |from: BootTime| now.saturating_sub(from) >= TELL * 2;
        if is_only || self.others_heard_from.is_some_and(has_heard) {
            self.shared.entries.set(Some(all.len() as u32));
        }
        self.shared.broadcast(&self.state, self.ip, &ToReplica::Entries(entries.clone()));
        let digest = self.shared.quarantine.borrow().digest();
        self.shared.broadcast(&self.state, self.ip, &ToReplica::QuarantineDigest(digest));
        let is_alone = now.saturating_sub(self.heard_leader_at) >= ASK_TO_JOIN_AFTER;
        let is_member = self.driver.raft.status().members.all().any(|id| id == self.shared.node);
        if is_alone || !is_member {
            let join = encode(&ToReplica::Join);
            for host in self.hosts().into_iter().filter(|host| *host != self.ip) {
                self.shared.links.send(host, join.clone());
            }
        }
    }

    /// Hosts of all replicas that were ever heard of.
    fn hosts(&self) -> BTreeSet<IpAddr> {
        let seeds = self.shared.seeds.borrow();
        let known = self.state.places.values().chain(self.introduced.values());
        seeds.iter().chain(known).copied().collect()
    }

    fn settle(&mut self) {
        let (links, places, introduced) =
            (self.shared.links.clone(), self.state.places.clone(), &self.introduced);
        let send = |to: NodeId, message| {
            // Who introduced itself last knows its own address best.
            if let Some(ip) = introduced.get(&to).or_else(|| places.get(&to)) {
                links.send(*ip, encode(&ToReplica::Log { to, message }));
            }
        };
        for output in self.driver.settle(send) {
            match output {
                Output::Restore(snapshot) => match ControlState::restored(&snapshot.data) {
                    Ok(state) => {
                        self.state = state;
                        self.decisions.retain(|index, _| *index > snapshot.index);
                    }
                    Err(_) => {
                        log::error!("event=snapshot_damaged remedy=\"replace this replica\"");
                        self.driver.raft.disk_failed();
                    }
                },
                Output::Apply(entry) => self.apply(&entry),
                Output::Read(read) => {
                    if let Some(sender) = self.reads.remove(&read) {
                        drop(sender.send(Ok(self.state.published.clone())));
                    }
                }
            }
        }
        let state = &self.state;
        self.driver.compact(|| state.snapshot());
        self.publish();
    }

    fn apply(&mut self, entry: &Entry) {
        let reply = match &entry.payload {
            Payload::Command(bytes) => match postcard::from_bytes::<Command>(bytes) {
                Ok(command) => Some(self.state.apply(command)),
                Err(error) => {
                    log::error!("event=command_unreadable reason={:?}", error.to_string());
                    None
                }
            },
            Payload::Noop | Payload::Members(_) => None,
        };
        if let Some((term, sender)) = self.decisions.remove(&entry.index) {
            let decided = reply.filter(|_| term == entry.term).ok_or(Undecided::Unknown);
            // The asker may have given up waiting.
            let _ = sender.send(decided);
        }
    }

    fn publish(&mut self) {
        let now = boot_now();
        self.shared.observe_named(&self.state, now);
        let status = self.driver.raft.status();
        if status.is_leader {
            // Before others hear that it leads: what a scheduler is told until then is lost.
            self.shared.knows_ages.set(true);
        }
        self.shared.caught_up_at.set(self.driver.raft.caught_up_at(now));
        let leader = status.leader.and_then(|node| self.place_of(node));
        let belief = Belief {
            state: self.state.clone(),
            term: status.term,
            leads: status.is_leader,
            leader,
        };
        self.shared.belief.send_if_modified(|before| {
            if before.leads != belief.leads || before.leader != belief.leader {
                log::info!(
                    "event=leader_changed term={} leader={:?} here={}",
                    belief.term,
                    belief.leader,
                    belief.leads
                );
            }
            let changed = *before != belief;
            *before = belief;
            changed
        });
        self.log_currency(now);
    }

    /// Logs when this replica begins to keep silent towards entries, why, and when that ends.
    fn log_currency(&mut self, now: BootTime) {
        let (before, since) = self.currency;
        let currency = self.shared.currency(CURRENT_WITHIN);
        if currency == before {
            return;
        }
        self.currency = (currency, now);
        log::info!(
            "event=replica_currency now={currency:?} before={before:?} lasted_ms={} term={}",
            now.saturating_sub(since).as_millis(),
            self.driver.raft.term()
        );
    }

    fn place_of(&self, node: NodeId) -> Option<IpAddr> {
        if node == self.shared.node {
            return Some(self.ip);
        }
        self.introduced.get(&node).or_else(|| self.state.places.get(&node)).copied()
    }

    fn not_leader(&self, not_leader: NotLeader) -> Undecided {
        let other = not_leader.leader.filter(|node| *node != self.shared.node);
        Undecided::NotLeader(other.and_then(|node| self.place_of(node)))
    }
}
