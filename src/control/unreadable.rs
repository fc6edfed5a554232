//! Tells of entries of the platform's list that can't be read.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::clock::BootTime;
use crate::fleet::{Listing, UnreadableEntry};

/// A line is written no more often than this, whatever other writers do.
const LINE_EVERY: Duration = Duration::from_secs(5);
/// Entries that one line names.
const NAMED: usize = 5;

/// Writes a line when the entries that can't be read are others than before.
#[derive(Debug, Default)]
pub struct UnreadableLines {
    told: BTreeSet<UnreadableEntry>,
    told_at: Option<BootTime>,
}

impl UnreadableLines {
    /// Takes a list that was read. Returns whether a line was written.
    pub fn note(&mut self, listing: &Listing, now: BootTime) -> bool {
        let is_due = self.told_at.is_none_or(|at| now >= at + LINE_EVERY);
        if *listing.unreadable() == self.told || !is_due {
            return false;
        }
        self.told.clone_from(listing.unreadable());
        self.told_at = Some(now);
        let count = listing.unreadable_count();
        let first: Vec<&UnreadableEntry> = self.told.iter().take(NAMED).collect();
        log::warn!("event=target_entries_unreadable count={count} first={first:?}");
        true
    }
}
