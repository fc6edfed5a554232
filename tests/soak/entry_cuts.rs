//! Entries whose connections to all targets are reset for a while, beside all other faults. Their
//! callers must be served about as well as those of the other entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::{HELD_UP_TIME, Harness};

/// How often it is checked whether the faults have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Bounds of the time between two cuts, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 500..4_000;
/// Requests of the first seconds of a cut don't count.
const NOTICED_WITHIN: Duration = Duration::from_secs(3);
/// Bounds of the time that counts, in milliseconds.
const JUDGED_MS: std::ops::Range<u64> = 1_000..4_000;

/// A request to a plain service that a caller has sent once, to this entry. Prompts are refused at all
/// entries alike while engines are cold.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub entry: usize,
    pub sent_at: Instant,
    pub is_served: bool,
}

/// A time in which an entry was cut off.
#[derive(Clone, Copy, Debug)]
pub struct Cut {
    pub entry: usize,
    /// Its end; `None` while it lasts.
    pub until: Option<Instant>,
}

/// Cuts off one entry after the other until the faults end.
pub async fn run(harness: Arc<Harness>, faults_done: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x6375_7473);
    while harness.entries > 1 && !faults_done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let entry = random.random_range(0..harness.entries);
        let Some(pid) = harness.system().pid(entry) else { continue };
        let cuts = || harness.cuts.lock().expect("the lock is not poisoned");
        cuts().push(Cut { entry, until: None });
        harness.cut_off.send_replace(Some(pid));
        let from = Instant::now() + NOTICED_WITHIN;
        let to = from + Duration::from_millis(random.random_range(JUDGED_MS));
        while Instant::now() < to && !faults_done.load(Ordering::Relaxed) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let to = Instant::now();
        harness.cut_off.send_replace(None);
        cuts().last_mut().expect("it was added").until = Some(to);
        let is_same = harness.system().pid(entry) == Some(pid);
        let had_fault = harness.had_fault_between(from - NOTICED_WITHIN - HELD_UP_TIME, to);
        if is_same && !had_fault && to > from {
            judge(&harness, entry, from, to);
        }
    }
}

fn judge(harness: &Harness, entry: usize, from: Instant, to: Instant) {
    let attempts = harness.attempts.lock().expect("the lock is not poisoned").clone();
    let judged = attempts.iter().filter(|attempt| (from..to).contains(&attempt.sent_at));
    let (cut, others): (Vec<&Attempt>, Vec<&Attempt>) =
        judged.partition(|attempt| attempt.entry == entry);
    let served = |attempts: &[&Attempt]| attempts.iter().filter(|a| a.is_served).count();
    let (cut_served, others_served) = (served(&cut), served(&others));
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    let is_less = share(cut_served, cut.len()) * 3.0 < share(others_served, others.len()) * 2.0;
    let failed = cut.len() - cut_served;
    harness.cuts_judged.fetch_add(1, Ordering::Relaxed);
    if is_less && failed > 10 + cut.len() / 50 {
        harness.record_violation(format!(
            "entry-{entry} is cut off from targets and serves {cut_served} of {} requests, the \
             others {others_served} of {}",
            cut.len(),
            others.len()
        ));
    }
}
