//! Replicas whose disks are all slow at once, as when several processes share one disk.

use std::time::Duration;

use kumquatpost::ids::NodeId;

use crate::log_cluster::{Cluster, TIMING};

/// Durations of a save. The longest is that of a disk shared with heavy writers.
const SAVE_DURATIONS_MS: [u64; 5] = [50, 100, 200, 400, 800];
/// A new leader must be elected within this time, which bounds the delay of a deployment.
const MAX_TIME_WITHOUT_LEADER: Duration = Duration::from_secs(5);
/// A replica stops publishing to entries when it has not been caught up for longer than this.
const MAX_STALENESS: Duration = Duration::from_millis(500);

fn cluster_with_leader(seed: u64) -> (Cluster, NodeId) {
    let mut cluster = Cluster::new(5, seed);
    cluster.run_until("there is a leader", |cluster| cluster.leader().is_some());
    cluster.run_for(TIMING.election_timeout * 2);
    let leader = cluster.leader().expect("no leader");
    (cluster, leader)
}

fn lease_holder(cluster: &Cluster) -> Option<NodeId> {
    let holds_lease = |id: &NodeId| {
        cluster.raft(*id).is_some_and(|raft| raft.holds_leader_lease(cluster.local_time(*id)))
    };
    cluster.ids().into_iter().find(holds_lease)
}

/// Guards against elections without a winner while saves take longer than a candidate waits for votes.
#[test]
fn a_lost_leader_is_replaced_while_all_disks_are_slow() {
    for (seed, save_ms) in (0..20).flat_map(|seed| SAVE_DURATIONS_MS.map(|save_ms| (seed, save_ms)))
    {
        let (mut cluster, leader) = cluster_with_leader(seed);
        cluster.faults.save_duration = Duration::from_millis(save_ms);
        cluster.crash(leader);
        let end = cluster.now + MAX_TIME_WITHOUT_LEADER;
        while lease_holder(&cluster).is_none() {
            assert!(cluster.now < end, "seed {seed}: no leader elected, saves take {save_ms} ms");
            cluster.step();
        }
    }
}

/// Guards against replicas that stop counting as caught up during a save, so that none publishes changes.
#[test]
fn a_leader_and_its_followers_stay_current_while_all_disks_are_slow() {
    for (seed, save_ms) in (0..10).flat_map(|seed| SAVE_DURATIONS_MS.map(|save_ms| (seed, save_ms)))
    {
        let (mut cluster, leader) = cluster_with_leader(seed);
        cluster.faults.save_duration = Duration::from_millis(save_ms);
        let end = cluster.now + Duration::from_secs(10);
        let mut next_proposal_at = cluster.now;
        while cluster.now < end {
            if cluster.now >= next_proposal_at {
                next_proposal_at += Duration::from_millis(700);
                cluster.propose(leader);
            }
            cluster.step();
            for id in cluster.ids() {
                let now = cluster.local_time(id);
                let at = cluster.raft(id).and_then(|raft| raft.caught_up_at(now));
                let is_current = at.is_some_and(|at| now.saturating_sub(at) <= MAX_STALENESS);
                assert!(is_current, "seed {seed}: {id} is not caught up, saves take {save_ms} ms");
            }
        }
        assert!(cluster.acknowledged.len() >= 8, "proposals must still be acknowledged");
    }
}
