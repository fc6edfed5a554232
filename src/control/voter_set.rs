//! Which replicas vote: joins, promotions of those that have caught up, and removals of those whose
//! place was taken. Pure; the leader asks for one step at a time.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::NodeId;
use crate::log::Members;

/// A voter that was not heard for this long gives its place to a replica that has caught up. Longer
/// than an election and a slow sync; short enough that a repair ends before the next loss is due
/// (4 s after a replacement starts).
pub const VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A replica that asks to join counts as present for this long.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(2);
/// A learner that was not heard for this long is taken out.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);
/// Learners kept beside the voters.
const MAX_LEARNERS: usize = 4;

/// A step towards a sound set of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipStep {
    /// Record where a replica is reached.
    SetAddress(NodeId, IpAddr),
    /// Let a replica learn.
    AddLearner(NodeId),
    /// Let a learner vote, if it has caught up.
    Promote(NodeId),
    /// Take a replica out.
    Remove(NodeId),
}

/// Who asked to join and who was heard, as the leader knows it.
#[derive(Clone, Debug, Default)]
pub struct PeerActivity {
    join_requests: BTreeMap<NodeId, (IpAddr, BootTime)>,
    last_heard: BTreeMap<NodeId, BootTime>,
    /// Nobody counts as silent earlier than this, plus the period.
    tracked_since: BootTime,
}

impl PeerActivity {
    /// Starts over: this replica has just become the leader.
    pub fn reset(&mut self, now: BootTime) {
        *self = PeerActivity { tracked_since: now, ..PeerActivity::default() };
    }

    /// A replica asks to join.
    pub fn record_join_request(&mut self, node: NodeId, ip: IpAddr, now: BootTime) {
        self.join_requests.insert(node, (ip, now));
    }

    /// A replica was heard.
    pub fn record_contact(&mut self, node: NodeId, now: BootTime) {
        self.last_heard.insert(node, now);
    }

    fn silent_for(&self, node: NodeId, now: BootTime) -> Duration {
        let last = self.last_heard.get(&node).copied().unwrap_or_default().max(self.tracked_since);
        now.saturating_sub(last)
    }

    /// The next step; `wanted` is how many voters there should be.
    pub fn next_step(
        &self,
        own_id: NodeId,
        members: &Members,
        addresses: &BTreeMap<NodeId, IpAddr>,
        desired_voters: usize,
        now: BootTime,
    ) -> Option<MembershipStep> {
        let join_requests = self
            .join_requests
            .iter()
            .filter(|(_, (_, at))| now.saturating_sub(*at) < JOIN_REQUEST_TTL);
        for (node, (ip, _)) in join_requests {
            if members.all().any(|member| member == *node) {
                continue;
            }
            if addresses.get(node) != Some(ip) {
                return Some(MembershipStep::SetAddress(*node, *ip));
            }
            if members.learners.len() < MAX_LEARNERS {
                return Some(MembershipStep::AddLearner(*node));
            }
        }
        // Another replica asked from its host after it did: its disk is gone.
        let is_superseded = |node: NodeId| {
            let ip = addresses.get(&node);
            let own = self.join_requests.get(&node).map(|(_, at)| *at);
            let later = |(other, (other_ip, at)): (&NodeId, &(IpAddr, BootTime))| {
                *other != node && Some(other_ip) == ip && own.is_none_or(|own| own < *at)
            };
            node != own_id && self.join_requests.iter().any(later)
        };
        let is_silent =
            |node: NodeId| node != own_id && self.silent_for(node, now) >= VOTER_TIMEOUT;
        let voters = || members.voters.iter().copied();
        let failed_voter = voters()
            .find(|node| is_superseded(*node))
            .or_else(|| voters().find(|node| is_silent(*node)));
        if members.voters.len() > desired_voters {
            return failed_voter.map(MembershipStep::Remove);
        }
        let is_present = |node: &NodeId| !is_superseded(*node) && !is_silent(*node);
        let ready_learner = members.learners.iter().copied().find(is_present);
        if let Some(learner) = ready_learner
            && (members.voters.len() < desired_voters || failed_voter.is_some())
        {
            return Some(MembershipStep::Promote(learner));
        }
        let is_gone =
            |node: &NodeId| is_superseded(*node) || self.silent_for(*node, now) >= LEARNER_TIMEOUT;
        members.learners.iter().copied().find(is_gone).map(MembershipStep::Remove)
    }
}
