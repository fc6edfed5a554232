//! Keeps the roster on a replica's disk. Reading a target list of many pages takes about 1 s, and
//! entries that start wait for a roster.
//!
//! The roster is soft state. It is written without a sync, and a damaged file is ignored. A target
//! that has left since the write no longer answers, or answers as another start, until the leader
//! has read the list.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use super::checksummed_file::{self, Durability};
use super::frames::VersionedRoster;
use super::shared::Shared;

const FILE: &str = "targets";
/// Shortest time between writes. The roster may change with each read.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the roster; the default if the file is missing or damaged.
pub fn load(folder: &Path, is_first_start: bool) -> VersionedRoster {
    match checksummed_file::load::<VersionedRoster>(folder, FILE) {
        // Written before the first read of the target list. Entries must not take it for an empty
        // fleet.
        Ok(list) if list.roster.is_empty() => VersionedRoster::default(),
        Ok(list) => {
            log::info!("event=targets_restored number={} count={}", list.number, list.roster.len());
            list
        }
        Err(error) => {
            if !error.is_expected(is_first_start) {
                log::info!("event=targets_not_restored reason={:?}", error.to_string());
            }
            VersionedRoster::default()
        }
    }
}

/// Writes changes to disk for as long as the process lives.
pub async fn keep_writing(shared: Rc<Shared>, folder: PathBuf) {
    let mut roster = shared.roster.subscribe();
    let mut has_failed = false;
    // `changed` fails only once `shared` is dropped.
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
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}
