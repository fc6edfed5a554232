//! Events of placements: first tokens and ends correct the state of engines and links.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Scheduler, Ticket, millis};
use crate::clock::BootTime;
use crate::fleet::FailureCause;
use crate::fleet::cold::ColdStart;
use crate::fleet::news::{TargetEvent, TargetNews};
use crate::fleet::speed::FIGURE_TTL;
use crate::ids::TargetStart;
use crate::scheduler::engine::Engine;
use crate::scheduler::messages::{EndReason, PlacementEvent, TicketId};

/// A placement that has not ended after this time has lost its entry.
const TICKET_TTL: Duration = Duration::from_secs(20);

impl Scheduler {
    /// Applies an event of a placement.
    pub fn observe(&mut self, event: &PlacementEvent, now: BootTime) {
        match event {
            PlacementEvent::FirstToken { ticket, weight_version, load, rate_limit } => {
                let Some(placement) = self.tickets.get_mut(ticket) else { return };
                let fetched_from = placement.slowest_source.take();
                let (fetch_ms, expected_ms) = (placement.fetch_ms, placement.expected_ms);
                let late_ms = millis(now.saturating_sub(placement.since)) - expected_ms;
                let (target, placed_at) = (placement.target.clone(), placement.since);
                placement.last_reached = now;
                let Some(engine) = self.engines.get_by_start(&target) else { return };
                let service = engine.listed.service.clone();
                let lateness = self.lateness.entry(service.clone()).or_default();
                let own_late_ms = late_ms - lateness.median_ms();
                lateness.add(late_ms);
                if let Some(address) = fetched_from {
                    self.observe_fetch_time(
                        address,
                        &target,
                        fetch_ms,
                        fetch_ms + own_late_ms,
                        now,
                    );
                }
                let estimator = self.estimators.entry(service.clone()).or_default();
                let cold_start = self.cold_starts.get(&service);
                self.engines.update_by_start(&target, |engine| {
                    engine.answered(now);
                    engine.first_token(*ticket, *load, estimator, now);
                    if let Some(cold_start) = cold_start {
                        engine.coldness.answered(cold_start, placed_at, now);
                    }
                    engine.named_limit.answered(*rate_limit, placed_at, now);
                    if *weight_version > engine.weight_version {
                        engine.set_weights(*weight_version);
                    }
                });
                if let Some(number) = self.engines.number(&target)
                    && self.engines.get(number).is_some_and(Engine::is_rated_slow)
                {
                    self.rated_slow.push_back((now + FIGURE_TTL, number));
                }
            }
            PlacementEvent::IdleConnectionsLost { target } => self.may_have_restarted(target, now),
            PlacementEvent::News(news) => self.observe_news(news, now),
            PlacementEvent::Ended { ticket, end } => {
                let Some(placement) = self.tickets.remove(ticket) else { return };
                self.end_placement(*ticket, placement, *end, now);
            }
        }
    }

    /// Orders engines anew whose figures have lost their value. An engine that is ordered after all
    /// others gets no prompt, which would show that it has recovered.
    pub(super) fn expire_figures(&mut self, now: BootTime) {
        while let Some((_, number)) = self.rated_slow.pop_front_if(|(at, _)| *at <= now) {
            let service = self.engines.get(number).map(|engine| &engine.listed.service);
            let estimator = service.and_then(|service| self.estimators.get(service));
            if let Some(estimator) = estimator {
                self.engines.update(number, |engine| engine.update_relative_factor(estimator, now));
            }
        }
    }

    fn end_placement(&mut self, id: TicketId, placement: Ticket, end: EndReason, now: BootTime) {
        let cold_starts = &self.cold_starts;
        let must_query = self.engines.update_by_start(&placement.target, |engine| {
            engine.end(id, now);
            // Several prompts may have been sent on the same wrong assumption; only the first
            // mismatch counts.
            let is_first_mismatch = engine.weight_version == placement.weight_version;
            let was_unhealthy = engine.health.is_unhealthy();
            if end == EndReason::Unreachable && engine.has_answered_since(placement.last_reached) {
                // The entry has lost its path to the engine, which answers others.
                return false;
            }
            observe_end(engine, end, now);
            if engine.health.is_unhealthy() && !was_unhealthy {
                log::info!("event=engine_ejected engine={} end={}", placement.target, end.name());
            }
            if let Some(cold_start) = cold_starts.get(&engine.listed.service) {
                observe_cold_start(engine, cold_start, end, placement.since, now);
            }
            match end {
                EndReason::WeightMismatch(None) => is_first_mismatch,
                // The engine runs older weights than listed. The roster must be corrected, too,
                // or the engine is never ordered to load newer ones.
                EndReason::WeightMismatch(reported) => reported < placement.weight_version,
                _ => false,
            }
        });
        if end == EndReason::Replaced {
            self.suspended.insert(placement.target.clone());
        }
        if must_query == Some(true) {
            self.weights.unverified.insert(placement.target);
        }
    }

    /// Takes an engine for cold that may have restarted at `at`.
    pub fn may_have_restarted(&mut self, target: &TargetStart, at: BootTime) {
        let cold_starts = &self.cold_starts;
        self.engines.update_by_start(target, |engine| {
            if let Some(cold_start) = cold_starts.get(&engine.listed.service) {
                engine.coldness.may_have_ended(cold_start, at);
            }
        });
    }

    /// Applies news of a target.
    pub fn observe_news(&mut self, news: &TargetNews, now: BootTime) {
        let at = now.saturating_sub(news.age);
        match news.event {
            TargetEvent::MayHaveRestarted => self.may_have_restarted(&news.target, at),
            TargetEvent::RateLimit(limit) => {
                self.engines
                    .update_by_start(&news.target, |engine| engine.named_limit.told(limit, at));
            }
            TargetEvent::Brittle(bears) => {
                self.engines
                    .update_by_start(&news.target, |engine| engine.brittleness.told(bears, at));
            }
            TargetEvent::Rejected { held } => {
                self.engines
                    .update_by_start(&news.target, |engine| engine.brittleness.rejected(held, at));
            }
        }
    }

    /// Applies a measured fetch time to the links at both ends, since either may be the slow one.
    fn observe_fetch_time(
        &mut self,
        from: SocketAddr,
        to: &TargetStart,
        expected_ms: f64,
        took_ms: f64,
        now: BootTime,
    ) {
        if let Some(store) = self.stores.get_mut(&from) {
            store.link.observe_transfer(expected_ms, took_ms, now);
        }
        let ends = [self.engines.number(to), self.engines.number_at(&from)];
        for number in ends.into_iter().flatten() {
            self.engines.update(number, |engine| {
                engine.link.observe_transfer(expected_ms, took_ms, now);
            });
        }
    }

    /// Ends placements whose entry was lost.
    pub fn expire_tickets(&mut self, now: BootTime) {
        let is_lost =
            |(since, _): &mut (BootTime, TicketId)| now.saturating_sub(*since) > TICKET_TTL;
        while let Some((_, ticket)) = self.granted.pop_front_if(is_lost) {
            if let Some(placement) = self.tickets.remove(&ticket) {
                self.engines.update_by_start(&placement.target, |engine| engine.end(ticket, now));
            }
        }
    }
}

fn observe_cold_start(
    engine: &mut Engine,
    cold_start: &ColdStart,
    end: EndReason,
    placed_at: BootTime,
    now: BootTime,
) {
    match end {
        EndReason::Unreachable => engine.coldness.may_have_ended(cold_start, now),
        EndReason::ConnectionLost if engine.connection_lost(now) => {
            engine.coldness.may_have_ended(cold_start, now)
        }
        EndReason::Completed => engine.coldness.answered(cold_start, placed_at, now),
        _ => {}
    }
}

fn observe_end(engine: &mut Engine, end: EndReason, now: BootTime) {
    match end {
        EndReason::Completed => {
            engine.answered(now);
            engine.health.record_success();
        }
        EndReason::Cancelled | EndReason::NotRun => {}
        EndReason::Rejected => engine.brittleness.rejected(engine.request_count(now), now),
        EndReason::Unreachable => engine.health.record_unreachable(now),
        EndReason::Failed => engine.health.record_failure(FailureCause::Target, now),
        EndReason::ConnectionLost => engine.health.record_failure(FailureCause::Connection, now),
        EndReason::WeightMismatch(version) => engine.set_weights(version),
        EndReason::Replaced => engine.mark_leaving(),
    }
}
