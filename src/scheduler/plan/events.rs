//! Events of placements: first tokens and ends correct the state of engines and links.

use std::net::SocketAddr;

use super::{Scheduler, millis};
use crate::clock::BootTime;
use crate::fleet::{FailureCause, Presence};
use crate::ids::TargetStart;
use crate::scheduler::engine::Engine;
use crate::scheduler::messages::{EndReason, PlacementEvent};

impl Scheduler {
    /// Applies an event of a placement.
    pub fn observe(&mut self, event: &PlacementEvent, now: BootTime) {
        match event {
            PlacementEvent::FirstToken { ticket, weight_version, load } => {
                let Some(placement) = self.tickets.get_mut(ticket) else { return };
                let fetched_from = placement.slowest_source.take();
                let (fetch_ms, expected_ms) = (placement.fetch_ms, placement.expected_ms);
                let late_ms = millis(now.saturating_sub(placement.since)) - expected_ms;
                let (target, placed_at) = (placement.target.clone(), placement.since);
                let Some(engine) = self.engines.get(&target) else { return };
                let lateness = self.lateness.entry(engine.listed.service.clone()).or_default();
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
                let Some(engine) = self.engines.get_mut(&target) else { return };
                let estimator = self.estimators.entry(engine.listed.service.clone()).or_default();
                engine.end_prefill(*ticket, estimator, now);
                if let Some(cold_start) = self.cold_starts.get(&engine.listed.service) {
                    engine.coldness.answered(cold_start, placed_at, now);
                }
                if let Some(load) = load {
                    engine.observe_load(*load, now);
                }
                if *weight_version > engine.weight_version {
                    engine.set_weights(*weight_version);
                }
            }
            PlacementEvent::IdleConnectionsLost { target } => {
                self.observe_idle_connections_lost(target, now)
            }
            PlacementEvent::Ended { ticket, end } => {
                let Some(placement) = self.tickets.remove(ticket) else { return };
                let Some(engine) = self.engines.get_mut(&placement.target) else { return };
                engine.end(*ticket, now);
                // Several prompts may have been sent on the same wrong assumption; only the first
                // mismatch counts.
                let is_first_mismatch = engine.weight_version == placement.weight_version;
                let must_query = match end {
                    EndReason::WeightMismatch(None) => is_first_mismatch,
                    // The engine runs older weights than listed. The roster must be corrected, too,
                    // or the engine is never ordered to load newer ones.
                    EndReason::WeightMismatch(reported) => *reported < placement.weight_version,
                    _ => false,
                };
                observe_end(engine, *end, now);
                if let Some(cold_start) = self.cold_starts.get(&engine.listed.service) {
                    match end {
                        EndReason::Unreachable => engine.coldness.may_have_ended(cold_start, now),
                        EndReason::ConnectionLost if engine.connection_lost(now) => {
                            engine.coldness.may_have_ended(cold_start, now)
                        }
                        EndReason::Completed => {
                            engine.coldness.answered(cold_start, placement.since, now)
                        }
                        _ => {}
                    }
                }
                if must_query {
                    self.weights.unverified.insert(placement.target);
                }
            }
        }
    }

    /// Takes an engine for cold that may have restarted while no prompt ran there.
    fn observe_idle_connections_lost(&mut self, target: &TargetStart, now: BootTime) {
        let Some(engine) = self.engines.get_mut(target) else { return };
        if let Some(cold_start) = self.cold_starts.get(&engine.listed.service) {
            engine.coldness.may_have_ended(cold_start, now);
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
        let is_end =
            |(id, engine): &(&TargetStart, &mut Engine)| *id == to || engine.listed.address == from;
        for (_, engine) in self.engines.iter_mut().filter(is_end) {
            engine.link.observe_transfer(expected_ms, took_ms, now);
        }
    }

    /// Ends placements whose entry was lost.
    pub fn expire_tickets(&mut self, now: BootTime) {
        self.engines.values_mut().for_each(|engine| engine.expire_tickets(now));
    }
}

fn observe_end(engine: &mut Engine, end: EndReason, now: BootTime) {
    match end {
        EndReason::Completed => engine.health.record_success(),
        EndReason::Cancelled | EndReason::NotRun => {}
        EndReason::Unreachable => engine.health.record_unreachable(now),
        EndReason::Failed | EndReason::ConnectionLost => {
            engine.health.record_failure(FailureCause::Target, now)
        }
        EndReason::WeightMismatch(version) => engine.set_weights(version),
        EndReason::Replaced => engine.listed.presence = Presence::Leaving,
    }
}
