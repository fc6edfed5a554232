//! Freshness leases: a node admits requests only while it knows that its configuration number is
//! not older than what is in force.
//!
//! A lease counts from the moment at which its holder sent the renewal, on the boot clock. A relay
//! grants leases that end no later than its own, so every lease is nested in one of the leader's.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::{ConfigNumber, NodeId};

/// What of a lease is given up for clocks that run at different rates: one part in this many.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// The lease that a node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldLease {
    /// When it ends. Never moves back.
    expires_at: BootTime,
}

impl HeldLease {
    /// Whether the lease holds at `now`.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        now < self.expires_at
    }

    /// How long it still duration.
    pub fn remaining(&self, now: BootTime) -> Duration {
        self.expires_at.saturating_sub(now)
    }

    /// Takes a grant that answers the renewal sent at `sent_at`.
    pub fn extend(&mut self, sent_at: BootTime, duration: Duration) {
        let drift_adjusted = duration - duration / CLOCK_DRIFT_DIVISOR;
        self.expires_at = self.expires_at.max(sent_at + drift_adjusted);
    }
}

/// Leases granted to others, by the leader or a relay.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    lease_duration: Duration,
    /// Until then, leases granted before this process knew of them may be outstanding.
    unknown_leases_until: BootTime,
    children: BTreeMap<NodeId, GrantedLease>,
}

/// One lease granted to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GrantedLease {
    /// All nodes below it have applied at least this number.
    acked: ConfigNumber,
    /// When the lease has ended everywhere below it.
    expires_at: BootTime,
}

impl LeaseGrantor {
    /// A grantor that has just become one: a full lease may be outstanding everywhere.
    pub fn new(lease_duration: Duration, now: BootTime) -> LeaseGrantor {
        LeaseGrantor {
            lease_duration,
            unknown_leases_until: now + lease_duration,
            children: BTreeMap::new(),
        }
    }

    /// Grants a lease to `child`, whose nodes have all applied `acked`; `own_remaining` is what is
    /// left of the grantor's own lease. Returns how long the lease duration; zero is a refusal.
    pub fn grant(
        &mut self,
        child: NodeId,
        acked: ConfigNumber,
        own_remaining: Duration,
        now: BootTime,
    ) -> Duration {
        self.children.retain(|_, granted| granted.expires_at > now);
        let duration = self.lease_duration.min(own_remaining);
        if duration.is_zero() {
            return duration;
        }
        let previous_expiry =
            self.children.get(&child).map_or(BootTime::ZERO, |granted| granted.expires_at);
        // A renewal that overtook an older one may report less; the lower number is the safe one
        // only while it can still be true, and numbers never fall, so the newest report counts.
        self.children
            .insert(child, GrantedLease { acked, expires_at: previous_expiry.max(now + duration) });
        duration
    }

    /// The number that every node below with an unexpired lease has applied; `own` is this node's.
    pub fn min_acked(&self, own: ConfigNumber, now: BootTime) -> ConfigNumber {
        if now < self.unknown_leases_until {
            return 0;
        }
        let live = self.children.values().filter(|granted| granted.expires_at > now);
        live.map(|granted| granted.acked).fold(own, ConfigNumber::min)
    }

    /// Nodes with an unexpired lease.
    pub fn children(&self, now: BootTime) -> impl Iterator<Item = NodeId> + '_ {
        self.children.iter().filter(move |(_, granted)| granted.expires_at > now).map(|(id, _)| *id)
    }
}
