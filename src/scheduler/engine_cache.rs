//! What is probably resident in one engine's memory: parts of running prompts, and parts of earlier
//! ones until the room is needed, the least recently used_tokens first.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

/// Names a part within the cache of those who share it.
pub type PartKey = u64;

/// EngineCache of one engine, in tokens.
#[derive(Clone, Debug, Default)]
pub struct EngineCache {
    capacity_tokens: u64,
    parts: FxHashMap<PartKey, Resident>,
    /// Parts that nobody uses, by their last use. Invariant: exactly those with no users.
    idle: BTreeMap<u64, PartKey>,
    /// Of all parts.
    used_tokens: u64,
    /// Of parts that running prompts use.
    in_use_tokens: u64,
    use_sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct Resident {
    tokens: u64,
    users: u32,
    last_use: u64,
    /// Whether the engine has read or fetched it; it is reserved for a running prompt before that.
    is_computed: bool,
}

impl EngineCache {
    /// Empty memory.
    pub fn new(capacity_tokens: u64) -> EngineCache {
        EngineCache { capacity_tokens, ..EngineCache::default() }
    }

    /// Whether a part is resident.
    pub fn contains(&self, key: PartKey) -> bool {
        self.parts.contains_key(&key)
    }

    /// Whether a part is resident as a whole, so that other engines can fetch it.
    pub fn is_computed(&self, key: PartKey) -> bool {
        self.parts.get(&key).is_some_and(|part| part.is_computed)
    }

    /// A part that is here has been read.
    pub fn mark_computed(&mut self, key: PartKey) {
        if let Some(part) = self.parts.get_mut(&key) {
            part.is_computed = true;
        }
    }

    /// Tokens that running prompts use.
    pub fn in_use_tokens(&self) -> u64 {
        self.in_use_tokens
    }

    /// A running prompt use_sequence a part from now on.
    pub fn acquire(&mut self, key: PartKey, tokens: u64) {
        self.use_sequence += 1;
        let part = self.parts.entry(key).or_insert_with(|| {
            self.used_tokens += tokens;
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

    /// A running prompt use_sequence a part no more.
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

    /// An idle part is there that was not known of.
    pub fn insert_idle(&mut self, key: PartKey, tokens: u64) {
        if !self.contains(key) {
            self.acquire(key, tokens);
            self.mark_computed(key);
            self.release(key);
        }
    }

    /// Forgets a part, which was not read after all. One that others use stays: they read it if it is
    /// not there, and their use_sequence must be counted to the end.
    pub fn discard(&mut self, key: PartKey) {
        if self.parts.get(&key).is_none_or(|part| part.users > 0) {
            return;
        }
        if let Some(part) = self.parts.remove(&key) {
            self.used_tokens -= part.tokens;
            self.idle.remove(&part.last_use);
        }
    }

    fn evict(&mut self) {
        while self.used_tokens > self.capacity_tokens {
            let Some((_, key)) = self.idle.pop_first() else { return };
            if let Some(part) = self.parts.remove(&key) {
                self.used_tokens -= part.tokens;
            }
        }
    }
}
