//! Lists of targets with their place among other lists.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::fleet::{Roster, RosterChange, RosterHistory};

/// Names a list of targets. Two replicas may give the same number to lists that differ: these differ
/// in the digest, too. The later of two lists has the greater name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterName {
    /// Higher than that of every list that its reader had seen.
    pub number: u64,
    /// Of the listed targets.
    pub digest: u64,
}

/// A list of targets with its place among other lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NumberedRoster {
    /// Higher than that of every list that its reader had seen.
    pub number: u64,
    /// That of `roster`.
    digest: u64,
    /// The list.
    pub roster: Arc<Roster>,
}

impl NumberedRoster {
    /// A list with its number.
    pub fn new(number: u64, roster: Arc<Roster>) -> NumberedRoster {
        NumberedRoster { number, digest: roster.digest(), roster }
    }

    /// Its name.
    pub fn name(&self) -> RosterName {
        RosterName { number: self.number, digest: self.digest }
    }

    /// The list that comes after this one by a change; `None` if the change is of another list, or makes
    /// another one.
    pub fn advanced(
        &self,
        before: RosterName,
        name: RosterName,
        change: RosterChange,
        remembered: RosterHistory,
    ) -> Option<NumberedRoster> {
        if self.name() != before {
            return None;
        }
        let mut roster = Roster::clone(&self.roster);
        roster.advance(change, remembered);
        let list = NumberedRoster::new(name.number, Arc::new(roster));
        (list.name() == name).then_some(list)
    }

    /// Takes the later of this list and another one, and who leaves by either of them: a target that
    /// leaves never comes back, and none gets older weights, whichever list is the later one.
    pub fn join(&mut self, other: &NumberedRoster) {
        let (later, earlier) = match other.name() > self.name() {
            true => (other, &*self),
            false => (&*self, other),
        };
        let mut roster = later.roster.clone();
        let joined = Arc::make_mut(&mut roster);
        let lacked_leaving = joined.merge_retired(&earlier.roster);
        let lacked_weights = joined.merge_weights(&earlier.roster);
        let number = match lacked_leaving || lacked_weights {
            true => later.number + 1,
            false => later.number,
        };
        *self = NumberedRoster::new(number, roster);
    }
}
