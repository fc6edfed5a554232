//! The prefix cache of an emulated engine. Evicts the least recently used blocks that no request in
//! the batch has pinned.

use std::collections::{BTreeMap, HashMap};

use crate::ids::BlockKey;
use crate::upstream::api::CacheChange;

/// An LRU cache of prefix blocks. Pinned blocks do not count against its capacity.
pub struct PrefixCache {
    capacity_blocks: usize,
    /// The tick of the last use of each block.
    by_key: HashMap<BlockKey, u64>,
    /// Invariant: the inverse of `by_key`. Ticks are unique.
    by_tick: BTreeMap<u64, BlockKey>,
    /// Number of requests in the batch that have pinned each block, resident or not.
    pin_counts: HashMap<BlockKey, u32>,
    next_tick: u64,
}

impl PrefixCache {
    pub fn new(capacity_blocks: usize) -> PrefixCache {
        PrefixCache {
            capacity_blocks,
            by_key: HashMap::new(),
            by_tick: BTreeMap::new(),
            pin_counts: HashMap::new(),
            next_tick: 0,
        }
    }

    /// Returns the number of leading blocks that are resident.
    pub fn resident_blocks(&self, keys: &[BlockKey]) -> usize {
        keys.iter().take_while(|key| self.by_key.contains_key(key)).count()
    }

    /// Inserts the blocks of a prefix or marks them as used. Returns the stored and evicted blocks.
    pub fn insert(&mut self, keys: &[BlockKey]) -> Vec<(CacheChange, BlockKey)> {
        let mut changes = Vec::new();
        // In reverse, so that a block is evicted before those that it depends on.
        for key in keys.iter().rev() {
            self.next_tick += 1;
            match self.by_key.insert(*key, self.next_tick) {
                Some(tick) => {
                    self.by_tick.remove(&tick);
                }
                None => changes.push((CacheChange::Stored, *key)),
            }
            self.by_tick.insert(self.next_tick, *key);
        }
        changes.extend(self.evict());
        changes
    }

    /// Prevents the eviction of blocks, including those that are inserted later.
    pub fn pin(&mut self, keys: &[BlockKey]) {
        for key in keys {
            *self.pin_counts.entry(*key).or_default() += 1;
        }
    }

    /// Reverts one call of `pin`. Returns the evicted blocks.
    pub fn unpin(&mut self, keys: &[BlockKey]) -> Vec<(CacheChange, BlockKey)> {
        for key in keys {
            if let Some(count) = self.pin_counts.get_mut(key) {
                *count -= 1;
                if *count == 0 {
                    self.pin_counts.remove(key);
                }
            }
        }
        self.evict()
    }

    fn evict(&mut self) -> Vec<(CacheChange, BlockKey)> {
        let pinned_blocks =
            self.pin_counts.keys().filter(|key| self.by_key.contains_key(key)).count();
        let excess = (self.by_key.len() - pinned_blocks).saturating_sub(self.capacity_blocks);
        let oldest: Vec<(u64, BlockKey)> = self
            .by_tick
            .iter()
            .filter(|(_, key)| !self.pin_counts.contains_key(key))
            .take(excess)
            .map(|(tick, key)| (*tick, *key))
            .collect();
        for (tick, key) in &oldest {
            self.by_tick.remove(tick);
            self.by_key.remove(key);
        }
        oldest.into_iter().map(|(_, key)| (CacheChange::Evicted, key)).collect()
    }

    /// Removes all blocks. Pins remain.
    pub fn clear(&mut self) {
        self.by_key.clear();
        self.by_tick.clear();
    }
}
