//! The scheduler's model of one KV cache store, whose contents it owns.
//!
//! A part is fetched only while it is known to be complete, and freed only when no fetch of it can
//! be in progress: each fetch is granted until a deadline at which engines discard it.

use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::engine_cache::PartKey;
use super::link::Link;
use crate::clock::BootTime;
use crate::deployment::StoreSpec;
use crate::gateway::metadata::Part;
use crate::ids::{BirthMs, may_be_same_birth};

/// Validity of a fetch grant: longer than the longest fetch that is planned, including its
/// queueing.
pub const FETCH_GRANT_TTL: Duration = Duration::from_millis(1_500);
/// A free request expires this long after it was planned. Frees of an earlier scheduler may be in
/// flight for as long when a new one starts.
pub const FREE_TTL: Duration = Duration::from_millis(50);
/// Margin between the end of a grant and a free, for clock reading error.
const FREE_MARGIN: Duration = Duration::from_millis(300);
/// A save that is not confirmed within this time has failed.
const SAVE_TIMEOUT: Duration = Duration::from_secs(5);
/// A part whose save failed is not saved again for this long: a late confirmation of the failed
/// save would be taken for the next one's.
const FAILED_SAVE_BACKOFF: Duration = Duration::from_secs(15);
/// Eviction starts above this fraction of the capacity.
const EVICT_ABOVE_FRACTION: f64 = 0.93;
/// Eviction ends at this fraction of the capacity.
const EVICT_TO_FRACTION: f64 = 0.90;
/// Allocation unit of the stores.
const BLOCK_TOKENS: u64 = 16;
const MAX_FREES_PER_CALL: usize = 64;

/// A part as stores and engines report it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredPart {
    /// Cache salt of the part.
    pub salt: String,
    /// Id of the part within its salt.
    pub id: String,
    pub tokens: u64,
}

/// Identifies one start of a store process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStart {
    /// Random number drawn at the start.
    pub epoch: u64,
    /// Time of the start; `None` if the platform does not report births.
    pub born_ms: Option<BirthMs>,
}

impl StoreStart {
    /// Whether two answers may come from the same start.
    pub fn may_equal(&self, other: &StoreStart) -> bool {
        self.epoch == other.epoch && may_be_same_birth(self.born_ms, other.born_ms)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
    pub start: StoreStart,
    /// Sequence number from which events follow this inventory.
    pub next_event: u64,
    pub complete: Vec<StoredPart>,
    /// Parts whose save is in progress or was aborted, with the tokens that they occupy.
    pub partial: Vec<StoredPart>,
}

/// A change of a store's or an engine's contents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// So many tokens of a part are stored now.
    Stored(StoredPart),
    /// The part is no longer stored.
    Removed(StoredPart),
}

#[derive(Clone, Debug)]
pub struct Store {
    /// Its specification in the deployment.
    pub spec: StoreSpec,
    /// The store's current start; `None` until its inventory is known.
    start: Option<StoreStart>,
    parts: FxHashMap<PartKey, TrackedPart>,
    used_tokens: u64,
    /// Parts whose save failed, with the time until which they are not saved again.
    failed: FxHashMap<PartKey, BootTime>,
    /// Link over which it serves fetches.
    pub link: Link,
}

#[derive(Clone, Debug)]
struct TrackedPart {
    part: StoredPart,
    /// Capacity that it occupies.
    reserved_tokens: u64,
    state: PartState,
    last_use: BootTime,
    /// Time at which all granted fetches have ended.
    fetches_end_by: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartState {
    /// A save was granted at this time.
    Saving(BootTime),
    Complete,
    /// A free was planned; the part may be removed at any moment.
    Freeing,
}

/// Parts that a store is to free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreePlan {
    pub store: SocketAddr,
    /// The store's start that holds the parts.
    pub start: StoreStart,
    pub parts: Vec<StoredPart>,
}

/// Cache key of a part.
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
    /// Creates a store with unknown contents.
    pub fn new(spec: StoreSpec) -> Store {
        let link = Link::new(spec.link_mbps);
        Store {
            spec,
            start: None,
            parts: FxHashMap::default(),
            used_tokens: 0,
            failed: FxHashMap::default(),
            link,
        }
    }

    pub fn has_inventory(&self) -> bool {
        self.start.is_some()
    }

    pub fn free_tokens(&self) -> u64 {
        self.spec.capacity_tokens.saturating_sub(self.used_tokens)
    }

    /// Whether a part fits without eviction.
    pub fn has_room_for(&self, tokens: u64) -> bool {
        let used = self.used_tokens + round_up_to_blocks(tokens);
        used as f64 <= self.spec.capacity_tokens as f64 * EVICT_TO_FRACTION
    }

    /// Discards the known contents, since the store restarted or can't be reached.
    pub fn reset(&mut self) {
        self.start = None;
        self.parts.clear();
        self.used_tokens = 0;
    }

    /// Applies an inventory. Grants for parts that the same start still holds stay valid.
    pub fn observe_inventory(&mut self, inventory: Inventory, now: BootTime) {
        let earlier = if self.start.is_some_and(|start| start.may_equal(&inventory.start)) {
            std::mem::take(&mut self.parts)
        } else {
            FxHashMap::default()
        };
        self.reset();
        self.start = Some(inventory.start);
        let complete = inventory.complete.into_iter().map(|part| (part, true));
        let partial = inventory.partial.into_iter().map(|part| (part, false));
        for (part, is_complete) in complete.chain(partial) {
            let key = part_key(&part.salt, &part.id);
            let known = earlier.get(&key);
            let state = match (known.map(|known| known.state), is_complete) {
                (Some(PartState::Freeing), _) => PartState::Freeing,
                (_, true) => PartState::Complete,
                (Some(saving @ PartState::Saving(_)), false) => saving,
                (_, false) => PartState::Saving(now),
            };
            let reserved_tokens = round_up_to_blocks(part.tokens);
            self.used_tokens += reserved_tokens;
            let last_use = known.map_or(now, |known| known.last_use);
            // An earlier scheduler may just have granted a fetch.
            let fetches_end_by = known.map_or(now + FETCH_GRANT_TTL, |known| known.fetches_end_by);
            self.parts.insert(
                key,
                TrackedPart { part, reserved_tokens, state, last_use, fetches_end_by },
            );
        }
        // Saves granted a moment ago may not have started yet.
        let may_start = |part: &TrackedPart| matches!(part.state, PartState::Saving(at) if now < at + SAVE_TIMEOUT);
        for (key, tracked) in earlier.into_iter().filter(|(_, tracked)| may_start(tracked)) {
            if let Entry::Vacant(vacant) = self.parts.entry(key) {
                self.used_tokens += tracked.reserved_tokens;
                vacant.insert(tracked);
            }
        }
    }

    pub fn observe_event(&mut self, event: StoreEvent, now: BootTime) {
        match event {
            StoreEvent::Stored(part) => {
                let key = part_key(&part.salt, &part.id);
                let Some(tracked) = self.parts.get_mut(&key) else {
                    // Saved for an earlier scheduler. The next inventory shows whether it is
                    // complete.
                    return;
                };
                if part.tokens >= tracked.part.tokens
                    && matches!(tracked.state, PartState::Saving(_))
                {
                    tracked.state = PartState::Complete;
                    tracked.last_use = tracked.last_use.max(now);
                }
            }
            StoreEvent::Removed(part) => self.remove(part_key(&part.salt, &part.id)),
        }
    }

    /// Whether a part is completely stored and may be fetched.
    pub fn is_complete(&self, key: PartKey) -> bool {
        self.parts.get(&key).is_some_and(|tracked| tracked.state == PartState::Complete)
    }

    /// Whether a part is stored, being saved or being freed.
    pub fn contains(&self, key: PartKey) -> bool {
        self.parts.contains_key(&key)
    }

    /// Whether a part may be saved here.
    pub fn can_save(&self, key: PartKey, tokens: u64, now: BootTime) -> bool {
        let has_failed = self.failed.get(&key).is_some_and(|until| now < *until);
        self.has_inventory() && self.free_tokens() > tokens && !has_failed
    }

    /// Grants a fetch of a complete part.
    pub fn grant_fetch(&mut self, key: PartKey, now: BootTime) {
        if let Some(tracked) = self.parts.get_mut(&key) {
            tracked.last_use = now;
            tracked.fetches_end_by = tracked.fetches_end_by.max(now + FETCH_GRANT_TTL);
        }
    }

    /// Marks a part as recently used, since a prompt uses it on some engine.
    pub fn touch(&mut self, key: PartKey, now: BootTime) {
        if let Some(tracked) = self.parts.get_mut(&key) {
            tracked.last_use = now;
        }
    }

    /// Grants a save and reserves its capacity.
    pub fn grant_save(&mut self, key: PartKey, salt: &str, part: &Part, now: BootTime) {
        let reserved_tokens = round_up_to_blocks(part.tokens);
        let stored =
            StoredPart { salt: salt.to_string(), id: part.id.clone(), tokens: part.tokens };
        self.used_tokens += reserved_tokens;
        self.parts.insert(
            key,
            TrackedPart {
                part: stored,
                reserved_tokens,
                state: PartState::Saving(now),
                last_use: now,
                fetches_end_by: BootTime::ZERO,
            },
        );
    }

    /// Plans which parts to free: failed saves, and the least recently used parts if capacity is
    /// short. They can't be fetched from then on.
    pub fn plan_frees(&mut self, now: BootTime) -> Option<FreePlan> {
        let start = self.start?;
        let mut free: Vec<PartKey> = Vec::new();
        for (key, tracked) in &self.parts {
            let is_due = match tracked.state {
                PartState::Saving(at) => now >= at + SAVE_TIMEOUT,
                PartState::Freeing => true,
                PartState::Complete => false,
            };
            if is_due && free.len() < MAX_FREES_PER_CALL {
                free.push(*key);
            }
            if matches!(tracked.state, PartState::Saving(_)) && is_due {
                self.failed.insert(*key, now + FAILED_SAVE_BACKOFF);
            }
        }
        self.failed.retain(|_, until| now < *until);
        let capacity = self.spec.capacity_tokens as f64;
        if self.used_tokens as f64 > capacity * EVICT_ABOVE_FRACTION {
            self.add_least_recently_used(&mut free, (capacity * EVICT_TO_FRACTION) as u64, now);
        }
        if free.is_empty() {
            return None;
        }
        let mut parts = Vec::with_capacity(free.len());
        for key in free {
            if let Some(tracked) = self.parts.get_mut(&key) {
                tracked.state = PartState::Freeing;
                parts.push(tracked.part.clone());
            }
        }
        Some(FreePlan { store: self.spec.address, start, parts })
    }

    fn add_least_recently_used(&self, free: &mut Vec<PartKey>, target_tokens: u64, now: BootTime) {
        let is_evictable = |tracked: &TrackedPart| {
            tracked.state == PartState::Complete && now >= tracked.fetches_end_by + FREE_MARGIN
        };
        let mut idle: Vec<(BootTime, PartKey, u64)> = self
            .parts
            .iter()
            .filter(|(_, tracked)| is_evictable(tracked))
            .map(|(key, tracked)| (tracked.last_use, *key, tracked.reserved_tokens))
            .collect();
        idle.sort_unstable();
        let being_freed = free.iter().filter_map(|key| self.parts.get(key));
        let being_freed: u64 = being_freed.map(|tracked| tracked.reserved_tokens).sum();
        let mut used = self.used_tokens.saturating_sub(being_freed);
        for (_, key, tokens) in idle {
            if used <= target_tokens || free.len() >= MAX_FREES_PER_CALL {
                return;
            }
            used = used.saturating_sub(tokens);
            free.push(key);
        }
    }

    /// Records that the parts of a plan were freed.
    pub fn confirm_freed(&mut self, plan: &FreePlan) {
        if self.start.is_some_and(|start| start.may_equal(&plan.start)) {
            for part in &plan.parts {
                self.remove(part_key(&part.salt, &part.id));
            }
        }
    }

    fn remove(&mut self, key: PartKey) {
        if let Some(tracked) = self.parts.remove(&key) {
            self.used_tokens -= tracked.reserved_tokens;
        }
    }
}

fn round_up_to_blocks(tokens: u64) -> u64 {
    tokens.div_ceil(BLOCK_TOKENS) * BLOCK_TOKENS
}
