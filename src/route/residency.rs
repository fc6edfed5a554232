//! What is known of the prefixes in one engine's cache, from late and gapped events.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use crate::ids::{BlockKey, Incarnation};
use crate::upstream::api::{CacheChange, CacheEvents};

/// Blocks remembered for one engine, at the most; the longest unused go first.
pub const MOST_BLOCKS: usize = 16_384;
/// Weight of the newest proof in the trust.
const TRUST_STEP: f64 = 0.1;
/// Trust never falls below this, so that it can recover.
const LEAST_TRUST: f64 = 0.2;
/// What a gap in the events takes off the trust, for each missing event, at the most.
const GAP_PENALTY: f64 = 0.002;

/// Prefix blocks believed to be resident in one engine.
#[derive(Clone, Debug)]
pub struct Residency {
    incarnation: Incarnation,
    last_event: u64,
    /// Share of believed tokens that proved to be resident, of 1.
    trust: f64,
    capacity: usize,
    by_key: FxHashMap<BlockKey, u64>,
    /// Invariant: the inverse of `by_key`.
    by_use: BTreeMap<u64, BlockKey>,
    next_use: u64,
}

impl Default for Residency {
    fn default() -> Residency {
        Residency {
            incarnation: 0,
            last_event: 0,
            trust: 1.0,
            capacity: MOST_BLOCKS,
            by_key: FxHashMap::default(),
            by_use: BTreeMap::new(),
            next_use: 0,
        }
    }
}

impl Residency {
    /// Number of the last event taken; the next read asks for later ones.
    pub fn last_event(&self) -> u64 {
        self.last_event
    }

    /// How far a believed prefix can be relied on, of 1.
    pub fn trust(&self) -> f64 {
        self.trust
    }

    /// Changes how many blocks are remembered.
    pub fn set_capacity(&mut self, blocks: usize) {
        self.capacity = blocks.min(MOST_BLOCKS);
        self.forget_beyond_capacity();
    }

    /// Number of blocks remembered.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Blocks of the prefix believed to be resident from its start.
    pub fn resident(&self, keys: &[BlockKey]) -> usize {
        keys.iter().take_while(|key| self.by_key.contains_key(key)).count()
    }

    /// Takes events that were read.
    pub fn take(&mut self, read: &CacheEvents) {
        if read.incarnation != self.incarnation {
            // It started again with an empty cache.
            let (incarnation, capacity) = (read.incarnation, self.capacity);
            *self = Residency { incarnation, capacity, ..Residency::default() };
        }
        for event in read.events.iter() {
            if event.seq <= self.last_event {
                continue;
            }
            let missing = event.seq - self.last_event - 1;
            self.trust = (self.trust - missing as f64 * GAP_PENALTY).max(LEAST_TRUST);
            self.last_event = event.seq;
            match event.change {
                CacheChange::Stored => self.insert(event.key),
                CacheChange::Evicted => self.remove(&event.key),
            }
        }
    }

    /// Records that a request with this prefix was sent there: it will be resident soon.
    pub fn expect(&mut self, keys: &[BlockKey]) {
        for key in keys.iter().rev() {
            self.insert(*key);
        }
    }

    /// Records how much of a believed prefix proved to be resident.
    pub fn proved(&mut self, keys: &[BlockKey], believed: usize, found: usize) {
        if believed > 0 {
            let share = (found as f64 / believed as f64).min(1.0);
            self.trust += TRUST_STEP * (share - self.trust);
            self.trust = self.trust.clamp(LEAST_TRUST, 1.0);
        }
        // The whole prompt is resident now, whatever was before.
        self.expect(keys);
    }

    /// Records that a request did not run there after all.
    pub fn withdraw(&mut self, keys: &[BlockKey]) {
        for key in keys {
            self.remove(key);
        }
    }

    fn insert(&mut self, key: BlockKey) {
        self.next_use += 1;
        if let Some(used) = self.by_key.insert(key, self.next_use) {
            self.by_use.remove(&used);
        }
        self.by_use.insert(self.next_use, key);
        self.forget_beyond_capacity();
    }

    fn forget_beyond_capacity(&mut self) {
        while self.by_key.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.by_key.remove(&oldest);
        }
    }

    fn remove(&mut self, key: &BlockKey) {
        if let Some(used) = self.by_key.remove(key) {
            self.by_use.remove(&used);
        }
    }
}
