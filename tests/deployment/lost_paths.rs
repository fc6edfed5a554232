//! Entries that lose their path to targets, while other entries reach them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kumquatpost::fleet::paths::Paths;
use kumquatpost::scheduler::EndReason;

use crate::fixtures::{loopback, ms, start, target};
use crate::gateway::{deployment_with_long_timeouts, ok_response, run_local, start_entry};
use crate::load::{
    end_placement, expect_placed, observe_first_token, placement_request, scheduler,
};
use crate::stand_in::{AfterAnswer, Script, StandIn};

/// How long after the path is back callers are served again.
const BACK_WITHIN: Duration = Duration::from_secs(1);

fn answers(body: &str, count: usize) -> Script {
    vec![(ok_response(body), AfterAnswer::KeepOpen); count]
}

// Guards against an engine that is ejected for all entries since one of them can't reach it.
#[test]
fn an_engine_that_answers_others_is_not_ejected_when_one_entry_cannot_reach_it() {
    let mut scheduler = scheduler(1);
    let reached = expect_placed(scheduler.submit(1, placement_request(1, 1, 1), ms(0)));
    let unreached = expect_placed(scheduler.submit(2, placement_request(1, 1, 2), ms(10)));
    observe_first_token(&mut scheduler, reached.ticket, ms(60));
    end_placement(&mut scheduler, unreached.ticket, EndReason::Unreachable, ms(260));
    expect_placed(scheduler.submit(3, placement_request(1, 1, 3), ms(270)));
}

// Guards against ejections that outlast the word of the entry that caused them.
#[test]
fn an_engine_is_used_again_as_soon_as_it_answers_another_entry() {
    for end in [EndReason::Unreachable, EndReason::ConnectionLost] {
        let mut scheduler = scheduler(1);
        let reached = expect_placed(scheduler.submit(1, placement_request(1, 1, 1), ms(0)));
        for n in 2..5 {
            let placed = expect_placed(scheduler.submit(n, placement_request(1, 1, n), ms(n)));
            end_placement(&mut scheduler, placed.ticket, end, ms(n + 1));
            if end == EndReason::Unreachable {
                break;
            }
        }
        observe_first_token(&mut scheduler, reached.ticket, ms(60));
        expect_placed(scheduler.submit(9, placement_request(1, 1, 9), ms(70)));
    }
}

// Guards against an outage of the entry's own path that is booked on each target and outlasts it.
#[test]
fn an_entry_serves_at_once_when_its_path_to_targets_is_back() {
    run_local(async {
        let addresses = [1, 2, 3].map(|last| SocketAddr::new(loopback(last), 21_900));
        let targets = addresses
            .iter()
            .enumerate()
            .map(|(n, address)| target(&format!("i-{n}"), "app", *address))
            .collect();
        let entry = start_entry(deployment_with_long_timeouts(), targets).await;
        let outage = Instant::now();
        while outage.elapsed() < Duration::from_secs(4) {
            assert_eq!(entry.call("/once/", "r").await.status, 503);
            tokio::time::sleep(ms(50)).await;
        }
        for address in addresses {
            StandIn::start_at(address, answers("here", 1_000)).await;
        }
        tokio::time::sleep(BACK_WITHIN).await;
        for n in 0..40 {
            let got = entry.call("/once/", &format!("r{n}")).await;
            assert_eq!(got.status, 200, "request {n}: {}", got.text);
            tokio::time::sleep(ms(20)).await;
        }
    });
}

// Guards against a path that is taken for restored and lost again many times a second, since connections
// are established before they are reset.
#[test]
fn a_path_that_is_lost_again_and_again_is_tried_for_longer() {
    let mut paths = Paths::default();
    let (service, mut now) = ("app".to_string(), ms(0));
    let mut settle_times = Vec::new();
    for _ in 0..6 {
        for target in ["i-1", "i-2"] {
            paths.unreached(&service, &start(target), now);
        }
        settle_times.push(paths.settle_time(&service).as_millis());
        now += ms(100);
        assert!(paths.tried(&service, 3, 3, now).is_some(), "restored");
    }
    assert_eq!(settle_times, [10, 40, 160, 640, 640, 640]);
    now += ms(10_000);
    for target in ["i-1", "i-2"] {
        paths.unreached(&service, &start(target), now);
    }
    assert_eq!(paths.settle_time(&service), ms(10), "it was sound for a while");
}

#[test]
fn a_path_is_lost_with_two_targets_and_restored_by_a_trial() {
    let mut paths = Paths::default();
    let service = "app".to_string();
    assert!(!paths.unreached(&service, &start("i-1"), ms(0)));
    assert!(!paths.unreached(&service, &start("i-1"), ms(10)), "the same target may have ended");
    paths.reached(&service);
    assert!(!paths.unreached(&service, &start("i-2"), ms(20)), "another was reached in between");
    assert!(paths.is_suspect(&service, &start("i-1"), ms(20)));
    assert!(!paths.is_suspect(&service, &start("i-2"), ms(20)));
    assert!(paths.unreached(&service, &start("i-1"), ms(30)));
    paths.reached(&service);
    assert!(paths.is_lost(&service), "a kept connection shows nothing of new ones");
    assert_eq!(paths.tried(&service, 1, 3, ms(280)), None);
    assert_eq!(paths.tried(&service, 2, 3, ms(530)), Some(ms(500)));
    assert!(!paths.is_lost(&service));
    assert!(paths.is_suspect(&service, &start("i-1"), ms(600)), "it was lost lately");
    assert!(paths.unreached(&service, &start("i-1"), ms(600)), "one target is enough now");
}
