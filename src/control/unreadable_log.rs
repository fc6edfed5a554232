//! Tells of entries of the platform's list that can't be read.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::BootTime;
use crate::fleet::{Listing, UnreadableEntry};

/// A line is written no more often than this, whatever other writers do.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Entries that one line names.
const MAX_LOGGED_ENTRIES: usize = 5;

/// Writes a line when the entries that can't be read are others than before.
#[derive(Debug, Default)]
pub struct UnreadableEntryLog {
    logged_entries: BTreeSet<UnreadableEntry>,
    logged_at: Option<BootTime>,
}

impl UnreadableEntryLog {
    /// Takes a list that was read. Returns whether a line was written.
    pub fn log_if_changed(&mut self, listing: &Listing, now: BootTime) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if *listing.unreadable() == self.logged_entries || !is_due {
            return false;
        }
        self.logged_entries.clone_from(listing.unreadable());
        self.logged_at = Some(now);
        let count = listing.unreadable_count();
        let first: Vec<&UnreadableEntry> =
            self.logged_entries.iter().take(MAX_LOGGED_ENTRIES).collect();
        log::warn!("event=target_entries_unreadable count={count} first={first:?}");
        true
    }
}
