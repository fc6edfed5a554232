//! The roster: the list of targets, read from the platform by one replica and distributed to all
//! entries.

use std::cmp::Ordering;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, ModelId, ServiceId, TargetId, TargetStart};

/// A target as last listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub start: TargetStart,
    pub service: ServiceId,
    pub address: SocketAddr,
    pub failure_domain: DomainId,
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
    /// By id. Invariant: for each target, the start that was first listed most recently.
    targets: BTreeMap<TargetId, Listed>,
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
    listed: Listed,
    missed_lists: u32,
}

impl PartialEq for Roster {
    fn eq(&self, other: &Roster) -> bool {
        self.targets == other.targets
    }
}

/// Difference between two rosters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterChange {
    /// Targets that are new or changed.
    pub changed: Vec<Listed>,
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
            if let Some(listed) = self.get(start).cloned() {
                self.absent.insert(start.id.clone(), Absent { listed, missed_lists: 0 });
            }
        }
        self.apply(change);
        let targets = &self.targets;
        self.absent.retain(|id, _| !targets.contains_key(id));
        self.retired.extend(history.retired.into_iter().map(|start| (start, 0)));
        self.downgrades.extend(history.downgrades);
    }

    /// Creates a roster of targets without history.
    pub fn from_targets(targets: Vec<Listed>) -> Roster {
        let targets = targets.into_iter().map(|listed| (listed.start.id.clone(), listed)).collect();
        Roster { targets, ..Roster::default() }
    }

    /// The difference from this roster to a later one.
    pub fn change_to(&self, later: &Roster) -> RosterChange {
        let is_changed = |listed: &&Listed| self.get(&listed.start) != Some(*listed);
        let is_gone = |start: &&TargetStart| later.get(start).is_none();
        RosterChange {
            changed: later.iter().filter(is_changed).cloned().collect(),
            gone: self.iter().map(|listed| &listed.start).filter(is_gone).cloned().collect(),
        }
    }

    /// Applies the difference to a later roster, without its history.
    pub fn apply(&mut self, change: RosterChange) {
        for start in &change.gone {
            if self.get(start).is_some() {
                self.targets.remove(&start.id);
            }
        }
        let changed = change.changed.into_iter().map(|listed| (listed.start.id.clone(), listed));
        self.targets.extend(changed);
    }

    /// Hash of the listed targets; 0 if none is listed.
    pub fn digest(&self) -> u64 {
        if self.targets.is_empty() {
            return 0;
        }
        // Can't fail: all field types are serializable.
        let bytes = postcard::to_stdvec(&self.targets).unwrap_or_default();
        let [a, b, c, d, e, f, g, h, ..] = *blake3::hash(&bytes).as_bytes();
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }

    /// Drops entries that would wrongly replace a target: those of a service that no deployment
    /// names, under the id of a target whose service is named. They come from another writer, and
    /// their births would make them look like later starts. Other entries of unnamed services stay,
    /// since a deployment may name them later.
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
        let was_in_use =
            |id: &TargetId| self.known(id).is_some_and(|known| is_named(&known.service));
        list.retain(|entry| {
            let id = &entry.start.id;
            is_named(&entry.service) || !(in_use.contains(id) || was_in_use(id))
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
        let changed = by_id != self.targets;
        if changed {
            self.absent.retain(|id, _| !by_id.contains_key(id));
            let gone = std::mem::take(&mut self.targets).into_iter();
            let gone = gone.filter(|(id, _)| !by_id.contains_key(id));
            self.absent.extend(gone.map(|(id, listed)| (id, Absent { listed, missed_lists: 0 })));
            self.targets = by_id;
        }
        changed
    }

    /// Merges the retired starts of another roster. Returns whether a listed target changed to
    /// leaving.
    pub fn merge_retired(&mut self, other: &Roster) -> bool {
        for (start, lists) in &other.retired {
            self.retired.entry(start.clone()).or_insert(*lists);
        }
        let mut changed = false;
        for target in self.targets.values_mut() {
            let is_newly_retired =
                target.presence == Presence::Live && self.retired.contains_key(&target.start);
            if is_newly_retired {
                target.presence = Presence::Leaving;
                changed = true;
            }
        }
        changed
    }

    /// Merges the weights recorded in another roster. Returns whether a listed target changed.
    pub fn merge_weights(&mut self, other: &Roster) -> bool {
        let mut changed = false;
        for target in self.targets.values_mut() {
            let other_entry =
                other.known(&target.start.id).filter(|known| known.start == target.start);
            let Some(other_entry) = other_entry else { continue };
            let before = target.weights.clone();
            let downgrades = |roster: &Roster| roster.downgrades.get(&target.start).copied();
            match downgrades(other).cmp(&self.downgrades.get(&target.start).copied()) {
                // A version that was corrected downwards must not return with an older roster.
                Ordering::Less => {}
                Ordering::Equal => raise_weights(&mut target.weights, &other_entry.weights),
                Ordering::Greater => {
                    target.weights.clone_from(&other_entry.weights);
                    let times = downgrades(other).unwrap_or_default();
                    self.downgrades.insert(target.start.clone(), times);
                }
            }
            changed |= target.weights != before;
        }
        changed
    }

    fn expire_absent(&mut self) {
        self.absent.values_mut().for_each(|absent| absent.missed_lists += 1);
        self.absent.retain(|_, absent| absent.missed_lists < ABSENT_TTL_LISTS);
        let (targets, absent) = (&self.targets, &self.absent);
        self.retired.retain(|start, lists| {
            *lists += 1;
            let is_known = targets.contains_key(&start.id) || absent.contains_key(&start.id);
            let ttl = if is_known { RETIRED_TTL_LISTS } else { ABSENT_TTL_LISTS };
            *lists < ttl
        });
        self.downgrades
            .retain(|start, _| targets.contains_key(&start.id) || absent.contains_key(&start.id));
    }

    /// The target's entry in the last list that contained it.
    fn known(&self, id: &str) -> Option<&Listed> {
        self.targets.get(id).or_else(|| self.absent.get(id).map(|absent| &absent.listed))
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
        let known = self.targets.get(&entry.start.id);
        let known = known.or_else(|| self.absent.get(&entry.start.id).map(|absent| &absent.listed));
        if let Some(known) = known {
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
                entry.clone_from(known);
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
        let target = self.targets.get_mut(&start.id).filter(|target| target.start == *start);
        let Some(target) = target else { return false };
        let changed = target.weights != *weights;
        let is_older = |(model, version)| weights.get(model).is_none_or(|found| found < version);
        if target.weights.iter().any(is_older) {
            *self.downgrades.entry(start.clone()).or_default() += 1;
        }
        target.weights.clone_from(weights);
        changed
    }

    pub fn iter(&self) -> impl Iterator<Item = &Listed> {
        self.targets.values()
    }

    pub fn get(&self, start: &TargetStart) -> Option<&Listed> {
        self.targets.get(&start.id).filter(|target| target.start == *start)
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
        && first.failure_domain == other.failure_domain;
    if other.presence == Presence::Leaving {
        first.presence = Presence::Leaving;
    }
    raise_weights(&mut first.weights, &other.weights);
    first.is_cold |= other.is_cold;
    is_same.then_some(first)
}
