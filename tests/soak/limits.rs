//! Targets that name a rate limit for a while, beside all other faults.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use super::platform_stand_in::limits::{KNOWN_WITHIN, WINDOW};
use super::{HELD_UP_TIME, Harness};

/// How often it is checked whether the faults have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between the end of one limit and the next one.
const MAX_PAUSE_MS: u64 = 3_000;
/// Bounds of a limit. Idle targets get more than that.
const REQUESTS_PER_S: std::ops::Range<f64> = 1.0..8.0;

/// Lets one target after the other name a limit until the faults end.
pub async fn run(harness: Arc<Harness>, faults_done: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x6c69_6d69);
    while !faults_done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(200..MAX_PAUSE_MS))).await;
        let ids: Vec<String> = harness.platform.lock().targets.keys().cloned().collect();
        let Some(id) = ids.choose(&mut random) else { continue };
        harness.platform.set_limit(id, Some(random.random_range(REQUESTS_PER_S)));
        let lasts = KNOWN_WITHIN + WINDOW.mul_f64(random.random_range(0.2..2.0));
        let ends_at = Instant::now() + lasts;
        while Instant::now() < ends_at && !faults_done.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        harness.platform.set_limit(id, None);
    }
}

/// Returns descriptions of windows in which a target got more requests than it takes, unless a
/// fault may have held up requests, or news of the limit.
pub fn excesses(harness: &Harness) -> Vec<String> {
    let recorded = harness.platform.lock().observations.limit_excesses.clone();
    let is_excused = |at: Instant| harness.had_fault_between(at - WINDOW - HELD_UP_TIME, at);
    let (excused, unexcused): (Vec<_>, Vec<_>) =
        recorded.into_iter().partition(|(at, _)| is_excused(*at));
    if let Some((_, first)) = excused.first() {
        println!("seed {}: during a fault: {first}", harness.seed);
    }
    unexcused.into_iter().map(|(_, what)| what).collect()
}
