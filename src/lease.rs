//! Freshness leases: a node admits requests only while it holds a lease, which ensures that its
//! configuration is current.
//!
//! A lease starts when its holder sent the renewal, on the boot clock. A relay grants leases that
//! expire no later than its own, so every lease is covered by one of the leader's.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::{ConfigNumber, NodeId};

/// Leases are shortened by one part in this many, as clocks run at different rates.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Time to replace a lost leader and to get a lease from the new one, in lease durations. On a busy
/// host an election takes longer than a lease.
const RENEWAL_EXPECTED_LEASES: u32 = 2;

/// The lease that this node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldLease {
    /// Never decreases.
    expires_at: BootTime,
}

impl HeldLease {
    /// Whether the lease is valid at `now`.
    pub fn is_fresh(&self, now: BootTime) -> bool {
        now < self.expires_at
    }

    /// Time until the lease expires.
    pub fn remaining(&self, now: BootTime) -> Duration {
        self.expires_at.saturating_sub(now)
    }

    /// Until when a lapsed lease is likely to be renewed. A node without a lease for longer is probably
    /// isolated.
    pub fn renewal_expected_until(&self, lease_duration: Duration) -> BootTime {
        self.expires_at + lease_duration * RENEWAL_EXPECTED_LEASES
    }

    /// Applies a grant in response to the renewal sent at `sent_at`.
    pub fn extend(&mut self, sent_at: BootTime, duration: Duration) {
        let drift_adjusted = duration - duration / CLOCK_DRIFT_DIVISOR;
        self.expires_at = self.expires_at.max(sent_at + drift_adjusted);
    }
}

/// Leases granted to other nodes by the leader or a relay.
#[derive(Clone, Debug)]
pub struct LeaseGrantor {
    lease_duration: Duration,
    /// Until this time, leases granted by a predecessor may still be valid.
    unknown_leases_until: BootTime,
    children: BTreeMap<NodeId, GrantedLease>,
}

/// A lease granted to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GrantedLease {
    /// The node and all nodes below it have applied at least this number.
    acked: ConfigNumber,
    /// When the lease has expired on the node and all nodes below it.
    expires_at: BootTime,
}

impl LeaseGrantor {
    /// Creates a new grantor. Its predecessor may have just granted a full lease to any node.
    pub fn new(lease_duration: Duration, now: BootTime) -> LeaseGrantor {
        LeaseGrantor {
            lease_duration,
            unknown_leases_until: now + lease_duration,
            children: BTreeMap::new(),
        }
    }

    /// Grants a lease to `child`; `acked` has been applied by `child` and all nodes below it, and
    /// `own_remaining` is what is left of the grantor's own lease. Returns the duration of the
    /// lease; zero means that it was refused.
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
        // Renewals may arrive out of order, so `acked` may decrease here. That is safe: applied
        // numbers never decrease, so an older report only understates them.
        self.children
            .insert(child, GrantedLease { acked, expires_at: previous_expiry.max(now + duration) });
        duration
    }

    /// The configuration number that all nodes with a valid lease have applied, or 0 if that is
    /// unknown; `own` is the number of this node.
    pub fn min_acked(&self, own: ConfigNumber, now: BootTime) -> ConfigNumber {
        if now < self.unknown_leases_until {
            return 0;
        }
        let live = self.children.values().filter(|granted| granted.expires_at > now);
        live.map(|granted| granted.acked).fold(own, ConfigNumber::min)
    }

    /// Nodes with a valid lease.
    pub fn children(&self, now: BootTime) -> impl Iterator<Item = NodeId> + '_ {
        self.children.iter().filter(move |(_, granted)| granted.expires_at > now).map(|(id, _)| *id)
    }
}
