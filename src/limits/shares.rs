//! Distributes an account's limit over the nodes: one owner leases shares in proportion to demand.
//!
//! A node without a lease may run a small base share. The owner reserves one for each such node, so
//! that the limit holds over all nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::{AccountId, NodeId};

/// The base shares of all nodes together are the limit divided by this.
const BASE_SHARE_DIVISOR: u32 = 4;

/// Requests of an account that each of `nodes` nodes may run without a lease. At least 1, so the
/// limit can be exceeded if there are more nodes than the limit allows requests.
pub fn base_share(limit: u32, nodes: u32) -> u32 {
    (limit / (BASE_SHARE_DIVISOR * nodes.max(1))).max(1)
}

/// The shares leased by one owner.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    lease_duration: Duration,
    accounts: BTreeMap<AccountId, BTreeMap<NodeId, ShareLease>>,
}

/// The lease of one node on an account's limit.
#[derive(Clone, Copy, Debug)]
struct ShareLease {
    share: u32,
    expires_at: BootTime,
    /// The demand that the node reported.
    demand: u32,
    /// An earlier, larger share and its expiry. The node may use it until then, as the response
    /// with the smaller one may be lost.
    larger_previous: Option<(u32, BootTime)>,
}

/// A node's request for a share of an account's limit.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ShareRequest {
    pub account: AccountId,
    /// Requests of the account that run or wait at the node.
    pub demand: u32,
    /// The account's limit over all nodes.
    pub limit: u32,
    /// Number of live nodes.
    pub nodes: u32,
}

/// A leased share. The lease starts when the node sent its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GrantedShare {
    /// Requests of the account that the node may run at once.
    pub share: u32,
    pub lasts: Duration,
}

impl ShareLease {
    /// The largest share that the node may be using at `now`.
    fn in_use(&self, now: BootTime) -> u32 {
        let previous = self
            .larger_previous
            .filter(|(_, expires_at)| *expires_at > now)
            .map_or(0, |(share, _)| share);
        if self.expires_at > now { self.share.max(previous) } else { previous }
    }

    /// When the current share and the larger earlier one have both expired.
    fn fully_expires_at(&self) -> BootTime {
        self.larger_previous
            .map_or(self.expires_at, |(_, expires_at)| expires_at.max(self.expires_at))
    }

    fn is_expired(&self, now: BootTime) -> bool {
        self.fully_expires_at() <= now
    }
}

impl ShareAllocator {
    /// Creates an owner without leases.
    pub fn new(lease_duration: Duration) -> ShareAllocator {
        ShareAllocator { lease_duration, accounts: BTreeMap::new() }
    }

    pub fn lease_duration(&self) -> Duration {
        self.lease_duration
    }

    /// Leases a share to a node, replacing its previous one. A new owner must not call this until
    /// all leases of its predecessor have expired.
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
        // No node gets more than it asks for, so that later demand can be met.
        let share = proportional.min(request.demand).min(pool.saturating_sub(taken)).max(base);
        let larger = previous
            .map(|p| (p.in_use(now), p.fully_expires_at()))
            .filter(|(used, _)| *used > share);
        let expires_at = now + self.lease_duration;
        leases.insert(
            node,
            ShareLease { share, expires_at, demand: request.demand, larger_previous: larger },
        );
        GrantedShare { share, lasts: self.lease_duration }
    }

    /// Total of the leased shares of an account that may be in use. Base shares of nodes without a
    /// lease are not included.
    pub fn in_use(&self, account: &str, now: BootTime) -> u32 {
        let leases = self.accounts.get(account).into_iter().flat_map(BTreeMap::values);
        leases.map(|leased| leased.in_use(now)).sum()
    }

    pub fn remove_expired(&mut self, now: BootTime) {
        for leases in self.accounts.values_mut() {
            leases.retain(|_, leased| !leased.is_expired(now));
        }
        self.accounts.retain(|_, leases| !leases.is_empty());
    }
}
