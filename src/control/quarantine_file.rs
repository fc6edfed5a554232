//! Requests under which targets have ended, on a replica's disk: after a loss of power at all hosts nobody
//! else knows them, and each would end targets once more until it is known again.
//!
//! Ages count on from when they were written: what a host without power misses lengthens a hold.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use super::checksummed_file::{self, Durability};
use super::shared::Shared;
use crate::clock::boot_now;
use crate::quarantine::{Quarantine, Report, Revision};

const FILE: &str = "quarantine";
/// Between writes: ends of several targets come together.
const WRITE_EVERY: Duration = Duration::from_millis(250);

/// What was kept; nothing if nothing was that can be read.
pub fn load(folder: &Path) -> Quarantine {
    let mut quarantine = Quarantine::default();
    match checksummed_file::load::<Vec<Report>>(folder, FILE) {
        Ok(reports) => {
            log::info!("event=quarantine_restored requests={}", reports.len());
            // All of it is news.
            let _ = quarantine.observe(reports, boot_now());
        }
        Err(reason) => log::info!("event=quarantine_not_restored reason={reason:?}"),
    }
    quarantine
}

/// Keeps it on disk for as long as the process lives.
pub async fn keep_writing(shared: Rc<Shared>, folder: PathBuf) {
    let mut quarantine = shared.quarantine.subscribe();
    let mut written = Revision::default();
    let mut has_failed = false;
    // The sender lives as long as `shared`.
    while quarantine.changed().await.is_ok() {
        let (news, all, revision) = {
            let known = quarantine.borrow_and_update();
            let suspects = |since| known.suspects_since(since, boot_now());
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
        tokio::time::sleep(WRITE_EVERY).await;
    }
}
