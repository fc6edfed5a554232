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
const DRIFT_PART: u32 = 50;

/// The lease that a node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holder {
    /// When it ends. Never moves back.
    ends: BootTime,
}

impl Holder {
    /// Whether the lease holds at `now`.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        now < self.ends
    }

    /// How long it still lasts.
    pub fn remaining(&self, now: BootTime) -> Duration {
        self.ends.saturating_sub(now)
    }

    /// Takes a grant that answers the renewal sent at `sent_at`.
    pub fn granted(&mut self, sent_at: BootTime, lasts: Duration) {
        let safe = lasts - lasts / DRIFT_PART;
        self.ends = self.ends.max(sent_at + safe);
    }
}

/// Leases granted to others, by the leader or a relay.
#[derive(Clone, Debug)]
pub struct Grantor {
    lease: Duration,
    /// Until then, leases granted before this process knew of them may be outstanding.
    unknown_until: BootTime,
    children: BTreeMap<NodeId, Granted>,
}

/// One lease granted to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Granted {
    /// All nodes below it have applied at least this number.
    acked: ConfigNumber,
    /// When the lease has ended everywhere below it.
    ends: BootTime,
}

impl Grantor {
    /// A grantor that has just become one: a full lease may be outstanding everywhere.
    pub fn new(lease: Duration, now: BootTime) -> Grantor {
        Grantor { lease, unknown_until: now + lease, children: BTreeMap::new() }
    }

    /// Grants a lease to `child`, whose nodes have all applied `acked`; `own_remaining` is what is
    /// left of the grantor's own lease. Returns how long the lease lasts; zero is a refusal.
    pub fn grant(
        &mut self,
        child: NodeId,
        acked: ConfigNumber,
        own_remaining: Duration,
        now: BootTime,
    ) -> Duration {
        self.children.retain(|_, granted| granted.ends > now);
        let lasts = self.lease.min(own_remaining);
        if lasts.is_zero() {
            return lasts;
        }
        let before = self.children.get(&child).map_or(BootTime::ZERO, |granted| granted.ends);
        // A renewal that overtook an older one may report less; the lower number is the safe one
        // only while it can still be true, and numbers never fall, so the newest report counts.
        self.children.insert(child, Granted { acked, ends: before.max(now + lasts) });
        lasts
    }

    /// The number that every node below with an unexpired lease has applied; `own` is this node's.
    pub fn floor(&self, own: ConfigNumber, now: BootTime) -> ConfigNumber {
        if now < self.unknown_until {
            return 0;
        }
        let live = self.children.values().filter(|granted| granted.ends > now);
        live.map(|granted| granted.acked).fold(own, ConfigNumber::min)
    }

    /// Nodes with an unexpired lease.
    pub fn children(&self, now: BootTime) -> impl Iterator<Item = NodeId> + '_ {
        self.children.iter().filter(move |(_, granted)| granted.ends > now).map(|(id, _)| *id)
    }
}
