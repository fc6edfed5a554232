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
use crate::control::frames::{RosterDetail, RosterSubscription, RosterVersion};
use crate::ids::DomainId;

/// A replica of the own failure domain that could not be reached is turned to again after this time: another
/// one sends the same, at the price of bytes between failure domains.
const NEAR_AGAIN_AFTER: Duration = Duration::from_secs(3);
/// An entry without a list that has subscribed to one replica for this long takes the list from it, wherever it
/// is: two heartbeats.
const WAITS_FOR_NEAR: Duration = Duration::from_millis(250);

/// The changes of a list that one replica has named come from the other one within this time, or that one
/// does not know it: one heartbeat, in which many changes pass a link of 10 Mbit/s.
const CHANGES_WITHIN: Duration = Duration::from_millis(250);

/// What one entry knows of the replicas that it may subscribe to.
#[derive(Debug)]
pub struct Subscriptions {
    own_domain: DomainId,
    /// Failure domains of replicas, as far as is known.
    domains: BTreeMap<IpAddr, DomainId>,
    in_use: BTreeSet<IpAddr>,
    /// When replicas were last left since they could not be reached or fell silent.
    failed: BTreeMap<IpAddr, BootTime>,
    /// The replica that sends the whole list now.
    list_from: Option<IpAddr>,
    /// A replica that sends all changes of the list.
    changes_from: Option<IpAddr>,
}

/// One subscription to a replica.
#[derive(Debug)]
pub struct Subscription {
    /// The replica.
    pub replica: IpAddr,
    since: BootTime,
    /// What the replica was asked to send of the list of targets.
    follows: Option<RosterDetail>,
    /// A later list than was held, of which it has sent the name alone, and when it first did.
    named: Option<(RosterVersion, BootTime)>,
}

/// What an entry holds of the list of targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldTargets {
    /// The whole list that it has; the default if it has none.
    pub whole: RosterVersion,
    /// A list that it has a part of, and how many pieces.
    pub part: (RosterVersion, u32),
}

impl Subscription {
    /// The replica has sent the name of a list.
    pub fn observe_name(&mut self, name: RosterVersion, now: BootTime) {
        let first = self.named.map_or(now, |(_, first)| first);
        self.named = Some((name, first));
    }

    /// Whether a list that was named is still not held.
    fn lacks(&mut self, whole: RosterVersion, now: BootTime) -> bool {
        self.named = self.named.filter(|(name, _)| *name > whole);
        self.named.is_some_and(|(_, first)| now >= first + CHANGES_WITHIN)
    }
}

impl Subscriptions {
    /// Nothing is known of replicas yet.
    pub fn new(own_domain: DomainId) -> Subscriptions {
        Subscriptions {
            own_domain,
            domains: BTreeMap::new(),
            in_use: BTreeSet::new(),
            failed: BTreeMap::new(),
            list_from: None,
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
        let near = self.near(replicas, now).filter(|near| !self.in_use.contains(near));
        let free: Vec<IpAddr> = replicas.difference(&self.in_use).copied().collect();
        let others: Vec<IpAddr> = free.iter().copied().filter(|ip| Some(*ip) != last).collect();
        let other = || others.choose(random).or_else(|| free.first()).copied();
        let replica = near.or_else(other)?;
        self.in_use.insert(replica);
        Some(Subscription { replica, since: now, follows: None, named: None })
    }

    /// Ends a subscription.
    pub fn end(&mut self, subscription: Subscription, has_failed: bool, now: BootTime) {
        self.in_use.remove(&subscription.replica);
        if self.list_from == Some(subscription.replica) {
            self.list_from = None;
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
    pub fn should_move(
        &self,
        subscription: &Subscription,
        replicas: &BTreeSet<IpAddr>,
        now: BootTime,
    ) -> bool {
        let near = self.near(replicas, now);
        near.is_some_and(|near| !self.in_use.contains(&near))
            && self.list_from != Some(subscription.replica)
            // One of several connections moves.
            && self.in_use.first() == Some(&subscription.replica)
    }

    /// What to ask a replica for that has just sent a heartbeat, if it is time.
    pub fn request(
        &mut self,
        subscription: &mut Subscription,
        held: HeldTargets,
        replicas: &BTreeSet<IpAddr>,
        now: BootTime,
    ) -> Option<RosterSubscription> {
        let lacks_changes = subscription.lacks(held.whole, now);
        let detail = match subscription.follows {
            None if held.whole.number == 0
                && !self.takes_list_from(subscription, replicas, now) =>
            {
                return None;
            }
            None => self.detail_from(subscription.replica),
            // The other replica should have sent it by now.
            Some(RosterDetail::Versions) if lacks_changes => RosterDetail::Changes,
            Some(_) => return None,
        };
        subscription.follows = Some(detail);
        if detail == RosterDetail::Changes {
            self.changes_from = Some(subscription.replica);
        }
        Some(RosterSubscription { whole: held.whole, part: held.part, detail })
    }

    /// Whether an entry without a list takes it from this replica. If so, from no other one.
    fn takes_list_from(
        &mut self,
        subscription: &Subscription,
        replicas: &BTreeSet<IpAddr>,
        now: BootTime,
    ) -> bool {
        let near = self.near(replicas, now);
        let knows_all = replicas.iter().all(|ip| self.domains.contains_key(ip));
        let is_best = near == Some(subscription.replica) || (knows_all && near.is_none());
        let waited = now >= subscription.since + WAITS_FOR_NEAR;
        let takes = self.list_from.is_none() && (is_best || waited);
        if takes {
            self.list_from = Some(subscription.replica);
        }
        takes
    }

    /// One replica sends all changes: that of the own failure domain, or else the first one.
    fn detail_from(&self, replica: IpAddr) -> RosterDetail {
        let is_near = self.domains.get(&replica) == Some(&self.own_domain);
        match is_near || self.changes_from.is_none() {
            true => RosterDetail::Changes,
            false => RosterDetail::Versions,
        }
    }

    /// The list is whole.
    pub fn has_list(&mut self) {
        self.list_from = None;
    }

    /// A replica of the own failure domain, unless it has failed lately.
    fn near(&self, replicas: &BTreeSet<IpAddr>, now: BootTime) -> Option<IpAddr> {
        let is_sound = |ip: &IpAddr| {
            self.failed.get(ip).is_none_or(|failed| now >= *failed + NEAR_AGAIN_AFTER)
        };
        let is_near = |ip: &IpAddr| self.domains.get(ip) == Some(&self.own_domain);
        replicas.iter().copied().find(|ip| is_near(ip) && is_sound(ip))
    }
}
