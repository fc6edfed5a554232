//! Chooses the replicas that an entry subscribes to, and the one that sends it the roster. Pure.
//!
//! After an outage all entries start at the same time. If each received the complete roster from
//! every replica that it subscribes to, large deployments would saturate the links between failure
//! domains: 300 entries and 3,000 targets make 130 MB at each start, four fifths of it between
//! failure domains. Each entry therefore receives it once, preferably from a replica in its own
//! failure domain (a local replica).

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::clock::BootTime;
use crate::control::frames::{RosterDetail, RosterSubscription, RosterVersion};
use crate::ids::DomainId;

/// A local replica that could not be reached is not preferred for this long. Other replicas send
/// the same, but use the links between failure domains.
const LOCAL_RETRY_DELAY: Duration = Duration::from_secs(3);
/// An entry without a roster accepts it from a replica of any failure domain after it has been
/// subscribed to it for this long, which is two heartbeats.
const LOCAL_WAIT: Duration = Duration::from_millis(250);

/// If one replica announces a later roster, the changes should arrive from the other one within
/// this time, which is one heartbeat: many changes pass a link of 10 Mbit/s in it. Otherwise they
/// are requested from the announcing replica.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(250);

/// The subscriptions of an entry, and what it knows of the replicas.
#[derive(Debug)]
pub struct Subscriptions {
    own_domain: DomainId,
    /// Known failure domains of replicas.
    domains: BTreeMap<IpAddr, DomainId>,
    subscribed: BTreeSet<IpAddr>,
    /// When the last subscription to a replica failed.
    failed: BTreeMap<IpAddr, BootTime>,
    /// The replica that is sending the first complete roster.
    roster_from: Option<IpAddr>,
    /// The replica that was last asked for all changes of the roster.
    changes_from: Option<IpAddr>,
}

/// A subscription to one replica.
#[derive(Debug)]
pub struct Subscription {
    pub replica: IpAddr,
    started_at: BootTime,
    /// Which roster updates the replica was asked for, if any.
    requested: Option<RosterDetail>,
    /// The latest roster that the replica announced by name alone and that is not held yet, with
    /// the time since when such a roster has been missing.
    announced: Option<(RosterVersion, BootTime)>,
}

/// What an entry holds of rosters.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldRoster {
    /// The complete roster; the default if there is none.
    pub whole: RosterVersion,
    /// A partially received roster, and the number of its pieces received.
    pub part: (RosterVersion, u32),
}

impl Subscription {
    /// Records that the replica announced a roster by name.
    pub fn observe_name(&mut self, name: RosterVersion, now: BootTime) {
        let first = self.announced.map_or(now, |(_, first)| first);
        self.announced = Some((name, first));
    }

    /// Whether an announced roster has been missing for too long.
    fn misses_changes(&mut self, whole: RosterVersion, now: BootTime) -> bool {
        self.announced = self.announced.filter(|(name, _)| *name > whole);
        self.announced.is_some_and(|(_, first)| now >= first + CHANGES_TIMEOUT)
    }
}

impl Subscriptions {
    /// Creates a policy without subscriptions.
    pub fn new(own_domain: DomainId) -> Subscriptions {
        Subscriptions {
            own_domain,
            domains: BTreeMap::new(),
            subscribed: BTreeSet::new(),
            failed: BTreeMap::new(),
            roster_from: None,
            changes_from: None,
        }
    }

    /// Adds failure domains of replicas.
    pub fn observe_domains(&mut self, domains: BTreeMap<IpAddr, DomainId>) {
        self.domains.extend(domains);
    }

    /// Begins a subscription to a replica that has none: a local one if possible, otherwise a
    /// random one, and not `last` if there is a choice.
    pub fn begin(
        &mut self,
        replicas: &BTreeSet<IpAddr>,
        last: Option<IpAddr>,
        now: BootTime,
        random: &mut impl Rng,
    ) -> Option<Subscription> {
        let local = self.local(replicas, now).filter(|local| !self.subscribed.contains(local));
        let free: Vec<IpAddr> = replicas.difference(&self.subscribed).copied().collect();
        let others: Vec<IpAddr> = free.iter().copied().filter(|ip| Some(*ip) != last).collect();
        let other = || others.choose(random).or_else(|| free.first()).copied();
        let replica = local.or_else(other)?;
        self.subscribed.insert(replica);
        Some(Subscription { replica, started_at: now, requested: None, announced: None })
    }

    pub fn end(&mut self, subscription: Subscription, has_failed: bool, now: BootTime) {
        self.subscribed.remove(&subscription.replica);
        if self.roster_from == Some(subscription.replica) {
            self.roster_from = None;
        }
        if self.changes_from == Some(subscription.replica) {
            self.changes_from = None;
        }
        match has_failed {
            true => drop(self.failed.insert(subscription.replica, now)),
            false => drop(self.failed.remove(&subscription.replica)),
        }
    }

    /// Whether to replace this subscription by one to a local replica that has none.
    pub fn should_switch(
        &self,
        subscription: &Subscription,
        replicas: &BTreeSet<IpAddr>,
        now: BootTime,
    ) -> bool {
        let local = self.local(replicas, now);
        local.is_some_and(|local| !self.subscribed.contains(&local))
            && self.roster_from != Some(subscription.replica)
            // Moves only one of the subscriptions.
            && self.subscribed.first() == Some(&subscription.replica)
    }

    /// The request to send to a replica after its heartbeat, if any.
    pub fn request(
        &mut self,
        subscription: &mut Subscription,
        held: HeldRoster,
        replicas: &BTreeSet<IpAddr>,
        now: BootTime,
    ) -> Option<RosterSubscription> {
        let misses_changes = subscription.misses_changes(held.whole, now);
        let detail = match subscription.requested {
            None if held.whole.number == 0 && !self.claims_roster(subscription, replicas, now) => {
                return None;
            }
            None => self.detail_for(subscription.replica),
            // The other replica should have sent the changes by now.
            Some(RosterDetail::Versions) if misses_changes => RosterDetail::Changes,
            Some(_) => return None,
        };
        subscription.requested = Some(detail);
        if detail == RosterDetail::Changes {
            self.changes_from = Some(subscription.replica);
        }
        Some(RosterSubscription { whole: held.whole, part: held.part, detail })
    }

    /// Whether an entry without a roster receives it from this replica. If so, it is received from
    /// no other one.
    fn claims_roster(
        &mut self,
        subscription: &Subscription,
        replicas: &BTreeSet<IpAddr>,
        now: BootTime,
    ) -> bool {
        let local = self.local(replicas, now);
        let knows_all_domains = replicas.iter().all(|ip| self.domains.contains_key(ip));
        let is_best = local == Some(subscription.replica) || (knows_all_domains && local.is_none());
        let waited = now >= subscription.started_at + LOCAL_WAIT;
        let takes = self.roster_from.is_none() && (is_best || waited);
        if takes {
            self.roster_from = Some(subscription.replica);
        }
        takes
    }

    /// The local replica, or else the first one, sends all changes; the other one only names.
    fn detail_for(&self, replica: IpAddr) -> RosterDetail {
        let is_local = self.domains.get(&replica) == Some(&self.own_domain);
        match is_local || self.changes_from.is_none() {
            true => RosterDetail::Changes,
            false => RosterDetail::Versions,
        }
    }

    /// Records that a complete roster has been received.
    pub fn roster_complete(&mut self) {
        self.roster_from = None;
    }

    /// A local replica whose last subscription has not failed recently.
    fn local(&self, replicas: &BTreeSet<IpAddr>, now: BootTime) -> Option<IpAddr> {
        let is_usable = |ip: &IpAddr| {
            self.failed.get(ip).is_none_or(|failed| now >= *failed + LOCAL_RETRY_DELAY)
        };
        let is_local = |ip: &IpAddr| self.domains.get(ip) == Some(&self.own_domain);
        replicas.iter().copied().find(|ip| is_local(ip) && is_usable(ip))
    }
}
