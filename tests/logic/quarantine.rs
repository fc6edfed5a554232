//! Which requests are held after targets ended during their runs, and that other requests are not.

use std::time::Duration;

use kumquatpost::clock::BootTime;
use kumquatpost::ids::TargetStart;
use kumquatpost::quarantine::broken_runs::BrokenRun;
use kumquatpost::quarantine::{Fingerprint, Quarantine, Report};
use proptest::prelude::*;

pub const MINUTE: Duration = Duration::from_secs(60);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn target(number: u64) -> TargetStart {
    TargetStart { id: format!("i-{number}"), born_ms: Some(number as i64) }
}

pub fn request(account: &str, number: u64) -> Fingerprint {
    Fingerprint::of(Some(account), "POST", "shop.example", "/stream/", &number.to_le_bytes())
}

/// A run of 50 ms that broke off at `now`.
fn run(fingerprint: Fingerprint, now: BootTime) -> BrokenRun {
    BrokenRun { fingerprint, sent_at: now - ms(50), broke_at: now }
}

fn record_end(
    quarantine: &mut Quarantine,
    fingerprint: Fingerprint,
    target_number: u64,
    now: BootTime,
) {
    let _ = quarantine.record_target_end(&[run(fingerprint, now)], &target(target_number), now);
}

fn all_reports(quarantine: &Quarantine, now: BootTime) -> Vec<Report> {
    quarantine.reports_since(0, now)
}

#[test]
fn a_request_is_held_after_three_targets_have_ended_during_its_runs() {
    let (mut quarantine, now, fingerprint) =
        (Quarantine::default(), 100 * MINUTE, request("alpha", 1));
    for (number, held) in [(1, false), (2, false), (3, true)] {
        let at = now + ms(200 * number);
        let merged = quarantine.record_target_end(&[run(fingerprint, at)], &target(number), at);
        assert_eq!(quarantine.held_for(fingerprint, at).is_some(), held, "after {number}");
        assert_eq!(merged.held, if held { vec![fingerprint] } else { vec![] });
    }
    assert_eq!(quarantine.held_for(fingerprint, now + ms(600)), Some(10 * MINUTE));
    assert_eq!(quarantine.held_for(request("beta", 1), now + ms(600)), None, "another account's");
    assert_eq!(quarantine.held_for(request("alpha", 2), now + ms(600)), None, "another request");
    assert_eq!(quarantine.held_for(fingerprint, now + 11 * MINUTE), None, "the hold has expired");
}

#[test]
fn one_target_counts_once_however_often_it_is_reported() {
    let (mut quarantine, now, fingerprint) =
        (Quarantine::default(), 100 * MINUTE, request("alpha", 1));
    for repetition in 0..9 {
        record_end(&mut quarantine, fingerprint, 1, now + ms(300 * repetition));
    }
    assert_eq!(quarantine.held_for(fingerprint, now + ms(2_700)), None);
}

#[test]
fn targets_that_end_together_count_once_but_not_those_that_end_in_turn() {
    let (now, request_fingerprint) = (100 * MINUTE, request("alpha", 1));
    // A power failure ends four targets, all running the same frequent request.
    let mut quarantine = Quarantine::default();
    for number in 0..4 {
        record_end(&mut quarantine, request_fingerprint, number, now + ms(10 * number));
    }
    assert_eq!(quarantine.held_for(request_fingerprint, now + ms(40)), None);
    // Each run was sent after the previous one broke off, so the ends have no common cause.
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at = now + ms(10 * number);
        let run = BrokenRun { fingerprint: request_fingerprint, sent_at: at - ms(5), broke_at: at };
        let _ = quarantine.record_target_end(&[run], &target(number), at);
    }
    assert!(quarantine.held_for(request_fingerprint, now + ms(40)).is_some());
}

#[test]
fn a_complete_answer_clears_a_request_in_all_processes() {
    let (now, fingerprint) = (100 * MINUTE, request("alpha", 1));
    let (mut process_a, mut process_b) = (Quarantine::default(), Quarantine::default());
    for number in 0..2 {
        record_end(&mut process_a, fingerprint, number, now + ms(300 * number));
    }
    let _ = process_b.merge_reports(all_reports(&process_a, now), now);
    assert!(process_b.record_completion(fingerprint, now + ms(700)));
    assert!(
        !process_b.record_completion(fingerprint, now + ms(701)),
        "the answer is already recorded"
    );
    let _ = process_a.merge_reports(all_reports(&process_b, now + ms(800)), now + ms(800));
    record_end(&mut process_a, fingerprint, 7, now + ms(900));
    record_end(&mut process_a, fingerprint, 8, now + ms(1_200));
    assert_eq!(process_a.held_for(fingerprint, now + ms(1_200)), None, "two since");
    record_end(&mut process_a, fingerprint, 9, now + ms(1_500));
    assert!(process_a.held_for(fingerprint, now + ms(1_500)).is_some(), "three since");
}

/// Guards against holding a request because of ends that are detected late, after it has got a complete
/// answer elsewhere.
#[test]
fn an_end_detected_after_a_complete_answer_does_not_count_against_the_request() {
    let (now, fingerprint) = (100 * MINUTE, request("alpha", 1));
    let (mut process_a, mut process_b) = (Quarantine::default(), Quarantine::default());
    for number in 0..3 {
        let run = run(fingerprint, now + ms(1_000 * number));
        let _ = process_a.record_target_end(&[run], &target(number), now + ms(4_000));
    }
    assert!(
        process_a.held_for(fingerprint, now + ms(4_000)).is_some(),
        "process A knows of no complete answer"
    );
    process_b.record_completion(fingerprint, now + ms(2_500));
    let _ = process_b.merge_reports(all_reports(&process_a, now + ms(4_000)), now + ms(4_000));
    assert_eq!(process_b.held_for(fingerprint, now + ms(4_000)), None);
    let _ = process_a.merge_reports(all_reports(&process_b, now + ms(4_001)), now + ms(4_001));
    assert_eq!(
        process_a.held_for(fingerprint, now + ms(4_001)),
        None,
        "process B has reported the answer"
    );
    // An end that occurred before the complete answer but was detected after it.
    process_b.record_completion(fingerprint, now + ms(5_000));
    let _ = process_b.record_target_end(
        &[run(fingerprint, now + ms(4_900))],
        &target(9),
        now + ms(7_000),
    );
    assert!(
        all_reports(&process_b, now + ms(7_000))
            .iter()
            .all(|r| r.ends.iter().all(|end| end.is_cleared))
    );
}

/// Records a target end at `at`, during a run that lasted `run_duration`.
fn record_end_after(
    quarantine: &mut Quarantine,
    request_fingerprint: Fingerprint,
    target_number: u64,
    at: BootTime,
    run_duration: Duration,
) {
    let run =
        BrokenRun { fingerprint: request_fingerprint, sent_at: at - run_duration, broke_at: at };
    let _ = quarantine.record_target_end(&[run], &target(target_number), at);
}

/// Guards against holding frequent requests that ran on the same targets as the culprit.
#[test]
fn a_request_that_ran_beside_the_culprit_is_not_held_with_it() {
    let now = 100 * MINUTE;
    let (culprit, bystander) = (request("alpha", 1), request("alpha", 2));
    let held = |quarantine: &Quarantine, at| {
        [culprit, bystander].map(|request| quarantine.held_for(request, at).is_some())
    };
    // The request with the shortest runs is taken for the culprit.
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at = now + ms(300 * number);
        record_end_after(&mut quarantine, bystander, number, at, ms(200));
        record_end_after(&mut quarantine, culprit, number, at, ms(50));
    }
    assert_eq!(held(&quarantine, now + ms(600)), [true, false]);
    // With longer runs the culprit is recognized only at its next end.
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at = now + ms(300 * number);
        record_end_after(&mut quarantine, culprit, number, at, ms(200));
        record_end_after(&mut quarantine, bystander, number, at, ms(50));
    }
    assert_eq!(held(&quarantine, now + ms(600)), [false, true]);
    record_end_after(&mut quarantine, culprit, 3, now + ms(900), ms(200));
    assert_eq!(held(&quarantine, now + ms(900)), [true, false]);
}

/// Guards against blaming a frequent request for a run that had just begun when a target ended, though
/// an earlier run of it lasted longer on the same target.
#[test]
fn a_new_short_run_does_not_implicate_a_request_that_had_run_longer_there() {
    let now = 100 * MINUTE;
    let (culprit, bystander) = (request("alpha", 1), request("alpha", 2));
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at = now + ms(300 * number);
        record_end_after(&mut quarantine, culprit, number, at, ms(100));
        for run_duration in [5, 150, 10] {
            record_end_after(&mut quarantine, bystander, number, at, ms(run_duration));
        }
    }
    assert!(quarantine.held_for(culprit, now + ms(600)).is_some());
    assert_eq!(quarantine.held_for(bystander, now + ms(600)), None);
}

/// Guards against a long hold of a frequent request that cannot be distinguished from the culprit until
/// either is sent again.
#[test]
fn of_two_indistinguishable_requests_one_is_held_briefly() {
    let now = 100 * MINUTE;
    let (culprit, frequent) = (request("alpha", 1), request("alpha", 2));
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let at = now + ms(300 * number);
        record_end_after(&mut quarantine, culprit, number, at, ms(9));
        record_end_after(&mut quarantine, frequent, number, at, ms(8));
    }
    let at = now + ms(600);
    assert!(quarantine.held_for(frequent, at).is_some_and(|left| left <= ms(2_000)));
    assert_eq!(quarantine.held_for(culprit, at), None);
    // A complete answer to the frequent request shows that the other one is the culprit.
    quarantine.record_completion(frequent, at + ms(2_100));
    assert_eq!(quarantine.held_for(frequent, at + ms(2_100)), None);
    assert!(quarantine.held_for(culprit, at + ms(2_100)).is_some_and(|left| left > 9 * MINUTE));
}

/// Guards against a long hold of a frequent request that has one more end than the culprit, from a target
/// that ended for an unrelated reason.
#[test]
fn one_unrelated_end_does_not_make_a_frequent_request_the_culprit() {
    let now = 100 * MINUTE;
    let (culprit, frequent) = (request("alpha", 1), request("alpha", 2));
    let mut quarantine = Quarantine::default();
    record_end_after(&mut quarantine, frequent, 99, now, ms(8));
    for number in 0..6 {
        let at = now + ms(300 * (number + 1));
        record_end_after(&mut quarantine, culprit, number, at, ms(9));
        record_end_after(&mut quarantine, frequent, number, at, ms(8));
    }
    let at = now + ms(1_800);
    assert!(quarantine.held_for(frequent, at).is_some_and(|left| left <= ms(2_000)));
    quarantine.record_completion(frequent, at + ms(2_100));
    assert_eq!(quarantine.held_for(frequent, at + ms(2_100)), None);
    assert!(quarantine.held_for(culprit, at + ms(2_100)).is_some_and(|left| left > 9 * MINUTE));
}

/// Guards against a long hold of a frequent request when some ends are not attributed to the culprit.
#[test]
fn a_request_that_was_answered_just_before_is_not_held_for_long_though_it_has_more_ends() {
    let now = 100 * MINUTE;
    let (culprit, frequent) = (request("alpha", 1), request("alpha", 2));
    let mut quarantine = Quarantine::default();
    quarantine.record_completion(frequent, now);
    for number in 0..6 {
        let at = now + ms(300 * (number + 1));
        if number < 4 {
            record_end_after(&mut quarantine, culprit, number, at, ms(9));
        }
        record_end_after(&mut quarantine, frequent, number, at, ms(8));
    }
    let left = quarantine.held_for(frequent, now + ms(1_800));
    assert!(left.is_none_or(|left| left <= ms(2_000)), "{left:?}");
}

/// A request with two more ends than any other that ran there is certainly the culprit.
#[test]
fn a_request_with_clearly_more_ends_than_others_is_held() {
    let now = 100 * MINUTE;
    let (culprit, bystander) = (request("alpha", 1), request("alpha", 2));
    let mut quarantine = Quarantine::default();
    for number in 0..5 {
        let at = now + ms(300 * number);
        record_end_after(&mut quarantine, culprit, number, at, ms(9));
        if number < 3 {
            record_end_after(&mut quarantine, bystander, number, at, ms(8));
        }
    }
    assert!(quarantine.held_for(culprit, now + ms(1_200)).is_some_and(|left| left > 9 * MINUTE));
    assert_eq!(quarantine.held_for(bystander, now + ms(1_200)), None);
}

#[test]
fn two_requests_that_both_end_targets_are_both_held() {
    let now = 100 * MINUTE;
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        let fingerprint = request("alpha", number % 2);
        record_end(&mut quarantine, fingerprint, number, now + ms(300 * number));
    }
    for number in 0..2 {
        assert!(quarantine.held_for(request("alpha", number), now + ms(1_800)).is_some());
    }
}

#[test]
fn a_hold_doubles_with_each_further_end_and_records_expire() {
    let (mut quarantine, mut now, fingerprint) =
        (Quarantine::default(), 100 * MINUTE, request("alpha", 1));
    for number in 0..3 {
        now += ms(300);
        record_end(&mut quarantine, fingerprint, number, now);
    }
    for (number, minutes) in [(3, 20), (4, 40), (5, 80)] {
        now += quarantine.held_for(fingerprint, now).expect("the request is not held") + ms(1);
        assert_eq!(quarantine.held_for(fingerprint, now), None, "the hold has expired");
        record_end(&mut quarantine, fingerprint, number, now);
        assert_eq!(quarantine.held_for(fingerprint, now), Some(minutes * MINUTE));
    }
    now += 161 * MINUTE;
    record_end(&mut quarantine, request("alpha", 2), 77, now);
    assert_eq!(all_reports(&quarantine, now).len(), 1, "the first record has expired");
}

#[test]
fn records_are_bounded_and_a_flood_of_others_does_not_evict_a_held_request() {
    let (mut quarantine, now, fingerprint) =
        (Quarantine::default(), 100 * MINUTE, request("alpha", 1));
    for number in 0..40 {
        record_end(&mut quarantine, fingerprint, number, now + ms(300 * number));
    }
    let now = now + ms(300 * 40);
    for number in 0..5_000 {
        record_end(&mut quarantine, request("beta", number), 100 + number, now + ms(number));
    }
    let now = now + ms(5_000);
    assert!(all_reports(&quarantine, now).len() <= 2_048);
    assert!(all_reports(&quarantine, now).iter().all(|report| report.ends.len() <= 16));
    assert!(quarantine.held_for(fingerprint, now).is_some());
}

#[test]
fn a_host_that_has_just_booted_accepts_reports_of_ends_before_its_boot() {
    let (mut quarantine, now, fingerprint) =
        (Quarantine::default(), 100 * MINUTE, request("alpha", 1));
    for number in 0..3 {
        record_end(&mut quarantine, fingerprint, number, now + ms(300 * number));
    }
    let mut booted = Quarantine::default();
    let _ = booted.merge_reports(all_reports(&quarantine, now + MINUTE), ms(900));
    let left = booted.held_for(fingerprint, ms(900)).expect("the request is not held");
    assert_eq!(
        left,
        quarantine.held_for(fingerprint, now + MINUTE).expect("the request is not held")
    );
}

#[test]
fn only_requests_with_two_ends_are_reported_as_suspects() {
    let (mut quarantine, now) = (Quarantine::default(), 100 * MINUTE);
    let broken_runs: Vec<BrokenRun> =
        (0..48).map(|number| run(request("alpha", number), now)).collect();
    let _ = quarantine.record_target_end(&broken_runs, &target(1), now);
    assert_eq!(quarantine.suspect_reports_since(0, now), []);
    let before = quarantine.revision();
    record_end(&mut quarantine, request("alpha", 5), 2, now + ms(300));
    let reported = quarantine.suspect_reports_since(before, now + ms(300));
    assert_eq!(
        reported.iter().map(|reported| reported.fingerprint).collect::<Vec<_>>(),
        [request("alpha", 5)]
    );
}

/// An observation of one process: a target ended during a request, or the request got a complete answer.
#[derive(Clone, Debug)]
enum Event {
    End { request: u64, target: u64 },
    Completion { request: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..4_u64, 0..12_u64).prop_map(|(request, target)| Event::End { request, target }),
        1 => (0..4_u64).prop_map(|request| Event::Completion { request }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(2026), ..ProptestConfig::default() })]

    /// Guards against processes that hold different requests after they have exchanged all reports, in any
    /// order and some of them twice.
    #[test]
    fn all_processes_converge_whatever_the_order_of_reports(
        steps in prop::collection::vec((0..3_usize, event(), prop::option::of((0..3_usize, 0..3_usize))), 1..60),
    ) {
        let mut processes = vec![Quarantine::default(); 3];
        let mut now = 100 * MINUTE;
        for (process_index, event, exchange) in steps {
            now += ms(137);
            match event {
                Event::End { request: number, target: target_number } => {
                    record_end(
                        &mut processes[process_index],
                        request("alpha", number),
                        target_number,
                        now,
                    );
                }
                Event::Completion { request: number } => {
                    processes[process_index].record_completion(request("alpha", number), now);
                }
            }
            if let Some((from, to)) = exchange {
                let reports = all_reports(&processes[from], now);
                let _ = processes[to].merge_reports(reports, now + ms(3));
            }
        }
        for _ in 0..2 {
            for from in 0..3 {
                let reports = all_reports(&processes[from], now);
                for process in &mut processes {
                    let _ = process.merge_reports(reports.clone(), now + ms(2));
                }
            }
        }
        let digests: Vec<u64> = processes.iter().map(Quarantine::digest).collect();
        prop_assert!(digests.iter().all(|digest| *digest == digests[0]), "{digests:?}");
        let held = |process: &Quarantine| -> Vec<bool> {
            (0..4).map(|number| process.held_for(request("alpha", number), now).is_some()).collect()
        };
        for process in &processes {
            prop_assert_eq!(held(process), held(&processes[0]));
        }
    }
}
