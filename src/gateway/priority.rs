//! Priorities of requests.

use serde::{Deserialize, Serialize};

use crate::deployment::{Account, Route};

/// Number of distinct levels each of account and route priority.
const LEVELS: u8 = 10;
/// Number of distinct levels of engines.
const ENGINE_LEVELS: u8 = 10;
/// Number of engine levels between successive account priorities.
const ENGINE_LEVELS_PER_ACCOUNT: u8 = 3;

/// The priority of a request, 0 first: the account's, and the route's among accounts of equal
/// priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Priority {
    account: u8,
    route: u8,
}

impl Priority {
    /// The priority of a request. An account without a priority of its own has the route's.
    pub fn of(account: Option<&Account>, route: &Route) -> Priority {
        let own = account.and_then(|account| account.priority);
        Priority { account: own.unwrap_or(route.priority), route: route.priority }
    }

    /// The level as the scheduler and logs use it, 0 first.
    pub fn scheduler_level(self) -> u8 {
        self.account.min(LEVELS) * LEVELS + self.route.min(LEVELS - 1)
    }

    /// The level as engines use it, from 0 (first) to 9.
    pub fn engine_level(self) -> u8 {
        let route = self.route.min(ENGINE_LEVELS_PER_ACCOUNT - 1);
        let account = self.account.saturating_mul(ENGINE_LEVELS_PER_ACCOUNT);
        account.saturating_add(route).min(ENGINE_LEVELS - 1)
    }
}
