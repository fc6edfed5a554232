//! Requests on kept connections, read and streamed while the deployment, the weights, the settings or
//! the leader change.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixtures::ms;
use crate::gateway::run_local;
use crate::platform_stand_in::job::expected_event;
use crate::restarts::{EVENT_TIMEOUT, TestDeployment};
use crate::stand_in::header;

const ENTRIES: usize = 2;
const ENGINES: [&str; 3] = ["i-0", "i-1", "i-2"];
const CALLERS_PER_ROUTE: usize = 3;
const EVENTS: u64 = 25;
/// Pause between the two parts in which a caller sends a request.
const SENDING_PAUSE: Duration = Duration::from_millis(20);
/// A whole answer takes less on a busy machine as well.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const CHANGES: u64 = 12;
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);

/// Odd versions have other limits, priorities and attempts, and lack the route `extra`.
fn document(version: u64) -> Value {
    let is_odd = !version.is_multiple_of(2);
    let route = |name: &str, resumable: bool| {
        json!({"Name": name, "Host": "shop.example", "PathPrefix": format!("/{name}/"),
               "Kind": "stream", "TimeoutMs": if is_odd { 15_000 } else { 20_000 }, "SloMs": 4000,
               "Priority": if is_odd { 1 } else { 3 }, "Service": "llm",
               "Attempts": if is_odd { 1 } else { 2 }, "Public": false, "Sticky": true,
               "Resumable": resumable, "GapTargetMs": 3000})
    };
    let mut routes = vec![route("stream", false), route("resumable", true)];
    if !is_odd {
        routes.push(route("extra", false));
    }
    json!({"Version": version, "Routes": routes,
           "Services": [{"Name": "llm", "HealthPath": "/healthz", "MaxConns": 100,
                         "Engine": {"Slots": 16, "KvCapacity": 60_000, "KvTokenBytes": 1000,
                                    "LinkMbps": 1_000_000.0, "Models": [{"Name": "m"}]}}],
           "Limits": {"MaxHeaderBytes": if is_odd { 16_384 } else { 20_000 },
                      "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3000,
                      "IdleTimeoutMs": if is_odd { 2_000 } else { 15_000 }},
           "Tenants": [{"Name": "alpha", "ApiKeys": ["key-alpha", format!("key-{version}")]}]})
}

/// Sends a prompt in two parts and reads the response. Returns `None` if the connection ends before
/// it is whole, with what was received.
async fn exchange(stream: &mut TcpStream, route: &str, id: &str) -> Result<String, String> {
    let head = format!(
        "POST /{route}/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 20000\r\nAuthorization: Bearer key-alpha\r\nX-Model: m\r\n\
         X-Token-Count: 1200,{EVENTS}\r\nX-Prompt-Prefix: c-{id}:1000,{id}:200\r\n\
         Content-Length: 8\r\n\r\nhalf"
    );
    let mut text = String::new();
    let is_sent = stream.write_all(head.as_bytes()).await.is_ok();
    tokio::time::sleep(SENDING_PAUSE).await;
    if !is_sent || stream.write_all(b"rest").await.is_err() {
        return Err(text);
    }
    let mut bytes = vec![0; 4_096];
    while !is_whole(&text) {
        match stream.read(&mut bytes).await {
            Ok(count) if count > 0 => text += &String::from_utf8_lossy(&bytes[..count]),
            _ => return Err(text),
        }
    }
    Ok(text)
}

fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    match header(head, "content-length") {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    }
}

/// Whether a whole response is what a caller may get: all events, or a truthful refusal.
fn is_allowed(route: &str, id: &str, text: &str) -> bool {
    let status = text.get(9..12).unwrap_or_default();
    let has_event = |number| text.contains(&expected_event(id, number));
    match status {
        "200" => (1..=EVENTS).all(has_event),
        "503" => header(text, "retry-after").is_some(),
        "404" => route == "extra",
        _ => false,
    }
}

/// Sends one request after the other over a kept connection until `stopped`. Returns the number of
/// whole answers, and what else a caller must not get.
async fn keep_calling(
    entry: SocketAddr,
    route: &'static str,
    name: String,
    stopped: Rc<Cell<bool>>,
) -> (usize, Vec<String>) {
    let (mut answered, mut faults) = (0, Vec::new());
    let mut kept: Option<TcpStream> = None;
    let mut n = 0;
    while !stopped.get() {
        n += 1;
        let id = format!("{name}-{n}");
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => TcpStream::connect(entry).await.expect("the entry accepts connections"),
        };
        let exchanged = tokio::time::timeout(ANSWER_TIMEOUT, exchange(&mut stream, route, &id));
        match exchanged.await {
            Ok(Ok(text)) if is_allowed(route, &id, &text) => {
                answered += usize::from(text.starts_with("HTTP/1.1 200"));
                let closes = header(&text, "connection").is_some_and(|value| value == "close");
                kept = (!closes).then_some(stream);
            }
            Ok(Ok(text)) => faults.push(format!("{id} gets {text}")),
            Ok(Err(text)) => faults.push(format!("{id} ends early: {text}")),
            Err(_) => faults.push(format!("{id} has no whole answer in time")),
        }
    }
    (answered, faults)
}

/// A change while requests are read and streamed.
#[derive(Clone, Copy, Debug)]
enum Change {
    Deployment,
    Weights,
    Reload,
    Leader,
}

async fn make(change: Change, number: u64, deployment: &mut TestDeployment) {
    match change {
        Change::Deployment => {
            let document = document(number + 2);
            deployment.send_operator_request("PUT", "config", &document).await;
        }
        Change::Weights => {
            if number.is_multiple_of(4) {
                deployment.name_weights(2 + number / 4).await;
            }
        }
        Change::Reload => (0..ENTRIES).for_each(|entry| deployment.system.reload(entry)),
        Change::Leader => {
            // One of them leads.
            let replica = ENTRIES + number as usize % 5;
            deployment.system.kill(replica);
            tokio::time::sleep(CHANGE_INTERVAL * 4).await;
            deployment.system.restart(replica, false);
        }
    }
    tokio::time::sleep(CHANGE_INTERVAL).await;
}

async fn check(change: Change, network: u8) {
    let mut deployment =
        TestDeployment::start_with_entries(ENTRIES, &ENGINES, Vec::new(), network).await;
    deployment.send_operator_request("PUT", "config", &document(2)).await;
    let entries: Vec<_> = (0..ENTRIES).map(|n| deployment.system.caller_address(n)).collect();
    for (n, entry) in entries.iter().enumerate() {
        wait_until_served(*entry, n).await;
    }
    let stopped = Rc::new(Cell::new(false));
    let mut callers = tokio::task::JoinSet::new();
    for (n, route) in ["stream", "resumable", "extra"].repeat(CALLERS_PER_ROUTE).iter().enumerate()
    {
        let name = format!("{route}-{n}");
        callers.spawn_local(keep_calling(entries[n % ENTRIES], route, name, stopped.clone()));
    }
    for number in 1..=CHANGES {
        make(change, number, &mut deployment).await;
    }
    stopped.set(true);
    let (mut answered, mut faults) = (0, Vec::new());
    while let Some(ended) = callers.join_next().await {
        let (more_answered, more_faults) = ended.expect("the caller does not panic");
        answered += more_answered;
        faults.extend(more_faults);
    }
    println!("{change:?}: {answered} whole answers, {} faults", faults.len());
    assert!(faults.is_empty(), "{change:?}: {answered} whole answers, {faults:#?}");
    assert!(answered > 0, "{change:?}");
    let violations = deployment.platform.lock().observations.violations.clone();
    assert_eq!(violations, Vec::<String>::new(), "{change:?}");
}

async fn wait_until_served(entry: SocketAddr, n: usize) {
    let begun = Instant::now();
    loop {
        if let Ok(mut stream) = TcpStream::connect(entry).await {
            let got = exchange(&mut stream, "stream", &format!("first-{n}")).await;
            if got.is_ok_and(|text| text.starts_with("HTTP/1.1 200")) {
                return;
            }
        }
        assert!(begun.elapsed() < EVENT_TIMEOUT, "entry {n} serves");
        tokio::time::sleep(ms(50)).await;
    }
}

/// Guards against requests on kept connections that end without an answer or a refusal beside a new
/// deployment with other routes, limits, priorities, attempts and keys.
#[test]
fn requests_on_kept_connections_end_whole_while_the_deployment_changes() {
    run_local(check(Change::Deployment, 222));
}

/// Guards against the same beside new weights.
#[test]
fn requests_on_kept_connections_end_whole_while_weights_change() {
    run_local(check(Change::Weights, 223));
}

/// Guards against the same beside a reload of the settings.
#[test]
fn requests_on_kept_connections_end_whole_while_entries_reload() {
    run_local(check(Change::Reload, 224));
}

/// Guards against the same beside the loss of the leader and other replicas, one at a time.
#[test]
fn requests_on_kept_connections_end_whole_while_leaders_are_lost() {
    run_local(check(Change::Leader, 225));
}
