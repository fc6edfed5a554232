//! Admission: queue bounds, priorities, fairness and deadlines.

use std::time::Duration;

use kumquatpost::limits::admission::RefusalReason;
use kumquatpost::limits::{Admission, AdmissionRequest, AdmissionResult, Ticket};

const NOW: Duration = Duration::from_secs(100);

fn request(account: &str, priority: u8) -> AdmissionRequest {
    AdmissionRequest {
        account: account.into(),
        weight: 1,
        account_limit: 100,
        priority,
        deadline: NOW + Duration::from_secs(60),
    }
}

fn expect_ticket(result: AdmissionResult) -> Ticket {
    match result {
        AdmissionResult::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// An admission with a single place, taken by a request of the account `other`.
fn busy_admission(queue_len: usize) -> Admission {
    let mut admission = Admission::new(1, queue_len);
    assert_eq!(admission.admit(request("other", 3), NOW), AdmissionResult::Run);
    admission
}

/// Finishes a running request of an account and starts the next request.
fn finish_and_start_next(admission: &mut Admission, finished: &str) -> Option<Ticket> {
    admission.finish(finished, NOW);
    admission.start_next()
}

#[test]
fn a_full_queue_refuses_at_once_with_a_retry_time() {
    let mut admission = busy_admission(2);
    expect_ticket(admission.admit(request("a", 3), NOW));
    expect_ticket(admission.admit(request("a", 3), NOW));
    let AdmissionResult::Refused(refused) = admission.admit(request("a", 0), NOW) else {
        panic!("expected a refusal")
    };
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    assert!(refused.retry_after >= Duration::from_secs(1));
    assert_eq!(admission.waiting(), 2);
}

#[test]
fn a_higher_priority_goes_first() {
    let mut admission = busy_admission(10);
    let low = expect_ticket(admission.admit(request("a", 5), NOW));
    let high = expect_ticket(admission.admit(request("b", 0), NOW));
    assert_eq!(finish_and_start_next(&mut admission, "other"), Some(high));
    assert_eq!(finish_and_start_next(&mut admission, "b"), Some(low));
    assert_eq!(finish_and_start_next(&mut admission, "a"), None);
}

#[test]
fn accounts_of_one_priority_take_turns_by_weight() {
    let mut admission = busy_admission(100);
    let mut account_by_ticket = std::collections::HashMap::new();
    for _ in 0..12 {
        account_by_ticket.insert(expect_ticket(admission.admit(request("large", 3), NOW)), "large");
    }
    for _ in 0..4 {
        let heavy = AdmissionRequest { weight: 3, ..request("heavy", 3) };
        account_by_ticket.insert(expect_ticket(admission.admit(request("small", 3), NOW)), "small");
        account_by_ticket.insert(expect_ticket(admission.admit(heavy, NOW)), "heavy");
    }
    let mut order = Vec::new();
    let mut finished = "other";
    while let Some(ticket) = finish_and_start_next(&mut admission, finished) {
        finished = account_by_ticket[&ticket];
        order.push(finished);
    }
    assert_eq!(order.len(), 20);
    let count_early = |name: &str| order.iter().take(8).filter(|who| **who == name).count();
    assert!(count_early("small") >= 2, "{order:?}");
    assert!(count_early("heavy") > count_early("large"), "{order:?}");
}

#[test]
fn no_request_starves_behind_a_stream_of_higher_priority() {
    let mut admission = busy_admission(1_000);
    let low = expect_ticket(admission.admit(request("a", 7), NOW));
    let mut finished = "other";
    for turn in 0..100 {
        expect_ticket(admission.admit(request("b", 0), NOW));
        expect_ticket(admission.admit(request("b", 0), NOW));
        if finish_and_start_next(&mut admission, finished) == Some(low) {
            return;
        }
        finished = "b";
        assert!(turn < 50, "the request of low priority did not run");
    }
}

#[test]
fn an_account_runs_no_more_than_its_limit_and_does_not_block_others() {
    let mut admission = Admission::new(10, 10);
    let limited = AdmissionRequest { account_limit: 1, ..request("a", 0) };
    assert_eq!(admission.admit(limited.clone(), NOW), AdmissionResult::Run);
    let second = expect_ticket(admission.admit(limited, NOW));
    assert_eq!(admission.start_next(), None, "its limit is reached");
    let other = expect_ticket(admission.admit(request("b", 5), NOW));
    assert_eq!(admission.start_next(), Some(other));
    assert_eq!(finish_and_start_next(&mut admission, "a"), Some(second));
}

#[test]
fn a_request_that_would_miss_its_deadline_is_refused_instead_of_queued() {
    let mut admission = busy_admission(1_000);
    for _ in 0..100 {
        expect_ticket(admission.admit(request("a", 3), NOW));
    }
    let soon = AdmissionRequest { deadline: NOW + Duration::from_millis(100), ..request("b", 3) };
    let result = admission.admit(soon.clone(), NOW);
    assert!(
        matches!(result, AdmissionResult::Refused(refused) if refused.reason == RefusalReason::Deadline)
    );
    // With a higher priority, no request waits ahead of it.
    let urgent = AdmissionRequest { priority: 0, ..soon };
    let waiting = expect_ticket(admission.admit(urgent, NOW));
    assert_eq!(admission.expire(NOW + Duration::from_millis(99)), Vec::<Ticket>::new());
    assert_eq!(admission.expire(NOW + Duration::from_millis(100)), vec![waiting]);
    assert!(!admission.cancel(waiting), "an expired request cannot be cancelled");
    assert_eq!(admission.waiting(), 100);
}

#[test]
fn a_cancelled_request_leaves_the_queue() {
    let mut admission = busy_admission(10);
    let first = expect_ticket(admission.admit(request("a", 3), NOW));
    let second = expect_ticket(admission.admit(request("a", 3), NOW));
    assert!(admission.cancel(first));
    assert_eq!(finish_and_start_next(&mut admission, "other"), Some(second));
    assert_eq!((admission.running(), admission.waiting()), (1, 0));
}
