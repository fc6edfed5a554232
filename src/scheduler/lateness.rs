//! Recent delay of first tokens beyond what was expected, whatever its cause.

use std::collections::VecDeque;

/// First parts that are looked at: a fifth of a second's at a small site, so that it follows an outage
/// within that time, and enough that the few that come over one slow link are not most of them.
const WINDOW: usize = 21;

/// By how much the last answers were later than expected.
#[derive(Clone, Debug, Default)]
pub struct Lateness {
    recent_ms: VecDeque<f64>,
}

impl Lateness {
    /// Takes by how much an answer was later than expected; below 0 if it was sooner.
    pub fn add(&mut self, late_ms: f64) {
        if self.recent_ms.len() == WINDOW {
            self.recent_ms.pop_front();
        }
        self.recent_ms.push_back(late_ms);
    }

    /// By how much answers are usually late now: the median of the last ones, 0 at the least. What one
    /// answer is late beyond that has a cause of its own.
    pub fn median_ms(&self) -> f64 {
        let mut sorted: Vec<f64> = self.recent_ms.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).map_or(0.0, |median| median.max(0.0))
    }
}
