//! The roster: the list of targets, read from the platform by one replica and distributed to all
//! entries.

use std::cmp::Ordering;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::target_table::TargetTable;
use crate::ids::{DomainId, ModelId, ServiceId, SoftwareVersion, TargetId, TargetStart};

/// A target as last listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    pub start: TargetStart,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub failure_domain: DomainId,
    /// What it writes only fits what others of the same version write.
    pub software: SoftwareVersion,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    pub presence: Presence,
    /// Version of each model's weights that it runs.
    pub weights: BTreeMap<ModelId, u64>,
    /// Whether it is still cold after its start.
    pub is_cold: bool,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It takes new work.
    Live,
    /// It finishes its current work and then stops.
    Leaving,
}

/// A target missing from this many consecutive lists is forgotten, together with its retired
/// starts. That is 20 s and more, far longer than the platform's list lags.
pub const ABSENT_TTL_LISTS: u32 = 40;
/// A retired start of a target that is still known is forgotten after this many lists without it, half
/// an hour and more.
pub const RETIRED_TTL_LISTS: u32 = 4_000;

/// All listed targets. The platform's list lags, and successive reads may return older states.
/// Rosters compare equal if they list the same targets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Roster {
    /// Invariant: for each target, the start that was first listed most recently.
    targets: TargetTable,
    /// Targets that are no longer listed.
    absent: BTreeMap<TargetId, Absent>,
    /// Starts that take no new work, since they were listed as leaving or were replaced by another
    /// start, with the number of lists since they last appeared.
    retired: BTreeMap<TargetStart, u32>,
    /// How often a listed start was found with older weights than recorded.
    downgrades: BTreeMap<TargetStart, u32>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Absent {
    listed: Arc<Listed>,
    missed_lists: u32,
}

impl PartialEq for Roster {
    fn eq(&self, other: &Roster) -> bool {
        self.targets == other.targets
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterChange {
    /// Targets that are new or changed.
    pub changed: Vec<Arc<Listed>>,
    /// Starts that are no longer listed.
    pub gone: Vec<TargetStart>,
}

/// History that a later roster has and an earlier one lacks, besides the listed targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterHistory {
    /// Starts that take no new work.
    retired: Vec<TargetStart>,
    /// How often a listed start was found with older weights than recorded.
    downgrades: BTreeMap<TargetStart, u32>,
}

impl Roster {
    /// The history that `later` has and this roster lacks.
    pub fn history_change_to(&self, later: &Roster) -> RosterHistory {
        let retired = later.retired.keys().filter(|start| !self.retired.contains_key(start));
        let downgrades =
            later.downgrades.iter().filter(|(start, n)| self.downgrades.get(start) != Some(n));
        RosterHistory {
            retired: retired.cloned().collect(),
            downgrades: downgrades.map(|(start, n)| (start.clone(), *n)).collect(),
        }
    }

    /// Applies the difference to a later roster, including its history.
    pub fn advance(&mut self, change: RosterChange, history: RosterHistory) {
        for start in &change.gone {
            if let Some(listed) = self.targets.get(start).cloned() {
                self.absent.insert(start.id.clone(), Absent { listed, missed_lists: 0 });
            }
        }
        self.apply(change);
        let targets = &self.targets;
        self.absent.retain(|id, _| targets.get_by_id(id).is_none());
        self.retired.extend(history.retired.into_iter().map(|start| (start, 0)));
        self.downgrades.extend(history.downgrades);
    }

    /// The difference from this roster to a later one.
    pub fn change_to(&self, later: &Roster) -> RosterChange {
        self.targets.change_to(&later.targets)
    }

    /// Applies the difference to a later roster, without its history.
    pub fn apply(&mut self, change: RosterChange) {
        for start in &change.gone {
            self.targets.remove(start);
        }
        self.add(change.changed);
    }

    /// Adds targets, which replace those under the same ids.
    pub fn add(&mut self, targets: impl IntoIterator<Item = Arc<Listed>>) {
        for listed in targets {
            self.targets.insert(listed);
        }
    }

    /// The listed targets without the history.
    pub fn targets(&self) -> &TargetTable {
        &self.targets
    }

    /// Drops entries that would wrongly replace a target: those of a service that no deployment
    /// names, under the id of a target of another service. They come from another writer, and
    /// their births would make them look like later starts. Other entries of unnamed services stay,
    /// since a deployment may name them later: a replica that starts knows none until it has
    /// applied its log.
    pub fn without_unnamed(
        &self,
        mut list: Vec<Listed>,
        is_named: impl Fn(&ServiceId) -> bool,
    ) -> Vec<Listed> {
        if list.iter().all(|entry| is_named(&entry.service)) {
            return list;
        }
        let named = list.iter().filter(|entry| is_named(&entry.service));
        let in_use: BTreeSet<TargetId> = named.map(|entry| entry.start.id.clone()).collect();
        let replaces_another = |entry: &Listed| {
            self.known(&entry.start.id).is_some_and(|known| known.service != entry.service)
        };
        list.retain(|entry| {
            is_named(&entry.service)
                || !(in_use.contains(&entry.start.id) || replaces_another(entry))
        });
        list
    }

    /// Applies a complete list, in which targets may occur more than once. Returns whether the
    /// listed targets changed.
    pub fn update(&mut self, list: Vec<Listed>) -> bool {
        self.expire_absent();
        let mut by_id = BTreeMap::new();
        let mut repeated: BTreeMap<TargetId, Vec<Listed>> = BTreeMap::new();
        for entry in list {
            match by_id.entry(entry.start.id.clone()) {
                Entry::Vacant(vacant) => drop(vacant.insert(entry)),
                Entry::Occupied(first) => {
                    repeated.entry(first.key().clone()).or_default().push(entry);
                }
            }
        }
        for (id, others) in repeated {
            let first = by_id.remove(&id);
            let resolved = first.and_then(|first| self.resolve_duplicates(first, others));
            by_id.extend(resolved.map(|entry| (id, entry)));
        }
        by_id.values_mut().for_each(|entry| self.merge_known(entry));
        self.replace_targets(by_id)
    }

    /// Replaces the listed targets. Returns whether they changed.
    fn replace_targets(&mut self, by_id: BTreeMap<TargetId, Listed>) -> bool {
        let is_gone = |listed: &&Arc<Listed>| !by_id.contains_key(&listed.start.id);
        let gone: Vec<Arc<Listed>> = self.targets.iter().filter(is_gone).cloned().collect();
        let mut changed = !gone.is_empty();
        for listed in gone {
            self.targets.remove(&listed.start);
            self.absent.insert(listed.start.id.clone(), Absent { listed, missed_lists: 0 });
        }
        for (id, listed) in by_id {
            // Unchanged targets stay shared with earlier copies of the roster.
            if self.targets.get_by_id(&id).is_some_and(|known| **known == listed) {
                continue;
            }
            changed = true;
            self.absent.remove(&id);
            self.targets.insert(Arc::new(listed));
        }
        changed
    }

    /// Merges the retired starts of another roster. Returns whether a listed target changed to
    /// leaving.
    pub fn merge_retired(&mut self, other: &Roster) -> bool {
        for (start, lists) in &other.retired {
            self.retired.entry(start.clone()).or_insert(*lists);
        }
        let is_newly_retired = |target: &&Arc<Listed>| {
            target.presence == Presence::Live && self.retired.contains_key(&target.start)
        };
        let newly_retired: Vec<Arc<Listed>> =
            self.targets.iter().filter(is_newly_retired).cloned().collect();
        for target in &newly_retired {
            self.targets.update(&target.start.id, |listed| listed.presence = Presence::Leaving);
        }
        !newly_retired.is_empty()
    }

    /// Merges the weights recorded in another roster. Returns whether a listed target changed.
    pub fn merge_weights(&mut self, other: &Roster) -> bool {
        let mut merged: Vec<(TargetId, BTreeMap<ModelId, u64>)> = Vec::new();
        for target in self.targets.iter() {
            let other_entry =
                other.known(&target.start.id).filter(|known| known.start == target.start);
            let Some(other_entry) = other_entry else { continue };
            let mut weights = target.weights.clone();
            let downgrades = |roster: &Roster| roster.downgrades.get(&target.start).copied();
            match downgrades(other).cmp(&downgrades(self)) {
                // A version that was corrected downwards must not return with an older roster.
                Ordering::Less => {}
                Ordering::Equal => raise_weights(&mut weights, &other_entry.weights),
                Ordering::Greater => {
                    weights.clone_from(&other_entry.weights);
                    let times = downgrades(other).unwrap_or_default();
                    self.downgrades.insert(target.start.clone(), times);
                }
            }
            if weights != target.weights {
                merged.push((target.start.id.clone(), weights));
            }
        }
        let changed = !merged.is_empty();
        for (id, weights) in merged {
            self.targets.update(&id, |listed| listed.weights = weights);
        }
        changed
    }

    fn expire_absent(&mut self) {
        self.absent.values_mut().for_each(|absent| absent.missed_lists += 1);
        self.absent.retain(|_, absent| absent.missed_lists < ABSENT_TTL_LISTS);
        let (targets, absent) = (&self.targets, &self.absent);
        self.retired.retain(|start, lists| {
            *lists += 1;
            let is_known = targets.get_by_id(&start.id).is_some() || absent.contains_key(&start.id);
            let ttl = if is_known { RETIRED_TTL_LISTS } else { ABSENT_TTL_LISTS };
            *lists < ttl
        });
        self.downgrades.retain(|start, _| {
            targets.get_by_id(&start.id).is_some() || absent.contains_key(&start.id)
        });
    }

    /// The target's entry in the last list that contained it.
    fn known(&self, id: &str) -> Option<&Arc<Listed>> {
        self.targets.get_by_id(id).or_else(|| self.absent.get(id).map(|absent| &absent.listed))
    }

    /// Resolves several entries of one id into one; `None` if they conflict.
    fn resolve_duplicates(&self, first: Listed, others: Vec<Listed>) -> Option<Listed> {
        let known = self.known(&first.start.id).map(|known| known.start.clone());
        let is_new = |start: &TargetStart| {
            known.as_ref() != Some(start) && !self.retired.contains_key(start)
        };
        let mut entries = others;
        entries.insert(0, first);
        let mut new = entries.iter().map(|entry| &entry.start).filter(|start| is_new(start));
        let start = match new.next() {
            // Nothing tells which of two new starts is the later one.
            Some(start) if new.any(|other| other != start) => return None,
            Some(start) => start.clone(),
            None => known.unwrap_or_else(|| entries[0].start.clone()),
        };
        let mut of_start = entries.into_iter().filter(|entry| entry.start == start);
        of_start.next().and_then(|first| of_start.try_fold(first, merge_entries))
    }

    /// Merges what is already known of a target into its new entry.
    fn merge_known(&mut self, entry: &mut Listed) {
        if let Some(known) = self.known(&entry.start.id).cloned() {
            if entry.start.born_ms.is_none() {
                entry.start.clone_from(&known.start);
            }
            if entry.start == known.start {
                // The list lags behind versions found elsewhere, and the weights of a start only
                // rise.
                raise_weights(&mut entry.weights, &known.weights);
            } else if let Some(lists) = self.retired.get_mut(&entry.start) {
                // A late entry of a retired start does not affect the current one.
                *lists = 0;
                entry.clone_from(&known);
            } else {
                self.retired.insert(known.start.clone(), 0);
            }
        }
        match self.retired.get_mut(&entry.start) {
            Some(lists) => {
                *lists = 0;
                entry.presence = Presence::Leaving;
            }
            None if entry.presence == Presence::Leaving => {
                self.retired.insert(entry.start.clone(), 0);
            }
            None => {}
        }
    }

    /// Sets the weights that a target was found to run. Returns whether they changed.
    pub fn set_weights(&mut self, start: &TargetStart, weights: &BTreeMap<ModelId, u64>) -> bool {
        let Some(target) = self.targets.get(start) else { return false };
        let changed = target.weights != *weights;
        let is_older = |(model, version)| weights.get(model).is_none_or(|found| found < version);
        if target.weights.iter().any(is_older) {
            *self.downgrades.entry(start.clone()).or_default() += 1;
        }
        if changed {
            self.targets.update(&start.id, |listed| listed.weights.clone_from(weights));
        }
        changed
    }

    pub fn iter(&self) -> impl Iterator<Item = &Listed> {
        self.targets.iter().map(AsRef::as_ref)
    }

    pub fn get(&self, start: &TargetStart) -> Option<&Listed> {
        self.targets.get(start).map(AsRef::as_ref)
    }

    pub fn len(&self) -> usize {
        self.targets.len()
    }

    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

/// Raises each model's version to the higher of the two: the weights of a start only rise.
fn raise_weights(known: &mut BTreeMap<ModelId, u64>, others: &BTreeMap<ModelId, u64>) {
    for (model, version) in others {
        let known = known.entry(model.clone()).or_default();
        *known = (*known).max(*version);
    }
}

/// Merges two entries of one start; leaving takes precedence, since the order of the writes is
/// unknown. `None` if they describe different targets.
fn merge_entries(mut first: Listed, other: Listed) -> Option<Listed> {
    let is_same = first.service == other.service
        && first.address == other.address
        && first.failure_domain == other.failure_domain
        && first.software == other.software;
    if other.presence == Presence::Leaving {
        first.presence = Presence::Leaving;
    }
    raise_weights(&mut first.weights, &other.weights);
    first.is_cold |= other.is_cold;
    is_same.then_some(first)
}
