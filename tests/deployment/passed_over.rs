//! Engines that get no prompts although prompts wait.

use std::collections::BTreeMap;

use kumquatpost::scheduler::{EndReason, PassedOverReason};

use crate::fixtures::{ms, roster};
use crate::load::{end_placement, engines, expect_placed, placement_request, scheduler};

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
    for at in [1_100, 1_200, 1_900, 2_150] {
        assert!(scheduler.dispatch(ms(at)).is_empty());
    }
    let counted = BTreeMap::from([(PassedOverReason::Memory, 2)]);
    assert_eq!(scheduler.take_report().passed_over_s, counted, "once a second");
    end_placement(&mut scheduler, one.ticket, EndReason::Completed, ms(2_200));
    assert_eq!(scheduler.dispatch(ms(2_300)).len(), 1);
    scheduler.observe_roster(&roster(engines(1)));
    assert!(scheduler.take_report().passed_over_s.is_empty());
}
