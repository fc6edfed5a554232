//! The scheduler: chooses the engine for each prompt, and which parts are fetched from and saved to
//! stores.

mod events;
mod grants;
mod passed_over;
mod refusals;
mod search;
mod updates;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

pub use self::passed_over::PassedOverReason;
use self::refusals::RefusalLog;
pub use self::refusals::{CompetitionReport, RefusalReason};
use self::search::{BestEngine, MAX_EXAMINED, SearchError};
use super::engine::Engine;
use super::engines::{EngineNumber, Engines};
use super::lateness::Lateness;
use super::messages::{Placement, PlacementRequest, TicketId};
use super::prefill::PrefillEstimator;
use super::queue::{Queue, QueuedPrompt, WaiterId};
use super::store::{FREE_TTL, Store};
use super::weights::WeightState;
use crate::clock::BootTime;
use crate::deployment::EngineSpec;
use crate::fleet::cold::ColdStart;
use crate::fleet::evacuation::EvacuatedDomains;
use crate::fleet::locality::BytePrice;
use crate::fleet::rate::RateLimit;
use crate::fleet::{Presence, TargetTable};
use crate::ids::{ServiceId, TargetStart};

/// Engines with a longer prefill backlog get no further prompts. Long enough to keep an engine busy
/// until the next dispatch, short enough that urgent prompts don't queue up at the engine.
pub const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(60);
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
    /// No engine of the service, and of the required software version, is listed.
    NoTargetListed,
    /// Every listed engine is ejected or excluded by the request.
    NoHealthyTarget,
    /// No engine will have capacity in time; the caller may retry after this delay.
    Busy(Duration),
    /// All engines limit their rate, and none admits the prompt in time; the caller may retry after
    /// this delay.
    Limited(Duration),
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
    engines: Engines,
    /// The targets last listed, engines and others.
    roster: TargetTable,
    /// Engines that take no prompts although they were not listed as leaving: they are no longer
    /// listed, or another target answered at their address. They are looked at again with the next
    /// roster.
    suspended: BTreeSet<TargetStart>,
    engine_specs: HashMap<ServiceId, EngineSpec>,
    stores: BTreeMap<SocketAddr, Store>,
    estimators: HashMap<ServiceId, PrefillEstimator>,
    /// Engines that are ordered as slow, with the time at which their figures have no value any more.
    rated_slow: VecDeque<(BootTime, EngineNumber)>,
    /// Recent delay of first tokens beyond the expected time. It is subtracted from measured fetch
    /// times, so that queueing at engines doesn't count against the links.
    lateness: HashMap<ServiceId, Lateness>,
    queue: Queue,
    tickets: FxHashMap<TicketId, Ticket>,
    /// Tickets in the order in which they were granted, some of which have ended.
    granted: VecDeque<(BootTime, TicketId)>,
    next_ticket: TicketId,
    clock: Option<EngineClock>,
    /// Until this time, fetches granted by an earlier scheduler may still run, so nothing is freed.
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
    /// The pace of each service all of whose engines were limited when a prompt was last placed.
    paced: HashMap<ServiceId, Pace>,
    /// Refusals that were not reported yet, by reason and urgency.
    refusals: BTreeMap<(RefusalReason, u8), u64>,
    /// Placements of prompts that had waited, and their time, by urgency; not reported yet.
    waits: BTreeMap<u8, (u64, Duration)>,
    refusal_logs: HashMap<ServiceId, RefusalLog>,
    /// Engines that were passed over, by reason, counted once a second; not reported yet.
    passed_over: BTreeMap<PassedOverReason, u64>,
    /// When those of a service were last counted.
    passed_over_at: HashMap<ServiceId, BootTime>,
    /// Number of least loaded engines that are examined for a prompt. A service with at most this
    /// many engines is examined whole.
    max_examined: usize,
    /// Price of traffic between failure domains.
    cross_domain_price: BytePrice,
}

/// A placement that has not ended.
#[derive(Clone, Debug)]
struct Ticket {
    target: TargetStart,
    /// The weights that the engine was expected to run.
    weight_version: Option<u64>,
    since: BootTime,
    /// When its entry is last known to have reached the engine, or when it was granted.
    last_reached: BootTime,
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

/// What engines admit together while each of them is limited and has had its last prompt too
/// recently.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pace {
    /// When the first of them admits a prompt.
    next_at: BootTime,
    requests_per_s: f64,
}

/// Whether an engine can take a prompt.
enum Eligibility {
    /// It must not run the prompt, whatever its state.
    Unsuitable,
    /// It is ejected, or was tried before.
    Unhealthy,
    /// It takes no further prompt now.
    Busy,
    /// The same, but only because of its rate limit.
    Paced(Pace),
    Free {
        /// Cost of running the prompt on its weights.
        weights_cost_ms: f64,
    },
}

impl Pace {
    fn and(self, other: Pace) -> Pace {
        Pace {
            next_at: self.next_at.min(other.next_at),
            requests_per_s: self.requests_per_s + other.requests_per_s,
        }
    }
}

impl Scheduler {
    /// Creates the scheduler of a leader elected at `now`. Ticket ranges of different schedulers
    /// must not overlap.
    pub fn new(first_ticket: TicketId, now: BootTime) -> Scheduler {
        Scheduler {
            engines: Engines::default(),
            roster: TargetTable::default(),
            suspended: BTreeSet::new(),
            engine_specs: HashMap::new(),
            stores: BTreeMap::new(),
            estimators: HashMap::new(),
            rated_slow: VecDeque::new(),
            lateness: HashMap::new(),
            queue: Queue::default(),
            tickets: FxHashMap::default(),
            granted: VecDeque::new(),
            next_ticket: first_ticket,
            clock: None,
            frees_allowed_from: now + FIRST_FREE_DELAY,
            fetches_allowed_from: now,
            warm_until: now,
            engine_caches_known: true,
            weights: WeightState::new(now),
            evacuated: EvacuatedDomains::default(),
            cold_starts: HashMap::new(),
            paced: HashMap::new(),
            refusals: BTreeMap::new(),
            waits: BTreeMap::new(),
            refusal_logs: HashMap::new(),
            passed_over: BTreeMap::new(),
            passed_over_at: HashMap::new(),
            max_examined: MAX_EXAMINED,
            cross_domain_price: BytePrice::default(),
        }
    }

    /// Sets the price of traffic between failure domains.
    pub fn set_cross_domain_price(&mut self, price: BytePrice) {
        self.cross_domain_price = price;
    }

    /// Sets the number of least loaded engines that are examined for a prompt.
    pub fn set_max_examined(&mut self, max_examined: usize) {
        self.max_examined = max_examined;
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
        self.expire_figures(now);
        let has_cache_state = self.has_cache_state(now);
        let competition = self.queue.competition(&request.service);
        let must_wait = competition.has_ahead_of(request.priority) || !has_cache_state;
        competition.record_submitted(request.priority, now);
        let prefill_tokens = competition.expected_prefill_tokens(&request);
        let estimator = self.estimators.get(&request.service).copied().unwrap_or_default();
        let service_time = estimator.mean_service_time(prefill_tokens);
        let queued = QueuedPrompt { waiter, request, since: now, service_time };
        if !must_wait && let PlacementAttempt::Done(outcome) = self.try_place(&queued, now) {
            let competition = self.queue.competition(&queued.request.service);
            competition.record_admitted(queued.request.priority, now);
            return Some(outcome);
        }
        if let Some(refused) = self.refuse_hopeless(&queued, now) {
            return Some(refused);
        }
        let competition = self.queue.competition(&queued.request.service);
        competition.record_admitted(queued.request.priority, now);
        competition.rate.begin(now);
        self.queue.add(queued, now);
        None
    }

    /// Removes a queued prompt whose caller has left.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.queue.withdraw(waiter);
    }

    /// Places queued prompts while engines have capacity, and refuses those that have waited too
    /// long.
    pub fn dispatch(&mut self, now: BootTime) -> Vec<(WaiterId, PlacementResult)> {
        let mut outcomes = Vec::new();
        for queued in self.queue.drain_expired(now) {
            let supply = self.supply(&queued.request.service, now);
            let error = self.refuse(&queued, RefusalReason::Expired, supply, now);
            outcomes.push((queued.waiter, Err(error)));
        }
        if !self.has_cache_state(now) {
            return outcomes;
        }
        for service in self.queue.waiting_services() {
            self.dispatch_service(&service, now, &mut outcomes);
        }
        outcomes
    }

    /// Places queued prompts of one service.
    fn dispatch_service(
        &mut self,
        service: &str,
        now: BootTime,
        outcomes: &mut Vec<(WaiterId, PlacementResult)>,
    ) {
        self.queue.competition(service).begin_dispatch(now);
        let mut placed = 0;
        let mut unplaced = Vec::new();
        // The first prompt that goes on with a stream, for each software version without capacity.
        let mut without_capacity: Vec<QueuedPrompt> = Vec::new();
        while unplaced.len() < MAX_UNPLACED_PER_DISPATCH
            && let Some(queued) = self.queue.pop_next(
                service,
                |queued| !without_capacity.iter().any(|other| queued.needs_same_engines(other)),
                now,
            )
        {
            match self.try_place(&queued, now) {
                PlacementAttempt::Done(outcome) => {
                    if outcome.is_ok() {
                        self.queue.competition(service).count_placed();
                        placed += 1;
                        let (count, time) = self.waits.entry(queued.request.priority).or_default();
                        *count += 1;
                        *time += now.saturating_sub(queued.since);
                    }
                    outcomes.push((queued.waiter, outcome));
                }
                _ if queued.request.software.is_some() => without_capacity.push(queued),
                PlacementAttempt::NoRoom => unplaced.push(queued),
                PlacementAttempt::AllBusy => {
                    unplaced.push(queued);
                    break;
                }
            }
        }
        if let Some(queued) = unplaced.first() {
            self.report_passed_over(&queued.request, now);
        }
        let unplaced = unplaced.into_iter().chain(without_capacity);
        unplaced.for_each(|queued| self.queue.add(queued, now));
        let engines = self.available_engines(service);
        let competition = self.queue.competition(service);
        competition.rate.add(placed, engines, now);
        if competition.is_empty() {
            competition.rate.end();
        }
        self.review_waiting(service, now, outcomes);
    }

    /// Number of queued prompts.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Places a prompt on the engine with the lowest cost.
    fn try_place(&mut self, queued: &QueuedPrompt, now: BootTime) -> PlacementAttempt {
        let found = self.find_engine(&queued.request, now);
        let service = &queued.request.service;
        if queued.request.software.is_none() {
            match found {
                Err(SearchError::AllPaced(pace)) => drop(self.paced.insert(service.clone(), pace)),
                _ => drop(self.paced.remove(service)),
            }
        }
        match found {
            Ok(best) => PlacementAttempt::Done(Ok(self.grant(best, queued, now))),
            Err(SearchError::NoTargetListed) => {
                PlacementAttempt::Done(Err(PlacementError::NoTargetListed))
            }
            Err(SearchError::NoHealthyTarget) => {
                PlacementAttempt::Done(Err(PlacementError::NoHealthyTarget))
            }
            Err(SearchError::AllBusy | SearchError::AllPaced(_)) => PlacementAttempt::AllBusy,
            Err(SearchError::NoRoom) => PlacementAttempt::NoRoom,
        }
    }

    /// Whether a prompt may run on the engines of a failure domain.
    fn is_suitable_domain(&self, domain: &str, request: &PlacementRequest) -> bool {
        !self.evacuated.contains(domain) && request.allowed_domains.contains(domain)
    }

    /// Whether an engine can take a prompt now, apart from its memory.
    fn eligibility(
        &self,
        engine: &Engine,
        request: &PlacementRequest,
        now: BootTime,
    ) -> Eligibility {
        let listed = &engine.listed;
        if listed.service != request.service
            || listed.presence != Presence::Live
            || !request.accepts_software(&listed.software)
            || !self.is_suitable_domain(&listed.failure_domain, request)
        {
            return Eligibility::Unsuitable;
        }
        let is_avoided = request.avoid.contains(&listed.start);
        if is_avoided || !engine.health.admits(engine.active_placements(), now) {
            return Eligibility::Unhealthy;
        }
        if let Some(closed_for) = engine.brittleness.closed_for(now) {
            let requests_per_s = self.rate_limit(engine, now).map_or(1.0, |l| l.requests_per_s);
            return Eligibility::Paced(Pace { next_at: now + closed_for, requests_per_s });
        }
        let is_full = engine.prefill_backlog(now) >= MAX_PREFILL_BACKLOG || engine.may_be_full(now);
        if is_full || self.weights.excludes(&listed.start) {
            return Eligibility::Busy;
        }
        let Some(weights_cost_ms) =
            self.weights.cost_ms(&request.model, engine.weight_version, now)
        else {
            return Eligibility::Busy;
        };
        match self.rate_limit(engine, now) {
            Some(RateLimit { requests_per_s }) if !engine.pacer.admits(now) => {
                Eligibility::Paced(Pace { next_at: engine.pacer.next_at(), requests_per_s })
            }
            _ => Eligibility::Free { weights_cost_ms },
        }
    }

    /// The rate at which an engine takes prompts now; `None` if it is not limited.
    fn rate_limit(&self, engine: &Engine, now: BootTime) -> Option<RateLimit> {
        let cold = self.cold_limit(engine, now).map(|cold_start| cold_start.limit());
        let after_rejection = engine.brittleness.rate_limit(now);
        cold.into_iter()
            .chain(engine.named_limit.get())
            .chain(after_rejection)
            .reduce(RateLimit::min)
    }

    /// What an engine bears now; `None` if it is not cold.
    fn cold_limit(&self, engine: &Engine, now: BootTime) -> Option<ColdStart> {
        let cold_start = self.cold_starts.get(&engine.listed.service)?;
        let domain = &engine.listed.failure_domain;
        // Its next answer shows when it runs again, so it is paced until then.
        let is_cold = engine.coldness.is_cold(now)
            || engine.coldness.awaits_answer()
            || self.evacuated.was_restored(domain, cold_start.duration, now);
        is_cold.then_some(*cold_start)
    }
}

/// A fraction that differs by waiter.
fn retry_spread(waiter: WaiterId) -> f64 {
    (waiter.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 54) as f64 / 1_024.0
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
