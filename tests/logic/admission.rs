//! Admission: bounds, priority, fairness, deadlines.

use std::time::Duration;

use kumquatpost::limits::admission::Reason;
use kumquatpost::limits::{Admission, Offer, Ticket, Wants};

const NOW: Duration = Duration::from_secs(100);

fn wants(account: &str, priority: u8) -> Wants {
    Wants {
        account: account.into(),
        weight: 1,
        account_limit: 100,
        priority,
        deadline: NOW + Duration::from_secs(60),
    }
}

fn ticket(offer: Offer) -> Ticket {
    match offer {
        Offer::Wait(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// A node with one place, which is taken.
fn busy(queue_len: usize) -> Admission {
    let mut admission = Admission::new(1, queue_len);
    assert_eq!(admission.offer(wants("other", 3), NOW), Offer::Run);
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
    ticket(admission.offer(wants("a", 3), NOW));
    ticket(admission.offer(wants("a", 3), NOW));
    let Offer::Refused(refused) = admission.offer(wants("a", 0), NOW) else { panic!("refused") };
    assert_eq!(refused.reason, Reason::QueueFull);
    assert!(refused.retry_after >= Duration::from_secs(1));
    assert_eq!(admission.waiting(), 2);
}

#[test]
fn a_higher_priority_goes_first() {
    let mut admission = busy(10);
    let low = ticket(admission.offer(wants("a", 5), NOW));
    let high = ticket(admission.offer(wants("b", 0), NOW));
    assert_eq!(next_after(&mut admission, "other"), Some(high));
    assert_eq!(next_after(&mut admission, "b"), Some(low));
    assert_eq!(next_after(&mut admission, "a"), None);
}

#[test]
fn accounts_of_one_priority_take_turns_by_weight() {
    let mut admission = busy(100);
    let mut owner = std::collections::HashMap::new();
    for _ in 0..12 {
        owner.insert(ticket(admission.offer(wants("large", 3), NOW)), "large");
    }
    for _ in 0..4 {
        let heavy = Wants { weight: 3, ..wants("heavy", 3) };
        owner.insert(ticket(admission.offer(wants("small", 3), NOW)), "small");
        owner.insert(ticket(admission.offer(heavy, NOW)), "heavy");
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
    let low = ticket(admission.offer(wants("a", 7), NOW));
    let mut ended = "other";
    for turn in 0..100 {
        ticket(admission.offer(wants("b", 0), NOW));
        ticket(admission.offer(wants("b", 0), NOW));
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
    let limited = Wants { account_limit: 1, ..wants("a", 0) };
    assert_eq!(admission.offer(limited.clone(), NOW), Offer::Run);
    let second = ticket(admission.offer(limited, NOW));
    assert_eq!(admission.start_next(), None, "its limit is reached");
    let other = ticket(admission.offer(wants("b", 5), NOW));
    assert_eq!(admission.start_next(), Some(other));
    assert_eq!(next_after(&mut admission, "a"), Some(second));
}

#[test]
fn what_can_not_make_its_deadline_is_refused_not_parked() {
    let mut admission = busy(1_000);
    for _ in 0..100 {
        ticket(admission.offer(wants("a", 3), NOW));
    }
    let soon = Wants { deadline: NOW + Duration::from_millis(100), ..wants("b", 3) };
    let offer = admission.offer(soon.clone(), NOW);
    assert!(matches!(offer, Offer::Refused(refused) if refused.reason == Reason::Deadline));
    // Nothing of its priority waits ahead of a more urgent one.
    let urgent = Wants { priority: 0, ..soon };
    let waiting = ticket(admission.offer(urgent, NOW));
    assert_eq!(admission.expire(NOW + Duration::from_millis(99)), Vec::<Ticket>::new());
    assert_eq!(admission.expire(NOW + Duration::from_millis(100)), vec![waiting]);
    assert!(!admission.withdraw(waiting), "it is gone");
    assert_eq!(admission.waiting(), 100);
}

#[test]
fn a_request_that_gives_up_leaves_no_trace() {
    let mut admission = busy(10);
    let first = ticket(admission.offer(wants("a", 3), NOW));
    let second = ticket(admission.offer(wants("a", 3), NOW));
    assert!(admission.withdraw(first));
    assert_eq!(next_after(&mut admission, "other"), Some(second));
    assert_eq!((admission.running(), admission.waiting()), (1, 0));
}
