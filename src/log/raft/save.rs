//! Tracking of what is durable, and of the time that elections need on slow disks.

use std::time::Duration;

use super::{Raft, Role};
use crate::clock::BootTime;
use crate::log::types::{Index, Vote};

/// Number of saves that a vote may wait for on another replica: the one that is running, and that of the vote.
const SAVES_PER_VOTE: u32 = 2;
/// Number of failed elections after which the extension of the election deadline stops doubling.
const MAX_DOUBLINGS: u32 = 4;

/// A save that is running.
#[derive(Clone, Debug)]
pub(super) struct Save {
    /// Entries up to this index are durable once the save has completed. Lowered if such entries are discarded.
    pub(super) last_index: Index,
    vote: Vote,
    started_at: BootTime,
}

impl Raft {
    /// Records that the current state is being saved.
    pub(super) fn begin_save(&mut self, now: BootTime) {
        self.save =
            Some(Save { last_index: self.log.last_index(), vote: self.vote, started_at: now });
    }

    /// Records that the `persist` that was taken last is durable.
    pub fn saved(&mut self, now: BootTime) {
        let Some(save) = self.save.take() else { return };
        self.last_save_duration = now.saturating_sub(save.started_at);
        self.persisted = self.persisted.max(save.last_index);
        let has_new_vote = self.durable_vote != save.vote;
        self.durable_vote = save.vote;
        if has_new_vote && self.awaits_vote_outcome {
            // The vote is sent to the other replicas only now.
            self.reset_election_deadline(now);
            self.election_deadline += self.election_deadline_extension();
        }
        if self
            .recovering
            .is_some_and(|r| r.target_index.is_some_and(|index| self.persisted >= index))
        {
            self.recovering = None;
        }
        self.advance_commit();
    }

    /// Whether the newest election state is durable. Until then no message may be sent that depends on it.
    pub(super) fn is_vote_durable(&self) -> bool {
        self.vote == self.durable_vote
    }

    /// Whether any state of this replica is not durable yet.
    pub(super) fn has_unsaved(&self) -> bool {
        self.save.is_some() || !self.effects.persist.is_empty()
    }

    /// Records that the entries from `index` on were discarded, so that they no longer count as durable.
    pub(super) fn discard_saved_from(&mut self, index: Index) {
        self.persisted = self.persisted.min(index.saturating_sub(1));
        if let Some(save) = &mut self.save {
            save.last_index = save.last_index.min(index.saturating_sub(1));
        }
    }

    /// Additional time for an election: the other replicas must save their votes, and their disks may be as slow as
    /// this replica's, or slower.
    fn election_deadline_extension(&self) -> Duration {
        let doublings = self.failed_elections.min(MAX_DOUBLINGS);
        self.last_save_duration * SAVES_PER_VOTE
            + self.timing.election_timeout * ((1 << doublings) - 1)
    }

    /// Whether the candidate that this replica has voted for may still win the election.
    pub(super) fn candidate_may_win(&self, now: BootTime) -> bool {
        let awaits_outcome =
            !matches!(self.role, Role::PreCandidate { .. }) && self.awaits_vote_outcome;
        awaits_outcome && (now < self.election_deadline || !self.is_vote_durable())
    }
}
