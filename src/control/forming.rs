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
pub const SILENT: Duration = Duration::from_millis(1_500);
/// A replica that asks to join counts as present for this long.
const JOIN_LASTS: Duration = Duration::from_secs(2);
/// A learner that was not heard for this long is taken out.
const LEARNER_SILENT: Duration = Duration::from_secs(10);
/// Learners kept beside the voters.
const MAX_LEARNERS: usize = 4;

/// A step towards a sound set of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Record where a replica is reached.
    Place(NodeId, IpAddr),
    /// Let a replica learn.
    AddLearner(NodeId),
    /// Let a learner vote, if it has caught up.
    Promote(NodeId),
    /// Take a replica out.
    Remove(NodeId),
}

/// Who asked to join and who was heard, as the leader knows it.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    joins: BTreeMap<NodeId, (IpAddr, BootTime)>,
    heard: BTreeMap<NodeId, BootTime>,
    /// Nobody counts as silent earlier than this, plus the period.
    since: BootTime,
}

impl Presence {
    /// Starts over: this replica has just become the leader.
    pub fn reset(&mut self, now: BootTime) {
        *self = Presence { since: now, ..Presence::default() };
    }

    /// A replica asks to join.
    pub fn asked(&mut self, node: NodeId, ip: IpAddr, now: BootTime) {
        self.joins.insert(node, (ip, now));
    }

    /// A replica was heard.
    pub fn heard(&mut self, node: NodeId, now: BootTime) {
        self.heard.insert(node, now);
    }

    fn silence(&self, node: NodeId, now: BootTime) -> Duration {
        let last = self.heard.get(&node).copied().unwrap_or_default().max(self.since);
        now.saturating_sub(last)
    }

    /// The next step; `wanted` is how many voters there should be.
    pub fn next_step(
        &self,
        me: NodeId,
        members: &Members,
        places: &BTreeMap<NodeId, IpAddr>,
        wanted: usize,
        now: BootTime,
    ) -> Option<Step> {
        let joins = self.joins.iter().filter(|(_, (_, at))| now.saturating_sub(*at) < JOIN_LASTS);
        for (node, (ip, _)) in joins {
            if members.all().any(|member| member == *node) {
                continue;
            }
            if places.get(node) != Some(ip) {
                return Some(Step::Place(*node, *ip));
            }
            if members.learners.len() < MAX_LEARNERS {
                return Some(Step::AddLearner(*node));
            }
        }
        // Another replica asked from its host after it did: its disk is gone.
        let superseded = |node: NodeId| {
            let ip = places.get(&node);
            let own = self.joins.get(&node).map(|(_, at)| *at);
            let later = |(other, (other_ip, at)): (&NodeId, &(IpAddr, BootTime))| {
                *other != node && Some(other_ip) == ip && own.is_none_or(|own| own < *at)
            };
            node != me && self.joins.iter().any(later)
        };
        let silent = |node: NodeId| node != me && self.silence(node, now) >= SILENT;
        let voters = || members.voters.iter().copied();
        let lost =
            voters().find(|node| superseded(*node)).or_else(|| voters().find(|node| silent(*node)));
        if members.voters.len() > wanted {
            return lost.map(Step::Remove);
        }
        let present = |node: &NodeId| !superseded(*node) && !silent(*node);
        let ready = members.learners.iter().copied().find(present);
        if let Some(learner) = ready
            && (members.voters.len() < wanted || lost.is_some())
        {
            return Some(Step::Promote(learner));
        }
        let gone = |node: &NodeId| superseded(*node) || self.silence(*node, now) >= LEARNER_SILENT;
        members.learners.iter().copied().find(gone).map(Step::Remove)
    }
}
