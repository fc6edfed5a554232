//! The scheduler: where each prompt runs, what it fetches, what is saved.

mod updates;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::candidate::{Candidate, RequiredPrefix, shared_count};
use super::engine::{Engine, PromptLoad};
use super::engine_cache::PartKey;
use super::lateness::Lateness;
use super::messages::{
    DecisionTrace, EndReason, Placement, PlacementEvent, PlacementRequest, TicketId,
};
use super::prefill::PrefillEstimator;
use super::queue::{Queue, QueuedPrompt, WaiterId};
use super::source::domain_factor;
use super::store::{FETCH_GRANT_TTL, FREE_TTL, Store};
use super::weights::WeightState;
use crate::clock::BootTime;
use crate::deployment::EngineTraits;
use crate::fleet::{Fault, Presence};
use crate::gateway::call::Part;
use crate::ids::{ServiceId, TargetStart};

/// An engine takes another prompt once it has less than this left to read: enough to keep it busy
/// until the next placement, and so little that an urgent prompt is not kept queued behind others.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(60);
/// A refused caller comes back after this at the least, and at the most this much later.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(700));
/// Contexts up to this length go to the stores that answer soonest, where that matters most.
const SHORT_CONTEXT_TOKENS: u64 = 3_000;
/// A dispatch looks at this many prompts that find no room. Engines differ little in what fits, so
/// more would find none either.
const MAX_UNPLACED_PER_DISPATCH: usize = 8;
/// Prompts that come to a new scheduler wait for this long at the most for engines' memories and stores'
/// inventories: 18 engines and six stores take 50 ms, 140 engines some 150 ms.
const WARM_UP_TIMEOUT: Duration = Duration::from_millis(150);
/// Kept between the last free that an earlier scheduler decided and the first fetch, for clocks that are
/// read a little apart.
const FIRST_FETCH_MARGIN: Duration = Duration::from_millis(20);
/// A new scheduler frees nothing before fetches that an earlier one granted have ended.
const FIRST_FREE_DELAY: Duration = Duration::from_millis(2_500);

/// Why a prompt was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PlacementError {
    /// No engine of the service is known here.
    NoTargetListed,
    /// All that are known are out of order, or must be avoided.
    NoHealthyTarget,
    /// None will have room in time. Come back after this time.
    Busy(Duration),
}

/// A placement, or why there is none.
pub type PlacementResult = Result<Placement, PlacementError>;

/// The engines' clock, as it was read.
#[derive(Clone, Copy, Debug)]
struct EngineClock {
    at_ms: u64,
    read_at: BootTime,
}

/// The scheduler.
#[derive(Clone, Debug)]
pub struct Scheduler {
    engines: BTreeMap<TargetStart, Engine>,
    traits: HashMap<ServiceId, EngineTraits>,
    stores: BTreeMap<SocketAddr, Store>,
    estimators: HashMap<ServiceId, PrefillEstimator>,
    /// Recent delay of first tokens beyond what was expected: queueing delay at engines, which must not
    /// lower the bandwidth estimate of a link.
    lateness: HashMap<ServiceId, Lateness>,
    queue: Queue,
    tickets: FxHashMap<TicketId, Ticket>,
    next_ticket: TicketId,
    clock: Option<EngineClock>,
    frees_allowed_from: BootTime,
    /// Before this time frees of an earlier scheduler may be under candidate.
    fetches_allowed_from: BootTime,
    /// Until this time prompts wait for what engines and stores hold to be read, unless it has been.
    warm_until: BootTime,
    /// Whether engines' memories have been read.
    engine_caches_known: bool,
    weights: WeightState,
}

/// A placement that has not ended.
#[derive(Clone, Debug)]
struct Ticket {
    target: TargetStart,
    /// The weights that the engine was believed to run.
    weight_version: Option<u64>,
    since: BootTime,
    /// Where most comes from, if the fetch takes longest of all.
    slowest_source: Option<SocketAddr>,
    /// How long the fetch was expected to take.
    fetch_ms: f64,
    /// When the first part of the answer was expected, after the placement.
    expected_ms: f64,
}

/// What came of trying to place a prompt.
enum PlacementAttempt {
    Done(PlacementResult),
    /// All engines have enough to read: no other prompt would be placed either.
    AllBusy,
    /// The engines that could read lack the memory.
    NoRoom,
}

impl Scheduler {
    /// The scheduler of a leader that was elected at `now`. Tickets of two schedulers differ.
    pub fn new(first_ticket: TicketId, now: BootTime) -> Scheduler {
        Scheduler {
            engines: BTreeMap::new(),
            traits: HashMap::new(),
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
        }
    }

    /// Has prompts wait until it is known what engines and stores hold. Called before the first prompt:
    /// those of an outage come at once, and would be read again where they don't lie.
    pub fn await_cache_state(&mut self, now: BootTime) {
        self.warm_until = now + WARM_UP_TIMEOUT;
        self.fetches_allowed_from = now + FREE_TTL + FIRST_FETCH_MARGIN;
        self.engine_caches_known = false;
    }

    /// Engines' memories have been read, as far as they can be.
    pub fn set_engine_caches_known(&mut self) {
        self.engine_caches_known = true;
    }

    /// Whether prompts need not wait for what engines and stores hold.
    fn has_cache_state(&self, now: BootTime) -> bool {
        let stores_known = self.clock.is_some() && self.stores.values().all(Store::has_inventory);
        (self.engine_caches_known && stores_known && now >= self.fetches_allowed_from)
            || now >= self.warm_until
    }

    /// Takes a prompt: it is placed at once or refused, or it waits and comes out of `dispatch`.
    pub fn submit(
        &mut self,
        waiter: WaiterId,
        request: PlacementRequest,
        now: BootTime,
    ) -> Option<PlacementResult> {
        let must_wait = !self.queue.is_empty() || !self.has_cache_state(now);
        let queued = QueuedPrompt { waiter, request, since: now };
        if !must_wait && let PlacementAttempt::Done(outcome) = self.try_place(&queued, now) {
            return Some(outcome);
        }
        self.queue.add(queued);
        None
    }

    /// Takes a prompt out whose caller has left.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.queue.withdraw(waiter);
    }

    /// Places those that wait as far as engines have room, and refuses those that have no hope.
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

    /// How many prompts wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Places a prompt on the engine where it costs least.
    fn try_place(&mut self, queued: &QueuedPrompt, now: BootTime) -> PlacementAttempt {
        let request = &queued.request;
        let Some(traits) = self.traits.get(&request.service) else {
            return PlacementAttempt::Done(Err(PlacementError::NoTargetListed));
        };
        let estimator = self.estimators.get(&request.service).copied().unwrap_or_default();
        let (mut is_listed, mut is_healthy, mut is_free) = (false, false, false);
        let mut best: Option<(&TargetStart, Candidate)> = None;
        let mut required: Vec<(Option<u64>, RequiredPrefix<'_>)> = Vec::new();
        for (id, engine) in &self.engines {
            if engine.listed.service != request.service || engine.listed.presence != Presence::Live
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
            let Some(weights_cost_ms) =
                self.weights.cost_ms(&request.model, engine.weight_version, now)
            else {
                continue;
            };
            is_free = true;
            let version = engine.weight_version;
            let known = required.iter().position(|(known, _)| *known == version);
            let known = known.unwrap_or_else(|| {
                let (stores, engines) = (self.stores.values(), self.engines.values());
                let may_fetch = self.clock.is_some() && now >= self.fetches_allowed_from;
                required.push((
                    version,
                    RequiredPrefix::new(request, version, stores, engines, may_fetch, now),
                ));
                required.len() - 1
            });
            let Some(mut candidate) = required[known].1.candidate(engine, traits, &estimator, now)
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
        let chosen = required.into_iter().find(|(known, _)| *known == version);
        let (salt, keys) =
            chosen.map(|(_, required)| (required.salt, required.keys)).unwrap_or_default();
        PlacementAttempt::Done(Ok(self.grant(target, candidate, salt, keys, queued, now)))
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
        let shared = shared_count(request);
        let mut save = vec![None; request.parts.len()];
        for (at, saved) in save.iter_mut().enumerate().take(shared) {
            let key = keys[at];
            if let Some(address) = candidate.fetch[at] {
                let is_resident = at < candidate.resident_parts;
                self.grant_fetch(address, key, &request.parts[at], &target, is_resident, now);
            }
            if self.stores.values().any(|store| store.contains(key)) {
                self.stores.values_mut().for_each(|store| store.touch(key, now));
            } else {
                *saved = self.grant_save(key, &salt, &request.parts[at], &target, now);
            }
        }
        let clock_ms = self.engines_clock_ms(now).unwrap_or_default();
        let mut weight_version = None;
        if let Some(engine) = self.engines.get_mut(&target) {
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
        let Some(traits) = self.traits.get(&to.service) else { return };
        let size_bytes = (part.tokens * traits.token_bytes) as f64;
        let is_source = |engine: &&mut Engine| engine.listed.address == address;
        let (link, from_domain) = if let Some(store) = self.stores.get_mut(&address) {
            store.grant_fetch(key, now);
            (&mut store.link, &store.traits.failure_domain)
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

    /// Where a part is saved: where nothing must be freed for it, short contexts in the store that
    /// answers soonest, others where most room is.
    fn grant_save(
        &mut self,
        key: PartKey,
        salt: &str,
        part: &Part,
        target: &TargetStart,
        now: BootTime,
    ) -> Option<SocketAddr> {
        self.engines.get(target)?.weight_version?;
        let fits = |store: &&mut Store| store.can_save(key, part.tokens, now);
        let is_short = part.tokens <= SHORT_CONTEXT_TOKENS;
        let store = self.stores.values_mut().filter(fits).min_by_key(|store| {
            let by_time = if is_short { store.traits.first_byte } else { Duration::ZERO };
            let must_free = !store.has_room_for(part.tokens);
            (must_free, by_time, std::cmp::Reverse(store.free_tokens()))
        })?;
        store.grant_save(key, salt, part, now);
        Some(store.traits.address)
    }

    /// Takes what became of a placement.
    pub fn observe(&mut self, event: &PlacementEvent, now: BootTime) {
        match event {
            PlacementEvent::FirstToken { ticket, weight_version, load } => {
                let Some(known) = self.tickets.get_mut(ticket) else { return };
                let fetched_from = known.slowest_source.take();
                let (fetch_ms, expected_ms) = (known.fetch_ms, known.expected_ms);
                let late_ms = millis(now.saturating_sub(known.since)) - expected_ms;
                let target = known.target.clone();
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
                let Some(known) = self.tickets.remove(ticket) else { return };
                let Some(engine) = self.engines.get_mut(&known.target) else { return };
                engine.end(*ticket, now);
                // Of several prompts that were sent under the same belief, one shows that it is wrong.
                let is_same_belief = engine.weight_version == known.weight_version;
                let is_doubted = match end {
                    EndReason::WeightMismatch(None) => is_same_belief,
                    // Older ones than are believed by all: the list must learn of it, too, or the
                    // engine would never be told to load newer ones.
                    EndReason::WeightMismatch(has) => *has < known.weight_version,
                    _ => false,
                };
                observe_end(engine, *end, now);
                if is_doubted {
                    self.weights.unverified.insert(known.target);
                }
            }
        }
    }

    /// Takes how long a fetch took: either end may be the slow one.
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

    /// Forgets placements that were lost with their entries.
    pub fn expire_tickets(&mut self, now: BootTime) {
        self.engines.values_mut().for_each(|engine| engine.expire_tickets(now));
    }
}

fn observe_end(engine: &mut Engine, end: EndReason, now: BootTime) {
    match end {
        EndReason::Completed => engine.health.succeeded(),
        EndReason::Cancelled | EndReason::NotRun => {}
        EndReason::Unreachable => engine.health.unreachable(now),
        EndReason::Failed => engine.health.failed(Fault::Target, now),
        EndReason::WeightMismatch(version) => engine.set_weights(version),
        EndReason::Replaced => engine.listed.presence = Presence::Leaving,
    }
}

/// When a refused caller comes back: spread by its name, so that many don't come as a wave.
fn retry_after(waiter: WaiterId) -> Duration {
    let (least, most) = RETRY_AFTER;
    let spread = (waiter.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 54) as f64 / 1_024.0;
    least + (most - least).mul_f64(spread)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
