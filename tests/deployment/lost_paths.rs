//! Entries that lose their path to targets, while other entries reach them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kumquatpost::scheduler::EndReason;

use crate::fixtures::{loopback, ms, target};
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
