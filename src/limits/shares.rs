//! Shares of an account's limit: one owner leases them to nodes in proportion to demand.
//!
//! A node without a lease runs a small base of the account's requests. The owner keeps that free for
//! each such node, so the limit holds over all nodes whoever asks.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::{AccountId, NodeId};

/// One part in this many of a limit is the base of all nodes together.
const BASE_PART: u32 = 4;

/// Requests of an account that each of `nodes` nodes may run without a lease. At least 1, so with
/// more nodes than the limit the limit may be passed.
pub fn base(limit: u32, nodes: u32) -> u32 {
    (limit / (BASE_PART * nodes.max(1))).max(1)
}

/// Shares that one owner has leased.
#[derive(Clone, Debug)]
pub struct Shares {
    lease: Duration,
    accounts: BTreeMap<AccountId, BTreeMap<NodeId, Leased>>,
}

/// What one node may use of an account's limit.
#[derive(Clone, Copy, Debug)]
struct Leased {
    share: u32,
    ends: BootTime,
    /// What it asked for.
    demand: u32,
    /// A larger earlier share: the node uses it until it has the answer with the smaller one,
    /// which may be lost.
    earlier: Option<(u32, BootTime)>,
}

/// What a node asks for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Demand {
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
pub struct Share {
    /// Requests of the account that the node may run at once.
    pub share: u32,
    /// How long.
    pub lasts: Duration,
}

impl Leased {
    /// What the node may be using at `now`.
    fn in_use(&self, now: BootTime) -> u32 {
        let earlier = self.earlier.filter(|(_, ends)| *ends > now).map_or(0, |(share, _)| share);
        if self.ends > now { self.share.max(earlier) } else { earlier }
    }

    /// When nothing of it can be in use any more.
    fn all_end(&self) -> BootTime {
        self.earlier.map_or(self.ends, |(_, ends)| ends.max(self.ends))
    }

    fn is_over(&self, now: BootTime) -> bool {
        self.all_end() <= now
    }
}

impl Shares {
    /// An owner that has leased nothing yet.
    pub fn new(lease: Duration) -> Shares {
        Shares { lease, accounts: BTreeMap::new() }
    }

    /// How long a lease lasts.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Leases a share to a node; it replaces the node's earlier one. An owner that has just become
    /// one must not call it while leases of an earlier owner may be outstanding.
    pub fn ask(&mut self, node: NodeId, ask: &Demand, now: BootTime) -> Share {
        let base = base(ask.limit, ask.nodes);
        let leases = self.accounts.entry(ask.account.clone()).or_default();
        leases.retain(|_, leased| !leased.is_over(now));
        let before = leases.remove(&node);
        let taken: u32 = leases.values().map(|leased| leased.in_use(now)).sum();
        let without = ask.nodes.saturating_sub(leases.len() as u32 + 1) * base;
        let pool = ask.limit.saturating_sub(without);
        let others: u32 = leases.values().map(|leased| leased.demand).sum();
        let all = u64::from(others) + u64::from(ask.demand);
        let fair = (u64::from(pool) * u64::from(ask.demand) / all.max(1)) as u32;
        // Nobody gets more than it asks for, so that a later demand finds room.
        let share = fair.min(ask.demand).min(pool.saturating_sub(taken)).max(base);
        let larger = before.map(|b| (b.in_use(now), b.all_end())).filter(|(used, _)| *used > share);
        let ends = now + self.lease;
        leases.insert(node, Leased { share, ends, demand: ask.demand, earlier: larger });
        Share { share, lasts: self.lease }
    }

    /// Shares of an account that may be in use, without those of nodes that hold no lease.
    pub fn in_use(&self, account: &str, now: BootTime) -> u32 {
        let leases = self.accounts.get(account).into_iter().flat_map(BTreeMap::values);
        leases.map(|leased| leased.in_use(now)).sum()
    }

    /// Forgets what has run out.
    pub fn forget(&mut self, now: BootTime) {
        for leases in self.accounts.values_mut() {
            leases.retain(|_, leased| !leased.is_over(now));
        }
        self.accounts.retain(|_, leases| !leases.is_empty());
    }
}
