//! The part of the retry limit that the leader grants one by one to entries whose own budget is exhausted.
//!
//! The budget of an entry cannot tell what an earlier process of the same entry has spent, so a process
//! that has just started has no share of the slack. The leader knows what it has granted to all of them.

use std::collections::{HashMap, VecDeque};

use super::budget::{INITIAL_ENTRY_COUNT, RESERVE_FRACTION, RetryLimit};
use crate::clock::BootTime;
use crate::ids::ServiceId;
use crate::log::Term;

/// Counts the retries that one leader has granted in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryReserve {
    limit: RetryLimit,
    /// The term in which this replica leads, and when it began to.
    leading: Option<(Term, BootTime)>,
    granted: HashMap<ServiceId, VecDeque<BootTime>>,
}

/// What the leader knows when it is asked for a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReserveContext {
    /// The term of the confirmed leader.
    pub term: Term,
    /// Whether no deployment had been published when the term began. Entries without a deployment
    /// serve no requests, so no earlier leader has granted a retry.
    pub is_first_service: bool,
    /// Number of entries; `None` if it is not known yet.
    pub entries: Option<u32>,
}

impl RetryReserve {
    /// Creates the reserve of a replica that does not lead.
    pub fn new(limit: RetryLimit) -> RetryReserve {
        RetryReserve { limit, leading: None, granted: HashMap::new() }
    }

    /// Records that this replica leads in a term since `now`.
    pub fn begin_term(&mut self, term: Term, now: BootTime) {
        self.leading = Some((term, now));
        self.granted.clear();
    }

    /// Grants a retry unless the reserve is exhausted. What earlier leaders have granted still counts
    /// for a window, so a new leader grants none until then.
    pub fn try_grant(
        &mut self,
        service: &ServiceId,
        context: ReserveContext,
        now: BootTime,
    ) -> bool {
        let Some((_, since)) = self.leading.filter(|(term, _)| *term == context.term) else {
            return false;
        };
        if !context.is_first_service && now < since + self.limit.window {
            return false;
        }
        let allowed = self.allowed(context.entries);
        let oldest = now.saturating_sub(self.limit.window);
        let granted = self.granted.entry(service.clone()).or_default();
        while granted.pop_front_if(|at| *at < oldest).is_some() {}
        let is_granted = granted.len() as f64 + 1.0 <= allowed;
        if is_granted {
            granted.push_back(now);
        }
        is_granted
    }

    /// Each entry has at least one retry of its own, which the slack must cover as well.
    fn allowed(&self, entries: Option<u32>) -> f64 {
        let slack = self.limit.slack;
        let rest = slack - f64::from(entries.unwrap_or(INITIAL_ENTRY_COUNT));
        (slack * RESERVE_FRACTION).min(rest)
    }
}
