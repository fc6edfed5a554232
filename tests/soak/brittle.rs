//! Targets that are brittle for a while, beside all other faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::platform_stand_in::limits::KNOWN_WITHIN;
use super::{HELD_UP_TIME, Harness};

/// How often it is checked whether the faults have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two times of brittleness.
const MAX_PAUSE_MS: u64 = 3_000;
/// Bounds of the rejections that a target bears in a second.
const REJECTIONS_PER_S: std::ops::Range<usize> = 4..12;
/// Bounds of the number of requests that it holds at once. It runs 16.
const ROOM: std::ops::Range<u32> = 2..16;
/// Bounds of the time for which it holds no more, in milliseconds.
const SQUEEZED_MS: std::ops::Range<u64> = 500..6_000;

/// Makes one target after the other brittle until the faults end.
pub async fn run(harness: Arc<Harness>, faults_done: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x6272_6974);
    while !faults_done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(200..MAX_PAUSE_MS))).await;
        let ids: Vec<String> = harness.platform.lock().targets.keys().cloned().collect();
        let Some(id) = ids.choose(&mut random) else { continue };
        let bears = (random.random_range(REJECTIONS_PER_S), random.random_range(ROOM));
        harness.platform.set_brittle(id, Some(bears));
        let lasts = KNOWN_WITHIN + Duration::from_millis(random.random_range(SQUEEZED_MS));
        let (began, ends_at) = (Instant::now(), Instant::now() + lasts);
        while Instant::now() < ends_at && !faults_done.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        harness.platform.set_brittle(id, None);
        check(&harness, began);
    }
}

/// Records a violation if more crashes came in one time of brittleness than allowed: two, and a tenth of
/// the targets. Faults may hold up news of a rejection.
fn check(harness: &Harness, began: Instant) {
    let (overruns, targets) = {
        let platform = harness.platform.lock();
        (platform.observations.overruns.clone(), platform.targets.len())
    };
    let is_excused = |at: Instant| harness.had_fault_between(at - HELD_UP_TIME, at);
    let crashes = overruns.iter().filter(|(at, _)| *at >= began && !is_excused(*at));
    let crashes: Vec<&str> = crashes.map(|(_, what)| what.as_str()).collect();
    if crashes.len() as f64 > 2.0 + targets as f64 / 10.0 {
        harness.record_violation(format!("{} crashes: {crashes:?}", crashes.len()));
    }
}
