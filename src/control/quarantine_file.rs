//! Keeps the quarantine on a replica's disk. After a power loss on all hosts no other copy is left,
//! and each request in it could crash targets again.
//!
//! Ages resume from the time of writing, so time without power lengthens a quarantine.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use super::checksummed_file::{self, Durability};
use super::shared::Shared;
use crate::clock::boot_now;
use crate::quarantine::{Quarantine, Report, Revision};

const FILE: &str = "quarantine";
/// Shortest time between writes. Several targets tend to end at about the same time.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Reads the quarantine; empty if the file is missing or damaged.
pub fn load(folder: &Path) -> Quarantine {
    let mut quarantine = Quarantine::default();
    match checksummed_file::load::<Vec<Report>>(folder, FILE) {
        Ok(reports) => {
            log::info!("event=quarantine_restored requests={}", reports.len());
            // The result only tells whether anything was new.
            let _ = quarantine.merge_reports(reports, boot_now());
        }
        Err(reason) => log::info!("event=quarantine_not_restored reason={reason:?}"),
    }
    quarantine
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
        let write = move || checksummed_file::write(&into, FILE, &all, Durability::PowerLoss);
        let ended = tokio::task::spawn_blocking(write).await;
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
