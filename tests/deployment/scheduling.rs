//! The scheduler under the load patterns of a day, on a virtual clock.
//!
//! Figures: the first site's engines (12, 140 tokens read in a millisecond, 109,900 tokens of memory)
//! and its mix of prompts at 198 a second: 37 with a context of 9,100 tokens and 2,900 of their own,
//! 71 with 650 and 180, 90 with 1,900 and 500; the first part of an answer comes 53 ms after reading.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use kumquatpost::deployment::{Deployment, ServiceRole};
use kumquatpost::fleet::Listed;
use kumquatpost::gateway::call::Part;
use kumquatpost::ids::TargetStart;
use kumquatpost::scheduler::pace::Pace;
use kumquatpost::scheduler::store::{Inventory, StoreEvent, StoredPart};
use kumquatpost::scheduler::{Ask, End, Note, Outcome, Placed, Scheduler, Unplaced, WaiterId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixtures::{address, deployment, ms, roster, start, store_start, target};

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

fn site() -> Deployment {
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
    scheduler.take_deployment(&site());
    scheduler.take_roster(&roster(engines(count)));
    let empty = Inventory { start: store_start(1), ..Inventory::default() };
    scheduler.take_inventory(address(9_000), empty, ms(0));
    scheduler.read_clock(0, ms(0));
    scheduler
}

pub fn ask_of(kind: usize, context: u64, own: u64) -> Ask {
    let (_, context_tokens, own_tokens, output_tokens, priority, objective_ms) = MIX[kind];
    let part = |id: String, tokens| Part { id, tokens };
    Ask {
        service: "llm".to_string(),
        model: "m".to_string(),
        wall: "all".to_string(),
        parts: vec![
            part(format!("{kind}-context-{context}"), context_tokens),
            part(format!("{kind}-own-{own}"), own_tokens),
        ],
        prompt_tokens: context_tokens + own_tokens,
        output_tokens,
        priority,
        objective: ms(objective_ms),
        time_left: ms(8_000),
        avoid: Vec::new(),
    }
}

pub fn placed(outcome: Option<Outcome>) -> Placed {
    outcome.expect("it need not wait").expect("it is placed")
}

pub fn end(scheduler: &mut Scheduler, ticket: u64, end: End, now: Duration) {
    scheduler.note(&Note::Ended { ticket, end }, now);
}

fn first(scheduler: &mut Scheduler, ticket: u64, now: Duration) {
    scheduler.note(&Note::FirstPart { ticket, weight_version: Some(1), load: None }, now);
}

/// Makes what was granted to be saved whole.
fn finish_saves(scheduler: &mut Scheduler, placed: &Placed, ask: &Ask, now: Duration) {
    for (store, part) in placed.save.iter().zip(&ask.parts) {
        let Some(store) = store else { continue };
        let part =
            StoredPart { salt: placed.salt.clone(), id: part.id.clone(), tokens: part.tokens };
        scheduler.take_events(*store, vec![StoreEvent::Stored(part)], now);
    }
}

#[test]
fn a_context_is_saved_once_and_fetched_by_others() {
    let mut scheduler = scheduler(2);
    let ask = ask_of(0, 1, 1);
    let one = placed(scheduler.submit(1, ask.clone(), ms(10)));
    assert!(one.save[0].is_some() && one.save[1].is_none(), "the own part is not shared");
    let two =
        placed(scheduler.submit(2, Ask { avoid: vec![one.target.clone()], ..ask.clone() }, ms(11)));
    assert_eq!((two.save[0], two.fetch[0]), (None, None), "its save has been granted already");
    finish_saves(&mut scheduler, &one, &ask, ms(200));
    end(&mut scheduler, one.ticket, End::Whole, ms(300));
    end(&mut scheduler, two.ticket, End::Left, ms(300));
    let avoid = vec![one.target];
    let three = placed(scheduler.submit(3, Ask { avoid, ..ask }, ms(400)));
    assert_eq!(three.fetch[0], Some(address(9_000)));
    assert_eq!(three.fetch_until_ms, 400 + 1_500, "and not after that");
    assert_eq!(three.grounds.fetched_tokens, 9_100);
}

#[test]
fn without_the_engines_clock_nothing_is_fetched() {
    let mut scheduler = Scheduler::new(1, ms(0));
    scheduler.take_deployment(&site());
    scheduler.take_roster(&roster(engines(2)));
    let ask = ask_of(0, 1, 1);
    let whole =
        vec![StoredPart { salt: "all/m/1".into(), id: ask.parts[0].id.clone(), tokens: 9_100 }];
    let inventory = Inventory { start: store_start(1), whole, ..Inventory::default() };
    scheduler.take_inventory(address(9_000), inventory, ms(0));
    assert_eq!(placed(scheduler.submit(1, ask.clone(), ms(10))).fetch[0], None);
    scheduler.read_clock(77, ms(20));
    let avoid = vec![start("i-00")];
    assert!(placed(scheduler.submit(2, Ask { avoid, ..ask }, ms(30))).fetch[0].is_some());
}

#[test]
fn walls_and_weights_share_nothing() {
    let mut scheduler = scheduler(1);
    let ask = ask_of(0, 1, 1);
    let one = placed(scheduler.submit(1, ask.clone(), ms(10)));
    finish_saves(&mut scheduler, &one, &ask, ms(200));
    first(&mut scheduler, one.ticket, ms(200));
    end(&mut scheduler, one.ticket, End::Whole, ms(300));
    let walled = Ask { wall: "only:beta".to_string(), ..ask.clone() };
    let two = placed(scheduler.submit(2, walled, ms(400)));
    assert_eq!((two.grounds.resident_tokens, two.fetch[0]), (0, None));
    assert_ne!(two.salt, one.salt);
    end(&mut scheduler, two.ticket, End::Left, ms(410));
    let three = placed(scheduler.submit(3, ask_of(0, 1, 3), ms(420)));
    assert_eq!(three.grounds.resident_tokens, 9_100);
    end(&mut scheduler, three.ticket, End::OtherWeights(Some(2)), ms(430));
    let four = placed(scheduler.submit(4, ask, ms(440)));
    assert_eq!(
        (four.weight_version, four.grounds.resident_tokens, four.fetch[0]),
        (Some(2), 0, None)
    );
    assert!(four.save[0].is_some(), "the new weights' part is another part");
}

#[test]
fn an_engine_that_refuses_weights_and_names_none_gets_nothing_until_it_was_asked() {
    let mut scheduler = scheduler(1);
    let one = placed(scheduler.submit(1, ask_of(1, 1, 1), ms(10)));
    let two = placed(scheduler.submit(2, ask_of(1, 1, 2), ms(11)));
    end(&mut scheduler, one.ticket, End::OtherWeights(None), ms(20));
    assert!(scheduler.submit(3, ask_of(1, 1, 3), ms(21)).is_none(), "it waits");
    assert_eq!(scheduler.doubted(), [(start("i-00"), address(0))]);
    scheduler.resolve(&one.target, Some(2));
    // What was sent before, under the same belief, tells nothing new.
    end(&mut scheduler, two.ticket, End::OtherWeights(None), ms(30));
    assert_eq!(scheduler.doubted(), []);
    let (_, outcome) = scheduler.dispatch(ms(31)).remove(0);
    assert_eq!(outcome.expect("placed").weight_version, Some(2));
    // The list lags: it must not turn that back.
    scheduler.take_roster(&roster(engines(1)));
    assert_eq!(placed(scheduler.submit(4, ask_of(1, 1, 4), ms(40))).weight_version, Some(2));
}

#[test]
fn a_new_scheduler_frees_nothing_while_fetches_of_the_last_one_may_be_under_way() {
    let mut scheduler = Scheduler::new(1, ms(10_000));
    let mut site = site();
    for service in site.services.values_mut() {
        if let ServiceRole::Store(traits) = &mut service.role {
            traits.capacity_tokens = 10_000;
        }
    }
    scheduler.take_deployment(&site);
    let whole = (0..10).map(|n| StoredPart { salt: "s".into(), id: n.to_string(), tokens: 992 });
    let inventory =
        Inventory { start: store_start(1), whole: whole.collect(), ..Inventory::default() };
    scheduler.take_inventory(address(9_000), inventory, ms(10_000));
    assert!(scheduler.plan_frees(ms(12_400)).is_empty());
    assert_eq!(scheduler.plan_frees(ms(12_600)).len(), 1);
}

#[test]
fn out_of_order_and_leaving_engines_get_nothing() {
    let mut scheduler = scheduler(2);
    let one = placed(scheduler.submit(1, ask_of(1, 1, 1), ms(10)));
    end(&mut scheduler, one.ticket, End::Unreachable, ms(20));
    let two = placed(scheduler.submit(2, ask_of(1, 1, 2), ms(30)));
    assert_ne!(two.target, one.target);
    end(&mut scheduler, two.ticket, End::Replaced, ms(40));
    assert_eq!(scheduler.submit(3, ask_of(1, 1, 3), ms(50)), Some(Err(Unplaced::NoneSound)));
    let three = placed(scheduler.submit(4, ask_of(1, 1, 4), ms(700)));
    assert_eq!(three.target, one.target, "tried again after a while");
    let elsewhere = Ask { service: "app".to_string(), ..ask_of(1, 1, 5) };
    assert_eq!(scheduler.submit(5, elsewhere, ms(710)), Some(Err(Unplaced::NoneListed)));
}

#[test]
fn a_caller_who_leaves_while_waiting_takes_no_place() {
    let mut scheduler = scheduler(1);
    let one = placed(scheduler.submit(1, ask_of(0, 1, 1), ms(0)));
    assert_eq!(scheduler.submit(2, ask_of(0, 2, 2), ms(1)), None, "the engine is busy");
    assert_eq!(scheduler.submit(3, ask_of(0, 3, 3), ms(2)), None);
    scheduler.withdraw(2);
    end(&mut scheduler, one.ticket, End::Left, ms(3));
    let outcomes = scheduler.dispatch(ms(4));
    assert_eq!(outcomes.iter().map(|(waiter, _)| *waiter).collect::<Vec<_>>(), [3]);
}

#[test]
fn who_has_no_hope_is_told_at_once_and_comes_back_spread_out() {
    let mut scheduler = scheduler(1);
    placed(scheduler.submit(0, ask_of(0, 1, 1), ms(0)));
    for waiter in 1..=40 {
        assert_eq!(scheduler.submit(waiter, ask_of(0, waiter, waiter), ms(1)), None);
    }
    let refused = scheduler.dispatch(ms(400));
    let back: BTreeSet<Duration> = refused
        .into_iter()
        .filter_map(|(_, outcome)| match outcome {
            Err(Unplaced::Busy(after)) => Some(after),
            _ => None,
        })
        .collect();
    assert!(back.len() > 20, "they don't come as a wave: {back:?}");
    assert!(back.iter().all(|after| (ms(250)..=ms(700)).contains(after)));
}

#[test]
fn urgent_prompts_go_first_but_starve_nobody() {
    let mut scheduler = scheduler(1);
    placed(scheduler.submit(0, ask_of(0, 0, 0), ms(0)));
    for waiter in 1..=60 {
        let kind = if waiter <= 10 { 0 } else { 2 };
        assert_eq!(scheduler.submit(waiter, ask_of(kind, waiter, waiter), ms(1)), None);
    }
    let mut order = Vec::new();
    for at in 1..180 {
        for (waiter, outcome) in scheduler.dispatch(ms(at)) {
            let Ok(placed) = outcome else { continue };
            order.push(waiter);
            end(&mut scheduler, placed.ticket, End::Whole, ms(at));
        }
    }
    let less_urgent = order.iter().take(50).filter(|waiter| **waiter <= 10).count();
    assert!((1..=4).contains(&less_urgent), "{order:?}");
}

/// A world of engines that read one prompt after another.
struct World {
    scheduler: Scheduler,
    random: SmallRng,
    now: Duration,
    asks: HashMap<WaiterId, (usize, Ask, Duration)>,
    /// What happens to prompts at engines, by time.
    due: BTreeMap<(Duration, u64), Due>,
    free_at: HashMap<TargetStart, Duration>,
    dead: BTreeSet<TargetStart>,
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
struct Tally {
    asked: u32,
    in_aim: u32,
    late: u32,
    refused: u32,
    read_tokens: u64,
}

impl World {
    fn new(count: u16) -> World {
        World {
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
    fn run(&mut self, seconds: u64, load: f64) -> Tally {
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
        let ask = ask_of(kind, context, self.next);
        self.tally.asked += 1;
        self.asks.insert(self.next, (kind, ask.clone(), self.now));
        if let Some(outcome) = self.scheduler.submit(self.next, ask, self.now) {
            self.take(self.next, outcome);
        }
    }

    fn take(&mut self, waiter: WaiterId, outcome: Outcome) {
        let (kind, ask, since) = self.asks.remove(&waiter).expect("it was asked");
        let Ok(placed) = outcome else {
            self.tally.refused += 1;
            return;
        };
        if self.dead.contains(&placed.target) {
            self.scheduler
                .note(&Note::Ended { ticket: placed.ticket, end: End::Unreachable }, self.now);
            self.asks.insert(waiter, (kind, ask.clone(), since));
            let again = Ask { avoid: vec![placed.target], ..ask };
            if let Some(outcome) = self.scheduler.submit(waiter, again, self.now) {
                self.take(waiter, outcome);
            }
            return;
        }
        let kept = placed.grounds.resident_tokens + placed.grounds.fetched_tokens;
        let tokens = ask.prompt_tokens.saturating_sub(kept);
        self.tally.read_tokens += tokens;
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
                    first(&mut self.scheduler, ticket, self.now);
                    for (store, part) in saves {
                        let event = vec![StoreEvent::Stored(part)];
                        self.scheduler.take_events(store, event, self.now);
                    }
                    match self.now - since <= ms(MIX[kind].5) {
                        true => self.tally.in_aim += 1,
                        false => self.tally.late += 1,
                    }
                }
                Due::End { ticket } => end(&mut self.scheduler, ticket, End::Whole, self.now),
            }
        }
    }
}

impl Tally {
    fn part_in_aim(&self) -> f64 {
        f64::from(self.in_aim) / f64::from(self.asked)
    }
}

/// A calm day: all are on time, and once contexts are kept little is read again.
#[test]
fn calm_load_is_served_and_kept_contexts_are_not_read_again() {
    let mut world = World::new(12);
    let cold = world.run(10, 1.0);
    assert!(cold.part_in_aim() > 0.98, "{cold:?}");
    world.run(20, 1.0);
    let warm = world.run(10, 1.0);
    assert!(warm.part_in_aim() > 0.99, "{warm:?}");
    let per_prompt = |tally: Tally| tally.read_tokens / u64::from(tally.asked);
    // Own tokens of the mix: 830 a prompt.
    assert!(per_prompt(warm) < 1_100, "{} tokens a prompt", per_prompt(warm));
    assert!(per_prompt(cold) > 2_000, "{} tokens a prompt", per_prompt(cold));
}

/// A quarter of the engines goes silent while caches are still cold: the rest is not drowned, and
/// who is served is on time.
#[test]
fn with_a_quarter_of_the_engines_gone_most_are_still_on_time() {
    let mut world = World::new(12);
    world.run(3, 1.0);
    world.dead = (0..3).map(|n| start(&format!("i-{n:02}"))).collect();
    let hit = world.run(5, 1.0);
    assert!(hit.part_in_aim() > 0.85, "{hit:?}");
    world.dead.clear();
    let back = world.run(10, 1.0);
    assert!(back.part_in_aim() > 0.97, "{back:?}");
}

/// A scheduler takes over just when entries, left alone for a second, have filled all engines: it
/// must not take them for slow ones for longer than they are.
#[test]
fn engines_that_are_found_full_are_not_taken_for_slow() {
    let mut world = World::new(12);
    for engine in engines(12) {
        world.free_at.insert(engine.start, ms(1_500));
    }
    world.run(3, 1.0);
    let after = world.run(5, 1.0);
    assert!(after.part_in_aim() > 0.97, "{after:?}");
}

/// Many users come at once, three times what engines can read: those that are served are on time,
/// the others are told at once, and the wave leaves nothing behind.
#[test]
fn a_burst_is_refused_in_part_and_leaves_no_queue_behind() {
    let mut world = World::new(4);
    world.run(10, 0.3);
    let burst = world.run(6, 3.0);
    assert!(burst.refused > burst.asked / 10, "{burst:?}");
    assert!(burst.late * 20 < burst.in_aim, "{burst:?}");
    world.run(1, 0.3);
    let after = world.run(5, 0.3);
    assert!(after.part_in_aim() > 0.97, "{after:?}");
    assert_eq!(world.scheduler.waiting(), 0);
}

#[test]
fn an_engines_pace_is_learned_also_if_it_is_far_from_what_was_assumed() {
    for (tokens_per_ms, base_ms) in [(30.0, 120), (140.0, 53), (300.0, 10)] {
        let mut pace = Pace::default();
        for n in 0..3_000 {
            let tokens = 100 + (n * 37) % 5_000;
            let reads = Duration::from_secs_f64(tokens as f64 / tokens_per_ms / 1e3);
            pace.measured(tokens, reads + ms(base_ms));
        }
        let learned = pace.reading(1_000) + pace.base();
        let real = Duration::from_secs_f64(1_000.0 / tokens_per_ms / 1e3) + ms(base_ms);
        let ratio = learned.as_secs_f64() / real.as_secs_f64();
        assert!((0.8..1.25).contains(&ratio), "{tokens_per_ms} {base_ms}: {ratio}");
    }
}

/// A scheduler that takes over after entries were left alone finds engines full that it thinks idle.
#[test]
fn times_of_engines_that_were_not_idle_hardly_count() {
    let mut pace = Pace::default();
    let before = pace.reading(1_000) + pace.base();
    for n in 0..60 {
        pace.measured(200 + n * 40, ms(1_500));
    }
    let after = pace.reading(1_000) + pace.base();
    assert!(after < before * 3, "{before:?} became {after:?}");
}

/// It runs older weights than it was found with, so the belief of all is wrong.
#[test]
fn an_engine_that_runs_older_weights_than_believed_is_asked() {
    let mut scheduler = scheduler(1);
    let mut listed = engines(1);
    listed[0].weights.insert("m".to_string(), 2);
    scheduler.take_roster(&roster(listed));
    let one = placed(scheduler.submit(1, ask_of(1, 1, 1), ms(10)));
    let two = placed(scheduler.submit(2, ask_of(1, 1, 2), ms(80)));
    assert_eq!(one.weight_version, Some(2));
    end(&mut scheduler, one.ticket, End::OtherWeights(Some(3)), ms(90));
    assert_eq!(scheduler.doubted(), [], "newer ones come to the list by themselves");
    end(&mut scheduler, two.ticket, End::OtherWeights(Some(1)), ms(91));
    assert_eq!(scheduler.doubted().len(), 1);
}
