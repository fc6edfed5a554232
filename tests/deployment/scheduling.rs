//! The scheduler under the load patterns of a day, on a virtual clock.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquatpost::deployment::ServiceRole;
use kumquatpost::scheduler::prefill::PrefillEstimator;
use kumquatpost::scheduler::store::{Inventory, StoredPart};
use kumquatpost::scheduler::{EndReason, PlacementError, PlacementRequest, Scheduler};

use crate::fixtures::{address, ms, roster, start, store_start};
use crate::load::{
    Simulation, Tally, end_placement, engines, expect_placed, finish_saves, observe_first_token,
    placement_request, scheduler, simulated_deployment,
};

#[test]
fn a_context_is_saved_once_and_fetched_by_others() {
    let mut scheduler = scheduler(2);
    let ask = placement_request(0, 1, 1);
    let one = expect_placed(scheduler.submit(1, ask.clone(), ms(10)));
    assert!(one.save[0].is_some() && one.save[1].is_none(), "the own part is not shared");
    let two = expect_placed(scheduler.submit(
        2,
        PlacementRequest { avoid: vec![one.target.clone()], ..ask.clone() },
        ms(11),
    ));
    assert_eq!((two.save[0], two.fetch[0]), (None, None), "its save has been granted already");
    finish_saves(&mut scheduler, &one, &ask, ms(200));
    end_placement(&mut scheduler, one.ticket, EndReason::Completed, ms(300));
    end_placement(&mut scheduler, two.ticket, EndReason::Cancelled, ms(300));
    let avoid = vec![one.target];
    let three = expect_placed(scheduler.submit(3, PlacementRequest { avoid, ..ask }, ms(400)));
    assert_eq!(three.fetch[0], Some(address(9_000)));
    assert_eq!(three.fetch_until_ms, 400 + 1_500, "and not after that");
    assert_eq!(three.trace.fetched_tokens, 9_100);
}

#[test]
fn without_the_engines_clock_nothing_is_fetched() {
    let mut scheduler = Scheduler::new(1, ms(0));
    scheduler.observe_deployment(&simulated_deployment());
    scheduler.observe_roster(&roster(engines(2)));
    let ask = placement_request(0, 1, 1);
    let complete =
        vec![StoredPart { salt: "all/m/1".into(), id: ask.parts[0].id.clone(), tokens: 9_100 }];
    let inventory = Inventory { start: store_start(1), complete, ..Inventory::default() };
    scheduler.observe_inventory(address(9_000), inventory, ms(0));
    assert_eq!(expect_placed(scheduler.submit(1, ask.clone(), ms(10))).fetch[0], None);
    scheduler.read_clock(77, ms(20));
    let avoid = vec![start("i-00")];
    assert!(
        expect_placed(scheduler.submit(2, PlacementRequest { avoid, ..ask }, ms(30))).fetch[0]
            .is_some()
    );
}

#[test]
fn walls_and_weights_share_nothing() {
    let mut scheduler = scheduler(1);
    let ask = placement_request(0, 1, 1);
    let one = expect_placed(scheduler.submit(1, ask.clone(), ms(10)));
    finish_saves(&mut scheduler, &one, &ask, ms(200));
    observe_first_token(&mut scheduler, one.ticket, ms(200));
    end_placement(&mut scheduler, one.ticket, EndReason::Completed, ms(300));
    let walled = PlacementRequest { cache_namespace: "only:beta".to_string(), ..ask.clone() };
    let two = expect_placed(scheduler.submit(2, walled, ms(400)));
    assert_eq!((two.trace.resident_tokens, two.fetch[0]), (0, None));
    assert_ne!(two.salt, one.salt);
    end_placement(&mut scheduler, two.ticket, EndReason::Cancelled, ms(410));
    let three = expect_placed(scheduler.submit(3, placement_request(0, 1, 3), ms(420)));
    assert_eq!(three.trace.resident_tokens, 9_100);
    end_placement(&mut scheduler, three.ticket, EndReason::WeightMismatch(Some(2)), ms(430));
    let four = expect_placed(scheduler.submit(4, ask, ms(440)));
    assert_eq!(
        (four.weight_version, four.trace.resident_tokens, four.fetch[0]),
        (Some(2), 0, None)
    );
    assert!(four.save[0].is_some(), "the new weights' part is another part");
}

#[test]
fn an_engine_that_refuses_weights_and_names_none_gets_nothing_until_it_was_asked() {
    let mut scheduler = scheduler(1);
    let one = expect_placed(scheduler.submit(1, placement_request(1, 1, 1), ms(10)));
    let two = expect_placed(scheduler.submit(2, placement_request(1, 1, 2), ms(11)));
    end_placement(&mut scheduler, one.ticket, EndReason::WeightMismatch(None), ms(20));
    assert!(scheduler.submit(3, placement_request(1, 1, 3), ms(21)).is_none(), "it waits");
    assert_eq!(scheduler.unverified_engines(), [(start("i-00"), address(0))]);
    scheduler.resolve_weights(&one.target, Some(2));
    // What was sent before, under the same belief, tells nothing new.
    end_placement(&mut scheduler, two.ticket, EndReason::WeightMismatch(None), ms(30));
    assert_eq!(scheduler.unverified_engines(), []);
    let (_, outcome) = scheduler.dispatch(ms(31)).remove(0);
    assert_eq!(outcome.expect("placed").weight_version, Some(2));
    // The list lags: it must not turn that back.
    scheduler.observe_roster(&roster(engines(1)));
    assert_eq!(
        expect_placed(scheduler.submit(4, placement_request(1, 1, 4), ms(40))).weight_version,
        Some(2)
    );
}

#[test]
fn a_new_scheduler_frees_nothing_while_fetches_of_the_last_one_may_be_under_way() {
    let mut scheduler = Scheduler::new(1, ms(10_000));
    let mut site = simulated_deployment();
    for service in site.services.values_mut() {
        if let ServiceRole::Store(traits) = &mut service.role {
            traits.capacity_tokens = 10_000;
        }
    }
    scheduler.observe_deployment(&site);
    let whole = (0..10).map(|n| StoredPart { salt: "s".into(), id: n.to_string(), tokens: 992 });
    let inventory =
        Inventory { start: store_start(1), complete: whole.collect(), ..Inventory::default() };
    scheduler.observe_inventory(address(9_000), inventory, ms(10_000));
    assert!(scheduler.plan_frees(ms(12_400)).is_empty());
    assert_eq!(scheduler.plan_frees(ms(12_600)).len(), 1);
}

#[test]
fn out_of_order_and_leaving_engines_get_nothing() {
    let mut scheduler = scheduler(2);
    let one = expect_placed(scheduler.submit(1, placement_request(1, 1, 1), ms(10)));
    end_placement(&mut scheduler, one.ticket, EndReason::Unreachable, ms(20));
    let two = expect_placed(scheduler.submit(2, placement_request(1, 1, 2), ms(30)));
    assert_ne!(two.target, one.target);
    end_placement(&mut scheduler, two.ticket, EndReason::Replaced, ms(40));
    assert_eq!(
        scheduler.submit(3, placement_request(1, 1, 3), ms(50)),
        Some(Err(PlacementError::NoHealthyTarget))
    );
    let three = expect_placed(scheduler.submit(4, placement_request(1, 1, 4), ms(700)));
    assert_eq!(three.target, one.target, "tried again after a while");
    let elsewhere = PlacementRequest { service: "app".to_string(), ..placement_request(1, 1, 5) };
    assert_eq!(scheduler.submit(5, elsewhere, ms(710)), Some(Err(PlacementError::NoTargetListed)));
}

#[test]
fn a_caller_who_leaves_while_waiting_takes_no_place() {
    let mut scheduler = scheduler(1);
    let one = expect_placed(scheduler.submit(1, placement_request(0, 1, 1), ms(0)));
    assert_eq!(scheduler.submit(2, placement_request(0, 2, 2), ms(1)), None, "the engine is busy");
    assert_eq!(scheduler.submit(3, placement_request(0, 3, 3), ms(2)), None);
    scheduler.withdraw(2);
    end_placement(&mut scheduler, one.ticket, EndReason::Cancelled, ms(3));
    let outcomes = scheduler.dispatch(ms(4));
    assert_eq!(outcomes.iter().map(|(waiter, _)| *waiter).collect::<Vec<_>>(), [3]);
}

#[test]
fn who_has_no_hope_is_told_at_once_and_comes_back_spread_out() {
    let mut scheduler = scheduler(1);
    expect_placed(scheduler.submit(0, placement_request(0, 1, 1), ms(0)));
    for waiter in 1..=40 {
        assert_eq!(scheduler.submit(waiter, placement_request(0, waiter, waiter), ms(1)), None);
    }
    let refused = scheduler.dispatch(ms(400));
    let back: BTreeSet<Duration> = refused
        .into_iter()
        .filter_map(|(_, outcome)| match outcome {
            Err(PlacementError::Busy(after)) => Some(after),
            _ => None,
        })
        .collect();
    assert!(back.len() > 20, "they don't come as a wave: {back:?}");
    assert!(back.iter().all(|after| (ms(250)..=ms(700)).contains(after)));
}

#[test]
fn urgent_prompts_go_first_but_starve_nobody() {
    let mut scheduler = scheduler(1);
    expect_placed(scheduler.submit(0, placement_request(0, 0, 0), ms(0)));
    for waiter in 1..=60 {
        let kind = if waiter <= 10 { 0 } else { 2 };
        assert_eq!(scheduler.submit(waiter, placement_request(kind, waiter, waiter), ms(1)), None);
    }
    let mut order = Vec::new();
    for at in 1..180 {
        for (waiter, outcome) in scheduler.dispatch(ms(at)) {
            let Ok(placed) = outcome else { continue };
            order.push(waiter);
            end_placement(&mut scheduler, placed.ticket, EndReason::Completed, ms(at));
        }
    }
    let less_urgent = order.iter().take(50).filter(|waiter| **waiter <= 10).count();
    assert!((1..=4).contains(&less_urgent), "{order:?}");
}

/// A calm day: all are on time, and once contexts are kept little is read again.
#[test]
fn calm_load_is_served_and_kept_contexts_are_not_read_again() {
    let mut world = Simulation::new(12);
    let cold = world.run(10, 1.0);
    assert!(cold.on_time_share() > 0.98, "{cold:?}");
    world.run(20, 1.0);
    let warm = world.run(10, 1.0);
    assert!(warm.on_time_share() > 0.99, "{warm:?}");
    let per_prompt = |tally: Tally| tally.prefilled_tokens / u64::from(tally.asked);
    // Own tokens of the mix: 830 a prompt.
    assert!(per_prompt(warm) < 1_100, "{} tokens a prompt", per_prompt(warm));
    assert!(per_prompt(cold) > 2_000, "{} tokens a prompt", per_prompt(cold));
}

/// A quarter of the engines goes silent while caches are still cold: the rest is not drowned, and
/// who is served is on time.
#[test]
fn with_a_quarter_of_the_engines_gone_most_are_still_on_time() {
    let mut world = Simulation::new(12);
    world.run(3, 1.0);
    world.dead = (0..3).map(|n| start(&format!("i-{n:02}"))).collect();
    let hit = world.run(5, 1.0);
    assert!(hit.on_time_share() > 0.85, "{hit:?}");
    world.dead.clear();
    let back = world.run(10, 1.0);
    assert!(back.on_time_share() > 0.97, "{back:?}");
}

/// A scheduler takes over just when entries, left alone for a second, have filled all engines: it
/// must not take them for slow ones for longer than they are.
#[test]
fn engines_that_are_found_full_are_not_taken_for_slow() {
    let mut world = Simulation::new(12);
    for engine in engines(12) {
        world.free_at.insert(engine.start, ms(1_500));
    }
    world.run(3, 1.0);
    let after = world.run(5, 1.0);
    assert!(after.on_time_share() > 0.97, "{after:?}");
}

/// Many users come at once, three times what engines can read: those that are served are on time,
/// the others are told at once, and the wave leaves nothing behind.
#[test]
fn a_burst_is_refused_in_part_and_leaves_no_queue_behind() {
    let mut world = Simulation::new(4);
    world.run(10, 0.3);
    let burst = world.run(6, 3.0);
    assert!(burst.refused > burst.asked / 10, "{burst:?}");
    assert!(burst.late * 20 < burst.on_time, "{burst:?}");
    world.run(1, 0.3);
    let after = world.run(5, 0.3);
    assert!(after.on_time_share() > 0.97, "{after:?}");
    assert_eq!(world.scheduler.waiting(), 0);
}

#[test]
fn an_engines_pace_is_learned_also_if_it_is_far_from_what_was_assumed() {
    for (tokens_per_ms, base_ms) in [(30.0, 120), (140.0, 53), (300.0, 10)] {
        let mut pace = PrefillEstimator::default();
        for n in 0..3_000 {
            let tokens = 100 + (n * 37) % 5_000;
            let reads = Duration::from_secs_f64(tokens as f64 / tokens_per_ms / 1e3);
            pace.observe(tokens, reads + ms(base_ms));
        }
        let learned = pace.prefill_time(1_000) + pace.base_latency();
        let real = Duration::from_secs_f64(1_000.0 / tokens_per_ms / 1e3) + ms(base_ms);
        let ratio = learned.as_secs_f64() / real.as_secs_f64();
        assert!((0.8..1.25).contains(&ratio), "{tokens_per_ms} {base_ms}: {ratio}");
    }
}

/// A scheduler that takes over after entries were left alone finds engines full that it thinks idle.
#[test]
fn times_of_engines_that_were_not_idle_hardly_count() {
    let mut pace = PrefillEstimator::default();
    let before = pace.prefill_time(1_000) + pace.base_latency();
    for n in 0..60 {
        pace.observe(200 + n * 40, ms(1_500));
    }
    let after = pace.prefill_time(1_000) + pace.base_latency();
    assert!(after < before * 3, "{before:?} became {after:?}");
}

/// It runs older weights than it was found with, so the belief of all is wrong.
#[test]
fn an_engine_that_runs_older_weights_than_believed_is_asked() {
    let mut scheduler = scheduler(1);
    let mut listed = engines(1);
    listed[0].weights.insert("m".to_string(), 2);
    scheduler.observe_roster(&roster(listed));
    let one = expect_placed(scheduler.submit(1, placement_request(1, 1, 1), ms(10)));
    let two = expect_placed(scheduler.submit(2, placement_request(1, 1, 2), ms(80)));
    assert_eq!(one.weight_version, Some(2));
    end_placement(&mut scheduler, one.ticket, EndReason::WeightMismatch(Some(3)), ms(90));
    assert_eq!(scheduler.unverified_engines(), [], "newer ones come to the list by themselves");
    end_placement(&mut scheduler, two.ticket, EndReason::WeightMismatch(Some(1)), ms(91));
    assert_eq!(scheduler.unverified_engines().len(), 1);
}
