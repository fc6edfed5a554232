//! The quarantine on a replica's disk: what this build and earlier ones have written.

use std::path::Path;
use std::time::Duration;

use kumquatpost::clock::boot_now;
use kumquatpost::control::checksummed_file::{self, Durability, LoadError};
use kumquatpost::control::quarantine_file;
use kumquatpost::quarantine::{Fingerprint, Report, ReportedEnd};
use serde::Serialize;

use crate::fixtures::start;

/// Layout of the reports in builds that stored no answers.
#[derive(Serialize)]
struct ReportOfEnds {
    fingerprint: Fingerprint,
    ends: Vec<ReportedEnd>,
}

fn fingerprint() -> Fingerprint {
    Fingerprint::of(Some("a"), "POST", "shop.example", "/once/", b"ends its target")
}

/// Ends of enough targets for the request to be held.
fn ends() -> Vec<ReportedEnd> {
    let end = |n: u64| ReportedEnd {
        target: start(&format!("i-{n}")),
        age: Duration::from_secs(30 * n),
        lasted: Duration::from_millis(50),
        is_cleared: false,
    };
    (1..=3).map(end).collect()
}

fn report() -> Report {
    Report { fingerprint: fingerprint(), ends: ends(), was_answered: false }
}

fn is_held(folder: &Path) -> bool {
    quarantine_file::load(folder, false).held_for(fingerprint(), boot_now()).is_some()
}

#[test]
fn a_written_quarantine_is_restored() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(!is_held(folder.path()));
    quarantine_file::write(folder.path(), vec![report()]).expect("the file can be written");
    assert!(is_held(folder.path()));
}

/// Guards against a damaged file that is taken for a missing one, as that of an earlier build is missing.
#[test]
fn a_missing_file_and_a_damaged_one_are_told_apart() {
    let folder = tempfile::tempdir().expect("a folder");
    let missing = quarantine_file::read(folder.path()).expect_err("there is no file");
    assert!(matches!(missing, LoadError::Missing), "{missing}");
    assert!(missing.is_expected(true) && !missing.is_expected(false));
    std::fs::write(folder.path().join("quarantine-versioned"), b"damaged").expect("a file");
    let damaged = quarantine_file::read(folder.path()).expect_err("the file is damaged");
    assert!(matches!(damaged, LoadError::Damaged { .. }), "{damaged}");
    assert!(!damaged.is_expected(true) && !damaged.is_expected(false));
}

/// Guards against upgrades that release held requests because replicas can't read the file of the
/// build before.
#[test]
fn the_files_of_earlier_builds_are_restored() {
    let report_of_ends = ReportOfEnds { fingerprint: fingerprint(), ends: ends() };
    let folder = tempfile::tempdir().expect("a folder");
    let write_answered = checksummed_file::write(
        folder.path(),
        "quarantine",
        &vec![report()],
        Durability::ProcessCrash,
    );
    write_answered.expect("the file can be written");
    assert!(is_held(folder.path()), "reports with answers, without a version");
    let write_ends = checksummed_file::write(
        folder.path(),
        "quarantine",
        &vec![report_of_ends],
        Durability::ProcessCrash,
    );
    write_ends.expect("the file can be written");
    assert!(is_held(folder.path()), "reports without answers");
}

/// Guards against holds that are restored from an outdated file after a rollback.
#[test]
fn a_write_replaces_the_file_of_an_earlier_build() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("quarantine"), b"outdated").expect("a file");
    quarantine_file::write(folder.path(), Vec::new()).expect("the file can be written");
    assert!(!folder.path().join("quarantine").exists());
    assert!(!is_held(folder.path()));
}
