//! Selection of the source of cached parts when stores are lost, full or slow: contexts that
//! another engine still holds must be fetched from it instead of being recomputed.

use kumquatpost::fleet::Presence;
use kumquatpost::scheduler::lateness::Lateness;
use kumquatpost::scheduler::store::{Inventory, StoreEvent, StoredPart};
use kumquatpost::scheduler::{EndReason, Placement, PlacementRequest, Scheduler};

use crate::fixtures::{address, ms, roster, start, store_start};
use crate::load::{
    Simulation, end_placement, engines, expect_placed, observe_first_token, placement_request,
    scheduler, simulated_deployment,
};

/// Returns a scheduler with two engines and a lost store after placing a prompt, with the request
/// and its placement.
fn scheduler_after_one_placement() -> (Scheduler, PlacementRequest, Placement) {
    let mut scheduler = scheduler(2);
    scheduler.reset_store(address(9_000));
    let request = placement_request(0, 1, 1);
    let placement = expect_placed(scheduler.submit(1, request.clone(), ms(10)));
    (scheduler, request, placement)
}

fn avoiding_target_of(request: &PlacementRequest, placement: &Placement) -> PlacementRequest {
    PlacementRequest { avoid: vec![placement.target.clone()], ..request.clone() }
}

#[test]
fn parts_missing_from_stores_are_fetched_from_an_engine_that_holds_them() {
    let (mut scheduler, request, placement) = scheduler_after_one_placement();
    let early =
        expect_placed(scheduler.submit(2, avoiding_target_of(&request, &placement), ms(20)));
    assert_eq!(early.fetch[0], None, "the first engine may not have read the context yet");
    assert_eq!(early.trace.recomputed.nowhere_whole_tokens, 9_100);
    end_placement(&mut scheduler, early.ticket, EndReason::Cancelled, ms(30));
    observe_first_token(&mut scheduler, placement.ticket, ms(130));
    let later =
        expect_placed(scheduler.submit(3, avoiding_target_of(&request, &placement), ms(140)));
    let from = if placement.target.id == "i-00" { address(0) } else { address(1) };
    assert_eq!((later.fetch[0], later.trace.fetched_tokens), (Some(from), 9_100));
    assert_eq!(later.trace.recomputed.total(), 0);
}

#[test]
fn nothing_is_fetched_from_leaving_or_unreachable_engines() {
    let (mut scheduler, request, placement) = scheduler_after_one_placement();
    observe_first_token(&mut scheduler, placement.ticket, ms(130));
    let mut leaving = engines(2);
    leaving.iter_mut().filter(|listed| listed.start == placement.target).for_each(|listed| {
        listed.presence = Presence::Leaving;
    });
    scheduler.observe_roster(&roster(leaving));
    let second =
        expect_placed(scheduler.submit(2, avoiding_target_of(&request, &placement), ms(140)));
    assert_eq!(second.fetch[0], None);

    let (mut scheduler, request, placement) = scheduler_after_one_placement();
    observe_first_token(&mut scheduler, placement.ticket, ms(130));
    end_placement(&mut scheduler, placement.ticket, EndReason::Unreachable, ms(135));
    let second =
        expect_placed(scheduler.submit(2, avoiding_target_of(&request, &placement), ms(140)));
    assert_eq!(second.fetch[0], None);
}

#[test]
fn nothing_is_fetched_from_an_engine_with_other_weights() {
    let (mut scheduler, request, placement) = scheduler_after_one_placement();
    observe_first_token(&mut scheduler, placement.ticket, ms(130));
    end_placement(&mut scheduler, placement.ticket, EndReason::WeightMismatch(Some(2)), ms(135));
    let second =
        expect_placed(scheduler.submit(2, avoiding_target_of(&request, &placement), ms(140)));
    assert_eq!((second.weight_version, second.fetch[0]), (Some(1), None));
}

/// When the only store is lost under load, contexts must be fetched from engines: few tokens are
/// recomputed and prompts stay within their latency objective.
#[test]
fn a_lost_store_does_not_cause_recomputation_of_parts_held_by_engines() {
    let mut world = Simulation::new(12);
    world.run(10, 1.0);
    world.scheduler.reset_store(address(9_000));
    let without = world.run(5, 1.0);
    assert!(without.on_time_share() > 0.97, "{without:?}");
    assert!(without.recomputed_tokens * 20 < without.prefilled_tokens, "{without:?}");
}

/// Prompts that arrive before a new scheduler has read the contents of engines and stores must
/// wait, or their contexts are recomputed.
#[test]
fn prompts_wait_until_a_new_scheduler_knows_the_cache_state() {
    let mut scheduler = Scheduler::new(1, ms(0));
    scheduler.await_cache_state(ms(0));
    scheduler.observe_deployment(&simulated_deployment());
    scheduler.observe_roster(&roster(engines(2)));
    let request = placement_request(0, 1, 1);
    assert_eq!(scheduler.submit(1, request.clone(), ms(10)), None);
    let context = &request.parts[0];
    let part =
        StoredPart { salt: "all/m/1".into(), id: context.id.clone(), tokens: context.tokens };
    scheduler.observe_cache_events(&start("i-01"), vec![StoreEvent::Stored(part)]);
    assert_eq!(scheduler.dispatch(ms(20)), [], "the contents of the store are unknown");
    let empty = Inventory { start: store_start(1), ..Inventory::default() };
    scheduler.observe_inventory(address(9_000), empty, ms(25));
    assert_eq!(
        scheduler.dispatch(ms(30)),
        [],
        "the clock of the engines is unknown, which fetch deadlines need"
    );
    scheduler.read_clock(5, ms(35));
    assert_eq!(scheduler.dispatch(ms(60)), [], "frees of an earlier scheduler may be in flight");
    assert_eq!(scheduler.dispatch(ms(75)), [], "the contents of some engines are unknown");
    scheduler.set_engine_caches_known();
    let (waiter, outcome) = scheduler.dispatch(ms(80)).remove(0);
    let placed = outcome.expect("a placement");
    assert_eq!((waiter, placed.target, placed.trace.resident_tokens), (1, start("i-01"), 9_100));
}

#[test]
fn waiting_for_an_unresponsive_store_is_bounded() {
    let mut scheduler = Scheduler::new(1, ms(0));
    scheduler.await_cache_state(ms(0));
    scheduler.observe_deployment(&simulated_deployment());
    scheduler.observe_roster(&roster(engines(2)));
    assert_eq!(scheduler.submit(1, placement_request(0, 1, 1), ms(10)), None);
    assert_eq!(scheduler.dispatch(ms(140)), []);
    assert_eq!(scheduler.dispatch(ms(160)).len(), 1);
}

/// A new scheduler does not know the queues of the engines. If it attributed late first tokens to
/// slow links, it would recompute contexts on overloaded engines instead of fetching them.
#[test]
fn queueing_on_busy_engines_is_not_attributed_to_links() {
    let mut world = Simulation::new(12);
    world.run(10, 1.0);
    let busy_until = world.now + ms(400);
    world.free_at.extend(engines(12).into_iter().map(|engine| (engine.start, busy_until)));
    let after = world.run(2, 1.0);
    assert!(after.recomputed_tokens * 20 < after.prefilled_tokens, "{after:?}");
}

#[test]
fn lateness_median_ignores_a_slow_minority_and_is_never_negative() {
    let mut lateness = Lateness::default();
    assert_eq!(lateness.median_ms(), 0.0);
    (0..15).for_each(|_| lateness.add(200.0));
    (0..6).for_each(|_| lateness.add(2_000.0));
    assert_eq!(lateness.median_ms(), 200.0, "answers over a slow link are a minority");
    (0..21).for_each(|_| lateness.add(-30.0));
    assert_eq!(lateness.median_ms(), 0.0);
}

/// Of two equally busy engines, the one in the failure domain of the store gets the prompt: its
/// fetch occupies the link of the store for half as long.
#[test]
fn of_equally_fast_engines_the_one_with_the_shorter_link_occupancy_fetches() {
    let mut scheduler = scheduler(2);
    let mut listed = engines(2);
    listed[0].failure_domain = "b".to_string();
    scheduler.observe_roster(&roster(listed));
    let request = placement_request(0, 1, 1);
    let context = &request.parts[0];
    let salt = "all/m/1".to_string();
    let part = StoredPart { salt, id: context.id.clone(), tokens: context.tokens };
    let inventory =
        Inventory { start: store_start(1), complete: vec![part], ..Inventory::default() };
    scheduler.observe_inventory(address(9_000), inventory, ms(0));
    // Each engine has 2,400 tokens of another prompt queued, which takes longer than the fetch.
    for (waiter, other) in [(1, "i-01"), (2, "i-00")] {
        let busy =
            PlacementRequest { avoid: vec![start(other)], ..placement_request(2, waiter, waiter) };
        expect_placed(scheduler.submit(waiter, busy, ms(10)));
    }
    let fetches = expect_placed(scheduler.submit(3, request, ms(11)));
    assert_eq!((fetches.target, fetches.trace.fetched_tokens), (start("i-01"), 9_100));
}

/// When links are saturated after an outage, prompts that already miss their objective must wait
/// for a fetch and leave the compute of engines to prompts that can still meet theirs.
#[test]
fn a_prompt_already_late_waits_longer_for_a_fetch() {
    let mut scheduler = scheduler(1);
    let salt = "all/m/1".to_string();
    let part = |n: u64| {
        let context = &placement_request(0, n, n).parts[0];
        StoredPart { salt: salt.clone(), id: context.id.clone(), tokens: 9_100 }
    };
    let complete = (0..60).map(part).collect();
    let inventory = Inventory { start: store_start(1), complete, ..Inventory::default() };
    scheduler.observe_inventory(address(9_000), inventory, ms(0));
    // 50 fetches of 9 ms each occupy the link of the engine; their prompts are cancelled.
    for n in 0..50 {
        let placed = expect_placed(scheduler.submit(n, placement_request(0, n, n), ms(10)));
        end_placement(&mut scheduler, placed.ticket, EndReason::Cancelled, ms(10));
    }
    let on_time = expect_placed(scheduler.submit(50, placement_request(0, 50, 50), ms(11)));
    assert_eq!(on_time.trace.recomputed.link_full_tokens, 9_100);
    end_placement(&mut scheduler, on_time.ticket, EndReason::Cancelled, ms(11));
    let late = PlacementRequest { elapsed: ms(600), ..placement_request(0, 51, 51) };
    assert_eq!(expect_placed(scheduler.submit(51, late, ms(12))).trace.fetched_tokens, 9_100);
}
