//! Target lists, health, retry budgets and residency.

use std::time::Duration;

use kumquatpost::route::health::FailureCause;
use kumquatpost::route::targets::LeavingTarget;
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
fn a_leaving_target_gets_no_work_even_after_an_outdated_list() {
    let live = |incarnation| target("a", incarnation, Presence::Live);
    let leaving = |incarnation| target("a", incarnation, Presence::Leaving);
    let announcement = LeavingTarget { target: "a".into(), incarnation: 1 };
    enum Step {
        List(Target),
        Announcement,
    }
    let cases: Vec<(&str, Vec<Step>, usize)> = vec![
        ("live", vec![Step::List(live(1))], 1),
        ("leaving", vec![Step::List(live(1)), Step::List(leaving(1))], 0),
        ("an outdated list", vec![Step::List(leaving(1)), Step::List(live(1))], 0),
        ("announcement first", vec![Step::Announcement, Step::List(live(1))], 0),
        ("announcement later", vec![Step::List(live(1)), Step::Announcement], 0),
        ("restarted", vec![Step::List(leaving(1)), Step::List(live(2))], 1),
        (
            "an older incarnation",
            vec![Step::List(live(2)), Step::List(live(1)), Step::Announcement],
            1,
        ),
    ];
    for (case_name, steps, instances) in cases {
        let mut targets = Targets::default();
        for step in steps {
            match step {
                Step::List(target) => {
                    targets.apply_list(list(&[target]));
                }
                Step::Announcement => {
                    targets.mark_leaving(&announcement);
                }
            }
        }
        assert_eq!(targets.instances("orders").len(), instances, "{case_name}");
    }
}

#[test]
fn each_departure_is_announced_once() {
    let mut targets = Targets::default();
    let leaving = target("a", 1, Presence::Leaving);
    assert_eq!(targets.apply_list(list(std::slice::from_ref(&leaving))).len(), 1);
    assert_eq!(targets.apply_list(list(&[leaving])).len(), 0);
    assert!(!targets.mark_leaving(&LeavingTarget { target: "a".into(), incarnation: 1 }));
    assert!(targets.mark_leaving(&LeavingTarget { target: "a".into(), incarnation: 2 }));
}

#[test]
fn failures_eject_a_target_and_successes_readmit_it_gradually() {
    let secs = Duration::from_secs;
    let mut health = Health::default();
    health.record_failure(FailureCause::Other, secs(1));
    health.record_failure(FailureCause::Target, secs(1));
    health.record_failure(FailureCause::Target, secs(1));
    health.record_success();
    health.record_failure(FailureCause::Target, secs(1));
    health.record_failure(FailureCause::Target, secs(1));
    assert!(health.admits(9, secs(1)), "not three in a row");
    health.record_failure(FailureCause::Target, secs(1));
    assert!(!health.admits(0, secs(1)), "ejected");
    assert!(health.admits(0, secs(2)), "one trial request is admitted");
    assert!(!health.admits(1, secs(2)), "only one trial request");
    health.record_failure(FailureCause::Target, secs(2));
    assert!(
        !health.admits(0, secs(2) + Duration::from_millis(700)),
        "the second ejection lasts longer"
    );
    for _ in 0..3 {
        assert!(!health.admits(1, secs(10)));
        health.record_success();
    }
    assert!(health.admits(50, secs(10)), "fully readmitted");
}

#[test]
fn retries_are_limited_to_a_share_of_first_attempts() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit();
        retries += u32::from(budget.try_spend());
    }
    assert!((190..=200).contains(&retries), "{retries}");
}

fn event(seq: u64, change: CacheChange, key: u128) -> CacheEvent {
    CacheEvent { seq, change, key }
}

#[test]
fn duplicate_or_missing_cache_events_and_restarts_are_handled() {
    use CacheChange::{Evicted, Stored};
    let batch = |incarnation, events: Vec<CacheEvent>| CacheEvents { incarnation, events };
    let mut residency = Residency::default();
    residency.apply_events(&batch(1, vec![event(1, Stored, 10), event(2, Stored, 11)]));
    assert_eq!(residency.resident_blocks(&[10, 11, 12]), 2);
    assert!((residency.confidence() - 1.0).abs() < 1e-9);
    residency.apply_events(&batch(1, vec![event(1, Evicted, 10), event(2, Stored, 11)]));
    assert_eq!(residency.resident_blocks(&[10, 11]), 2, "known events must be skipped");
    residency.apply_events(&batch(1, vec![event(90, Evicted, 11)]));
    assert_eq!(residency.resident_blocks(&[10, 11]), 1);
    assert!(residency.confidence() < 0.9, "a gap must lower the confidence");
    let before = residency.confidence();
    residency.record_result(&[10], 1, 0);
    assert!(residency.confidence() < before, "a false hit must lower the confidence further");
    residency.apply_events(&batch(2, vec![]));
    assert_eq!(residency.resident_blocks(&[10]), 0, "the cache is empty after a restart");
}

#[test]
fn residency_records_are_bounded() {
    let mut residency = Residency::default();
    for key in 0..100_000 {
        residency.expect_resident(&[key]);
    }
    assert!(residency.len() <= 16_384);
    assert_eq!(residency.resident_blocks(&[99_999]), 1);
}
