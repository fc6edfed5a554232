//! The log in the cases that the brief names.

use std::time::Duration;

use kumquatpost::log::raft::{Change, ChangeError};

use crate::log_cluster::{TIMING, World};

fn with_leader(voters: u64, seed: u64) -> (World, u64) {
    let mut world = World::new(voters, seed);
    world.run_until("there is a leader", |world| world.leader().is_some());
    world.run(TIMING.election_timeout);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

fn others(world: &World, except: u64) -> Vec<u64> {
    world.ids().into_iter().filter(|id| *id != except).collect()
}

#[test]
fn an_isolated_leader_steps_down_and_confirms_nothing() {
    let (mut world, old) = with_leader(3, 1);
    world.cut_off([old]);
    world.propose(old);
    world.read(old);
    world.run(TIMING.election_timeout * 8);
    assert!(!world.raft(old).expect("it runs").status().is_leader);
    assert_eq!(world.reads_answered, 0, "a read needs a quorum");
    assert_eq!(world.acknowledged.len(), 0, "a proposal needs a quorum");
    assert!(world.leader().is_some_and(|new| new != old));
    // A long partition, then the return.
    world.run(Duration::from_secs(60));
    let term = world.raft(world.leader().expect("a leader")).expect("it runs").term();
    world.heal();
    world.run(TIMING.election_timeout * 4);
    let after = world.raft(world.leader().expect("a leader")).expect("it runs").term();
    assert_eq!(term, after, "pre-vote: the returned one does not disturb the leader");
    world.recover();
}

/// Found by the random schedules: the others lack entries, so they get no vote of the removed one, and it
/// alone could be elected.
#[test]
fn a_leader_that_starts_again_before_others_heard_of_its_removal_is_still_elected() {
    let (mut world, old) = with_leader(2, 6);
    world.cut_off([old]);
    assert!(world.change(old, Change::Remove(old)));
    world.crash(old);
    // What it has sent of that arrives nowhere.
    world.run(Duration::from_millis(10));
    world.start(old);
    world.recover();
    assert!(world.leader().is_none_or(|leader| leader != old), "it has left by now");
}

#[test]
fn a_replica_that_missed_hundreds_of_changes_gets_a_snapshot() {
    let (mut world, leader) = with_leader(3, 2);
    let missing = others(&world, leader)[0];
    world.crash(missing);
    for _ in 0..400 {
        world.propose(leader);
        world.step();
    }
    world.compact(leader);
    assert!(world.raft(leader).expect("it runs").snapshot_index() > 300);
    world.start(missing);
    world.recover();
    assert!(world.raft(missing).expect("it runs").snapshot_index() > 300, "it came by snapshot");
}

#[test]
fn a_second_host_may_be_lost_right_after_a_repair() {
    let (mut world, leader) = with_leader(3, 3);
    for _ in 0..50 {
        world.propose(leader);
    }
    world.run(Duration::from_millis(100));
    let [lost, second] = others(&world, leader)[..] else { panic!("three replicas") };
    world.crash(lost);
    // The repair: an empty host under a new id, first a learner.
    world.add(9);
    world.run_until("a learner is added", |world| world.change(leader, Change::AddLearner(9)));
    world.run_until("it has caught up", |world| world.change(leader, Change::Promote(9)));
    world.run_until("it counts", |world| {
        world.raft(leader).is_some_and(|raft| raft.applied() == raft.last_index())
    });
    world.run_until("the lost one is removed", |world| world.change(leader, Change::Remove(lost)));
    world.run_until("it does not count", |world| {
        world.raft(leader).is_some_and(|raft| raft.applied() == raft.last_index())
    });
    // Right after it, the second loss.
    world.crash(second);
    let acknowledged = world.acknowledged.len();
    world.propose(leader);
    world.run_until("the log goes on", |world| world.acknowledged.len() > acknowledged);
}

#[test]
fn a_learner_that_lacks_entries_is_not_promoted() {
    let (mut world, leader) = with_leader(3, 4);
    for _ in 0..50 {
        world.propose(leader);
    }
    world.run(Duration::from_millis(100));
    world.add(9);
    world.cut_off([9]);
    world.run_until("a learner is added", |world| world.change(leader, Change::AddLearner(9)));
    world.run(Duration::from_secs(1));
    let raft = world.replicas.get_mut(&leader).and_then(|r| r.raft.as_mut()).expect("it runs");
    assert_eq!(raft.propose_change(Change::Promote(9)), Err(ChangeError::NotCaughtUp));
}

#[test]
fn only_one_change_of_replicas_at_a_time_and_never_the_last_voter() {
    let (mut world, leader) = with_leader(3, 5);
    let cut = others(&world, leader);
    world.cut_off(cut);
    let raft = world.replicas.get_mut(&leader).and_then(|r| r.raft.as_mut()).expect("it runs");
    assert!(raft.propose_change(Change::AddLearner(8)).is_ok());
    assert_eq!(raft.propose_change(Change::AddLearner(9)), Err(ChangeError::InProgress));

    let (mut world, leader) = with_leader(1, 6);
    let raft = world.replicas.get_mut(&leader).and_then(|r| r.raft.as_mut()).expect("it runs");
    assert_eq!(raft.propose_change(Change::Remove(leader)), Err(ChangeError::LastVoter));
    assert_eq!(raft.propose_change(Change::Promote(7)), Err(ChangeError::NotApplicable));
}

#[test]
fn a_replica_whose_disk_failed_votes_and_acknowledges_no_more() {
    let (mut world, leader) = with_leader(3, 7);
    for id in others(&world, leader) {
        world.replicas.get_mut(&id).and_then(|r| r.raft.as_mut()).expect("it runs").disk_failed();
    }
    world.propose(leader);
    world.run(Duration::from_secs(2));
    assert_eq!(world.acknowledged.len(), 0);
    assert_eq!(world.leader(), None, "without a quorum nobody leads");
}

#[test]
fn a_frozen_leader_that_wakes_is_not_sure_to_lead() {
    let (mut world, old) = with_leader(3, 8);
    world.freeze(old, TIMING.election_timeout * 6);
    world.run_until("another one leads", |world| world.leader().is_some_and(|id| id != old));
    // The world checks at each step that no two are sure to lead.
    world.run(TIMING.election_timeout * 10);
    world.recover();
}

/// Guards against a follower that is kept current by a leader which others have replaced.
#[test]
fn who_follows_a_leader_that_was_cut_off_has_not_caught_up_by_it() {
    for seed in 0..50 {
        let (mut world, old) = with_leader(5, seed);
        let follower = others(&world, old)[0];
        world.cut_off([old, follower]);
        let end = world.now + TIMING.election_timeout * 4;
        while world.now < end {
            // The world checks after each step who holds itself for caught up.
            if let Some(new) = world.leader().filter(|new| *new != old) {
                world.propose(new);
            }
            world.step();
        }
        assert!(!world.acknowledged.is_empty(), "seed {seed}: the others go on");
    }
}
