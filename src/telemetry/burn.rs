//! Service-level burn: how fast the error budgets of kinds and accounts are used up.
//!
//! Each series keeps counts in buckets for windows of 5 minutes, 1 hour, 6 hours and 3 days, so
//! that it takes the same small room whatever the traffic.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;

/// Buckets in each window.
const BUCKETS: usize = 12;
/// Windows of the report, shortest first.
pub const WINDOWS: [Window; 4] = [
    Window { name: "5m", length: Duration::from_secs(300) },
    Window { name: "1h", length: Duration::from_secs(3_600) },
    Window { name: "6h", length: Duration::from_secs(6 * 3_600) },
    Window { name: "3d", length: Duration::from_secs(3 * 86_400) },
];
/// Series of one sort that are kept; more share the series `other`.
const MAX_SERIES: usize = 4_096;
const OVERFLOW_SERIES: &str = "other";

/// A window of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Its name.
    pub name: &'static str,
    /// Its length.
    pub length: Duration,
}

/// Requests, and how many of them missed their objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SloCount {
    /// All requests.
    pub total: u64,
    /// Those that were refused, failed, or answered too late.
    pub bad: u64,
    /// The share of requests that may be bad, summed over all requests, so that counts of
    /// kinds with different objectives can be added.
    pub allowed: f64,
}

impl SloCount {
    /// Adds another count.
    pub fn add(&mut self, other: SloCount) {
        self.total += other.total;
        self.bad += other.bad;
        self.allowed += other.allowed;
    }

    /// How many times faster than allowed the budget is used up; 1 uses it up exactly.
    pub fn burn_rate(&self) -> f64 {
        if self.allowed <= 0.0 { 0.0 } else { self.bad as f64 / self.allowed }
    }
}

/// What a request was.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedRequest<'a> {
    /// Its kind.
    pub kind: &'a str,
    /// Its account.
    pub account: &'a str,
    /// The target that answered or failed it last; `None` if it reached none.
    pub target: Option<&'a str>,
    /// Whether it met its objective.
    pub good: bool,
    /// The share of such requests that must be good, of 1.
    pub objective_share: f64,
}

/// Counts of one node.
#[derive(Clone, Debug, Default)]
pub struct BurnCounter {
    kinds: BTreeMap<String, Series>,
    accounts: BTreeMap<String, Series>,
    targets: BTreeMap<String, Series>,
}

/// Counts by window, ready to be sent and added to other nodes'.
pub type WindowCounts = [SloCount; WINDOWS.len()];

/// What a node reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// By kind.
    pub kinds: BTreeMap<String, WindowCounts>,
    /// By account.
    pub accounts: BTreeMap<String, WindowCounts>,
    /// By the target that answered or failed last.
    pub targets: BTreeMap<String, WindowCounts>,
}

impl BurnCounter {
    /// Records a request that ended.
    pub fn record(&mut self, request: FinishedRequest<'_>, now: BootTime) {
        let bad = u64::from(!request.good);
        let count = SloCount { total: 1, bad, allowed: 1.0 - request.objective_share };
        series_mut(&mut self.kinds, request.kind).record(count, now);
        series_mut(&mut self.accounts, request.account).record(count, now);
        if let Some(target) = request.target {
            series_mut(&mut self.targets, target).record(count, now);
        }
    }

    /// Counts of all windows up to `now`.
    pub fn counts(&self, now: BootTime) -> BurnCounts {
        let window_counts = |map: &BTreeMap<String, Series>| {
            map.iter().map(|(name, series)| (name.clone(), series.windows(now))).collect()
        };
        BurnCounts {
            kinds: window_counts(&self.kinds),
            accounts: window_counts(&self.accounts),
            targets: window_counts(&self.targets),
        }
    }
}

impl BurnCounts {
    /// Adds another node's counts.
    pub fn add(&mut self, other: BurnCounts) {
        let pairs = [
            (&mut self.kinds, other.kinds),
            (&mut self.accounts, other.accounts),
            (&mut self.targets, other.targets),
        ];
        for (sums, added) in pairs {
            for (name, windows) in added {
                let sum = sums.entry(name).or_default();
                for (count, added_count) in sum.iter_mut().zip(windows) {
                    count.add(added_count);
                }
            }
        }
    }
}

fn series_mut<'b>(map: &'b mut BTreeMap<String, Series>, name: &str) -> &'b mut Series {
    let name =
        if map.len() >= MAX_SERIES && !map.contains_key(name) { OVERFLOW_SERIES } else { name };
    map.entry(name.to_string()).or_default()
}

/// Buckets of one series for all windows.
#[derive(Clone, Debug, Default)]
struct Series {
    rings: [BucketRing; WINDOWS.len()],
}

/// Buckets of one window. Invariant: bucket `n % BUCKETS` holds period `n` if that is among the
/// last `BUCKETS` up to `newest`, else nothing that counts.
#[derive(Clone, Debug, Default)]
struct BucketRing {
    newest_period: u64,
    buckets: [SloCount; BUCKETS],
}

impl Series {
    fn record(&mut self, count: SloCount, now: BootTime) {
        for (ring, window) in self.rings.iter_mut().zip(WINDOWS) {
            ring.advance_to(period_at(window, now));
            ring.buckets[ring.newest_period as usize % BUCKETS].add(count);
        }
    }

    fn windows(&self, now: BootTime) -> WindowCounts {
        let mut windows = WindowCounts::default();
        for ((sum, ring), window) in windows.iter_mut().zip(&self.rings).zip(WINDOWS) {
            let mut ring = ring.clone();
            ring.advance_to(period_at(window, now));
            ring.buckets.iter().for_each(|bucket| sum.add(*bucket));
        }
        windows
    }
}

impl BucketRing {
    /// Goes on to a period, emptying the buckets of those in between.
    fn advance_to(&mut self, period: u64) {
        if period <= self.newest_period {
            return;
        }
        let elapsed_periods = (period - self.newest_period).min(BUCKETS as u64);
        for offset in 0..elapsed_periods {
            self.buckets[(period - offset) as usize % BUCKETS] = SloCount::default();
        }
        self.newest_period = period;
    }
}

fn period_at(window: Window, now: BootTime) -> u64 {
    let period_ms = window.length.as_millis() as u64 / BUCKETS as u64;
    now.as_millis() as u64 / period_ms
}
