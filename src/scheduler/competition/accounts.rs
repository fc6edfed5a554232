//! Prompts by account, and what accounts got lately.

use std::collections::{BTreeMap, BTreeSet};

use super::{AccountNumber, Arrival, DECAY_TIME};
use crate::clock::BootTime;

/// Weights are rescaled when they have grown by the exponential function of this.
const MAX_EXPONENT: f64 = 50.0;

/// Prompts by account, each in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountQueues {
    pub(super) by_account: BTreeMap<AccountNumber, BTreeSet<Arrival>>,
    pub(super) by_arrival: BTreeSet<Arrival>,
}

/// A count in which events lose weight with age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayedCount {
    count: f64,
    at: BootTime,
}

/// Prefill time that accounts got, with decay. Instead of reducing all values with time, new ones
/// are entered with growing weights, so that the order of accounts changes only with an entry.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountUse {
    weighted_ms: Vec<f64>,
    epoch: BootTime,
}

impl DecayedCount {
    pub(super) fn add(&mut self, now: BootTime) {
        self.count = self.get(now) + 1.0;
        self.at = now;
    }

    pub(super) fn get(&self, now: BootTime) -> f64 {
        let age = now.saturating_sub(self.at);
        self.count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    pub(super) fn per_s(&self, now: BootTime) -> f64 {
        self.get(now) / DECAY_TIME.as_secs_f64()
    }
}

impl AccountUse {
    pub(super) fn add(&mut self, account: AccountNumber, ms: f64, now: BootTime) {
        let exponent = now.saturating_sub(self.epoch).as_secs_f64() / DECAY_TIME.as_secs_f64();
        if exponent > MAX_EXPONENT {
            let scale = (-exponent).exp();
            self.weighted_ms.iter_mut().for_each(|ms| *ms *= scale);
            self.epoch = now;
            return self.add(account, ms, now);
        }
        let index = account as usize;
        if self.weighted_ms.len() <= index {
            self.weighted_ms.resize(index + 1, 0.0);
        }
        self.weighted_ms[index] += ms * exponent.exp();
    }

    pub(super) fn get(&self, account: AccountNumber) -> f64 {
        self.weighted_ms.get(account as usize).copied().unwrap_or_default()
    }
}

impl AccountQueues {
    pub(super) fn insert(&mut self, account: AccountNumber, arrival: Arrival) {
        self.by_account.entry(account).or_default().insert(arrival);
        self.by_arrival.insert(arrival);
    }

    pub(super) fn remove(&mut self, account: AccountNumber, arrival: Arrival) {
        self.by_arrival.remove(&arrival);
        if let Some(arrivals) = self.by_account.get_mut(&account) {
            arrivals.remove(&arrival);
            if arrivals.is_empty() {
                self.by_account.remove(&account);
            }
        }
    }

    /// The oldest prompt of the account that got the least.
    pub(super) fn next(&self, used: &AccountUse) -> Option<Arrival> {
        let firsts = self
            .by_account
            .iter()
            .filter_map(|(account, arrivals)| Some((used.get(*account), *arrivals.first()?)));
        firsts.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))).map(|(_, arrival)| arrival)
    }

    pub(super) fn oldest(&self) -> Option<Arrival> {
        self.by_arrival.first().copied()
    }
}
