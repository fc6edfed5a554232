//! Load reports as they were some time ago, as engines report them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::upstream::api::LoadReport;

/// Past load reports of an engine.
pub(super) struct LoadSamples {
    /// How old a report is at least when it is read.
    lag: Duration,
    /// Reports in the order in which they were taken. All but the first are younger than `lag`.
    samples: VecDeque<(Instant, LoadReport)>,
}

impl LoadSamples {
    pub(super) fn new(lag: Duration) -> LoadSamples {
        LoadSamples { lag, samples: VecDeque::new() }
    }

    pub(super) fn push(&mut self, report: LoadReport, now: Instant) {
        self.samples.push_back((now, report));
        while self.samples.get(1).is_some_and(|(at, _)| now.duration_since(*at) > self.lag) {
            self.samples.pop_front();
        }
    }

    /// The newest report that is old enough, or else the oldest one; `None` if there is none yet.
    pub(super) fn delayed(&self, now: Instant) -> Option<LoadReport> {
        let is_old_enough = |(at, _): &&(Instant, LoadReport)| now.duration_since(*at) >= self.lag;
        let (at, report) =
            self.samples.iter().rev().find(is_old_enough).or(self.samples.front())?;
        let age_ms = now.duration_since(*at).as_millis() as u64;
        Some(LoadReport { age_ms, ..report.clone() })
    }
}
