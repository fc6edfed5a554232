//! Targets: leaving is for good, reports are bounded in time, failures eject and return in steps.

use std::time::Duration;

use kumquatpost::route::health::Fault;
use kumquatpost::route::targets::Leaving;
use kumquatpost::route::{Health, Residency, RetryBudget, Targets};
use kumquatpost::upstream::api::{
    CacheChange, CacheEvent, CacheEvents, Presence, Role, Target, TargetList,
};

fn target(id: &str, incarnation: u64, presence: Presence) -> Target {
    Target {
        id: id.into(),
        incarnation,
        role: Role::Service { service: "orders".into() },
        url: format!("http://{id}"),
        failure_domain: "patan".into(),
        presence,
        checks_fencing: false,
    }
}

fn list(targets: &[Target]) -> TargetList {
    TargetList { targets: targets.to_vec() }
}

#[test]
fn a_leaving_target_gets_no_work_whatever_a_late_list_says() {
    let live = |incarnation| target("a", incarnation, Presence::Live);
    let leaving = |incarnation| target("a", incarnation, Presence::Leaving);
    let gossip = Leaving { target: "a".into(), incarnation: 1 };
    enum Step {
        List(Target),
        Gossip,
    }
    let cases: Vec<(&str, Vec<Step>, usize)> = vec![
        ("live", vec![Step::List(live(1))], 1),
        ("leaving", vec![Step::List(live(1)), Step::List(leaving(1))], 0),
        ("a late list", vec![Step::List(leaving(1)), Step::List(live(1))], 0),
        ("gossip first", vec![Step::Gossip, Step::List(live(1))], 0),
        ("gossip later", vec![Step::List(live(1)), Step::Gossip], 0),
        ("started again", vec![Step::List(leaving(1)), Step::List(live(2))], 1),
        ("an older start", vec![Step::List(live(2)), Step::List(live(1)), Step::Gossip], 1),
    ];
    for (what, steps, instances) in cases {
        let mut targets = Targets::default();
        for step in steps {
            match step {
                Step::List(target) => {
                    targets.take(list(&[target]));
                }
                Step::Gossip => {
                    targets.leave(&gossip);
                }
            }
        }
        assert_eq!(targets.instances("orders").len(), instances, "{what}");
    }
}

#[test]
fn each_news_of_leaving_is_told_once() {
    let mut targets = Targets::default();
    let leaving = target("a", 1, Presence::Leaving);
    assert_eq!(targets.take(list(std::slice::from_ref(&leaving))).len(), 1);
    assert_eq!(targets.take(list(&[leaving])).len(), 0);
    assert!(!targets.leave(&Leaving { target: "a".into(), incarnation: 1 }));
    assert!(targets.leave(&Leaving { target: "a".into(), incarnation: 2 }));
}

#[test]
fn failures_eject_and_successes_bring_back_in_steps() {
    let second = Duration::from_secs;
    let mut health = Health::default();
    health.failed(Fault::Other, second(1));
    health.failed(Fault::Target, second(1));
    health.failed(Fault::Target, second(1));
    health.succeeded();
    health.failed(Fault::Target, second(1));
    health.failed(Fault::Target, second(1));
    assert!(health.admits(9, second(1)), "not three in a row");
    health.failed(Fault::Target, second(1));
    assert!(!health.admits(0, second(1)), "ejected");
    assert!(health.admits(0, second(2)), "one on trial");
    assert!(!health.admits(1, second(2)), "only one");
    health.failed(Fault::Target, second(2));
    assert!(!health.admits(0, second(2) + Duration::from_millis(700)), "longer the second time");
    for _ in 0..3 {
        assert!(!health.admits(1, second(10)));
        health.succeeded();
    }
    assert!(health.admits(50, second(10)), "back");
}

#[test]
fn retries_are_a_share_of_first_tries() {
    let mut budget = RetryBudget::default();
    while budget.spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    assert!((190..=200).contains(&retries), "{retries}");
}

fn event(seq: u64, change: CacheChange, key: u128) -> CacheEvent {
    CacheEvent { seq, change, key }
}

#[test]
fn cache_events_late_gapped_and_from_an_earlier_start() {
    use CacheChange::{Evicted, Stored};
    let read = |incarnation, events: Vec<CacheEvent>| CacheEvents { incarnation, events };
    let mut residency = Residency::default();
    residency.take(&read(1, vec![event(1, Stored, 10), event(2, Stored, 11)]));
    assert_eq!(residency.resident(&[10, 11, 12]), 2);
    assert!((residency.trust() - 1.0).abs() < 1e-9);
    residency.take(&read(1, vec![event(1, Evicted, 10), event(2, Stored, 11)]));
    assert_eq!(residency.resident(&[10, 11]), 2, "what was taken is not taken again");
    residency.take(&read(1, vec![event(90, Evicted, 11)]));
    assert_eq!(residency.resident(&[10, 11]), 1);
    assert!(residency.trust() < 0.9, "a gap lowers the trust");
    let before = residency.trust();
    residency.proved(&[10], 1, 0);
    assert!(residency.trust() < before, "a false hit lowers it more");
    residency.take(&read(2, vec![]));
    assert_eq!(residency.resident(&[10]), 0, "it started again with an empty cache");
}

#[test]
fn what_is_remembered_of_a_cache_is_bounded() {
    let mut residency = Residency::default();
    for key in 0..100_000 {
        residency.expect(&[key]);
    }
    assert!(residency.len() <= 16_384);
    assert_eq!(residency.resident(&[99_999]), 1);
}
