//! Replicas whose disks are slow, all at once: several processes of one machine share a disk.

use std::time::Duration;

use kumquatpost::ids::NodeId;

use crate::log_cluster::{TIMING, World};

/// How long saves take, up to a disk that is shared with heavy writers.
const SAVES_TAKE_MS: [u64; 5] = [50, 100, 200, 400, 800];
/// A leader must be there again within this time: for so long a deployment may be in force later while the
/// replicas are disturbed.
const LED_WITHIN: Duration = Duration::from_secs(5);
/// For so long a replica that has not had all from its leader still publishes to entries.
const CURRENT_WITHIN: Duration = Duration::from_millis(500);

fn with_leader(seed: u64) -> (World, NodeId) {
    let mut world = World::new(5, seed);
    world.run_until("there is a leader", |world| world.leader().is_some());
    world.run(TIMING.election_timeout * 2);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

fn sure_leader(world: &World) -> Option<NodeId> {
    let is_sure =
        |id: &NodeId| world.raft(*id).is_some_and(|raft| raft.holds_leader_lease(world.clock(*id)));
    world.ids().into_iter().find(is_sure)
}

/// Guards against elections that never end while saves take longer than a candidate waits for votes.
#[test]
fn a_lost_leader_is_replaced_while_all_disks_are_slow() {
    for (seed, save_ms) in (0..20).flat_map(|seed| SAVES_TAKE_MS.map(|save_ms| (seed, save_ms))) {
        let (mut world, lost) = with_leader(seed);
        world.faults.save_takes = Duration::from_millis(save_ms);
        world.crash(lost);
        let end = world.now + LED_WITHIN;
        while sure_leader(&world).is_none() {
            assert!(world.now < end, "seed {seed}: no leader, saves take {save_ms} ms");
            world.step();
        }
    }
}

/// Guards against replicas that fall silent while their disks write: entries hear of changes from nobody then.
#[test]
fn a_leader_and_who_follows_it_stay_current_while_all_disks_are_slow() {
    for (seed, save_ms) in (0..10).flat_map(|seed| SAVES_TAKE_MS.map(|save_ms| (seed, save_ms))) {
        let (mut world, leader) = with_leader(seed);
        world.faults.save_takes = Duration::from_millis(save_ms);
        let end = world.now + Duration::from_secs(10);
        let mut change_at = world.now;
        while world.now < end {
            if world.now >= change_at {
                change_at += Duration::from_millis(700);
                world.propose(leader);
            }
            world.step();
            for id in world.ids() {
                let now = world.clock(id);
                let at = world.raft(id).and_then(|raft| raft.caught_up_at(now));
                let is_current = at.is_some_and(|at| now.saturating_sub(at) <= CURRENT_WITHIN);
                assert!(is_current, "seed {seed}: {id} is silent, saves take {save_ms} ms");
            }
        }
        assert!(world.acknowledged.len() >= 8, "changes are still taken");
    }
}
