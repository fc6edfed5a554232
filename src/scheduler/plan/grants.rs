//! Grants: what a placement takes from the chosen engine, the stores and the links.

use std::net::SocketAddr;
use std::time::Duration;

use super::{BestEngine, EngineNumber, Scheduler, Ticket};
use crate::clock::BootTime;
use crate::gateway::metadata::Part;
use crate::scheduler::candidate::shared_part_count;
use crate::scheduler::engine::PromptLoad;
use crate::scheduler::engine_cache::PartKey;
use crate::scheduler::messages::{DecisionTrace, Placement, PlacementRequest};
use crate::scheduler::queue::QueuedPrompt;
use crate::scheduler::source::domain_factor;
use crate::scheduler::store::{FETCH_GRANT_TTL, Store};

/// Contexts up to this length are saved to the store with the shortest time to first byte: latency
/// dominates the time of a small fetch.
const SHORT_CONTEXT_TOKENS: u64 = 3_000;

impl Scheduler {
    pub(super) fn grant(
        &mut self,
        best: BestEngine,
        queued: &QueuedPrompt,
        now: BootTime,
    ) -> Placement {
        let BestEngine { number, candidate, salt, keys } = best;
        let request = &queued.request;
        let target =
            self.engines.get(number).map(|engine| engine.listed.start.clone()).unwrap_or_default();
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let shared_parts = shared_part_count(request);
        let mut save = vec![None; request.parts.len()];
        for (index, save_to) in save.iter_mut().enumerate().take(shared_parts) {
            let key = keys[index];
            if let Some(address) = candidate.fetch[index] {
                let is_resident = index < candidate.resident_parts;
                self.grant_fetch(address, key, &request.parts[index], number, is_resident, now);
            }
            if self.stores.values().any(|store| store.contains(key)) {
                self.stores.values_mut().for_each(|store| store.touch(key, now));
            } else {
                *save_to = self.grant_save(key, &salt, index, request, number, now);
            }
        }
        let clock_ms = self.engines_clock_ms(now).unwrap_or_default();
        let limit = self.engines.get(number).and_then(|engine| self.rate_limit(engine, now));
        let resident_or_fetched = candidate.trace.resident_tokens + candidate.trace.fetched_tokens;
        let prefill_tokens = request.prompt_tokens.saturating_sub(resident_or_fetched).max(1);
        let estimator = self.estimators.entry(request.service.clone()).or_default();
        let prefill_time = estimator.prefill_time(prefill_tokens);
        self.queue.competition(&request.service).record_placed(
            request,
            prefill_tokens,
            prefill_time,
            now,
        );
        let weight_version = self.engines.update(number, |engine| {
            if let Some(limit) = limit {
                engine.pacer.record(limit, now);
            }
            for (key, part) in keys.iter().zip(&request.parts) {
                engine.cache.acquire(*key, part.tokens);
            }
            let load = PromptLoad {
                parts: keys,
                prefill_tokens,
                output_tokens: request.output_tokens,
                fetch_time: Duration::from_secs_f64(candidate.fetch_ms / 1e3),
                max_event_gap: request.max_event_gap,
            };
            engine.begin(ticket, load, estimator, now);
            engine.weight_version
        });
        let weight_version = weight_version.flatten();
        let parts = candidate.fetch.iter().zip(&request.parts).skip(candidate.resident_parts);
        let largest = parts.filter(|(store, _)| store.is_some()).max_by_key(|(_, p)| p.tokens);
        let slowest_source = largest
            .and_then(|(store, _)| *store)
            .filter(|_| candidate.fetch_ms > candidate.ahead_ms);
        self.granted.push_back((now, ticket));
        self.tickets.insert(
            ticket,
            Ticket {
                target: target.clone(),
                weight_version,
                since: now,
                last_reached: now,
                slowest_source,
                fetch_ms: candidate.fetch_ms,
                expected_ms: candidate.ahead_ms.max(candidate.fetch_ms) + candidate.after_fetch_ms,
            },
        );
        Placement {
            ticket,
            target,
            salt,
            weight_version,
            fetch: candidate.fetch,
            save,
            fetch_until_ms: clock_ms + FETCH_GRANT_TTL.as_millis() as u64,
            trace: DecisionTrace {
                waited_ms: now.saturating_sub(queued.since).as_millis() as u32,
                ..candidate.trace
            },
        }
    }

    fn grant_fetch(
        &mut self,
        address: SocketAddr,
        key: PartKey,
        part: &Part,
        target: EngineNumber,
        is_resident: bool,
        now: BootTime,
    ) {
        if let Some(store) = self.stores.get_mut(&address) {
            store.grant_fetch(key, now);
        }
        if is_resident {
            return;
        }
        let Some(to) = self.engines.get(target).map(|engine| engine.listed.clone()) else { return };
        let Some(spec) = self.engine_specs.get(&to.service) else { return };
        let size_bytes = (part.tokens * spec.token_bytes) as f64;
        let factor = |from: &str| domain_factor(from, &to.failure_domain);
        let reserved_factor = if let Some(store) = self.stores.get_mut(&address) {
            let factor = factor(&store.spec.failure_domain);
            store.link.reserve(size_bytes, factor, now);
            Some(factor)
        } else {
            let source = self.engines.number_at(&address);
            source.and_then(|source| {
                self.engines.update(source, |source| {
                    let factor = factor(&source.listed.failure_domain);
                    source.link.reserve(size_bytes, factor, now);
                    factor
                })
            })
        };
        if let Some(factor) = reserved_factor {
            self.engines.update(target, |engine| engine.link.reserve(size_bytes, factor, now));
        }
    }

    /// Chooses a store for a part and grants the save. Stores that need not evict anything come
    /// first; among them, the one with the shortest time to first byte for a short context,
    /// otherwise the one with the most free capacity.
    fn grant_save(
        &mut self,
        key: PartKey,
        salt: &str,
        part_index: usize,
        request: &PlacementRequest,
        target: EngineNumber,
        now: BootTime,
    ) -> Option<SocketAddr> {
        self.engines.get(target)?.weight_version?;
        let part = &request.parts[part_index];
        let fits = |store: &&mut Store| {
            request.allowed_domains.contains(&store.spec.failure_domain)
                && store.can_save(key, part.tokens, now)
        };
        let is_short = part.tokens <= SHORT_CONTEXT_TOKENS;
        let store = self.stores.values_mut().filter(fits).min_by_key(|store| {
            let by_time = if is_short { store.spec.first_byte } else { Duration::ZERO };
            let must_free = !store.has_room_for(part.tokens);
            (must_free, by_time, std::cmp::Reverse(store.free_tokens()))
        })?;
        store.grant_save(key, salt, part, now);
        Some(store.spec.address)
    }
}
