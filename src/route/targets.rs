//! Known targets, from the platform's list, which may be out of date.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, TargetId};
use crate::upstream::api::{Presence, Role, Target, TargetList};

/// A target that some node saw leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeavingTarget {
    pub target: TargetId,
    /// The leaving incarnation; later ones are not affected.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug, Default)]
pub struct Targets {
    listed: BTreeMap<TargetId, Target>,
    /// Highest incarnation seen leaving, by target. Never decreases.
    leaving: BTreeMap<TargetId, Incarnation>,
}

impl Targets {
    /// Applies the platform's target list. Returns targets that were not known to be leaving
    /// before.
    pub fn apply_list(&mut self, list: TargetList) -> Vec<LeavingTarget> {
        let mut listed = BTreeMap::new();
        let mut newly_leaving = Vec::new();
        for target in list.targets {
            if target.presence == Presence::Leaving {
                let leaving =
                    LeavingTarget { target: target.id.clone(), incarnation: target.incarnation };
                if self.mark_leaving(&leaving) {
                    newly_leaving.push(leaving);
                }
            }
            // An older list may arrive late; it must not bring back an earlier incarnation.
            let newest = self.listed.get(&target.id).map_or(0, |known| known.incarnation);
            if target.incarnation >= newest {
                listed.insert(target.id.clone(), target);
            } else if let Some(known) = self.listed.remove(&target.id) {
                listed.insert(known.id.clone(), known);
            }
        }
        self.listed = listed;
        newly_leaving
    }

    /// Records that a target is leaving, as seen here or by another node. Returns false if that was
    /// already known.
    pub fn mark_leaving(&mut self, leaving: &LeavingTarget) -> bool {
        let known = self.leaving.entry(leaving.target.clone()).or_default();
        if *known >= leaving.incarnation {
            return false;
        }
        *known = leaving.incarnation;
        true
    }

    /// All targets known to be leaving, to be sent to other nodes.
    pub fn leaving(&self) -> Vec<LeavingTarget> {
        let known = self.leaving.iter().map(|(target, incarnation)| (target.clone(), *incarnation));
        known.map(|(target, incarnation)| LeavingTarget { target, incarnation }).collect()
    }

    pub fn get(&self, id: &str) -> Option<&Target> {
        self.listed.get(id)
    }

    /// Whether new requests may be sent to a target.
    pub fn takes_work(&self, target: &Target) -> bool {
        self.leaving.get(&target.id).is_none_or(|leaving| *leaving < target.incarnation)
    }

    /// Iterates over all listed targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.listed.values()
    }

    /// Instances of a service that accept requests.
    pub fn instances(&self, service: &str) -> Vec<&Target> {
        self.iter()
            .filter(|target| matches!(&target.role, Role::Service { service: s } if s == service))
            .filter(|target| self.takes_work(target))
            .collect()
    }
}
