//! Prompts with a part that crashes targets, no two alike, beside sound ones that share their account,
//! their route and their first part. Entries must hold the former and serve the latter.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use super::Harness;
use super::callers::{self, ACCOUNTS, DeferredCheck, Outcome, Question, RequestKind};
use super::platform_stand_in::target::CRASHING_PART_PREFIX;
use super::system::Disturbance;

/// Number of concurrent callers whose prompts crash targets, and their longest pause.
const CRASHING_CALLERS: usize = 3;
const MAX_CRASHING_PAUSE_MS: u64 = 500;
/// Number of concurrent callers with sound prompts, and their longest pause.
const SOUND_CALLERS: usize = 4;
const MAX_SOUND_PAUSE_MS: u64 = 200;
/// Bounds of the time with sound prompts alone, in milliseconds.
const SOUND_MS: std::ops::Range<u64> = 6_000..10_000;
/// Length of the time with both kinds.
const CRASHING_TIME: Duration = Duration::from_secs(14);
/// Number of middle parts of sound prompts.
const MIDDLE_PARTS: u32 = 5;
/// Most events of an answer.
const MAX_EVENTS: u64 = 30;
/// Crashes after which all prompts with a part must be held.
const MAX_CRASHES: usize = 5;
/// Time until all connected entries hold them.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after a fault, or a restart of an entry, until entries are connected again.
const RECONNECT_TIME: Duration = Duration::from_secs(5);
/// Time until targets that crashed at the end of an episode, or a fault before that, serve again.
const RECOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time after the end of a target until its next start bears all requests.
const COLD_AFTER_END: Duration = Duration::from_millis(3_500);
/// A target has ended this soon after the part has crashed it.
const END_DELAY: Duration = Duration::from_millis(50);
/// With more engines of four ended for other reasons, the rest can't serve all prompts.
const MAX_OTHER_ENDS: usize = 1;
/// Prompts that are tolerated after that time.
const MAX_LATE_RUNS: usize = 3;
/// Message of an entry in the refusal of a request that exceeds the limits of targets.
const LIMITED_MESSAGE: &[u8] = b"targets limit their requests now";
/// Fewer sound prompts than this are not compared.
const MIN_COMPARED: usize = 20;

/// A time in which one part crashes targets.
pub struct Episode {
    part: String,
    crashing: Vec<Prompt>,
    sound: Vec<Prompt>,
    /// When the first prompt that crashes targets could be sent.
    crashing_from: Instant,
    ended_at: Instant,
}

/// A prompt that was sent once.
struct Prompt {
    request_id: String,
    entry: usize,
    sent_at: Instant,
    has_begun: bool,
    /// Whether it was refused as targets take no more requests for now.
    is_limited: bool,
}

/// What the prompts of an episode have in common.
#[derive(Clone, Copy)]
struct Plan {
    number: u64,
    kind: RequestKind,
    account: usize,
}

/// Sends prompts of both kinds until the faults end.
pub async fn run(harness: Arc<Harness>, faults_done: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x7061_7274);
    let mut number = 0;
    while !faults_done.load(Ordering::Relaxed) {
        number += 1;
        let kind = [RequestKind::Stream, RequestKind::Resumable][random.random_range(0..2)];
        let plan = Plan { number, kind, account: random.random_range(0..ACCOUNTS.len()) };
        let sound_time = Duration::from_millis(random.random_range(SOUND_MS));
        let crashing_from = Instant::now() + sound_time;
        let until = crashing_from + CRASHING_TIME;
        let mut callers = [JoinSet::new(), JoinSet::new()];
        for (crashes, count) in [(false, SOUND_CALLERS), (true, CRASHING_CALLERS)] {
            let from = if crashes { crashing_from } else { Instant::now() };
            for caller in 0..count {
                let random = SmallRng::seed_from_u64(random.random());
                let faults_done = faults_done.clone();
                let caller = Caller { harness: harness.clone(), plan, crashes, caller, random };
                callers[usize::from(crashes)].spawn(caller.run(from, until, faults_done));
            }
        }
        let [sound, crashing] = callers;
        let (sound, crashing) = (sound.join_all().await, crashing.join_all().await);
        let episode = Episode {
            part: plan.crashing_part(),
            crashing: crashing.into_iter().flatten().collect(),
            sound: sound.into_iter().flatten().collect(),
            crashing_from,
            ended_at: Instant::now(),
        };
        harness.episodes.lock().expect("the lock is not poisoned").push(episode);
    }
}

impl Plan {
    fn crashing_part(self) -> String {
        format!("{CRASHING_PART_PREFIX}{}", self.number)
    }

    /// The parts of a prompt. The one that crashes targets is the first in some episodes, otherwise
    /// sound prompts share the one before.
    fn parts(self, crashes: bool, request_id: &str, middle: u32) -> String {
        let shared = format!("s{}", self.number);
        let (first, second) = match (crashes, self.number % 4) {
            (false, _) => (shared, format!("m{middle}")),
            (true, 0) => (self.crashing_part(), shared),
            (true, _) => (shared, self.crashing_part()),
        };
        format!("{first}:600,{second}:300,{request_id}:200")
    }
}

struct Caller {
    harness: Arc<Harness>,
    plan: Plan,
    /// Whether its prompts crash targets.
    crashes: bool,
    /// Its number among the callers of its kind.
    caller: usize,
    random: SmallRng,
}

impl Caller {
    async fn run(
        mut self,
        from: Instant,
        until: Instant,
        faults_done: Arc<AtomicBool>,
    ) -> Vec<Prompt> {
        tokio::time::sleep_until(from.into()).await;
        let max_pause = if self.crashes { MAX_CRASHING_PAUSE_MS } else { MAX_SOUND_PAUSE_MS };
        let mut sent = Vec::new();
        while Instant::now() < until && !faults_done.load(Ordering::Relaxed) {
            let pause = self.random.random_range(0..max_pause);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            sent.extend(self.send(sent.len()).await);
        }
        sent
    }

    async fn send(&mut self, count: usize) -> Option<Prompt> {
        let Plan { number, kind, account } = self.plan;
        let what = if self.crashes { "crashing" } else { "sound" };
        let request_id = format!("{}{what}-{number}-{}-{count}", kind.prefix(), self.caller);
        let events = self.random.random_range(1..MAX_EVENTS);
        let middle = self.random.random_range(0..MIDDLE_PARTS);
        let parts = Some(self.plan.parts(self.crashes, &request_id, middle));
        let mut connection = callers::connect(&self.harness, &mut self.random).await?;
        let entry = connection.entry;
        let question = Question { kind, request_id, events, account, parts };
        let sent_at = Instant::now();
        let outcome = match self.crashes {
            false => callers::ask(&self.harness, &question, &mut connection, None).await,
            true => callers::receive_answer(&mut connection, question.message()).await,
        };
        let request_id = question.request_id;
        if let Outcome::Answer { status: 503, stamp: None, .. } = &outcome {
            self.harness.defer_check(DeferredCheck::NotRun(request_id.clone()));
        }
        let has_begun = matches!(&outcome, Outcome::Answer { status: 200, .. });
        let is_limited = match &outcome {
            Outcome::Answer { body, .. } => {
                body.windows(LIMITED_MESSAGE.len()).any(|part| part == LIMITED_MESSAGE)
            }
            _ => false,
        };
        Some(Prompt { request_id, entry, sent_at, has_begun, is_limited })
    }
}

/// What was checked.
#[derive(Debug, Default)]
pub struct Checked {
    /// Prompts with a part that crashes targets.
    pub sent: usize,
    /// Crashes of targets.
    pub crashes: usize,
    /// Runs of such prompts once they had to be held, and those of connected entries.
    pub late: (usize, usize),
    /// Episodes in which the service of sound prompts was compared.
    pub compared: usize,
}

/// Checks all episodes.
pub fn check(harness: &Harness) -> Checked {
    let episodes = harness.episodes.lock().expect("the lock is not poisoned");
    let mut checked = Checked::default();
    for episode in episodes.iter() {
        let crashes = crashes_of(harness, &episode.part);
        checked.sent += episode.crashing.len();
        checked.crashes += crashes.len();
        let Some(known_from) = crashes.iter().take(MAX_CRASHES).next_back().copied() else {
            continue;
        };
        if crashes.len() >= MAX_CRASHES {
            let held_from = known_from + CONTACT_TIME;
            let (all, counted) = check_late_runs(harness, episode, held_from, crashes.len());
            checked.late = (checked.late.0 + all, checked.late.1 + counted);
        }
        let in_force = known_from + 2 * CONTACT_TIME..episode.ended_at;
        checked.compared += usize::from(compare_sound(harness, &episodes, episode, &in_force));
    }
    checked
}

fn crashes_of(harness: &Harness, part: &str) -> Vec<Instant> {
    let platform = harness.platform.lock();
    platform.observations.crashing_parts.get(part).map(|p| p.ended.clone()).unwrap_or_default()
}

fn engine_ends(harness: &Harness) -> Vec<Instant> {
    let platform = harness.platform.lock();
    let is_engine = |id: &str| platform.targets.get(id).is_some_and(|t| t.weights.is_some());
    let ends = platform.observations.target_ends.iter();
    ends.filter(|(_, id)| is_engine(id)).map(|(at, _)| *at).collect()
}

/// Records a violation if too many prompts reach targets once their part must be held. Returns the
/// number of these, and of those from connected entries.
fn check_late_runs(
    harness: &Harness,
    episode: &Episode,
    held_from: Instant,
    crashes: usize,
) -> (usize, usize) {
    let runs = |prompt: &Prompt| {
        let platform = harness.platform.lock();
        let runs = platform.observations.runs_of(&prompt.request_id);
        runs.iter().map(|run| run.started_at).collect::<Vec<Instant>>()
    };
    let is_connected = |entry: usize, at: Instant| {
        let since = at - RECONNECT_TIME;
        let disturbances = harness.system().disturbances_between(entry, since, at);
        let is_restarted = disturbances.iter().any(|d| *d != Disturbance::Reload);
        !is_restarted && !harness.had_fault_between(since, at)
    };
    let all: Vec<(&Prompt, Instant)> = episode
        .crashing
        .iter()
        .flat_map(|prompt| runs(prompt).into_iter().map(move |at| (prompt, at)))
        .filter(|(_, at)| *at > held_from)
        .collect();
    let late: Vec<(String, Duration)> = all
        .iter()
        .filter(|(prompt, at)| is_connected(prompt.entry, *at))
        .map(|(prompt, at)| (prompt.request_id.clone(), *at - held_from))
        .collect();
    if late.len() > MAX_LATE_RUNS {
        let (part, sent) = (&episode.part, episode.crashing.len());
        harness.record_failed_check(
            crate::CRASHING_PARTS_CHECK,
            format!(
                "{part} reached targets {} more times after it had to be held, with {crashes} crashes \
                 and {sent} prompts in all: {late:?}",
                late.len()
            ),
        );
    }
    (all.len(), late.len())
}

/// Records a violation if sound prompts begin less than half as often as without prompts that crash
/// targets. Limits of targets that the part has not crashed lately don't count, nor times in which
/// several engines ended for other reasons. Returns whether there were enough to compare.
fn compare_sound(
    harness: &Harness,
    episodes: &[Episode],
    episode: &Episode,
    in_force: &std::ops::Range<Instant>,
) -> bool {
    let crashes = crashes_of(harness, &episode.part);
    let is_cold_from_part =
        |at: Instant| crashes.iter().any(|end| (*end..*end + COLD_AFTER_END).contains(&at));
    let is_crash = |end: Instant| crashes.iter().any(|at| (*at..*at + END_DELAY).contains(&end));
    let other_ends: Vec<Instant> =
        engine_ends(harness).into_iter().filter(|end| !is_crash(*end)).collect();
    let other_ends_before = |at: Instant| {
        other_ends.iter().filter(|end| (**end..**end + COLD_AFTER_END).contains(&at)).count()
    };
    let is_calm = |at: Instant, time: Duration| !harness.had_fault_between(at - time, at);
    let is_disturbed = |at: Instant| {
        episodes.iter().any(|e| (e.crashing_from..e.ended_at + RECOVERY_TIME).contains(&at))
    };
    let sound = || episodes.iter().flat_map(|episode| &episode.sound);
    let before: Vec<bool> = sound()
        .filter(|prompt| is_calm(prompt.sent_at, RECOVERY_TIME) && !is_disturbed(prompt.sent_at))
        .map(|prompt| prompt.has_begun)
        .collect();
    let beside: Vec<bool> = episode
        .sound
        .iter()
        .filter(|prompt| {
            let at = prompt.sent_at;
            let is_limited_by_others = prompt.is_limited && !is_cold_from_part(at);
            let has_engines = other_ends_before(at) <= MAX_OTHER_ENDS;
            in_force.contains(&at)
                && is_calm(at, RECONNECT_TIME)
                && has_engines
                && !is_limited_by_others
        })
        .map(|prompt| prompt.has_begun)
        .collect();
    if before.len() < MIN_COMPARED || beside.len() < MIN_COMPARED {
        return false;
    }
    let begun = |sent: &[bool]| sent.iter().filter(|begun| **begun).count();
    let share = |sent: &[bool]| begun(sent) as f64 / sent.len() as f64;
    if share(&beside) < share(&before) / 2.0 {
        harness.record_failed_check(
            crate::CRASHING_PARTS_CHECK,
            format!(
                "{} of {} sound prompts began beside {}, {} of {} without it",
                begun(&beside),
                beside.len(),
                episode.part,
                begun(&before),
                before.len()
            ),
        );
    }
    true
}
