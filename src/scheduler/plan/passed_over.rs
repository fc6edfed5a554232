//! Engines that get no prompt while prompts wait for one, and why.

use std::time::Duration;

use super::{Eligibility, MAX_PREFILL_BACKLOG, Scheduler};
use crate::clock::BootTime;
use crate::scheduler::candidate::max_committed_tokens;
use crate::scheduler::engine::Engine;
use crate::scheduler::messages::PlacementRequest;
use crate::telemetry::logs::or_dash;

/// An engine without a placement for this long is passed over. Longer than any prefill.
const PASSED_OVER_AFTER: Duration = Duration::from_secs(1);
/// How often passed over engines are counted and logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Engines of a service that are logged at a time; the others are counted.
const MAX_LOGGED: usize = 12;

/// Why an engine takes no prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PassedOverReason {
    /// It leaves, is evacuated, or lacks what the prompt requires.
    Unsuitable,
    /// It is ejected, or the entry avoids it.
    Unhealthy,
    /// Its rate limit admits none yet.
    Paced,
    /// The prefills placed there take too long.
    Backlog,
    /// It loads weights, or runs ones that are too old.
    Weights,
    /// It may reject one, being brittle.
    Brittle,
    /// All its slots are taken.
    Slots,
    /// Running prompts may need its memory.
    Memory,
    /// Others cost less.
    Cost,
}

impl PassedOverReason {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            PassedOverReason::Unsuitable => "unsuitable",
            PassedOverReason::Unhealthy => "unhealthy",
            PassedOverReason::Paced => "paced",
            PassedOverReason::Backlog => "backlog",
            PassedOverReason::Weights => "weights",
            PassedOverReason::Brittle => "brittle",
            PassedOverReason::Slots => "slots",
            PassedOverReason::Memory => "memory",
            PassedOverReason::Cost => "cost",
        }
    }
}

impl Scheduler {
    /// Engines of a service that were passed over, with the reason in view of a waiting prompt.
    fn passed_over(
        &self,
        request: &PlacementRequest,
        now: BootTime,
    ) -> impl Iterator<Item = (&Engine, PassedOverReason)> {
        let of_service = |engine: &&Engine| engine.listed.service == request.service;
        let engines = self.engines.iter().map(|(_, engine)| engine).filter(of_service);
        let idle = move |engine: &&Engine| engine.placed_at() + PASSED_OVER_AFTER <= now;
        engines.filter(idle).map(move |engine| (engine, self.reason_for(engine, request, now)))
    }

    fn reason_for(
        &self,
        engine: &Engine,
        request: &PlacementRequest,
        now: BootTime,
    ) -> PassedOverReason {
        match self.eligibility(engine, request, now) {
            Eligibility::Unsuitable => return PassedOverReason::Unsuitable,
            Eligibility::Unhealthy => return PassedOverReason::Unhealthy,
            Eligibility::Paced(_) => return PassedOverReason::Paced,
            Eligibility::Busy if engine.prefill_backlog(now) >= MAX_PREFILL_BACKLOG => {
                return PassedOverReason::Backlog;
            }
            Eligibility::Busy if engine.may_be_full(now) => return PassedOverReason::Brittle,
            Eligibility::Busy => return PassedOverReason::Weights,
            Eligibility::Free { .. } => {}
        }
        let slots = engine.listed.slots;
        if slots > 0 && engine.active_placements() >= slots {
            return PassedOverReason::Slots;
        }
        let needed = engine.committed_tokens() + request.prompt_tokens + request.output_tokens;
        match needed > max_committed_tokens(engine) {
            true => PassedOverReason::Memory,
            false => PassedOverReason::Cost,
        }
    }

    /// Counts and logs the engines of a service that are passed over while this prompt waits.
    pub(super) fn report_passed_over(&mut self, request: &PlacementRequest, now: BootTime) {
        let reported_at = self.passed_over_at.entry(request.service.clone()).or_default();
        if now < *reported_at + REPORT_INTERVAL {
            return;
        }
        *reported_at = now;
        let mut reasons = Vec::new();
        for (engine, reason) in self.passed_over(request, now) {
            if reasons.len() < MAX_LOGGED {
                log_engine(engine, reason, now);
            }
            reasons.push(reason);
        }
        if let Some(omitted) = reasons.len().checked_sub(MAX_LOGGED).filter(|omitted| *omitted > 0)
        {
            log::info!("event=engines_passed_over service={} omitted={omitted}", request.service);
        }
        reasons.iter().for_each(|reason| *self.passed_over.entry(*reason).or_default() += 1);
    }
}

fn log_engine(engine: &Engine, reason: PassedOverReason, now: BootTime) {
    let ago_ms = |at: Option<BootTime>| at.map(|at| now.saturating_sub(at).as_millis());
    log::info!(
        "event=engine_passed_over engine={} reason={} since_ms={} placed={} oldest_ms={} unanswered={} \
         committed_tokens={} of={} backlog_ms={} answered_ms={} other_requests={:.1} level={}",
        engine.listed.start,
        reason.name(),
        now.saturating_sub(engine.placed_at()).as_millis(),
        engine.active_placements(),
        or_dash(ago_ms(engine.oldest_placement())),
        engine.unanswered_placements(),
        engine.committed_tokens(),
        engine.capacity_tokens,
        engine.prefill_backlog(now).as_millis(),
        or_dash(ago_ms(engine.answered_at())),
        engine.other_requests(now),
        engine.load_level(),
    );
}
