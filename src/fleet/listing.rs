//! One complete read of the platform's target list, assembled from its pages.

use std::collections::BTreeSet;
use std::fmt;

use super::roster::Listed;
use crate::ids::TargetId;

/// Most unreadable entries that are kept for reports.
const MAX_REPORTED: usize = 64;

/// An entry of the list that describes no usable target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreadableEntry {
    /// Its id, if that is readable.
    pub id: Option<TargetId>,
    pub flaw: EntryError,
}

/// Why an entry can't be used.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryError {
    /// It is not valid UTF-8.
    NotText,
    /// A field is missing, has the wrong type or an unknown value, or the entry as a whole is
    /// malformed.
    Field(String),
    /// Its id can't be sent in a header, so another target at its address could not detect a
    /// misdirected request.
    Id,
    /// Its address is not connectable.
    Address,
    /// It has no birth time, although other entries of the list do.
    NoBirth,
}

impl fmt::Display for UnreadableEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.id.as_deref().unwrap_or("-"))?;
        match &self.flaw {
            EntryError::NotText => f.write_str("no text"),
            EntryError::Field(reason) => f.write_str(reason),
            EntryError::Id => f.write_str("unusable id"),
            EntryError::Address => f.write_str("unusable address"),
            EntryError::NoBirth => f.write_str("no birth"),
        }
    }
}

/// The entries of one complete list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    targets: Vec<Listed>,
    unreadable: BTreeSet<UnreadableEntry>,
    unreadable_count: usize,
}

/// The list has entries, but none is readable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("none of the {entries} entries is readable"))]
pub struct NoReadableEntry {
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

    /// Completes the list after its last page.
    ///
    /// # Errors
    /// If there are entries but none is readable: most likely the writer's format changed, not the
    /// fleet.
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

    /// The listed targets; one target may occur more than once.
    pub fn into_targets(self) -> Vec<Listed> {
        self.targets
    }

    /// The first unreadable entries.
    pub fn unreadable(&self) -> &BTreeSet<UnreadableEntry> {
        &self.unreadable
    }

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
