//! Operators can read the status of a node at any rate.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::testenv::{TestEnv, TestEnvOptions};

const READER_COUNT: usize = 8;
/// Covers several rounds of the node's maintenance.
const READING_TIME: Duration = Duration::from_secs(10);

/// Guards against a deadlock between a read of the status and a maintenance task that take the same
/// locks in a different order.
#[test]
fn a_node_serves_while_its_status_is_read_all_the_time() {
    let env = TestEnv::start(TestEnvOptions { nodes: 1, replicas: 1, ..TestEnvOptions::default() });
    let end = Instant::now() + READING_TIME;
    let reads = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..READER_COUNT {
            scope.spawn(|| {
                while Instant::now() < end {
                    assert!(env.status(0).is_object(), "the node does not answer");
                    reads.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    assert!(env.send_prompt(0, "anna", "still here", 2).status().is_success());
    println!("{} reads", reads.load(Ordering::Relaxed));
}
