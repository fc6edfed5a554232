//! When an entry's state counts as confirmed by a replica, on a virtual clock.

use std::time::Duration;

use kumquatpost::gateway::freshness::{Freshness, Verdict};

use crate::fixtures::ms;

const START: Duration = Duration::from_secs(100);

/// The freshness after a first request that was answered at once.
fn confirmed(in_force: Option<Duration>) -> Freshness {
    let mut freshness = Freshness::new(in_force);
    let id = freshness.start_request(START).expect("the first call must start a request");
    freshness.confirmed(id, Duration::ZERO);
    freshness
}

#[test]
fn a_confirmation_dates_from_its_request_minus_the_age_of_the_replicas_state() {
    let mut freshness = Freshness::new(None);
    let id = freshness.start_request(START).expect("the first call must start a request");
    freshness.confirmed(id, ms(300));
    assert_eq!(freshness.verdict(START + ms(200)), Verdict::Confirmed);
    assert_eq!(freshness.verdict(START + ms(201)), Verdict::Unconfirmed);
}

#[test]
fn an_answer_to_an_earlier_request_confirms_nothing() {
    let mut freshness = Freshness::new(None);
    let earlier = freshness.start_request(START).expect("the first call must start a request");
    let now = START + ms(400);
    assert!(freshness.start_request(now).is_some(), "the first request has timed out");
    freshness.confirmed(earlier, Duration::ZERO);
    assert_eq!(freshness.verdict(now), Verdict::Unconfirmed);
}

#[test]
fn a_confirmation_expires_after_half_of_the_in_force_time_and_500_ms_at_most() {
    let cases =
        [(None, 500), (Some(ms(300)), 150), (Some(ms(2_000)), 500), (Some(Duration::ZERO), 0)];
    for (in_force, max_age_ms) in cases {
        let freshness = confirmed(in_force);
        assert_eq!(freshness.verdict(START + ms(max_age_ms)), Verdict::Confirmed, "{in_force:?}");
        let later = START + ms(max_age_ms + 1);
        assert_eq!(freshness.verdict(later), Verdict::Unconfirmed, "{in_force:?}");
    }
}

/// Guards against callers of unknown paths that overload replicas with requests for confirmation, or that all wait
/// although no replica answers.
#[test]
fn without_answers_requests_are_rate_limited_and_only_the_first_callers_wait() {
    let mut freshness = Freshness::new(None);
    let (mut requests, mut waits) = (0, 0);
    for call in 0..100_000_u32 {
        let now = START + Duration::from_micros(10) * call;
        requests += usize::from(freshness.start_request(now).is_some());
        waits += usize::from(matches!(freshness.verdict(now), Verdict::Wait(_)));
    }
    assert_eq!(requests, 7);
    assert_eq!(waits, 15_000, "only callers of the first 0.15 s may wait");
}

#[test]
fn confirmed_state_is_requested_twice_a_second_under_load() {
    let mut freshness = Freshness::new(None);
    let mut requests = 0;
    for call in 0..100_000_u32 {
        let now = START + Duration::from_micros(10) * call;
        if let Some(id) = freshness.start_request(now) {
            requests += 1;
            freshness.confirmed(id, Duration::ZERO);
        }
        assert_eq!(freshness.verdict(now), Verdict::Confirmed);
    }
    assert_eq!(requests, 2);
}
