//! Runs an emulator and nodes as processes with their own data folder, and kills them when dropped.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use kumquatpost::config::document::key_hash;
use reqwest::blocking::{Client, Response};
use serde_json::{Value, json};
use tempfile::TempDir;

/// Limit of each wait and of each HTTP request.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Port at which nodes listen for their peers, each at its own loopback address.
const PEER_PORT: u16 = 7_000;

/// Client accounts; the API key of each is `key-of-NAME`.
pub const ACCOUNTS: [&str; 2] = ["anna", "bibek"];

/// A process that is killed when it is dropped.
pub struct Process {
    child: Child,
    /// The `name=value` pairs of the line that the process printed when it was ready.
    pub ready_values: Vec<(String, String)>,
    /// Its log.
    log: Arc<Mutex<String>>,
}

impl Process {
    /// Starts `kumquatpost ARGS` and waits for its `ready` line.
    pub fn start(args: &[&str]) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_kumquatpost"))
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("its output is piped");
        let stderr = BufReader::new(child.stderr.take().expect("its log is piped"));
        let log: Arc<Mutex<String>> = Arc::default();
        let written_log = log.clone();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                written_log.lock().expect("no reader panics").extend([&line, "\n"]);
            }
        });
        BufReader::new(stdout).read_line(&mut line).expect("its output can be read");
        let mut process = Process::from_ready_line(child, &line);
        process.log = log;
        process
    }

    /// Wraps a child process that has printed `line`; panics if that is no `ready` line.
    pub fn from_ready_line(child: Child, line: &str) -> Process {
        assert!(line.starts_with("ready "), "not a ready line: {line:?}");
        let values = line.split_whitespace().filter_map(|word| word.split_once('='));
        let ready_values = values.map(|(name, value)| (name.into(), value.into())).collect();
        Process { child, ready_values, log: Arc::default() }
    }

    pub fn ready_value(&self, name: &str) -> &str {
        let found = self.ready_values.iter().find(|(key, _)| key == name);
        &found.unwrap_or_else(|| panic!("no {name} in {:?}", self.ready_values)).1
    }

    /// Sends the signal of this name, for example `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
        assert!(status.success());
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Waits for the process to exit. Returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        wait_for("the process ends", || self.child.try_wait().expect("it can be waited for")).code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// The processes of a test: an emulator of the platform, and nodes that use it.
pub struct TestEnv {
    pub folder: TempDir,
    pub emulator: Process,
    pub nodes: Vec<Process>,
    pub settings_files: Vec<PathBuf>,
    pub client: Client,
}

/// Options of a [`TestEnv`].
pub struct TestEnvOptions {
    pub nodes: usize,
    /// The first nodes, this many, are replicas of the log.
    pub replicas: usize,
    /// Settings of the emulator.
    pub emulator: Value,
    /// The `timing` of the settings of all nodes.
    pub timing: Value,
    /// The `bounds` of the settings of all nodes.
    pub bounds: Value,
}

impl Default for TestEnvOptions {
    fn default() -> TestEnvOptions {
        TestEnvOptions {
            nodes: 3,
            replicas: 3,
            emulator: default_emulator_settings(),
            timing: json!({"lease_ms": 1500, "renew_ms": 300, "probe_ms": 200,
                           "election_ms": 400, "heartbeat_ms": 50,
                           "load_poll_ms": 50, "platform_poll_ms": 100}),
            bounds: json!({}),
        }
    }
}

/// Settings of an emulator with three engines, two stores and two instances of a service.
pub fn default_emulator_settings() -> Value {
    let domains = ["patan", "bhaktapur", "kirtipur"];
    let engines: Vec<Value> = (0..3)
        .map(|i| {
            json!({"id": format!("engine-{i}"), "model": "mechanic",
                   "failure_domain": domains[i], "prefill_tokens_per_s": 100_000,
                   "load_lag_ms": 20, "event_lag_ms": 20})
        })
        .collect();
    json!({
        "engines": engines,
        "stores": [{"id": "store-0", "failure_domain": "patan"},
                   {"id": "store-1", "failure_domain": "bhaktapur"}],
        "services": [{"id": "order-0", "service": "part-order", "failure_domain": "patan"},
                     {"id": "order-1", "service": "part-order", "failure_domain": "kirtipur"}],
        "platform_lag_ms": 50, "log": {"level": "warn"},
    })
}

/// The configuration with which nodes start.
pub fn initial_config() -> Value {
    let account = |name: &str| json!({"key_blake3": key_hash(&format!("key-of-{name}"))});
    json!({
        "accounts": {"anna": account("anna"), "bibek": account("bibek")},
        "kinds": {"counter": {"priority": 0}, "order": {"priority": 0, "repeatable": false}},
        "models": {"mechanic": {"weight_version": "v1"}},
        "services": {"part-order": {"repeatable": false}},
    })
}

impl TestEnv {
    pub fn start(options: TestEnvOptions) -> TestEnv {
        let folder = TempDir::new().expect("a temporary folder");
        let write = |name: &str, value: &Value| -> PathBuf {
            let path = folder.path().join(name);
            std::fs::write(&path, value.to_string()).expect("settings can be written");
            path
        };
        let emulator_settings_file = write("emulate.json", &options.emulator);
        let emulator =
            Process::start(&["emulate", "--settings", path_str(&emulator_settings_file)]);
        let key_file = folder.path().join("key");
        std::fs::write(&key_file, "k".repeat(64)).expect("the key can be written");
        let network = unique_loopback_network();
        let peers: Vec<SocketAddr> = (1..=options.nodes)
            .map(|n| SocketAddr::from(([127, network.0, network.1, n as u8], PEER_PORT)))
            .collect();
        let domains = ["patan", "bhaktapur", "kirtipur"];
        let nodes: Vec<Value> = peers
            .iter()
            .enumerate()
            .map(|(i, peer)| {
                json!({"node_id": i + 1, "peer_address": peer, "replica": i < options.replicas,
                       "failure_domain": domains[i % 3]})
            })
            .collect();
        let settings_files: Vec<PathBuf> = (0..options.nodes)
            .map(|i| {
                let value = json!({
                    "environment": "test", "fault_knobs": true, "node_id": i + 1,
                    "region": "kathmandu", "failure_domain": domains[i % 3],
                    "callers_address": "127.0.0.1:0", "operators_address": "127.0.0.1:0",
                    "peer_address": peers[i], "key_file": key_file,
                    "data_folder": folder.path().join(format!("data-{}", i + 1)),
                    "platform_url": emulator.ready_value("platform"), "nodes": nodes,
                    "first_config": initial_config(), "log": {"level": "info"},
                    "timing": options.timing, "bounds": options.bounds,
                });
                write(&format!("node-{}.json", i + 1), &value)
            })
            .collect();
        let nodes = settings_files
            .iter()
            .map(|file| Process::start(&["serve", "--settings", path_str(file)]))
            .collect();
        let client = Client::builder().no_proxy().timeout(WAIT_TIMEOUT).build().expect("a client");
        let env = TestEnv { folder, emulator, nodes, settings_files, client };
        for node in 0..options.nodes {
            env.wait_until_ready(node);
        }
        env
    }

    /// Starts a node that has exited, with its earlier settings and data.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node] =
            Process::start(&["serve", "--settings", path_str(&self.settings_files[node])]);
    }

    pub fn callers_url(&self, node: usize) -> String {
        format!("http://{}", self.nodes[node].ready_value("callers"))
    }

    pub fn operators_url(&self, node: usize) -> String {
        format!("http://{}", self.nodes[node].ready_value("operators"))
    }

    /// Waits until a node is ready and answers prompts.
    pub fn wait_until_ready(&self, node: usize) {
        let url = format!("{}/health/ready", self.callers_url(node));
        let is_ready = poll_until_timeout(|| {
            let ready = self.client.get(&url).send().is_ok_and(|r| r.status().is_success());
            let engines = self.status(node)["engines"].as_array().map_or(0, Vec::len);
            (ready && engines > 0).then_some(())
        });
        assert!(is_ready.is_some(), "node {node} is not ready\n{}", self.diagnostics());
        // Prompts are answered only once the loads of engines are known.
        wait_for("a prompt is answered", || {
            let response = self.send_prompt(node, "anna", "warm up", 1);
            response.status().is_success().then_some(())
        });
    }

    /// The status and the log of each node.
    fn diagnostics(&self) -> String {
        let of_node = |(n, process): (usize, &Process)| {
            let log = process.log.lock().expect("no writer panics");
            format!("node {n}: {}\n{log}", self.status(n))
        };
        self.nodes.iter().enumerate().map(of_node).collect()
    }

    /// The status document of a node, or null if it cannot be read.
    pub fn status(&self, node: usize) -> Value {
        let url = format!("{}/v1/status", self.operators_url(node));
        let response = self.client.get(url).send();
        response.ok().and_then(|response| response.json().ok()).unwrap_or_default()
    }

    /// Waits for a leader of the replicated log. Returns its index.
    pub fn leader(&self) -> usize {
        wait_for("there is a leader", || {
            (0..self.nodes.len())
                .find(|node| self.status(*node)["replica"]["is_leader"] == Value::Bool(true))
        })
    }

    /// Sends a prompt and waits for the complete answer.
    pub fn send_prompt(&self, node: usize, account: &str, prompt: &str, tokens: u32) -> Response {
        self.prompt_request(node, account, prompt, tokens, false).send().expect("the node answers")
    }

    pub fn prompt_request(
        &self,
        node: usize,
        account: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> reqwest::blocking::RequestBuilder {
        self.client
            .post(format!("{}/v1/chat/completions", self.callers_url(node)))
            .bearer_auth(format!("key-of-{account}"))
            .json(&json!({"model": "mechanic", "max_tokens": tokens, "stream": stream,
                          "messages": [{"role": "user", "content": prompt}]}))
    }

    /// Sends an order to the service `part-order` under an idempotency key.
    pub fn send_order(
        &self,
        node: usize,
        account: &str,
        id: &str,
        body: &str,
    ) -> reqwest::Result<Response> {
        self.client
            .post(format!("{}/v1/services/part-order/orders", self.callers_url(node)))
            .bearer_auth(format!("key-of-{account}"))
            .header("idempotency-key", id)
            .body(body.to_string())
            .send()
    }

    /// Sends a patch of configuration number `base` under an idempotency key.
    pub fn send_patch(
        &self,
        node: usize,
        base: u64,
        id: &str,
        patch: &Value,
    ) -> reqwest::Result<Response> {
        self.client
            .patch(format!("{}/v1/config", self.operators_url(node)))
            .header("if-match", format!("\"{base}\""))
            .header("idempotency-key", id)
            .json(patch)
            .send()
    }

    /// Sends a fault of an emulated target to the emulator.
    pub fn set_fault(&self, target: &str, fault: Value) {
        let url = format!("{}/faults", self.emulator.ready_value("platform"));
        let body = json!({"target": target, "fault": fault});
        let response = self.client.post(url).json(&body).send().expect("the emulator answers");
        assert!(response.status().is_success(), "{}", response.text().unwrap_or_default());
    }

    /// Blocks traffic between a node and others in both directions; an empty list removes the block.
    pub fn isolate(&self, node: usize, others: &[usize]) {
        let ids: Vec<usize> = others.iter().map(|other| other + 1).collect();
        let url = format!("{}/v1/faults", self.operators_url(node));
        let response = self.client.post(url).json(&json!({"cut_off_from": ids})).send();
        assert!(response.expect("the node answers").status().is_success());
    }

    /// The emulator's counts of what its targets have done.
    pub fn ledger(&self) -> Value {
        let url = format!("{}/ledger", self.emulator.ready_value("platform"));
        self.client.get(url).send().expect("the emulator answers").json().expect("JSON")
    }

    /// How often runs of a request have started, over all targets and attempts.
    pub fn run_count(&self, request_id: &str) -> u64 {
        let ledger = self.ledger();
        let runs = ledger["runs"].as_object().expect("runs");
        let is_run_of = |id: &str| id == request_id || id.starts_with(&format!("{request_id}~"));
        runs.iter().filter(|(id, _)| is_run_of(id)).filter_map(|(_, n)| n.as_u64()).sum()
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("{}", self.diagnostics());
        }
    }
}

/// Runs the binary and waits for it to exit.
pub fn run_binary(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kumquatpost")).args(args).output().expect("the binary runs")
}

/// Polls until there is a result. Panics after [`WAIT_TIMEOUT`].
pub fn wait_for<T>(what: &str, poll: impl FnMut() -> Option<T>) -> T {
    poll_until_timeout(poll).unwrap_or_else(|| panic!("timed out waiting for: {what}"))
}

/// Polls until there is a result; `None` after [`WAIT_TIMEOUT`].
fn poll_until_timeout<T>(mut poll: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(found) = poll() {
            return Some(found);
        }
        if Instant::now() >= end {
            return None;
        }
        std::thread::yield_now();
        std::thread::park_timeout(Duration::from_millis(20));
    }
}

/// The two middle bytes of loopback addresses that no other test of this process uses, so that
/// nodes can listen on a fixed port.
fn unique_loopback_network() -> (u8, u8) {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let first = 1 + (std::process::id() % 250) as u8;
    (first, NEXT.fetch_add(1, Ordering::Relaxed))
}

pub fn path_str(path: &std::path::Path) -> &str {
    path.to_str().expect("the path is UTF-8")
}
