//! Membership changes, one replica at a time. A new replica is a learner until it has caught up.

use std::fmt;

use super::{NotLeader, Raft, Role};
use crate::ids::NodeId;
use crate::log::types::{Index, Payload, Term};

/// A learner that is at most this many entries behind has caught up.
const MAX_LEARNER_LAG: Index = 8;

/// A change to the set of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// Adds a replica as a learner.
    AddLearner(NodeId),
    /// Makes a learner that has caught up a voter.
    Promote(NodeId),
    /// Removes a voter or learner.
    Remove(NodeId),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::AddLearner(node) => write!(f, "add_learner node={node}"),
            Change::Promote(node) => write!(f, "promote node={node}"),
            Change::Remove(node) => write!(f, "remove node={node}"),
        }
    }
}

/// Why a change was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// This replica is not the leader.
    NotLeader(NotLeader),
    /// Another change, or the leader's first entry, is not committed yet. The change may be retried.
    InProgress,
    /// The learner has not caught up yet. The change may be retried.
    NotCaughtUp,
    /// The node to add is already a replica, the node to promote is not a learner, or the node to remove is not a
    /// replica.
    NotApplicable,
    /// The last voter can't be removed.
    LastVoter,
}

impl Raft {
    /// Proposes a change to the set of replicas.
    ///
    /// # Errors
    /// If the change is not accepted.
    pub fn propose_change(&mut self, change: Change) -> Result<(Term, Index), ChangeError> {
        let Role::Leader(leader) = &self.role else {
            return Err(ChangeError::NotLeader(NotLeader { leader: self.leader }));
        };
        let in_progress = self.log.members_index() > self.commit || self.commit < leader.noop_index;
        if in_progress {
            return Err(ChangeError::InProgress);
        }
        let mut members = self.members.clone();
        match change {
            Change::AddLearner(id) => {
                if members.voters.contains(&id) || !members.learners.insert(id) {
                    return Err(ChangeError::NotApplicable);
                }
            }
            Change::Promote(id) => {
                if !members.learners.remove(&id) {
                    return Err(ChangeError::NotApplicable);
                }
                let match_index =
                    leader.progress.get(&id).map_or(0, |progress| progress.match_index);
                if match_index + MAX_LEARNER_LAG < self.log.last_index() || match_index == 0 {
                    return Err(ChangeError::NotCaughtUp);
                }
                members.voters.insert(id);
            }
            Change::Remove(id) => {
                if !members.learners.remove(&id) && !members.voters.remove(&id) {
                    return Err(ChangeError::NotApplicable);
                }
                if members.voters.is_empty() {
                    return Err(ChangeError::LastVoter);
                }
            }
        }
        self.append_as_leader(Payload::Members(members)).map_err(ChangeError::NotLeader)
    }
}
