//! Burn rates of the error budgets of request kinds, accounts and targets.
//!
//! The number of series and the number of buckets per series are bounded, so memory use does not grow with traffic.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;

/// Buckets per window.
const BUCKETS: usize = 12;
/// Windows of the report in ascending order of length.
pub const WINDOWS: [Window; 4] = [
    Window { name: "5m", length: Duration::from_secs(300) },
    Window { name: "1h", length: Duration::from_secs(3_600) },
    Window { name: "6h", length: Duration::from_secs(6 * 3_600) },
    Window { name: "3d", length: Duration::from_secs(3 * 86_400) },
];
/// Maximum number of series per dimension; further names share `OVERFLOW_SERIES`.
const MAX_SERIES: usize = 4_096;
const OVERFLOW_SERIES: &str = "other";

/// A window of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    pub name: &'static str,
    pub length: Duration,
}

/// Number of requests, and of those that missed their objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SloCount {
    /// All requests.
    pub total: u64,
    /// Requests that were refused, failed, or were answered too late.
    pub bad: u64,
    /// Error budget: the share of requests that may be bad, summed over all requests, so that counts of kinds with
    /// different objectives can be added.
    pub allowed: f64,
}

impl SloCount {
    /// Adds another count to this one.
    pub fn add(&mut self, other: SloCount) {
        self.total += other.total;
        self.bad += other.bad;
        self.allowed += other.allowed;
    }

    /// Ratio of bad requests to the error budget; 1 uses up the budget exactly.
    pub fn burn_rate(&self) -> f64 {
        if self.allowed <= 0.0 { 0.0 } else { self.bad as f64 / self.allowed }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedRequest<'a> {
    pub kind: &'a str,
    pub account: &'a str,
    /// The last target that answered or failed the request; `None` if it was sent to none.
    pub target: Option<&'a str>,
    /// Whether the request met its objective.
    pub good: bool,
    /// Fraction of requests of this kind that must be good.
    pub objective_share: f64,
}

/// Counts the requests of one node.
#[derive(Clone, Debug, Default)]
pub struct BurnCounter {
    kinds: BTreeMap<String, Series>,
    accounts: BTreeMap<String, Series>,
    targets: BTreeMap<String, Series>,
}

/// Counts by window, in the order of `WINDOWS`.
pub type WindowCounts = [SloCount; WINDOWS.len()];

/// The counts that a node reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnCounts {
    pub kinds: BTreeMap<String, WindowCounts>,
    pub accounts: BTreeMap<String, WindowCounts>,
    /// By the last target that answered or failed the request.
    pub targets: BTreeMap<String, WindowCounts>,
}

impl BurnCounter {
    /// Counts a finished request.
    pub fn record(&mut self, request: FinishedRequest<'_>, now: BootTime) {
        let bad = u64::from(!request.good);
        let count = SloCount { total: 1, bad, allowed: 1.0 - request.objective_share };
        series_mut(&mut self.kinds, request.kind).record(count, now);
        series_mut(&mut self.accounts, request.account).record(count, now);
        if let Some(target) = request.target {
            series_mut(&mut self.targets, target).record(count, now);
        }
    }

    /// The counts of all windows that end at `now`.
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

/// The buckets of one name, for all windows.
#[derive(Clone, Debug, Default)]
struct Series {
    rings: [BucketRing; WINDOWS.len()],
}

/// Ring buffer of the buckets of one window. Bucket `n % BUCKETS` holds period `n`, for the last `BUCKETS` periods
/// up to `newest_period`.
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
    /// Moves on to a later period and resets the buckets that it reuses.
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
