//! A site's mix of prompts, and engines that read them, on a virtual clock.
//!
//! Figures: the first site's engines (12, 140 tokens read in a millisecond, 109,900 tokens of memory)
//! and its mix of prompts at 198 a second: 37 with a context of 9,100 tokens and 2,900 of their own,
//! 71 with 650 and 180, 90 with 1,900 and 500; the first part of an answer comes 53 ms after reading.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use kumquatpost::deployment::{Deployment, ServiceRole};
use kumquatpost::fleet::Listed;
use kumquatpost::gateway::metadata::Part;
use kumquatpost::ids::TargetStart;
use kumquatpost::scheduler::store::{Inventory, StoreEvent, StoredPart};
use kumquatpost::scheduler::{
    EndReason, Placement, PlacementEvent, PlacementRequest, PlacementResult, Scheduler, WaiterId,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixtures::{address, deployment, ms, roster, store_start, target};

const READ_TOKENS_PER_MS: f64 = 140.0;
const FIRST_AFTER: Duration = Duration::from_millis(53);
/// A token every few milliseconds beside others.
const MS_PER_OUTPUT_TOKEN: u64 = 5;

/// The three kinds of prompt: rate, context, own tokens, output, priority, objective.
const MIX: [(f64, u64, u64, u64, u8, u64); 3] =
    [(37.0, 9_100, 2_900, 42, 2, 600), (71.0, 650, 180, 32, 1, 300), (90.0, 1_900, 500, 3, 0, 400)];
/// Contexts of each kind.
const CONTEXTS: [u64; 3] = [373, 707, 900];

pub fn engines(count: u16) -> Vec<Listed> {
    (0..count).map(|n| target(&format!("i-{n:02}"), "llm", address(n))).collect()
}

pub fn simulated_deployment() -> Deployment {
    let mut site = deployment(1);
    for service in site.services.values_mut() {
        match &mut service.role {
            ServiceRole::Engines(traits) => traits.capacity_tokens = 109_900,
            ServiceRole::Store(traits) => {
                // Room for all contexts, and the links of the site's five stores in one.
                traits.capacity_tokens = 7_000_000;
                traits.link_mbps = 5_700_000.0;
            }
            ServiceRole::Plain => {}
        }
    }
    site
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
    let (_, context_tokens, own_tokens, output_tokens, priority, objective_ms) = MIX[kind];
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
    }
}

pub fn expect_placed(outcome: Option<PlacementResult>) -> Placement {
    outcome.expect("it need not wait").expect("it is placed")
}

pub fn end_placement(scheduler: &mut Scheduler, ticket: u64, end: EndReason, now: Duration) {
    scheduler.observe(&PlacementEvent::Ended { ticket, end }, now);
}

pub fn observe_first_token(scheduler: &mut Scheduler, ticket: u64, now: Duration) {
    scheduler
        .observe(&PlacementEvent::FirstToken { ticket, weight_version: Some(1), load: None }, now);
}

/// Makes what was granted to be saved whole.
pub fn finish_saves(
    scheduler: &mut Scheduler,
    placed: &Placement,
    ask: &PlacementRequest,
    now: Duration,
) {
    for (store, part) in placed.save.iter().zip(&ask.parts) {
        let Some(store) = store else { continue };
        let part =
            StoredPart { salt: placed.salt.clone(), id: part.id.clone(), tokens: part.tokens };
        scheduler.observe_events(*store, vec![StoreEvent::Stored(part)], now);
    }
}

/// A world of engines that read one prompt after another.
pub struct Simulation {
    pub scheduler: Scheduler,
    random: SmallRng,
    pub now: Duration,
    asks: HashMap<WaiterId, (usize, PlacementRequest, Duration)>,
    /// What happens to prompts at engines, by time.
    due: BTreeMap<(Duration, u64), Due>,
    pub free_at: HashMap<TargetStart, Duration>,
    pub dead: BTreeSet<TargetStart>,
    next: u64,
    tally: Tally,
}

enum Due {
    First {
        ticket: u64,
        kind: usize,
        since: Duration,
        saves: Vec<(std::net::SocketAddr, StoredPart)>,
    },
    End {
        ticket: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    pub prefilled_tokens: u64,
    /// Of these, tokens of contexts that some engine had read before.
    pub recomputed_tokens: u64,
}

impl Simulation {
    pub fn new(count: u16) -> Simulation {
        Simulation {
            scheduler: scheduler(count),
            random: SmallRng::seed_from_u64(7),
            now: ms(0),
            asks: HashMap::new(),
            due: BTreeMap::new(),
            free_at: HashMap::new(),
            dead: BTreeSet::new(),
            next: 0,
            tally: Tally::default(),
        }
    }

    /// Runs for some seconds at `load` times the site's rate, and returns what came of it.
    pub fn run(&mut self, seconds: u64, load: f64) -> Tally {
        self.tally = Tally::default();
        let until = self.now + Duration::from_secs(seconds);
        while self.now < until {
            self.now += ms(1);
            for (kind, (rate, ..)) in MIX.iter().enumerate() {
                if self.random.random::<f64>() < rate * load / 1_000.0 {
                    self.ask(kind);
                }
            }
            self.work();
            self.scheduler.read_clock(self.now.as_millis() as u64, self.now);
            for (waiter, outcome) in self.scheduler.dispatch(self.now) {
                self.take(waiter, outcome);
            }
        }
        self.tally
    }

    fn ask(&mut self, kind: usize) {
        self.next += 1;
        let context = self.random.random_range(0..CONTEXTS[kind]);
        let ask = placement_request(kind, context, self.next);
        self.tally.asked += 1;
        self.asks.insert(self.next, (kind, ask.clone(), self.now));
        if let Some(outcome) = self.scheduler.submit(self.next, ask, self.now) {
            self.take(self.next, outcome);
        }
    }

    fn take(&mut self, waiter: WaiterId, outcome: PlacementResult) {
        let (kind, ask, since) = self.asks.remove(&waiter).expect("it was asked");
        let Ok(placed) = outcome else {
            self.tally.refused += 1;
            return;
        };
        if self.dead.contains(&placed.target) {
            self.scheduler.observe(
                &PlacementEvent::Ended { ticket: placed.ticket, end: EndReason::Unreachable },
                self.now,
            );
            self.asks.insert(waiter, (kind, ask.clone(), since));
            let again = PlacementRequest { avoid: vec![placed.target], ..ask };
            if let Some(outcome) = self.scheduler.submit(waiter, again, self.now) {
                self.take(waiter, outcome);
            }
            return;
        }
        let kept = placed.trace.resident_tokens + placed.trace.fetched_tokens;
        let tokens = ask.prompt_tokens.saturating_sub(kept);
        self.tally.prefilled_tokens += tokens;
        self.tally.recomputed_tokens += placed.trace.recomputed.total();
        let free_at = self.free_at.entry(placed.target.clone()).or_default();
        *free_at = (*free_at).max(self.now)
            + Duration::from_secs_f64(tokens as f64 / READ_TOKENS_PER_MS / 1e3);
        let first_at = *free_at + FIRST_AFTER;
        let saves = placed.save.iter().zip(&ask.parts).filter_map(|(store, part)| {
            let salt = placed.salt.clone();
            let part = StoredPart { salt, id: part.id.clone(), tokens: part.tokens };
            store.map(|store| (store, part))
        });
        let first = Due::First { ticket: placed.ticket, kind, since, saves: saves.collect() };
        self.due.insert((first_at, self.next * 2), first);
        self.next += 1;
        let ends_at = first_at + ms(ask.output_tokens * MS_PER_OUTPUT_TOKEN);
        self.due.insert((ends_at, self.next * 2 + 1), Due::End { ticket: placed.ticket });
        self.next += 1;
    }

    fn work(&mut self) {
        while let Some(entry) = self.due.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Due::First { ticket, kind, since, saves } => {
                    observe_first_token(&mut self.scheduler, ticket, self.now);
                    for (store, part) in saves {
                        let event = vec![StoreEvent::Stored(part)];
                        self.scheduler.observe_events(store, event, self.now);
                    }
                    match self.now - since <= ms(MIX[kind].5) {
                        true => self.tally.on_time += 1,
                        false => self.tally.late += 1,
                    }
                }
                Due::End { ticket } => {
                    end_placement(&mut self.scheduler, ticket, EndReason::Completed, self.now)
                }
            }
        }
    }
}

impl Tally {
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked)
    }
}
