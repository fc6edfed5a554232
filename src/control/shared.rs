//! What the tasks of one replica share: what it believes, and the list of targets that it knows.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::frames::{NamedAges, NumberedRoster, RosterName, ToReplica, Update, encode};
use super::links::SharedLinks;
use super::pieces;
use super::reader_election::ReaderElection;
use super::state::ControlState;
use super::weight_ages;
use crate::clock::{BootTime, boot_now};
use crate::fleet::compact::CompactTargets;
use crate::fleet::{Roster, RosterChange};
use crate::ids::{DomainId, NodeId, TargetStart};
use crate::log::Term;
use crate::quarantine::{Quarantine, Report, Revision, share};
use crate::scheduler::weights::{self, RolloutHistories};

/// Lists of one term are numbered after those of all earlier terms: replicas that have all started
/// anew know no number, while entries go on with the one that they have.
const ROSTERS_PER_TERM: u32 = 24;

/// Earlier lists that are kept: some seconds of a fleet in which something changes with each read.
const EARLIER_ROSTERS: usize = 4;

/// The pieces of a list of targets, as frames.
pub type PieceFrames = Rc<[Arc<[u8]>]>;

/// What the tasks of one replica share.
pub struct Shared {
    /// This replica.
    pub node: NodeId,
    /// The newest state that is known here.
    pub belief: watch::Sender<Belief>,
    /// The list of targets.
    pub roster: watch::Sender<NumberedRoster>,
    /// Lists of targets before that one, the last ones: what an entry holds that has just lost another
    /// replica is one of them, and it is sent the differences alone.
    pub earlier_rosters: RefCell<VecDeque<NumberedRoster>>,
    /// The frames that publish the whole list, with its name: all entries are sent the same.
    pub roster_pieces: RefCell<(RosterName, PieceFrames)>,
    /// The failure domain of each replica that is known.
    pub domains: watch::Sender<BTreeMap<IpAddr, DomainId>>,
    /// The frame that publishes the last change of the list, with both names: most entries
    /// are sent the same.
    pub roster_update: RefCell<(RosterName, RosterName, Arc<[u8]>)>,
    /// Who reads the list.
    pub reading: Cell<ReaderElection>,
    /// When this replica last had all that was committed.
    pub caught_up_at: Cell<Option<BootTime>>,
    /// Entries that are connected here, with the number of their connections.
    pub own_entries: RefCell<BTreeMap<String, u32>>,
    /// Entries that are connected to any replica; `None` until the others had time to send theirs.
    pub entries: Cell<Option<u32>>,
    /// Engines that are about to load other weights, or load them. They get no new prompts.
    pub changing: RefCell<BTreeSet<TargetStart>>,
    /// When weights were named, as far as this replica knows.
    pub named_since: RefCell<RolloutHistories>,
    /// Whether this process has led, or a leader has sent it how long ago weights were named. Until
    /// then it may take old namings for new: the log lags behind ages while disks stand still.
    pub knows_ages: Cell<bool>,
    /// Requests under which targets have ended.
    pub quarantine: watch::Sender<Quarantine>,
    /// The revision of that which entries must know of: most changes concern requests under which one target has
    /// ended, and wake no entry's connection.
    pub suspects: watch::Sender<Revision>,
    /// Connections to other replicas.
    pub links: SharedLinks,
    /// Hosts of replicas that the settings or other replicas named at some time.
    pub seeds: RefCell<BTreeSet<IpAddr>>,
}

/// What one replica believes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Belief {
    /// The replicated state, as far as it is applied here.
    pub state: ControlState,
    /// The term.
    pub term: Term,
    /// Whether this replica leads.
    pub leads: bool,
    /// The leader's host, as far as is known.
    pub leader: Option<IpAddr>,
}

/// Whether a replica knows all that was committed lately. If not, it publishes nothing to entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Currency {
    /// It does.
    Current,
    /// It knows no leader.
    NoLeader,
    /// It knows who leads, and has not had all from that one lately.
    Behind,
    /// It does, but for how long ago weights were named.
    AgesUnknown,
}

/// Who does not know what this replica knows once it has received a list of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StalePeers {
    /// The list that was received is the one that is known here.
    Nobody,
    /// The sender has an earlier list.
    Sender,
    /// Neither list named all who leave.
    Everybody,
}

impl Shared {
    /// Sends a frame to the hosts of all other replicas.
    pub fn broadcast(&self, state: &ControlState, own: IpAddr, frame: &ToReplica) {
        let bytes = encode(frame);
        let hosts: BTreeSet<IpAddr> = state.places.values().copied().collect();
        for host in hosts.into_iter().filter(|host| *host != own) {
            self.links.send(host, bytes.clone());
        }
    }

    /// Takes a list of targets that another replica knows. Returns to whom to send what is known now.
    pub fn observe_roster(&self, received: NumberedRoster) -> StalePeers {
        let earlier = self.roster.borrow().clone();
        let before = earlier.name();
        let changed = self.roster.send_if_modified(|known| {
            known.join(&received);
            known.name() != before
        });
        if changed {
            self.keep_earlier(earlier);
        }
        match self.roster.borrow().name() {
            known if known == received.name() => StalePeers::Nobody,
            known if known == before => StalePeers::Sender,
            _ => StalePeers::Everybody,
        }
    }

    /// Takes note that another replica has read the list. Returns whether the one that it knows is later than
    /// the one that is known here.
    pub fn observe_read(&self, name: RosterName, began: BootTime) -> Ordering {
        let order = name.cmp(&self.roster.borrow().name());
        // Who knows an earlier list may have seen less than was known here before.
        if order.is_ge() {
            self.note_read(began);
        }
        order
    }

    /// Records that the list was read.
    pub fn note_read(&self, began: BootTime) {
        self.reading.update(|mut reading| {
            reading.was_read(began);
            reading.has_lasted(boot_now().saturating_sub(began));
            reading
        });
    }

    /// Takes a list of targets that this replica has read, or found out more about. Returns whether
    /// it must be sent to others.
    pub fn change_roster(&self, change: impl FnOnce(&mut Roster) -> bool) -> bool {
        let least = {
            let belief = self.belief.borrow();
            if belief.leads { belief.term << ROSTERS_PER_TERM } else { 0 }
        };
        let earlier = self.roster.borrow().clone();
        let is_news = self.roster.send_if_modified(|known| {
            let changed = change(Arc::make_mut(&mut known.roster));
            let is_news = changed || known.number < least;
            if is_news {
                *known = NumberedRoster::new(known.number.max(least) + 1, known.roster.clone());
            }
            is_news
        });
        if is_news {
            self.keep_earlier(earlier);
        }
        is_news
    }

    fn keep_earlier(&self, roster: NumberedRoster) {
        let mut earlier = self.earlier_rosters.borrow_mut();
        earlier.push_back(roster);
        while earlier.len() > EARLIER_ROSTERS {
            earlier.pop_front();
        }
    }

    /// The list with this name, if it is the one that is known here or one before it.
    pub fn roster_named(&self, name: RosterName) -> Option<NumberedRoster> {
        let known = self.roster.borrow();
        if known.name() == name {
            return Some(known.clone());
        }
        self.earlier_rosters.borrow().iter().find(|earlier| earlier.name() == name).cloned()
    }

    /// The frames that publish a whole list.
    pub fn pieces_of(&self, list: &NumberedRoster) -> PieceFrames {
        let mut cached = self.roster_pieces.borrow_mut();
        if cached.0 != list.name() {
            let frames = pieces::split(list).into_iter().map(Update::RosterPiece);
            *cached = (list.name(), frames.map(|piece| encode(&piece)).collect());
        }
        cached.1.clone()
    }

    /// The frame that publishes how the list differs from the one that an entry was sent.
    pub fn roster_change(&self, sent: &NumberedRoster, now: &NumberedRoster) -> Arc<[u8]> {
        let mut update = self.roster_update.borrow_mut();
        let (before, name) = (sent.name(), now.name());
        if (update.0, update.1) != (before, name) {
            let RosterChange { changed, gone } = sent.roster.change_to(&now.roster);
            let changed = CompactTargets::from_targets(changed.iter());
            *update =
                (before, name, encode(&Update::RosterChanged { before, name, changed, gone }));
        }
        update.2.clone()
    }

    /// Takes when weights were named, as the replicated state tells it.
    pub(super) fn observe_named(&self, state: &ControlState, now: BootTime) {
        let mut named = self.named_since.borrow_mut();
        for (model, newest) in state.weights.iter() {
            let recorded = state.weight_ages.get(model).into_iter().flat_map(BTreeMap::keys);
            for version in recorded.chain([newest]) {
                let age = weight_ages::age_of(state, model, *version, self.caught_up_at.get(), now);
                weights::observe_named(&mut named, model, *version, now.saturating_sub(age), now);
            }
        }
    }

    /// Takes what another process knows of requests under which targets have ended.
    pub fn observe_quarantine(&self, reports: Vec<Report>) {
        share::change(&self.quarantine, |known| known.observe(reports, boot_now()));
        let revision = self.quarantine.borrow().suspects_revision();
        self.suspects.send_if_modified(|known| std::mem::replace(known, revision) != revision);
    }

    /// Takes how long ago weights were named, as another process sends it.
    pub fn observe_ages(&self, named: NamedAges) {
        weights::observe_ages(&mut self.named_since.borrow_mut(), named, boot_now());
    }

    /// How long ago weights were named, to send to another process.
    pub fn ages(&self) -> NamedAges {
        weights::ages(&self.named_since.borrow(), boot_now())
    }

    /// Whether this replica had all that was committed within the last `within`, and knows how long
    /// ago weights were named.
    pub fn is_current(&self, within: Duration) -> bool {
        self.currency(within) == Currency::Current
    }

    /// How long ago this replica was last sure to have all that was committed.
    pub fn caught_up_age(&self) -> Duration {
        self.caught_up_at.get().map_or(Duration::MAX, |at| boot_now().saturating_sub(at))
    }

    /// Whether entries may rely on what this replica knows, or why not.
    pub fn currency(&self, within: Duration) -> Currency {
        let now = boot_now();
        let is_recent = |at: BootTime| now.saturating_sub(at) <= within;
        match (self.caught_up_at.get().is_some_and(is_recent), self.knows_ages.get()) {
            (true, true) => Currency::Current,
            (true, false) => Currency::AgesUnknown,
            (false, _) if self.belief.borrow().leader.is_none() => Currency::NoLeader,
            (false, _) => Currency::Behind,
        }
    }
}
