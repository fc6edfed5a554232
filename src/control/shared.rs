//! State shared by the tasks of a replica, such as its view of the control state and the roster.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::entry_directory::{EntriesByDomain, EntryDirectory, EntryProcess};
use super::frames::{NamedAges, ReplicaFrame, RosterVersion, Update, VersionedRoster, encode};
use super::hold_news::HoldNews;
use super::links::SharedLinks;
use super::pieces;
use super::reader_election::ReaderElection;
use super::state::ControlState;
use super::stream_directory::StreamDirectory;
use super::weight_ages;
use crate::clock::{BootTime, boot_now};
use crate::deployment::Deployment;
use crate::deployment::document::DeploymentVersion;
use crate::fleet::compact::CompactTargets;
use crate::fleet::evacuation::EvacuatedDomains;
use crate::fleet::news::{NewsTable, TargetNews};
use crate::fleet::{Roster, RosterChange};
use crate::ids::{DomainId, NodeId, TargetStart};
use crate::log::Term;
use crate::quarantine::{Quarantine, Report, notify};
use crate::scheduler::weights::{self, RolloutHistories};

/// The term is shifted left by this many bits to give the first roster number of a term, so that
/// numbers keep rising after all replicas have restarted without a roster while entries still hold
/// one.
const ROSTER_NUMBER_BITS: u32 = 24;

/// Number of earlier rosters kept: a few seconds of history if every read changes the roster.
const EARLIER_ROSTERS: usize = 4;

/// The encoded frames of all pieces of a roster.
pub type PieceFrames = Rc<[Arc<[u8]>]>;

/// State shared by the tasks of a replica.
pub struct Shared {
    /// The id of this replica.
    pub node: NodeId,
    /// The control state and leadership as this replica knows them.
    pub view: watch::Sender<ReplicaView>,
    /// The current roster.
    pub roster: watch::Sender<VersionedRoster>,
    /// The most recent earlier rosters, oldest first. An entry that fails over from another replica
    /// usually holds one of them and needs only the difference.
    pub earlier_rosters: RefCell<VecDeque<VersionedRoster>>,
    /// The cached frames of a whole roster, which are the same for all entries.
    pub roster_pieces: RefCell<(RosterVersion, PieceFrames)>,
    /// The failure domain of each known replica, by host.
    pub domains: watch::Sender<BTreeMap<IpAddr, DomainId>>,
    /// The cached frame of the last roster change, with the versions before and after it. Most
    /// entries get the same frame.
    pub roster_update: RefCell<(RosterVersion, RosterVersion, Arc<[u8]>)>,
    /// The cached frame of the newest deployment.
    pub deployment_update: RefCell<(DeploymentVersion, Arc<[u8]>)>,
    /// Decides when this replica reads the target list.
    pub reader_election: Cell<ReaderElection>,
    /// When this replica was last known to have every committed log entry.
    pub caught_up_at: Cell<Option<BootTime>>,
    /// The last term that began before any deployment was published; 0 if there is none.
    pub unserved_term: Cell<Term>,
    /// Entries connected to this replica, by name.
    pub connected_entries: RefCell<BTreeMap<String, ConnectedEntry>>,
    /// Entries connected to any replica.
    pub entry_directory: RefCell<EntryDirectory>,
    /// Number of entries connected to any replica; `None` until the other replicas have had time to
    /// announce theirs.
    pub entry_count: Cell<Option<u32>>,
    /// Engines that are draining for or loading other weights. They get no new prompts.
    pub changing: RefCell<BTreeSet<TargetStart>>,
    /// When each weight version was named, as far as this replica knows.
    pub named_since: RefCell<RolloutHistories>,
    /// Whether this process has been the leader or has received ages from a leader. Until then it
    /// may take old weight versions for new ones, since recorded ages lag while disks are slow.
    pub has_weight_ages: Cell<bool>,
    /// Evacuated failure domains, with the times at which this replica saw others restored.
    pub evacuated: RefCell<EvacuatedDomains>,
    /// Requests suspected of crashing targets.
    pub quarantine: watch::Sender<Quarantine>,
    /// What entries are told of the quarantine. Most changes concern requests under which one or two targets
    /// have ended; those need not wake the connections to entries.
    pub hold_news: watch::Sender<HoldNews>,
    /// News of targets, from entries and other replicas.
    pub news: watch::Sender<NewsTable>,
    /// Where streams began.
    pub stream_directory: StreamDirectory,
    /// Connections to other replicas.
    pub links: SharedLinks,
    /// Hosts of replicas named by the settings or by other replicas.
    pub seeds: RefCell<BTreeSet<IpAddr>>,
}

/// An entry that is connected to this replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectedEntry {
    pub process: EntryProcess,
    pub failure_domain: DomainId,
    /// Number of its connections.
    pub connections: u32,
}

/// The control state and leadership as one replica knows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaView {
    /// The replicated state, up to the last entry applied here.
    pub state: ControlState,
    /// The current term.
    pub term: Term,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// The host of the leader, if known.
    pub leader: Option<IpAddr>,
}

/// Whether a replica is up to date. A replica that is not current sends entries no heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It has every recently committed log entry and knows the ages of weight versions.
    Current,
    /// It knows no leader.
    NoLeader,
    /// It knows the leader but has not caught up with it recently.
    Behind,
    /// It has caught up but does not know the ages of weight versions.
    AgesUnknown,
}

impl Freshness {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Freshness::Current => "current",
            Freshness::NoLeader => "no_leader",
            Freshness::Behind => "behind",
            Freshness::AgesUnknown => "ages_unknown",
        }
    }
}

/// Which replicas need the current roster after another one was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalePeers {
    /// None: the received roster is the current one.
    Nobody,
    /// The sender, whose roster is older.
    Sender,
    /// All: the merged roster differs from both the received one and the previous one.
    Everybody,
}

impl Shared {
    /// Sends a frame to the hosts of all other replicas.
    pub fn broadcast(&self, state: &ControlState, own_ip: IpAddr, frame: &ReplicaFrame) {
        let bytes = encode(frame);
        let hosts: BTreeSet<IpAddr> = state.replica_addresses.values().copied().collect();
        for host in hosts.into_iter().filter(|host| *host != own_ip) {
            self.links.send(host, bytes.clone());
        }
    }

    /// Merges a roster received from another replica. Returns which replicas need the result.
    pub fn observe_roster(&self, received: VersionedRoster) -> StalePeers {
        let earlier = self.roster.borrow().clone();
        let before = earlier.version();
        let changed = self.roster.send_if_modified(|known| {
            known.merge(&received);
            known.version() != before
        });
        if changed {
            self.roster_changed(earlier);
        }
        match self.roster.borrow().version() {
            known if known == received.version() => StalePeers::Nobody,
            known if known == before => StalePeers::Sender,
            _ => StalePeers::Everybody,
        }
    }

    /// Records a read of the target list by another replica. Returns how that replica's roster
    /// version compares with the current one.
    pub fn observe_read(&self, version: RosterVersion, began: BootTime) -> Ordering {
        let order = version.cmp(&self.roster.borrow().version());
        // A replica with an older roster may have read less than this one already knows.
        if order.is_ge() {
            self.note_read(began);
        }
        order
    }

    /// Records a read of the target list that began at `began` and has just ended.
    pub fn note_read(&self, began: BootTime) {
        self.reader_election.update(|mut reader_election| {
            reader_election.record_read(began);
            reader_election.record_duration(boot_now().saturating_sub(began));
            reader_election
        });
    }

    /// Changes the roster after a read of the target list or a report from an engine. Returns
    /// whether the new roster must be sent to other replicas.
    pub fn change_roster(&self, change: impl FnOnce(&mut Roster) -> bool) -> bool {
        let min_number = {
            let view = self.view.borrow();
            if view.leads { view.term << ROSTER_NUMBER_BITS } else { 0 }
        };
        let earlier = self.roster.borrow().clone();
        let must_send = self.roster.send_if_modified(|known| {
            let changed = change(Arc::make_mut(&mut known.roster));
            let must_send = changed || known.number < min_number;
            if must_send {
                *known =
                    VersionedRoster::new(known.number.max(min_number) + 1, known.roster.clone());
            }
            must_send
        });
        if must_send {
            self.roster_changed(earlier);
        }
        must_send
    }

    /// Completes a change of the roster.
    fn roster_changed(&self, earlier_roster: VersionedRoster) {
        self.stream_directory.observe_roster(self.roster.borrow().roster.iter(), boot_now());
        let mut earlier = self.earlier_rosters.borrow_mut();
        earlier.push_back(earlier_roster);
        while earlier.len() > EARLIER_ROSTERS {
            earlier.pop_front();
        }
    }

    /// The roster with this version, if it is the current one or a recent one.
    pub fn roster_with_version(&self, version: RosterVersion) -> Option<VersionedRoster> {
        let known = self.roster.borrow();
        if known.version() == version {
            return Some(known.clone());
        }
        self.earlier_rosters.borrow().iter().find(|earlier| earlier.version() == version).cloned()
    }

    /// The frames that transfer a whole roster.
    pub fn piece_frames(&self, roster: &VersionedRoster) -> PieceFrames {
        let mut cached = self.roster_pieces.borrow_mut();
        if cached.0 != roster.version() {
            let frames = pieces::split(roster).into_iter().map(Update::RosterPiece);
            *cached = (roster.version(), frames.map(|piece| encode(&piece)).collect());
        }
        cached.1.clone()
    }

    /// The frame that transfers the change from the roster an entry holds to the current one.
    pub fn roster_change_frame(&self, sent: &VersionedRoster, now: &VersionedRoster) -> Arc<[u8]> {
        let mut update = self.roster_update.borrow_mut();
        let (before, version) = (sent.version(), now.version());
        if (update.0, update.1) != (before, version) {
            let RosterChange { changed, gone } = sent.roster.change_to(&now.roster);
            let changed = CompactTargets::from_targets(changed.iter().map(AsRef::as_ref));
            *update = (
                before,
                version,
                encode(&Update::RosterChanged { before, version, changed, gone }),
            );
        }
        update.2.clone()
    }

    /// The frame that transfers a deployment, which is the same for all entries. Encoding one of
    /// 260 routes for each of 200 entries delays heartbeats to the leader.
    pub fn deployment_frame(&self, deployment: &Arc<Deployment>) -> Arc<[u8]> {
        let mut cached = self.deployment_update.borrow_mut();
        if cached.0 != deployment.version {
            *cached = (deployment.version, encode(&Update::Deployment(deployment.clone())));
        }
        cached.1.clone()
    }

    /// Records the weight versions in the replicated state, with their estimated ages.
    pub(super) fn observe_named(&self, state: &ControlState, now: BootTime) {
        let mut named = self.named_since.borrow_mut();
        for (model, newest) in state.weights.iter() {
            let recorded = state.weight_ages.get(model).into_iter().flat_map(BTreeMap::keys);
            for version in recorded.chain([newest]) {
                let age = weight_ages::estimated_age(
                    state,
                    model,
                    *version,
                    self.caught_up_at.get(),
                    now,
                );
                weights::observe_named(&mut named, model, *version, now.saturating_sub(age), now);
            }
        }
    }

    /// Records a connection of an entry.
    pub fn entry_connected(&self, name: &str, process: EntryProcess, failure_domain: &DomainId) {
        let mut entries = self.connected_entries.borrow_mut();
        let connections = entries.get(name).map_or(0, |entry| entry.connections) + 1;
        let failure_domain = failure_domain.clone();
        entries.insert(name.to_string(), ConnectedEntry { process, failure_domain, connections });
    }

    /// Records the end of a connection of an entry.
    pub fn entry_disconnected(&self, name: &str) {
        let mut entries = self.connected_entries.borrow_mut();
        if let Some(entry) = entries.get_mut(name) {
            entry.connections -= 1;
        }
        entries.retain(|_, entry| entry.connections > 0);
    }

    /// The entries connected to this replica, as other replicas are told.
    pub fn connected_by_domain(&self) -> EntriesByDomain {
        let mut by_domain = EntriesByDomain::new();
        for (name, entry) in self.connected_entries.borrow().iter() {
            let entries = by_domain.entry(entry.failure_domain.clone()).or_default();
            entries.insert(name.clone(), entry.process);
        }
        by_domain
    }

    /// Merges quarantine reports from an entry.
    pub fn observe_quarantine_of_entry(&self, reports: Vec<Report>) {
        notify::update_and_notify(&self.quarantine, |known| {
            known.merge_reports(reports, boot_now())
        });
    }

    /// Merges quarantine reports from another replica.
    pub fn observe_quarantine_of_replica(&self, reports: Vec<Report>) {
        notify::update_and_notify(&self.quarantine, |known| {
            known.merge_reports_of_replica(reports, boot_now())
        });
    }

    /// Merges news of targets from another process.
    pub fn observe_news(&self, news: &[TargetNews]) {
        self.news.send_if_modified(|known| known.merge(news, boot_now()));
    }

    /// Merges ages of weight versions from another process.
    pub fn observe_ages(&self, named: NamedAges) {
        weights::observe_ages(&mut self.named_since.borrow_mut(), named, boot_now());
    }

    /// The ages of all known weight versions.
    pub fn ages(&self) -> NamedAges {
        weights::ages(&self.named_since.borrow(), boot_now())
    }

    /// Whether this replica had every committed log entry at most `within` ago and knows the ages
    /// of weight versions.
    pub fn is_current(&self, within: Duration) -> bool {
        self.freshness(within) == Freshness::Current
    }

    /// Time since this replica was last known to have every committed log entry.
    pub fn caught_up_age(&self) -> Duration {
        self.caught_up_at.get().map_or(Duration::MAX, |at| boot_now().saturating_sub(at))
    }

    /// Whether this replica is current, or why not. Being caught up counts for `within`.
    pub fn freshness(&self, within: Duration) -> Freshness {
        let now = boot_now();
        let is_recent = |at: BootTime| now.saturating_sub(at) <= within;
        match (self.caught_up_at.get().is_some_and(is_recent), self.has_weight_ages.get()) {
            (true, true) => Freshness::Current,
            (true, false) => Freshness::AgesUnknown,
            (false, _) if self.view.borrow().leader.is_none() => Freshness::NoLeader,
            (false, _) => Freshness::Behind,
        }
    }
}
