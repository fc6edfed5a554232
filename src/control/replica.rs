//! The event loop of a replica: drives its log, applies committed commands, and handles frames from
//! peers and commands from operators.

mod membership;

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::entry_directory::EntriesByDomain;
use super::frames::{ReplicaFrame, VersionedRoster, encode};
use super::publisher::MAX_STALENESS;
use super::shared::{Freshness, ReplicaView, Shared, StalePeers};
use super::state::{Command, ControlState, Reply};
use super::voter_set::PeerActivity;
use crate::clock::{BootTime, boot_now};
use crate::fleet::RosterChange;
use crate::ids::NodeId;
use crate::log::driver::{Driver, Output};
use crate::log::raft::{NotLeader, ReadId};
use crate::log::{Entry, Index, Payload, Term};
use crate::quarantine::Revision;
use crate::telemetry::logs::or_dash;

/// How often Raft timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of inputs handled before their effects are persisted together.
const MAX_BATCH: usize = 256;
/// How often a replica announces the entries connected to it, and asks to join if it is not a
/// member or has no leader.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Bytes of commands that are not committed yet, beyond which further ones are refused as not accepted. They are
/// held in memory, and no compaction frees what they take on disk.
const MAX_UNCOMMITTED_BYTES: usize = 16 << 20;

/// The part of its disk, in percent, that a replica's log and snapshot may take. The rest is for the other files and
/// for the file system.
const MAX_DISK_PERCENT: u64 = 85;

/// Why a command or read has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undecided {
    /// This replica is not the leader; contains the host of the leader, if known.
    NotLeader(Option<IpAddr>),
    /// Leadership was lost before the outcome was known: the command may or may not be committed.
    Unknown,
}

/// Input to the event loop of a replica.
pub enum Input {
    /// A frame from another replica.
    Frame {
        /// The sender.
        node: NodeId,
        /// The host of the sender.
        ip: IpAddr,
        frame: ReplicaFrame,
    },
    /// Proposes a command and returns its result once it is committed and applied.
    Propose(Command, oneshot::Sender<Result<Reply, Undecided>>),
    /// The same, but only while this replica leads in this term.
    ProposeInTerm(Term, Command, oneshot::Sender<Result<Reply, Undecided>>),
    /// Reads the control state linearizably, after a quorum has confirmed the leader.
    Read(oneshot::Sender<Result<ControlState, Undecided>>),
}

/// A replica and its event loop.
pub struct Replica {
    shared: Rc<Shared>,
    driver: Driver,
    state: ControlState,
    peer_activity: PeerActivity,
    /// The host that each peer gave in its last handshake.
    peer_addresses: BTreeMap<NodeId, IpAddr>,
    ip: IpAddr,
    /// The number of voters to maintain.
    desired_voters: usize,
    /// Size of the disk; `None` if it is not known.
    disk_limit_bytes: Option<u64>,
    pending_proposals: BTreeMap<Index, (Term, oneshot::Sender<Result<Reply, Undecided>>)>,
    pending_reads: BTreeMap<ReadId, oneshot::Sender<Result<ControlState, Undecided>>>,
    /// Entries connected to other replicas, and when each replica announced them.
    remote_entries: BTreeMap<NodeId, (EntriesByDomain, BootTime)>,
    /// When another replica first announced its entries.
    remote_entries_since: Option<BootTime>,
    heard_leader_at: BootTime,
    announced_at: BootTime,
    was_leader: bool,
    /// The freshness that was last logged, and since when it holds.
    freshness: (Freshness, BootTime),
}

/// The initial values of a replica.
pub struct ReplicaInit {
    /// Drives its log.
    pub driver: Driver,
    /// The state to which the snapshot and the log entries are applied.
    pub state: ControlState,
    /// The host of the replica.
    pub ip: IpAddr,
    /// The number of voters to maintain.
    pub desired_voters: usize,
    /// Size of the disk; `None` if it is not known.
    pub disk_limit_bytes: Option<u64>,
}

impl Replica {
    /// Creates a replica; `run` starts it.
    pub fn new(shared: Rc<Shared>, init: ReplicaInit) -> Replica {
        Replica {
            shared,
            driver: init.driver,
            state: init.state,
            peer_activity: PeerActivity::default(),
            peer_addresses: BTreeMap::new(),
            ip: init.ip,
            desired_voters: init.desired_voters,
            disk_limit_bytes: init.disk_limit_bytes,
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            remote_entries: BTreeMap::new(),
            remote_entries_since: None,
            heard_leader_at: boot_now(),
            announced_at: BootTime::ZERO,
            was_leader: false,
            freshness: (Freshness::NoLeader, boot_now()),
        }
    }

    /// Runs until the disk fails or all senders of inputs are dropped.
    pub async fn run(mut self, inputs: &mut mpsc::Receiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let save_ended = self.driver.save_ended();
        while !self.driver.raft.status().stopped {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_batch(input, inputs),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
                () = save_ended.notified() => {}
            }
            self.process_outputs();
        }
    }

    fn handle_batch(&mut self, first: Input, inputs: &mut mpsc::Receiver<Input>) {
        self.handle_input(first);
        for _ in 1..MAX_BATCH {
            match inputs.try_recv() {
                Ok(input) => self.handle_input(input),
                Err(_) => return,
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Frame { node, ip, frame } => self.handle_frame(node, ip, frame),
            Input::Propose(command, sender) => self.propose(&command, sender),
            Input::ProposeInTerm(term, command, sender) => match self.driver.raft.term() == term {
                true => self.propose(&command, sender),
                false => drop(sender.send(Err(Undecided::NotLeader(None)))),
            },
            Input::Read(sender) => match self.driver.raft.read() {
                Ok(read) => drop(self.pending_reads.insert(read, sender)),
                Err(not_leader) => drop(sender.send(Err(self.not_leader(not_leader)))),
            },
        }
    }

    fn handle_frame(&mut self, node: NodeId, ip: IpAddr, frame: ReplicaFrame) {
        let now = boot_now();
        self.peer_addresses.insert(node, ip);
        self.peer_activity.record_contact(node, now);
        match frame {
            // Addressed to a replica that ran on this host earlier. Handling it could keep this one
            // from joining.
            ReplicaFrame::Log { to, .. } if to != self.shared.node => {}
            ReplicaFrame::Log { message, .. } => {
                if message.is_from_leader() {
                    self.heard_leader_at = now;
                }
                self.driver.raft.receive(node, message, now);
            }
            ReplicaFrame::Join => {
                self.peer_activity.record_join_request(node, ip, now);
                // The sender may know only some of the replicas, and only the leader can add it.
                self.shared.links.send(ip, encode(&ReplicaFrame::Hosts(self.hosts())));
            }
            ReplicaFrame::Hosts(hosts) => self.shared.seeds.borrow_mut().extend(hosts),
            ReplicaFrame::Roster(roster) => self.observe_roster(roster, ip),
            ReplicaFrame::RosterChanged { before, version, changed, gone, remembered } => {
                let change = changed.to_listed().map(|changed| RosterChange { changed, gone });
                let known = self.shared.roster.borrow().clone();
                let updated = change
                    .ok()
                    .and_then(|change| known.with_change(before, version, change, remembered));
                match updated {
                    Some(roster) => self.observe_roster(roster, ip),
                    None => self.shared.links.send(ip, encode(&ReplicaFrame::RosterRequested)),
                }
            }
            ReplicaFrame::TargetListReadFailed => {
                self.shared.reader_election.update(|mut reader_election| {
                    reader_election.record_request(now);
                    reader_election
                })
            }
            ReplicaFrame::TargetListRead { version, age } => {
                match self.shared.observe_read(version, now.saturating_sub(age)) {
                    Ordering::Less => self.send_roster(ip),
                    Ordering::Equal => {}
                    Ordering::Greater => {
                        self.shared.links.send(ip, encode(&ReplicaFrame::RosterRequested))
                    }
                }
            }
            ReplicaFrame::RosterRequested => self.send_roster(ip),
            ReplicaFrame::Quarantine(reports) => self.shared.observe_quarantine_of_replica(reports),
            ReplicaFrame::News(news) => self.shared.observe_news(&news),
            ReplicaFrame::QuarantineDigest(digest) => {
                let known = self.shared.quarantine.borrow();
                if known.digest() != digest {
                    let reports = known.suspect_reports_since(Revision::default(), now);
                    self.shared.links.send(ip, encode(&ReplicaFrame::Quarantine(reports)));
                }
            }
            ReplicaFrame::Streams(told) => {
                self.shared.stream_directory.told_by_replica(&told, now);
            }
            ReplicaFrame::StreamsRequested => {
                let told = self.shared.stream_directory.tell_all(now);
                self.shared.links.send(ip, encode(&told));
            }
            ReplicaFrame::AllStreams { streams, software, is_complete } => {
                let directory = &self.shared.stream_directory;
                directory.told_by_replica(&streams, now);
                directory.observe_software(&software, is_complete, now);
                if is_complete {
                    directory.told_all();
                }
            }
            ReplicaFrame::NamedAgesRequested => {
                let leads = self.driver.raft.status().is_leader;
                let ages = ReplicaFrame::NamedAges { named: self.shared.ages(), leads };
                self.shared.links.send(ip, encode(&ages));
            }
            ReplicaFrame::NamedAges { named, leads } => {
                self.shared.observe_ages(named);
                self.shared.has_weight_ages.set(leads || self.shared.has_weight_ages.get());
            }
            ReplicaFrame::Entries(entries) => {
                self.remote_entries.insert(node, (entries, now));
                self.remote_entries_since.get_or_insert(now);
            }
        }
    }

    fn observe_roster(&self, roster: VersionedRoster, from: IpAddr) {
        match self.shared.observe_roster(roster) {
            StalePeers::Nobody => {}
            StalePeers::Sender => self.send_roster(from),
            StalePeers::Everybody => {
                let roster = self.shared.roster.borrow().clone();
                self.shared.broadcast(&self.state, self.ip, &ReplicaFrame::Roster(roster));
            }
        }
    }

    fn send_roster(&self, to: IpAddr) {
        let roster = self.shared.roster.borrow().clone();
        self.shared.links.send(to, encode(&ReplicaFrame::Roster(roster)));
    }

    fn propose(&mut self, command: &Command, sender: oneshot::Sender<Result<Reply, Undecided>>) {
        // Serialization cannot fail: commands contain only types that postcard supports.
        let bytes = postcard::to_stdvec(command).unwrap_or_default();
        if !self.has_room_for(bytes.len()) {
            log::warn!(
                "event=command_refused reason=\"the log takes too much\" bytes={}",
                bytes.len()
            );
            let _ = sender.send(Err(Undecided::NotLeader(None)));
            return;
        }
        match self.driver.raft.propose(bytes) {
            Ok((term, index)) => drop(self.pending_proposals.insert(index, (term, sender))),
            Err(not_leader) => drop(sender.send(Err(self.not_leader(not_leader)))),
        }
    }

    /// Whether a command fits into memory and disk, so that the log can still be compacted afterwards.
    fn has_room_for(&self, bytes: usize) -> bool {
        let raft = &self.driver.raft;
        let fits_disk = self.disk_limit_bytes.is_none_or(|limit| {
            raft.peak_disk_bytes(bytes) as u64 <= limit * MAX_DISK_PERCENT / 100
        });
        fits_disk && raft.uncommitted_bytes() < MAX_UNCOMMITTED_BYTES
    }

    fn tick(&mut self) {
        let now = boot_now();
        self.driver.raft.tick(now);
        let status = self.driver.raft.status();
        if status.is_leader && !self.was_leader {
            self.peer_activity.reset(now);
            self.record_addresses();
        }
        self.was_leader = status.is_leader;
        if status.is_leader {
            self.heard_leader_at = now;
            self.advance_membership(now);
        } else {
            self.pending_reads.clear();
        }
        if !self.shared.has_weight_ages.get() {
            self.shared.broadcast(&self.state, self.ip, &ReplicaFrame::NamedAgesRequested);
        }
        if now >= self.announced_at + ANNOUNCE_INTERVAL {
            self.announced_at = now;
            self.announce(now);
        }
    }

    fn process_outputs(&mut self) {
        let (links, addresses, peer_addresses) =
            (self.shared.links.clone(), self.state.replica_addresses.clone(), &self.peer_addresses);
        let send = |to: NodeId, message| {
            // A peer's own handshake is more recent than the replicated address.
            if let Some(ip) = peer_addresses.get(&to).or_else(|| addresses.get(&to)) {
                links.send(*ip, encode(&ReplicaFrame::Log { to, message }));
            }
        };
        for output in self.driver.process_effects(send) {
            match output {
                Output::Restore(snapshot) => match ControlState::from_snapshot(&snapshot.data) {
                    Ok(state) => {
                        self.state = state;
                        self.pending_proposals.retain(|index, _| *index > snapshot.index);
                    }
                    Err(_) => {
                        log::error!("event=snapshot_damaged remedy=\"replace this replica\"");
                        self.driver.raft.disk_failed();
                    }
                },
                Output::Apply(entry) => self.apply(&entry),
                Output::Read(read) => {
                    if let Some(sender) = self.pending_reads.remove(&read) {
                        drop(sender.send(Ok(self.state.clone())));
                    }
                }
            }
        }
        let state = &self.state;
        self.driver.compact(|| state.snapshot());
        self.publish_view();
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
            Payload::Noop if self.state.published.is_none() => {
                self.shared.unserved_term.set(entry.term);
                None
            }
            Payload::Noop | Payload::Members(_) => None,
        };
        if let Some((term, sender)) = self.pending_proposals.remove(&entry.index) {
            let result = reply.filter(|_| term == entry.term).ok_or(Undecided::Unknown);
            // The receiver may have timed out.
            let _ = sender.send(result);
        }
    }

    fn publish_view(&mut self) {
        let now = boot_now();
        self.shared.observe_named(&self.state, now);
        self.observe_evacuations(now);
        let status = self.driver.raft.status();
        if status.is_leader {
            // Set before the view is published: the scheduler rejects calls until the ages are
            // known.
            self.shared.has_weight_ages.set(true);
        }
        self.shared.caught_up_at.set(self.driver.raft.caught_up_at(now));
        let leader = status.leader.and_then(|node| self.address_of(node));
        let view = ReplicaView {
            state: self.state.clone(),
            term: status.term,
            leads: status.is_leader,
            leader,
        };
        self.shared.view.send_if_modified(|before| {
            if before.leads != view.leads || before.leader != view.leader {
                log::info!(
                    "event=leader_changed term={} leader={} here={}",
                    view.term,
                    or_dash(view.leader),
                    view.leads
                );
            }
            let changed = *before != view;
            *before = view;
            changed
        });
        self.log_freshness(now);
    }

    fn observe_evacuations(&self, now: BootTime) {
        let mut known = self.shared.evacuated.borrow_mut();
        if known.update(&self.state.evacuations, now) {
            known.log_applied();
        }
    }

    /// Logs each change of freshness. A replica that is not current sends entries no heartbeats.
    fn log_freshness(&mut self, now: BootTime) {
        let (before, since) = self.freshness;
        let freshness = self.shared.freshness(MAX_STALENESS);
        if freshness == before {
            return;
        }
        self.freshness = (freshness, now);
        log::info!(
            "event=replica_currency now={} before={} lasted_ms={} term={}",
            freshness.name(),
            before.name(),
            now.saturating_sub(since).as_millis(),
            self.driver.raft.term()
        );
    }

    fn address_of(&self, node: NodeId) -> Option<IpAddr> {
        if node == self.shared.node {
            return Some(self.ip);
        }
        self.peer_addresses.get(&node).or_else(|| self.state.replica_addresses.get(&node)).copied()
    }

    fn not_leader(&self, not_leader: NotLeader) -> Undecided {
        let other = not_leader.leader.filter(|node| *node != self.shared.node);
        Undecided::NotLeader(other.and_then(|node| self.address_of(node)))
    }
}
