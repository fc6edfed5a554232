//! Voting after a restart.
//!
//! A leader holds a lease, and answers reads from its own state, for almost an election timeout after a quorum
//! has acknowledged it. The times of acknowledgements are not kept on disk, so a replica that has just started
//! must not vote for an election timeout, which would be most of the outage after all replicas were killed
//! together. The wait ends early once the acknowledged leader is known to have restarted as well, because a
//! lease does not outlive its process.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use super::{Raft, Recovered};
use crate::clock::BootTime;
use crate::ids::NodeId;
use crate::log::types::Message;

/// Interval at which a restarted replica asks the leader that it acknowledged whether it may still hold a lease.
const LEASE_QUERY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a restarted leader repeats its pre-vote: the other replicas refuse it until they have
/// started and received its `NoLease`.
pub(super) const EARLY_CAMPAIGN_RETRY: Duration = Duration::from_millis(20);

/// What a replica knows, after its start, of the leader before its start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restart {
    /// The leader that may hold a lease resting on an acknowledgement by an earlier process of this replica.
    lease_holder: Option<NodeId>,
    /// Random number of this start. Distinguishes replies to this process from replies to earlier ones.
    nonce: u64,
    queried_at: Option<BootTime>,
    /// Whether this replica itself was the last leader or candidate that it acknowledged, and no leader has
    /// contacted it since the start.
    was_leader: bool,
    /// When every lease that rests on an acknowledgement before the start has expired.
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
            // After a loss of data, the recorded leader may not be the last one that was acknowledged.
            lease_holder: acknowledged.filter(|leader| *leader != id && !recovered.has_lost_data),
            nonce: random.random(),
            queried_at: None,
            was_leader: acknowledged == Some(id) && !recovered.has_lost_data,
            lease_ends_at,
        }
    }

    /// Random number of this start.
    pub(super) fn nonce(&self) -> u64 {
        self.nonce
    }

    /// The time of the last contact to a leader to assume at the start; `None` if only this replica itself can have
    /// held a lease that rests on its acknowledgements.
    pub(super) fn initial_leader_contact(&self, now: BootTime) -> Option<BootTime> {
        (!self.was_leader).then_some(now)
    }

    /// Whether this replica may start an election without waiting for the election timeout. It was the last leader,
    /// so its log is most likely up to date, and the other replicas do wait, so votes are unlikely to split.
    pub(super) fn may_campaign_early(&self, now: BootTime) -> bool {
        self.was_leader && now < self.lease_ends_at
    }

    /// The leader to send a `LeaseQuery` to now, and the nonce to send; `None` if no query is due.
    pub(super) fn next_lease_query(&mut self, now: BootTime) -> Option<(NodeId, u64)> {
        let leader = self.lease_holder.filter(|_| now < self.lease_ends_at)?;
        if self.queried_at.is_some_and(|queried_at| now < queried_at + LEASE_QUERY_INTERVAL) {
            return None;
        }
        self.queried_at = Some(now);
        Some((leader, self.nonce))
    }

    /// Records that a leader has contacted this process, which makes the state before the start irrelevant.
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
        // The nonce shows that the reply was sent after this start, and so after all earlier acknowledgements.
        if restart.nonce == nonce && restart.lease_holder == Some(from) {
            restart.lease_holder = None;
            self.last_leader_contact = None;
        }
    }
}
