//! What targets bear while they are cold, limit their rate or are brittle, and whether an entry that
//! decides for itself may send them a request.

use std::time::Duration;

use super::{FleetView, TargetState};
use crate::clock::BootTime;
use crate::fleet::cold::ColdStart;
use crate::fleet::rate::{IndependentShare, RateLimit};
use crate::ids::TargetStart;

/// How long a brittle target that may be full gets no request of this entry.
const ROOM_WAIT: Duration = Duration::from_millis(100);

impl FleetView {
    /// What a target bears now; `None` if it is not cold.
    pub fn cold_limit(&self, state: TargetState<'_>, now: BootTime) -> Option<&ColdStart> {
        let cold_start = self.cold_starts.get(&state.listed.service)?;
        let domain = &state.listed.failure_domain;
        let is_cold = state.coldness().is_cold(now)
            || self.evacuated.was_restored(domain, cold_start.duration, now);
        is_cold.then_some(cold_start)
    }

    /// Whether this entry may send a request that no scheduler places to a target now.
    pub fn admits_independent(
        &self,
        state: TargetState<'_>,
        is_prompt: bool,
        share: &IndependentShare,
        now: BootTime,
    ) -> bool {
        if self.wait_for_room(state, share, now).is_some() {
            return false;
        }
        let limit = self.independent_limit(state, is_prompt, now);
        let used = state.usage.share_use;
        limit.is_none_or(|limit| share.admits(&state.listed.start, limit, used, now))
    }

    /// How long this entry sends no request to a brittle target, which has rejected one or may be full;
    /// `None` if it may send one.
    pub fn wait_for_room(
        &self,
        state: TargetState<'_>,
        share: &IndependentShare,
        now: BootTime,
    ) -> Option<Duration> {
        let brittleness = &state.usage.brittleness;
        if let Some(closed_for) = brittleness.closed_for(now) {
            return Some(closed_for);
        }
        let max_requests = brittleness.max_requests(state.listed.slots, now)?;
        let is_full = state.running >= max_requests.div_ceil(share.entries.max(1))
            || state.load(now) >= f64::from(max_requests);
        is_full.then_some(ROOM_WAIT)
    }

    /// What a target takes now of all entries together that decide for themselves; `None` if that
    /// is not limited. The scheduler uses the whole rate of cold engines.
    pub fn independent_limit(
        &self,
        state: TargetState<'_>,
        is_prompt: bool,
        now: BootTime,
    ) -> Option<RateLimit> {
        let cold = self.cold_limit(state, now).map(|cold_start| match is_prompt {
            true => RateLimit::ZERO,
            false => cold_start.independent_limit(),
        });
        let named = state.usage.named_limit.independent_limit(is_prompt);
        let after_rejection = state.usage.brittleness.rate_limit(now);
        cold.into_iter().chain(named).chain(after_rejection).reduce(RateLimit::min)
    }

    /// Records the rate limit that an answer to a request sent at `sent_at` names. Returns whether
    /// it begins, changes or ends.
    pub fn observe_limit(
        &mut self,
        target: &TargetStart,
        named: Option<RateLimit>,
        sent_at: BootTime,
        now: BootTime,
    ) -> bool {
        let usage = self.usage_mut(target);
        usage.is_some_and(|usage| usage.named_limit.answered(named, sent_at, now))
    }

    /// Records a rate limit, or its end, that another process observed at `at`.
    pub fn told_limit(&mut self, target: &TargetStart, limit: Option<RateLimit>, at: BootTime) {
        if let Some(usage) = self.usage_mut(target) {
            usage.named_limit.told(limit, at);
        }
    }

    /// Targets that name a rate limit, with that limit and when it was last observed.
    pub fn limited(&self) -> impl Iterator<Item = (&TargetStart, RateLimit, BootTime)> {
        self.used.iter().filter_map(|(start, usage)| {
            let known = &usage.named_limit;
            Some((start, known.get()?, known.observed_at()))
        })
    }

    /// Records the rejections that a target bears by an answer to a request sent at `sent_at`. Returns
    /// whether its brittleness begins, changes or ends.
    pub fn observe_brittleness(
        &mut self,
        target: &TargetStart,
        bears: Option<RateLimit>,
        sent_at: BootTime,
        now: BootTime,
    ) -> bool {
        let usage = self.usage_mut(target);
        usage.is_some_and(|usage| usage.brittleness.answered(bears, sent_at, now))
    }

    /// Records what another process observed at `at`.
    pub fn told_brittleness(
        &mut self,
        target: &TargetStart,
        bears: Option<RateLimit>,
        at: BootTime,
    ) {
        if let Some(usage) = self.usage_mut(target) {
            usage.brittleness.told(bears, at);
        }
    }

    /// Records that a target rejected a request of this entry. Returns how many others it held if it is
    /// brittle.
    pub fn rejected(&mut self, target: &TargetStart, now: BootTime) -> Option<u32> {
        let usage = self.usage_mut(target)?;
        usage.brittleness.bears()?;
        // The rejected request is still counted.
        let held = (usage.load(now) as u32).saturating_sub(1);
        usage.brittleness.rejected(held, now);
        Some(held)
    }

    /// Records that a brittle target rejected a request of another process at `at`.
    pub fn told_rejection(&mut self, target: &TargetStart, held: u32, at: BootTime) {
        if let Some(usage) = self.usage_mut(target) {
            usage.brittleness.rejected(held, at);
        }
    }

    /// Brittle targets, with the rejections that they bear and when that was last observed.
    pub fn brittle(&self) -> impl Iterator<Item = (&TargetStart, RateLimit, BootTime)> {
        self.used.iter().filter_map(|(start, usage)| {
            let known = &usage.brittleness;
            Some((start, known.bears()?, known.observed_at()))
        })
    }

    /// Records a request that no scheduler placed.
    pub fn record_independent(
        &mut self,
        target: &TargetStart,
        share: &IndependentShare,
        now: BootTime,
    ) {
        if let Some(usage) = self.usage_mut(target) {
            share.record(&mut usage.share_use, now);
        }
    }
}
