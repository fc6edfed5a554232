//! Placement of prompts that go on with a stream while engines of two software versions serve, on a
//! virtual clock.

use std::time::Duration;

use kumquatpost::fleet::Listed;
use kumquatpost::scheduler::{EndReason, PlacementError, PlacementRequest, Scheduler};

use crate::fixtures::{ms, roster};
use crate::load::{end_placement, engines, expect_placed, placement_request, scheduler};

const EARLIER: &str = "v1";
const LATER: &str = "v2";

/// A scheduler of engines of which the last `later_count` run the later version.
fn mixed_scheduler(count: u16, later_count: u16) -> Scheduler {
    let mut scheduler = scheduler(count);
    let listed = engines(count).into_iter().enumerate().map(|(n, listed)| {
        let is_later = n >= usize::from(count - later_count);
        let software = if is_later { LATER } else { EARLIER };
        Listed { software: software.to_string(), ..listed }
    });
    scheduler.observe_roster(&roster(listed));
    scheduler
}

fn continued(software: &str, kind: usize, number: u64) -> PlacementRequest {
    let software = Some(software.to_string());
    PlacementRequest { software, ..placement_request(kind, number, number) }
}

// Guards against streams that the scheduler lets go on at engines of another software version.
#[test]
fn a_stream_goes_on_only_at_engines_of_its_software_version() {
    // 100 engines are more than are examined one by one.
    for count in [4, 100] {
        let mut scheduler = mixed_scheduler(count, 2);
        let later = [format!("i-{:02}", count - 2), format!("i-{:02}", count - 1)];
        for number in 0..20 {
            let now = ms(number * 50);
            let placed = expect_placed(scheduler.submit(number, continued(LATER, 1, number), now));
            assert!(later.contains(&placed.target.id), "{placed:?}");
            end_placement(&mut scheduler, placed.ticket, EndReason::Completed, now + ms(40));
        }
    }
}

// Guards against streams that wait in vain although no engine of their software version is left.
#[test]
fn a_stream_of_a_software_version_that_is_gone_is_refused_at_once() {
    let mut scheduler = mixed_scheduler(4, 2);
    let outcome = scheduler.submit(1, continued("v0", 1, 1), ms(10));
    assert_eq!(outcome, Some(Err(PlacementError::NoTargetListed)));
}

/// Submits long prompts that go on at the later version until one of them must wait.
fn fill_later_version(scheduler: &mut Scheduler, now: Duration) -> Vec<u64> {
    let mut tickets = Vec::new();
    for number in 100.. {
        match scheduler.submit(number, continued(LATER, 0, number), now) {
            Some(outcome) => tickets.push(outcome.expect("a placement").ticket),
            None => break,
        }
    }
    tickets
}

// Guards against prompts that wait behind streams whose software version has no capacity.
#[test]
fn streams_that_wait_for_their_software_version_do_not_hold_up_other_prompts() {
    let mut scheduler = mixed_scheduler(4, 1);
    fill_later_version(&mut scheduler, ms(10));
    for number in 200..220 {
        assert_eq!(scheduler.submit(number, continued(LATER, 0, number), ms(10)), None);
    }
    for number in 300..303 {
        assert_eq!(scheduler.submit(number, placement_request(0, number, number), ms(10)), None);
    }
    let placed: Vec<u64> =
        scheduler.dispatch(ms(11)).into_iter().map(|(waiter, _)| waiter).collect();
    assert_eq!(placed, [300, 301, 302]);
}

// Guards against streams that break for good while new ones take the last engines of their version, and
// against urgent prompts that wait for less urgent ones.
#[test]
fn streams_that_go_on_are_placed_before_equally_urgent_new_ones() {
    let mut scheduler = mixed_scheduler(1, 1);
    let tickets = fill_later_version(&mut scheduler, ms(10));
    for number in 200..205 {
        assert_eq!(scheduler.submit(number, placement_request(0, number, number), ms(11)), None);
    }
    assert_eq!(scheduler.submit(300, placement_request(2, 300, 300), ms(12)), None);
    tickets
        .into_iter()
        .for_each(|ticket| end_placement(&mut scheduler, ticket, EndReason::Completed, ms(100)));
    let placed: Vec<u64> =
        scheduler.dispatch(ms(100)).into_iter().map(|(waiter, _)| waiter).collect();
    // The last one submitted by `fill_later_version` waits.
    assert!(placed[0] == 300 && placed[1] < 200, "{placed:?}");
}
