//! Engines that get no prompts although prompts wait.

use std::collections::BTreeMap;

use kumquatpost::scheduler::{EndReason, PassedOverReason};

use crate::fixtures::{ms, roster};
use crate::load::{
    Simulation, end_placement, engines, expect_placed, observe_first_token, placement_request,
    scheduler,
};

// Guards against engines of which no line and no figure tells why they get no work.
#[test]
fn the_reason_is_counted_for_which_an_engine_gets_no_prompt() {
    let mut scheduler = scheduler(1);
    let one = expect_placed(scheduler.submit(1, placement_request(0, 1, 1), ms(10)));
    let mut large = placement_request(0, 2, 2);
    (large.prompt_tokens, large.objective) = (100_000, ms(60_000));
    large.time_left = ms(60_000);
    assert!(scheduler.submit(2, large, ms(200)).is_none(), "the engine has no room for it");
    assert!(scheduler.dispatch(ms(300)).is_empty());
    assert_eq!(scheduler.take_report().passed_over_s, BTreeMap::new(), "for less than a second");
    observe_first_token(&mut scheduler, one.ticket, ms(1_000));
    for at in [1_100, 1_200, 1_900] {
        assert!(scheduler.dispatch(ms(at)).is_empty());
    }
    observe_first_token(&mut scheduler, one.ticket, ms(1_950));
    assert!(scheduler.dispatch(ms(2_150)).is_empty());
    let counted = BTreeMap::from([(PassedOverReason::Memory, 2)]);
    assert_eq!(scheduler.take_report().passed_over_s, counted, "once a second");
    end_placement(&mut scheduler, one.ticket, EndReason::Completed, ms(2_200));
    assert_eq!(scheduler.dispatch(ms(2_300)).len(), 1);
    scheduler.observe_roster(&roster(engines(1)));
    assert!(scheduler.take_report().passed_over_s.is_empty());
}

/// Engines whose memory is full at the usual load: each prompt has a context of its own and runs for seconds.
fn full_engines() -> Simulation {
    let mut simulation = Simulation::new(12);
    (simulation.reports_load, simulation.has_own_contexts) = (true, true);
    simulation.ms_per_output_token = 70;
    simulation.run(10, 1.0);
    simulation
}

// Guards against engines that get no work since placements of which nobody reports seem to take all their memory:
// whatever is believed, the engines' own reports put it right. The pattern: full engines, all entries lost, and back
// after 2 s.
#[test]
fn all_engines_work_again_after_entries_were_lost_with_full_engines() {
    let mut simulation = full_engines();
    simulation.lose_entries();
    simulation.run(2, 0.0);
    // Within a second of their return.
    simulation.run(1, 1.0);
    for _ in 0..5 {
        simulation.chosen.clear();
        let second = simulation.run(1, 1.0);
        assert_eq!(simulation.chosen.len(), 12, "{second:?}");
        assert!(second.refused * 2 < second.submitted, "{second:?}");
    }
}
