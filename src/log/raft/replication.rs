//! Replication: the leader's broadcasts, the followers' replies, commits and reads.

use std::time::Duration;

use super::{Leader, Progress, Raft, Recovering, Role};
use crate::clock::BootTime;
use crate::ids::NodeId;
use crate::log::types::{Index, Message, Mismatch, Payload, RoundAck, Snapshot, Term};

/// A snapshot is resent if it is not acknowledged within this time.
const SNAPSHOT_RESEND: Duration = Duration::from_secs(2);

/// Payload bytes that a replica has been sent and has not acknowledged, beyond which it gets heartbeats only. More
/// would wait in the leader's memory.
const MAX_UNACKNOWLEDGED_BYTES: usize = 4 << 20;

/// The round in replies that acknowledge no round; a leader's first round is 1.
const NO_ROUND: u64 = 0;

impl Raft {
    /// Sends entries, a snapshot or a heartbeat to every other replica.
    pub(super) fn broadcast(&mut self, now: BootTime) {
        let members = self.members.clone();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.broadcast_due = false;
        leader.heartbeat_at = now + self.timing.heartbeat_interval;
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        for read in leader.reads.iter_mut().filter(|read| read.round.is_none()) {
            read.round = Some(leader.round);
        }
        let last = self.log.last_index();
        leader.progress.retain(|id, _| members.all().any(|member| member == *id));
        for id in members.all().filter(|id| *id != self.id) {
            leader.progress.entry(id).or_insert(Progress::new(last + 1));
        }
        let others: Vec<NodeId> = leader.progress.keys().copied().collect();
        for id in others {
            self.send_to(id, now);
        }
        // A single voter is its own quorum.
        self.confirm_rounds();
    }

    fn send_to(&mut self, id: NodeId, now: BootTime) {
        let last_index = self.log.last_index();
        let holds_lease = self.holds_leader_lease(now);
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&id) else { return };
        let (term, commit, round) = (self.vote.term, self.commit, leader.round);
        let prev_index = progress.next_index - 1;
        let message = match (self.log.term_at(prev_index), self.log.snapshot()) {
            (Some(prev_term), _) => {
                let unacknowledged = self.log.bytes_between(progress.match_index + 1, prev_index);
                let entries = if unacknowledged < MAX_UNACKNOWLEDGED_BYTES {
                    self.log.batch(progress.next_index)
                } else {
                    Vec::new()
                };
                progress.next_index += entries.len() as Index;
                let round_ack = progress.round_ack.filter(|_| holds_lease);
                Message::Append {
                    term,
                    prev_index,
                    prev_term,
                    entries,
                    commit,
                    last_index,
                    round,
                    round_ack,
                }
            }
            (None, Some(snapshot)) => {
                let snapshot_pending =
                    progress.snapshot_sent_at.is_some_and(|at| now < at + SNAPSHOT_RESEND);
                if snapshot_pending {
                    return;
                }
                progress.snapshot_sent_at = Some(now);
                Message::InstallSnapshot { term, snapshot: snapshot.clone(), last_index, round }
            }
            (None, None) => return,
        };
        // May be sent before the entries are durable here: the leader counts its own copy only once it is.
        self.effects.immediate_messages.push((id, message));
    }

    pub(super) fn on_append(&mut self, from: NodeId, message: Message, now: BootTime) {
        let Message::Append {
            term,
            prev_index,
            prev_term,
            entries,
            commit,
            last_index,
            round,
            round_ack,
        } = message
        else {
            return;
        };
        if !self.accept_leader(from, term, round, last_index, now) {
            return;
        }
        if prev_index > self.log.last_index() {
            let hint = self.log.last_index();
            self.send_append_reply(from, Err(Mismatch { hint }), round);
            return;
        }
        if prev_index >= self.log.snapshot_index()
            && self.log.term_at(prev_index) != Some(prev_term)
        {
            let hint = self.log.last_index_before_term_of(prev_index);
            self.send_append_reply(from, Err(Mismatch { hint }), round);
            return;
        }
        let matched_until = prev_index + entries.len() as Index;
        let mut members_changed = false;
        for entry in entries {
            if entry.index <= self.log.snapshot_index() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(present) if present == entry.term => continue,
                Some(_) => {
                    self.truncate_from(entry.index);
                    members_changed = true;
                }
                None => {}
            }
            members_changed |= matches!(entry.payload, Payload::Members(_));
            self.effects.persist.append.push(entry.clone());
            self.log.append(entry);
        }
        if members_changed {
            self.members = self.log.members();
        }
        self.commit = self.commit.max(commit.min(matched_until));
        // A leader that has not committed an entry of its own term may not know all committed entries.
        let leader_knows_committed = self.log.term_at(commit) == Some(term);
        if leader_knows_committed && self.commit >= commit {
            let round_ack =
                round_ack.filter(|round_ack| round_ack.start_nonce == self.restart.nonce());
            let sent_after =
                round_ack.and_then(|round_ack| self.round_times.sent_after(round_ack.round));
            self.caught_up_at = self.caught_up_at.max(sent_after);
        }
        self.send_append_reply(from, Ok(matched_until.max(self.log.snapshot_index())), round);
    }

    pub(super) fn on_snapshot(
        &mut self,
        from: NodeId,
        term: Term,
        snapshot: Snapshot,
        last_index: Index,
        round: u64,
        now: BootTime,
    ) {
        if !self.accept_leader(from, term, round, last_index, now) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit {
            let log_matches = self.log.term_at(index) == Some(snapshot.term);
            self.log.install(snapshot.clone());
            self.members = self.log.members();
            self.commit = index;
            self.applied = index;
            self.effects.committed.clear();
            let persist = &mut self.effects.persist;
            // Unsaved entries up to the index are part of the snapshot or discarded.
            persist.append.retain(|entry| log_matches && entry.index > index);
            if !log_matches {
                persist.truncate_from = Some(persist.truncate_from.unwrap_or(0).max(index + 1));
                self.discard_saved_from(1);
            }
            self.effects.persist.snapshot = Some(snapshot.clone());
            self.effects.restore = Some(snapshot);
        }
        self.send_append_reply(from, Ok(index), round);
    }

    /// Follows `from` as the leader of `term`. If the term is outdated, rejects the message instead and returns false.
    fn accept_leader(
        &mut self,
        from: NodeId,
        term: Term,
        round: u64,
        last_index: Index,
        now: BootTime,
    ) -> bool {
        if term < self.vote.term {
            let hint = self.log.last_index();
            // The sender may be the leader of a later term by now, with a new count of rounds.
            self.send_append_reply(from, Err(Mismatch { hint }), NO_ROUND);
            return false;
        }
        self.become_follower(term, Some(from), now);
        self.round_times.record(round, now);
        self.failed_elections = 0;
        self.last_leader_contact = Some(now);
        self.restart.on_leader_contact();
        self.record_acknowledged_leader(from);
        if let Some(Recovering { target_index: target_index @ None }) = &mut self.recovering {
            *target_index = Some(last_index);
        }
        true
    }

    fn truncate_from(&mut self, index: Index) {
        debug_assert!(index > self.commit, "a committed entry must never be discarded");
        self.log.truncate_from(index);
        self.discard_saved_from(index);
        let persist = &mut self.effects.persist;
        persist.append.retain(|entry| entry.index < index);
        let earlier = persist.truncate_from.unwrap_or(index);
        persist.truncate_from = Some(earlier.min(index));
    }

    /// Replies to a leader. Entries are acknowledged only once they are durable. While others are unsaved, a reply for
    /// those that are durable is sent at once, so that the leader keeps its lease while disks are slow.
    fn send_append_reply(&mut self, to: NodeId, result: Result<Index, Mismatch>, round: u64) {
        let term = self.vote.term;
        let round_ack = RoundAck { start_nonce: self.restart.nonce(), round };
        let reply = |result| (to, Message::AppendReply { term, result, round_ack });
        if self.has_unsaved() && self.is_vote_durable() {
            let durable = result.map(|index| index.min(self.persisted));
            self.effects.immediate_messages.push(reply(durable));
            if durable == result {
                return;
            }
        }
        self.effects.messages_after_persist.push(reply(result));
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: NodeId,
        term: Term,
        result: Result<Index, Mismatch>,
        round_ack: RoundAck,
        now: BootTime,
    ) {
        if term > self.vote.term {
            self.become_follower(term, None, now);
            return;
        }
        let last = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        if term < self.vote.term {
            return;
        }
        progress.acked_round = progress.acked_round.max(round_ack.round);
        let is_late = |last: RoundAck| {
            last.start_nonce == round_ack.start_nonce && last.round > round_ack.round
        };
        if !progress.round_ack.is_some_and(is_late) {
            progress.round_ack = Some(round_ack);
        }
        let has_more_to_send = match result {
            Ok(index) => {
                progress.snapshot_sent_at = None;
                progress.match_index = progress.match_index.max(index.min(last));
                progress.next_index = progress.next_index.max(progress.match_index + 1);
                // Without room, the next acknowledgement or heartbeat goes on.
                let unacknowledged =
                    self.log.bytes_between(progress.match_index + 1, progress.next_index - 1);
                progress.next_index <= last && unacknowledged < MAX_UNACKNOWLEDGED_BYTES
            }
            Err(Mismatch { hint }) => {
                progress.next_index = (hint + 1).min(progress.next_index).max(1);
                true
            }
        };
        self.confirm_rounds();
        self.advance_commit();
        if has_more_to_send {
            self.send_to(from, now);
        }
    }

    /// Commits the entries that are durable on a quorum, if the last of them is of this term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let own = self.persisted;
        let quorum_index = quorum_value(&self.members.voters, self.members.quorum(), |id| {
            if id == self.id { own } else { leader.progress.get(&id).map_or(0, |p| p.match_index) }
        });
        if quorum_index > self.commit && self.log.term_at(quorum_index) == Some(self.vote.term) {
            self.commit = quorum_index;
            self.step_down_if_removed();
        }
    }

    /// Finds the last round that a quorum has acknowledged, and adds the reads that it confirms to the effects.
    fn confirm_rounds(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        let round = leader.round;
        let confirmed = quorum_value(&self.members.voters, self.members.quorum(), |id| {
            if id == self.id {
                round
            } else {
                leader.progress.get(&id).map_or(0, |p| p.acked_round)
            }
        });
        leader.confirm(confirmed);
        let ready = leader.reads.iter().filter(|read| read.is_confirmed(confirmed));
        self.effects.reads.extend(ready.map(|read| (read.id, read.index)));
        leader.reads.retain(|read| !read.is_confirmed(confirmed));
    }

    /// Steps down once this replica's removal from the voters is committed.
    fn step_down_if_removed(&mut self) {
        let is_removed = !self.members.voters.contains(&self.id);
        if is_removed && self.log.members_index() <= self.commit {
            self.role = Role::Follower;
            self.leader = None;
        }
    }
}

impl super::PendingRead {
    fn is_confirmed(&self, confirmed: u64) -> bool {
        self.round.is_some_and(|round| round <= confirmed)
    }
}

impl Leader {
    /// Records that a quorum has acknowledged all rounds up to `confirmed`.
    fn confirm(&mut self, confirmed: u64) {
        while let Some((round, sent_at)) = self.rounds.front().copied()
            && round <= confirmed
        {
            self.confirmed_at = self.confirmed_at.max(sent_at);
            self.rounds.pop_front();
        }
    }
}

/// The highest value that at least a quorum of the voters has reached.
fn quorum_value(
    voters: &std::collections::BTreeSet<NodeId>,
    quorum: usize,
    value: impl Fn(NodeId) -> u64,
) -> u64 {
    let mut values: Vec<u64> = voters.iter().map(|id| value(*id)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(quorum - 1).copied().unwrap_or(0)
}
