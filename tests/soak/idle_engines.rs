//! Checks, after the last fault, that engines with room are used while callers ask for more than all engines can
//! run, although entries whose prompts have filled the engines are paused.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::Harness;
use super::callers::{self, ACCOUNTS, Question, RequestKind};

/// How long an engine that could run prompts may run none: a second, and the time that its reports take.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// How long the entries are paused.
const PAUSE: Duration = Duration::from_secs(5);
/// Time in which the prompts of these entries fill the engines.
const FILL_TIME: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Requests that an engine runs at once.
const SLOTS: u32 = 3;
/// Callers for each request that the engines run at once.
const CALLERS_PER_SLOT: u32 = 2;
/// Number of events of a stream, which lasts for about a second.
const EVENTS: u64 = 120;
/// Time between the refusal of a prompt and the next one of its caller.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Pauses half of the entries and records engines that are idle for too long. Does nothing with one entry.
pub async fn check(harness: &Arc<Harness>) {
    let paused = 0..harness.entries / 2;
    let sound = paused.end..harness.entries;
    if paused.is_empty() {
        return;
    }
    set_slots(harness, Some(SLOTS));
    let (mut filling, mut asking) = (Callers::default(), Callers::default());
    filling.start(harness, &paused, "fill");
    tokio::time::sleep(FILL_TIME).await;
    let fault = harness.begin_fault();
    paused.clone().for_each(|entry| harness.system().pause(entry));
    asking.start(harness, &sound, "ask");
    watch_engines(harness).await;
    paused.for_each(|entry| harness.system().resume(entry));
    harness.end_fault(fault);
    filling.close().await;
    asking.close().await;
    set_slots(harness, None);
}

fn set_slots(harness: &Harness, slots: Option<u32>) {
    let mut platform = harness.platform.lock();
    let engines = platform.targets.values_mut().filter(|target| target.weights.is_some());
    engines.for_each(|engine| engine.max_running = slots);
    platform.list_changed();
}

/// Records each engine that is idle for too long while the entries are paused.
async fn watch_engines(harness: &Harness) {
    let begun = Instant::now();
    let mut idle_since: BTreeMap<String, Instant> = BTreeMap::new();
    while begun.elapsed() < PAUSE {
        let idle = idle_engines(harness);
        idle_since.retain(|id, _| idle.contains(id));
        for id in idle {
            idle_since.entry(id).or_insert_with(Instant::now);
        }
        if let Some((id, since)) = idle_since.iter().find(|(_, since)| since.elapsed() > MAX_IDLE) {
            let from = since.duration_since(begun);
            return harness.record_violation(format!(
                "{id} has room and is idle for more than {MAX_IDLE:?}, from {from:?} after the pause of entries began"
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Engines that could run prompts and run none.
fn idle_engines(harness: &Harness) -> Vec<String> {
    let platform = harness.platform.lock();
    let engines = platform.targets.values().filter(|target| target.weights.is_some());
    let idle = engines.filter(|target| target.is_idle() && platform.runs(&target.id, target.start));
    idle.map(|target| target.id.clone()).collect()
}

/// Callers of which each has one prompt in progress at any time.
#[derive(Default)]
struct Callers {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    fn start(&mut self, harness: &Arc<Harness>, entries: &Range<usize>, name: &'static str) {
        let platform = harness.platform.lock();
        let engines = platform.targets.values().filter(|target| target.weights.is_some()).count();
        drop(platform);
        for number in 0..engines * (SLOTS * CALLERS_PER_SLOT) as usize {
            let entry = entries.start + number % entries.len();
            let id = format!("{}{name}-{number}", RequestKind::Stream.prefix());
            self.tasks.spawn(ask_repeatedly(harness.clone(), entry, id, self.stop.clone()));
        }
    }

    async fn close(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("the task does not panic");
        }
    }
}

async fn ask_repeatedly(harness: Arc<Harness>, entry: usize, id: String, stop: Arc<AtomicBool>) {
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let request_id = format!("{id}-{count}");
        let question = Question {
            kind: RequestKind::Stream,
            events: EVENTS,
            account: count % ACCOUNTS.len(),
            parts: Some(format!("{id}:1000,{request_id}:200")),
            request_id,
        };
        let is_whole = match callers::connect_to(&harness, entry).await {
            Some(mut connection) => {
                let outcome = callers::ask(&harness, &question, &mut connection, None).await;
                matches!(outcome, callers::Outcome::Answer { status: 200, is_whole: true, .. })
            }
            None => false,
        };
        if !is_whole {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
