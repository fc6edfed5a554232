//! The scheduler: chooses the engine for each prompt, and which parts are fetched from and saved to
//! stores.

mod updates;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::candidate::{Candidate, RequiredPrefix, shared_part_count};
use super::engine::{Engine, PromptLoad};
use super::lateness::Lateness;

use super::messages::{
    DecisionTrace, EndReason, Placement, PlacementEvent, PlacementRequest, TicketId,
};

use super::engine_cache::PartKey;
use super::prefill::PrefillEstimator;
use super::queue::{Queue, QueuedPrompt, WaiterId};
use super::source::domain_factor;
use super::store::{FETCH_GRANT_TTL, FREE_TTL, Store};
use super::weights::WeightState;
use crate::clock::BootTime;
use crate::deployment::EngineSpec;
use crate::fleet::cold::ColdStart;
use crate::fleet::evacuation::EvacuatedDomains;
use crate::fleet::{FailureCause, Presence};
use crate::gateway::metadata::Part;
use crate::ids::{ServiceId, TargetStart};

/// Engines with a longer prefill backlog get no further prompts. Long enough to keep an engine busy
/// until the next dispatch, short enough that urgent prompts don't queue up at the engine.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(60);
/// Bounds of the retry delay that a refused caller is given.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(700));
/// Contexts up to this length are saved to the store with the shortest time to first byte: latency
/// dominates the time of a small fetch.
const SHORT_CONTEXT_TOKENS: u64 = 3_000;
/// A dispatch ends after this many prompts that fit on no engine. Engines have similar free
/// capacity, so the remaining ones would rarely fit either.
const MAX_UNPLACED_PER_DISPATCH: usize = 8;
/// Longest time for which a new scheduler holds prompts back until engine caches and store
/// inventories have been read.
const WARM_UP_TIMEOUT: Duration = Duration::from_millis(150);
/// Allowance for clock reading error, added to `FREE_TTL` before a new scheduler's first fetch.
const FIRST_FETCH_MARGIN: Duration = Duration::from_millis(20);
/// A new scheduler frees nothing until fetches granted by its predecessor must have ended.
const FIRST_FREE_DELAY: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PlacementError {
    /// No engine of the service is listed.
    NoTargetListed,
    /// Every listed engine is ejected or excluded by the request.
    NoHealthyTarget,
    /// No engine will have capacity in time; the caller may retry after this delay.
    Busy(Duration),
}

pub type PlacementResult = Result<Placement, PlacementError>;

/// A reading of the clock that engines and stores share.
#[derive(Clone, Copy, Debug)]
struct EngineClock {
    at_ms: u64,
    read_at: BootTime,
}

/// Places prompts on engines; see the module documentation.
#[derive(Clone, Debug)]
pub struct Scheduler {
    engines: BTreeMap<TargetStart, Engine>,
    engine_specs: HashMap<ServiceId, EngineSpec>,
    stores: BTreeMap<SocketAddr, Store>,
    estimators: HashMap<ServiceId, PrefillEstimator>,
    /// Recent delay of first tokens beyond the expected time. It is subtracted from measured fetch
    /// times, so that queueing at engines doesn't count against the links.
    lateness: HashMap<ServiceId, Lateness>,
    queue: Queue,
    tickets: FxHashMap<TicketId, Ticket>,
    next_ticket: TicketId,
    clock: Option<EngineClock>,
    frees_allowed_from: BootTime,
    /// Until this time, frees issued by an earlier scheduler may still take effect, so nothing is
    /// fetched.
    fetches_allowed_from: BootTime,
    /// Prompts wait for cache state until this time at the latest.
    warm_until: BootTime,
    /// Whether the engines' caches have been read.
    engine_caches_known: bool,
    weights: WeightState,
    evacuated: EvacuatedDomains,
    /// What the engines of each service bear while they are cold. Services without limit are absent.
    cold_starts: HashMap<ServiceId, ColdStart>,
}

/// A placement that has not ended.
#[derive(Clone, Debug)]
struct Ticket {
    target: TargetStart,
    /// The weights that the engine was expected to run.
    weight_version: Option<u64>,
    since: BootTime,
    /// Source of the largest fetched part, if the fetch was expected to take longer than the
    /// engine's backlog.
    slowest_source: Option<SocketAddr>,
    /// Expected duration of the fetch.
    fetch_ms: f64,
    /// Expected time from the placement to the first token.
    expected_ms: f64,
}

/// Result of one attempt to place a prompt.
enum PlacementAttempt {
    Done(PlacementResult),
    /// All eligible engines have a full prefill backlog: no other prompt could be placed either.
    AllBusy,
    /// Engines are available, but none has capacity for this prompt.
    NoRoom,
}

impl Scheduler {
    /// Creates the scheduler of a leader elected at `now`. Ticket ranges of different schedulers
    /// must not overlap.
    pub fn new(first_ticket: TicketId, now: BootTime) -> Scheduler {
        Scheduler {
            engines: BTreeMap::new(),
            engine_specs: HashMap::new(),
            stores: BTreeMap::new(),
            estimators: HashMap::new(),
            lateness: HashMap::new(),
            queue: Queue::default(),
            tickets: FxHashMap::default(),
            next_ticket: first_ticket,
            clock: None,
            frees_allowed_from: now + FIRST_FREE_DELAY,
            fetches_allowed_from: now,
            warm_until: now,
            engine_caches_known: true,
            weights: WeightState::new(now),
            evacuated: EvacuatedDomains::default(),
            cold_starts: HashMap::new(),
        }
    }

    /// Holds prompts back until engine caches and store inventories are known. Must be called
    /// before the first prompt: after an outage, prompts arrive all at once and would otherwise be
    /// recomputed on engines that don't hold their context.
    pub fn await_cache_state(&mut self, now: BootTime) {
        self.warm_until = now + WARM_UP_TIMEOUT;
        self.fetches_allowed_from = now + FREE_TTL + FIRST_FETCH_MARGIN;
        self.engine_caches_known = false;
    }

    /// Records that the caches of all reachable engines have been read.
    pub fn set_engine_caches_known(&mut self) {
        self.engine_caches_known = true;
    }

    /// Whether placements can rely on the known cache state, or have waited for it long enough.
    fn has_cache_state(&self, now: BootTime) -> bool {
        let stores_known = self.clock.is_some() && self.stores.values().all(Store::has_inventory);
        (self.engine_caches_known && stores_known && now >= self.fetches_allowed_from)
            || now >= self.warm_until
    }

    /// Submits a prompt. Returns its result if it is placed or refused at once; otherwise it is
    /// queued and `dispatch` returns the result.
    pub fn submit(
        &mut self,
        waiter: WaiterId,
        request: PlacementRequest,
        now: BootTime,
    ) -> Option<PlacementResult> {
        let must_wait = !self.queue.is_empty() || !self.has_cache_state(now);
        let estimator = self.estimators.get(&request.service).copied().unwrap_or_default();
        // A context that can't be fetched is read as well.
        let service_time = estimator.prefill_time(request.prompt_tokens) + estimator.base_latency();
        let queued = QueuedPrompt { waiter, request, since: now, service_time };
        if !must_wait && let PlacementAttempt::Done(outcome) = self.try_place(&queued, now) {
            return Some(outcome);
        }
        self.queue.add(queued);
        None
    }

    /// Removes a queued prompt whose caller has left.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.queue.withdraw(waiter);
    }

    /// Places queued prompts while engines have capacity, and refuses those that have waited too
    /// long.
    pub fn dispatch(&mut self, now: BootTime) -> Vec<(WaiterId, PlacementResult)> {
        let expired = self.queue.drain_expired(now).into_iter();
        let mut outcomes: Vec<(WaiterId, PlacementResult)> = expired
            .map(|queued| (queued.waiter, Err(PlacementError::Busy(retry_after(queued.waiter)))))
            .collect();
        if !self.has_cache_state(now) {
            return outcomes;
        }
        let mut unplaced = Vec::new();
        while unplaced.len() < MAX_UNPLACED_PER_DISPATCH
            && let Some(queued) = self.queue.pop_next()
        {
            match self.try_place(&queued, now) {
                PlacementAttempt::Done(outcome) => outcomes.push((queued.waiter, outcome)),
                PlacementAttempt::NoRoom => unplaced.push(queued),
                PlacementAttempt::AllBusy => {
                    unplaced.push(queued);
                    break;
                }
            }
        }
        unplaced.into_iter().for_each(|queued| self.queue.requeue(queued));
        outcomes
    }

    /// Number of queued prompts.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Places a prompt on the engine with the lowest cost.
    fn try_place(&mut self, queued: &QueuedPrompt, now: BootTime) -> PlacementAttempt {
        let request = &queued.request;
        let Some(spec) = self.engine_specs.get(&request.service) else {
            return PlacementAttempt::Done(Err(PlacementError::NoTargetListed));
        };
        let estimator = self.estimators.get(&request.service).copied().unwrap_or_default();
        let (mut is_listed, mut is_healthy, mut is_free) = (false, false, false);
        let mut best: Option<(&TargetStart, Candidate)> = None;
        let mut required: Vec<(Option<u64>, RequiredPrefix<'_>)> = Vec::new();
        for (id, engine) in &self.engines {
            if engine.listed.service != request.service
                || engine.listed.presence != Presence::Live
                || self.evacuated.contains(&engine.listed.failure_domain)
                || !request.allowed_domains.contains(&engine.listed.failure_domain)
            {
                continue;
            }
            is_listed = true;
            if request.avoid.contains(id) || !engine.health.admits(engine.active_placements(), now)
            {
                continue;
            }
            is_healthy = true;
            if engine.prefill_backlog(now) >= MAX_PREFILL_BACKLOG || self.weights.excludes(id) {
                continue;
            }
            if self.cold_limit(engine, now).is_some() && !engine.pacer.admits(now) {
                continue;
            }
            let Some(weights_cost_ms) =
                self.weights.cost_ms(&request.model, engine.weight_version, now)
            else {
                continue;
            };
            is_free = true;
            let version = engine.weight_version;
            let index =
                required.iter().position(|(required_version, _)| *required_version == version);
            let index = index.unwrap_or_else(|| {
                let (stores, engines) = (self.stores.values(), self.engines.values());
                let may_fetch = self.clock.is_some() && now >= self.fetches_allowed_from;
                required.push((
                    version,
                    RequiredPrefix::new(request, version, stores, engines, may_fetch, now),
                ));
                required.len() - 1
            });
            let Some(mut candidate) = required[index].1.candidate(engine, spec, &estimator, now)
            else {
                continue;
            };
            candidate.cost_ms += weights_cost_ms;
            if best.as_ref().is_none_or(|(_, best)| candidate.cost_ms < best.cost_ms) {
                best = Some((id, candidate));
            }
        }
        let Some((target, candidate)) = best else {
            return match (is_listed, is_healthy, is_free) {
                (false, ..) => PlacementAttempt::Done(Err(PlacementError::NoTargetListed)),
                (_, false, _) => PlacementAttempt::Done(Err(PlacementError::NoHealthyTarget)),
                (.., false) => PlacementAttempt::AllBusy,
                _ => PlacementAttempt::NoRoom,
            };
        };
        let target = target.clone();
        let version = self.engines.get(&target).and_then(|engine| engine.weight_version);
        let chosen =
            required.into_iter().find(|(required_version, _)| *required_version == version);
        let (salt, keys) =
            chosen.map(|(_, required)| (required.salt, required.keys)).unwrap_or_default();
        PlacementAttempt::Done(Ok(self.grant(target, candidate, salt, keys, queued, now)))
    }

    /// What an engine bears now; `None` if it is not cold.
    fn cold_limit(&self, engine: &Engine, now: BootTime) -> Option<ColdStart> {
        let cold_start = self.cold_starts.get(&engine.listed.service)?;
        let domain = &engine.listed.failure_domain;
        let is_cold = engine.coldness.is_cold(now)
            || self.evacuated.was_restored(domain, cold_start.duration, now);
        is_cold.then_some(*cold_start)
    }

    fn grant(
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

    /// Applies an event of a placement.
    pub fn observe(&mut self, event: &PlacementEvent, now: BootTime) {
        match event {
            PlacementEvent::FirstToken { ticket, weight_version, load } => {
                let Some(placement) = self.tickets.get_mut(ticket) else { return };
                let fetched_from = placement.slowest_source.take();
                let (fetch_ms, expected_ms) = (placement.fetch_ms, placement.expected_ms);
                let late_ms = millis(now.saturating_sub(placement.since)) - expected_ms;
                let target = placement.target.clone();
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
                if let Some(load) = load {
                    engine.observe_load(*load, now);
                }
                if *weight_version > engine.weight_version {
                    engine.set_weights(*weight_version);
                }
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
                // An engine that crashes loses all its connections, a lost answer only one.
                let may_have_restarted = match end {
                    EndReason::Unreachable => true,
                    EndReason::ConnectionLost => engine.active_placements() == 0,
                    _ => false,
                };
                if may_have_restarted
                    && let Some(cold_start) = self.cold_starts.get(&engine.listed.service)
                {
                    engine.coldness.presume(cold_start, now);
                }
                if must_query {
                    self.weights.unverified.insert(placement.target);
                }
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

/// Retry delay for a refused caller, spread by waiter id to avoid synchronized retries.
fn retry_after(waiter: WaiterId) -> Duration {
    let (min, max) = RETRY_AFTER;
    let spread = (waiter.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 54) as f64 / 1_024.0;
    min + (max - min).mul_f64(spread)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
