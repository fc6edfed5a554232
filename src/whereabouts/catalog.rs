//! What one owner knows of its contexts: the kept copies, their states and pins.
//!
//! A copy goes from writing to committed to freeing to gone, never back. Only committed copies
//! are handed out, each with a pin; a copy is freed only once its pins have run out.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::{ExportPlan, Kept, Position, Seen, Written};
use crate::clock::BootTime;
use crate::ids::{BlockKey, TargetId};
use crate::upstream::api::StoredObject;

/// How long a copy that was handed out is not freed: longer than a reader may take.
pub const PIN: Duration = Duration::from_secs(30);
/// A write that has not ended after this time is given up.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(90);
/// Shorter prefixes are not worth an export.
const LEAST_BLOCKS: u32 = 4;
/// A copy that covers this share of a prompt makes another export not worth it.
const COVERED: f64 = 0.75;
/// Branches of one context that are remembered.
const BRANCHES: usize = 16;
/// Stores fuller than this get room made.
const HIGH_FILL: f64 = 0.9;
/// Share of this owner's copies that is freed at a time when a store is full.
const FREED_AT_ONCE: f64 = 0.05;
/// Fullest store that still gets exports.
const EXPORT_FILL: f64 = 0.97;
/// Weight of the newest context in the learned share of contexts that return.
const RETURN_STEP: f64 = 0.02;
/// Contexts are exported at their first answer while at least this share returns.
const LEAST_RETURN: f64 = 0.1;

/// Kept copies of the contexts that one node owns.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Largest number of contexts.
    capacity: usize,
    contexts: HashMap<BlockKey, Context>,
    /// Invariant: one element for each context, with its `last_seen`.
    by_age: BTreeSet<(BootTime, BlockKey)>,
    /// Copies whose context was forgotten; they only wait to be freed.
    orphans: Vec<Copy>,
    epoch: u64,
    next_generation: u64,
    /// Share of contexts that come back, learned, of 1.
    return_share: f64,
}

#[derive(Clone, Debug)]
struct Context {
    last_seen: BootTime,
    times_seen: u32,
    branches: Vec<Branch>,
    copies: Vec<Copy>,
}

/// One way in which a context was continued.
#[derive(Clone, Debug)]
struct Branch {
    positions: Vec<Position>,
}

#[derive(Clone, Debug)]
struct Copy {
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

/// Tells a store to free an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreeOrder {
    /// The store.
    pub store: TargetId,
    /// The context.
    pub root: BlockKey,
    /// The object.
    pub key: BlockKey,
    /// Its generation.
    pub generation: u64,
    /// The owner's epoch.
    pub owner_epoch: u64,
}

impl Catalog {
    /// An empty catalog of an owner that has just started. `epoch` must be greater than that of
    /// any earlier owner; generations count from it.
    pub fn new(capacity: usize, epoch: u64) -> Catalog {
        Catalog {
            capacity,
            contexts: HashMap::new(),
            by_age: BTreeSet::new(),
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

    /// Whether there is no context.
    pub fn is_empty(&self) -> bool {
        self.contexts.is_empty()
    }

    /// Committed copies of a context. Each is pinned for `PIN`.
    pub fn lookup(&mut self, root: BlockKey, now: BootTime) -> Vec<Kept> {
        let Some(context) = self.contexts.get_mut(&root) else { return Vec::new() };
        let committed = context.copies.iter_mut().filter(|copy| copy.state == CopyState::Committed);
        committed
            .map(|copy| {
                copy.pinned_until = copy.pinned_until.max(now + PIN);
                copy.last_used = now;
                Kept { store: copy.store.clone(), object: copy.object.clone() }
            })
            .collect()
    }

    /// Records that a prompt was answered. Returns an export if one is worth doing now; the copy
    /// counts as being written from then on. `fills` are the stores that can take one, with the
    /// share of each that is used.
    pub fn seen(
        &mut self,
        seen: &Seen,
        fills: &BTreeMap<TargetId, f64>,
        now: BootTime,
    ) -> Option<ExportPlan> {
        let context = self.touch(seen.root, now);
        context.times_seen += 1;
        let times_seen = context.times_seen;
        let stem = context.take_branch(seen);
        let target = worth_keeping(&seen.positions, stem)?;
        if context.covers(&seen.positions, target) {
            return None;
        }
        self.learn_return(times_seen);
        if times_seen == 1 && self.return_share < LEAST_RETURN {
            return None;
        }
        let store = emptiest(fills)?;
        Some(self.start_write(seen.root, target, store, now))
    }

    /// Records how an export ended.
    pub fn written(&mut self, written: &Written, now: BootTime) {
        let Some(context) = self.contexts.get_mut(&written.root) else { return };
        let is_it = |copy: &Copy| {
            copy.object.key == written.key && copy.object.generation == written.generation
        };
        let Some(copy) = context.copies.iter_mut().find(|copy| is_it(copy)) else { return };
        if !matches!(copy.state, CopyState::Writing { .. }) {
            return;
        }
        match &written.kept {
            Some(kept) => {
                copy.object = kept.object.clone();
                copy.state = CopyState::Committed;
                copy.last_used = now;
                let blocks = copy.object.blocks;
                context.free_superseded(blocks);
            }
            // It may be half written: free it, so that the store's room comes back.
            None => copy.state = CopyState::Freeing,
        }
    }

    /// Takes a store's inventory: learns of copies of contexts that this node owns, as first or
    /// second owner, and forgets those that are gone.
    pub fn rebuild(
        &mut self,
        store: &TargetId,
        objects: &[StoredObject],
        owns: impl Fn(BlockKey) -> bool,
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
        for object in objects.iter().filter(|object| owns(object.root)) {
            let context = self.touch_known(object.root, now);
            let known = context.copies.iter().any(|copy| {
                copy.store == *store
                    && copy.object.key == object.key
                    && copy.object.generation == object.generation
            });
            if !known {
                context.copies.push(Copy {
                    store: store.clone(),
                    object: object.clone(),
                    state: CopyState::Committed,
                    // Pins that an earlier owner granted may last that long.
                    pinned_until: now + PIN,
                    last_used: now,
                });
            }
        }
    }

    /// Forgets all copies in a store that is gone.
    pub fn drop_store(&mut self, store: &TargetId) {
        for context in self.contexts.values_mut() {
            context.copies.retain(|copy| copy.store != *store);
        }
        self.orphans.retain(|copy| copy.store != *store);
    }

    /// Forgets contexts that this node does not own any more. Their new owners rebuild them.
    pub fn hand_over(&mut self, owns: impl Fn(BlockKey) -> bool) {
        self.contexts.retain(|root, _| owns(*root));
        self.by_age.retain(|(_, root)| owns(*root));
    }

    /// Lets time pass: what must be freed now, of the contexts that this node `decides` on. An
    /// order is repeated until `freed` is called.
    pub fn tick(
        &mut self,
        fills: &BTreeMap<TargetId, f64>,
        decides: impl Fn(BlockKey) -> bool,
        now: BootTime,
    ) -> Vec<FreeOrder> {
        for (store, fill) in fills {
            if *fill > HIGH_FILL {
                self.make_room(store, &decides, now);
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
            .filter(|copy| decides(copy.object.root))
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
    pub fn freed(&mut self, order: &FreeOrder) {
        let is_it = |copy: &Copy| {
            copy.store == order.store
                && copy.object.key == order.key
                && copy.object.generation == order.generation
        };
        self.orphans.retain(|copy| !is_it(copy));
        if let Some(context) = self.contexts.get_mut(&order.root) {
            context.copies.retain(|copy| !is_it(copy));
        }
    }

    fn touch(&mut self, root: BlockKey, now: BootTime) -> &mut Context {
        if let Some(context) = self.contexts.get(&root) {
            self.by_age.remove(&(context.last_seen, root));
        }
        self.by_age.insert((now, root));
        self.forget_beyond_capacity(root);
        let context = self.contexts.entry(root).or_insert_with(|| Context::new(now));
        context.last_seen = now;
        context
    }

    /// Like `touch`, but a context that is known keeps its age.
    fn touch_known(&mut self, root: BlockKey, now: BootTime) -> &mut Context {
        let at = self.contexts.get(&root).map_or(now, |context| context.last_seen);
        self.touch(root, at)
    }

    fn forget_beyond_capacity(&mut self, keep: BlockKey) {
        while self.by_age.len() > self.capacity {
            let Some((_, oldest)) = self.by_age.iter().find(|(_, root)| *root != keep).copied()
            else {
                return;
            };
            self.by_age.retain(|(_, root)| *root != oldest);
            if let Some(context) = self.contexts.remove(&oldest) {
                let freeing = |copy| Copy { state: CopyState::Freeing, ..copy };
                self.orphans.extend(context.copies.into_iter().map(freeing));
            }
        }
    }

    fn learn_return(&mut self, times_seen: u32) {
        match times_seen {
            1 => self.return_share -= RETURN_STEP * self.return_share,
            // A second visit makes up for its first, which counted as one that does not return.
            2 => self.return_share += 2.0 * RETURN_STEP * (1.0 - self.return_share),
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
        let copy = Copy {
            store: store.clone(),
            object,
            state: CopyState::Writing { until: now + WRITE_TIMEOUT },
            pinned_until: now,
            last_used: now,
        };
        self.touch(root, now).copies.push(copy);
        ExportPlan { root, position, generation, owner_epoch: self.epoch, store }
    }

    /// Marks the copies in a store that are worth least: those unused for longest.
    fn make_room(&mut self, store: &TargetId, decides: impl Fn(BlockKey) -> bool, now: BootTime) {
        let mut copies: Vec<&mut Copy> = self
            .contexts
            .values_mut()
            .flat_map(|context| &mut context.copies)
            .filter(|copy| copy.store == *store && decides(copy.object.root))
            .filter(|copy| copy.state == CopyState::Committed && copy.pinned_until <= now)
            .collect();
        let count = (copies.len() as f64 * FREED_AT_ONCE).ceil() as usize;
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

    /// Remembers how the context was continued. Returns the longest beginning that it shares
    /// with a branch that goes on differently.
    fn take_branch(&mut self, seen: &Seen) -> Option<Position> {
        let mut stem: Option<Position> = None;
        let mut extends = None;
        for (index, branch) in self.branches.iter().enumerate() {
            let common = common(&branch.positions, &seen.positions);
            let whole = common.map(|c| c.blocks) == branch.positions.last().map(|p| p.blocks);
            if whole {
                extends = Some(index);
            } else if common.map(|c| c.blocks) > stem.map(|s| s.blocks) {
                stem = common;
            }
        }
        if let Some(index) = extends {
            self.branches.remove(index);
        }
        self.branches.push(Branch { positions: seen.positions.clone() });
        if self.branches.len() > BRANCHES {
            self.branches.remove(0);
        }
        stem
    }

    /// Whether a copy, committed or being written, makes one of `target` not worth it.
    fn covers(&self, positions: &[Position], target: Position) -> bool {
        let needed = (f64::from(target.blocks) * COVERED) as u32;
        self.copies.iter().filter(|copy| copy.state != CopyState::Freeing).any(|copy| {
            copy.object.blocks >= needed
                && positions.iter().any(|position| position.key == copy.object.key)
        })
    }

    /// Frees committed copies of shorter prefixes that a copy of `blocks` blocks contains.
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
            // A beginning that other branches share is worth keeping for itself.
            let only_here = keys.contains(&copy.object.key) && !shared.contains(&copy.object.key);
            if only_here && copy.state == CopyState::Committed {
                copy.state = CopyState::Freeing;
            }
        }
    }
}

/// What is worth exporting of a prompt: its shared beginning if that is most of it, else all.
fn worth_keeping(positions: &[Position], stem: Option<Position>) -> Option<Position> {
    let tail = *positions.last()?;
    let target = stem.filter(|stem| stem.blocks * 2 >= tail.blocks).unwrap_or(tail);
    (target.blocks >= LEAST_BLOCKS).then_some(target)
}

/// The longest position that two chains share.
fn common(a: &[Position], b: &[Position]) -> Option<Position> {
    let keys: BTreeSet<BlockKey> = a.iter().map(|position| position.key).collect();
    b.iter().rev().find(|position| keys.contains(&position.key)).copied()
}

fn emptiest(fills: &BTreeMap<TargetId, f64>) -> Option<TargetId> {
    fills
        .iter()
        .filter(|(_, fill)| **fill < EXPORT_FILL)
        .min_by(|a, b| a.1.total_cmp(b.1))
        .map(|(store, _)| store.clone())
}
