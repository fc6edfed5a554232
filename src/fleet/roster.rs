//! The list of targets: read from the platform by one replica, known to all entries.

use std::cmp::Ordering;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, ModelId, ServiceId, TargetId, TargetStart};

/// A target as it was last listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// This start of it.
    pub start: TargetStart,
    /// The service that it is part of.
    pub service: ServiceId,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub presence: Presence,
    /// The version of each model's weights that it runs.
    pub weights: BTreeMap<ModelId, u64>,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Presence {
    /// It does.
    Live,
    /// It finishes what it has and then goes.
    Leaving,
}

/// A target that was not shown for so many lists is forgotten, with what is known of its starts. Far
/// beyond the platform's lag: 20 s and more.
pub const ABSENT_TTL_LISTS: u32 = 40;
/// An earlier start of a target that is still listed is forgotten after so many lists: half an hour
/// and more.
pub const RETIRED_TTL_LISTS: u32 = 4_000;

/// All listed targets. The platform's list lags, and its readers may see older answers later. Two
/// rosters are equal if they list the same.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Roster {
    /// By id. Invariant: of each target the start that lists showed last for the first time.
    targets: BTreeMap<TargetId, Listed>,
    /// Targets that were listed, and for how many lists they have not been.
    absent: BTreeMap<TargetId, Absent>,
    /// Starts that get no new work any more, since they were seen leaving or another start has taken
    /// their place, and for how many lists they have not been shown.
    retired: BTreeMap<TargetStart, u32>,
    /// How often a listed start was found with older weights than were believed of it.
    downgrades: BTreeMap<TargetStart, u32>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Absent {
    /// As it was last listed.
    listed: Listed,
    missed_lists: u32,
}

impl PartialEq for Roster {
    fn eq(&self, other: &Roster) -> bool {
        self.targets == other.targets
    }
}

/// How one list differs from an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterChange {
    /// Targets that are new, or not as they were.
    pub changed: Vec<Listed>,
    /// Starts of targets that are listed no more.
    pub gone: Vec<TargetStart>,
}

/// What a later list remembers beside the listed targets, and an earlier one does not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterHistory {
    /// Starts that get no new work any more.
    retired: Vec<TargetStart>,
    /// How often a listed start was found with older weights than were believed of it.
    downgrades: BTreeMap<TargetStart, u32>,
}

impl Roster {
    /// What a later list remembers, and this one does not.
    pub fn history_change_to(&self, later: &Roster) -> RosterHistory {
        let retired = later.retired.keys().filter(|start| !self.retired.contains_key(start));
        let downgrades =
            later.downgrades.iter().filter(|(start, n)| self.downgrades.get(start) != Some(n));
        RosterHistory {
            retired: retired.cloned().collect(),
            downgrades: downgrades.map(|(start, n)| (start.clone(), *n)).collect(),
        }
    }

    /// Applies how a later list differs from this one, with what that one remembers.
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

    /// A list of these targets, none of which has been seen before.
    pub fn from_targets(targets: Vec<Listed>) -> Roster {
        let targets = targets.into_iter().map(|listed| (listed.start.id.clone(), listed)).collect();
        Roster { targets, ..Roster::default() }
    }

    /// How a later list differs from this one.
    pub fn change_to(&self, later: &Roster) -> RosterChange {
        let is_changed = |listed: &&Listed| self.get(&listed.start) != Some(*listed);
        let is_gone = |start: &&TargetStart| later.get(start).is_none();
        RosterChange {
            changed: later.iter().filter(is_changed).cloned().collect(),
            gone: self.iter().map(|listed| &listed.start).filter(is_gone).cloned().collect(),
        }
    }

    /// Applies how a later list differs from this one.
    pub fn apply(&mut self, change: RosterChange) {
        for start in &change.gone {
            if self.get(start).is_some() {
                self.targets.remove(&start.id);
            }
        }
        let changed = change.changed.into_iter().map(|listed| (listed.start.id.clone(), listed));
        self.targets.extend(changed);
    }

    /// Names the listed targets: two lists with the same digest list the same, and 0 lists none.
    pub fn digest(&self) -> u64 {
        if self.targets.is_empty() {
            return 0;
        }
        // Cannot fail: targets hold only types that the codec writes.
        let bytes = postcard::to_stdvec(&self.targets).unwrap_or_default();
        let [a, b, c, d, e, f, g, h, ..] = *blake3::hash(&bytes).as_bytes();
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }

    /// Leaves out entries that must not end a target: those of a service that no deployment names, under
    /// the id of a target of a service that one does. Another writer made them, and by their births they
    /// would pass for a later start. Other entries of such services stay: they may be named later.
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

    /// Takes a whole list, which may show a target more than once. Returns whether anything changed.
    pub fn update(&mut self, list: Vec<Listed>) -> bool {
        self.age_missing();
        let mut shown = BTreeMap::new();
        let mut repeated: BTreeMap<TargetId, Vec<Listed>> = BTreeMap::new();
        for entry in list {
            match shown.entry(entry.start.id.clone()) {
                Entry::Vacant(vacant) => drop(vacant.insert(entry)),
                Entry::Occupied(first) => {
                    repeated.entry(first.key().clone()).or_default().push(entry);
                }
            }
        }
        for (id, others) in repeated {
            let first = shown.remove(&id);
            let resolved = first.and_then(|first| self.resolve_duplicates(first, others));
            shown.extend(resolved.map(|entry| (id, entry)));
        }
        shown.values_mut().for_each(|entry| self.merge_known(entry));
        let changed = shown != self.targets;
        if changed {
            self.absent.retain(|id, _| !shown.contains_key(id));
            let gone = std::mem::take(&mut self.targets).into_iter();
            let gone = gone.filter(|(id, _)| !shown.contains_key(id));
            self.absent.extend(gone.map(|(id, listed)| (id, Absent { listed, missed_lists: 0 })));
            self.targets = shown;
        }
        changed
    }

    /// Learns from another list which starts get no new work any more. Returns whether a listed target
    /// was not known to be one of them.
    pub fn merge_retired(&mut self, other: &Roster) -> bool {
        for (start, lists) in &other.retired {
            self.retired.entry(start.clone()).or_insert(*lists);
        }
        let mut changed = false;
        for target in self.targets.values_mut() {
            let is_new_information =
                target.presence == Presence::Live && self.retired.contains_key(&target.start);
            if is_new_information {
                target.presence = Presence::Leaving;
                changed = true;
            }
        }
        changed
    }

    /// Learns from another list which weights starts were found with. Returns whether a listed target
    /// was not known to run them.
    pub fn merge_weights(&mut self, other: &Roster) -> bool {
        let mut changed = false;
        for target in self.targets.values_mut() {
            let theirs = other.known(&target.start.id).filter(|known| known.start == target.start);
            let Some(theirs) = theirs else { continue };
            let before = target.weights.clone();
            let downgrades = |roster: &Roster| roster.downgrades.get(&target.start).copied();
            match downgrades(other).cmp(&self.downgrades.get(&target.start).copied()) {
                // A belief that was found to be too high must not come back with an older list.
                Ordering::Less => {}
                Ordering::Equal => raise_weights(&mut target.weights, &theirs.weights),
                Ordering::Greater => {
                    target.weights.clone_from(&theirs.weights);
                    let times = downgrades(other).unwrap_or_default();
                    self.downgrades.insert(target.start.clone(), times);
                }
            }
            changed |= target.weights != before;
        }
        changed
    }

    fn age_missing(&mut self) {
        self.absent.values_mut().for_each(|absent| absent.missed_lists += 1);
        self.absent.retain(|_, absent| absent.missed_lists < ABSENT_TTL_LISTS);
        let (targets, absent) = (&self.targets, &self.absent);
        self.retired.retain(|start, lists| {
            *lists += 1;
            let is_known = targets.contains_key(&start.id) || absent.contains_key(&start.id);
            let most = if is_known { RETIRED_TTL_LISTS } else { ABSENT_TTL_LISTS };
            *lists < most
        });
        self.downgrades
            .retain(|start, _| targets.contains_key(&start.id) || absent.contains_key(&start.id));
    }

    /// The start that an id had in the last list that showed it.
    fn known(&self, id: &str) -> Option<&Listed> {
        self.targets.get(id).or_else(|| self.absent.get(id).map(|absent| &absent.listed))
    }

    /// Of several entries for one id the one that holds; `None` if they contradict each other.
    fn resolve_duplicates(&self, first: Listed, others: Vec<Listed>) -> Option<Listed> {
        let known = self.known(&first.start.id).map(|known| known.start.clone());
        let is_new = |start: &TargetStart| {
            known.as_ref() != Some(start) && !self.retired.contains_key(start)
        };
        let mut entries = others;
        entries.insert(0, first);
        let mut new = entries.iter().map(|entry| &entry.start).filter(|start| is_new(start));
        let start = match new.next() {
            // Which of two starts is the later one could only be guessed.
            Some(start) if new.any(|other| other != start) => return None,
            Some(start) => start.clone(),
            None => known.unwrap_or_else(|| entries[0].start.clone()),
        };
        let mut of_start = entries.into_iter().filter(|entry| entry.start == start);
        of_start.next().and_then(|first| of_start.try_fold(first, merge_entries))
    }

    /// Adds to an entry what is known beside it.
    fn merge_known(&mut self, entry: &mut Listed) {
        let known = self.targets.get(&entry.start.id);
        let known = known.or_else(|| self.absent.get(&entry.start.id).map(|absent| &absent.listed));
        if let Some(known) = known {
            if entry.start.born_ms.is_none() {
                entry.start.clone_from(&known.start);
            }
            if entry.start == known.start {
                // The list lags behind what was found out: one start never gets older weights.
                raise_weights(&mut entry.weights, &known.weights);
            } else if let Some(lists) = self.retired.get_mut(&entry.start) {
                // Late news of an earlier start says nothing about the later one.
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

    /// Records the weights that a target was found with.
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

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Listed> {
        self.targets.values()
    }

    /// A target.
    pub fn get(&self, start: &TargetStart) -> Option<&Listed> {
        self.targets.get(&start.id).filter(|target| target.start == *start)
    }

    /// How many are listed.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}

/// Of each model the higher version holds: one start never gets older weights.
fn raise_weights(known: &mut BTreeMap<ModelId, u64>, others: &BTreeMap<ModelId, u64>) {
    for (model, version) in others {
        let known = known.entry(model.clone()).or_default();
        *known = (*known).max(*version);
    }
}

/// Two entries for one start as one: what says that it leaves holds, whichever was written later.
/// `None` if they are of different targets.
fn merge_entries(mut first: Listed, other: Listed) -> Option<Listed> {
    let is_same = first.service == other.service
        && first.address == other.address
        && first.failure_domain == other.failure_domain;
    if other.presence == Presence::Leaving {
        first.presence = Presence::Leaving;
    }
    raise_weights(&mut first.weights, &other.weights);
    is_same.then_some(first)
}
