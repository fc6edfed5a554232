//! Retry budget of one entry: its share of the retries that all entries may make at a service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::ServiceId;

/// Fraction of the retries for its own requests that an entry uses. The rest covers requests whose
/// retries fall into a later window.
const USED_REQUEST_FRACTION: f64 = 0.7;
/// Fraction of its share of the slack that an entry uses. What is left beside the reserve covers entries
/// it has not heard of yet.
const USED_SLACK_FRACTION: f64 = 0.6;
/// Fraction of the slack that the leader grants to entries whose budget is exhausted.
pub(super) const RESERVE_FRACTION: f64 = 0.1;
/// Number of entries that share the slack until a replica reports it.
pub(super) const INITIAL_ENTRY_COUNT: u32 = 16;

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
/// requests allow until then, and those that the leader grants (`RetryReserve`).
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    /// When the slack becomes available.
    slack_from: BootTime,
    /// Entries that share the slack, including this one.
    entries: EntryCount,
    services: HashMap<ServiceId, Counts>,
}

/// The reported number of entries, and the largest one within a window. Retries of entries that have
/// ended still count for a window, so their shares must not pass to the others before.
#[derive(Clone, Debug, Default)]
struct EntryCount {
    latest: Option<u32>,
    /// Earlier numbers that are larger than all later ones, with the time at which each was replaced.
    larger: VecDeque<(u32, BootTime)>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<BootTime>,
    retries: VecDeque<BootTime>,
}

impl RetryBudget {
    /// Creates the budget of a process that starts now.
    pub fn new(limit: RetryLimit, now: BootTime) -> RetryBudget {
        RetryBudget {
            limit,
            slack_from: now + limit.window,
            entries: EntryCount::default(),
            services: HashMap::new(),
        }
    }

    /// Number of entries that share the slack, including this one and those that may have ended
    /// within a window.
    pub fn entries(&self, now: BootTime) -> u32 {
        self.entries.largest_since(now.saturating_sub(self.limit.window))
    }

    /// Records the number of entries that a replica reports.
    pub fn observe_entries(&mut self, entries: u32, now: BootTime) {
        self.entries.observe(entries, now, self.limit.window);
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, service: &ServiceId, now: BootTime) {
        self.counts(service, now).requests.push_back(now);
    }

    /// Takes one retry from the budget unless it is exhausted.
    pub fn try_retry(&mut self, service: &ServiceId, now: BootTime) -> RetryDecision {
        let (entries, ratio) = (self.entries(now), self.limit.ratio);
        let has_slack = now >= self.slack_from;
        let slack = if has_slack { self.limit.slack / f64::from(entries) } else { 0.0 };
        let counts = self.counts(service, now);
        let for_requests = ratio * counts.requests.len() as f64 * USED_REQUEST_FRACTION;
        let share = for_requests + slack * USED_SLACK_FRACTION;
        let allowed = if has_slack { share.max(1.0) } else { share };
        let is_granted = counts.retries.len() as f64 + 1.0 <= allowed;
        if is_granted {
            counts.retries.push_back(now);
        }
        RetryDecision { is_granted, retries: counts.retries.len(), allowed, entries }
    }

    /// Gives back a retry that was taken at `taken_at` and not made. Others may have been taken since.
    pub fn return_retry(&mut self, service: &ServiceId, taken_at: BootTime) {
        let Some(counts) = self.services.get_mut(service) else { return };
        if let Ok(index) = counts.retries.binary_search(&taken_at) {
            counts.retries.remove(index);
        }
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

impl EntryCount {
    fn observe(&mut self, entries: u32, now: BootTime, window: Duration) {
        let entries = entries.max(1);
        self.larger.extend(self.latest.replace(entries).map(|replaced| (replaced, now)));
        while self.larger.pop_back_if(|(count, _)| *count <= entries).is_some() {}
        let since = now.saturating_sub(window);
        while self.larger.pop_front_if(|(_, replaced_at)| *replaced_at < since).is_some() {}
    }

    fn largest_since(&self, since: BootTime) -> u32 {
        let mut held = self.larger.iter().filter(|(_, replaced_at)| *replaced_at >= since);
        let largest = held.next().map(|(count, _)| *count);
        largest.or(self.latest).unwrap_or(INITIAL_ENTRY_COUNT)
    }
}

fn drop_before(times: &mut VecDeque<BootTime>, since: BootTime) {
    while times.front().is_some_and(|time| *time < since) {
        times.pop_front();
    }
}
