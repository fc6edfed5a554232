//! Stand-in engines and plain services as processes of their own, which signals pause and continue.
//!
//! Such a process is this test binary, started again with one test and with its settings in the
//! environment.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::process::{Child, ChildStdout, Command, Stdio};

use serde::{Deserialize, Serialize};

use crate::platform_stand_in::Platform;
use crate::platform_stand_in::target::Target;

const SETTINGS_VARIABLE: &str = "KUMQUATPOST_TEST_ENGINE";
const TEST_NAME: &str = "engine_processes::serves_if_another_test_starts_it";
/// Prefix of the lines that a process writes for its parent, beside those of the test framework.
const LINE_PREFIX: &str = "engine process: ";
const FAILURE_DOMAIN: &str = "hall-0";
const WEIGHT_VERSION: u64 = 1;

#[derive(Clone, Serialize, Deserialize)]
pub struct EngineSettings {
    pub id: String,
    pub service: String,
    /// Port 0 stands for any free port.
    pub address: SocketAddr,
    /// Whether it runs prompts and streams their answers. A plain service does not.
    pub runs_prompts: bool,
    /// Number of requests beyond which it refuses more as full.
    pub max_running: u32,
}

#[derive(Serialize, Deserialize)]
struct Listening {
    address: SocketAddr,
    born_ms: u64,
}

/// The runs of requests, by request id, and violations.
#[derive(Default, Serialize, Deserialize)]
pub struct EngineReport {
    /// For each run the event after which it resumed, 0 for a new one.
    pub runs: HashMap<String, Vec<u64>>,
    pub violations: Vec<String>,
}

pub struct EngineProcess {
    pub settings: EngineSettings,
    listening: Listening,
    child: Child,
    output: BufReader<ChildStdout>,
}

impl EngineProcess {
    pub fn start(settings: EngineSettings) -> EngineProcess {
        let text = serde_json::to_string(&settings).expect("encodable settings");
        let mut child = Command::new(std::env::current_exe().expect("the path of this binary"))
            .args(["--exact", TEST_NAME, "--nocapture"])
            .env(SETTINGS_VARIABLE, text)
            // The kernel ends a stopped process whose parent has exited if it leads its group.
            .process_group(0)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let mut output = BufReader::new(child.stdout.take().expect("a pipe"));
        let listening = read_line(&mut output);
        EngineProcess { settings, listening, child, output }
    }

    /// The target for the platform's list.
    pub fn target(&self) -> Target {
        let (settings, address) = (&self.settings, self.listening.address);
        let mut target = Target::new(&settings.id, &settings.service, FAILURE_DOMAIN, address);
        target.born_ms = self.listening.born_ms;
        target.weights = settings.runs_prompts.then_some(WEIGHT_VERSION);
        target.max_running = Some(settings.max_running);
        target
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process, which must not be paused, and returns what it has recorded.
    pub fn close(mut self) -> EngineReport {
        drop(self.child.stdin.take());
        read_line(&mut self.output)
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process exits");
    }
}

#[derive(Clone, Copy, Debug)]
pub enum EngineSignal {
    Stop,
    Continue,
}

/// Sends a signal to several processes at once.
pub fn send_signal(signal: EngineSignal, pids: &[u32]) {
    let name = match signal {
        EngineSignal::Stop => "STOP",
        EngineSignal::Continue => "CONT",
    };
    let pids = pids.iter().map(u32::to_string);
    let status = Command::new("kill").args(["-s", name]).args(pids).status();
    assert!(status.expect("the kill command runs").success(), "{signal:?} is delivered");
}

fn read_line<T: for<'de> Deserialize<'de>>(output: &mut impl BufRead) -> T {
    let mut lines = output.lines().map(|line| line.expect("text"));
    let line = lines.find_map(|line| Some(line.split_once(LINE_PREFIX)?.1.to_string()));
    serde_json::from_str(&line.expect("the process writes the line")).expect("a valid line")
}

fn write_line(value: &impl Serialize) {
    println!("{LINE_PREFIX}{}", serde_json::to_string(value).expect("an encodable value"));
}

/// The process of a stand-in engine; passes at once if no other test has started it.
#[tokio::test]
async fn serves_if_another_test_starts_it() {
    let Ok(settings) = std::env::var(SETTINGS_VARIABLE) else { return };
    let settings: EngineSettings = serde_json::from_str(&settings).expect("valid settings");
    let platform = Platform::new();
    let (id, service) = (&settings.id, &settings.service);
    let address = platform.start_target(id, service, FAILURE_DOMAIN, settings.address, None).await;
    let born_ms = {
        let mut inner = platform.lock();
        let target = inner.targets.get_mut(id).expect("the target has started");
        target.weights = settings.runs_prompts.then_some(WEIGHT_VERSION);
        target.max_running = Some(settings.max_running);
        target.born_ms
    };
    write_line(&Listening { address, born_ms });
    let parent_closes = || std::io::stdin().read_to_end(&mut Vec::new());
    let closed = tokio::task::spawn_blocking(parent_closes).await.expect("the task ends");
    closed.expect("a readable pipe");
    let inner = platform.lock();
    let runs = inner.observations.runs.iter().map(|(request, runs)| {
        (request.clone(), runs.iter().map(|run| run.resumed_after).collect())
    });
    let violations = inner.observations.violations.clone();
    write_line(&EngineReport { runs: runs.collect(), violations });
}
