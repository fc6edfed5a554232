//! The replicated log under seeded random schedules of faults.

use std::time::Duration;

use kumquatpost::log::raft::Change;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;

use crate::log_cluster::{Cluster, Faults, NO_FAULTS};

/// Uses a fixed seed, so that every run tests the same schedules.
fn fixed_seed_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(2026),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// One random fault, repair or request.
fn random_action(cluster: &mut Cluster, allow_data_loss: bool) {
    let ids = cluster.ids();
    let node = ids[cluster.random.random_range(0..ids.len())];
    match cluster.random.random_range(0..22) {
        20 => {
            cluster.crash(node);
            cluster.start(node);
        }
        21 => ids.iter().for_each(|id| {
            cluster.crash(*id);
            cluster.start(*id);
        }),
        0 => cluster.crash(node),
        1 => {
            let freeze_duration = Duration::from_millis(cluster.random.random_range(50..1_500));
            cluster.freeze(node, freeze_duration);
        }
        2 => cluster.isolate([node]),
        3 => cluster.isolate(ids.iter().copied().filter(|id| id % 2 == node % 2)),
        4 | 5 => cluster.heal(),
        6 => cluster.compact(node),
        7 if allow_data_loss => {
            // Only one replica at a time: if two lose data, an acknowledged entry may survive on no majority.
            let recovering =
                ids.iter().any(|id| cluster.raft(*id).is_none_or(|raft| raft.status().recovering));
            if !recovering {
                let entries = cluster.random.random_range(1..6);
                cluster.lose_log_tail(node, entries);
                cluster.start(node);
            }
        }
        8..=10 => ids.iter().for_each(|id| cluster.start(*id)),
        11 | 12 => ids.iter().for_each(|id| cluster.read(*id)),
        13 => {
            let change = match cluster.random.random_range(0..3) {
                0 => Change::AddLearner(node),
                1 => Change::Promote(node),
                _ => Change::Remove(node),
            };
            ids.iter().for_each(|id| {
                cluster.propose_change(*id, change);
            });
        }
        _ => ids.iter().for_each(|id| cluster.propose(*id)),
    }
    let duration = Duration::from_millis(cluster.random.random_range(5..120));
    cluster.run_for(duration);
}

proptest! {
    #![proptest_config(fixed_seed_config(200))]

    #[test]
    fn no_committed_entry_is_lost_and_no_term_has_two_leaders(
        seed in any::<u64>(),
        voters in 1_u64..=5,
        loss_probability in 0.0..0.3,
        duplicate_probability in 0.0..0.2,
        crash_probability in 0.0..0.1,
        save_ms in prop::sample::select(vec![0_u64, 0, 20, 150, 600]),
    ) {
        let mut cluster = Cluster::new(voters, seed);
        cluster.add(voters + 1);
        cluster.faults = Faults {
            loss_probability,
            duplicate_probability,
            max_delay: Duration::from_millis(60),
            crash_during_save_probability: crash_probability,
            save_duration: Duration::from_millis(save_ms),
        };
        for _ in 0..120 {
            random_action(&mut cluster, false);
        }
        cluster.recover();
    }

    /// Guards against a replica that counts as caught up as of the receipt of a leader's message, which
    /// may have been delayed.
    #[test]
    fn a_replica_does_not_overstate_when_it_was_last_caught_up(
        seed in any::<u64>(),
        loss_probability in 0.0..0.2,
        save_ms in prop::sample::select(vec![0_u64, 20, 150]),
    ) {
        let mut cluster = Cluster::new(5, seed);
        cluster.faults = Faults {
            loss_probability,
            max_delay: Duration::from_millis(60),
            save_duration: Duration::from_millis(save_ms),
            ..NO_FAULTS
        };
        for _ in 0..120 {
            random_action(&mut cluster, false);
        }
        cluster.recover();
    }

    #[test]
    fn a_replica_that_lost_synced_data_does_not_make_others_lose_it(
        seed in any::<u64>(),
        loss_probability in 0.0..0.1,
        save_ms in prop::sample::select(vec![0_u64, 0, 20, 150]),
    ) {
        let mut cluster = Cluster::new(3, seed);
        cluster.faults = Faults {
            loss_probability,
            duplicate_probability: 0.05,
            max_delay: Duration::from_millis(60),
            crash_during_save_probability: 0.0,
            save_duration: Duration::from_millis(save_ms),
        };
        for _ in 0..120 {
            random_action(&mut cluster, true);
        }
    }
}

/// Guards against writing entries to disk again after the snapshot that contains them.
#[test]
fn a_pending_snapshot_drops_the_pending_entries_that_it_contains() {
    let mut cluster = Cluster::new(3, 6_452_546_465_470_752_069);
    cluster.add(4);
    cluster.faults = Faults {
        loss_probability: 0.120_467_003_634_130_5,
        duplicate_probability: 0.122_361_624_968_166_7,
        max_delay: Duration::from_millis(60),
        save_duration: Duration::from_millis(20),
        ..NO_FAULTS
    };
    for _ in 0..120 {
        random_action(&mut cluster, false);
    }
    cluster.recover();
}
