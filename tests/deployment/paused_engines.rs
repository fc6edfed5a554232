//! Requests on kept connections, to entries and replicas as processes, while engine processes are
//! paused and continued beside changes of the deployment, rolls of entries, reloads and killed leaders.
//!
//! For long runs by hand, the environment variables in [`RunSettings::from_environment`] set the
//! seeds and the duration.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::engine_processes::{EngineProcess, EngineSettings, EngineSignal, send_signal};
use crate::fixtures::ms;
use crate::gateway::run_local;
use crate::paused_engine_requests::{
    CHANGES, Exchange, MAX_RUNNING, Outcome, PLAIN_SERVICE, ROUTE_KINDS, RouteKind,
    SHORT_IDLE_TIMEOUT, document, is_whole,
};
use crate::platform_stand_in::Platform;
use crate::processes::{Disturbance, System, any_stand_in_address};
use crate::restarts::{EVENT_TIMEOUT, TestDeployment};
use crate::stand_in::header;

const ENTRIES: usize = 3;
const CALLERS_PER_ROUTE: usize = 6;
/// Target ids with their services. Those of `app` are plain services.
const TARGETS: [(&str, &str); 7] = [
    ("i-0", "llm"),
    ("i-1", "llm"),
    ("i-2", "llm"),
    ("j-0", "llm-large"),
    ("j-1", "llm-large"),
    ("p-0", "app"),
    ("p-1", "app"),
];

/// Bounds of the length of a pause, in milliseconds.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 800..=1_800;
/// Bounds of the time from the start of a pause to that of the next, in milliseconds.
const PAUSE_INTERVAL_MS: std::ops::RangeInclusive<u64> = 200..=1_500;
/// Time between two pauses of an engine.
const RUNNING_BETWEEN_PAUSES: Duration = Duration::from_millis(600);
/// Bounds of the time between changes of the deployment, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::RangeInclusive<u64> = 100..=600;
/// Bounds of the time between disturbances of processes, in milliseconds.
const DISTURBANCE_INTERVAL_MS: std::ops::RangeInclusive<u64> = 200..=800;
const KILLED_FOR: Duration = Duration::from_secs(1);

const MAX_EVENTS: u64 = 100;
/// Longer than the buffers of a connection to a paused process.
const LONG_BODY_BYTES: usize = 3_500_000;
/// One body in this many is long.
const LONG_BODY_ONE_IN: u32 = 24;
/// One caller in this many lets its connection idle for almost as long as it may.
const LONG_IDLE_ONE_IN: u32 = 12;
const SHORT_PAUSE_MS: u64 = 30;
/// Pause between the two parts in which a caller sends a request.
const SENDING_PAUSE: Duration = Duration::from_millis(10);
const DEADLINE: Duration = Duration::from_secs(14);
/// How long callers wait for the rest of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// The rules tolerate so many requests that run at more targets than their route allows.
const MAX_REQUESTS_BEYOND_ATTEMPTS: usize = 3;

/// State that the tasks of a run share.
struct Run {
    seed: u64,
    entries: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    system: RefCell<System>,
    client: reqwest::Client,
    /// The replica that acknowledged the last deployment.
    leader: Cell<Option<SocketAddr>>,
    is_stopped: Cell<bool>,
    exchanges: RefCell<Vec<Exchange>>,
    counts: RefCell<BTreeMap<String, usize>>,
    unexpected_exits: RefCell<Vec<String>>,
}

impl Run {
    fn random(&self, task: u64) -> SmallRng {
        SmallRng::seed_from_u64(self.seed ^ (task << 32))
    }

    fn count(&self, what: &impl std::fmt::Debug) {
        *self.counts.borrow_mut().entry(format!("{what:?}")).or_default() += 1;
    }

    /// Publishes a deployment, at one replica after the other until one acknowledges it.
    async fn publish(&self, document: &Value) {
        let begun = Instant::now();
        loop {
            for operator in &self.operators {
                let request = self.client.put(format!("http://{operator}/config"));
                let request = request.body(document.to_string()).timeout(Duration::from_secs(2));
                let Ok(answer) = request.send().await else { continue };
                if answer.status() == 200 {
                    self.leader.set(answer.remote_addr());
                    return;
                }
            }
            assert!(begun.elapsed() < EVENT_TIMEOUT, "a deployment is not acknowledged");
            tokio::time::sleep(ms(50)).await;
        }
    }
}

/// Changes one part of the deployment after the other.
async fn change_deployments(run: Rc<Run>, first_version: u64) {
    let mut random = run.random(1);
    let mut toggled = BTreeSet::new();
    let mut version = first_version;
    while !run.is_stopped.get() {
        let mut changes = CHANGES;
        changes.shuffle(&mut random);
        for change in changes.into_iter().take_while(|_| !run.is_stopped.get()) {
            if !toggled.remove(&change) {
                toggled.insert(change);
            }
            version += 1;
            run.publish(&document(version, &toggled)).await;
            run.count(&change);
            tokio::time::sleep(ms(random.random_range(CHANGE_INTERVAL_MS))).await;
        }
    }
}

/// A sudden disturbance of the processes under test.
#[derive(Clone, Copy, Debug)]
enum ProcessDisturbance {
    Reload,
    LeaderKill,
    EntryKill,
}

/// Disturbs processes, in all ways before any of them comes again.
async fn disturb_processes(run: Rc<Run>) {
    let mut random = run.random(2);
    while !run.is_stopped.get() {
        let mut kinds = [
            ProcessDisturbance::Reload,
            ProcessDisturbance::LeaderKill,
            ProcessDisturbance::EntryKill,
        ];
        kinds.shuffle(&mut random);
        for kind in kinds.into_iter().take_while(|_| !run.is_stopped.get()) {
            disturb(&run, kind, &mut random).await;
            run.count(&kind);
            tokio::time::sleep(ms(random.random_range(DISTURBANCE_INTERVAL_MS))).await;
        }
    }
}

async fn disturb(run: &Run, kind: ProcessDisturbance, random: &mut SmallRng) {
    match kind {
        ProcessDisturbance::Reload => {
            (0..ENTRIES).for_each(|entry| run.system.borrow_mut().reload(entry));
        }
        ProcessDisturbance::LeaderKill => {
            let leader = run.operators.iter().position(|at| Some(*at) == run.leader.get());
            kill(run, ENTRIES + leader.unwrap_or(0)).await;
        }
        ProcessDisturbance::EntryKill => {
            let entry = random.random_range(0..ENTRIES);
            kill(run, entry).await;
            wait_for_start(run, entry).await;
        }
    }
}

/// Stops and starts one entry after the other.
async fn roll_entries(run: Rc<Run>) {
    let mut random = run.random(4);
    while !run.is_stopped.get() {
        for entry in (0..ENTRIES).take_while(|_| !run.is_stopped.get()) {
            // One that was killed has no process to stop.
            wait_for_start(&run, entry).await;
            run.system.borrow_mut().stop(entry);
            wait_for_start(&run, entry).await;
            run.count(&"planned stop of an entry");
        }
        tokio::time::sleep(ms(random.random_range(DISTURBANCE_INTERVAL_MS))).await;
    }
}

async fn kill(run: &Run, process: usize) {
    run.system.borrow_mut().kill(process);
    tokio::time::sleep(KILLED_FOR).await;
    run.system.borrow_mut().restart(process, false);
}

/// Waits until an entry that was told to stop has started again and accepts connections.
async fn wait_for_start(run: &Run, entry: usize) {
    let begun = Instant::now();
    loop {
        let failures = run.system.borrow_mut().restart_exited();
        run.unexpected_exits.borrow_mut().extend(failures);
        let is_up = run.system.borrow().is_up(entry);
        if is_up && TcpStream::connect(run.entries[entry]).await.is_ok() {
            return;
        }
        assert!(begun.elapsed() < EVENT_TIMEOUT, "entry {entry} starts");
        tokio::time::sleep(ms(20)).await;
    }
}

/// Pauses all engines or half of them. Pauses overlap, but no engine's pause is prolonged.
async fn pause_engines(run: Rc<Run>, pids: Vec<u32>) {
    let mut random = run.random(3);
    let running_since: Rc<RefCell<BTreeMap<u32, Instant>>> =
        Rc::new(RefCell::new(pids.iter().map(|pid| (*pid, Instant::now())).collect()));
    let mut pauses = JoinSet::new();
    while !run.is_stopped.get() {
        let is_all = random.random_ratio(1, 2);
        let chosen = if is_all { pids.len() } else { pids.len().div_ceil(2) };
        let chosen: Vec<u32> = pids.sample(&mut random, chosen).copied().collect();
        let may_pause = |pid: &u32| {
            let since = running_since.borrow().get(pid).copied();
            since.is_some_and(|since| since.elapsed() >= RUNNING_BETWEEN_PAUSES)
        };
        let paused: Vec<u32> = chosen.into_iter().filter(may_pause).collect();
        if !paused.is_empty() {
            run.count(&if is_all { "all engines pause" } else { "half of the engines pause" });
            send_signal(EngineSignal::Stop, &paused);
            running_since.borrow_mut().retain(|pid, _| !paused.contains(pid));
            let (pause, running_since) = (ms(random.random_range(PAUSE_MS)), running_since.clone());
            pauses.spawn_local(async move {
                tokio::time::sleep(pause).await;
                send_signal(EngineSignal::Continue, &paused);
                let continued = paused.iter().map(|pid| (*pid, Instant::now()));
                running_since.borrow_mut().extend(continued);
            });
        }
        tokio::time::sleep(ms(random.random_range(PAUSE_INTERVAL_MS))).await;
    }
    pauses.join_all().await;
}

/// A connection that a caller keeps.
struct KeptConnection {
    entry: usize,
    stream: TcpStream,
    /// Whether no request has been sent on it.
    is_first: bool,
    idle_since: Instant,
}

impl KeptConnection {
    fn new(entry: usize, stream: TcpStream) -> KeptConnection {
        KeptConnection { entry, stream, is_first: true, idle_since: Instant::now() }
    }
}

/// Sends one request after the other over a kept connection until the run stops.
async fn keep_calling(run: Rc<Run>, kind: RouteKind, number: u64) {
    let mut random = run.random(100 + number);
    let mut kept: Option<KeptConnection> = None;
    let mut count = 0;
    while !run.is_stopped.get() {
        let idle = match random.random_ratio(1, LONG_IDLE_ONE_IN) {
            true => SHORT_IDLE_TIMEOUT.mul_f64(0.75),
            false => ms(random.random_range(0..SHORT_PAUSE_MS)),
        };
        tokio::time::sleep(idle).await;
        // Callers do not reuse connections that have been idle for longer.
        let usable = SHORT_IDLE_TIMEOUT.mul_f64(0.8);
        let connection = match kept.take().filter(|kept| kept.idle_since.elapsed() < usable) {
            Some(connection) => connection,
            None => match connect(&run, &mut random).await {
                Some(connection) => connection,
                None => continue,
            },
        };
        count += 1;
        let id = format!("{}-{number}-{count}", kind.name());
        kept = call(&run, connection, kind, id, &mut random).await;
    }
}

async fn connect(run: &Run, random: &mut SmallRng) -> Option<KeptConnection> {
    let entry = random.random_range(0..ENTRIES);
    let stream = TcpStream::connect(run.entries[entry]).await.ok()?;
    Some(KeptConnection::new(entry, stream))
}

/// Sends a request, records what comes back, and returns the connection if it may be used again.
async fn call(
    run: &Run,
    mut connection: KeptConnection,
    kind: RouteKind,
    id: String,
    random: &mut SmallRng,
) -> Option<KeptConnection> {
    let events = random.random_range(1..=MAX_EVENTS);
    let key = ["key-alpha", "key-beta", "key-moving"].choose(random).expect("a key");
    let is_long = !kind.is_stream() && random.random_ratio(1, LONG_BODY_ONE_IN);
    let body = vec![b'x'; if is_long { LONG_BODY_BYTES } else { 8 }];
    let prompt = match kind.is_stream() {
        true => format!(
            "X-Model: m\r\nX-Token-Count: 1200,{events}\r\nX-Prompt-Prefix: c-{id}:1000,{id}:200\r\n"
        ),
        false => String::new(),
    };
    let head = format!(
        "POST /{}/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer {key}\r\n{prompt}Content-Length: {}\r\n\r\n",
        kind.name(),
        DEADLINE.as_millis(),
        body.len()
    );
    let sent_at = Instant::now();
    let mut received = Vec::new();
    let mut sent_whole_at = sent_at;
    let exchange = async {
        let stream = &mut connection.stream;
        // An entry may answer or close the connection before it has read the request.
        let _ = stream.write_all(head.as_bytes()).await;
        tokio::time::sleep(SENDING_PAUSE).await;
        let _ = stream.write_all(&body).await;
        sent_whole_at = Instant::now();
        let mut bytes = vec![0; 16_384];
        while !is_whole(&String::from_utf8_lossy(&received)) {
            match stream.read(&mut bytes).await {
                Ok(count) if count > 0 => received.extend_from_slice(&bytes[..count]),
                _ => return false,
            }
        }
        true
    };
    let is_whole = tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.unwrap_or(false);
    let (ended_at, entry) = (Instant::now(), connection.entry);
    let received = String::from_utf8_lossy(&received).into_owned();
    let closes = header(&received, "connection").is_some_and(|value| value == "close");
    run.exchanges.borrow_mut().push(Exchange {
        id,
        kind,
        entry,
        events,
        is_first: connection.is_first,
        idle_since: connection.idle_since,
        sent_at,
        sent_whole_at,
        ended_at,
        received,
        is_whole,
    });
    (connection.is_first, connection.idle_since) = (false, ended_at);
    (is_whole && !closes).then_some(connection)
}

/// Which runs to make.
struct RunSettings {
    seeds: std::ops::Range<u64>,
    duration: Duration,
}

impl RunSettings {
    /// One short run with a fixed seed, unless `KUMQUATPOST_PAUSE_SEED`, `KUMQUATPOST_PAUSE_SEEDS` (how
    /// many) or `KUMQUATPOST_PAUSE_SECONDS` say otherwise.
    fn from_environment() -> RunSettings {
        let number = |name: &str, default: u64| match std::env::var(name) {
            Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name} is not a number")),
            Err(_) => default,
        };
        let first = number("KUMQUATPOST_PAUSE_SEED", 1);
        let seeds = first..first + number("KUMQUATPOST_PAUSE_SEEDS", 1);
        let duration = Duration::from_secs(number("KUMQUATPOST_PAUSE_SECONDS", 10));
        RunSettings { seeds, duration }
    }
}

async fn check(seed: u64, duration: Duration, network: u8) -> Vec<String> {
    let started = TestDeployment::start_with_entries(ENTRIES, &[], Vec::new(), network).await;
    let TestDeployment { platform, system, client, .. } = started;
    let engines = start_engines(&platform, network);
    let run = Rc::new(Run {
        seed,
        entries: (0..ENTRIES).map(|entry| system.caller_address(entry)).collect(),
        operators: system.replicas().map(|replica| system.operator_address(replica)).collect(),
        system: RefCell::new(system),
        client,
        leader: Cell::new(None),
        is_stopped: Cell::new(false),
        exchanges: RefCell::default(),
        counts: RefCell::default(),
        unexpected_exits: RefCell::default(),
    });
    run.publish(&document(2, &BTreeSet::new())).await;
    wait_until_served(&run).await;
    let mut tasks = JoinSet::new();
    let kinds = ROUTE_KINDS.repeat(CALLERS_PER_ROUTE);
    for (number, kind) in (0..).zip(kinds) {
        tasks.spawn_local(keep_calling(run.clone(), kind, number));
    }
    tasks.spawn_local(change_deployments(run.clone(), 2));
    tasks.spawn_local(disturb_processes(run.clone()));
    tasks.spawn_local(roll_entries(run.clone()));
    let pids = engines.iter().map(EngineProcess::pid).collect();
    tasks.spawn_local(pause_engines(run.clone(), pids));
    tokio::time::sleep(duration).await;
    run.is_stopped.set(true);
    tasks.join_all().await;
    let faults = report(&run, engines);
    let system = Rc::into_inner(run).expect("the tasks have ended").system.into_inner();
    let logs = system.close();
    if !faults.is_empty() {
        println!("seed {seed}: logs are kept in {}", logs.keep().display());
    }
    faults
}

fn start_engines(platform: &Platform, network: u8) -> Vec<EngineProcess> {
    let engine = |(id, service): &(&str, &str)| {
        EngineProcess::start(EngineSettings {
            id: id.to_string(),
            service: service.to_string(),
            address: any_stand_in_address(network),
            runs_prompts: *service != PLAIN_SERVICE,
            max_running: MAX_RUNNING,
        })
    };
    let engines: Vec<EngineProcess> = TARGETS.iter().map(engine).collect();
    let mut inner = platform.lock();
    for engine in &engines {
        inner.targets.insert(engine.settings.id.clone(), engine.target());
    }
    inner.list_changed();
    engines
}

/// Waits until each entry serves each route.
async fn wait_until_served(run: &Run) {
    let begun = Instant::now();
    for entry in 0..ENTRIES {
        for kind in ROUTE_KINDS {
            loop {
                let stream = TcpStream::connect(run.entries[entry]).await;
                let mut random = run.random(5);
                if let Ok(stream) = stream {
                    let connection = KeptConnection::new(entry, stream);
                    let id = format!("{}-first-{entry}", kind.name());
                    call(run, connection, kind, id, &mut random).await;
                }
                let got = run.exchanges.take().pop();
                if got.is_some_and(|got| got.is_whole && got.status() == "200") {
                    break;
                }
                assert!(begun.elapsed() < EVENT_TIMEOUT, "entry {entry} serves {kind:?}");
                tokio::time::sleep(ms(50)).await;
            }
        }
    }
}

/// Judges all exchanges and returns the faults.
fn report(run: &Run, engines: Vec<EngineProcess>) -> Vec<String> {
    let mut faults = run.unexpected_exits.take();
    // The targets that ran a request, once for each run.
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for engine in engines {
        let id = engine.settings.id.clone();
        let report = engine.close();
        faults.extend(report.violations);
        for (request, engine_runs) in report.runs {
            let targets = engine_runs.iter().map(|resumed_after| format!("{id}@{resumed_after}"));
            runs.entry(request).or_default().extend(targets);
        }
    }
    let mut beyond_attempts = Vec::new();
    for exchange in run.exchanges.borrow().iter() {
        let runs = runs.get(&exchange.id).map_or(&[][..], Vec::as_slice);
        let system = run.system.borrow();
        let disturbances =
            system.disturbances_between(exchange.entry, exchange.idle_since, exchange.ended_at);
        if runs.len() > exchange.kind.attempts() {
            beyond_attempts.push(format!("{}: {runs:?}", exchange.id));
        }
        match exchange.judge(runs.len(), &disturbances) {
            Ok(outcome) => run.count(&(exchange.kind, outcome)),
            Err(fault) => faults.push(describe(&system, exchange, fault, runs, &disturbances)),
        }
    }
    println!("seed {}: {:#?}", run.seed, run.counts.borrow());
    println!("seed {}: beyond their attempts: {beyond_attempts:?}", run.seed);
    if beyond_attempts.len() > MAX_REQUESTS_BEYOND_ATTEMPTS {
        faults.push(format!("beyond their attempts: {beyond_attempts:?}"));
    }
    for kind in ROUTE_KINDS {
        if !run.counts.borrow().contains_key(&format!("{:?}", (kind, Outcome::Answered))) {
            faults.push(format!("no request of {kind:?} was answered"));
        }
    }
    faults
}

fn describe(
    system: &System,
    exchange: &Exchange,
    fault: &str,
    runs: &[String],
    disturbances: &[Disturbance],
) -> String {
    let Exchange { id, entry, received, .. } = exchange;
    let took = exchange.ended_at - exchange.sent_at;
    let idle = exchange.sent_at - exchange.idle_since;
    let lines = system.entry_log_lines(&format!(" id={id} "));
    let end: String = received.chars().rev().take(200).collect::<Vec<_>>().iter().rev().collect();
    format!(
        "{id} at entry-{entry} {fault}: sent {:?} ago, took {took:?} after {idle:?} idle, {disturbances:?}, \
         runs {runs:?}, received {} bytes, {:?} ... {end:?}\n  {}",
        exchange.sent_at.elapsed(),
        received.len(),
        received.lines().next(),
        lines.join("\n  ")
    )
}

/// Guards against requests that are cut off, fail or get no byte while their engines are paused, all of
/// them or half of them, beside changes and planned stops.
#[test]
fn requests_end_whole_while_engine_processes_are_paused() {
    let settings = RunSettings::from_environment();
    let mut failed = Vec::new();
    for seed in settings.seeds {
        run_local(async {
            let faults = check(seed, settings.duration, 226).await;
            println!("seed {seed}: {} faults\n{}", faults.len(), faults.join("\n"));
            if !faults.is_empty() {
                failed.push(seed);
            }
        });
    }
    assert!(failed.is_empty(), "seeds with faults: {failed:?}");
}
