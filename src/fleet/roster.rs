//! The list of targets: read from the platform by one replica, known to all entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, ModelId, ServiceId, TargetId};

/// A target as it was last listed. Its id names one start of it: a target that starts again has
/// another id, even at the same address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// This start of it.
    pub id: TargetId,
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

/// All listed targets. The platform's list lags, and its readers may see older answers later.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    targets: BTreeMap<TargetId, Listed>,
    /// Targets that were seen leaving. Never taken back while they are listed.
    left: BTreeSet<TargetId>,
}

/// How one list differs from an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterChange {
    /// Targets that are new, or not as they were.
    pub changed: Vec<Listed>,
    /// Targets that are listed no more.
    pub gone: Vec<TargetId>,
}

impl Roster {
    /// How a later list differs from this one.
    pub fn change_to(&self, later: &Roster) -> RosterChange {
        let is_changed = |listed: &&Listed| self.get(&listed.id) != Some(*listed);
        let is_gone = |id: &&TargetId| !later.targets.contains_key(*id);
        RosterChange {
            changed: later.iter().filter(is_changed).cloned().collect(),
            gone: self.targets.keys().filter(is_gone).cloned().collect(),
        }
    }

    /// Applies how a later list differs from this one.
    pub fn apply(&mut self, change: RosterChange) {
        change.gone.iter().for_each(|id| drop(self.targets.remove(id)));
        let changed = change.changed.into_iter().map(|listed| (listed.id.clone(), listed));
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

    /// Learns from another list who leaves. Returns whether a listed target was not known to.
    pub fn learn_leaving(&mut self, other: &Roster) -> bool {
        self.left.extend(other.left.iter().cloned());
        let mut changed = false;
        for target in self.targets.values_mut().filter(|target| self.left.contains(&target.id)) {
            changed |= target.presence != Presence::Leaving;
            target.presence = Presence::Leaving;
        }
        changed
    }

    /// Takes a whole list. Returns whether anything changed.
    pub fn take(&mut self, list: Vec<Listed>) -> bool {
        let mut targets = BTreeMap::new();
        for mut target in list {
            if target.presence == Presence::Leaving || self.left.contains(&target.id) {
                self.left.insert(target.id.clone());
                target.presence = Presence::Leaving;
            }
            // The list lags behind what was found out: one start of a target never gets older weights.
            for (model, known) in self.get(&target.id).iter().flat_map(|known| &known.weights) {
                let version = target.weights.entry(model.clone()).or_default();
                *version = (*version).max(*known);
            }
            targets.insert(target.id.clone(), target);
        }
        let changed = targets != self.targets;
        self.targets = targets;
        changed
    }

    /// Records the weights that a target was found with.
    pub fn set_weights(&mut self, id: &TargetId, weights: &BTreeMap<ModelId, u64>) -> bool {
        let Some(target) = self.targets.get_mut(id) else { return false };
        let changed = target.weights != *weights;
        target.weights.clone_from(weights);
        changed
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &Listed> {
        self.targets.values()
    }

    /// A target.
    pub fn get(&self, id: &str) -> Option<&Listed> {
        self.targets.get(id)
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
