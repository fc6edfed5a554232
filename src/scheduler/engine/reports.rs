//! What engines report of themselves, and when they were last heard of.

use std::time::Duration;

use super::{Engine, RunningPrompt};
use crate::clock::BootTime;
use crate::gateway::metadata::TargetLoad;
use crate::scheduler::messages::TicketId;
use crate::scheduler::prefill::PrefillEstimator;

/// The influence of a reported load decays linearly to zero within this time: about how long a
/// prompt runs.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(800);
/// A placement reaches its engine within this time, and the engine's report of it the scheduler.
const MAX_TRANSIT: Duration = Duration::from_secs(1);
/// An engine with placements is expected to be heard of within this time. First tokens and ends are more frequent.
const UNHEARD_AFTER: Duration = Duration::from_secs(1);

impl Engine {
    /// Records the load that an answer reports.
    pub(super) fn observe_load(
        &mut self,
        load: TargetLoad,
        estimator: &mut PrefillEstimator,
        now: BootTime,
    ) {
        if let Some(percent) = load.work_time_percent {
            self.speed.observe_figure(percent, &mut estimator.speed, now);
        }
        let reported = load.running + load.waiting;
        self.end_unreported(reported, now);
        self.reported_load = Some((reported.saturating_sub(self.running.len() as u32), now));
    }

    /// Ends the oldest placements if the engine has fewer requests than must have reached it.
    fn end_unreported(&mut self, reported: u32, now: BootTime) {
        let has_arrived =
            |(_, running): &(&TicketId, &RunningPrompt)| running.since + MAX_TRANSIT <= now;
        let arrived = self.running.iter().filter(has_arrived);
        let mut arrived: Vec<(BootTime, TicketId)> =
            arrived.map(|(ticket, running)| (running.since, *ticket)).collect();
        let ended = arrived.len().saturating_sub(reported as usize);
        arrived.sort_unstable();
        arrived[..ended].iter().for_each(|(_, ticket)| self.end(*ticket, now));
    }

    /// Records an answer, which shows that the engine can be reached, whatever entries have reported
    /// that can't reach it.
    pub fn answered(&mut self, now: BootTime) {
        self.answered_at = Some(now);
        self.health.record_reached();
    }

    /// Whether it has answered an entry after `since`.
    pub fn has_answered_since(&self, since: BootTime) -> bool {
        self.answered_at.is_some_and(|at| at > since)
    }

    /// Whether nothing was placed here or reported of it for a while, so that placements may have ended unnoticed.
    pub fn is_unheard(&self, now: BootTime) -> bool {
        self.placed_at.max(self.answered_at.unwrap_or_default()) + UNHEARD_AFTER <= now
    }

    /// When a prompt was last placed here.
    pub fn placed_at(&self) -> BootTime {
        self.placed_at
    }

    /// When the oldest prompt was placed that has not ended.
    pub fn oldest_placement(&self) -> Option<BootTime> {
        self.running.values().map(|running| running.since).min()
    }

    /// Number of prompts placed here of which no first token was reported.
    pub fn unanswered_placements(&self) -> usize {
        self.running.values().filter(|running| running.prefill.is_some()).count()
    }

    /// When an entry last reported an answer.
    pub fn answered_at(&self) -> Option<BootTime> {
        self.answered_at
    }

    /// Estimated number of requests that this scheduler did not place here, running or queued.
    pub fn other_requests(&self, now: BootTime) -> f64 {
        self.reported_load.map_or(0.0, |(other_requests, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            f64::from(other_requests) * (1.0 - age / REPORTED_LOAD_TTL.as_secs_f64()).max(0.0)
        })
    }

    /// Estimated number of requests that run or wait there.
    pub fn request_count(&self, now: BootTime) -> u32 {
        self.active_placements() + self.other_requests(now).round() as u32
    }

    /// Whether it is brittle and may have no room for another prompt.
    pub fn may_be_full(&self, now: BootTime) -> bool {
        let max_requests = self.brittleness.max_requests(self.listed.slots, now);
        max_requests.is_some_and(|max| self.request_count(now) >= max)
    }
}
