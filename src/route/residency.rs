//! Estimates which prefix blocks are in one engine's cache, from cache events that may be late or
//! missing.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::ids::{BlockKey, Incarnation};
use crate::upstream::api::{CacheChange, CacheEvents};

/// Largest number of blocks tracked per engine; the least recently used are dropped first.
pub const MAX_TRACKED_BLOCKS: usize = 16_384;
/// Weight of the newest sample in the moving average.
const CONFIDENCE_SMOOTHING: f64 = 0.1;
/// Keeps engines with a poor record in use, so that their confidence can recover.
const MIN_CONFIDENCE: f64 = 0.2;
/// Deducted from the confidence for each missing event.
const GAP_PENALTY: f64 = 0.002;

/// Prefix blocks expected to be in one engine's cache.
#[derive(Clone, Debug)]
pub struct Residency {
    incarnation: Incarnation,
    last_event_seq: u64,
    /// Moving average of the fraction of expected tokens that were found in the cache, from 0 to 1.
    confidence: f64,
    capacity: usize,
    by_key: FxHashMap<BlockKey, u64>,
    /// Invariant: the inverse of `by_key`.
    by_last_use: BTreeMap<u64, BlockKey>,
    next_use: u64,
}

impl Default for Residency {
    fn default() -> Residency {
        Residency {
            incarnation: 0,
            last_event_seq: 0,
            confidence: 1.0,
            capacity: MAX_TRACKED_BLOCKS,
            by_key: FxHashMap::default(),
            by_last_use: BTreeMap::new(),
            next_use: 0,
        }
    }
}

impl Residency {
    /// Sequence number of the last applied event; the next read asks for later ones.
    pub fn last_event_seq(&self) -> u64 {
        self.last_event_seq
    }

    /// How reliable the expected prefixes are, from 0 to 1.
    pub fn confidence(&self) -> f64 {
        self.confidence
    }

    /// Sets the number of tracked blocks, at most `MAX_TRACKED_BLOCKS`.
    pub fn set_capacity(&mut self, blocks: usize) {
        self.capacity = blocks.min(MAX_TRACKED_BLOCKS);
        self.evict_beyond_capacity();
    }

    /// Number of tracked blocks.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no block is tracked.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Number of leading blocks of `keys` that are expected to be in the cache.
    pub fn resident_blocks(&self, keys: &[BlockKey]) -> usize {
        keys.iter().take_while(|key| self.by_key.contains_key(key)).count()
    }

    /// Applies cache events. Events that were already applied are skipped.
    pub fn apply_events(&mut self, read: &CacheEvents) {
        if read.incarnation != self.incarnation {
            // The engine restarted, so its cache is empty.
            let (incarnation, capacity) = (read.incarnation, self.capacity);
            *self = Residency { incarnation, capacity, ..Residency::default() };
        }
        for event in read.events.iter() {
            if event.seq <= self.last_event_seq {
                continue;
            }
            let missing = event.seq - self.last_event_seq - 1;
            self.confidence = (self.confidence - missing as f64 * GAP_PENALTY).max(MIN_CONFIDENCE);
            self.last_event_seq = event.seq;
            match event.change {
                CacheChange::Stored => self.insert(event.key),
                CacheChange::Evicted => self.remove(&event.key),
            }
        }
    }

    /// Records that a request with this prefix was sent to the engine, which will cache it.
    pub fn expect_resident(&mut self, keys: &[BlockKey]) {
        for key in keys.iter().rev() {
            self.insert(*key);
        }
    }

    /// Records how much of a prefix was found in the cache, compared with what was expected.
    pub fn record_result(&mut self, keys: &[BlockKey], expected: usize, found: usize) {
        if expected > 0 {
            let share = (found as f64 / expected as f64).min(1.0);
            self.confidence += CONFIDENCE_SMOOTHING * (share - self.confidence);
            self.confidence = self.confidence.clamp(MIN_CONFIDENCE, 1.0);
        }
        // The engine has cached the whole prompt by now.
        self.expect_resident(keys);
    }

    /// Drops a prefix whose request did not run on the engine.
    pub fn remove_prefix(&mut self, keys: &[BlockKey]) {
        for key in keys {
            self.remove(key);
        }
    }

    fn insert(&mut self, key: BlockKey) {
        self.next_use += 1;
        if let Some(last_use) = self.by_key.insert(key, self.next_use) {
            self.by_last_use.remove(&last_use);
        }
        self.by_last_use.insert(self.next_use, key);
        self.evict_beyond_capacity();
    }

    fn evict_beyond_capacity(&mut self) {
        while self.by_key.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            self.by_key.remove(&oldest);
        }
    }

    fn remove(&mut self, key: &BlockKey) {
        if let Some(last_use) = self.by_key.remove(key) {
            self.by_last_use.remove(&last_use);
        }
    }
}
