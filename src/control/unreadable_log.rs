//! Logs entries of the target list that cannot be parsed.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::BootTime;
use crate::fleet::{Listing, UnreadableEntry};

/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of entries in a log line.
const MAX_LOGGED_ENTRIES: usize = 5;

/// Logs the unreadable entries when they change.
#[derive(Debug, Default)]
pub struct UnreadableEntryLog {
    logged_entries: BTreeSet<UnreadableEntry>,
    logged_at: Option<BootTime>,
}

impl UnreadableEntryLog {
    /// Logs the unreadable entries of a list that was read, if they differ from those logged last.
    /// Returns whether a line was logged.
    pub fn log_if_changed(&mut self, listing: &Listing, now: BootTime) -> bool {
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if *listing.unreadable() == self.logged_entries || !is_due {
            return false;
        }
        self.logged_entries.clone_from(listing.unreadable());
        self.logged_at = Some(now);
        let count = listing.unreadable_count();
        let first: Vec<String> = self
            .logged_entries
            .iter()
            .take(MAX_LOGGED_ENTRIES)
            .map(UnreadableEntry::to_string)
            .collect();
        log::warn!("event=target_entries_unreadable count={count} first={:?}", first.join("; "));
        true
    }
}
