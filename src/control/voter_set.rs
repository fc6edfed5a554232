//! Decides membership changes: adds replicas that ask to join, promotes learners that have caught
//! up, and removes replicas that failed or were replaced. Performs no I/O; the leader takes one
//! step at a time.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::NodeId;
use crate::log::Members;

/// A voter not heard from for this long is replaced by a learner. Longer than an election or a slow
/// disk sync, and short enough for the repair to end before the next failure.
pub const VOTER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A join request counts for this long after it was received.
const JOIN_REQUEST_TTL: Duration = Duration::from_secs(2);
/// A learner not heard from for this long is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_LEARNERS: usize = 4;

/// A step towards the desired set of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipStep {
    /// Records the address of a replica.
    SetAddress(NodeId, IpAddr),
    /// Adds a replica as a learner.
    AddLearner(NodeId),
    /// Makes a learner a voter, once it has caught up.
    Promote(NodeId),
    Remove(NodeId),
}

/// The leader's record of join requests and of when each replica was last heard from.
#[derive(Clone, Debug, Default)]
pub struct PeerActivity {
    join_requests: BTreeMap<NodeId, (IpAddr, BootTime)>,
    last_heard: BTreeMap<NodeId, BootTime>,
    /// Silence is measured from here at the earliest, so that replicas are not removed for silence
    /// before this one became the leader.
    tracked_since: BootTime,
}

impl PeerActivity {
    /// Discards all records when this replica becomes the leader.
    pub fn reset(&mut self, now: BootTime) {
        *self = PeerActivity { tracked_since: now, ..PeerActivity::default() };
    }

    /// Records a request to join.
    pub fn record_join_request(&mut self, node: NodeId, ip: IpAddr, now: BootTime) {
        self.join_requests.insert(node, (ip, now));
    }

    /// Records contact with a replica.
    pub fn record_contact(&mut self, node: NodeId, now: BootTime) {
        self.last_heard.insert(node, now);
    }

    fn silent_for(&self, node: NodeId, now: BootTime) -> Duration {
        let last = self.last_heard.get(&node).copied().unwrap_or_default().max(self.tracked_since);
        now.saturating_sub(last)
    }

    /// The next step towards `desired_voters` voters, if one is needed.
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
        // Another replica on the same host has asked to join more recently, so the disk of this one
        // was replaced.
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
