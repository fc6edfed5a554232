//! Prompts while the engines of a model are brought to newer weights, on a virtual clock.
//!
//! Figures: 12 engines, of which 3 change at a time; newer weights must be in force after 6 s (8.4 s
//! if replicas were disturbed in between), as on the first site.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquatpost::ids::TargetStart;
use kumquatpost::scheduler::weights::{OldWeightsPolicy, RolloutHistories, observe_named};
use kumquatpost::scheduler::{EndReason, PlacementError, PlacementRequest, Scheduler};

use crate::fixtures::{ms, roster, start};
use crate::load::{end_placement, engines, expect_placed, placement_request, scheduler};

const IN_FORCE: Duration = ms_const(6_000);
const IN_FORCE_AT_LAST: Duration = ms_const(8_400);

const fn ms_const(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Names weights 2 at a time, while all engines run weights 1.
fn name_weights(scheduler: &mut Scheduler, at: Duration) {
    let within = Some(IN_FORCE);
    scheduler.set_old_weights(OldWeightsPolicy { within, hard_within: Some(IN_FORCE_AT_LAST) });
    scheduler.observe_named(&named(2, at));
}

fn named(version: u64, at: Duration) -> RolloutHistories {
    let mut named = RolloutHistories::new();
    observe_named(&mut named, &"m".to_string(), version, at, at);
    named
}

/// The first engines have loaded weights 2.
fn load(scheduler: &mut Scheduler, loaded: usize, of: u16) {
    let mut listed = engines(of);
    for engine in &mut listed[..loaded] {
        engine.weights.insert("m".to_string(), 2);
    }
    scheduler.observe_roster(&roster(listed));
}

fn names(engines: &[&str]) -> BTreeSet<TargetStart> {
    engines.iter().map(|id| start(id)).collect()
}

#[test]
fn an_engine_that_changes_weights_gets_no_prompts_and_those_that_fit_nowhere_wait() {
    let mut scheduler = scheduler(2);
    scheduler.observe_changing(&names(&["i-00"]));
    for context in 0..20 {
        let at = ms(context * 200);
        let placed =
            expect_placed(scheduler.submit(context, placement_request(1, context, context), at));
        assert_eq!(placed.target, start("i-01"));
        end_placement(&mut scheduler, placed.ticket, EndReason::Completed, at + ms(150));
    }
    scheduler.observe_changing(&names(&["i-00", "i-01"]));
    assert!(scheduler.submit(90, placement_request(1, 90, 90), ms(9_000)).is_none(), "it waits");
    scheduler.observe_changing(&names(&["i-01"]));
    let (waiter, outcome) = scheduler.dispatch(ms(9_050)).remove(0);
    assert_eq!((waiter, outcome.expect("placed").target), (90, start("i-00")));
}

#[test]
fn prompts_turn_to_engines_with_the_newest_weights_as_far_as_these_have_room() {
    let mut scheduler = scheduler(12);
    name_weights(&mut scheduler, ms(0));
    load(&mut scheduler, 3, 12);
    let ask = |n| placement_request(0, n, n);
    let first: Vec<u64> = (0..3)
        .map(|n| expect_placed(scheduler.submit(n, ask(n), ms(100))).weight_version.expect("known"))
        .collect();
    assert_eq!(first, [2, 2, 2]);
    // A prompt of 12,000 tokens keeps an engine busy for 86 ms: the next ones go elsewhere.
    let next = expect_placed(scheduler.submit(9, ask(9), ms(101)));
    assert_eq!(next.weight_version, Some(1));
}

#[test]
fn no_prompt_begins_on_old_weights_once_newer_ones_must_be_in_force() {
    let ask = |n| PlacementRequest { time_left: ms(30_000), ..placement_request(1, n, n) };
    let mut scheduler = scheduler(2);
    name_weights(&mut scheduler, ms(1_000));
    let before = ms(1_000) + IN_FORCE - ms(900);
    assert!(scheduler.submit(1, ask(1), before).is_some_and(|outcome| outcome.is_ok()));
    let after = ms(1_000) + IN_FORCE - ms(700);
    assert!(scheduler.submit(2, ask(2), after).is_none(), "it waits for an engine that has them");
    let outcomes = scheduler.dispatch(after + ms(1_000));
    assert!(matches!(outcomes[0].1, Err(PlacementError::Busy(_))), "and is refused, not run");
    load(&mut scheduler, 1, 2);
    assert_eq!(
        expect_placed(scheduler.submit(3, ask(3), after + ms(2_000))).weight_version,
        Some(2)
    );
}

#[test]
fn a_scheduler_that_has_just_begun_counts_from_there_but_not_for_ever() {
    let ask = |n| placement_request(1, n, n);
    let began = ms(5_000);
    let mut scheduler = Scheduler::new(1, began);
    scheduler.observe_deployment(&crate::fixtures::deployment(1));
    load(&mut scheduler, 0, 2);
    name_weights(&mut scheduler, ms(1_000));
    assert!(scheduler.submit(1, ask(1), ms(1_000) + IN_FORCE).is_some());
    let at_last = ms(1_000) + IN_FORCE_AT_LAST - ms(700);
    assert!(scheduler.submit(2, ask(2), at_last).is_none());
}

/// What was seen: prompts began on weights 1 long after weights 2 had been named, with one leader all
/// along and no fault at the replicas.
/// How it came about: weights 3 were named while some engines still ran weights 1.
/// What caused it: only the newest naming was kept in mind, so engines that had missed an earlier one
/// were allowed the whole bound anew.
#[test]
fn weights_that_are_named_later_do_not_prolong_the_bound_of_those_named_before() {
    let ask = |n| PlacementRequest { time_left: ms(30_000), ..placement_request(1, n, n) };
    let mut scheduler = scheduler(2);
    let old_weights =
        OldWeightsPolicy { within: Some(IN_FORCE), hard_within: Some(IN_FORCE_AT_LAST) };
    scheduler.set_old_weights(old_weights);
    let mut named = RolloutHistories::new();
    for (version, at) in [(2, ms(1_000)), (3, ms(5_000))] {
        observe_named(&mut named, &"m".to_string(), version, at, at);
    }
    scheduler.observe_named(&named);
    let after = ms(1_000) + IN_FORCE - ms(700);
    assert!(scheduler.submit(1, ask(1), after).is_none(), "2 must be in force: it waits");
    scheduler.withdraw(1);
    load(&mut scheduler, 1, 2);
    assert_eq!(expect_placed(scheduler.submit(2, ask(2), after)).weight_version, Some(2));
    let after = ms(5_000) + IN_FORCE - ms(700);
    assert!(scheduler.submit(3, ask(3), after).is_none(), "3 must be in force");
}
