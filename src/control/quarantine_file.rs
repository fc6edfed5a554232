//! Keeps the quarantine on a replica's disk. After a power loss on all hosts no other copy is left,
//! and each request in it could crash targets again.
//!
//! Ages resume from the time of writing, so time without power lengthens a quarantine.

use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::checksummed_file::{self, Durability, LoadError};
use super::shared::Shared;
use crate::clock::boot_now;
use crate::quarantine::{Fingerprint, Quarantine, Report, ReportedEnd, Revision};

const FILE: &str = "quarantine-versioned";
/// Written by earlier builds: reports without a version of their layout.
const UNVERSIONED_FILE: &str = "quarantine";
/// Shortest time between writes. Several targets tend to end at about the same time.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The content of the file. A change to the layout of reports adds a variant at the end; the layouts
/// of earlier builds remain readable, so that an upgrade releases no held request.
#[derive(Serialize, Deserialize)]
enum Content {
    V1(Vec<Report>),
}

/// The layout of reports before they told whether the request was ever answered.
#[derive(Deserialize)]
struct ReportOfEnds {
    fingerprint: Fingerprint,
    ends: Vec<ReportedEnd>,
}

impl From<ReportOfEnds> for Report {
    fn from(report: ReportOfEnds) -> Report {
        let ReportOfEnds { fingerprint, ends } = report;
        Report { fingerprint, ends, was_answered: false }
    }
}

/// Reads the quarantine; empty if the file is missing or damaged.
pub fn load(folder: &Path, is_first_start: bool) -> Quarantine {
    let mut quarantine = Quarantine::default();
    match read(folder) {
        Ok(reports) => {
            log::info!("event=quarantine_restored requests={}", reports.len());
            // The result only tells whether anything was new.
            let _ = quarantine.merge_reports(reports, boot_now());
        }
        Err(error) if error.is_expected(is_first_start) => {}
        Err(error) => log::info!("event=quarantine_not_restored reason={:?}", error.to_string()),
    }
    quarantine
}

/// Reads the reports of this build, or else those of an earlier one.
///
/// # Errors
///
/// If no file can be read: why not that of this build, unless only an earlier one's exists.
pub fn read(folder: &Path) -> Result<Vec<Report>, LoadError> {
    let error = match checksummed_file::load(folder, FILE) {
        Ok(Content::V1(reports)) => return Ok(reports),
        Err(error) => error,
    };
    checksummed_file::load(folder, UNVERSIONED_FILE)
        .or_else(|_| {
            let reports = checksummed_file::load::<Vec<ReportOfEnds>>(folder, UNVERSIONED_FILE)?;
            Ok(reports.into_iter().map(Report::from).collect())
        })
        .map_err(|earlier| if matches!(error, LoadError::Missing) { earlier } else { error })
}

/// Replaces the stored reports. They survive a power loss.
///
/// # Errors
/// If they cannot be written.
pub fn write(folder: &Path, reports: Vec<Report>) -> io::Result<()> {
    checksummed_file::write(folder, FILE, &Content::V1(reports), Durability::PowerLoss)?;
    // An earlier build that is started again must not restore outdated reports.
    match std::fs::remove_file(folder.join(UNVERSIONED_FILE)) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Writes changes to disk for as long as the process lives.
pub async fn keep_writing(shared: Rc<Shared>, folder: PathBuf) {
    let mut quarantine = shared.quarantine.subscribe();
    let mut written = Revision::default();
    let mut has_failed = false;
    // `changed` fails only once `shared` is dropped.
    while quarantine.changed().await.is_ok() {
        let (news, all, revision) = {
            let known = quarantine.borrow_and_update();
            let suspects = |since| known.suspect_reports_since(since, boot_now());
            (suspects(written), suspects(Revision::default()), known.revision())
        };
        if news.is_empty() {
            continue;
        }
        let into = folder.clone();
        let ended = tokio::task::spawn_blocking(move || write(&into, all)).await;
        match ended.map_err(io::Error::other).and_then(|ended| ended) {
            Ok(()) => (written, has_failed) = (revision, false),
            Err(error) => {
                if !has_failed {
                    log::warn!("event=quarantine_write_failed reason={:?}", error.to_string());
                }
                has_failed = true;
                quarantine.mark_changed();
            }
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}
