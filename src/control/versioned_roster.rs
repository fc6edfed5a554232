//! Rosters with a version that orders them across replicas.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::fleet::{Roster, RosterChange, RosterHistory};

/// The version of a roster. Replicas may assign the same number to different rosters, whose digests
/// then differ. Later rosters compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterVersion {
    /// Higher than that of any roster its creator had seen.
    pub number: u64,
    /// A digest of the listed targets.
    pub digest: u64,
}

/// A roster with its version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionedRoster {
    /// Higher than that of any roster its creator had seen.
    pub number: u64,
    pub roster: Arc<Roster>,
}

impl VersionedRoster {
    /// Assigns a number to a roster.
    pub fn new(number: u64, roster: Arc<Roster>) -> VersionedRoster {
        VersionedRoster { number, roster }
    }

    /// The version of the roster.
    pub fn version(&self) -> RosterVersion {
        RosterVersion { number: self.number, digest: self.roster.targets().digest() }
    }

    /// Applies a change. Returns `None` if the change is based on another roster or does not lead
    /// to `version`.
    pub fn with_change(
        &self,
        before: RosterVersion,
        version: RosterVersion,
        change: RosterChange,
        remembered: RosterHistory,
    ) -> Option<VersionedRoster> {
        if self.version() != before {
            return None;
        }
        let mut roster = Roster::clone(&self.roster);
        roster.advance(change, remembered);
        let changed_roster = VersionedRoster::new(version.number, Arc::new(roster));
        (changed_roster.version() == version).then_some(changed_roster)
    }

    /// Merges another roster into this one. Targets that leave according to either roster keep
    /// leaving, and weights found on engines are kept, whichever roster is later.
    pub fn merge(&mut self, other: &VersionedRoster) {
        let (later, earlier) = match other.version() > self.version() {
            true => (other, &*self),
            false => (&*self, other),
        };
        let mut roster = later.roster.clone();
        let merged = Arc::make_mut(&mut roster);
        let lacked_leaving = merged.merge_retired(&earlier.roster);
        let lacked_weights = merged.merge_weights(&earlier.roster);
        let number = match lacked_leaving || lacked_weights {
            true => later.number + 1,
            false => later.number,
        };
        *self = VersionedRoster::new(number, roster);
    }
}
