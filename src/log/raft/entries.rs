//! The log in memory: a snapshot and the entries after it.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::log::types::{Entry, Index, Members, Payload, Snapshot, Term};

/// Payload bytes after which no further entry is added to a message.
const BATCH_BYTES: usize = 1 << 20;

/// A snapshot and the entries after it.
///
/// Invariant: the entries' indexes are consecutive and start at the snapshot's index + 1.
#[derive(Clone, Debug)]
pub(super) struct Entries {
    snapshot: Option<Snapshot>,
    entries: VecDeque<Entry>,
    /// The set of replicas if there is neither a snapshot nor a `Members` entry.
    initial_members: Members,
}

impl Entries {
    pub(super) fn new(
        snapshot: Option<Snapshot>,
        entries: Vec<Entry>,
        initial_members: Members,
    ) -> Entries {
        Entries { snapshot, entries: entries.into(), initial_members }
    }

    pub(super) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(super) fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(super) fn last_index(&self) -> Index {
        self.snapshot_index() + self.entries.len() as Index
    }

    /// Term and index of the last entry. Of two logs, the one with the greater pair is more up to date.
    pub(super) fn last(&self) -> (Term, Index) {
        let index = self.last_index();
        (self.term_at(index).unwrap_or(0), index)
    }

    /// The term of the entry at an index; `None` if the index is before the snapshot or after the last entry.
    pub(super) fn term_at(&self, index: Index) -> Option<Term> {
        let first = self.snapshot_index();
        if index == first {
            return Some(self.snapshot.as_ref().map_or(0, |snapshot| snapshot.term));
        }
        self.entries.get(index.checked_sub(first + 1)? as usize).map(|entry| entry.term)
    }

    pub(super) fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    pub(super) fn truncate_from(&mut self, index: Index) {
        let kept = index.saturating_sub(self.snapshot_index() + 1);
        self.entries.truncate(kept as usize);
    }

    pub(super) fn range(&self, from: Index, to: Index) -> Vec<Entry> {
        let skipped = from.saturating_sub(self.snapshot_index() + 1) as usize;
        let count = (to + 1).saturating_sub(from) as usize;
        self.entries.iter().skip(skipped).take(count).cloned().collect()
    }

    /// The entries to send in one message, from an index on.
    pub(super) fn batch(&self, from: Index) -> Vec<Entry> {
        let skipped = from.saturating_sub(self.snapshot_index() + 1) as usize;
        let mut bytes = 0;
        self.entries
            .iter()
            .skip(skipped)
            .take_while(|entry| {
                let fits = bytes < BATCH_BYTES;
                bytes += payload_bytes(entry);
                fits
            })
            .cloned()
            .collect()
    }

    /// Payload bytes of the entries from one index to another, both included, that follow the snapshot.
    pub(super) fn bytes_between(&self, from: Index, to: Index) -> usize {
        let first = self.snapshot_index() + 1;
        let begin = (from.saturating_sub(first) as usize).min(self.entries.len());
        let end = ((to + 1).saturating_sub(first) as usize).clamp(begin, self.entries.len());
        self.entries.range(begin..end).map(payload_bytes).sum()
    }

    /// The last index before `index` with a different term: the follower's hint to a leader whose entry at `index`
    /// has another term.
    pub(super) fn last_index_before_term_of(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut hint = index;
        while hint > self.snapshot_index() && self.term_at(hint) == term {
            hint -= 1;
        }
        hint
    }

    /// The set of replicas according to the last `Members` entry.
    pub(super) fn members(&self) -> Members {
        let changed = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        changed.unwrap_or_else(|| self.members_before_entries())
    }

    /// The index of the last `Members` entry; 0 if there is none after the snapshot.
    pub(super) fn members_index(&self) -> Index {
        let changes = |entry: &&Entry| matches!(entry.payload, Payload::Members(_));
        self.entries.iter().rev().find(changes).map_or(0, |entry| entry.index)
    }

    /// Replaces the entries up to `index` by a snapshot with `data`; `None` if there is no entry at `index`.
    pub(super) fn compact(&mut self, index: Index, data: Vec<u8>) -> Option<&Snapshot> {
        let term = self.term_at(index)?;
        let dropped = (index - self.snapshot_index()) as usize;
        let mut members = self.members_before_entries();
        for entry in self.entries.drain(..dropped) {
            if let Payload::Members(changed) = entry.payload {
                members = changed;
            }
        }
        self.snapshot = Some(Snapshot { index, term, members, data: Arc::new(data) });
        self.snapshot.as_ref()
    }

    /// Installs a leader's snapshot. Later entries are kept only if the log matches the snapshot at its index.
    pub(super) fn install(&mut self, snapshot: Snapshot) {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            let dropped = snapshot.index - self.snapshot_index();
            self.entries.drain(..dropped as usize);
        } else {
            self.entries.clear();
        }
        self.snapshot = Some(snapshot);
    }

    fn members_before_entries(&self) -> Members {
        self.snapshot.as_ref().map_or(&self.initial_members, |snapshot| &snapshot.members).clone()
    }
}

/// The approximate size of an entry in a message.
fn payload_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(command) => command.len(),
        Payload::Noop | Payload::Members(_) => 64,
    }
}
