//! A simulation of engines under a mix of prompts, and helpers for tests of the scheduler, on a virtual clock.
//!
//! Modelled on a site with 12 engines, which prefill 140 tokens per millisecond and hold 109,900 tokens each, and
//! 198 prompts per second.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use kumquatpost::deployment::{Deployment, ServiceRole};
use kumquatpost::fleet::Listed;
use kumquatpost::fleet::regions::AllowedDomains;
use kumquatpost::gateway::metadata::{Part, TargetLoad};
use kumquatpost::ids::TargetStart;
use kumquatpost::scheduler::store::{Inventory, StoreEvent, StoredPart};
use kumquatpost::scheduler::{
    EndReason, Placement, PlacementEvent, PlacementRequest, PlacementResult, Scheduler, WaiterId,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixtures::{address, deployment, ms, roster, store_start, target};
use crate::uneven_speed::HostSpeeds;

const PREFILL_TOKENS_PER_MS: f64 = 140.0;
/// Time from the end of prefill to the first token.
const FIRST_TOKEN_LATENCY: Duration = Duration::from_millis(53);
/// Decoding time of a token in a batch.
const MS_PER_OUTPUT_TOKEN: u64 = 5;
/// Of events with nine tokens each.
const TIME_BETWEEN_EVENTS: Duration = Duration::from_millis(9 * MS_PER_OUTPUT_TOKEN);

/// For each kind of prompt: prompts per second, context tokens, own tokens, output tokens, priority and objective in
/// milliseconds.
const PROMPT_KINDS: [(f64, u64, u64, u64, u8, u64); 3] =
    [(37.0, 9_100, 2_900, 42, 2, 600), (71.0, 650, 180, 32, 1, 300), (90.0, 1_900, 500, 3, 0, 400)];
/// Number of different contexts of each kind.
const CONTEXT_COUNTS: [u64; 3] = [373, 707, 900];

pub fn engines(count: u16) -> Vec<Listed> {
    (0..count).map(|n| target(&format!("i-{n:02}"), "llm", address(n))).collect()
}

pub fn simulated_deployment() -> Deployment {
    let mut deployment = deployment(1);
    for service in deployment.services.values_mut() {
        match &mut service.role {
            ServiceRole::Engines(spec) => spec.capacity_tokens = 109_900,
            ServiceRole::Store(spec) => {
                // One store stands for five: it has room for all contexts and the bandwidth of five links.
                spec.capacity_tokens = 7_000_000;
                spec.link_mbps = 5_700_000.0;
            }
            ServiceRole::Plain => {}
        }
    }
    deployment
}

pub fn scheduler(count: u16) -> Scheduler {
    let mut scheduler = Scheduler::new(1, ms(0));
    scheduler.observe_deployment(&simulated_deployment());
    scheduler.observe_roster(&roster(engines(count)));
    let empty = Inventory { start: store_start(1), ..Inventory::default() };
    scheduler.observe_inventory(address(9_000), empty, ms(0));
    scheduler.read_clock(0, ms(0));
    scheduler
}

pub fn placement_request(kind: usize, context: u64, own: u64) -> PlacementRequest {
    let (_, context_tokens, own_tokens, output_tokens, priority, objective_ms) = PROMPT_KINDS[kind];
    let part = |id: String, tokens| Part { id, tokens };
    PlacementRequest {
        service: "llm".to_string(),
        model: "m".to_string(),
        cache_namespace: "all".to_string(),
        parts: vec![
            part(format!("{kind}-context-{context}"), context_tokens),
            part(format!("{kind}-own-{own}"), own_tokens),
        ],
        prompt_tokens: context_tokens + own_tokens,
        output_tokens,
        priority,
        objective: ms(objective_ms),
        time_left: ms(8_000),
        elapsed: ms(0),
        avoid: Vec::new(),
        allowed_domains: AllowedDomains::All,
        software: None,
        ..PlacementRequest::default()
    }
}

pub fn expect_placed(outcome: Option<PlacementResult>) -> Placement {
    outcome.expect("an immediate outcome").expect("a placement")
}

pub fn end_placement(scheduler: &mut Scheduler, ticket: u64, end: EndReason, now: Duration) {
    scheduler.observe(&PlacementEvent::Ended { ticket, end }, now);
}

pub fn observe_first_token(scheduler: &mut Scheduler, ticket: u64, now: Duration) {
    scheduler.observe(
        &PlacementEvent::FirstToken {
            ticket,
            weight_version: Some(1),
            load: None,
            rate_limit: None,
        },
        now,
    );
}

/// Reports the saves that a placement granted as completed.
pub fn finish_saves(
    scheduler: &mut Scheduler,
    placed: &Placement,
    request: &PlacementRequest,
    now: Duration,
) {
    for (store, part) in placed.save.iter().zip(&request.parts) {
        let Some(store) = store else { continue };
        let part =
            StoredPart { salt: placed.salt.clone(), id: part.id.clone(), tokens: part.tokens };
        scheduler.observe_events(*store, vec![StoreEvent::Stored(part)], now);
    }
}

/// Engines that prefill one prompt at a time, and their scheduler.
pub struct Simulation {
    pub scheduler: Scheduler,
    random: SmallRng,
    pub now: Duration,
    /// Prompts without an outcome: kind, request and time of submission.
    undecided: HashMap<WaiterId, (usize, PlacementRequest, Duration)>,
    /// Future events at engines, by time.
    events: BTreeMap<(Duration, u64), EngineEvent>,
    /// When each engine has finished the prefill of its prompts.
    pub free_at: HashMap<TargetStart, Duration>,
    /// Engines at which placements fail.
    pub unreachable: BTreeSet<TargetStart>,
    /// Until when all engines do nothing.
    silent_until: Duration,
    /// Whether engines report with each first token how many prompts they hold.
    pub reports_load: bool,
    /// Decoding time of a token in a batch.
    pub ms_per_output_token: u64,
    /// How fast the engines' hosts are; all as usual if `None`.
    pub hosts: Option<HostSpeeds>,
    /// Prompts at each engine that have not ended.
    held: HashMap<TargetStart, u32>,
    /// Whether each prompt has a context of its own, so that nothing is reused.
    pub has_own_contexts: bool,
    /// Longest pause between events that the scheduler is told of.
    pub max_event_gap: Option<Duration>,
    /// Streams that run: engine, first event, end, and whether they have been late.
    streams: Vec<(TargetStart, Duration, Duration, bool)>,
    /// Streams since the run began in which a prefill has made a pause of more than 300 ms.
    pub late_streams: u32,
    /// Times to first token since the run began.
    pub first_token_times: Vec<Duration>,
    /// Number of prompts on each engine, and the time factor with which it was last chosen.
    pub chosen: BTreeMap<String, (u32, f32)>,
    next_id: u64,
    tally: Tally,
}

enum EngineEvent {
    FirstToken {
        target: TargetStart,
        ticket: u64,
        kind: usize,
        since: Duration,
        saves: Vec<(std::net::SocketAddr, StoredPart)>,
    },
    Ended {
        target: TargetStart,
        ticket: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub submitted: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    pub prefilled_tokens: u64,
    /// Those of `prefilled_tokens` that some engine had computed before.
    pub recomputed_tokens: u64,
}

impl Simulation {
    pub fn new(count: u16) -> Simulation {
        Simulation {
            scheduler: scheduler(count),
            random: SmallRng::seed_from_u64(7),
            now: ms(0),
            undecided: HashMap::new(),
            events: BTreeMap::new(),
            free_at: HashMap::new(),
            unreachable: BTreeSet::new(),
            silent_until: ms(0),
            reports_load: false,
            ms_per_output_token: MS_PER_OUTPUT_TOKEN,
            hosts: None,
            held: HashMap::new(),
            has_own_contexts: false,
            max_event_gap: None,
            streams: Vec::new(),
            late_streams: 0,
            first_token_times: Vec::new(),
            chosen: BTreeMap::new(),
            next_id: 0,
            tally: Tally::default(),
        }
    }

    /// Runs for some seconds at `load` times the usual rate of prompts, and returns the outcomes.
    pub fn run(&mut self, seconds: u64, load: f64) -> Tally {
        self.tally = Tally::default();
        self.first_token_times.clear();
        self.late_streams = 0;
        let until = self.now + Duration::from_secs(seconds);
        while self.now < until {
            self.now += ms(1);
            for (kind, (rate, ..)) in PROMPT_KINDS.iter().enumerate() {
                if self.random.random::<f64>() < rate * load / 1_000.0 {
                    self.submit(kind);
                }
            }
            self.process_events();
            self.scheduler.read_clock(self.now.as_millis() as u64, self.now);
            for (waiter, outcome) in self.scheduler.dispatch(self.now) {
                self.handle_outcome(waiter, outcome);
            }
        }
        self.tally
    }

    /// Makes all engines do nothing for a while, and then go on.
    pub fn fall_silent(&mut self, silence: Duration) {
        self.silent_until = self.now + silence;
        let events = std::mem::take(&mut self.events).into_iter();
        self.events = events.map(|((at, id), event)| ((at + silence, id), event)).collect();
        self.free_at.values_mut().for_each(|free_at| *free_at += silence);
    }

    /// Loses all entries: nothing more is reported of their prompts, which engines run to their ends, and those that
    /// wait are withdrawn.
    pub fn lose_entries(&mut self) {
        for event in std::mem::take(&mut self.events).into_values() {
            if let EngineEvent::Ended { target, .. } = event {
                self.held.entry(target).and_modify(|held| *held -= 1);
            }
        }
        self.undecided.drain().for_each(|(waiter, _)| self.scheduler.withdraw(waiter));
    }

    fn submit(&mut self, kind: usize) {
        self.next_id += 1;
        let context = match self.has_own_contexts {
            true => self.next_id,
            false => self.random.random_range(0..CONTEXT_COUNTS[kind]),
        };
        let max_event_gap = self.max_event_gap;
        let request =
            PlacementRequest { max_event_gap, ..placement_request(kind, context, self.next_id) };
        self.tally.submitted += 1;
        self.undecided.insert(self.next_id, (kind, request.clone(), self.now));
        if let Some(outcome) = self.scheduler.submit(self.next_id, request, self.now) {
            self.handle_outcome(self.next_id, outcome);
        }
    }

    fn handle_outcome(&mut self, waiter: WaiterId, outcome: PlacementResult) {
        let (kind, request, since) = self.undecided.remove(&waiter).expect("a submitted prompt");
        let Ok(placed) = outcome else {
            self.tally.refused += 1;
            return;
        };
        if self.unreachable.contains(&placed.target) {
            self.scheduler.observe(
                &PlacementEvent::Ended { ticket: placed.ticket, end: EndReason::Unreachable },
                self.now,
            );
            self.undecided.insert(waiter, (kind, request.clone(), since));
            let again = PlacementRequest { avoid: vec![placed.target], ..request };
            if let Some(outcome) = self.scheduler.submit(waiter, again, self.now) {
                self.handle_outcome(waiter, outcome);
            }
            return;
        }
        let (count, factor) = self.chosen.entry(placed.target.id.clone()).or_default();
        (*count, *factor) = (*count + 1, placed.trace.speed_factor);
        let reused = placed.trace.resident_tokens + placed.trace.fetched_tokens;
        let tokens = request.prompt_tokens.saturating_sub(reused);
        self.tally.prefilled_tokens += tokens;
        self.tally.recomputed_tokens += placed.trace.recomputed.total();
        let free_at = self.free_at.entry(placed.target.clone()).or_default();
        let begins_at = (*free_at).max(self.now).max(self.silent_until);
        let prefill = Duration::from_secs_f64(tokens as f64 / PREFILL_TOKENS_PER_MS / 1e3);
        let work = |from, usual| match &self.hosts {
            Some(hosts) => hosts.end_of_work(&placed.target, from, usual),
            None => from + usual,
        };
        *free_at = work(begins_at, prefill);
        let first_at = work(*free_at, FIRST_TOKEN_LATENCY);
        *self.held.entry(placed.target.clone()).or_default() += 1;
        let target = placed.target.clone();
        let free_at = *free_at;
        let saves = placed.save.iter().zip(&request.parts).filter_map(|(store, part)| {
            let salt = placed.salt.clone();
            let part = StoredPart { salt, id: part.id.clone(), tokens: part.tokens };
            store.map(|store| (store, part))
        });
        let first = EngineEvent::FirstToken {
            target: target.clone(),
            ticket: placed.ticket,
            kind,
            since,
            saves: saves.collect(),
        };
        self.events.insert((first_at, self.next_id * 2), first);
        self.next_id += 1;
        let event_time = work(self.now, TIME_BETWEEN_EVENTS) - self.now;
        let pause = free_at.saturating_sub(self.now) + event_time;
        let now = self.now;
        self.streams.retain(|(_, _, ends_at, _)| *ends_at > now);
        for (engine, began_at, _, is_late) in &mut self.streams {
            if engine == &placed.target && *began_at <= now && pause > ms(300) && !*is_late {
                *is_late = true;
                self.late_streams += 1;
            }
        }
        let ends_at = work(first_at, ms(request.output_tokens * self.ms_per_output_token));
        self.streams.push((target.clone(), first_at, ends_at, false));
        self.events.insert(
            (ends_at, self.next_id * 2 + 1),
            EngineEvent::Ended { target, ticket: placed.ticket },
        );
        self.next_id += 1;
    }

    fn process_events(&mut self) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                EngineEvent::FirstToken { target, ticket, kind, since, saves } => {
                    let figure = self.hosts.as_ref().map(|hosts| hosts.figure(&target, self.now));
                    let load = (self.reports_load || figure.is_some()).then(|| TargetLoad {
                        running: self.held.get(&target).copied().unwrap_or_default(),
                        work_time_percent: figure.flatten(),
                        ..TargetLoad::default()
                    });
                    let (weight_version, rate_limit) = (Some(1), None);
                    self.scheduler.observe(
                        &PlacementEvent::FirstToken { ticket, weight_version, load, rate_limit },
                        self.now,
                    );
                    for (store, part) in saves {
                        let event = vec![StoreEvent::Stored(part)];
                        self.scheduler.observe_events(store, event, self.now);
                    }
                    self.first_token_times.push(self.now - since);
                    match self.now - since <= ms(PROMPT_KINDS[kind].5) {
                        true => self.tally.on_time += 1,
                        false => self.tally.late += 1,
                    }
                }
                EngineEvent::Ended { target, ticket } => {
                    self.held.entry(target).and_modify(|held| *held -= 1);
                    end_placement(&mut self.scheduler, ticket, EndReason::Completed, self.now)
                }
            }
        }
    }
}

impl Tally {
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.submitted)
    }
}
