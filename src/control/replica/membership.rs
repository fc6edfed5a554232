//! Which replicas vote, where they are, and what a replica announces to the others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

use tokio::sync::oneshot;

use super::{ANNOUNCE_INTERVAL, Replica};
use crate::clock::BootTime;
use crate::control::frames::{ReplicaFrame, encode};
use crate::control::state::Command;
use crate::control::voter_set::MembershipStep;
use crate::log::raft::Change;

/// A replica that has not heard from a leader for this long asks to join.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(900);
/// Entries announced by a peer are counted for this long after the announcement.
const REMOTE_ENTRIES_TTL: Duration = Duration::from_secs(2);

impl Replica {
    /// Records the known addresses in the log. Those of the first replicas are part of their initial state alone,
    /// and a replica that joins later may be sent the log without a snapshot.
    pub(super) fn record_addresses(&mut self) {
        let addresses = self.state.replica_addresses.clone();
        for (node, ip) in addresses.iter() {
            let command = Command::SetReplicaAddress { node: *node, ip: *ip };
            // Without an answer: the next leader records them again.
            self.propose(&command, oneshot::channel().0);
        }
    }

    /// Takes the next step towards the desired set of voters, if one is needed.
    pub(super) fn advance_membership(&mut self, now: BootTime) {
        let members = self.driver.raft.status().members;
        let own_id = self.shared.node;
        let step = self.peer_activity.next_step(
            own_id,
            &members,
            &self.state.replica_addresses,
            self.desired_voters,
            now,
        );
        let Some(step) = step else { return };
        let change = match step {
            MembershipStep::SetAddress(node, ip) => {
                let (sender, _) = oneshot::channel();
                self.propose(&Command::SetReplicaAddress { node, ip }, sender);
                return;
            }
            MembershipStep::AddLearner(node) => Change::AddLearner(node),
            MembershipStep::Promote(node) => Change::Promote(node),
            MembershipStep::Remove(node) => Change::Remove(node),
        };
        // Rejected while another change is in progress or the learner lags; the next tick retries.
        if self.driver.raft.propose_change(change).is_ok() {
            log::info!("event=replicas_change change={change} voters={}", members.voters.len());
        }
    }

    pub(super) fn announce(&mut self, now: BootTime) {
        if !self.shared.stream_directory.is_complete(now) {
            self.shared.broadcast(&self.state, self.ip, &ReplicaFrame::StreamsRequested);
        }
        let entries = self.shared.connected_by_domain();
        self.remote_entries.retain(|_, (_, at)| now.saturating_sub(*at) < REMOTE_ENTRIES_TTL);
        let mut all = entries.clone();
        for (domain, remote) in self.remote_entries.values().flat_map(|(entries, _)| entries) {
            let known = all.entry(domain.clone()).or_default();
            known.extend(remote.iter().map(|(name, process)| (name.clone(), *process)));
        }
        // Without the announcements of the other replicas the count is too low, and each entry
        // would take too large a share of the retry budget.
        let is_only = self.state.replica_addresses.keys().eq([&self.shared.node]);
        let is_settled = |from: BootTime| now.saturating_sub(from) >= ANNOUNCE_INTERVAL * 2;
        if is_only || self.remote_entries_since.is_some_and(is_settled) {
            let count = all.values().map(BTreeMap::len).sum::<usize>();
            self.shared.entry_count.set(Some(count as u32));
            self.shared.entry_directory.borrow_mut().update(all);
        }
        self.shared.broadcast(&self.state, self.ip, &ReplicaFrame::Entries(entries));
        let digest = self.shared.quarantine.borrow().digest();
        self.shared.broadcast(&self.state, self.ip, &ReplicaFrame::QuarantineDigest(digest));
        let is_leaderless = now.saturating_sub(self.heard_leader_at) >= LEADERLESS_TIMEOUT;
        let is_member = self.driver.raft.status().members.all().any(|id| id == self.shared.node);
        if is_leaderless || !is_member {
            let join = encode(&ReplicaFrame::Join);
            for host in self.hosts().into_iter().filter(|host| *host != self.ip) {
                self.shared.links.send(host, join.clone());
            }
        }
    }

    /// The hosts of all replicas known from the settings, the state and connections.
    pub(super) fn hosts(&self) -> BTreeSet<IpAddr> {
        let seeds = self.shared.seeds.borrow();
        let known = self.state.replica_addresses.values().chain(self.peer_addresses.values());
        seeds.iter().chain(known).copied().collect()
    }
}
