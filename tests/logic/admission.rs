//! Admission: bounds, priority, fairness, deadlines.

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

fn ticket(offer: AdmissionResult) -> Ticket {
    match offer {
        AdmissionResult::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// A node with one place, which is taken.
fn busy(queue_len: usize) -> Admission {
    let mut admission = Admission::new(1, queue_len);
    assert_eq!(admission.admit(request("other", 3), NOW), AdmissionResult::Run);
    admission
}

/// Ends the running request of an account and starts the next one.
fn next_after(admission: &mut Admission, ended: &str) -> Option<Ticket> {
    admission.finish(ended, NOW);
    admission.start_next()
}

#[test]
fn a_full_queue_refuses_at_once_and_says_when_to_come_back() {
    let mut admission = busy(2);
    ticket(admission.admit(request("a", 3), NOW));
    ticket(admission.admit(request("a", 3), NOW));
    let AdmissionResult::Refused(refused) = admission.admit(request("a", 0), NOW) else {
        panic!("refused")
    };
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    assert!(refused.retry_after >= Duration::from_secs(1));
    assert_eq!(admission.waiting(), 2);
}

#[test]
fn a_higher_priority_goes_first() {
    let mut admission = busy(10);
    let low = ticket(admission.admit(request("a", 5), NOW));
    let high = ticket(admission.admit(request("b", 0), NOW));
    assert_eq!(next_after(&mut admission, "other"), Some(high));
    assert_eq!(next_after(&mut admission, "b"), Some(low));
    assert_eq!(next_after(&mut admission, "a"), None);
}

#[test]
fn accounts_of_one_priority_take_turns_by_weight() {
    let mut admission = busy(100);
    let mut owner = std::collections::HashMap::new();
    for _ in 0..12 {
        owner.insert(ticket(admission.admit(request("large", 3), NOW)), "large");
    }
    for _ in 0..4 {
        let heavy = AdmissionRequest { weight: 3, ..request("heavy", 3) };
        owner.insert(ticket(admission.admit(request("small", 3), NOW)), "small");
        owner.insert(ticket(admission.admit(heavy, NOW)), "heavy");
    }
    let mut order = Vec::new();
    let mut ended = "other";
    while let Some(ticket) = next_after(&mut admission, ended) {
        ended = owner[&ticket];
        order.push(ended);
    }
    assert_eq!(order.len(), 20);
    let early = |name: &str| order.iter().take(8).filter(|who| **who == name).count();
    assert!(early("small") >= 2, "{order:?}");
    assert!(early("heavy") > early("large"), "{order:?}");
}

#[test]
fn no_request_starves_behind_a_stream_of_higher_priority() {
    let mut admission = busy(1_000);
    let low = ticket(admission.admit(request("a", 7), NOW));
    let mut ended = "other";
    for turn in 0..100 {
        ticket(admission.admit(request("b", 0), NOW));
        ticket(admission.admit(request("b", 0), NOW));
        if next_after(&mut admission, ended) == Some(low) {
            return;
        }
        ended = "b";
        assert!(turn < 50, "it never ran");
    }
}

#[test]
fn an_account_runs_no_more_than_its_limit_and_does_not_block_others() {
    let mut admission = Admission::new(10, 10);
    let limited = AdmissionRequest { account_limit: 1, ..request("a", 0) };
    assert_eq!(admission.admit(limited.clone(), NOW), AdmissionResult::Run);
    let second = ticket(admission.admit(limited, NOW));
    assert_eq!(admission.start_next(), None, "its limit is reached");
    let other = ticket(admission.admit(request("b", 5), NOW));
    assert_eq!(admission.start_next(), Some(other));
    assert_eq!(next_after(&mut admission, "a"), Some(second));
}

#[test]
fn what_can_not_make_its_deadline_is_refused_not_parked() {
    let mut admission = busy(1_000);
    for _ in 0..100 {
        ticket(admission.admit(request("a", 3), NOW));
    }
    let soon = AdmissionRequest { deadline: NOW + Duration::from_millis(100), ..request("b", 3) };
    let offer = admission.admit(soon.clone(), NOW);
    assert!(
        matches!(offer, AdmissionResult::Refused(refused) if refused.reason == RefusalReason::Deadline)
    );
    // Nothing of its priority waits ahead of a more urgent one.
    let urgent = AdmissionRequest { priority: 0, ..soon };
    let waiting = ticket(admission.admit(urgent, NOW));
    assert_eq!(admission.expire(NOW + Duration::from_millis(99)), Vec::<Ticket>::new());
    assert_eq!(admission.expire(NOW + Duration::from_millis(100)), vec![waiting]);
    assert!(!admission.cancel(waiting), "it is gone");
    assert_eq!(admission.waiting(), 100);
}

#[test]
fn a_request_that_gives_up_leaves_no_trace() {
    let mut admission = busy(10);
    let first = ticket(admission.admit(request("a", 3), NOW));
    let second = ticket(admission.admit(request("a", 3), NOW));
    assert!(admission.cancel(first));
    assert_eq!(next_after(&mut admission, "other"), Some(second));
    assert_eq!((admission.running(), admission.waiting()), (1, 0));
}
