//! Grants: what a placement takes from the chosen engine, the stores and the links.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Scheduler, Ticket};
use crate::clock::BootTime;
use crate::gateway::metadata::Part;
use crate::ids::TargetStart;
use crate::scheduler::candidate::{Candidate, shared_part_count};
use crate::scheduler::engine::{Engine, PromptLoad};
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
        target: TargetStart,
        candidate: Candidate,
        salt: String,
        keys: Vec<PartKey>,
        queued: &QueuedPrompt,
        now: BootTime,
    ) -> Placement {
        let request = &queued.request;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let shared_parts = shared_part_count(request);
        let mut save = vec![None; request.parts.len()];
        for (index, save_to) in save.iter_mut().enumerate().take(shared_parts) {
            let key = keys[index];
            if let Some(address) = candidate.fetch[index] {
                let is_resident = index < candidate.resident_parts;
                self.grant_fetch(address, key, &request.parts[index], &target, is_resident, now);
            }
            if self.stores.values().any(|store| store.contains(key)) {
                self.stores.values_mut().for_each(|store| store.touch(key, now));
            } else {
                *save_to = self.grant_save(key, &salt, index, request, &target, now);
            }
        }
        let clock_ms = self.engines_clock_ms(now).unwrap_or_default();
        let mut weight_version = None;
        let cold_limit = self.engines.get(&target).and_then(|engine| self.cold_limit(engine, now));
        if let Some(engine) = self.engines.get_mut(&target) {
            if let Some(cold_start) = cold_limit {
                engine.pacer.record(&cold_start, now);
            }
            weight_version = engine.weight_version;
            for (key, part) in keys.iter().zip(&request.parts) {
                engine.cache.acquire(*key, part.tokens);
            }
            let resident_or_fetched =
                candidate.trace.resident_tokens + candidate.trace.fetched_tokens;
            let load = PromptLoad {
                parts: keys,
                prefill_tokens: request.prompt_tokens.saturating_sub(resident_or_fetched).max(1),
                output_tokens: request.output_tokens,
                fetch_time: Duration::from_secs_f64(candidate.fetch_ms / 1e3),
            };
            let estimator = self.estimators.entry(request.service.clone()).or_default();
            engine.begin(ticket, load, estimator, now);
        }
        let parts = candidate.fetch.iter().zip(&request.parts).skip(candidate.resident_parts);
        let largest = parts.filter(|(store, _)| store.is_some()).max_by_key(|(_, p)| p.tokens);
        let slowest_source = largest
            .and_then(|(store, _)| *store)
            .filter(|_| candidate.fetch_ms > candidate.ahead_ms);
        self.tickets.insert(
            ticket,
            Ticket {
                target: target.clone(),
                weight_version,
                since: now,
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
        target: &TargetStart,
        is_resident: bool,
        now: BootTime,
    ) {
        let Some(to) = self.engines.get(target).map(|engine| engine.listed.clone()) else { return };
        let Some(spec) = self.engine_specs.get(&to.service) else { return };
        let size_bytes = (part.tokens * spec.token_bytes) as f64;
        let is_source = |engine: &&mut Engine| engine.listed.address == address;
        let (link, from_domain) = if let Some(store) = self.stores.get_mut(&address) {
            store.grant_fetch(key, now);
            (&mut store.link, &store.spec.failure_domain)
        } else if let Some(source) = self.engines.values_mut().find(is_source) {
            (&mut source.link, &source.listed.failure_domain)
        } else {
            return;
        };
        if is_resident {
            return;
        }
        let domain_factor = domain_factor(from_domain, &to.failure_domain);
        link.reserve(size_bytes, domain_factor, now);
        if let Some(engine) = self.engines.get_mut(target) {
            engine.link.reserve(size_bytes, domain_factor, now);
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
        target: &TargetStart,
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
