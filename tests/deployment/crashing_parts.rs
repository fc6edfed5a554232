//! Quarantine of prompt parts that crash engines, with entries and replicas as processes and stand-in
//! engines.
//!
//! No two requests are alike. Those with the crashing part and sound ones share their account, their route
//! and the first part of their prompts.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::platform_stand_in::observations::CrashingRequest;
use crate::restarts::{StreamResponse, TestDeployment, send_prompt_with_parts};

const ENTRIES: usize = 4;
/// Entries of a large system. Each of them sees few of the requests with a part.
const MANY_ENTRIES: usize = 24;
const ENGINES: [&str; 10] = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9"];
/// A part under which stand-in engines crash.
const CRASHING_PART: &str = "dead17";
/// The first part of all prompts.
const FIRST_PART: &str = "f1";
/// Number of sessions of sound prompts, each with a part of its own.
const SESSIONS: usize = 50;
const CRASHING_INTERVAL: Duration = Duration::from_millis(220);
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
/// Length of the streams.
const EVENTS: u64 = 6;
/// How long only sound prompts are sent.
const SOUND_PERIOD: Duration = Duration::from_secs(5);
/// How long prompts with the crashing part are sent as well.
const CRASHING_PERIOD: Duration = Duration::from_secs(15);
/// The time in which a hold reaches all connected hosts.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which the part must be held.
const MAX_CRASHES: usize = 5;
/// The number of sound prompts from which on their share is compared.
const MIN_COMPARED: usize = 20;

/// When each sound prompt was sent, and whether its answer began.
type SoundPrompts = Vec<(Instant, bool)>;

struct Outcome {
    history: CrashingRequest,
    sound: SoundPrompts,
    crashing_from: Instant,
}

/// Sends sound prompts all the time, and prompts with the crashing part after `SOUND_PERIOD`.
async fn send_both_kinds(entries: usize, network: u8) -> Outcome {
    let site = TestDeployment::start_with_entries(entries, &ENGINES, Vec::new(), network).await;
    let site = Arc::new(site);
    let is_over = Arc::new(AtomicBool::new(false));
    let sound = tokio::spawn(send_sound(site.clone(), entries, is_over.clone()));
    tokio::time::sleep(SOUND_PERIOD).await;
    let crashing_from = Instant::now();
    send_crashing(&site, entries, crashing_from + CRASHING_PERIOD).await;
    is_over.store(true, Ordering::Relaxed);
    let sound = sound.await.expect("the sender does not panic");
    let platform = site.platform.lock();
    assert_eq!(platform.observations.violations, Vec::<String>::new());
    let history = platform.observations.crashing_parts[CRASHING_PART].clone();
    println!("{} sent to engines, {} crashes", history.reached.len(), history.ended.len());
    Outcome { history, sound, crashing_from }
}

/// Sends a prompt to an entry without waiting for its answer.
fn send(
    site: &TestDeployment,
    entry: usize,
    id: &str,
    parts: String,
) -> tokio::task::JoinHandle<StreamResponse> {
    let (client, entry) = (site.client.clone(), site.system.caller_address(entry));
    let (id, body) = (id.to_string(), format!("question {id}"));
    tokio::spawn(async move {
        send_prompt_with_parts(client, entry, "stream", &id, EVENTS, parts, body).await
    })
}

async fn send_crashing(site: &TestDeployment, entries: usize, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("crashing-{number}");
        let parts = format!("{FIRST_PART}:500,{CRASHING_PART}:300,{id}:200");
        // Their callers don't wait for each other.
        drop(send(site, number % entries, &id, parts));
        tokio::time::sleep(CRASHING_INTERVAL).await;
    }
}

async fn send_sound(
    site: Arc<TestDeployment>,
    entries: usize,
    is_over: Arc<AtomicBool>,
) -> SoundPrompts {
    let mut sent = Vec::new();
    let begun = Arc::new(AtomicUsize::new(0));
    while !is_over.load(Ordering::Relaxed) {
        let number = sent.len();
        let id = format!("sound-{number}");
        let session = number % SESSIONS;
        let parts = format!("{FIRST_PART}:500,5e{session}:300,{id}:200");
        let entry = (number / 2 + number) % entries;
        sent.push((Instant::now(), send(&site, entry, &id, parts)));
        tokio::time::sleep(SOUND_INTERVAL).await;
    }
    let mut sound = Vec::new();
    for (at, answer) in sent {
        let answer = answer.await.expect("the caller does not panic");
        let has_begun = answer.status == 200 && !answer.body.is_empty();
        begun.fetch_add(usize::from(has_begun), Ordering::Relaxed);
        sound.push((at, has_begun));
    }
    println!("{} of {} sound prompts begun", begun.load(Ordering::Relaxed), sound.len());
    sound
}

/// The number of sound prompts that were sent in a period, and the share of them whose answer began.
fn share_begun(sound: &SoundPrompts, is_in: impl Fn(Instant) -> bool) -> (usize, f64) {
    let sent: Vec<bool> =
        sound.iter().filter(|(at, _)| is_in(*at)).map(|(_, begun)| *begun).collect();
    let begun = sent.iter().filter(|begun| **begun).count();
    (sent.len(), begun as f64 / sent.len().max(1) as f64)
}

/// Guards against sending more than three requests with a part under which five engines have crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_part_that_crashes_engines_is_hardly_sent_after_five_crashes() {
    let outcome = send_both_kinds(ENTRIES, 247).await;
    assert!(!outcome.history.ended.is_empty(), "no engine has crashed");
    assert_eq!(outcome.history.part_reached_too_often(CONTACT_TIME, |_| true), None);
}

/// Guards against the same in a system of many entries, each of which sees few of these requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_part_that_crashes_engines_is_hardly_sent_by_many_entries() {
    let outcome = send_both_kinds(MANY_ENTRIES, 249).await;
    assert!(!outcome.history.ended.is_empty(), "no engine has crashed");
    assert_eq!(outcome.history.part_reached_too_often(CONTACT_TIME, |_| true), None);
}

/// Guards against refusing, or losing with their engines, the sound requests that share an account, a route
/// and a first part with those that crash engines.
#[tokio::test(flavor = "multi_thread")]
async fn sound_prompts_are_served_beside_a_prompt_part_that_crashes_engines() {
    let outcome = send_both_kinds(ENTRIES, 248).await;
    let crashes = &outcome.history.ended;
    let known_at = crashes.iter().take(MAX_CRASHES).next_back().expect("an engine has crashed");
    let compared_from = *known_at + 2 * CONTACT_TIME;
    let (before, share_before) = share_begun(&outcome.sound, |at| at < outcome.crashing_from);
    let (after, share_after) = share_begun(&outcome.sound, |at| at >= compared_from);
    println!("begun: {share_before:.3} of {before} before, {share_after:.3} of {after} after");
    assert!(before >= MIN_COMPARED && after >= MIN_COMPARED, "{before} before, {after} after");
    assert!(share_after * 2.0 >= share_before, "{share_after} of {after} begun");
}
