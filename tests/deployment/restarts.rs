//! Restarts of targets under their ids, and malformed entries on the platform's target list, with
//! an entry and replicas as processes in front of stand-in targets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::gateway::TEST_TIMEOUT;
use crate::platform_stand_in::Platform;
use crate::platform_stand_in::job::expected_event;
use crate::platform_stand_in::list::{FOREIGN_ENTRIES, ForeignEntry};
use crate::platform_stand_in::starts::Restart;
use crate::platform_stand_in::store::clock_ms;
use crate::processes::{REPLICAS, System};

/// Timeout for expected events, generous for busy machines.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(40);
/// Prompts in flight at once, enough to use more than one engine.
const CONCURRENT_PROMPTS: usize = 12;
/// Length of a stream that outlasts the load order and the restart of its target.
const LONG_STREAM_EVENTS: u64 = 400;

/// Entry and replica processes with their platform and stand-in targets.
pub struct TestDeployment {
    pub platform: Platform,
    pub system: System,
    pub client: reqwest::Client,
    requests: u64,
}

fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn document() -> Value {
    let route = |name: &str, resumable: bool| {
        json!({"Name": name, "Host": "shop.example", "PathPrefix": format!("/{name}/"),
               "Kind": "stream", "TimeoutMs": 20_000, "SloMs": 4000, "Priority": 1,
               "Service": "llm", "Attempts": 2, "Public": false, "Sticky": true,
               "Resumable": resumable, "GapTargetMs": 3000})
    };
    json!({"Version": 1, "Routes": [route("stream", false), route("resumable", true)],
           "Services": [{"Name": "llm", "HealthPath": "/healthz", "MaxConns": 100,
                         "Engine": {"Slots": 16, "KvCapacity": 60_000, "KvTokenBytes": 1000,
                                    "LinkMbps": 1_000_000.0, "Models": [{"Name": "m"}]}}],
           "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                      "IdleTimeoutMs": 15000},
           "Tenants": [{"Name": "alpha", "ApiKeys": ["key-alpha"]}]})
}

/// Response to a prompt: status, body as far as received, and whether the body was complete.
pub struct StreamResponse {
    pub status: u16,
    pub body: String,
    pub is_whole: bool,
}

/// Sends a prompt and reads its stream.
pub async fn send_prompt(
    client: reqwest::Client,
    entry: SocketAddr,
    kind: &str,
    id: &str,
    events: u64,
) -> StreamResponse {
    send_prompt_with_body(client, entry, kind, id, events, "a question".to_string()).await
}

/// Sends a prompt with a body and reads its stream.
pub async fn send_prompt_with_body(
    client: reqwest::Client,
    entry: SocketAddr,
    kind: &str,
    id: &str,
    events: u64,
    content: String,
) -> StreamResponse {
    let parts = format!("c-{id}:1000,{id}:200");
    send_prompt_with_parts(client, entry, kind, id, events, parts, content).await
}

/// Sends a prompt with these parts and a body, and reads its stream.
pub async fn send_prompt_with_parts(
    client: reqwest::Client,
    entry: SocketAddr,
    kind: &str,
    id: &str,
    events: u64,
    parts: String,
    content: String,
) -> StreamResponse {
    let asking = client
        .post(format!("http://{entry}/{kind}/"))
        .header("host", "shop.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", 20_000)
        .header("authorization", "Bearer key-alpha")
        .header("x-model", "m")
        .header("x-token-count", format!("1200,{events}"))
        .header("x-prompt-prefix", parts)
        .body(content);
    let Ok(mut answer) = asking.send().await else {
        return StreamResponse { status: 0, body: String::new(), is_whole: false };
    };
    let (status, mut body) = (answer.status().as_u16(), Vec::new());
    let is_whole = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    StreamResponse { status, body: String::from_utf8_lossy(&body).into_owned(), is_whole }
}

impl TestDeployment {
    /// Starts targets and processes; `network` is unique per test.
    async fn start(engines: &[&str], foreign: Vec<Vec<u8>>, network: u8) -> TestDeployment {
        TestDeployment::start_with_entries(1, engines, foreign, network).await
    }

    /// Starts targets and processes with the given number of entries.
    pub async fn start_with_entries(
        entries: usize,
        engines: &[&str],
        foreign: Vec<Vec<u8>>,
        network: u8,
    ) -> TestDeployment {
        let platform = Platform::new();
        platform.lock().list.foreign = foreign.into_iter().enumerate().collect();
        for id in engines {
            platform.start_target(id, "llm", "hall-0", any_address(), None).await;
        }
        let list = platform.serve_list(any_address()).await;
        let system = System::start(entries, vec![list; REPLICAS], network);
        let client = reqwest::Client::new();
        let deployment = TestDeployment { platform, system, client, requests: 0 };
        deployment.send_operator_request("PUT", "config", &document()).await;
        deployment
    }

    fn engine<T>(
        &self,
        id: &str,
        look: impl Fn(&crate::platform_stand_in::target::Target) -> T,
    ) -> T {
        look(&self.platform.lock().targets[id])
    }

    /// Sends an operator request until any replica acknowledges it. Disks that save slowly delay that without a
    /// bound.
    pub async fn send_operator_request(&self, method: &str, path: &str, body: &Value) {
        let begun = Instant::now();
        loop {
            for replica in self.system.replicas() {
                let url = format!("http://{}/{path}", self.system.operator_address(replica));
                let method = method.parse().expect("a method");
                let request = self.client.request(method, url).body(body.to_string());
                let answer = request.timeout(Duration::from_secs(2)).send().await;
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return;
                }
            }
            assert!(begun.elapsed() < TEST_TIMEOUT, "{path} is not acknowledged");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn next_id(&mut self, kind: &str) -> String {
        self.requests += 1;
        format!("{kind}-{}", self.requests)
    }

    /// Sends short prompts concurrently, without shared contexts, until a condition holds. Returns
    /// `false` if it does not hold within `EVENT_TIMEOUT`.
    async fn send_prompts_until(&mut self, holds: impl Fn(&TestDeployment) -> bool) -> bool {
        let begun = Instant::now();
        while !holds(self) {
            if begun.elapsed() > EVENT_TIMEOUT {
                return false;
            }
            let (client, entry) = (self.client.clone(), self.system.caller_address(0));
            let ids: Vec<String> =
                (0..CONCURRENT_PROMPTS).map(|_| self.next_id("stream")).collect();
            let prompts = ids.iter().map(|id| send_prompt(client.clone(), entry, "stream", id, 5));
            futures::future::join_all(prompts).await;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        true
    }

    pub async fn name_weights(&self, version: u64) {
        self.platform.lock().named_weights = version;
        self.send_operator_request(
            "POST",
            "version-put",
            &json!({"Model": "m", "Version": version}),
        )
        .await;
    }

    fn violations(&self) -> Vec<String> {
        self.platform.lock().observations.violations.clone()
    }
}

/// Asserts that a stream has its own events in order, each once, and is complete only with all of
/// them.
fn assert_own_events_in_order(id: &str, got: &StreamResponse) {
    let expected: String =
        (1..=LONG_STREAM_EVENTS).map(|number| expected_event(id, number)).collect();
    assert!(expected.starts_with(&got.body), "{id} got {:?}", got.body);
    let is_refused = got.status != 200 && got.body.is_empty();
    assert!(
        is_refused || !got.is_whole || got.body == expected,
        "{id} appears complete: {}",
        got.body
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_restarted_during_a_load_order_and_streams_loads_the_named_weights() {
    let mut deployment = TestDeployment::start(&["i-0", "i-1"], Vec::new(), 231).await;
    assert!(
        deployment
            .send_prompts_until(|deployment| deployment.engine("i-0", |engine| engine.begun > 0))
            .await
    );
    let mut streams = tokio::task::JoinSet::new();
    for kind in ["stream", "resumable"].repeat(6) {
        let (client, entry, id) = (
            deployment.client.clone(),
            deployment.system.caller_address(0),
            deployment.next_id(kind),
        );
        streams.spawn(async move {
            let got = send_prompt(client, entry, kind, &id, LONG_STREAM_EVENTS).await;
            (id, got)
        });
    }
    deployment.name_weights(2).await;
    // The first engine that gets a load order still has streams, which outlast the wait for them.
    let loading_engine = |deployment: &TestDeployment| {
        let platform = deployment.platform.lock();
        let mut engines = platform.targets.values();
        engines.find(|engine| engine.loading.is_some()).map(|engine| engine.id.clone())
    };
    let begun = Instant::now();
    let loading = loop {
        if let Some(loading) = loading_engine(&deployment) {
            break loading;
        }
        assert!(begun.elapsed() < EVENT_TIMEOUT, "no engine got a load order");
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert_eq!(
        deployment.engine(&loading, |engine| engine.weights),
        Some(1),
        "the engine is still loading"
    );
    let restart = Restart {
        down: Duration::from_millis(300),
        entry_lags: Duration::from_millis(1_000),
        born_ms: clock_ms(),
        ..Restart::at(any_address())
    };
    deployment.platform.restart_target(&loading, restart).await.expect("the target restarts");
    let mut broken_streams = 0;
    while let Some(ended) = streams.join_next().await {
        let (id, got) = ended.expect("the stream task does not panic");
        assert_own_events_in_order(&id, &got);
        broken_streams += u32::from(!got.is_whole || got.status != 200);
        if id.starts_with("resumable") {
            assert!(
                got.is_whole && got.status == 200,
                "{id} is resumed on another engine: {}",
                got.status
            );
        }
    }
    assert!(broken_streams <= 6, "resumable streams must not break: {broken_streams} broke");
    let engine_weights =
        |deployment: &TestDeployment| ["i-0", "i-1"].map(|id| deployment.engine(id, |e| e.weights));
    deployment.send_prompts_until(|deployment| engine_weights(deployment) == [Some(2); 2]).await;
    assert_eq!(engine_weights(&deployment), [Some(2); 2], "weights of the engines");
    let before = deployment.engine(&loading, |engine| engine.begun);
    let accepts_work =
        |deployment: &TestDeployment| deployment.engine(&loading, |engine| engine.begun) > before;
    assert!(
        deployment.send_prompts_until(accepts_work).await,
        "{loading} got no prompt after its restart"
    );
    assert_eq!(deployment.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_after_a_drain_accepts_work() {
    let mut deployment = TestDeployment::start(&["i-0", "i-1"], Vec::new(), 232).await;
    assert!(
        deployment
            .send_prompts_until(|deployment| deployment.engine("i-0", |engine| engine.begun > 0))
            .await
    );
    deployment.platform.drain_target("i-0");
    // Long enough for the replicas and the entry to learn that the target is leaving.
    let drained = Instant::now();
    deployment.send_prompts_until(|_| drained.elapsed() > Duration::from_secs(4)).await;
    // The clock of its host was set back before the restart.
    let restart = Restart { born_ms: clock_ms() - 60_000, ..Restart::at(any_address()) };
    deployment.platform.restart_target("i-0", restart).await.expect("the target restarts");
    let accepts_work =
        deployment.send_prompts_until(|deployment| deployment.engine("i-0", |e| e.begun > 0)).await;
    assert!(accepts_work, "start 2 of i-0 got no prompt within {EVENT_TIMEOUT:?}");
    assert_eq!(deployment.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_list_entries_hide_no_target_and_get_no_request() {
    let unused_platform = Platform::new();
    let unused_address = unused_platform.serve_unused_address(any_address()).await;
    let foreign = |(number, kind): (usize, &ForeignEntry)| {
        kind.entry(&format!("i-foreign-{number}"), unused_address)
    };
    let mut entries: Vec<Vec<u8>> = FOREIGN_ENTRIES.iter().enumerate().map(foreign).collect();
    // One has the id of an engine.
    entries.push(ForeignEntry::Has("State", b"\"evacuating\"").entry("i-1", unused_address));
    let mut deployment = TestDeployment::start(&["i-0", "i-1"], entries, 233).await;
    for id in ["i-0", "i-1"] {
        let receives_work = deployment
            .send_prompts_until(|deployment| deployment.engine(id, |e| e.begun > 0))
            .await;
        assert!(
            receives_work,
            "{id} got no prompt within {EVENT_TIMEOUT:?} beside foreign list entries"
        );
    }
    deployment.name_weights(2).await;
    let engine_weights =
        |deployment: &TestDeployment| ["i-0", "i-1"].map(|id| deployment.engine(id, |e| e.weights));
    deployment.send_prompts_until(|deployment| engine_weights(deployment) == [Some(2); 2]).await;
    assert_eq!(engine_weights(&deployment), [Some(2); 2], "weights of the engines");
    assert_eq!(deployment.violations(), Vec::<String>::new());
    assert_eq!(unused_platform.lock().observations.violations, Vec::<String>::new());
}
