//! What a replica that starts again knows of the leader that it acknowledged before.
//!
//! A leader is sure to lead, and answers from its own state, for almost an election timeout after a quorum
//! has acknowledged it. So a replica that has just started, and does not know when it acknowledged whom,
//! must keep from voting for that long. Where all replicas were killed at once that would be the longest
//! part of the outage (0.3 to 0.6 s of 0.5 s and more, measured). It ends as soon as the leader itself is
//! known to have started again: a process that has ended holds no lease.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::{Raft, Recovered};
use crate::clock::BootTime;
use crate::ids::NodeId;
use crate::log::types::Message;

/// How often a replica that has just started asks the leader that it acknowledged: some round trips.
const LEASE_QUERY_INTERVAL: Duration = Duration::from_millis(20);
/// How soon a replica that led before its start asks for votes again: others start within some hundred
/// milliseconds, and each must first hear that it has started.
pub(super) const EARLY_CAMPAIGN_RETRY: Duration = Duration::from_millis(20);

/// A replica's first moments.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restart {
    /// The leader that may count on what an earlier process of this replica acknowledged.
    lease_holder: Option<NodeId>,
    /// Tells answers to this start from answers to earlier ones.
    nonce: u64,
    queried_at: Option<BootTime>,
    /// Whether this replica was itself the last leader that it knows of, and has heard no other since.
    was_leader: bool,
    /// When nobody can count any more on what was acknowledged before the start.
    lease_ends_at: BootTime,
}

impl Restart {
    pub(super) fn new(
        id: NodeId,
        recovered: &Recovered,
        random: &mut SmallRng,
        lease_ends_at: BootTime,
    ) -> Restart {
        let acknowledged = recovered.vote.acknowledged_leader;
        Restart {
            // What a disk has lost may have been acknowledged to somebody else.
            lease_holder: acknowledged.filter(|leader| *leader != id && !recovered.has_lost_data),
            nonce: random.random(),
            queried_at: None,
            was_leader: acknowledged == Some(id) && !recovered.has_lost_data,
            lease_ends_at,
        }
    }

    /// Drawn at this start.
    pub(super) fn nonce(&self) -> u64 {
        self.nonce
    }

    /// When a leader must be taken to have been heard by an earlier process.
    pub(super) fn initial_leader_contact(&self, now: BootTime) -> Option<BootTime> {
        (!self.was_leader).then_some(now)
    }

    /// Whether this replica stands at once: it led last, so it most likely has the newest log, and others
    /// wait for the regular time, so that votes don't split.
    pub(super) fn may_campaign_early(&self, now: BootTime) -> bool {
        self.was_leader && now < self.lease_ends_at
    }

    /// Whom to ask now whether a process that led still runs.
    pub(super) fn next_lease_query(&mut self, now: BootTime) -> Option<(NodeId, u64)> {
        let leader = self.lease_holder.filter(|_| now < self.lease_ends_at)?;
        if self.queried_at.is_some_and(|queried_at| now < queried_at + LEASE_QUERY_INTERVAL) {
            return None;
        }
        self.queried_at = Some(now);
        Some((leader, self.nonce))
    }

    /// A leader was heard by this process: what was before does not matter any more.
    pub(super) fn on_leader_contact(&mut self) {
        self.lease_holder = None;
        self.was_leader = false;
    }
}

impl Raft {
    pub(super) fn on_lease_query(&mut self, from: NodeId, nonce: u64) {
        if !self.has_led {
            self.effects.immediate_messages.push((from, Message::NoLease { nonce }));
        }
    }

    pub(super) fn on_no_lease(&mut self, from: NodeId, nonce: u64) {
        let restart = &mut self.restart;
        // Later than this start, and so than all that was acknowledged before it.
        if restart.nonce == nonce && restart.lease_holder == Some(from) {
            restart.lease_holder = None;
            self.last_leader_contact = None;
        }
    }
}
