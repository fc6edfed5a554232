//! Holds of requests because of parts of their prompts: what a request contains decides, and records of
//! many parts stay bounded and cheap.

use std::time::{Duration, Instant};

use kumquatpost::clock::BootTime;
use kumquatpost::ids::TargetStart;
use kumquatpost::quarantine::broken_runs::BrokenRun;
use kumquatpost::quarantine::{Fingerprint, Quarantine};

const START: BootTime = Duration::from_secs(6_000);
const LONG_HOLD: Duration = Duration::from_secs(600);
const BRIEF_HOLD: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn whole(number: u64) -> Fingerprint {
    Fingerprint::of(Some("alpha"), "POST", "shop.example", "/stream/", &number.to_le_bytes())
}

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_part("m", id)
}

fn record_end(quarantine: &mut Quarantine, broken: &[Fingerprint], number: u64, at: BootTime) {
    let target = TargetStart { id: format!("i-{number}"), born_ms: Some(number as i64) };
    let run = |fingerprint: &Fingerprint| BrokenRun {
        fingerprint: *fingerprint,
        sent_at: at - ms(50),
        broke_at: at,
    };
    let runs: Vec<BrokenRun> = broken.iter().map(run).collect();
    let _ = quarantine.record_target_end(&runs, &target, at);
}

#[test]
fn a_part_is_the_same_in_all_requests_for_a_model() {
    assert_eq!(part("c1"), Fingerprint::of_part("m", "c1"));
    assert_ne!(part("c1"), part("c2"));
    assert_ne!(part("c1"), Fingerprint::of_part("other", "c1"));
    assert_ne!(Fingerprint::of_part("ab", "c"), Fingerprint::of_part("a", "bc"));
    // A request with the same bytes has another fingerprint.
    assert_ne!(part("c1"), Fingerprint::of(None, "m", "", "", b"c1"));
}

/// Guards against refusing sound prompts for ten minutes because a part that they share ran at three targets
/// that ended for other reasons.
#[test]
fn a_part_with_few_ends_is_held_briefly_and_one_with_many_for_long() {
    let (shared, culprit) = (part("shared"), part("culprit"));
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        record_end(&mut quarantine, &[whole(number), shared], number, START + ms(400 * number));
    }
    let last_at = START + ms(800);
    let prompt = [whole(9), shared];
    assert!(quarantine.hold(&prompt, last_at + ms(100)).is_some());
    assert_eq!(quarantine.hold(&prompt, last_at + BRIEF_HOLD), None, "its next run will show");

    for number in 10..15 {
        record_end(&mut quarantine, &[whole(number), culprit], number, START + ms(400 * number));
    }
    let now = START + ms(400 * 14 + 100);
    let left = quarantine.hold(&[whole(9), culprit], now).map(|hold| hold.left);
    assert!(left.is_some_and(|left| left > LONG_HOLD), "{left:?}");
}

/// Guards against releasing, again and again, requests with two parts that never occur without each other.
#[test]
fn a_request_with_all_parts_that_may_be_to_blame_is_held_for_long_and_others_briefly() {
    let (culprit, child, other) = (part("culprit"), part("child"), part("other"));
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let broken = [whole(number), part("first"), culprit, child];
        record_end(&mut quarantine, &broken, number, START + ms(300 * number));
        quarantine.record_completions(
            &[whole(100 + number), part("first")],
            START + ms(300 * number + 100),
            START + ms(300 * number + 100),
        );
    }
    let now = START + ms(1_300);
    let held =
        |fingerprints: &[Fingerprint]| quarantine.hold(fingerprints, now).map(|hold| hold.left);
    assert!(
        held(&[whole(9), part("first"), culprit, child])
            .is_some_and(|left| left > LONG_HOLD - ms(200))
    );
    for one in [culprit, child] {
        let left = held(&[whole(9), part("first"), one, other]);
        assert!(left.is_none_or(|left| left <= BRIEF_HOLD), "its run tells both apart: {left:?}");
    }
    assert_eq!(held(&[whole(9), part("first"), other]), None);
}

/// Guards against holding all requests that contain a part when only one request terminates targets.
#[test]
fn an_answer_to_another_request_with_the_part_leaves_only_the_request_held() {
    let (culprit, shared) = (whole(1), part("shared"));
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        record_end(&mut quarantine, &[culprit, shared], number, START + ms(300 * number));
    }
    let at = START + ms(600) + BRIEF_HOLD;
    assert!(
        quarantine.hold(&[culprit, shared], at).is_some(),
        "it contains all that may be to blame"
    );
    assert_eq!(quarantine.hold(&[whole(2), shared], at), None);
    assert!(quarantine.record_completions(&[whole(2), shared], at, at));
    assert_eq!(quarantine.hold(&[whole(3), shared], at), None);
    let left = quarantine.hold(&[culprit, shared], at).map(|hold| hold.left);
    assert!(left.is_some_and(|left| left > LONG_HOLD - BRIEF_HOLD - ms(100)), "{left:?}");
}

/// Guards against clearing the ends between an answer and the proof that it was complete.
#[test]
fn an_answer_that_is_proven_later_clears_only_the_ends_before_it() {
    let request = whole(1);
    let mut quarantine = Quarantine::default();
    (0..3).for_each(|number| {
        record_end(&mut quarantine, &[request], number, START + ms(1_000 + 300 * number));
    });
    quarantine.record_completions(&[request], START + ms(1_100), START + ms(2_000));
    // Two of the three ends are left.
    assert_eq!(quarantine.held_for(request, START + ms(2_000)), None);
    record_end(&mut quarantine, &[request], 9, START + ms(2_100));
    assert!(quarantine.held_for(request, START + ms(2_100)).is_some());
}

/// Guards against evicting a part after its first end, while other requests break with other targets.
#[test]
fn a_part_with_one_end_outlives_several_ends_of_full_targets() {
    const RUNS_PER_TARGET: u64 = 48;
    const ENDS_BETWEEN: u64 = 8;
    let culprit = part("culprit");
    let mut quarantine = Quarantine::default();
    let (mut number, mut now) = (0, START);
    for crash in 0..3 {
        for other in 0..=ENDS_BETWEEN {
            number += 1;
            now += ms(40);
            let own = |run: u64| {
                let id = format!("{number}-{run}");
                [whole(number * 1_000 + run), part(&id), part(&format!("{id}-turn"))]
            };
            let mut broken: Vec<Fingerprint> = (0..RUNS_PER_TARGET).flat_map(own).collect();
            broken.push(part("first"));
            if other == 0 {
                broken.push(culprit);
            }
            record_end(&mut quarantine, &broken, number, now);
            quarantine.record_completions(
                &[whole(number), part("first")],
                now + ms(10),
                now + ms(10),
            );
        }
        assert_eq!(quarantine.hold(&[culprit], now).is_some(), crash == 2, "after {}", crash + 1);
    }
    assert_eq!(quarantine.hold(&[whole(0), part("first")], now), None);
}

/// Guards against a cost of holds that exceeds a node's share of a processor while targets end every second,
/// with the largest number of records, all of them suspects.
#[test]
fn a_full_quarantine_is_evaluated_within_milliseconds() {
    const RECORDS: u64 = 2_048;
    const CHANGES: u64 = 50;
    /// 2.5 % of a second, if one target ends each second.
    const MAX_PER_CHANGE: Duration = Duration::from_millis(25);
    /// The tests are built without optimizations and run beside others.
    const TEST_SLOWDOWN: u32 = 10;
    let mut quarantine = Quarantine::default();
    let broken: Vec<Fingerprint> = (0..RECORDS).map(whole).collect();
    for number in 0..16 {
        record_end(&mut quarantine, &broken, number, START + ms(300 * number));
    }
    let started_at = Instant::now();
    for number in 0..CHANGES {
        let now = START + ms(6_000 + 300 * number);
        record_end(&mut quarantine, &[part("culprit")], 100 + number, now);
    }
    let per_change = started_at.elapsed() / CHANGES as u32;
    println!("{per_change:?} per end of a target with {RECORDS} records of 16 ends");
    assert!(per_change <= MAX_PER_CHANGE * TEST_SLOWDOWN, "{per_change:?}");
}

/// Guards against the hold of a sound part during an outage of the replicas: its deferred ends were recorded
/// long after the answer that cleared them was forgotten.
#[test]
fn an_answer_clears_a_deferred_end_for_good() {
    let shared = part("shared");
    let mut quarantine = Quarantine::default();
    quarantine.record_completions(&[whole(0), shared], START, START);
    for number in 1..=5 {
        let broke_at = START + ms(100 * number);
        let target = TargetStart { id: format!("i-{number}"), born_ms: None };
        let run = BrokenRun { fingerprint: shared, sent_at: START, broke_at };
        let _ = quarantine.observe_target_end(&[run], &target, broke_at);
    }
    let answered_at = START + ms(700);
    quarantine.record_completions(&[whole(1), shared], answered_at, answered_at);
    let later = START + Duration::from_secs(30);
    quarantine.record_completions(&[whole(2)], later, later);
    let _ = quarantine.record_deferred(later);
    assert_eq!(quarantine.hold(&[whole(3), shared], later), None);
    assert_eq!(quarantine.reports_since(0, later), []);
}

/// Guards against deferred ends that wait for ever where no replica is heard.
#[test]
fn a_deferred_end_is_recorded_with_the_next_one() {
    let culprit = part("culprit");
    let mut quarantine = Quarantine::default();
    quarantine.record_completions(&[whole(0), culprit], START, START);
    for number in 1..=5 {
        let broke_at = START + ms(1_200 * number);
        let target = TargetStart { id: format!("i-{number}"), born_ms: None };
        let run = BrokenRun { fingerprint: culprit, sent_at: broke_at - ms(50), broke_at };
        let _ = quarantine.observe_target_end(&[run], &target, broke_at);
    }
    assert!(quarantine.hold(&[whole(1), culprit], START + ms(6_100)).is_some());
}

/// Guards against late reports of a first end that are ignored since records without any were evicted.
#[test]
fn evicted_records_without_ends_hide_no_late_report() {
    let mut quarantine = Quarantine::default();
    for number in 0..3_000 {
        record_end(&mut quarantine, &[whole(number)], number, START);
        quarantine.record_completions(&[whole(number)], START + ms(1), START + ms(1));
    }
    let (culprit, late) = (part("culprit"), START + ms(2));
    record_end(&mut quarantine, &[culprit], 9_000, START - ms(500));
    let reports = quarantine.reports_since(0, late);
    assert!(reports.iter().any(|report| report.fingerprint == culprit), "its end is known");
}
