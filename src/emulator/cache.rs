//! A stand-in engine's prefix cache: least recently used blocks go first.

use std::collections::{BTreeMap, HashMap};

use crate::edge::api::CacheChange;
use crate::ids::BlockKey;

/// A bounded cache of prefix blocks.
pub struct PrefixCache {
    capacity_blocks: usize,
    by_key: HashMap<BlockKey, u64>,
    /// Invariant: the inverse of `by_key`; each tick is used once.
    by_tick: BTreeMap<u64, BlockKey>,
    next_tick: u64,
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(capacity_blocks: usize) -> PrefixCache {
        PrefixCache {
            capacity_blocks,
            by_key: HashMap::new(),
            by_tick: BTreeMap::new(),
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
        while self.by_key.len() > self.capacity_blocks {
            let Some((_, key)) = self.by_tick.pop_first() else { break };
            self.by_key.remove(&key);
            changes.push((CacheChange::Evicted, key));
        }
        changes
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.by_key.clear();
        self.by_tick.clear();
    }
}
