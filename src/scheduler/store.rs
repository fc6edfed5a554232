//! One store of kept KV cache, whose contents the scheduler owns.
//!
//! A part may be fetched only while it is surely whole, and is freed only when no fetch of it can be
//! under way: each fetch is granted until a time at which engines throw it away by themselves.

use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::link::Link;
use super::memory::PartKey;
use crate::clock::BootTime;
use crate::deployment::StoreSpec;
use crate::gateway::metadata::Part;
use crate::ids::{BirthMs, may_be_same_birth};

/// A fetch is granted for this long. Transfers take tens of milliseconds; one that would wait for
/// two seconds is not started.
pub const FETCH_LASTS: Duration = Duration::from_millis(1_500);
/// A free is void this long after it was decided: stores answer within a few milliseconds. An earlier
/// scheduler's may be under way for as long when a new one begins.
pub const FREE_LASTS: Duration = Duration::from_millis(50);
/// Kept between the end of a grant and a free, for clocks that are read a little apart.
const FREE_MARGIN: Duration = Duration::from_millis(300);
/// A save of which nothing was heard after this time has failed.
const SAVE_LASTS: Duration = Duration::from_secs(5);
/// A part whose save has failed is not saved again for this long: word that the failed save was whole
/// may still be on its way, and would be taken for the next one's.
const FAILED_LASTS: Duration = Duration::from_secs(15);
/// Parts are freed above this part of the capacity.
const FULL_ABOVE: f64 = 0.93;
/// Parts are freed down to this part of the capacity.
const FULL_BELOW: f64 = 0.90;
/// Stores give out memory by blocks of this many tokens.
const BLOCK_TOKENS: u64 = 16;
/// Most parts that are freed in one call.
const FREED_AT_ONCE: usize = 64;

/// A part that a store reports: its cache's name, its id, and its tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPart {
    /// The text under which it is kept.
    pub salt: String,
    /// The part.
    pub id: String,
    /// Tokens that are stored.
    pub tokens: u64,
}

/// One start of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStart {
    /// Drawn at the start.
    pub epoch: u64,
    /// When it was; `None` where births aren't told.
    pub born_ms: Option<BirthMs>,
}

impl StoreStart {
    /// Whether two answers may come from one start.
    pub fn may_be(&self, other: &StoreStart) -> bool {
        self.epoch == other.epoch && may_be_same_birth(self.born_ms, other.born_ms)
    }
}

/// All that a store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    /// The start of the store that holds it.
    pub start: StoreStart,
    /// Where the next events begin.
    pub next: u64,
    /// Whole parts.
    pub whole: Vec<StoredPart>,
    /// Parts whose save broke off or goes on, with the tokens that they take up.
    pub partial: Vec<StoredPart>,
}

/// A change that a store reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// This much of a part is stored now.
    Stored(StoredPart),
    /// A part is gone.
    Gone(StoredPart),
}

/// A store.
#[derive(Clone, Debug)]
pub struct Store {
    /// As the deployment names it.
    pub traits: StoreSpec,
    /// This start of it; `None` until its inventory is known.
    start: Option<StoreStart>,
    parts: FxHashMap<PartKey, Kept>,
    used_tokens: u64,
    /// Parts whose save has failed, with the time until which they are not saved again.
    failed: FxHashMap<PartKey, BootTime>,
    /// Over which it is read.
    pub link: Link,
}

#[derive(Clone, Debug)]
struct Kept {
    part: StoredPart,
    /// What it takes up.
    reserved_tokens: u64,
    state: KeptState,
    last_use: BootTime,
    /// No fetch of it can be under way after this time.
    fetched_until: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeptState {
    /// A save was granted at this time.
    Saving(BootTime),
    Whole,
    /// It may be gone at any moment.
    Freeing,
}

/// Parts to be freed now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreePlan {
    /// The store.
    pub store: SocketAddr,
    /// This start of it.
    pub start: StoreStart,
    /// The parts.
    pub parts: Vec<StoredPart>,
}

/// The key of a part.
pub fn part_key(salt: &str, id: &str) -> PartKey {
    let hash = blake3::Hasher::new()
        .update(salt.as_bytes())
        .update(b"\0")
        .update(id.as_bytes())
        .finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    PartKey::from_le_bytes(bytes)
}

impl Store {
    /// A store of which nothing is known yet.
    pub fn new(traits: StoreSpec) -> Store {
        let link = Link::new(traits.link_mbps);
        Store {
            traits,
            start: None,
            parts: FxHashMap::default(),
            used_tokens: 0,
            failed: FxHashMap::default(),
            link,
        }
    }

    /// Whether its inventory is known.
    pub fn is_known(&self) -> bool {
        self.start.is_some()
    }

    /// Tokens that are free.
    pub fn free_tokens(&self) -> u64 {
        self.traits.capacity_tokens.saturating_sub(self.used_tokens)
    }

    /// Whether a part fits without others being freed for it.
    pub fn has_room_for(&self, tokens: u64) -> bool {
        let used = self.used_tokens + in_blocks(tokens);
        used as f64 <= self.traits.capacity_tokens as f64 * FULL_BELOW
    }

    /// Forgets what it holds: it has started anew or can't be reached.
    pub fn forget(&mut self) {
        self.start = None;
        self.parts.clear();
        self.used_tokens = 0;
    }

    /// Takes its inventory. Fetches that were granted of parts that it still holds stay granted.
    pub fn observe_inventory(&mut self, inventory: Inventory, now: BootTime) {
        let earlier = if self.start.is_some_and(|start| start.may_be(&inventory.start)) {
            std::mem::take(&mut self.parts)
        } else {
            FxHashMap::default()
        };
        self.forget();
        self.start = Some(inventory.start);
        let whole = inventory.whole.into_iter().map(|part| (part, true));
        let partial = inventory.partial.into_iter().map(|part| (part, false));
        for (part, is_whole) in whole.chain(partial) {
            let key = part_key(&part.salt, &part.id);
            let known = earlier.get(&key);
            let state = match (known.map(|known| known.state), is_whole) {
                (Some(KeptState::Freeing), _) => KeptState::Freeing,
                (_, true) => KeptState::Whole,
                (Some(saving @ KeptState::Saving(_)), false) => saving,
                (_, false) => KeptState::Saving(now),
            };
            let reserved_tokens = in_blocks(part.tokens);
            self.used_tokens += reserved_tokens;
            let last_use = known.map_or(now, |known| known.last_use);
            // Fetches that an earlier scheduler granted may last that long.
            let fetched_until = known.map_or(now + FETCH_LASTS, |known| known.fetched_until);
            self.parts.insert(key, Kept { part, reserved_tokens, state, last_use, fetched_until });
        }
        // Saves that were granted just now may not have begun.
        let begun =
            |kept: &Kept| matches!(kept.state, KeptState::Saving(at) if now < at + SAVE_LASTS);
        for (key, kept) in earlier.into_iter().filter(|(_, kept)| begun(kept)) {
            if let Entry::Vacant(vacant) = self.parts.entry(key) {
                self.used_tokens += kept.reserved_tokens;
                vacant.insert(kept);
            }
        }
    }

    /// Takes a change.
    pub fn observe_event(&mut self, event: StoreEvent, now: BootTime) {
        match event {
            StoreEvent::Stored(part) => {
                let key = part_key(&part.salt, &part.id);
                let Some(kept) = self.parts.get_mut(&key) else {
                    // Saved for an earlier scheduler. Whether it is whole, the next inventory tells.
                    return;
                };
                if part.tokens >= kept.part.tokens && matches!(kept.state, KeptState::Saving(_)) {
                    kept.state = KeptState::Whole;
                    kept.last_use = kept.last_use.max(now);
                }
            }
            StoreEvent::Gone(part) => self.remove(part_key(&part.salt, &part.id)),
        }
    }

    /// Whether a part may be fetched.
    pub fn is_whole(&self, key: PartKey) -> bool {
        self.parts.get(&key).is_some_and(|kept| kept.state == KeptState::Whole)
    }

    /// Whether a part is here, or on its way.
    pub fn knows(&self, key: PartKey) -> bool {
        self.parts.contains_key(&key)
    }

    /// Whether a part may be saved.
    pub fn takes(&self, key: PartKey, tokens: u64, now: BootTime) -> bool {
        let has_failed = self.failed.get(&key).is_some_and(|until| now < *until);
        self.is_known() && self.free_tokens() > tokens && !has_failed
    }

    /// Grants a fetch of a whole part.
    pub fn grant_fetch(&mut self, key: PartKey, now: BootTime) {
        if let Some(kept) = self.parts.get_mut(&key) {
            kept.last_use = now;
            kept.fetched_until = kept.fetched_until.max(now + FETCH_LASTS);
        }
    }

    /// Records that a part is in use somewhere, so that it will be asked for again.
    pub fn touch(&mut self, key: PartKey, now: BootTime) {
        if let Some(kept) = self.parts.get_mut(&key) {
            kept.last_use = now;
        }
    }

    /// Grants a save.
    pub fn grant_save(&mut self, key: PartKey, salt: &str, part: &Part, now: BootTime) {
        let reserved_tokens = in_blocks(part.tokens);
        let stored =
            StoredPart { salt: salt.to_string(), id: part.id.clone(), tokens: part.tokens };
        self.used_tokens += reserved_tokens;
        self.parts.insert(
            key,
            Kept {
                part: stored,
                reserved_tokens,
                state: KeptState::Saving(now),
                last_use: now,
                fetched_until: BootTime::ZERO,
            },
        );
    }

    /// Parts to be freed now: those whose save has failed, and the least recently used ones where
    /// room is short. They are not fetched again.
    pub fn plan_frees(&mut self, now: BootTime) -> Option<FreePlan> {
        let start = self.start?;
        let mut free: Vec<PartKey> = Vec::new();
        for (key, kept) in &self.parts {
            let is_due = match kept.state {
                KeptState::Saving(at) => now >= at + SAVE_LASTS,
                KeptState::Freeing => true,
                KeptState::Whole => false,
            };
            if is_due && free.len() < FREED_AT_ONCE {
                free.push(*key);
            }
            if matches!(kept.state, KeptState::Saving(_)) && is_due {
                self.failed.insert(*key, now + FAILED_LASTS);
            }
        }
        self.failed.retain(|_, until| now < *until);
        let capacity = self.traits.capacity_tokens as f64;
        if self.used_tokens as f64 > capacity * FULL_ABOVE {
            self.add_least_used(&mut free, (capacity * FULL_BELOW) as u64, now);
        }
        if free.is_empty() {
            return None;
        }
        let mut parts = Vec::with_capacity(free.len());
        for key in free {
            if let Some(kept) = self.parts.get_mut(&key) {
                kept.state = KeptState::Freeing;
                parts.push(kept.part.clone());
            }
        }
        Some(FreePlan { store: self.traits.address, start, parts })
    }

    fn add_least_used(&self, free: &mut Vec<PartKey>, target_tokens: u64, now: BootTime) {
        let is_free =
            |kept: &Kept| kept.state == KeptState::Whole && now >= kept.fetched_until + FREE_MARGIN;
        let mut idle: Vec<(BootTime, PartKey, u64)> = self
            .parts
            .iter()
            .filter(|(_, kept)| is_free(kept))
            .map(|(key, kept)| (kept.last_use, *key, kept.reserved_tokens))
            .collect();
        idle.sort_unstable();
        let being_freed = free.iter().filter_map(|key| self.parts.get(key));
        let being_freed: u64 = being_freed.map(|kept| kept.reserved_tokens).sum();
        let mut used = self.used_tokens.saturating_sub(being_freed);
        for (_, key, tokens) in idle {
            if used <= target_tokens || free.len() >= FREED_AT_ONCE {
                return;
            }
            used = used.saturating_sub(tokens);
            free.push(key);
        }
    }

    /// Records that parts were freed.
    pub fn freed(&mut self, plan: &FreePlan) {
        if self.start.is_some_and(|start| start.may_be(&plan.start)) {
            for part in &plan.parts {
                self.remove(part_key(&part.salt, &part.id));
            }
        }
    }

    fn remove(&mut self, key: PartKey) {
        if let Some(kept) = self.parts.remove(&key) {
            self.used_tokens -= kept.reserved_tokens;
        }
    }
}

fn in_blocks(tokens: u64) -> u64 {
    tokens.div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS
}
