//! Keeps the settled software versions on a replica's disk. After a power loss on all hosts, no process is left that
//! knows for how long a service has had one version, and streams of which nobody was told would be refused.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use super::checksummed_file::{self, Durability};
use super::shared::Shared;
use super::stream_directory::StreamDirectory;
use crate::clock::boot_now;
use crate::fleet::software::SettledVersions;

const FILE: &str = "software-versions";
/// How often to check whether services have settled, which no change of the list shows.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Creates the directory of a replica that starts, with the versions that it has kept.
pub fn load(folder: &Path, is_first_start: bool) -> StreamDirectory {
    let now = boot_now();
    match checksummed_file::load::<SettledVersions>(folder, FILE) {
        Ok(settled) => StreamDirectory::restored(settled, now),
        Err(error) if error.is_expected(is_first_start) => StreamDirectory::new(true, now),
        Err(error) => {
            log::info!("event=software_versions_not_restored reason={:?}", error.to_string());
            StreamDirectory::new(false, now)
        }
    }
}

/// Writes changes to disk for as long as the process lives. They survive a power loss.
pub async fn keep_writing(shared: Rc<Shared>, folder: PathBuf) {
    let mut roster = shared.roster.subscribe();
    let mut written = SettledVersions::default();
    let mut has_failed = false;
    loop {
        // A timeout is as good as a change, and `changed` fails only once `shared` is dropped.
        let _ = tokio::time::timeout(POLL_INTERVAL, roster.changed()).await;
        let settled = shared.stream_directory.settled(boot_now());
        if settled == written {
            continue;
        }
        let (into, content) = (folder.clone(), settled.clone());
        let write = move || checksummed_file::write(&into, FILE, &content, Durability::PowerLoss);
        let ended = tokio::task::spawn_blocking(write).await;
        match ended.map_err(io::Error::other).and_then(|ended| ended) {
            Ok(()) => (written, has_failed) = (settled, false),
            Err(error) => {
                if !has_failed {
                    log::warn!(
                        "event=software_versions_not_written reason={:?}",
                        error.to_string()
                    );
                }
                has_failed = true;
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}
