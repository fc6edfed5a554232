//! Series of pauses of the processes of sound targets: of all of a service, of half of them, or of one.
//! Pauses overlap, or follow each other soon. Entries are rolled meanwhile.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use super::Harness;
use super::platform_stand_in::store::clock_ms;
use super::silence::{self, Extent, Silence};
use super::system::Disturbance;

/// Bounds of the time between two series, in milliseconds.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 500..3_000;
/// Bounds of the number of pauses in a series.
const SERIES_LENGTH: std::ops::RangeInclusive<usize> = 1..=3;
/// Bounds of the length of a pause, in milliseconds.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 800..=1_800;
/// Bounds of the time between the starts of two pauses of a series, in milliseconds.
const PAUSE_INTERVAL_MS: std::ops::Range<u64> = 200..2_200;
/// A process runs at least this long between two pauses.
const MIN_AWAKE: Duration = Duration::from_millis(150);
/// Interval of checks whether paused processes have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for cold engines before all of them are paused.
const WARM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Services of which processes are paused together.
const SERVICES: [&[&str]; 4] = [&["llm"], &["llm"], &["app"], &["llm", "app"]];

/// Shares of the targets that are paused together.
const SHARES: [Share; 4] = [Share::One, Share::Half, Share::All, Share::All];

/// How many targets of a service are paused together.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Share {
    One,
    Half,
    All,
}

/// A process that is paused.
struct Paused {
    id: String,
    start: u64,
    address: SocketAddr,
    from: Instant,
    /// Whether it refuses what it reads at the end of the pause.
    wakes_full: bool,
}

/// The pauses of a run.
#[derive(Clone, Debug, Default)]
pub struct PauseHistory {
    /// Start and end of each time in which all engines were silent.
    common: Vec<(Instant, Option<Instant>)>,
    /// When processes went on, by listed address.
    resumed_at: HashMap<SocketAddr, Instant>,
    /// A line for each pause of a process, with the times of the logs.
    lines: Vec<String>,
    pub counts: PauseCounts,
}

/// Number of pauses, and of those with something else meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseCounts {
    pub all: u64,
    pub with_stopping_entry: u64,
    pub with_lost_replica: u64,
    pub with_new_version: u64,
}

impl PauseHistory {
    /// The times in which all engines were silent that overlap this one.
    pub fn common_between(&self, from: Instant, to: Instant) -> Vec<(Instant, Instant)> {
        let ended = self.common.iter().map(|(since, until)| (*since, until.unwrap_or(to)));
        ended.filter(|(since, until)| *since <= to && *until >= from).collect()
    }

    /// The pauses, a line for each process.
    pub fn log(&self) -> String {
        self.lines.join("\n")
    }

    /// Number of times in which all engines were silent.
    pub fn common_count(&self) -> usize {
        self.common.len()
    }
}

/// Pauses processes until the faults end.
pub async fn run(harness: Arc<Harness>, faults_done: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x7061_7573);
    let mut pauses = JoinSet::new();
    while !faults_done.load(Ordering::Relaxed) {
        let interval = Duration::from_millis(random.random_range(SERIES_INTERVAL_MS));
        tokio::time::sleep(interval).await;
        for _ in 0..random.random_range(SERIES_LENGTH) {
            let share = *SHARES.choose(&mut random).expect("the choices are not empty");
            if share == Share::All {
                wait_for_cold_engines(&harness).await;
            }
            let group = choose_group(&harness, share, &mut random);
            let length = Duration::from_millis(random.random_range(PAUSE_MS));
            pauses.spawn(pause(harness.clone(), group, length));
            let interval = Duration::from_millis(random.random_range(PAUSE_INTERVAL_MS));
            tokio::time::sleep(interval / 2).await;
            roll_entry(&harness, &mut random);
            tokio::time::sleep(interval / 2).await;
        }
    }
    pauses.join_all().await;
}

async fn wait_for_cold_engines(harness: &Harness) {
    let begun = Instant::now();
    let has_cold = || harness.platform.lock().targets.values().any(|target| target.is_cold());
    while has_cold() && begun.elapsed() < WARM_TIMEOUT {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Chooses running targets that are not silent. Cold engines are left out: what they read at once after a
/// pause would count as a burst that entries have sent.
fn choose_group(harness: &Harness, share: Share, random: &mut SmallRng) -> Vec<Paused> {
    let services = *SERVICES.choose(random).expect("the choices are not empty");
    let mut group: Vec<Paused> = {
        let platform = harness.platform.lock();
        let targets = platform.targets.values().filter(|target| {
            services.contains(&target.service.as_str())
                && target.is_listed
                && platform.runs(&target.id, target.start)
                && !target.is_cold()
        });
        let paused = targets.map(|target| Paused {
            id: target.id.clone(),
            start: target.start,
            address: target.listed_address,
            from: Instant::now(),
            wakes_full: false,
        });
        paused.collect()
    };
    group.shuffle(random);
    let wakes_full = random.random_ratio(1, 2);
    group.iter_mut().for_each(|paused| paused.wakes_full = wakes_full);
    let count = match share {
        Share::One => 1,
        Share::Half => group.len().div_ceil(2),
        Share::All => group.len(),
    };
    group.truncate(count);
    let history = harness.pauses();
    let is_awake = |address: &SocketAddr| {
        history.resumed_at.get(address).is_none_or(|at: &Instant| at.elapsed() > MIN_AWAKE)
    };
    group
        .retain(|paused| is_awake(&paused.address) && !silence::is_silent(harness, paused.address));
    group
}

/// Pauses processes for a time. One that ends, or starts anew, is not paused any more.
async fn pause(harness: Arc<Harness>, mut group: Vec<Paused>, length: Duration) {
    let from = Instant::now();
    let extent = Extent::Process;
    harness.silences.send_modify(|silences| {
        silences.extend(group.iter().map(|paused| Silence { address: paused.address, extent }));
    });
    while from.elapsed() < length {
        record_common(&harness);
        tokio::time::sleep(POLL_INTERVAL.min(length.saturating_sub(from.elapsed()))).await;
        let ended: Vec<Paused> = {
            let platform = harness.platform.lock();
            group.extract_if(.., |paused| !platform.runs(&paused.id, paused.start)).collect()
        };
        resume(&harness, &ended);
    }
    resume(&harness, &group);
    count(&harness, from);
}

fn resume(harness: &Harness, group: &[Paused]) {
    if group.is_empty() {
        return;
    }
    let addresses: Vec<SocketAddr> = group.iter().map(|paused| paused.address).collect();
    group.iter().for_each(|paused| {
        harness.platform.record_pause(&paused.id, paused.from, paused.wakes_full);
    });
    silence::end(harness, &addresses);
    record_common(harness);
    let resumed = addresses.into_iter().map(|address| (address, Instant::now()));
    let mut history = harness.pauses();
    history.resumed_at.extend(resumed);
    history.lines.extend(group.iter().map(|paused| {
        let length = paused.from.elapsed();
        let (id, start) = (&paused.id, paused.start);
        format!("until={} target={id} start={start} paused_for={length:?}", clock_text())
    }));
}

/// Records whether all engines are silent, on all connections.
fn record_common(harness: &Harness) {
    let silences = harness.silences.borrow().clone();
    let is_silent = |address| {
        let mut of_target = silences.iter().filter(|silence| silence.address == address);
        of_target.any(|silence| silence.extent != Extent::Writes { spares_half: true })
    };
    let is_common = {
        let platform = harness.platform.lock();
        let running = platform
            .targets
            .values()
            .filter(|target| target.weights.is_some() && platform.runs(&target.id, target.start));
        let mut engines = running.map(|target| target.listed_address).peekable();
        engines.peek().is_some() && engines.all(is_silent)
    };
    let mut history = harness.pauses();
    let in_progress = history.common.last_mut().filter(|(_, until)| until.is_none());
    match (in_progress, is_common) {
        (Some((_, until)), false) => *until = Some(Instant::now()),
        (None, true) => history.common.push((Instant::now(), None)),
        (Some(_), true) | (None, false) => {}
    }
}

/// Stops or reloads an entry in some pauses, if all entries are up. One that is cut off needs the others.
fn roll_entry(harness: &Harness, random: &mut SmallRng) {
    let entry = random.random_range(0..harness.entries);
    let choice = random.random_range(0..8);
    let mut system = harness.system();
    let is_any_cut_off = harness.cut_off.borrow().is_some();
    if is_any_cut_off || !(0..harness.entries).all(|entry| system.is_up(entry)) {
        return;
    }
    match choice {
        0 => system.stop(entry),
        1 => system.reload(entry),
        _ => {}
    }
}

/// The time of day, as in the logs.
fn clock_text() -> String {
    let now_ms = clock_ms();
    let (seconds, ms) = (now_ms / 1_000, now_ms % 1_000);
    let (hours, minutes) = (seconds / 3_600 % 24, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{ms:03}", seconds % 60)
}

fn count(harness: &Harness, from: Instant) {
    let now = Instant::now();
    let (has_stopping_entry, has_lost_replica) = {
        let system = harness.system();
        let had = |n: usize, what| system.disturbances_between(n, from, now).contains(&what);
        let mut replicas = system.replicas();
        (
            (0..harness.entries).any(|n| had(n, Disturbance::Stop)),
            replicas.any(|n| had(n, Disturbance::Unplanned)),
        )
    };
    let has_new_version = harness.published().has_new_since(from);
    let counts = &mut harness.pauses().counts;
    counts.all += 1;
    counts.with_stopping_entry += u64::from(has_stopping_entry);
    counts.with_lost_replica += u64::from(has_lost_replica);
    counts.with_new_version += u64::from(has_new_version);
}
