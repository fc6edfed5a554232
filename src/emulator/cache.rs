//! A stand-in engine's prefix cache: least recently used blocks go first, but none that a request
//! in the batch holds.

use std::collections::{BTreeMap, HashMap};

use crate::ids::BlockKey;
use crate::upstream::api::CacheChange;

/// A bounded cache of prefix blocks.
pub struct PrefixCache {
    capacity_blocks: usize,
    by_key: HashMap<BlockKey, u64>,
    /// Invariant: the inverse of `by_key`; each tick is used once.
    by_tick: BTreeMap<u64, BlockKey>,
    /// Requests in the batch that hold each block; they do not count against the capacity.
    held: HashMap<BlockKey, u32>,
    next_tick: u64,
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(capacity_blocks: usize) -> PrefixCache {
        PrefixCache {
            capacity_blocks,
            by_key: HashMap::new(),
            by_tick: BTreeMap::new(),
            held: HashMap::new(),
            next_tick: 0,
        }
    }

    /// Blocks of the prefix that are resident from its start.
    pub fn resident(&self, keys: &[BlockKey]) -> usize {
        keys.iter().take_while(|key| self.by_key.contains_key(key)).count()
    }

    /// Makes a prefix resident and marks it as used. Returns what came and what went.
    pub fn store(&mut self, keys: &[BlockKey]) -> Vec<(CacheChange, BlockKey)> {
        let mut changes = Vec::new();
        // From the end, so that the start of a prefix outlives what builds on it.
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

    /// Keeps a prefix from being evicted, whether it is resident yet or not.
    pub fn hold(&mut self, keys: &[BlockKey]) {
        for key in keys {
            *self.held.entry(*key).or_default() += 1;
        }
    }

    /// Ends a hold. Returns what went.
    pub fn release(&mut self, keys: &[BlockKey]) -> Vec<(CacheChange, BlockKey)> {
        for key in keys {
            if let Some(count) = self.held.get_mut(key) {
                *count -= 1;
                if *count == 0 {
                    self.held.remove(key);
                }
            }
        }
        self.evict()
    }

    fn evict(&mut self) -> Vec<(CacheChange, BlockKey)> {
        let held = self.held.keys().filter(|key| self.by_key.contains_key(key)).count();
        let excess = (self.by_key.len() - held).saturating_sub(self.capacity_blocks);
        let oldest: Vec<(u64, BlockKey)> = self
            .by_tick
            .iter()
            .filter(|(_, key)| !self.held.contains_key(key))
            .take(excess)
            .map(|(tick, key)| (*tick, *key))
            .collect();
        for (tick, key) in &oldest {
            self.by_tick.remove(tick);
            self.by_key.remove(key);
        }
        oldest.into_iter().map(|(_, key)| (CacheChange::Evicted, key)).collect()
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.by_key.clear();
        self.by_tick.clear();
    }
}
