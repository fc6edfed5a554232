//! Retry budget of one entry: its share of the retries that all entries may make at a service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::ServiceId;

/// Fraction of its share that an entry uses. The rest covers entries it has not heard of yet, and
/// requests whose retries fall into a later window.
const USED_FRACTION: f64 = 0.7;

/// Limit on the retries of all entries at one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    pub window: Duration,
}

/// Whether a retry may be made, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    pub is_granted: bool,
    /// Retries in the current window, including this one if it is granted.
    pub retries: usize,
    /// Retries that this entry may make in the window.
    pub allowed: f64,
    /// Number of entries that share the slack.
    pub entries: u32,
}

/// Counts requests and retries of each service in a sliding window.
///
/// An earlier process of the same entry may have spent its share of the slack just before it ended.
/// The limit counts these retries for a window, so a new process has only the retries that its own
/// requests allow until then.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// When the slack becomes available.
    slack_from: BootTime,
    /// Number of entries that share the slack, including this one.
    entries: u32,
    services: HashMap<ServiceId, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<BootTime>,
    retries: VecDeque<BootTime>,
}

impl RetryBudget {
    /// Creates the budget of one of `entries` entries, whose process starts now.
    pub fn new(limit: RetryLimit, entries: u32, now: BootTime) -> RetryBudget {
        RetryBudget {
            limit,
            slack_from: now + limit.window,
            entries: entries.max(1),
            services: HashMap::new(),
        }
    }

    /// Number of entries that share the budget, including this one.
    pub fn entries(&self) -> u32 {
        self.entries
    }

    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, service: &ServiceId, now: BootTime) {
        self.counts(service, now).requests.push_back(now);
    }

    /// Takes one retry from the budget unless it is exhausted.
    pub fn try_retry(&mut self, service: &ServiceId, now: BootTime) -> RetryDecision {
        let (entries, ratio) = (self.entries, self.limit.ratio);
        let has_slack = now >= self.slack_from;
        let slack = if has_slack { self.limit.slack / f64::from(entries) } else { 0.0 };
        let counts = self.counts(service, now);
        let share = (ratio * counts.requests.len() as f64 + slack) * USED_FRACTION;
        let allowed = if has_slack { share.max(1.0) } else { share };
        let is_granted = counts.retries.len() as f64 + 1.0 <= allowed;
        if is_granted {
            counts.retries.push_back(now);
        }
        RetryDecision { is_granted, retries: counts.retries.len(), allowed, entries }
    }

    fn counts(&mut self, service: &ServiceId, now: BootTime) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::default());
        }
        let since = now.saturating_sub(self.limit.window);
        let counts = self.services.get_mut(service).expect("inserted above");
        drop_before(&mut counts.requests, since);
        drop_before(&mut counts.retries, since);
        counts
    }
}

fn drop_before(times: &mut VecDeque<BootTime>, since: BootTime) {
    while times.front().is_some_and(|time| *time < since) {
        times.pop_front();
    }
}
