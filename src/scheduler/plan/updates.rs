//! State updates: the deployment, targets, weights, and the contents of engine caches and stores.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::{EngineClock, Scheduler};
use crate::clock::BootTime;
use crate::deployment::{Deployment, ServiceRole};
use crate::fleet::evacuation::EvacuatedDomains;
use crate::fleet::{Listed, Roster, RosterChange};
use crate::ids::TargetStart;
use crate::scheduler::engine::Engine;
use crate::scheduler::engine_cache::PartKey;
use crate::scheduler::store::{FreePlan, Inventory, Store, StoreEvent, part_key};
use crate::scheduler::weights::{OldWeightsPolicy, RolloutHistories};

impl Scheduler {
    /// Sets how long prompts may start on old weights after newer ones were named.
    pub fn set_old_weights(&mut self, old_weights: OldWeightsPolicy) {
        self.weights.old_weights = old_weights;
    }

    /// Sets the engines that are changing their weights; they get no prompts.
    pub fn observe_changing(&mut self, changing: &BTreeSet<TargetStart>) {
        if self.weights.changing != *changing {
            self.weights.changing.clone_from(changing);
        }
    }

    /// Sets the rollout history of each model.
    pub fn observe_named(&mut self, named: &RolloutHistories) {
        if self.weights.named != *named {
            self.weights.named.clone_from(named);
        }
    }

    /// Sets the evacuated failure domains; their engines get no prompts.
    pub fn observe_evacuated(&mut self, evacuated: &EvacuatedDomains) {
        if self.evacuated != *evacuated {
            self.evacuated.clone_from(evacuated);
        }
    }

    /// Engines whose weight version must be queried, with their addresses.
    pub fn unverified_engines(&self) -> Vec<(TargetStart, SocketAddr)> {
        let listed =
            |id: &TargetStart| Some((id.clone(), self.engines.get_by_start(id)?.listed.address));
        self.weights.unverified.iter().filter_map(listed).collect()
    }

    /// Ends the verification of an engine's weights. If the query failed (`None`), the engine gets
    /// prompts again: it refuses those that need other weights.
    pub fn resolve_weights(&mut self, engine: &TargetStart, weight_version: Option<u64>) {
        self.weights.unverified.remove(engine);
        self.engines.update_by_start(engine, |engine| engine.set_weights(weight_version));
    }

    /// Number of prompts placed on an engine that have not ended.
    pub fn placed_on(&self, engine: &TargetStart) -> u32 {
        self.engines.get_by_start(engine).map_or(0, Engine::active_placements)
    }

    /// Applies a deployment. Stores that are unchanged keep their state.
    pub fn observe_deployment(&mut self, deployment: &Deployment) {
        self.engine_specs.clear();
        self.cold_starts.clear();
        let mut stores = BTreeMap::new();
        for (name, service) in &deployment.services {
            if let Some(cold_start) = service.cold_start {
                self.cold_starts.insert(name.clone(), cold_start);
            }
            match &service.role {
                ServiceRole::Engines(spec) => {
                    self.engine_specs.insert(name.clone(), spec.clone());
                }
                ServiceRole::Store(spec) => {
                    let known = self.stores.remove(&spec.address);
                    let store = known.filter(|store| store.spec == *spec);
                    let store = store.unwrap_or_else(|| Store::new(spec.clone()));
                    stores.insert(spec.address, store);
                }
                ServiceRole::Plain => {}
            }
        }
        self.stores = stores;
        let roster = self.roster.clone();
        roster.iter().for_each(|listed| self.list_engine(listed));
    }

    pub fn observe_roster(&mut self, roster: &Roster) {
        let RosterChange { changed, gone } = self.roster.change_to(roster.targets());
        self.roster = roster.targets().clone();
        let suspended = std::mem::take(&mut self.suspended);
        for start in suspended.into_iter().chain(gone) {
            match self.roster.get(&start).cloned() {
                Some(listed) => self.list_engine(&listed),
                None => self.unlist_engine(start),
            }
        }
        changed.iter().for_each(|listed| self.list_engine(listed));
        self.weights.unverified.retain(|id| roster.get(id).is_some());
    }

    /// Adds or updates a listed target if it is an engine.
    fn list_engine(&mut self, listed: &Arc<Listed>) {
        if self.engines.relist(listed) {
            return;
        }
        let Some(spec) = self.engine_specs.get(&listed.service) else { return };
        let version = listed.weights.values().next().copied();
        let engine = Engine::new(listed.clone(), version, spec.capacity_tokens, spec.link_mbps);
        self.engines.insert(engine);
    }

    /// Removes an engine that is no longer listed. One with active prompts is kept, since a target
    /// that is missing from one list may be listed again.
    fn unlist_engine(&mut self, start: TargetStart) {
        if self.placed_on(&start) == 0 {
            self.engines.remove(&start);
        } else {
            self.engines.update_by_start(&start, Engine::mark_leaving);
            self.suspended.insert(start);
        }
    }

    pub fn engines(&self) -> Vec<(TargetStart, SocketAddr)> {
        self.engines.iter().map(|(id, engine)| (id.clone(), engine.listed.address)).collect()
    }

    /// Applies an engine's cache events, oldest first. Returns how many parts of its current
    /// weights it holds.
    pub fn observe_cache_events(&mut self, engine: &TargetStart, events: Vec<StoreEvent>) -> usize {
        let Some(number) = self.engines.number(engine) else { return 0 };
        let version = self.engines.get(number).and_then(|engine| engine.weight_version);
        let weights = format!("/{}", version.unwrap_or_default());
        let mut held: BTreeMap<(String, String), (usize, u64)> = BTreeMap::new();
        for (order, event) in events.into_iter().enumerate() {
            match event {
                StoreEvent::Stored(part) => {
                    held.insert((part.salt, part.id), (order, part.tokens));
                }
                StoreEvent::Removed(part) => drop(held.remove(&(part.salt, part.id))),
            }
        }
        held.retain(|(salt, _), _| salt.ends_with(&weights));
        let mut parts: Vec<(usize, PartKey, u64)> = held
            .iter()
            .map(|((salt, id), (order, tokens))| (*order, part_key(salt, id), *tokens))
            .collect();
        parts.sort_unstable_by_key(|(order, ..)| *order);
        self.engines.update(number, |engine| {
            parts.iter().for_each(|(_, key, tokens)| engine.cache.insert_idle(*key, *tokens));
        });
        parts.len()
    }

    pub fn stores(&self) -> Vec<SocketAddr> {
        self.stores.keys().copied().collect()
    }

    /// Applies a full inventory of a store.
    pub fn observe_inventory(&mut self, store: SocketAddr, inventory: Inventory, now: BootTime) {
        if let Some(store) = self.stores.get_mut(&store) {
            store.observe_inventory(inventory, now);
        }
    }

    /// Applies events reported by a store.
    pub fn observe_events(&mut self, store: SocketAddr, events: Vec<StoreEvent>, now: BootTime) {
        if let Some(store) = self.stores.get_mut(&store) {
            events.into_iter().for_each(|event| store.observe_event(event, now));
        }
    }

    /// Discards the known contents of a store that restarted or can't be reached.
    pub fn reset_store(&mut self, store: SocketAddr) {
        if let Some(store) = self.stores.get_mut(&store) {
            store.reset();
        }
    }

    /// Records a reading of the engines' clock. Its answer took time to arrive, so the clock is at
    /// least this far.
    pub fn read_clock(&mut self, at_ms: u64, read_at: BootTime) {
        self.clock = Some(EngineClock { at_ms, read_at });
    }

    /// Estimate of the engines' clock at `now`; never ahead of it.
    pub fn engines_clock_ms(&self, now: BootTime) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.at_ms + now.saturating_sub(clock.read_at).as_millis() as u64)
    }

    /// Plans which parts each store frees now.
    pub fn plan_frees(&mut self, now: BootTime) -> Vec<FreePlan> {
        if now < self.frees_allowed_from {
            return Vec::new();
        }
        self.stores.values_mut().filter_map(|store| store.plan_frees(now)).collect()
    }

    /// Records that a store has freed the parts of a plan.
    pub fn confirm_freed(&mut self, plan: &FreePlan) {
        if let Some(store) = self.stores.get_mut(&plan.store) {
            store.confirm_freed(plan);
        }
    }
}
