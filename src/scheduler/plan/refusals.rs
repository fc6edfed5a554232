//! Refusals: which prompts can't be served while their callers wait, and when these may return.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{PassedOverReason, PlacementError, PlacementResult, Scheduler, retry_spread};
use crate::clock::BootTime;
use crate::scheduler::placement_rate::Supply;
use crate::scheduler::queue::{QueuedPrompt, WaiterId};
use crate::scheduler::return_times::ReturnWindow;

/// An expected wait is taken for this many times as long, since a wait in vain costs the caller all
/// of its patience and a needless refusal only a retry.
const NEW_PROMPT_MARGIN: f64 = 1.25;
/// The same for a prompt that waits already. Smaller, so that a prompt is not admitted and then
/// refused because the measured rate varies.
const WAITING_PROMPT_MARGIN: f64 = 1.0;
/// How often the prospects of waiting prompts are examined anew.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Retry delay while no rate was measured: the time in which one is, up to that in which an
/// ejected engine is tried again.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(700));
/// Shortest retry delay. A caller needs about this to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Callers come back after at most their time left, divided by this.
const TIME_LEFT_DIVISOR: u32 = 3;
/// An ejected engine is counted on if it is tried again within this time. After repeated failures
/// it is ejected for longer, and hardly runs then.
const MAX_RETURN_TIME: Duration = Duration::from_secs(1);
/// Ejected engines that are considered.
const MAX_RETURNS: usize = 64;
/// Refusals of a service that are logged each second; the others are counted.
const MAX_LOGGED_PER_S: u32 = 10;

/// Why a prompt is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// At submission, its turn is not expected while its caller waits.
    Hopeless,
    /// The same, but that turned out while it waited.
    BecameHopeless,
    /// Its caller does not wait any longer.
    Expired,
}

impl RefusalReason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::Hopeless => "hopeless",
            RefusalReason::BecameHopeless => "became_hopeless",
            RefusalReason::Expired => "expired",
        }
    }
}

/// What metrics show of the competition for engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CompetitionReport {
    pub refusals: BTreeMap<(RefusalReason, u8), u64>,
    /// Number of prompts that were placed after they had waited, and their time, by urgency.
    pub waits: BTreeMap<u8, (u64, Duration)>,
    /// Waiting prompts by urgency.
    pub waiting: BTreeMap<u8, usize>,
    /// Seconds in which engines got no prompt while prompts waited, summed over them, by reason.
    pub passed_over_s: BTreeMap<PassedOverReason, u64>,
}

/// Limits the log lines on refusals.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RefusalLog {
    since: BootTime,
    logged: u32,
    omitted: u32,
}

impl Scheduler {
    /// What becomes free for waiting prompts of a service; `None` if that is not known.
    pub(super) fn supply(&self, service: &str, now: BootTime) -> Option<Supply> {
        let engines = self.available_engines(service);
        if let Some(pace) = self.paced.get(service) {
            let per_engine_per_s = pace.requests_per_s / engines.max(1) as f64;
            let starts_in = pace.next_at.saturating_sub(now);
            return Some(Supply {
                per_engine_per_s,
                engines: engines.max(1),
                starts_in,
                ..Supply::default()
            });
        }
        let per_engine_per_s = self.queue.known_competition(service)?.rate.per_engine_per_s()?;
        let unhealthy = self.engines.groups(service).filter(|(group, _)| group.is_unhealthy);
        let numbers = unhealthy.flat_map(|(_, order)| order.levels().flatten());
        let mut returns: Vec<Duration> = numbers
            .take(MAX_RETURNS)
            .filter_map(|(_, number)| self.engines.get(number)?.health.ejected_until())
            .map(|until| until.saturating_sub(now))
            .filter(|returns_in| !returns_in.is_zero() && *returns_in <= MAX_RETURN_TIME)
            .collect();
        returns.sort_unstable();
        Some(Supply { per_engine_per_s, engines, returns, starts_in: Duration::ZERO })
    }

    /// Number of engines that take prompts and are not ejected.
    pub(super) fn available_engines(&self, service: &str) -> usize {
        let healthy = self.engines.groups(service).filter(|(group, _)| !group.is_unhealthy);
        healthy
            .filter(|(group, _)| !self.evacuated.contains(&group.failure_domain))
            .map(|(_, order)| order.len())
            .sum()
    }

    /// Refuses a new prompt at once if its turn is not expected while its caller waits.
    pub(super) fn refuse_hopeless(
        &mut self,
        queued: &QueuedPrompt,
        now: BootTime,
    ) -> Option<PlacementResult> {
        let service = &queued.request.service;
        let is_expired = queued.expires_at() <= now;
        if !is_expired && queued.request.software.is_some() {
            return None;
        }
        let supply = self.supply(service, now);
        let is_hopeless = is_expired
            || supply.as_ref().is_some_and(|supply| {
                let waits = self.queue.has_waiting(service) || !supply.starts_in.is_zero();
                let competition = self.queue.known_competition(service);
                waits
                    && competition.is_some_and(|competition| {
                        let prospect = competition.prospect_of_new(queued, supply, now);
                        !prospect.is_served(queued, NEW_PROMPT_MARGIN, now)
                    })
            });
        is_hopeless.then(|| Err(self.refuse(queued, RefusalReason::Hopeless, supply, now)))
    }

    /// Refuses waiting prompts whose turn is no longer expected while their callers wait.
    pub(super) fn review_waiting(
        &mut self,
        service: &str,
        now: BootTime,
        outcomes: &mut Vec<(WaiterId, PlacementResult)>,
    ) {
        let competition = self.queue.competition(service);
        if now < competition.reviewed_at + REVIEW_INTERVAL {
            return;
        }
        competition.reviewed_at = now;
        let Some(supply) = self.supply(service, now) else { return };
        for waiter in self.queue.hopeless(service, &supply, WAITING_PROMPT_MARGIN, now) {
            let Some(queued) = self.queue.remove(waiter) else { continue };
            let supply = Some(supply.clone());
            let error = self.refuse(&queued, RefusalReason::BecameHopeless, supply, now);
            outcomes.push((waiter, Err(error)));
        }
    }

    /// Refuses a prompt, and tells its caller when to return.
    pub(super) fn refuse(
        &mut self,
        queued: &QueuedPrompt,
        reason: RefusalReason,
        supply: Option<Supply>,
        now: BootTime,
    ) -> PlacementError {
        let request = &queued.request;
        let left = request.time_left.saturating_sub(now.saturating_sub(queued.since));
        let competition = self.queue.competition(&request.service);
        let ahead = competition.ahead_of(request.priority);
        let retry_after = match &supply {
            None => retry_after(queued.waiter),
            Some(supply) => {
                let earliest = now + MIN_RETRY_AFTER;
                let latest = now + (left / TIME_LEFT_DIVISOR).max(MIN_RETRY_AFTER);
                let window = ReturnWindow { now, earliest, latest };
                let random = retry_spread(queued.waiter);
                competition.return_time(request.priority, supply, window, random) - now
            }
        };
        *self.refusals.entry((reason, request.priority)).or_default() += 1;
        let log = self.refusal_logs.entry(request.service.clone()).or_default();
        if let Some(omitted) = log.next(now) {
            let late_by = now.saturating_sub(queued.late_from());
            log::info!(
                "event=prompt_refused service={} priority={} reason={} waited_ms={} \
                 late_by_ms={} ahead={ahead} rate_per_s={:.1} retry_after_ms={} omitted={omitted}",
                request.service,
                request.priority,
                reason.name(),
                now.saturating_sub(queued.since).as_millis(),
                late_by.as_millis(),
                supply.map_or(0.0, |supply| supply.per_s()),
                retry_after.as_millis(),
            );
        }
        match self.paced.contains_key(&request.service) {
            true => PlacementError::Limited(retry_after),
            false => PlacementError::Busy(retry_after),
        }
    }

    /// Counts since the last call, and present lengths, for metrics.
    pub fn take_report(&mut self) -> CompetitionReport {
        CompetitionReport {
            refusals: std::mem::take(&mut self.refusals),
            waits: std::mem::take(&mut self.waits),
            waiting: self.queue.lengths(),
            passed_over_s: std::mem::take(&mut self.passed_over),
        }
    }

    /// Rate at which waiting prompts of a service are placed; `None` if it is not known.
    pub fn placements_per_s(&self, service: &str, now: BootTime) -> Option<f64> {
        self.supply(service, now).map(|supply| supply.per_s())
    }
}

impl RefusalLog {
    /// Whether a refusal is logged; if so, how many were not since the last that was.
    fn next(&mut self, now: BootTime) -> Option<u32> {
        if now >= self.since + Duration::from_secs(1) {
            (self.since, self.logged) = (now, 0);
        }
        if self.logged >= MAX_LOGGED_PER_S {
            self.omitted += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}

/// Retry delay for a refused caller, spread by waiter id to avoid synchronized retries.
fn retry_after(waiter: WaiterId) -> Duration {
    RETRY_AFTER.0 + (RETRY_AFTER.1 - RETRY_AFTER.0).mul_f64(retry_spread(waiter))
}
