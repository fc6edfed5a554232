//! Changes of the replicas, one at a time; a new replica learns first and counts only when it has
//! caught up.

use super::{NotLeader, Raft, Role};
use crate::ids::NodeId;
use crate::log::types::{Index, Payload, Term};

/// A learner that lacks at most this many entries has caught up.
const MAX_LEARNER_LAG: Index = 8;

/// One change of the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// Adds a replica that does not count yet.
    AddLearner(NodeId),
    /// Lets a learner that has caught up count.
    Promote(NodeId),
    /// Takes a replica out.
    Remove(NodeId),
}

/// Why a change is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// This replica does not lead.
    NotLeader(NotLeader),
    /// Another change is not committed yet, or the leader is new: try again.
    InProgress,
    /// The learner has not caught up yet: try again.
    NotCaughtUp,
    /// It is a replica already, or none.
    NotApplicable,
    /// It is the last voter.
    LastVoter,
}

impl Raft {
    /// Proposes a change of the replicas.
    ///
    /// # Errors
    /// Why it is not accepted.
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
