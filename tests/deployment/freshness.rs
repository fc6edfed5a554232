//! How recent what an entry knows surely is, on a virtual clock.

use std::time::Duration;

use kumquatpost::gateway::freshness::{Freshness, Verdict};

use crate::fixtures::ms;

const START: Duration = Duration::from_secs(100);

/// An entry whose first request was answered at once.
fn confirmed(in_force: Option<Duration>) -> Freshness {
    let mut freshness = Freshness::new(in_force);
    let id = freshness.start_request(START).expect("nothing is known yet");
    freshness.confirmed(id, Duration::ZERO);
    freshness
}

#[test]
fn a_confirmation_counts_from_when_it_was_asked_for_less_the_replicas_age() {
    let mut freshness = Freshness::new(None);
    let id = freshness.start_request(START).expect("nothing is known yet");
    freshness.confirmed(id, ms(300));
    assert_eq!(freshness.verdict(START + ms(200)), Verdict::Confirmed);
    assert_eq!(freshness.verdict(START + ms(201)), Verdict::Unconfirmed);
}

#[test]
fn an_answer_to_an_earlier_request_confirms_nothing() {
    let mut freshness = Freshness::new(None);
    let earlier = freshness.start_request(START).expect("nothing is known yet");
    let now = START + ms(400);
    assert!(freshness.start_request(now).is_some(), "the first one has no answer");
    freshness.confirmed(earlier, Duration::ZERO);
    assert_eq!(freshness.verdict(now), Verdict::Unconfirmed);
}

#[test]
fn a_final_word_is_no_older_than_half_of_the_time_in_which_a_deployment_must_be_in_force() {
    let cases =
        [(None, 500), (Some(ms(300)), 150), (Some(ms(2_000)), 500), (Some(Duration::ZERO), 0)];
    for (in_force, recent_ms) in cases {
        let freshness = confirmed(in_force);
        assert_eq!(freshness.verdict(START + ms(recent_ms)), Verdict::Confirmed, "{in_force:?}");
        let later = START + ms(recent_ms + 1);
        assert_eq!(freshness.verdict(later), Verdict::Unconfirmed, "{in_force:?}");
    }
}

/// Guards against callers of unknown paths who load replicas.
#[test]
fn a_hundred_thousand_callers_make_seven_requests_a_second_and_none_waits_once_one_had_no_answer() {
    let mut freshness = Freshness::new(None);
    let (mut requests, mut waits) = (0, 0);
    for call in 0..100_000_u32 {
        let now = START + Duration::from_micros(10) * call;
        requests += usize::from(freshness.start_request(now).is_some());
        waits += usize::from(matches!(freshness.verdict(now), Verdict::Wait(_)));
    }
    assert_eq!(requests, 7);
    assert_eq!(waits, 15_000, "those of the first 0.15 s");
}

#[test]
fn while_a_replica_answers_callers_make_two_requests_a_second() {
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
