//! The replicated log in single fault scenarios: partitions, replaced hosts, failed disks.

use std::time::Duration;

use kumquatpost::log::raft::{Change, ChangeError};

use crate::log_cluster::{Cluster, TIMING};

fn cluster_with_leader(voters: u64, seed: u64) -> (Cluster, u64) {
    let mut cluster = Cluster::new(voters, seed);
    cluster.run_until("there is a leader", |cluster| cluster.leader().is_some());
    cluster.run_for(TIMING.election_timeout);
    let leader = cluster.leader().expect("no leader");
    (cluster, leader)
}

fn others(cluster: &Cluster, except: u64) -> Vec<u64> {
    cluster.ids().into_iter().filter(|id| *id != except).collect()
}

#[test]
fn an_isolated_leader_steps_down_and_confirms_nothing() {
    let (mut cluster, old) = cluster_with_leader(3, 1);
    cluster.isolate([old]);
    cluster.propose(old);
    cluster.read(old);
    cluster.run_for(TIMING.election_timeout * 8);
    assert!(!cluster.raft(old).expect("the replica is not running").status().is_leader);
    assert_eq!(cluster.reads_answered, 0, "a read needs a quorum");
    assert_eq!(cluster.acknowledged.len(), 0, "a proposal needs a quorum");
    assert!(cluster.leader().is_some_and(|new| new != old));
    // The leader returns after a long partition.
    cluster.run_for(Duration::from_secs(60));
    let term = cluster
        .raft(cluster.leader().expect("no leader"))
        .expect("the replica is not running")
        .term();
    cluster.heal();
    cluster.run_for(TIMING.election_timeout * 4);
    let after = cluster
        .raft(cluster.leader().expect("no leader"))
        .expect("the replica is not running")
        .term();
    assert_eq!(term, after, "pre-vote must keep the returning replica from raising the term");
    cluster.recover();
}

/// Guards against a cluster that can elect no leader: the other replicas lack entries, so only the
/// replica that is being removed can win an election.
#[test]
fn a_leader_that_restarts_before_its_removal_is_replicated_is_still_elected() {
    let (mut cluster, old) = cluster_with_leader(2, 6);
    cluster.isolate([old]);
    assert!(cluster.propose_change(old, Change::Remove(old)));
    cluster.crash(old);
    // Messages still in flight are dropped by the partition.
    cluster.run_for(Duration::from_millis(10));
    cluster.start(old);
    cluster.recover();
    assert!(
        cluster.leader().is_none_or(|leader| leader != old),
        "the removed replica must not lead"
    );
}

#[test]
fn a_replica_that_missed_hundreds_of_entries_receives_a_snapshot() {
    let (mut cluster, leader) = cluster_with_leader(3, 2);
    let missing = others(&cluster, leader)[0];
    cluster.crash(missing);
    for _ in 0..400 {
        cluster.propose(leader);
        cluster.step();
    }
    cluster.compact(leader);
    assert!(cluster.raft(leader).expect("the replica is not running").snapshot_index() > 300);
    cluster.start(missing);
    cluster.recover();
    assert!(
        cluster.raft(missing).expect("the replica is not running").snapshot_index() > 300,
        "the replica must have received a snapshot"
    );
}

#[test]
fn a_second_host_may_fail_right_after_the_first_is_replaced() {
    let (mut cluster, leader) = cluster_with_leader(3, 3);
    for _ in 0..50 {
        cluster.propose(leader);
    }
    cluster.run_for(Duration::from_millis(100));
    let [lost, second] = others(&cluster, leader)[..] else { panic!("expected three replicas") };
    cluster.crash(lost);
    // An empty host with a new id joins as a learner and replaces the lost one.
    cluster.add(9);
    cluster.run_until("a learner is added", |cluster| {
        cluster.propose_change(leader, Change::AddLearner(9))
    });
    cluster.run_until("the learner is promoted", |cluster| {
        cluster.propose_change(leader, Change::Promote(9))
    });
    cluster.run_until("the promotion is applied", |cluster| {
        cluster.raft(leader).is_some_and(|raft| raft.applied() == raft.last_index())
    });
    cluster.run_until("the lost replica is removed", |cluster| {
        cluster.propose_change(leader, Change::Remove(lost))
    });
    cluster.run_until("the removal is applied", |cluster| {
        cluster.raft(leader).is_some_and(|raft| raft.applied() == raft.last_index())
    });
    // The second host fails as soon as the first is replaced.
    cluster.crash(second);
    let acknowledged = cluster.acknowledged.len();
    cluster.propose(leader);
    cluster.run_until("a new proposal is acknowledged", |cluster| {
        cluster.acknowledged.len() > acknowledged
    });
}

#[test]
fn a_learner_that_lacks_entries_is_not_promoted() {
    let (mut cluster, leader) = cluster_with_leader(3, 4);
    for _ in 0..50 {
        cluster.propose(leader);
    }
    cluster.run_for(Duration::from_millis(100));
    cluster.add(9);
    cluster.isolate([9]);
    cluster.run_until("a learner is added", |cluster| {
        cluster.propose_change(leader, Change::AddLearner(9))
    });
    cluster.run_for(Duration::from_secs(1));
    let raft = cluster
        .replicas
        .get_mut(&leader)
        .and_then(|r| r.raft.as_mut())
        .expect("the replica is not running");
    assert_eq!(raft.propose_change(Change::Promote(9)), Err(ChangeError::NotCaughtUp));
}

#[test]
fn only_one_membership_change_is_in_progress_and_the_last_voter_is_never_removed() {
    let (mut cluster, leader) = cluster_with_leader(3, 5);
    let followers = others(&cluster, leader);
    cluster.isolate(followers);
    let raft = cluster
        .replicas
        .get_mut(&leader)
        .and_then(|r| r.raft.as_mut())
        .expect("the replica is not running");
    assert!(raft.propose_change(Change::AddLearner(8)).is_ok());
    assert_eq!(raft.propose_change(Change::AddLearner(9)), Err(ChangeError::InProgress));

    let (mut cluster, leader) = cluster_with_leader(1, 6);
    let raft = cluster
        .replicas
        .get_mut(&leader)
        .and_then(|r| r.raft.as_mut())
        .expect("the replica is not running");
    assert_eq!(raft.propose_change(Change::Remove(leader)), Err(ChangeError::LastVoter));
    assert_eq!(raft.propose_change(Change::Promote(7)), Err(ChangeError::NotApplicable));
}

#[test]
fn a_replica_whose_disk_failed_no_longer_votes_or_acknowledges() {
    let (mut cluster, leader) = cluster_with_leader(3, 7);
    for id in others(&cluster, leader) {
        cluster
            .replicas
            .get_mut(&id)
            .and_then(|r| r.raft.as_mut())
            .expect("the replica is not running")
            .disk_failed();
    }
    cluster.propose(leader);
    cluster.run_for(Duration::from_secs(2));
    assert_eq!(cluster.acknowledged.len(), 0);
    assert_eq!(cluster.leader(), None, "no leader without a quorum");
}

#[test]
fn a_leader_that_was_frozen_holds_no_lease() {
    let (mut cluster, old) = cluster_with_leader(3, 8);
    cluster.freeze(old, TIMING.election_timeout * 6);
    cluster
        .run_until("another replica leads", |cluster| cluster.leader().is_some_and(|id| id != old));
    // The cluster checks after each step that at most one replica holds a leader lease.
    cluster.run_for(TIMING.election_timeout * 10);
    cluster.recover();
}

/// Guards against a follower that counts as caught up through a leader that has been replaced.
#[test]
fn a_follower_of_an_isolated_leader_does_not_count_as_caught_up() {
    for seed in 0..50 {
        let (mut cluster, old) = cluster_with_leader(5, seed);
        let follower = others(&cluster, old)[0];
        cluster.isolate([old, follower]);
        let end = cluster.now + TIMING.election_timeout * 4;
        while cluster.now < end {
            // The cluster checks `caught_up_at` of all replicas after each step.
            if let Some(new) = cluster.leader().filter(|new| *new != old) {
                cluster.propose(new);
            }
            cluster.step();
        }
        assert!(
            !cluster.acknowledged.is_empty(),
            "seed {seed}: the majority must acknowledge proposals"
        );
    }
}
