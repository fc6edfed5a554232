//! The log under seeded random schedules of faults.

use std::time::Duration;

use kumquatpost::log::raft::Change;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;

use crate::log_cluster::{Faults, NO_FAULTS, World};

/// The same schedules on every run.
fn schedules(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(2026),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// One random fault, repair or request.
fn disturb(world: &mut World, lossy_disks: bool) {
    let ids = world.ids();
    let one = ids[world.random.random_range(0..ids.len())];
    match world.random.random_range(0..22) {
        20 => {
            world.crash(one);
            world.start(one);
        }
        21 => ids.iter().for_each(|id| {
            world.crash(*id);
            world.start(*id);
        }),
        0 => world.crash(one),
        1 => {
            let time = Duration::from_millis(world.random.random_range(50..1_500));
            world.freeze(one, time);
        }
        2 => world.cut_off([one]),
        3 => world.cut_off(ids.iter().copied().filter(|id| id % 2 == one % 2)),
        4 | 5 => world.heal(),
        6 => world.compact(one),
        7 if lossy_disks => {
            // One disk at a time: with two lost, no majority need hold what was acknowledged.
            let recovering =
                ids.iter().any(|id| world.raft(*id).is_none_or(|raft| raft.status().recovering));
            if !recovering {
                let entries = world.random.random_range(1..6);
                world.lose_tail(one, entries);
                world.start(one);
            }
        }
        8..=10 => ids.iter().for_each(|id| world.start(*id)),
        11 | 12 => ids.iter().for_each(|id| world.read(*id)),
        13 => {
            let change = match world.random.random_range(0..3) {
                0 => Change::AddLearner(one),
                1 => Change::Promote(one),
                _ => Change::Remove(one),
            };
            ids.iter().for_each(|id| {
                world.change(*id, change);
            });
        }
        _ => ids.iter().for_each(|id| world.propose(*id)),
    }
    let pause = Duration::from_millis(world.random.random_range(5..120));
    world.run(pause);
}

proptest! {
    #![proptest_config(schedules(200))]

    #[test]
    fn nothing_committed_is_lost_and_leaders_are_alone(
        seed in any::<u64>(),
        voters in 1_u64..=5,
        loss in 0.0..0.3,
        duplicates in 0.0..0.2,
        crashes in 0.0..0.1,
        save_ms in prop::sample::select(vec![0_u64, 0, 20, 150, 600]),
    ) {
        let mut world = World::new(voters, seed);
        world.add(voters + 1);
        world.faults = Faults {
            loss,
            duplicates,
            longest_delay: Duration::from_millis(60),
            crash_while_syncing: crashes,
            save_takes: Duration::from_millis(save_ms),
        };
        for _ in 0..120 {
            disturb(&mut world, false);
        }
        world.recover();
    }

    /// Guards against a replica that takes a leader's message for news as of when it reads it.
    #[test]
    fn a_replica_had_all_when_it_says_that_it_last_had_all(
        seed in any::<u64>(),
        loss in 0.0..0.2,
        save_ms in prop::sample::select(vec![0_u64, 20, 150]),
    ) {
        let mut world = World::new(5, seed);
        world.faults = Faults {
            loss,
            longest_delay: Duration::from_millis(60),
            save_takes: Duration::from_millis(save_ms),
            ..NO_FAULTS
        };
        for _ in 0..120 {
            disturb(&mut world, false);
        }
        world.recover();
    }

    #[test]
    fn a_replica_that_lost_synced_bytes_never_makes_others_lose_them(
        seed in any::<u64>(),
        loss in 0.0..0.1,
        save_ms in prop::sample::select(vec![0_u64, 0, 20, 150]),
    ) {
        let mut world = World::new(3, seed);
        world.faults = Faults {
            loss,
            duplicates: 0.05,
            longest_delay: Duration::from_millis(60),
            crash_while_syncing: 0.0,
            save_takes: Duration::from_millis(save_ms),
        };
        for _ in 0..120 {
            disturb(&mut world, true);
        }
    }
}

/// Guards against entries that are written again after the snapshot that holds them.
#[test]
fn a_snapshot_that_waits_for_a_save_goes_before_the_entries_that_wait_with_it() {
    let mut world = World::new(3, 6_452_546_465_470_752_069);
    world.add(4);
    world.faults = Faults {
        loss: 0.120_467_003_634_130_5,
        duplicates: 0.122_361_624_968_166_7,
        longest_delay: Duration::from_millis(60),
        save_takes: Duration::from_millis(20),
        ..NO_FAULTS
    };
    for _ in 0..120 {
        disturb(&mut world, false);
    }
    world.recover();
}
