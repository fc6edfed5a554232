//! What tells a target that has ended from one that only broke off some answers.

use kumquatpost::clock::BootTime;
use kumquatpost::ids::TargetStart;
use kumquatpost::quarantine::Fingerprint;
use kumquatpost::quarantine::broken_runs::{BrokenRun, BrokenRuns, TargetCheck};

fn s(s: u64) -> BootTime {
    BootTime::from_secs(s)
}

fn target(id: &str) -> TargetStart {
    TargetStart { id: id.to_string(), born_ms: None }
}

fn run(body: &str, at: u64) -> BrokenRun {
    let fingerprint =
        Fingerprint::of(Some("alpha"), "POST", "shop.example", "/stream/", body.as_bytes());
    BrokenRun { fingerprint, sent_at: s(at - 1), broke_at: s(at) }
}

#[test]
fn one_look_serves_all_runs_that_broke_off_and_each_counts_once() {
    let mut broken = BrokenRuns::default();
    assert_eq!(broken.record_broken_run(&target("a"), run("one", 1)), TargetCheck::StartCheck);
    assert_eq!(broken.record_broken_run(&target("a"), run("two", 1)), TargetCheck::CheckInProgress);
    assert_eq!(broken.record_broken_run(&target("a"), run("two", 1)), TargetCheck::CheckInProgress);
    assert_eq!(broken.record_broken_run(&target("b"), run("three", 1)), TargetCheck::StartCheck);
    assert_eq!(broken.mark_ended(&target("a"), s(1)), [run("one", 1), run("two", 1)]);
    assert_eq!(broken.mark_ended(&target("a"), s(1)), [], "that is no news");
    assert_eq!(broken.record_broken_run(&target("a"), run("late", 2)), TargetCheck::TargetEnded);
    assert_eq!(broken.unresolved_targets().collect::<Vec<_>>(), [&target("b")]);
}

#[test]
fn a_target_that_listens_is_looked_at_again_with_the_next_run_that_breaks_off() {
    let mut broken = BrokenRuns::default();
    broken.record_broken_run(&target("a"), run("one", 1));
    broken.mark_listening(&target("a"));
    assert_eq!(broken.record_broken_run(&target("a"), run("two", 2)), TargetCheck::StartCheck);
    // The first broke off shortly before, while the target was going down.
    assert_eq!(broken.mark_ended(&target("a"), s(2)), [run("one", 1), run("two", 2)]);
}

#[test]
fn evidence_that_comes_long_after_says_nothing_of_the_run() {
    let mut broken = BrokenRuns::default();
    broken.record_broken_run(&target("a"), run("one", 1));
    broken.mark_listening(&target("a"));
    assert_eq!(broken.mark_ended(&target("a"), s(60)), []);
    assert_eq!(broken.mark_ended(&target("nobody asked"), s(60)), []);
}

#[test]
fn a_request_is_the_same_if_its_caller_path_and_body_are() {
    let of = |account, path: &str, body: &str| {
        Fingerprint::of(account, "POST", "shop.example", path, body.as_bytes())
    };
    let one = of(Some("alpha"), "/stream/", "body");
    assert_eq!(one, of(Some("alpha"), "/stream/", "body"));
    let others = [
        of(Some("beta"), "/stream/", "body"),
        of(None, "/stream/", "body"),
        of(Some("alpha"), "/stream/?x", "body"),
        of(Some("alpha"), "/stream/", "another body"),
        of(Some("alpha"), "/stream/b", "ody"),
    ];
    for other in others {
        assert_ne!(one, other);
    }
    assert_ne!(of(None, "/stream/", "body"), of(Some(""), "/stream/", "body"));
}

#[test]
fn of_several_runs_of_one_request_the_longest_counts() {
    let mut broken = BrokenRuns::default();
    let long = run("one", 3);
    let short = BrokenRun { sent_at: s(3), ..long };
    broken.record_broken_run(&target("a"), short);
    broken.record_broken_run(&target("a"), long);
    assert_eq!(broken.mark_ended(&target("a"), s(3)), [long]);
}
