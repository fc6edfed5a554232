//! Expected contents of an engine's KV cache. Parts of running prompts are pinned; idle parts are
//! evicted in least recently used order.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

/// Cache key of a part: a hash of its salt and id.
pub type PartKey = u64;

/// KV cache of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineCache {
    capacity_tokens: u64,
    parts: FxHashMap<PartKey, Resident>,
    /// Unpinned parts by last use. Invariant: exactly the parts with no users.
    idle: BTreeMap<u64, PartKey>,
    /// Tokens of all parts.
    used_tokens: u64,
    /// Tokens of parts that running prompts use.
    in_use_tokens: u64,
    use_sequence: u64,
    /// Parts that were added or removed since `take_changes`.
    changed: Vec<PartKey>,
}

#[derive(Clone, Copy, Debug)]
struct Resident {
    tokens: u64,
    users: u32,
    last_use: u64,
    /// Whether the engine has computed or fetched the part; before that, its space is only
    /// reserved.
    is_computed: bool,
}

impl EngineCache {
    pub fn new(capacity_tokens: u64) -> EngineCache {
        EngineCache { capacity_tokens, ..EngineCache::default() }
    }

    /// Whether a part is resident or reserved.
    pub fn contains(&self, key: PartKey) -> bool {
        self.parts.contains_key(&key)
    }

    /// Whether a part is completely resident, so that other engines can fetch it.
    pub fn is_computed(&self, key: PartKey) -> bool {
        self.parts.get(&key).is_some_and(|part| part.is_computed)
    }

    /// Marks a resident part as computed.
    pub fn mark_computed(&mut self, key: PartKey) {
        if let Some(part) = self.parts.get_mut(&key) {
            part.is_computed = true;
        }
    }

    /// Whether a running prompt uses a part.
    pub fn is_in_use(&self, key: PartKey) -> bool {
        self.parts.get(&key).is_some_and(|part| part.users > 0)
    }

    pub fn in_use_tokens(&self) -> u64 {
        self.in_use_tokens
    }

    /// Pins a part for a running prompt, adding it if needed.
    pub fn acquire(&mut self, key: PartKey, tokens: u64) {
        self.use_sequence += 1;
        let part = self.parts.entry(key).or_insert_with(|| {
            self.used_tokens += tokens;
            self.changed.push(key);
            Resident { tokens, users: 0, last_use: 0, is_computed: false }
        });
        if part.users == 0 {
            self.in_use_tokens += part.tokens;
            self.idle.remove(&part.last_use);
        }
        part.users += 1;
        part.last_use = self.use_sequence;
        self.evict();
    }

    /// Unpins a part of a running prompt.
    pub fn release(&mut self, key: PartKey) {
        let Some(part) = self.parts.get_mut(&key).filter(|part| part.users > 0) else { return };
        part.users -= 1;
        if part.users == 0 {
            self.use_sequence += 1;
            part.last_use = self.use_sequence;
            self.in_use_tokens -= part.tokens;
            self.idle.insert(self.use_sequence, key);
        }
    }

    /// Adds a computed part that no prompt uses, as reported by the engine.
    pub fn insert_idle(&mut self, key: PartKey, tokens: u64) {
        if !self.contains(key) {
            self.acquire(key, tokens);
            self.mark_computed(key);
            self.release(key);
        }
    }

    /// Removes a part that was not computed after all. A part with other users stays: they compute
    /// it themselves, and their uses must stay balanced.
    pub fn discard(&mut self, key: PartKey) {
        if self.parts.get(&key).is_none_or(|part| part.users > 0) {
            return;
        }
        if let Some(part) = self.parts.remove(&key) {
            self.used_tokens -= part.tokens;
            self.idle.remove(&part.last_use);
            self.changed.push(key);
        }
    }

    pub fn clear(&mut self) {
        let mut changed = std::mem::take(&mut self.changed);
        changed.extend(self.parts.keys());
        *self = EngineCache { changed, ..EngineCache::new(self.capacity_tokens) };
    }

    /// Parts that were added or removed since the last call, with whether they are present now.
    pub fn take_changes(&mut self) -> Vec<(PartKey, bool)> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().map(|key| (key, self.contains(key))).collect()
    }

    fn evict(&mut self) {
        while self.used_tokens > self.capacity_tokens {
            let Some((_, key)) = self.idle.pop_first() else { return };
            if let Some(part) = self.parts.remove(&key) {
                self.changed.push(key);
                self.used_tokens -= part.tokens;
            }
        }
    }
}
