//! The targets of a service on a hash ring. A request starts at the point of its key and examines
//! the targets that follow, so that its cost doesn't depend on the size of the service.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::ops::Bound;
use std::sync::Arc;

use rustc_hash::FxBuildHasher;

use super::roster::Listed;
use crate::ids::{TargetId, TargetStart};

/// Position on the ring. Targets whose ids have the same hash are ordered by their starts.
type Point = (u64, TargetStart);

/// Targets in the order of the hashes of their ids.
#[derive(Clone, Debug, Default)]
pub struct TargetRing {
    by_point: BTreeMap<Point, Arc<Listed>>,
}

impl TargetRing {
    pub fn insert(&mut self, listed: Arc<Listed>) {
        self.by_point.insert(point(&listed.start), listed);
    }

    pub fn remove(&mut self, start: &TargetStart) {
        self.by_point.remove(&point(start));
    }

    pub fn contains(&self, start: &TargetStart) -> bool {
        self.by_point.contains_key(&point(start))
    }

    pub fn len(&self) -> usize {
        self.by_point.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_point.is_empty()
    }

    /// All targets, in ring order from the point of a key on.
    pub fn iter_from(&self, key: u64) -> impl Iterator<Item = &Arc<Listed>> {
        let from = (key, TargetStart::default());
        let after = self.by_point.range((Bound::Included(&from), Bound::Unbounded));
        let before = self.by_point.range((Bound::Unbounded, Bound::Excluded(&from)));
        after.chain(before).map(|(_, listed)| listed)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Arc<Listed>> {
        self.by_point.values()
    }
}

/// Hash of a target's id. All entries compute the same.
pub fn target_hash(id: &TargetId) -> u64 {
    mix(FxBuildHasher.hash_one(id))
}

/// Spreads a hash over all bits with the MurmurHash3 finalizer.
pub fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

fn point(start: &TargetStart) -> Point {
    (target_hash(&start.id), start.clone())
}
