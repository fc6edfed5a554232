//! How urgent a request is among others.

use crate::deployment::{Account, Route};

/// Most ranks of one kind that are told apart.
const LEVELS: u8 = 10;
/// Urgencies that engines tell apart, 0 first.
const ENGINE_LEVELS: u8 = 10;
/// Of these, so many lie between one account's rank and the next.
const ENGINE_LEVELS_PER_ACCOUNT: u8 = 3;

/// A rank: the account's goes before the route's, which orders requests of accounts of the same rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    account: u8,
    route: u8,
}

impl Priority {
    /// The rank of a request. An account without a rank of its own has the route's.
    pub fn of(account: Option<&Account>, route: &Route) -> Priority {
        let own = account.and_then(|account| account.priority);
        Priority { account: own.unwrap_or(route.priority), route: route.priority }
    }

    /// As a number, 0 first.
    pub fn scheduler_level(self) -> u8 {
        self.account.min(LEVELS) * LEVELS + self.route.min(LEVELS - 1)
    }

    /// As engines take it, from 0 (first) to 9.
    pub fn engine_level(self) -> u8 {
        let route = self.route.min(ENGINE_LEVELS_PER_ACCOUNT - 1);
        let account = self.account.saturating_mul(ENGINE_LEVELS_PER_ACCOUNT);
        account.saturating_add(route).min(ENGINE_LEVELS - 1)
    }
}
