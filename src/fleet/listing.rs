//! One read of the platform's list, put together from its pages.

use std::collections::BTreeSet;

use super::roster::Listed;
use crate::ids::TargetId;

/// Entries that can't be read and are kept to be told of.
const MAX_REPORTED: usize = 64;

/// An entry of the list that names no target to use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreadableEntry {
    /// The id that it gives, as far as it can be read.
    pub id: Option<TargetId>,
    /// What is wrong with it.
    pub flaw: EntryError,
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryError {
    /// It holds bytes that are no text.
    NotText,
    /// A field is missing, of another type, or names something unknown; or it is no entry at all.
    Field(String),
    /// Its id can't be sent to the target, so that another one at the address would not refuse.
    Id,
    /// No connection can be opened to its address.
    Address,
    /// Other entries tell births, this one tells none.
    NoBirth,
}

/// The entries of one whole list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    targets: Vec<Listed>,
    unreadable: BTreeSet<UnreadableEntry>,
    unreadable_count: usize,
}

/// A list that has entries, none of which can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("none of the {entries} entries can be read"))]
pub struct NoReadableEntry {
    /// How many there are.
    pub entries: usize,
}

impl Listing {
    /// Adds an entry of a page.
    pub fn add(&mut self, entry: Result<Listed, UnreadableEntry>) {
        match entry {
            Ok(target) => self.targets.push(target),
            Err(unreadable) => self.add_unreadable(unreadable),
        }
    }

    /// Ends the read: no page is left.
    ///
    /// # Errors
    /// If there are entries but none that can be read: the writer changed, not the fleet.
    pub fn finish(mut self) -> Result<Listing, NoReadableEntry> {
        if self.targets.iter().any(|target| target.start.born_ms.is_some()) {
            let without_birth =
                self.targets.extract_if(.., |target| target.start.born_ms.is_none());
            let without_birth: Vec<Listed> = without_birth.collect();
            for target in without_birth {
                let id = Some(target.start.id);
                self.add_unreadable(UnreadableEntry { id, flaw: EntryError::NoBirth });
            }
        }
        if self.targets.is_empty() && self.unreadable_count > 0 {
            return Err(NoReadableEntry { entries: self.unreadable_count });
        }
        Ok(self)
    }

    /// The targets that are listed, some perhaps more than once.
    pub fn into_targets(self) -> Vec<Listed> {
        self.targets
    }

    /// Entries that name no target to use: the first ones.
    pub fn unreadable(&self) -> &BTreeSet<UnreadableEntry> {
        &self.unreadable
    }

    /// How many entries name no target to use.
    pub fn unreadable_count(&self) -> usize {
        self.unreadable_count
    }

    fn add_unreadable(&mut self, entry: UnreadableEntry) {
        self.unreadable_count += 1;
        if self.unreadable.len() < MAX_REPORTED {
            self.unreadable.insert(entry);
        }
    }
}
