//! Recent delay of first tokens beyond the expected time, whatever its cause.

use std::collections::VecDeque;

/// Number of recent answers considered. Few enough to follow an outage within a fraction of a
/// second, enough that answers fetched over one slow link stay a minority.
const WINDOW: usize = 21;

/// Delays of the most recent answers.
#[derive(Clone, Debug, Default)]
pub struct Lateness {
    recent_ms: VecDeque<f64>,
}

impl Lateness {
    /// Adds the delay of an answer; negative if it came early.
    pub fn add(&mut self, late_ms: f64) {
        if self.recent_ms.len() == WINDOW {
            self.recent_ms.pop_front();
        }
        self.recent_ms.push_back(late_ms);
    }

    /// Median of the recent delays, at least 0. Whatever one answer is late beyond it has a cause
    /// of its own.
    pub fn median_ms(&self) -> f64 {
        let mut sorted: Vec<f64> = self.recent_ms.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).map_or(0.0, |median| median.max(0.0))
    }
}
