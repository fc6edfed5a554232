//! Targets that start again under their ids, and entries of other writers on the list: an entry and
//! replicas as processes before stand-in targets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::platform_stand_in::Platform;
use crate::platform_stand_in::list::{FOREIGN_ENTRIES, ForeignEntry};
use crate::platform_stand_in::starts::Restart;
use crate::platform_stand_in::store::clock_ms;
use crate::platform_stand_in::target::expected_event;
use crate::processes::{REPLICAS, System};

/// Longest wait for what must happen: many times what it takes, for busy machines.
pub const PATIENCE: Duration = Duration::from_secs(40);
/// Prompts at a time: more than one engine would get of its own accord.
const PROMPTS_AT_A_TIME: usize = 12;
/// Events of a stream that goes on while its target is told to load weights and starts again.
const LONG_STREAM: u64 = 400;

/// One entry, replicas, and what they run before.
pub struct Site {
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

/// What a caller got: the status, what came of the body, and whether it ended as it should.
pub struct Got {
    pub status: u16,
    pub body: String,
    pub is_whole: bool,
}

/// Sends a prompt and reads its stream.
async fn stream(
    client: reqwest::Client,
    entry: SocketAddr,
    kind: &str,
    id: &str,
    events: u64,
) -> Got {
    stream_with_body(client, entry, kind, id, events, "a question".to_string()).await
}

/// Sends a prompt with a body and reads its stream.
pub async fn stream_with_body(
    client: reqwest::Client,
    entry: SocketAddr,
    kind: &str,
    id: &str,
    events: u64,
    content: String,
) -> Got {
    let asking = client
        .post(format!("http://{entry}/{kind}/"))
        .header("host", "shop.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", 20_000)
        .header("authorization", "Bearer key-alpha")
        .header("x-model", "m")
        .header("x-token-count", format!("1200,{events}"))
        .header("x-prompt-prefix", format!("c-{id}:1000,{id}:200"))
        .body(content);
    let Ok(mut answer) = asking.send().await else {
        return Got { status: 0, body: String::new(), is_whole: false };
    };
    let (status, mut body) = (answer.status().as_u16(), Vec::new());
    let is_whole = loop {
        match answer.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Got { status, body: String::from_utf8_lossy(&body).into_owned(), is_whole }
}

impl Site {
    /// Starts targets and processes; `network` differs between tests.
    async fn start(engines: &[&str], foreign: Vec<Vec<u8>>, network: u8) -> Site {
        Site::start_with_entries(1, engines, foreign, network).await
    }

    /// Starts targets and processes, several entries among them.
    pub async fn start_with_entries(
        entries: usize,
        engines: &[&str],
        foreign: Vec<Vec<u8>>,
        network: u8,
    ) -> Site {
        let platform = Platform::new();
        platform.lock().list.foreign = foreign.into_iter().enumerate().collect();
        for id in engines {
            platform.start_target(id, "llm", "hall-0", any_address(), None).await;
        }
        let list = platform.serve_list(any_address()).await;
        let system = System::start(entries, vec![list; REPLICAS], network);
        let client = reqwest::Client::new();
        let site = Site { platform, system, client, requests: 0 };
        site.tell("PUT", "config", &document()).await;
        site
    }

    fn engine<T>(
        &self,
        id: &str,
        look: impl Fn(&crate::platform_stand_in::target::Target) -> T,
    ) -> T {
        look(&self.platform.lock().targets[id])
    }

    /// Tells any replica that takes it, as the operator does.
    async fn tell(&self, method: &str, path: &str, body: &Value) {
        let begun = Instant::now();
        loop {
            for replica in self.system.replicas() {
                let url = format!("http://{}/{path}", self.system.operators(replica));
                let method = method.parse().expect("a method");
                let request = self.client.request(method, url).body(body.to_string());
                let answer = request.timeout(Duration::from_secs(2)).send().await;
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return;
                }
            }
            assert!(begun.elapsed() < PATIENCE, "{path} is not acknowledged");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn next_id(&mut self, kind: &str) -> String {
        self.requests += 1;
        format!("{kind}-{}", self.requests)
    }

    /// Sends short prompts, many at a time and without shared contexts, until something holds. Returns
    /// whether it came to hold.
    async fn serves_until(&mut self, holds: impl Fn(&Site) -> bool) -> bool {
        let begun = Instant::now();
        while !holds(self) {
            if begun.elapsed() > PATIENCE {
                return false;
            }
            let (client, entry) = (self.client.clone(), self.system.callers(0));
            let ids: Vec<String> = (0..PROMPTS_AT_A_TIME).map(|_| self.next_id("stream")).collect();
            let prompts = ids.iter().map(|id| stream(client.clone(), entry, "stream", id, 5));
            futures::future::join_all(prompts).await;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        true
    }

    async fn names(&self, version: u64) {
        self.platform.lock().named_weights = version;
        self.tell("POST", "version-put", &json!({"Model": "m", "Version": version})).await;
    }

    fn violations(&self) -> Vec<String> {
        self.platform.lock().observations.violations.clone()
    }
}

/// What is right of a stream: its events in order, each once, and whole only if they are all there.
fn assert_not_spliced(id: &str, got: &Got) {
    let expected: String = (1..=LONG_STREAM).map(|number| expected_event(id, number)).collect();
    assert!(expected.starts_with(&got.body), "{id} got {:?}", got.body);
    let is_refused = got.status != 200 && got.body.is_empty();
    assert!(is_refused || !got.is_whole || got.body == expected, "{id} looks whole: {}", got.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_starts_again_with_an_order_and_a_stream_under_way_loads_named_weights() {
    let mut site = Site::start(&["i-0", "i-1"], Vec::new(), 231).await;
    assert!(site.serves_until(|site| site.engine("i-0", |engine| engine.begun > 0)).await);
    let mut streams = tokio::task::JoinSet::new();
    for kind in ["stream", "resumable"].repeat(6) {
        let (client, entry, id) = (site.client.clone(), site.system.callers(0), site.next_id(kind));
        streams.spawn(async move {
            let got = stream(client, entry, kind, &id, LONG_STREAM).await;
            (id, got)
        });
    }
    site.names(2).await;
    // The first that is told to load is in the middle of streams: they are not waited for so long.
    let loads = |site: &Site| {
        let platform = site.platform.lock();
        let mut engines = platform.targets.values();
        engines.find(|engine| engine.loading.is_some()).map(|engine| engine.id.clone())
    };
    let begun = Instant::now();
    let loading = loop {
        if let Some(loading) = loads(&site) {
            break loading;
        }
        assert!(begun.elapsed() < PATIENCE, "no engine is told to load");
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert_eq!(site.engine(&loading, |engine| engine.weights), Some(1), "it loads still");
    let restart = Restart {
        down: Duration::from_millis(300),
        entry_lags: Duration::from_millis(1_000),
        born_ms: clock_ms(),
        ..Restart::at(any_address())
    };
    site.platform.restart_target(&loading, restart).await.expect("it starts again");
    let mut broken = 0;
    while let Some(ended) = streams.join_next().await {
        let (id, got) = ended.expect("no panic");
        assert_not_spliced(&id, &got);
        broken += u32::from(!got.is_whole || got.status != 200);
        if id.starts_with("resumable") {
            assert!(got.is_whole && got.status == 200, "{id} goes on elsewhere: {}", got.status);
        }
    }
    assert!(broken <= 6, "only streams that may not be resumed break: {broken}");
    let have_named = |site: &Site| ["i-0", "i-1"].map(|id| site.engine(id, |e| e.weights));
    site.serves_until(|site| have_named(site) == [Some(2); 2]).await;
    assert_eq!(have_named(&site), [Some(2); 2], "weights of the engines");
    let before = site.engine(&loading, |engine| engine.begun);
    let takes_work = |site: &Site| site.engine(&loading, |engine| engine.begun) > before;
    assert!(site.serves_until(takes_work).await, "{loading} takes work again");
    assert_eq!(site.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_start_that_left_is_replaced_by_one_that_takes_work() {
    let mut site = Site::start(&["i-0", "i-1"], Vec::new(), 232).await;
    assert!(site.serves_until(|site| site.engine("i-0", |engine| engine.begun > 0)).await);
    site.platform.drain_target("i-0");
    // Long enough for all to know that it leaves.
    let drained = Instant::now();
    site.serves_until(|_| drained.elapsed() > Duration::from_secs(4)).await;
    // Its clock was put back meanwhile.
    let restart = Restart { born_ms: clock_ms() - 60_000, ..Restart::at(any_address()) };
    site.platform.restart_target("i-0", restart).await.expect("it starts again");
    let takes_work = site.serves_until(|site| site.engine("i-0", |e| e.begun > 0)).await;
    assert!(takes_work, "start 2 of i-0 got no prompt within {PATIENCE:?}");
    assert_eq!(site.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_of_other_writers_take_no_other_entry_away_and_get_no_request() {
    let nobody_knows = Platform::new();
    let nobody = nobody_knows.serve_unused_address(any_address()).await;
    let foreign =
        |(number, kind): (usize, &ForeignEntry)| kind.entry(&format!("i-foreign-{number}"), nobody);
    let mut entries: Vec<Vec<u8>> = FOREIGN_ENTRIES.iter().enumerate().map(foreign).collect();
    // And one under the id of an engine.
    entries.push(ForeignEntry::Has("State", b"\"evacuating\"").entry("i-1", nobody));
    let mut site = Site::start(&["i-0", "i-1"], entries, 233).await;
    for id in ["i-0", "i-1"] {
        let gets_work = site.serves_until(|site| site.engine(id, |e| e.begun > 0)).await;
        assert!(gets_work, "{id} got no prompt within {PATIENCE:?} beside other writers' entries");
    }
    site.names(2).await;
    let have_named = |site: &Site| ["i-0", "i-1"].map(|id| site.engine(id, |e| e.weights));
    site.serves_until(|site| have_named(site) == [Some(2); 2]).await;
    assert_eq!(have_named(&site), [Some(2); 2], "weights of the engines");
    assert_eq!(site.violations(), Vec::<String>::new());
    assert_eq!(nobody_knows.lock().observations.violations, Vec::<String>::new());
}
