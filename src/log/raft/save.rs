//! Saves: what is durable, and what may be said before.

use std::time::Duration;

use super::{Raft, Role};
use crate::clock::BootTime;
use crate::log::types::{Index, Vote};

/// Saves of others that a vote waits for: the one that is under way there, and that of the vote.
const SAVES_PER_VOTE: u32 = 2;
/// Candidacies without a winner after which the time for the next one doubles no more.
const MAX_DOUBLINGS: u32 = 4;

/// A save that is under way.
#[derive(Clone, Debug)]
pub(super) struct Save {
    /// Entries up to here are durable with it. Lowered when entries that it holds become void.
    pub(super) last_index: Index,
    vote: Vote,
    started_at: BootTime,
}

impl Raft {
    pub(super) fn begin_save(&mut self, now: BootTime) {
        self.save =
            Some(Save { last_index: self.log.last_index(), vote: self.vote, started_at: now });
    }

    /// The effects that were handed out to be persisted are durable.
    pub fn saved(&mut self, now: BootTime) {
        let Some(save) = self.save.take() else { return };
        self.last_save_duration = now.saturating_sub(save.started_at);
        self.persisted = self.persisted.max(save.last_index);
        let has_new_vote = self.durable_vote != save.vote;
        self.durable_vote = save.vote;
        if has_new_vote && self.awaits_vote_outcome {
            // Others hear of it only now.
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

    /// Whether the vote is durable as it is: until then nothing may be said that rests on it.
    pub(super) fn is_vote_durable(&self) -> bool {
        self.vote == self.durable_vote
    }

    /// Whether anything of what this replica holds is not durable yet.
    pub(super) fn has_unsaved(&self) -> bool {
        self.save.is_some() || !self.effects.persist.is_empty()
    }

    /// Entries from `index` on have become void.
    pub(super) fn discard_saved_from(&mut self, index: Index) {
        self.persisted = self.persisted.min(index.saturating_sub(1));
        if let Some(save) = &mut self.save {
            save.last_index = save.last_index.min(index.saturating_sub(1));
        }
    }

    /// What an election takes beyond its regular time: others save their votes on disks that may be as slow as
    /// this one, or slower.
    fn election_deadline_extension(&self) -> Duration {
        let doublings = self.failed_elections.min(MAX_DOUBLINGS);
        self.last_save_duration * SAVES_PER_VOTE
            + self.timing.election_timeout * ((1 << doublings) - 1)
    }

    /// Whether a candidate that this replica has voted for may still win.
    pub(super) fn candidate_may_win(&self, now: BootTime) -> bool {
        let waits = !matches!(self.role, Role::PreCandidate { .. }) && self.awaits_vote_outcome;
        waits && (now < self.election_deadline || !self.is_vote_durable())
    }
}
