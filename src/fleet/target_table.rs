//! Listed targets by id, with a digest that is kept up to date with each change.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::roster::{Listed, RosterChange};
use crate::ids::{TargetId, TargetStart};

/// Listed targets by id. Copies of a table share the targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetTable {
    by_id: Arc<BTreeMap<TargetId, Arc<Listed>>>,
    /// Invariant: the wrapping sum of the digests of all targets. A change of the table costs the
    /// targets that it concerns, however many others there are.
    digest: u64,
}

impl TargetTable {
    /// The digest of the table; 0 if it is empty.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The digest after a change.
    pub fn digest_after(&self, change: &RosterChange) -> u64 {
        let ids = change.changed.iter().map(|listed| &listed.start.id);
        let replaced: BTreeSet<&TargetId> = ids.filter(|id| self.by_id.contains_key(*id)).collect();
        let gone = change.gone.iter().filter(|start| !replaced.contains(&start.id));
        let removed = replaced.iter().filter_map(|id| self.get_by_id(id));
        let removed = removed.chain(gone.filter_map(|start| self.get(start)));
        let sum = |digest: u64, listed: &Arc<Listed>| digest.wrapping_add(digest_of(listed));
        let (removed, added) = (removed.fold(0, sum), change.changed.iter().fold(0, sum));
        self.digest.wrapping_sub(removed).wrapping_add(added)
    }

    /// Adds a target. Returns the target that was listed under its id.
    pub fn insert(&mut self, listed: Arc<Listed>) -> Option<Arc<Listed>> {
        self.digest = self.digest.wrapping_add(digest_of(&listed));
        let by_id = Arc::make_mut(&mut self.by_id);
        let replaced = by_id.insert(listed.start.id.clone(), listed);
        self.digest = self.digest.wrapping_sub(replaced.as_deref().map_or(0, digest_of));
        replaced
    }

    /// Removes a target unless another start is listed under its id.
    pub fn remove(&mut self, start: &TargetStart) -> Option<Arc<Listed>> {
        self.get(start)?;
        let removed = Arc::make_mut(&mut self.by_id).remove(&start.id)?;
        self.digest = self.digest.wrapping_sub(digest_of(&removed));
        Some(removed)
    }

    /// Changes a target in place.
    pub fn update(&mut self, id: &str, change: impl FnOnce(&mut Listed)) {
        let Some(listed) = Arc::make_mut(&mut self.by_id).get_mut(id) else { return };
        self.digest = self.digest.wrapping_sub(digest_of(listed));
        change(Arc::make_mut(listed));
        self.digest = self.digest.wrapping_add(digest_of(listed));
    }

    /// The target listed under an id, whichever its start.
    pub fn get_by_id(&self, id: &str) -> Option<&Arc<Listed>> {
        self.by_id.get(id)
    }

    pub fn get(&self, start: &TargetStart) -> Option<&Arc<Listed>> {
        self.by_id.get(&start.id).filter(|listed| listed.start == *start)
    }

    /// All targets in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Listed>> {
        self.by_id.values()
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The difference from this table to a later one.
    pub fn change_to(&self, later: &TargetTable) -> RosterChange {
        let mut change = RosterChange::default();
        if Arc::ptr_eq(&self.by_id, &later.by_id) {
            return change;
        }
        let mut before = self.iter().peekable();
        for listed in later.iter() {
            let id = &listed.start.id;
            while let Some(gone) = before.next_if(|known| known.start.id < *id) {
                change.gone.push(gone.start.clone());
            }
            match before.next_if(|known| known.start.id == *id) {
                // Most targets are shared and need no comparison.
                Some(known) if Arc::ptr_eq(known, listed) || known == listed => {}
                Some(known) if known.start == listed.start => change.changed.push(listed.clone()),
                Some(known) => {
                    change.gone.push(known.start.clone());
                    change.changed.push(listed.clone());
                }
                None => change.changed.push(listed.clone()),
            }
        }
        change.gone.extend(before.map(|known| known.start.clone()));
        change
    }
}

fn digest_of(listed: &Listed) -> u64 {
    // Can't fail: all field types are serializable.
    let bytes = postcard::to_stdvec(listed).unwrap_or_default();
    let [a, b, c, d, e, f, g, h, ..] = *blake3::hash(&bytes).as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
