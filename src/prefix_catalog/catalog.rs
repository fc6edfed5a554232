//! Catalog of the stored copies of the contexts that one node owns, with their states and pins.
//!
//! A copy is first written, then committed, then freed; it never goes back. Only committed copies
//! are returned by a lookup, which pins them; a copy is freed only after its pins have expired.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::{AnsweredPrompt, ExportOutcome, ExportPlan, Position, PrefixLocation};
use crate::clock::BootTime;

use crate::ids::{BlockKey, TargetId};
use crate::upstream::api::StoredObject;

/// How long a copy returned by a lookup is not freed; longer than any import takes.
pub const PIN_DURATION: Duration = Duration::from_secs(30);
/// A write that has not finished after this time is abandoned.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(90);
/// Shorter prefixes are not exported.
const MIN_EXPORT_BLOCKS: u32 = 4;
/// A prompt is not exported if an existing copy covers this fraction of it.
const COVERED_SHARE: f64 = 0.75;
/// Largest number of branches tracked per context.
const MAX_BRANCHES: usize = 16;
/// Copies are evicted from stores whose used fraction exceeds this.
const EVICTION_FILL: f64 = 0.9;
/// Fraction of this owner's copies in a full store that is evicted at a time.
const EVICTED_SHARE: f64 = 0.05;
/// Stores whose used fraction reaches this get no exports.
const MAX_EXPORT_FILL: f64 = 0.97;
/// Weight of the newest sample in the moving average of `return_share`.
const RETURN_SHARE_SMOOTHING: f64 = 0.02;
/// If a smaller share of contexts returns, a context is exported only from its second answer on.
const MIN_RETURN_SHARE: f64 = 0.1;

/// Stored copies of the contexts that one node owns.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Largest number of contexts.
    capacity: usize,
    contexts: HashMap<BlockKey, Context>,
    /// Invariant: one element per context, with its `last_seen`.
    by_last_seen: BTreeSet<(BootTime, BlockKey)>,
    /// Copies of evicted contexts, waiting to be freed.
    orphans: Vec<StoredCopy>,
    epoch: u64,
    next_generation: u64,
    /// Moving average of the share of contexts that return, from 0 to 1.
    return_share: f64,
}

#[derive(Clone, Debug)]
struct Context {
    last_seen: BootTime,
    times_seen: u32,
    branches: Vec<Branch>,
    copies: Vec<StoredCopy>,
}

/// One continuation of a context.
#[derive(Clone, Debug)]
struct Branch {
    positions: Vec<Position>,
}

#[derive(Clone, Debug)]
struct StoredCopy {
    store: TargetId,
    object: StoredObject,
    state: CopyState,
    pinned_until: BootTime,
    last_used: BootTime,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyState {
    Writing { until: BootTime },
    Committed,
    Freeing,
}

/// An order to a store to free an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreeOrder {
    pub store: TargetId,
    /// The context, named by the key of its first block.
    pub root: BlockKey,
    pub key: BlockKey,
    pub generation: u64,
    pub owner_epoch: u64,
}

impl Catalog {
    /// Creates an empty catalog. `epoch` must be greater than that of any earlier owner;
    /// generations are counted from it.
    pub fn new(capacity: usize, epoch: u64) -> Catalog {
        Catalog {
            capacity,
            contexts: HashMap::new(),
            by_last_seen: BTreeSet::new(),
            orphans: Vec::new(),
            epoch,
            next_generation: epoch,
            return_share: 0.5,
        }
    }

    /// Number of contexts.
    pub fn len(&self) -> usize {
        self.contexts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.contexts.is_empty()
    }

    /// Returns the committed copies of a context and pins each for `PIN_DURATION`.
    pub fn lookup(&mut self, root: BlockKey, now: BootTime) -> Vec<PrefixLocation> {
        let Some(context) = self.contexts.get_mut(&root) else { return Vec::new() };
        let committed = context.copies.iter_mut().filter(|copy| copy.state == CopyState::Committed);
        committed
            .map(|copy| {
                copy.pinned_until = copy.pinned_until.max(now + PIN_DURATION);
                copy.last_used = now;
                PrefixLocation { store: copy.store.clone(), object: copy.object.clone() }
            })
            .collect()
    }

    /// Records an answered prompt. Returns an export if one is worthwhile; its copy is then in the
    /// state of being written. `fills` maps each store that accepts exports to the fraction in use.
    pub fn record_answer(
        &mut self,
        prompt: &AnsweredPrompt,
        fills: &BTreeMap<TargetId, f64>,
        now: BootTime,
    ) -> Option<ExportPlan> {
        let context = self.touch(prompt.root, now);
        context.times_seen += 1;
        let times_seen = context.times_seen;
        let shared_prefix = context.record_branch(prompt);
        let target = export_target(&prompt.positions, shared_prefix)?;
        if context.covers(&prompt.positions, target) {
            return None;
        }
        self.update_return_share(times_seen);
        if times_seen == 1 && self.return_share < MIN_RETURN_SHARE {
            return None;
        }
        let store = least_full_store(fills)?;
        Some(self.start_write(prompt.root, target, store, now))
    }

    /// Records the result of an export.
    pub fn record_export(&mut self, outcome: &ExportOutcome, now: BootTime) {
        let Some(context) = self.contexts.get_mut(&outcome.root) else { return };
        let is_same = |copy: &StoredCopy| {
            copy.object.key == outcome.key && copy.object.generation == outcome.generation
        };
        let Some(copy) = context.copies.iter_mut().find(|copy| is_same(copy)) else { return };
        if !matches!(copy.state, CopyState::Writing { .. }) {
            return;
        }
        match &outcome.kept {
            Some(kept) => {
                copy.object = kept.object.clone();
                copy.state = CopyState::Committed;
                copy.last_used = now;
                let blocks = copy.object.blocks;
                context.free_superseded(blocks);
            }
            // The store may hold a partial write; free it.
            None => copy.state = CopyState::Freeing,
        }
    }

    /// Applies a store's inventory: adds copies of contexts that this node owns, as first or second
    /// owner, and removes copies that the store no longer holds.
    pub fn apply_inventory(
        &mut self,
        store: &TargetId,
        objects: &[StoredObject],
        is_owner: impl Fn(BlockKey) -> bool,
        now: BootTime,
    ) {
        let present: BTreeSet<(BlockKey, u64)> =
            objects.iter().map(|object| (object.key, object.generation)).collect();
        for context in self.contexts.values_mut() {
            context.copies.retain(|copy| {
                copy.store != *store
                    || matches!(copy.state, CopyState::Writing { .. })
                    || present.contains(&(copy.object.key, copy.object.generation))
            });
        }
        for object in objects.iter().filter(|object| is_owner(object.root)) {
            let context = self.touch_keeping_age(object.root, now);
            let known = context.copies.iter().any(|copy| {
                copy.store == *store
                    && copy.object.key == object.key
                    && copy.object.generation == object.generation
            });
            if !known {
                context.copies.push(StoredCopy {
                    store: store.clone(),
                    object: object.clone(),
                    state: CopyState::Committed,
                    // The previous owner may have pinned the copy just now.
                    pinned_until: now + PIN_DURATION,
                    last_used: now,
                });
            }
        }
    }

    /// Removes all copies in a store that no longer exists.
    pub fn drop_store(&mut self, store: &TargetId) {
        for context in self.contexts.values_mut() {
            context.copies.retain(|copy| copy.store != *store);
        }
        self.orphans.retain(|copy| copy.store != *store);
    }

    /// Removes contexts that this node no longer owns. The new owners learn of them from the
    /// inventories.
    pub fn remove_unowned(&mut self, is_owner: impl Fn(BlockKey) -> bool) {
        self.contexts.retain(|root, _| is_owner(*root));
        self.by_last_seen.retain(|(_, root)| is_owner(*root));
    }

    /// Returns the objects to free now, among the contexts whose first owner is this node. An order
    /// is repeated until `record_freed` is called.
    pub fn free_orders(
        &mut self,
        fills: &BTreeMap<TargetId, f64>,
        is_first_owner: impl Fn(BlockKey) -> bool,
        now: BootTime,
    ) -> Vec<FreeOrder> {
        for (store, fill) in fills {
            if *fill > EVICTION_FILL {
                self.evict_least_recent(store, &is_first_owner, now);
            }
        }
        for copy in self.contexts.values_mut().flat_map(|context| &mut context.copies) {
            if matches!(copy.state, CopyState::Writing { until } if until <= now) {
                copy.state = CopyState::Freeing;
            }
        }
        let copies = self.contexts.values().flat_map(|context| &context.copies);
        copies
            .chain(&self.orphans)
            .filter(|copy| copy.state == CopyState::Freeing && copy.pinned_until <= now)
            .filter(|copy| is_first_owner(copy.object.root))
            .map(|copy| FreeOrder {
                store: copy.store.clone(),
                root: copy.object.root,
                key: copy.object.key,
                generation: copy.object.generation,
                owner_epoch: self.epoch,
            })
            .collect()
    }

    /// Records that a store has freed an object.
    pub fn record_freed(&mut self, order: &FreeOrder) {
        let is_same = |copy: &StoredCopy| {
            copy.store == order.store
                && copy.object.key == order.key
                && copy.object.generation == order.generation
        };
        self.orphans.retain(|copy| !is_same(copy));
        if let Some(context) = self.contexts.get_mut(&order.root) {
            context.copies.retain(|copy| !is_same(copy));
        }
    }

    fn touch(&mut self, root: BlockKey, now: BootTime) -> &mut Context {
        if let Some(context) = self.contexts.get(&root) {
            self.by_last_seen.remove(&(context.last_seen, root));
        }
        self.by_last_seen.insert((now, root));
        self.evict_beyond_capacity(root);
        let context = self.contexts.entry(root).or_insert_with(|| Context::new(now));
        context.last_seen = now;
        context
    }

    /// Like `touch`, but keeps the age of a known context.
    fn touch_keeping_age(&mut self, root: BlockKey, now: BootTime) -> &mut Context {
        let at = self.contexts.get(&root).map_or(now, |context| context.last_seen);
        self.touch(root, at)
    }

    fn evict_beyond_capacity(&mut self, keep: BlockKey) {
        while self.by_last_seen.len() > self.capacity {
            let Some((_, oldest)) =
                self.by_last_seen.iter().find(|(_, root)| *root != keep).copied()
            else {
                return;
            };
            self.by_last_seen.retain(|(_, root)| *root != oldest);
            if let Some(context) = self.contexts.remove(&oldest) {
                let freeing = |copy| StoredCopy { state: CopyState::Freeing, ..copy };
                self.orphans.extend(context.copies.into_iter().map(freeing));
            }
        }
    }

    fn update_return_share(&mut self, times_seen: u32) {
        match times_seen {
            1 => self.return_share -= RETURN_SHARE_SMOOTHING * self.return_share,
            // The first visit was counted as one without a return; this corrects it.
            2 => self.return_share += 2.0 * RETURN_SHARE_SMOOTHING * (1.0 - self.return_share),
            _ => {}
        }
    }

    fn start_write(
        &mut self,
        root: BlockKey,
        position: Position,
        store: TargetId,
        now: BootTime,
    ) -> ExportPlan {
        self.next_generation += 1;
        let generation = self.next_generation;
        let object = StoredObject {
            root,
            key: position.key,
            generation,
            blocks: position.blocks,
            size_bytes: 0,
            checksum: 0,
        };
        let copy = StoredCopy {
            store: store.clone(),
            object,
            state: CopyState::Writing { until: now + WRITE_TIMEOUT },
            pinned_until: now,
            last_used: now,
        };
        self.touch(root, now).copies.push(copy);
        ExportPlan { root, position, generation, owner_epoch: self.epoch, store }
    }

    /// Marks the least recently used copies in a store as to be freed.
    fn evict_least_recent(
        &mut self,
        store: &TargetId,
        is_first_owner: impl Fn(BlockKey) -> bool,
        now: BootTime,
    ) {
        let mut copies: Vec<&mut StoredCopy> = self
            .contexts
            .values_mut()
            .flat_map(|context| &mut context.copies)
            .filter(|copy| copy.store == *store && is_first_owner(copy.object.root))
            .filter(|copy| copy.state == CopyState::Committed && copy.pinned_until <= now)
            .collect();
        let count = (copies.len() as f64 * EVICTED_SHARE).ceil() as usize;
        copies.sort_by_key(|copy| copy.last_used);
        for copy in copies.into_iter().take(count) {
            copy.state = CopyState::Freeing;
        }
    }
}

impl Context {
    fn new(now: BootTime) -> Context {
        Context { last_seen: now, times_seen: 0, branches: Vec::new(), copies: Vec::new() }
    }

    /// Records a continuation of the context. Returns the longest prefix that it shares with a
    /// branch that continues differently.
    fn record_branch(&mut self, prompt: &AnsweredPrompt) -> Option<Position> {
        let mut shared_prefix: Option<Position> = None;
        let mut extends = None;
        for (index, branch) in self.branches.iter().enumerate() {
            let common = longest_common(&branch.positions, &prompt.positions);
            let whole = common.map(|c| c.blocks) == branch.positions.last().map(|p| p.blocks);
            if whole {
                extends = Some(index);
            } else if common.map(|c| c.blocks) > shared_prefix.map(|s| s.blocks) {
                shared_prefix = common;
            }
        }
        if let Some(index) = extends {
            self.branches.remove(index);
        }
        self.branches.push(Branch { positions: prompt.positions.clone() });
        if self.branches.len() > MAX_BRANCHES {
            self.branches.remove(0);
        }
        shared_prefix
    }

    /// Whether an existing copy, committed or being written, makes a copy of `target` unnecessary.
    fn covers(&self, positions: &[Position], target: Position) -> bool {
        let needed = (f64::from(target.blocks) * COVERED_SHARE) as u32;
        self.copies.iter().filter(|copy| copy.state != CopyState::Freeing).any(|copy| {
            copy.object.blocks >= needed
                && positions.iter().any(|position| position.key == copy.object.key)
        })
    }

    /// Frees committed copies of shorter prefixes that are contained in a copy of `blocks` blocks.
    fn free_superseded(&mut self, blocks: u32) {
        let Some(branch) = self.branches.iter().find(|branch| {
            branch.positions.iter().any(|position| {
                position.blocks == blocks
                    && self.copies.iter().any(|copy| copy.object.key == position.key)
            })
        }) else {
            return;
        };
        let keys: BTreeSet<BlockKey> = branch
            .positions
            .iter()
            .filter(|position| position.blocks < blocks)
            .map(|position| position.key)
            .collect();
        let shared: BTreeSet<BlockKey> = self
            .branches
            .iter()
            .filter(|other| other.positions != branch.positions)
            .flat_map(|other| other.positions.iter().map(|position| position.key))
            .collect();
        for copy in &mut self.copies {
            // A prefix shared with other branches is still useful by itself.
            let only_here = keys.contains(&copy.object.key) && !shared.contains(&copy.object.key);
            if only_here && copy.state == CopyState::Committed {
                copy.state = CopyState::Freeing;
            }
        }
    }
}

/// The prefix of a prompt to export: the shared prefix if it is at least half of the prompt,
/// otherwise the whole prompt.
fn export_target(positions: &[Position], shared_prefix: Option<Position>) -> Option<Position> {
    let last = *positions.last()?;
    let target = shared_prefix.filter(|shared| shared.blocks * 2 >= last.blocks).unwrap_or(last);
    (target.blocks >= MIN_EXPORT_BLOCKS).then_some(target)
}

/// The longest prefix that two chains share.
fn longest_common(a: &[Position], b: &[Position]) -> Option<Position> {
    let keys: BTreeSet<BlockKey> = a.iter().map(|position| position.key).collect();
    b.iter().rev().find(|position| keys.contains(&position.key)).copied()
}

fn least_full_store(fills: &BTreeMap<TargetId, f64>) -> Option<TargetId> {
    fills
        .iter()
        .filter(|(_, fill)| **fill < MAX_EXPORT_FILL)
        .min_by(|a, b| a.1.total_cmp(b.1))
        .map(|(store, _)| store.clone())
}
