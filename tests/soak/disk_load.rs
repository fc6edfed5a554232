//! Periodic write load on the disk that all replicas share.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Harness;

/// One in this many seeds loads the disk, as this slows down all writes of the machine.
const ONE_SEED_IN: u64 = 4;
/// Number of concurrent writers.
const WRITERS: usize = 6;
/// Size at which a file is synced and rewritten.
const FILE_BYTES: usize = 16 << 20;

/// Loads the disk at random intervals until no more faults are injected.
pub async fn run(harness: Arc<Harness>, faults_done: Arc<AtomicBool>) {
    if !harness.seed.is_multiple_of(ONE_SEED_IN) {
        return;
    }
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x6469_736b);
    while !faults_done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(4_000..12_000))).await;
        let deadline = Instant::now() + Duration::from_millis(random.random_range(1_000..5_000));
        let fault_index = harness.begin_fault();
        let folder = harness.system().folder.path().to_path_buf();
        let writers = (0..WRITERS).map(|n| {
            let path = folder.join(format!("busy-{n}"));
            tokio::task::spawn_blocking(move || write_until(path, deadline))
        });
        for writer in writers.collect::<Vec<_>>() {
            writer.await.expect("the task does not panic");
        }
        harness.end_fault(fault_index);
    }
}

fn write_until(path: PathBuf, deadline: Instant) {
    let block = vec![7; 1 << 20];
    while Instant::now() < deadline {
        let mut file = File::create(&path).expect("the file is writable");
        for _ in 0..FILE_BYTES / block.len() {
            file.write_all(&block).expect("the disk has space");
        }
        file.sync_all().expect("the file is synced");
    }
    std::fs::remove_file(&path).expect("the file can be removed");
}
