//! Shares of an account's limit: one owner leases them to nodes in proportion to demand.
//!
//! A node without a lease runs a small base of the account's requests. The owner keeps that free for
//! each such node, so the limit holds over all nodes whoever asks.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::{AccountId, NodeId};

/// One part in this many of a limit is the base of all nodes together.
const BASE_SHARE_DIVISOR: u32 = 4;

/// Requests of an account that each of `nodes` nodes may run without a lease. At least 1, so with
/// more nodes than the limit the limit may be passed.
pub fn base_share(limit: u32, nodes: u32) -> u32 {
    (limit / (BASE_SHARE_DIVISOR * nodes.max(1))).max(1)
}

/// Shares that one owner has leased.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    lease_duration: Duration,
    accounts: BTreeMap<AccountId, BTreeMap<NodeId, ShareLease>>,
}

/// What one node may use of an account's limit.
#[derive(Clone, Copy, Debug)]
struct ShareLease {
    share: u32,
    expires_at: BootTime,
    /// What it asked for.
    demand: u32,
    /// A larger larger_previous share: the node uses it until it has the answer with the smaller one,
    /// which may be lost.
    larger_previous: Option<(u32, BootTime)>,
}

/// What a node asks for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShareRequest {
    /// The account.
    pub account: AccountId,
    /// Requests of it that run or wait at the node.
    pub demand: u32,
    /// The account's limit over all nodes.
    pub limit: u32,
    /// Live nodes.
    pub nodes: u32,
}

/// A leased share, counted from when the node asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GrantedShare {
    /// Requests of the account that the node may run at once.
    pub share: u32,
    /// How long.
    pub lasts: Duration,
}

impl ShareLease {
    /// What the node may be using at `now`.
    fn in_use(&self, now: BootTime) -> u32 {
        let previous = self
            .larger_previous
            .filter(|(_, expires_at)| *expires_at > now)
            .map_or(0, |(share, _)| share);
        if self.expires_at > now { self.share.max(previous) } else { previous }
    }

    /// When nothing of it can be in use any more.
    fn fully_expires_at(&self) -> BootTime {
        self.larger_previous
            .map_or(self.expires_at, |(_, expires_at)| expires_at.max(self.expires_at))
    }

    fn is_expired(&self, now: BootTime) -> bool {
        self.fully_expires_at() <= now
    }
}

impl ShareAllocator {
    /// An owner that has leased nothing yet.
    pub fn new(lease_duration: Duration) -> ShareAllocator {
        ShareAllocator { lease_duration, accounts: BTreeMap::new() }
    }

    /// How long a lease lasts.
    pub fn lease_duration(&self) -> Duration {
        self.lease_duration
    }

    /// Leases a share to a node; it replaces the node's larger_previous one. An owner that has just become
    /// one must not call it while leases of an larger_previous owner may be outstanding.
    pub fn grant(&mut self, node: NodeId, request: &ShareRequest, now: BootTime) -> GrantedShare {
        let base = base_share(request.limit, request.nodes);
        let leases = self.accounts.entry(request.account.clone()).or_default();
        leases.retain(|_, leased| !leased.is_expired(now));
        let previous = leases.remove(&node);
        let taken: u32 = leases.values().map(|leased| leased.in_use(now)).sum();
        let reserved = request.nodes.saturating_sub(leases.len() as u32 + 1) * base;
        let pool = request.limit.saturating_sub(reserved);
        let other_demand: u32 = leases.values().map(|leased| leased.demand).sum();
        let total_demand = u64::from(other_demand) + u64::from(request.demand);
        let proportional =
            (u64::from(pool) * u64::from(request.demand) / total_demand.max(1)) as u32;
        // Nobody gets more than it asks for, so that a later demand finds room.
        let share = proportional.min(request.demand).min(pool.saturating_sub(taken)).max(base);
        let larger_previous = previous
            .map(|p| (p.in_use(now), p.fully_expires_at()))
            .filter(|(used, _)| *used > share);
        let expires_at = now + self.lease_duration;
        leases.insert(
            node,
            ShareLease { share, expires_at, demand: request.demand, larger_previous },
        );
        GrantedShare { share, lasts: self.lease_duration }
    }

    /// Shares of an account that may be in use, without those of nodes that hold no lease.
    pub fn in_use(&self, account: &str, now: BootTime) -> u32 {
        let leases = self.accounts.get(account).into_iter().flat_map(BTreeMap::values);
        leases.map(|leased| leased.in_use(now)).sum()
    }

    /// Forgets what has run out.
    pub fn remove_expired(&mut self, now: BootTime) {
        for leases in self.accounts.values_mut() {
            leases.retain(|_, leased| !leased.is_expired(now));
        }
        self.accounts.retain(|_, leases| !leases.is_empty());
    }
}
