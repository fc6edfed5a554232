//! The scheduler: where each prompt runs, what it fetches, what is saved.

mod intake;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::candidate::{Candidate, RequiredPrefix, shared_count};
use super::engine::{Engine, Load};
use super::lateness::Lateness;
use super::memory::PartKey;
use super::messages::{DecisionTrace, End, Placed, PlacementEvent, PlacementRequest, TicketId};
use super::pace::Pace;
use super::queue::{Queue, WaiterId, Waiting};
use super::source::distance;
use super::store::{FETCH_LASTS, FREE_LASTS, Store};
use super::weights::Weights;
use crate::clock::BootTime;
use crate::deployment::EngineSpec;
use crate::fleet::{Fault, Presence};
use crate::gateway::metadata::Part;
use crate::ids::{ServiceId, TargetStart};

/// An engine takes another prompt once it has less than this left to read: enough to keep it busy
/// until the next placement, and so little that an urgent prompt is not kept waiting behind others.
const READS_AHEAD: Duration = Duration::from_millis(60);
/// A refused caller comes back after this at the least, and at the most this much later.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(700));
/// Contexts up to this length go to the stores that answer soonest, where that matters most.
const SHORT_CONTEXT_TOKENS: u64 = 3_000;
/// A dispatch looks at this many prompts that find no room. Engines differ little in what fits, so
/// more would find none either.
const STUCK_AT_MOST: usize = 8;
/// Prompts that come to a new scheduler wait for this long at the most for engines' memories and stores'
/// inventories: 18 engines and six stores take 50 ms, 140 engines some 150 ms.
const MEMORIES_READ_WITHIN: Duration = Duration::from_millis(150);
/// Kept between the last free that an earlier scheduler decided and the first fetch, for clocks that are
/// read a little apart.
const FREE_VOID_MARGIN: Duration = Duration::from_millis(20);
/// A new scheduler frees nothing before fetches that an earlier one granted have ended.
const FIRST_FREES_AFTER: Duration = Duration::from_millis(2_500);

/// Why a prompt was not placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PlacementError {
    /// No engine of the service is known here.
    NoneListed,
    /// All that are known are out of order, or must be avoided.
    NoneSound,
    /// None will have room in time. Come back after this time.
    Busy(Duration),
}

/// A placement, or why there is none.
pub type PlacementResult = Result<Placed, PlacementError>;

/// The engines' clock, as it was read.
#[derive(Clone, Copy, Debug)]
struct EnginesClock {
    at_ms: u64,
    read_at: BootTime,
}

/// The scheduler.
#[derive(Clone, Debug)]
pub struct Scheduler {
    engines: BTreeMap<TargetStart, Engine>,
    traits: HashMap<ServiceId, EngineSpec>,
    stores: BTreeMap<SocketAddr, Store>,
    paces: HashMap<ServiceId, Pace>,
    /// Recent delay of first tokens beyond what was expected: queueing delay at engines, which must not
    /// lower the bandwidth estimate of a link.
    lateness: HashMap<ServiceId, Lateness>,
    queue: Queue,
    tickets: FxHashMap<TicketId, Ticket>,
    next_ticket: TicketId,
    clock: Option<EnginesClock>,
    frees_from: BootTime,
    /// Before this time frees of an earlier scheduler may be under candidate.
    fetches_from: BootTime,
    /// Until this time prompts wait for what engines and stores hold to be read, unless it has been.
    warm_until: BootTime,
    /// Whether engines' memories have been read.
    knows_memories: bool,
    weights: Weights,
}

/// A placement that has not ended.
#[derive(Clone, Debug)]
struct Ticket {
    target: TargetStart,
    /// The weights that the engine was believed to run.
    weight_version: Option<u64>,
    since: BootTime,
    /// Where most comes from, if the fetch takes longest of all.
    slowest: Option<SocketAddr>,
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
            paces: HashMap::new(),
            lateness: HashMap::new(),
            queue: Queue::default(),
            tickets: FxHashMap::default(),
            next_ticket: first_ticket,
            clock: None,
            frees_from: now + FIRST_FREES_AFTER,
            fetches_from: now,
            warm_until: now,
            knows_memories: true,
            weights: Weights::new(now),
        }
    }

    /// Has prompts wait until it is known what engines and stores hold. Called before the first prompt:
    /// those of an outage come at once, and would be read again where they don't lie.
    pub fn await_memories(&mut self, now: BootTime) {
        self.warm_until = now + MEMORIES_READ_WITHIN;
        self.fetches_from = now + FREE_LASTS + FREE_VOID_MARGIN;
        self.knows_memories = false;
    }

    /// Engines' memories have been read, as far as they can be.
    pub fn memories_read(&mut self) {
        self.knows_memories = true;
    }

    /// Whether prompts need not wait for what engines and stores hold.
    fn is_informed(&self, now: BootTime) -> bool {
        let knows_stores = self.clock.is_some() && self.stores.values().all(Store::is_known);
        (self.knows_memories && knows_stores && now >= self.fetches_from) || now >= self.warm_until
    }

    /// Takes a prompt: it is placed at once or refused, or it waits and comes out of `dispatch`.
    pub fn submit(
        &mut self,
        waiter: WaiterId,
        ask: PlacementRequest,
        now: BootTime,
    ) -> Option<PlacementResult> {
        let must_wait = !self.queue.is_empty() || !self.is_informed(now);
        let waiting = Waiting { waiter, ask, since: now };
        if !must_wait && let PlacementAttempt::Done(outcome) = self.try_place(&waiting, now) {
            return Some(outcome);
        }
        self.queue.add(waiting);
        None
    }

    /// Takes a prompt out whose caller has left.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.queue.withdraw(waiter);
    }

    /// Places those that wait as far as engines have room, and refuses those that have no hope.
    pub fn dispatch(&mut self, now: BootTime) -> Vec<(WaiterId, PlacementResult)> {
        let hopeless = self.queue.drain_hopeless(now).into_iter();
        let mut outcomes: Vec<(WaiterId, PlacementResult)> = hopeless
            .map(|waiting| (waiting.waiter, Err(PlacementError::Busy(come_back(waiting.waiter)))))
            .collect();
        if !self.is_informed(now) {
            return outcomes;
        }
        let mut stuck = Vec::new();
        while stuck.len() < STUCK_AT_MOST
            && let Some(waiting) = self.queue.pick()
        {
            match self.try_place(&waiting, now) {
                PlacementAttempt::Done(outcome) => outcomes.push((waiting.waiter, outcome)),
                PlacementAttempt::NoRoom => stuck.push(waiting),
                PlacementAttempt::AllBusy => {
                    stuck.push(waiting);
                    break;
                }
            }
        }
        stuck.into_iter().for_each(|waiting| self.queue.put_back(waiting));
        outcomes
    }

    /// How many prompts wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Places a prompt on the engine where it costs least.
    fn try_place(&mut self, waiting: &Waiting, now: BootTime) -> PlacementAttempt {
        let ask = &waiting.ask;
        let Some(traits) = self.traits.get(&ask.service) else {
            return PlacementAttempt::Done(Err(PlacementError::NoneListed));
        };
        let pace = self.paces.get(&ask.service).copied().unwrap_or_default();
        let (mut is_listed, mut is_sound, mut is_free) = (false, false, false);
        let mut best: Option<(&TargetStart, Candidate)> = None;
        let mut required: Vec<(Option<u64>, RequiredPrefix<'_>)> = Vec::new();
        for (id, engine) in &self.engines {
            if engine.listed.service != ask.service || engine.listed.presence != Presence::Live {
                continue;
            }
            is_listed = true;
            if ask.avoid.contains(id) || !engine.health.admits(engine.placed(), now) {
                continue;
            }
            is_sound = true;
            if engine.reads_for(now) >= READS_AHEAD || self.weights.keep_from(id) {
                continue;
            }
            let Some(weights_cost_ms) =
                self.weights.cost_ms(&ask.model, engine.weight_version, now)
            else {
                continue;
            };
            is_free = true;
            let version = engine.weight_version;
            let known = required.iter().position(|(known, _)| *known == version);
            let known = known.unwrap_or_else(|| {
                let (stores, engines) = (self.stores.values(), self.engines.values());
                let may_fetch = self.clock.is_some() && now >= self.fetches_from;
                required.push((
                    version,
                    RequiredPrefix::new(ask, version, stores, engines, may_fetch, now),
                ));
                required.len() - 1
            });
            let Some(mut candidate) = required[known].1.candidate(engine, traits, &pace, now)
            else {
                continue;
            };
            candidate.cost_ms += weights_cost_ms;
            if best.as_ref().is_none_or(|(_, best)| candidate.cost_ms < best.cost_ms) {
                best = Some((id, candidate));
            }
        }
        let Some((target, candidate)) = best else {
            return match (is_listed, is_sound, is_free) {
                (false, ..) => PlacementAttempt::Done(Err(PlacementError::NoneListed)),
                (_, false, _) => PlacementAttempt::Done(Err(PlacementError::NoneSound)),
                (.., false) => PlacementAttempt::AllBusy,
                _ => PlacementAttempt::NoRoom,
            };
        };
        let target = target.clone();
        let version = self.engines.get(&target).and_then(|engine| engine.weight_version);
        let chosen = required.into_iter().find(|(known, _)| *known == version);
        let (salt, keys) =
            chosen.map(|(_, required)| (required.salt, required.keys)).unwrap_or_default();
        PlacementAttempt::Done(Ok(self.grant(target, candidate, salt, keys, waiting, now)))
    }

    fn grant(
        &mut self,
        target: TargetStart,
        candidate: Candidate,
        salt: String,
        keys: Vec<PartKey>,
        waiting: &Waiting,
        now: BootTime,
    ) -> Placed {
        let ask = &waiting.ask;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let shared = shared_count(ask);
        let mut save = vec![None; ask.parts.len()];
        for (at, saved) in save.iter_mut().enumerate().take(shared) {
            let key = keys[at];
            if let Some(address) = candidate.fetch[at] {
                let is_resident = at < candidate.resident;
                self.grant_fetch(address, key, &ask.parts[at], &target, is_resident, now);
            }
            if self.stores.values().any(|store| store.knows(key)) {
                self.stores.values_mut().for_each(|store| store.touch(key, now));
            } else {
                *saved = self.grant_save(key, &salt, &ask.parts[at], &target, now);
            }
        }
        let clock_ms = self.engines_clock_ms(now).unwrap_or_default();
        let mut weight_version = None;
        if let Some(engine) = self.engines.get_mut(&target) {
            weight_version = engine.weight_version;
            for (key, part) in keys.iter().zip(&ask.parts) {
                engine.memory.begin_use(*key, part.tokens);
            }
            let resident_or_fetched =
                candidate.trace.resident_tokens + candidate.trace.fetched_tokens;
            let load = Load {
                parts: keys,
                read_tokens: ask.prompt_tokens.saturating_sub(resident_or_fetched).max(1),
                output_tokens: ask.output_tokens,
                fetch: Duration::from_secs_f64(candidate.fetch_ms / 1e3),
            };
            let pace = self.paces.entry(ask.service.clone()).or_default();
            engine.begin(ticket, load, pace, now);
        }
        let parts = candidate.fetch.iter().zip(&ask.parts).skip(candidate.resident);
        let largest = parts.filter(|(store, _)| store.is_some()).max_by_key(|(_, p)| p.tokens);
        let slowest = largest
            .and_then(|(store, _)| *store)
            .filter(|_| candidate.fetch_ms > candidate.ahead_ms);
        self.tickets.insert(
            ticket,
            Ticket {
                target: target.clone(),
                weight_version,
                since: now,
                slowest,
                fetch_ms: candidate.fetch_ms,
                expected_ms: candidate.ahead_ms.max(candidate.fetch_ms) + candidate.rest_ms,
            },
        );
        Placed {
            ticket,
            target,
            salt,
            weight_version,
            fetch: candidate.fetch,
            save,
            fetch_until_ms: clock_ms + FETCH_LASTS.as_millis() as u64,
            trace: DecisionTrace {
                waited_ms: now.saturating_sub(waiting.since).as_millis() as u32,
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
        let distance = distance(from_domain, &to.failure_domain);
        link.grant(size_bytes, distance, now);
        if let Some(engine) = self.engines.get_mut(target) {
            engine.link.grant(size_bytes, distance, now);
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
        let fits = |store: &&mut Store| store.takes(key, part.tokens, now);
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
            PlacementEvent::FirstPart { ticket, weight_version, load } => {
                let Some(known) = self.tickets.get_mut(ticket) else { return };
                let fetched_from = known.slowest.take();
                let (fetch_ms, expected_ms) = (known.fetch_ms, known.expected_ms);
                let late_ms = millis(now.saturating_sub(known.since)) - expected_ms;
                let target = known.target.clone();
                let Some(engine) = self.engines.get(&target) else { return };
                let lateness = self.lateness.entry(engine.listed.service.clone()).or_default();
                let own_late_ms = late_ms - lateness.usual_ms();
                lateness.add(late_ms);
                if let Some(address) = fetched_from {
                    self.measured(address, &target, fetch_ms, fetch_ms + own_late_ms, now);
                }
                let Some(engine) = self.engines.get_mut(&target) else { return };
                let pace = self.paces.entry(engine.listed.service.clone()).or_default();
                engine.has_read(*ticket, pace, now);
                if let Some(load) = load {
                    engine.reported(*load, now);
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
                    End::OtherWeights(None) => is_same_belief,
                    // Older ones than are believed by all: the list must learn of it, too, or the
                    // engine would never be told to load newer ones.
                    End::OtherWeights(has) => *has < known.weight_version,
                    _ => false,
                };
                observe_end(engine, *end, now);
                if is_doubted {
                    self.weights.doubted.insert(known.target);
                }
            }
        }
    }

    /// Takes how long a fetch took: either end may be the slow one.
    fn measured(
        &mut self,
        from: SocketAddr,
        to: &TargetStart,
        expected_ms: f64,
        took_ms: f64,
        now: BootTime,
    ) {
        if let Some(store) = self.stores.get_mut(&from) {
            store.link.measured(expected_ms, took_ms, now);
        }
        let is_end =
            |(id, engine): &(&TargetStart, &mut Engine)| *id == to || engine.listed.address == from;
        for (_, engine) in self.engines.iter_mut().filter(is_end) {
            engine.link.measured(expected_ms, took_ms, now);
        }
    }

    /// Forgets placements that were lost with their entries.
    pub fn forget_lost(&mut self, now: BootTime) {
        self.engines.values_mut().for_each(|engine| engine.forget_lost(now));
    }
}

fn observe_end(engine: &mut Engine, end: End, now: BootTime) {
    match end {
        End::Whole => engine.health.succeeded(),
        End::Left | End::NotRun => {}
        End::Unreachable => engine.health.unreachable(now),
        End::Failed => engine.health.failed(Fault::Target, now),
        End::OtherWeights(version) => engine.set_weights(version),
        End::Replaced => engine.listed.presence = Presence::Leaving,
    }
}

/// When a refused caller comes back: spread by its name, so that many don't come as a wave.
fn come_back(waiter: WaiterId) -> Duration {
    let (least, most) = COME_BACK;
    let spread = (waiter.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 54) as f64 / 1_024.0;
    least + (most - least).mul_f64(spread)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
