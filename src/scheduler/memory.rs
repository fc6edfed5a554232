//! What is probably resident in one engine's memory: parts of running prompts, and parts of earlier
//! ones until the room is needed, the least recently used first.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

/// Names a part within the cache of those who share it.
pub type PartKey = u64;

/// Memory of one engine, in tokens.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    capacity: u64,
    parts: FxHashMap<PartKey, Resident>,
    /// Parts that nobody uses, by their last use. Invariant: exactly those with no users.
    idle: BTreeMap<u64, PartKey>,
    /// Of all parts.
    used: u64,
    /// Of parts that running prompts use.
    in_use: u64,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct Resident {
    tokens: u64,
    users: u32,
    last_use: u64,
    /// Whether the engine has read or fetched it; it is reserved for a running prompt before that.
    is_read: bool,
}

impl Memory {
    /// Empty memory.
    pub fn new(capacity: u64) -> Memory {
        Memory { capacity, ..Memory::default() }
    }

    /// Whether a part is resident.
    pub fn holds(&self, key: PartKey) -> bool {
        self.parts.contains_key(&key)
    }

    /// Whether a part is resident as a whole, so that other engines can fetch it.
    pub fn has_read(&self, key: PartKey) -> bool {
        self.parts.get(&key).is_some_and(|part| part.is_read)
    }

    /// A part that is here has been read.
    pub fn read(&mut self, key: PartKey) {
        if let Some(part) = self.parts.get_mut(&key) {
            part.is_read = true;
        }
    }

    /// Tokens that running prompts use.
    pub fn in_use(&self) -> u64 {
        self.in_use
    }

    /// A running prompt uses a part from now on.
    pub fn begin_use(&mut self, key: PartKey, tokens: u64) {
        self.uses += 1;
        let part = self.parts.entry(key).or_insert_with(|| {
            self.used += tokens;
            Resident { tokens, users: 0, last_use: 0, is_read: false }
        });
        if part.users == 0 {
            self.in_use += part.tokens;
            self.idle.remove(&part.last_use);
        }
        part.users += 1;
        part.last_use = self.uses;
        self.make_room();
    }

    /// A running prompt uses a part no more.
    pub fn end_use(&mut self, key: PartKey) {
        let Some(part) = self.parts.get_mut(&key).filter(|part| part.users > 0) else { return };
        part.users -= 1;
        if part.users == 0 {
            self.uses += 1;
            part.last_use = self.uses;
            self.in_use -= part.tokens;
            self.idle.insert(self.uses, key);
        }
    }

    /// An idle part is there that was not known of.
    pub fn recall(&mut self, key: PartKey, tokens: u64) {
        if !self.holds(key) {
            self.begin_use(key, tokens);
            self.read(key);
            self.end_use(key);
        }
    }

    /// Forgets a part, which was not read after all. One that others use stays: they read it if it is
    /// not there, and their uses must be counted to the end.
    pub fn forget(&mut self, key: PartKey) {
        if self.parts.get(&key).is_none_or(|part| part.users > 0) {
            return;
        }
        if let Some(part) = self.parts.remove(&key) {
            self.used -= part.tokens;
            self.idle.remove(&part.last_use);
        }
    }

    fn make_room(&mut self) {
        while self.used > self.capacity {
            let Some((_, key)) = self.idle.pop_first() else { return };
            if let Some(part) = self.parts.remove(&key) {
                self.used -= part.tokens;
            }
        }
    }
}
