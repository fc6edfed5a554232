//! The targets that a node may send to, from the platform's lagging list.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, TargetId};
use crate::upstream::api::{Presence, Role, Target, TargetList};

/// A target that some node saw leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Leaving {
    /// The target.
    pub target: TargetId,
    /// The start of it that leaves; a later start is live again.
    pub incarnation: Incarnation,
}

/// All targets that are known.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    listed: BTreeMap<TargetId, Target>,
    /// Highest incarnation seen leaving, by target. Never taken back.
    leaving: BTreeMap<TargetId, Incarnation>,
}

impl Targets {
    /// Takes the platform's list. Returns the targets newly seen leaving.
    pub fn take(&mut self, list: TargetList) -> Vec<Leaving> {
        let mut listed = BTreeMap::new();
        let mut news = Vec::new();
        for target in list.targets {
            if target.presence == Presence::Leaving {
                let leaving =
                    Leaving { target: target.id.clone(), incarnation: target.incarnation };
                if self.leave(&leaving) {
                    news.push(leaving);
                }
            }
            // An older answer of the list that comes late must not bring back an old incarnation.
            let newest = self.listed.get(&target.id).map_or(0, |known| known.incarnation);
            if target.incarnation >= newest {
                listed.insert(target.id.clone(), target);
            } else if let Some(known) = self.listed.remove(&target.id) {
                listed.insert(known.id.clone(), known);
            }
        }
        self.listed = listed;
        news
    }

    /// Records that a target leaves, seen here or by another node. False if it was known.
    pub fn leave(&mut self, leaving: &Leaving) -> bool {
        let known = self.leaving.entry(leaving.target.clone()).or_default();
        if *known >= leaving.incarnation {
            return false;
        }
        *known = leaving.incarnation;
        true
    }

    /// Everything known to be leaving, for other nodes.
    pub fn leaving(&self) -> Vec<Leaving> {
        let known = self.leaving.iter().map(|(target, incarnation)| (target.clone(), *incarnation));
        known.map(|(target, incarnation)| Leaving { target, incarnation }).collect()
    }

    /// A listed target.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.listed.get(id)
    }

    /// Whether new work may be sent to a target.
    pub fn takes_work(&self, target: &Target) -> bool {
        self.leaving.get(&target.id).is_none_or(|leaving| *leaving < target.incarnation)
    }

    /// All listed targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.listed.values()
    }

    /// Instances of a service that take work.
    pub fn instances(&self, service: &str) -> Vec<&Target> {
        self.iter()
            .filter(|target| matches!(&target.role, Role::Service { service: s } if s == service))
            .filter(|target| self.takes_work(target))
            .collect()
    }
}
