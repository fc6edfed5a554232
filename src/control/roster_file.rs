//! The list of targets on a replica's disk: reading it anew takes a second where it has many pages, and
//! entries that start wait for it.
//!
//! The list is soft state: it is written without a sync, at most once a second, and what can't be read is
//! as if nothing was kept. Targets that have left meanwhile answer as another start, or not at all, until
//! the leader has read the list.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use super::checksummed_file::{self, Durability};
use super::frames::VersionedRoster;
use super::shared::Shared;

const FILE: &str = "targets";
/// Between writes: lists change with each read while targets come and go.
const WRITE_EVERY: Duration = Duration::from_secs(1);

/// The list that was kept; the default if there is none that can be read.
pub fn load(folder: &Path) -> VersionedRoster {
    match checksummed_file::load::<VersionedRoster>(folder, FILE) {
        // Kept before the first read: entries must not take that for the list.
        Ok(list) if list.roster.is_empty() => VersionedRoster::default(),
        Ok(list) => {
            log::info!("event=targets_restored number={} count={}", list.number, list.roster.len());
            list
        }
        Err(reason) => {
            log::info!("event=targets_not_restored reason={reason:?}");
            VersionedRoster::default()
        }
    }
}

/// Keeps the list on disk for as long as the process lives.
pub async fn keep_writing(shared: Rc<Shared>, folder: PathBuf) {
    let mut roster = shared.roster.subscribe();
    let mut has_failed = false;
    // The sender lives as long as `shared`.
    while roster.changed().await.is_ok() {
        let list = roster.borrow_and_update().clone();
        let into = folder.clone();
        let write = move || checksummed_file::write(&into, FILE, &list, Durability::ProcessCrash);
        let written = tokio::task::spawn_blocking(write).await;
        let failure = written.map_err(io::Error::other).and_then(|written| written).err();
        if let Some(error) = &failure
            && !has_failed
        {
            log::warn!("event=targets_write_failed reason={:?}", error.to_string());
        }
        has_failed = failure.is_some();
        tokio::time::sleep(WRITE_EVERY).await;
    }
}
