//! The engines that a scheduler knows, indexed by load and by the parts that they hold, so that a
//! placement examines a bounded number of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use super::engine::Engine;
use super::engine_cache::PartKey;
use crate::clock::BootTime;
use crate::fleet::{Listed, Presence};
use crate::ids::{DomainId, ServiceId, SoftwareVersion, TargetStart};

/// Identifies an engine within one scheduler. Numbers are not reused.
pub type EngineNumber = u32;

/// Engines that differ for a new prompt only in their load and in the parts that they hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineGroup {
    pub service: ServiceId,
    pub failure_domain: DomainId,
    pub software: SoftwareVersion,
    pub weight_version: Option<u64>,
    /// Engines that are ejected or on trial are apart: they are idle and would otherwise come
    /// before all others.
    pub is_unhealthy: bool,
}

/// The engines of a group, by their number of running prompts, corrected by their speed, and then by
/// the end of their prefill backlog. Among idle engines the one that was idle for longest comes first, so that contexts
/// spread over all caches.
#[derive(Clone, Debug, Default)]
pub struct LoadOrder {
    by_level: BTreeMap<u32, BTreeSet<(BootTime, EngineNumber)>>,
    len: usize,
}

/// The place of an engine in the load order.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Position {
    group: Arc<EngineGroup>,
    level: u32,
    prefill_free_at: BootTime,
}

#[derive(Clone, Debug)]
struct IndexedEngine {
    engine: Engine,
    /// `None` if the engine takes no prompts.
    position: Option<Position>,
}

/// All engines of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    engines: FxHashMap<EngineNumber, IndexedEngine>,
    numbers: BTreeMap<TargetStart, EngineNumber>,
    /// The engine that was last listed at an address.
    by_address: FxHashMap<SocketAddr, EngineNumber>,
    groups: BTreeMap<Arc<EngineGroup>, LoadOrder>,
    /// Engines that hold or compute a part. Invariant: exactly those whose cache contains it.
    holders: FxHashMap<PartKey, BTreeSet<EngineNumber>>,
    next_number: EngineNumber,
}

impl LoadOrder {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The engines with equally many running prompts, corrected by speed, the least loaded first. Each set is ordered by
    /// the end of the prefill backlog.
    pub fn levels(
        &self,
    ) -> impl Iterator<Item = impl Iterator<Item = (BootTime, EngineNumber)> + '_> + '_ {
        self.by_level.values().map(|level| level.iter().copied())
    }

    fn insert(&mut self, number: EngineNumber, position: &Position) {
        let level = self.by_level.entry(position.level).or_default();
        self.len += usize::from(level.insert((position.prefill_free_at, number)));
    }

    fn remove(&mut self, number: EngineNumber, position: &Position) {
        let Some(level) = self.by_level.get_mut(&position.level) else { return };
        self.len -= usize::from(level.remove(&(position.prefill_free_at, number)));
        if level.is_empty() {
            self.by_level.remove(&position.level);
        }
    }
}

impl Engines {
    pub fn count(&self) -> u32 {
        self.numbers.len() as u32
    }

    pub fn number(&self, start: &TargetStart) -> Option<EngineNumber> {
        self.numbers.get(start).copied()
    }

    pub fn get(&self, number: EngineNumber) -> Option<&Engine> {
        self.engines.get(&number).map(|indexed| &indexed.engine)
    }

    pub fn get_by_start(&self, start: &TargetStart) -> Option<&Engine> {
        self.get(self.number(start)?)
    }

    /// The engine that was last listed at an address.
    pub fn number_at(&self, address: &SocketAddr) -> Option<EngineNumber> {
        let number = self.by_address.get(address).copied()?;
        self.get(number).filter(|engine| engine.listed.address == *address).map(|_| number)
    }

    /// All engines by their starts.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetStart, &Engine)> {
        self.numbers.iter().filter_map(|(start, number)| Some((start, self.get(*number)?)))
    }

    /// The groups of a service that are not empty.
    pub fn groups(&self, service: &str) -> impl Iterator<Item = (&EngineGroup, &LoadOrder)> {
        let first = EngineGroup {
            service: service.to_string(),
            failure_domain: DomainId::new(),
            software: SoftwareVersion::new(),
            weight_version: None,
            is_unhealthy: false,
        };
        let groups = self.groups.range((Bound::Included(first), Bound::Unbounded));
        let groups = groups.map(|(group, order)| (group.as_ref(), order));
        groups.take_while(move |(group, _)| group.service == service)
    }

    /// Engines that hold or compute a part, in an order that starts at `from`.
    pub fn holders(
        &self,
        key: PartKey,
        from: EngineNumber,
    ) -> impl Iterator<Item = EngineNumber> + '_ {
        let holders = self.holders.get(&key);
        let after = holders.into_iter().flat_map(move |all| all.range(from..));
        let before = holders
            .into_iter()
            .flat_map(move |all| all.range((Bound::Unbounded, Bound::Excluded(from))));
        after.chain(before).copied()
    }

    /// Whether any engine holds or computes a part.
    pub fn is_held(&self, key: PartKey) -> bool {
        self.holders.contains_key(&key)
    }

    /// Adds an engine that is not known yet.
    pub fn insert(&mut self, engine: Engine) {
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(engine.listed.start.clone(), number);
        self.by_address.insert(engine.listed.address, number);
        self.engines.insert(number, IndexedEngine { engine, position: None });
        self.reindex(number);
    }

    /// Changes an engine and updates the indexes. Returns `None` if it is unknown.
    pub fn update<T>(
        &mut self,
        number: EngineNumber,
        change: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        let result = change(&mut self.engines.get_mut(&number)?.engine);
        self.reindex(number);
        Some(result)
    }

    /// The same for the engine of a start.
    pub fn update_by_start<T>(
        &mut self,
        start: &TargetStart,
        change: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        self.update(self.number(start)?, change)
    }

    /// Replaces the listing of an engine. Returns false if the engine is unknown.
    pub fn relist(&mut self, listed: &Arc<Listed>) -> bool {
        let Some(number) = self.number(&listed.start) else { return false };
        // Most listings are the same as before, and shared.
        if self.get(number).is_some_and(|known| !Arc::ptr_eq(&known.listed, listed)) {
            self.by_address.insert(listed.address, number);
            self.update(number, |engine| engine.relist(listed.clone()));
        }
        true
    }

    pub fn remove(&mut self, start: &TargetStart) {
        let Some(number) = self.number(start) else { return };
        self.update(number, |engine| engine.cache.clear());
        let address = self.get(number).map(|engine| engine.listed.address);
        if let Some(address) = address.filter(|address| self.number_at(address) == Some(number)) {
            self.by_address.remove(&address);
        }
        self.numbers.remove(start);
        if let Some(IndexedEngine { position: Some(position), .. }) = self.engines.remove(&number) {
            self.remove_from_order(number, &position);
        }
    }

    /// Updates the indexes after a change of an engine.
    fn reindex(&mut self, number: EngineNumber) {
        let Some(indexed) = self.engines.get_mut(&number) else { return };
        let changed_parts = indexed.engine.cache.take_changes();
        let before = indexed.position.take();
        let after = Position::of(&indexed.engine, before.as_ref());
        indexed.position.clone_from(&after);
        match (before, after) {
            (Some(before), Some(after)) if before == after => {}
            (before, after) => {
                before.iter().for_each(|position| self.remove_from_order(number, position));
                after.iter().for_each(|position| self.add_to_order(number, position));
            }
        }
        for (key, is_held) in changed_parts {
            self.index_part(number, key, is_held);
        }
    }

    fn add_to_order(&mut self, number: EngineNumber, position: &Position) {
        self.groups.entry(position.group.clone()).or_default().insert(number, position);
    }

    fn remove_from_order(&mut self, number: EngineNumber, position: &Position) {
        let Some(order) = self.groups.get_mut(&position.group) else { return };
        order.remove(number, position);
        if order.is_empty() {
            self.groups.remove(&position.group);
        }
    }

    fn index_part(&mut self, number: EngineNumber, key: PartKey, is_held: bool) {
        if is_held {
            self.holders.entry(key).or_default().insert(number);
        } else if let Some(holders) = self.holders.get_mut(&key) {
            holders.remove(&number);
            if holders.is_empty() {
                self.holders.remove(&key);
            }
        }
    }
}

impl Position {
    /// The position of an engine; `None` if it takes no prompts.
    fn of(engine: &Engine, before: Option<&Position>) -> Option<Position> {
        if engine.listed.presence != Presence::Live {
            return None;
        }
        let known = before.map(|position| &position.group).filter(|group| group.contains(engine));
        let group = known.cloned().unwrap_or_else(|| Arc::new(EngineGroup::of(engine)));
        let level = engine.load_level();
        Some(Position { group, level, prefill_free_at: engine.prefill_free_at() })
    }
}

impl EngineGroup {
    fn of(engine: &Engine) -> EngineGroup {
        EngineGroup {
            service: engine.listed.service.clone(),
            failure_domain: engine.listed.failure_domain.clone(),
            software: engine.listed.software.clone(),
            weight_version: engine.weight_version,
            is_unhealthy: engine.health.is_unhealthy(),
        }
    }

    fn contains(&self, engine: &Engine) -> bool {
        self.weight_version == engine.weight_version
            && self.is_unhealthy == engine.health.is_unhealthy()
            && self.failure_domain == engine.listed.failure_domain
            && self.software == engine.listed.software
            && self.service == engine.listed.service
    }
}
