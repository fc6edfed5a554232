//! Elections: pre-votes, votes, and the initial state of a leader.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::restart::EARLY_CAMPAIGN_RETRY;
use super::round_times::RoundTimes;
use super::{Leader, Progress, Raft, Role};
use crate::clock::BootTime;
use crate::ids::NodeId;
use crate::log::types::{Index, Message, Payload, Term, Vote};

impl Raft {
    /// Whether this replica may start an election: as a voter, or as one whose removal is not known to be committed,
    /// because its log may be the only complete one.
    pub(super) fn may_campaign(&self) -> bool {
        let is_voter = self.members.voters.contains(&self.id);
        let may_be_needed =
            !self.members.learners.contains(&self.id) && self.log.members_index() > self.commit;
        (is_voter || may_be_needed) && self.recovering.is_none()
    }

    /// Asks the other voters whether they would vote for this replica in the next term.
    pub(super) fn start_pre_vote(&mut self, now: BootTime) {
        if matches!(self.role, Role::Candidate { .. }) {
            self.failed_elections += 1;
        }
        self.leader = None;
        self.awaits_vote_outcome = false;
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.id]) };
        self.reset_election_deadline(now);
        if self.restart.may_campaign_early(now) {
            self.election_deadline = now + EARLY_CAMPAIGN_RETRY;
        }
        let (last_term, last_index) = self.log.last();
        let term = self.vote.term + 1;
        // A pre-vote does not depend on durable state.
        let requests = self.messages_to_voters(Message::PreVote { term, last_index, last_term });
        self.effects.immediate_messages.extend(requests);
        self.count_pre_votes(now);
    }

    pub(super) fn on_pre_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last: (Term, Index),
        now: BootTime,
    ) {
        let granted = term > self.vote.term
            && last >= self.log.last()
            && !self.has_live_leader(now)
            && !self.candidate_may_win(now);
        let reply_term = if granted { term } else { self.vote.term };
        let reply = Message::PreVoteReply { term: reply_term, granted };
        self.effects.immediate_messages.push((from, reply));
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: NodeId,
        term: Term,
        granted: bool,
        now: BootTime,
    ) {
        if !granted {
            if term > self.vote.term {
                self.become_follower(term, None, now);
            }
            return;
        }
        if term != self.vote.term + 1 {
            return;
        }
        if let Role::PreCandidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_pre_votes(now);
        }
    }

    pub(super) fn on_request_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last: (Term, Index),
        now: BootTime,
    ) {
        // Leader leases depend on this: no vote while a leader may hold a lease that rests on this replica.
        if self.has_live_leader(now) {
            return;
        }
        if term > self.vote.term {
            self.become_follower(term, None, now);
        }
        let vote_available = self.vote.voted_for.is_none_or(|voted_for| voted_for == from);
        let granted = term == self.vote.term
            && vote_available
            && last >= self.log.last()
            && self.recovering.is_none()
            && matches!(self.role, Role::Follower);
        if granted {
            self.vote.voted_for = Some(from);
            // Saved together with the vote, so that the first reply to a new leader needs no further write. No lease of
            // an earlier leader rests on this replica any more.
            self.vote.acknowledged_leader = Some(from);
            self.effects.persist.vote = Some(self.vote);
            self.awaits_vote_outcome = true;
            self.reset_election_deadline(now);
        }
        self.effects
            .messages_after_persist
            .push((from, Message::VoteReply { term: self.vote.term, granted }));
    }

    pub(super) fn on_vote_reply(&mut self, from: NodeId, term: Term, granted: bool, now: BootTime) {
        if term > self.vote.term {
            self.become_follower(term, None, now);
            return;
        }
        if term < self.vote.term || !granted {
            return;
        }
        if let Role::Candidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_votes(now);
        }
    }

    /// Whether a leader was in contact so recently that it may hold a lease.
    fn has_live_leader(&self, now: BootTime) -> bool {
        let is_live = |heard_at: BootTime| now < heard_at + self.timing.election_timeout;
        matches!(self.role, Role::Leader(_)) || self.last_leader_contact.is_some_and(is_live)
    }

    fn count_pre_votes(&mut self, now: BootTime) {
        let Role::PreCandidate { granted } = &self.role else { return };
        if self.is_quorum(granted) {
            self.start_election(now);
        }
    }

    /// Becomes a candidate in the next term.
    fn start_election(&mut self, now: BootTime) {
        let (own, term) = (Some(self.id), self.vote.term + 1);
        self.vote = Vote { term, voted_for: own, acknowledged_leader: own };
        self.round_times = RoundTimes::default();
        self.effects.persist.vote = Some(self.vote);
        self.role = Role::Candidate { granted: BTreeSet::from([self.id]) };
        self.awaits_vote_outcome = true;
        self.reset_election_deadline(now);
        let (last_term, last_index) = self.log.last();
        let term = self.vote.term;
        // The candidate's own vote must be durable before it requests others.
        let requests =
            self.messages_to_voters(Message::RequestVote { term, last_index, last_term });
        self.effects.messages_after_persist.extend(requests);
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: BootTime) {
        let Role::Candidate { granted } = &self.role else { return };
        if self.is_quorum(granted) {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: BootTime) {
        let next = self.log.last_index() + 1;
        let progress: BTreeMap<NodeId, Progress> = self
            .members
            .all()
            .filter(|id| *id != self.id)
            .map(|id| (id, Progress::new(next)))
            .collect();
        self.role = Role::Leader(Leader {
            noop_index: next,
            progress,
            heartbeat_at: now,
            round: 0,
            rounds: VecDeque::new(),
            confirmed_at: now,
            reads: Vec::new(),
            next_read_id: 1,
            broadcast_due: true,
        });
        self.leader = Some(self.id);
        self.has_led = true;
        self.awaits_vote_outcome = false;
        self.failed_elections = 0;
        let appended = self.append_as_leader(Payload::Noop);
        debug_assert!(appended.is_ok(), "this replica has just become the leader");
    }

    /// Records the leader that this replica acknowledges, to be made durable before a reply is sent.
    pub(super) fn record_acknowledged_leader(&mut self, leader: NodeId) {
        if self.vote.acknowledged_leader != Some(leader) {
            self.vote.acknowledged_leader = Some(leader);
            self.effects.persist.vote = Some(self.vote);
        }
    }

    pub(super) fn is_quorum(&self, granted: &BTreeSet<NodeId>) -> bool {
        granted.intersection(&self.members.voters).count() >= self.members.quorum()
    }

    fn messages_to_voters(&self, message: Message) -> Vec<(NodeId, Message)> {
        let others = self.members.voters.iter().filter(|id| **id != self.id);
        others.map(|id| (*id, message.clone())).collect()
    }
}

impl Progress {
    pub(super) fn new(next_index: Index) -> Progress {
        Progress {
            next_index,
            match_index: 0,
            acked_round: 0,
            round_ack: None,
            snapshot_sent_at: None,
        }
    }
}
