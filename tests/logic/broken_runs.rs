//! Distinguishes targets that have ended from those that only broke off some answers.

use kumquatpost::clock::BootTime;
use kumquatpost::ids::TargetStart;
use kumquatpost::quarantine::Fingerprint;
use kumquatpost::quarantine::broken_runs::{BrokenRun, BrokenRuns, TargetCheck};

fn secs(secs: u64) -> BootTime {
    BootTime::from_secs(secs)
}

fn target(id: &str) -> TargetStart {
    TargetStart { id: id.to_string(), born_ms: None }
}

fn run(body: &str, at: u64) -> BrokenRun {
    let fingerprint =
        Fingerprint::of(Some("alpha"), "POST", "shop.example", "/stream/", body.as_bytes());
    BrokenRun { fingerprint, sent_at: secs(at - 1), broke_at: secs(at) }
}

#[test]
fn one_check_covers_all_broken_runs_and_each_counts_once() {
    let mut broken_runs = BrokenRuns::default();
    assert_eq!(broken_runs.record_broken_run(&target("a"), run("one", 1)), TargetCheck::StartCheck);
    assert_eq!(
        broken_runs.record_broken_run(&target("a"), run("two", 1)),
        TargetCheck::CheckInProgress
    );
    assert_eq!(
        broken_runs.record_broken_run(&target("a"), run("two", 1)),
        TargetCheck::CheckInProgress
    );
    assert_eq!(
        broken_runs.record_broken_run(&target("b"), run("three", 1)),
        TargetCheck::StartCheck
    );
    assert_eq!(broken_runs.mark_ended(&target("a"), secs(1)), [run("one", 1), run("two", 1)]);
    assert_eq!(broken_runs.mark_ended(&target("a"), secs(1)), [], "the end is already recorded");
    assert_eq!(
        broken_runs.record_broken_run(&target("a"), run("late", 2)),
        TargetCheck::TargetEnded
    );
    assert_eq!(broken_runs.unresolved_targets().collect::<Vec<_>>(), [&target("b")]);
}

#[test]
fn a_listening_target_is_checked_again_after_the_next_broken_run() {
    let mut broken_runs = BrokenRuns::default();
    broken_runs.record_broken_run(&target("a"), run("one", 1));
    broken_runs.mark_listening(&target("a"));
    assert_eq!(broken_runs.record_broken_run(&target("a"), run("two", 2)), TargetCheck::StartCheck);
    // The first run broke off shortly before the second, while the target was terminating.
    assert_eq!(broken_runs.mark_ended(&target("a"), secs(2)), [run("one", 1), run("two", 2)]);
}

#[test]
fn an_end_detected_long_after_a_broken_run_is_not_attributed_to_it() {
    let mut broken_runs = BrokenRuns::default();
    broken_runs.record_broken_run(&target("a"), run("one", 1));
    broken_runs.mark_listening(&target("a"));
    assert_eq!(broken_runs.mark_ended(&target("a"), secs(60)), []);
    assert_eq!(broken_runs.mark_ended(&target("unknown"), secs(60)), []);
}

#[test]
fn a_fingerprint_depends_on_account_path_and_body() {
    let fingerprint_of = |account, path: &str, body: &str| {
        Fingerprint::of(account, "POST", "shop.example", path, body.as_bytes())
    };
    let one = fingerprint_of(Some("alpha"), "/stream/", "body");
    assert_eq!(one, fingerprint_of(Some("alpha"), "/stream/", "body"));
    let others = [
        fingerprint_of(Some("beta"), "/stream/", "body"),
        fingerprint_of(None, "/stream/", "body"),
        fingerprint_of(Some("alpha"), "/stream/?x", "body"),
        fingerprint_of(Some("alpha"), "/stream/", "another body"),
        fingerprint_of(Some("alpha"), "/stream/b", "ody"),
    ];
    for other in others {
        assert_ne!(one, other);
    }
    assert_ne!(
        fingerprint_of(None, "/stream/", "body"),
        fingerprint_of(Some(""), "/stream/", "body")
    );
}

#[test]
fn of_several_runs_of_one_request_the_longest_counts() {
    let mut broken_runs = BrokenRuns::default();
    let long = run("one", 3);
    let short = BrokenRun { sent_at: secs(3), ..long };
    broken_runs.record_broken_run(&target("a"), short);
    broken_runs.record_broken_run(&target("a"), long);
    assert_eq!(broken_runs.mark_ended(&target("a"), secs(3)), [long]);
}

/// Guards against taking the last event of an engine that crashes for a complete answer.
#[test]
fn an_answer_that_ended_with_its_connection_is_complete_once_its_target_outlives_it() {
    let mut broken_runs = BrokenRuns::default();
    let check = broken_runs.record_unproven_answer(&target("a"), run("one", 1));
    assert_eq!(check, TargetCheck::StartCheck);
    // Ends while the check is in progress, which therefore proves nothing for it.
    broken_runs.record_unproven_answer(&target("a"), run("two", 2));
    let listening = broken_runs.mark_listening(&target("a"));
    assert_eq!((listening.completed, listening.needs_check), (vec![run("one", 1)], true));
    let check = broken_runs.record_broken_run(&target("a"), run("three", 3));
    assert_eq!(check, TargetCheck::CheckInProgress);
    assert_eq!(broken_runs.mark_ended(&target("a"), secs(3)), [run("three", 3), run("two", 2)]);
    let check = broken_runs.record_unproven_answer(&target("a"), run("four", 3));
    assert_eq!(check, TargetCheck::TargetEnded);
}

#[test]
fn a_frequent_request_does_not_postpone_the_proof_of_its_own_answers() {
    let mut broken_runs = BrokenRuns::default();
    broken_runs.record_unproven_answer(&target("a"), run("one", 1));
    broken_runs.record_unproven_answer(&target("a"), run("one", 2));
    let listening = broken_runs.mark_listening(&target("a"));
    assert_eq!((listening.completed, listening.needs_check), (vec![run("one", 1)], false));
}

#[test]
fn an_unreachable_target_proves_nothing_and_is_checked_again() {
    let mut broken_runs = BrokenRuns::default();
    broken_runs.record_unproven_answer(&target("a"), run("one", 1));
    broken_runs.mark_unreachable(&target("a"));
    let check = broken_runs.record_unproven_answer(&target("a"), run("two", 2));
    assert_eq!(check, TargetCheck::StartCheck);
    let listening = broken_runs.mark_listening(&target("a"));
    assert_eq!(listening.completed, [run("one", 1), run("two", 2)]);
}

/// Guards against blaming a run that broke off long before, as long as others end at its target.
#[test]
fn each_run_waits_for_evidence_on_its_own() {
    let mut broken_runs = BrokenRuns::default();
    broken_runs.record_broken_run(&target("a"), run("one", 1));
    for at in 2..20 {
        broken_runs.record_unproven_answer(&target("a"), run("two", at));
        broken_runs.mark_listening(&target("a"));
    }
    assert_eq!(broken_runs.mark_ended(&target("a"), secs(20)), []);
}
