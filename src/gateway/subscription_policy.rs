//! Which replicas an entry subscribes to, and which one sends it the whole list of targets. Pure.
//!
//! All entries start at once after an outage (a thundering herd). If each of 300 takes the list of 3,000
//! targets from both replicas that it subscribes to, wherever these are, 130 MB pass at each start, four fifths of
//! them between failure domains, and the last entry has its list after 0.6 s. Each therefore takes it once,
//! from a replica of its own failure domain where there is one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use crate::clock::BootTime;
use crate::control::frames::{FollowTargets, ListDetail, RosterName};
use crate::ids::DomainId;

/// A replica of the own failure domain that could not be reached is turned to again after this time: another
/// one sends the same, at the price of bytes between failure domains.
const LOCAL_RETRY_DELAY: Duration = Duration::from_secs(3);
/// An entry without a list that has subscribed to one replica for this long takes the list from it, wherever it
/// is: two heartbeats.
const LOCAL_WAIT: Duration = Duration::from_millis(250);

/// The changes of a list that one replica has named come from the other one within this time, or that one
/// does not know it: one heartbeat, in which many changes pass a link of 10 Mbit/s.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(250);

/// What one entry knows of the replicas that it may subscribe to.
#[derive(Debug)]
pub struct Subscriptions {
    own_domain: DomainId,
    /// Failure domains of replicas, as far as is known.
    domains: BTreeMap<IpAddr, DomainId>,
    subscribed: BTreeSet<IpAddr>,
    /// When replicas were last left since they could not be reached or fell silent.
    failed: BTreeMap<IpAddr, BootTime>,
    /// The replica that sends the whole list now.
    roster_from: Option<IpAddr>,
    /// A replica that sends all changes of the list.
    changes_from: Option<IpAddr>,
}

/// One subscription to a replica.
#[derive(Debug)]
pub struct Subscription {
    /// The replica.
    pub replica: IpAddr,
    started_at: BootTime,
    /// What the replica was asked to send of the list of targets.
    requested: Option<ListDetail>,
    /// A later list than was held, of which it has sent the name alone, and when it first did.
    announced: Option<(RosterName, BootTime)>,
}

/// What an entry holds of the list of targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldRoster {
    /// The whole list that it has; the default if it has none.
    pub whole: RosterName,
    /// A list that it has a part of, and how many pieces.
    pub part: (RosterName, u32),
}

impl Subscription {
    /// The replica has sent the name of a list.
    pub fn observe_name(&mut self, name: RosterName, now: BootTime) {
        let first = self.announced.map_or(now, |(_, first)| first);
        self.announced = Some((name, first));
    }

    /// Whether a list that was named is still not held.
    fn misses_changes(&mut self, whole: RosterName, now: BootTime) -> bool {
        self.announced = self.announced.filter(|(name, _)| *name > whole);
        self.announced.is_some_and(|(_, first)| now >= first + CHANGES_TIMEOUT)
    }
}

impl Subscriptions {
    /// Nothing is known of replicas yet.
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

    /// Takes in which failure domains replicas are.
    pub fn observe_domains(&mut self, domains: BTreeMap<IpAddr, DomainId>) {
        self.domains.extend(domains);
    }

    /// Subscribes to a replica that is not subscribed to yet: one of the own failure domain if possible, and not
    /// the last one if there is another.
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

    /// Ends a subscription.
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

    /// Whether to leave a replica for one of the own failure domain that is not subscribed to.
    pub fn should_switch(
        &self,
        subscription: &Subscription,
        replicas: &BTreeSet<IpAddr>,
        now: BootTime,
    ) -> bool {
        let local = self.local(replicas, now);
        local.is_some_and(|local| !self.subscribed.contains(&local))
            && self.roster_from != Some(subscription.replica)
            // One of several connections moves.
            && self.subscribed.first() == Some(&subscription.replica)
    }

    /// What to ask a replica for that has just sent a heartbeat, if it is time.
    pub fn request(
        &mut self,
        subscription: &mut Subscription,
        held: HeldRoster,
        replicas: &BTreeSet<IpAddr>,
        now: BootTime,
    ) -> Option<FollowTargets> {
        let misses_changes = subscription.misses_changes(held.whole, now);
        let detail = match subscription.requested {
            None if held.whole.number == 0 && !self.claims_roster(subscription, replicas, now) => {
                return None;
            }
            None => self.detail_for(subscription.replica),
            // The other replica should have sent it by now.
            Some(ListDetail::Names) if misses_changes => ListDetail::Changes,
            Some(_) => return None,
        };
        subscription.requested = Some(detail);
        if detail == ListDetail::Changes {
            self.changes_from = Some(subscription.replica);
        }
        Some(FollowTargets { whole: held.whole, part: held.part, detail })
    }

    /// Whether an entry without a list takes it from this replica. If so, from no other one.
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

    /// One replica sends all changes: that of the own failure domain, or else the first one.
    fn detail_for(&self, replica: IpAddr) -> ListDetail {
        let is_local = self.domains.get(&replica) == Some(&self.own_domain);
        match is_local || self.changes_from.is_none() {
            true => ListDetail::Changes,
            false => ListDetail::Names,
        }
    }

    /// The list is whole.
    pub fn roster_complete(&mut self) {
        self.roster_from = None;
    }

    /// A replica of the own failure domain, unless it has failed lately.
    fn local(&self, replicas: &BTreeSet<IpAddr>, now: BootTime) -> Option<IpAddr> {
        let is_usable = |ip: &IpAddr| {
            self.failed.get(ip).is_none_or(|failed| now >= *failed + LOCAL_RETRY_DELAY)
        };
        let is_local = |ip: &IpAddr| self.domains.get(ip) == Some(&self.own_domain);
        replicas.iter().copied().find(|ip| is_local(ip) && is_usable(ip))
    }
}
