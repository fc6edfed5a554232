//! An entry in front of scripted targets that are silent for longer than a route allows, and then go
//! on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatpost::clock::boot_now;
use kumquatpost::control::frames::Update;
use kumquatpost::deployment::Deployment;
use kumquatpost::fleet::budget::{RetryBudget, RetryLimit};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::cut_entries::{Cut, CutAddress};
use crate::fixtures::{deployment, start, target};
use crate::gateway::{
    Entry, PROMPT, Response, entry_with_two_targets, event_stream, eventually, ok_response,
    prefer_other_targets, run_local, start_entry,
};
use crate::stand_in::{AfterAnswer, Script, StandIn};

/// Longer than four of the largest gaps between events that the routes allow, and than their time for
/// the head of a response.
pub const SILENCE: Duration = Duration::from_millis(1_700);
/// The same, and longer than a connection takes to open after that.
const LONG_SILENCE: Duration = Duration::from_millis(2_200);
/// Largest gap between events that the routes allow.
const MAX_EVENT_GAP: Duration = Duration::from_millis(300);
/// After this time without the head of a response, another target of a plain service is asked: twice the
/// objective of the routes.
const FIRST_RESPONSE_LIMIT: Duration = Duration::from_millis(800);
/// Difference between two silences of a series.
const SILENCE_STEP: Duration = Duration::from_millis(20);
/// How long a target takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);
/// The time limit of all routes, which no test reaches.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(60);
/// More than the buffers of a connection to a target that doesn't read take at once.
const LONG_BODY_BYTES: usize = 900 << 10;
/// More than the send buffer of a connection takes at once as well.
const UNSENT_BODY_BYTES: usize = 8 << 20;
const LAST_BYTES: &[u8] = b"the end";
const FIRST_EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const LAST_EVENT: &str = "id: 3\ndata: c\n\n";
/// The answer of a target that has no room.
pub const NOT_RUN: &str =
    "HTTP/1.1 503 Full\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Routes with events 300 ms apart at most.
pub fn short_gaps() -> Deployment {
    let mut deployment = deployment(1);
    deployment.routes.iter_mut().for_each(|route| route.timeout = ROUTE_TIMEOUT);
    deployment.request_limits.body_bytes = UNSENT_BODY_BYTES;
    deployment
}

/// A stream that is silent after the first two events, then goes on.
pub fn silent_between_events() -> Script {
    vec![
        (event_stream(&[FIRST_EVENTS], false), AfterAnswer::ContinueAfter(SILENCE)),
        (rest_of_stream(LAST_EVENT), AfterAnswer::KeepOpen),
    ]
}

/// A stream that is silent within its third event.
fn silent_within_an_event() -> Script {
    vec![
        (event_stream(&[FIRST_EVENTS, "id: 3\nda"], false), AfterAnswer::ContinueAfter(SILENCE)),
        (rest_of_stream("ta: c\n\n"), AfterAnswer::KeepOpen),
    ]
}

/// An answer whose head comes late.
pub fn silent_before_the_head(answer: String) -> Script {
    vec![(String::new(), AfterAnswer::ContinueAfter(SILENCE)), (answer, AfterAnswer::KeepOpen)]
}

/// The last chunks of a stream.
fn rest_of_stream(chunk: &str) -> String {
    format!("{:x}\r\n{chunk}\r\n0\r\n\r\n", chunk.len())
}

pub fn whole_stream() -> String {
    event_stream(&[FIRST_EVENTS, LAST_EVENT], true)
}

fn spend_retries(entry: &Entry) {
    let limit = RetryLimit { ratio: 0.0, slack: 0.0, window: ROUTE_TIMEOUT };
    *entry.gateway.retries.borrow_mut() = RetryBudget::new(limit, boot_now());
}

pub fn configure(entry: &Entry, deployment: Deployment) {
    let update = Update::Deployment(Arc::new(deployment));
    entry.gateway.observe(update).expect("a valid update");
}

/// An entry and its targets of the service `llm`, with these scripts.
async fn entry_with_engines(scripts: Vec<Script>) -> (Entry, Vec<StandIn>) {
    let (mut engines, mut listed) = (Vec::new(), Vec::new());
    for (n, script) in scripts.into_iter().enumerate() {
        let engine = StandIn::start(script).await;
        listed.push(target(&format!("i-{n}"), "llm", engine.address));
        engines.push(engine);
    }
    (start_entry(short_gaps(), listed).await, engines)
}

pub fn assert_whole_stream(name: &str, got: &Response) {
    assert_eq!(got.status, 200, "{name}: {}", got.text);
    let body: String = got.text.split("\r\n").filter(|line| line.contains(": ")).collect();
    let last = body.rsplit("text/event-stream").next().unwrap_or_default();
    for (number, text) in [(1, "a"), (2, "b"), (3, "c")] {
        let event = format!("id: {number}\n");
        assert_eq!(got.text.matches(&event).count(), 1, "{name}, event {number} once: {last}");
        assert!(got.text.contains(&format!("data: {text}")), "{name}, event {number}: {last}");
    }
    assert!(got.text.ends_with("0\r\n\r\n"), "{name}: the end is missing: {}", got.text);
}

fn interruptions(engines: &[StandIn]) -> u32 {
    engines.iter().map(|engine| engine.interrupted.get()).sum()
}

fn requests(engines: &[StandIn]) -> usize {
    engines.iter().map(StandIn::request_count).sum()
}

// Guards against a stream that is cut off because its only target was silent for a second or so.
#[test]
fn a_stream_whose_only_target_falls_silent_and_goes_on_is_whole() {
    for (path, name, script) in [
        ("/resumable/", "between events", silent_between_events as fn() -> Script),
        ("/resumable/", "within an event", silent_within_an_event),
        ("/stream/", "between events", silent_between_events),
        ("/stream/", "within an event", silent_within_an_event),
    ] {
        run_local(async move {
            let (entry, engines) = entry_with_engines(vec![script()]).await;
            let got = entry.call_with(path, "r1", PROMPT).await;
            assert_whole_stream(&format!("{path} {name}"), &got);
            assert_eq!((requests(&engines), interruptions(&engines)), (1, 0), "{path} {name}");
        });
    }
}

// Guards against a stream that is cut off at a silent target because no retry is left.
#[test]
fn a_stream_at_a_silent_target_is_whole_without_a_retry() {
    run_local(async {
        let scripts = vec![silent_between_events(), silent_between_events()];
        let (entry, engines) = entry_with_engines(scripts).await;
        spend_retries(&entry);
        let got = entry.call_with("/resumable/", "r1", PROMPT).await;
        assert_whole_stream("no retry", &got);
        assert_eq!((requests(&engines), interruptions(&engines)), (1, 0));
    });
}

// Guards against a request that is answered with 504, though its target was only silent for a while,
// because no other target or no retry was left.
#[test]
fn a_response_that_begins_late_is_whole_if_nothing_can_replace_it() {
    for (path, count, has_retries) in
        [("/resumable/", 1, true), ("/resumable/", 2, false), ("/stream/", 2, true)]
    {
        run_local(async move {
            let scripts = vec![silent_before_the_head(whole_stream()); count];
            let (entry, engines) = entry_with_engines(scripts).await;
            if !has_retries {
                spend_retries(&entry);
            }
            let got = entry.call_with(path, "r1", PROMPT).await;
            assert_whole_stream(&format!("{path} {count} {has_retries}"), &got);
            assert_eq!((requests(&engines), interruptions(&engines)), (1, 0), "{path} {count}");
        });
    }
}

// Guards against the same for a plain service.
#[test]
fn a_plain_response_that_begins_late_is_whole_if_nothing_can_replace_it() {
    for (path, has_retries) in [("/safe/", true), ("/safe/", false), ("/once/", true)] {
        run_local(async move {
            let only = StandIn::start(silent_before_the_head(ok_response("done"))).await;
            let entry = start_entry(short_gaps(), vec![target("i-0", "app", only.address)]).await;
            if !has_retries {
                spend_retries(&entry);
            }
            let got = entry.call(path, "r1").await;
            assert_eq!(got.status, 200, "{path} {has_retries}: {}", got.text);
            assert!(got.text.ends_with("done"), "{path} {has_retries}: {}", got.text);
            assert_eq!((only.request_count(), only.interrupted.get()), (1, 0), "{path}");
        });
    }
}

// Guards against a stream that waits at a silent target although another one could go on with it,
// and against one that runs at both.
#[test]
fn a_stream_at_a_silent_target_is_resumed_at_another_one() {
    run_local(async {
        let silent = vec![(event_stream(&[FIRST_EVENTS], false), AfterAnswer::Hang)];
        let rest = vec![(event_stream(&[LAST_EVENT], true), AfterAnswer::KeepOpen)];
        let (entry, first_engine, second_engine) =
            entry_with_two_targets("llm", silent, rest).await;
        configure(&entry, Deployment { version: 2, ..short_gaps() });
        let got = entry.call_with("/resumable/", "r1", PROMPT).await;
        assert_whole_stream("resumed", &got);
        assert_eq!((first_engine.request_count(), second_engine.request_count()), (1, 1));
        eventually(|| first_engine.interrupted.get() == 1).await;
    });
}

// Guards against a request that waits for a silent target although another one could answer it, and
// against one that runs at both.
#[test]
fn a_request_at_a_silent_target_is_sent_to_another_one() {
    let (stream, plain) = (whole_stream(), ok_response("done"));
    for (path, service, answer) in [("/resumable/", "llm", stream), ("/safe/", "app", plain)] {
        run_local(async move {
            let silent = vec![(String::new(), AfterAnswer::Hang)];
            let answers = vec![(answer, AfterAnswer::KeepOpen)];
            let (entry, first, second) = entry_with_two_targets(service, silent, answers).await;
            configure(&entry, Deployment { version: 2, ..short_gaps() });
            let got = entry.call_with(path, "r1", PROMPT).await;
            assert_eq!(got.status, 200, "{path}: {}", got.text);
            assert_eq!((first.request_count(), second.request_count()), (1, 1), "{path}");
            eventually(|| first.interrupted.get() == 1).await;
            let fleet = entry.gateway.fleet.borrow();
            assert_eq!(fleet.get(&start("i-1")).expect("listed").running, 0, "{path}");
        });
    }
}

// Guards against a stream that is cut off because the target that takes it over doesn't run it.
#[test]
fn a_resumed_stream_goes_to_a_further_target_if_the_second_does_not_run_it() {
    run_local(async {
        let broken = (event_stream(&[FIRST_EVENTS], false), AfterAnswer::Close);
        let full = (NOT_RUN.to_string(), AfterAnswer::KeepOpen);
        let rest = (event_stream(&[LAST_EVENT], true), AfterAnswer::KeepOpen);
        let engines = StandIn::start_group(3, vec![broken, full, rest]).await;
        let listed = engines.iter().enumerate();
        let listed = listed.map(|(n, engine)| target(&format!("i-{n}"), "llm", engine.address));
        let entry = start_entry(short_gaps(), listed.collect()).await;
        let got = entry.call_with("/resumable/", "r1", PROMPT).await;
        assert_whole_stream("third target", &got);
        assert_eq!(requests(&engines), 3);
    });
}

/// An entry in front of a silent target and one that runs nothing.
async fn entry_with_a_silent_and_a_full_target(
    service: &str,
    silent: Script,
) -> (Entry, [StandIn; 2]) {
    let full = vec![(NOT_RUN.to_string(), AfterAnswer::KeepOpen); 9];
    let (entry, silent, full) = entry_with_two_targets(service, silent, full).await;
    configure(&entry, Deployment { version: 2, ..short_gaps() });
    (entry, [silent, full])
}

// Guards against a stream that is cut off because the target that was to take it over from a silent one
// doesn't run it.
#[test]
fn a_stream_at_a_silent_target_goes_on_there_if_the_other_one_does_not_run_it() {
    run_local(async {
        let (entry, [silent, full]) =
            entry_with_a_silent_and_a_full_target("llm", silent_between_events()).await;
        let got = entry.call_with("/resumable/", "r1", PROMPT).await;
        assert_whole_stream("the other target is full", &got);
        assert_eq!((silent.request_count(), silent.interrupted.get()), (1, 0));
        assert!(full.request_count() > 0);
    });
}

// Guards against a request that is refused because the target that was to replace a silent one doesn't
// run it.
#[test]
fn a_request_at_a_silent_target_is_answered_there_if_the_other_one_does_not_run_it() {
    let (stream, plain) = (whole_stream(), ok_response("done"));
    for (path, service, answer) in [("/resumable/", "llm", stream), ("/safe/", "app", plain)] {
        run_local(async move {
            let script = silent_before_the_head(answer);
            let (entry, [silent, full]) =
                entry_with_a_silent_and_a_full_target(service, script).await;
            let got = entry.call_with(path, "r1", PROMPT).await;
            assert_eq!(got.status, 200, "{path}: {}", got.text);
            assert_eq!((silent.request_count(), silent.interrupted.get()), (1, 0), "{path}");
            assert!(full.request_count() > 0, "{path}");
        });
    }
}

// Guards against a run that is given up while a connection to another target is tried.
#[test]
fn a_silent_target_goes_on_if_no_connection_to_the_other_one_opens() {
    let late = |answer| {
        vec![
            (String::new(), AfterAnswer::ContinueAfter(LONG_SILENCE)),
            (answer, AfterAnswer::KeepOpen),
        ]
    };
    for (path, service, script) in [
        ("/resumable/", "llm", silent_between_events()),
        ("/resumable/", "llm", late(whole_stream())),
        ("/safe/", "app", late(ok_response("done"))),
    ] {
        run_local(async move {
            let silent = StandIn::start(script).await;
            let cut = CutAddress::new(Cut::Silent).await;
            let mut first = target("i-1", service, silent.address);
            first.slots = 48;
            let second = target("i-2", service, cut.address);
            let entry = start_entry(short_gaps(), vec![first, second]).await;
            prefer_other_targets(&entry, "i-2");
            let got = entry.call_with(path, "r1", PROMPT).await;
            assert_eq!(got.status, 200, "{path}: {}", got.text);
            assert!(got.text.ends_with("done") || got.text.ends_with("0\r\n\r\n"), "{}", got.text);
            assert_eq!((silent.request_count(), silent.interrupted.get()), (1, 0), "{path}");
            let metrics = entry.gateway.metrics_text();
            assert!(metrics.contains("timed out"), "{path}: the other target was not tried");
        });
    }
}

/// Silences of `count` targets, around a limit after which another target is asked.
fn silences_around(limit: Duration, count: u32) -> impl Iterator<Item = Duration> {
    (0..count).map(move |n| limit - SILENCE_STEP * 2 + SILENCE_STEP * n)
}

/// A script that starts with a short silence.
fn slow(answer: String) -> Script {
    vec![(String::new(), AfterAnswer::ContinueAfter(ANSWER_TIME)), (answer, AfterAnswer::KeepOpen)]
}

// Guards against events that are lost or come twice because a silent target goes on while another one is
// asked to take over.
#[test]
fn a_stream_is_whole_whenever_its_silent_target_goes_on() {
    run_local(async {
        let calls = silences_around(4 * MAX_EVENT_GAP, 12).map(async |silence| {
            let silent = vec![
                (event_stream(&[FIRST_EVENTS], false), AfterAnswer::ContinueAfter(silence)),
                (rest_of_stream(LAST_EVENT), AfterAnswer::KeepOpen),
            ];
            let rest = slow(event_stream(&[LAST_EVENT], true));
            let (entry, first, second) = entry_with_two_targets("llm", silent, rest).await;
            configure(&entry, Deployment { version: 2, ..short_gaps() });
            let got = entry.call_with("/resumable/", "r1", PROMPT).await;
            assert_whole_stream(&format!("{silence:?}"), &got);
            assert!(first.request_count() == 1 && second.request_count() <= 1, "{silence:?}");
            let fleet = entry.gateway.fleet.borrow();
            for id in ["i-1", "i-2"] {
                assert_eq!(fleet.get(&start(id)).expect("listed").running, 0, "{silence:?} {id}");
            }
        });
        futures::future::join_all(calls).await;
    });
}

// Guards against a request without an answer because a silent target answers while another one is asked
// to take over.
#[test]
fn a_request_is_answered_whenever_its_silent_target_answers() {
    run_local(async {
        let calls = silences_around(FIRST_RESPONSE_LIMIT, 12).map(async |silence| {
            let silent = vec![
                (String::new(), AfterAnswer::ContinueAfter(silence)),
                (ok_response("done"), AfterAnswer::KeepOpen),
            ];
            let answer = slow(ok_response("done"));
            let (entry, first, second) = entry_with_two_targets("app", silent, answer).await;
            configure(&entry, Deployment { version: 2, ..short_gaps() });
            let got = entry.call("/safe/", "r1").await;
            assert!(got.status == 200 && got.text.ends_with("done"), "{silence:?}: {}", got.text);
            assert!(first.request_count() == 1 && second.request_count() <= 1, "{silence:?}");
            let fleet = entry.gateway.fleet.borrow();
            for id in ["i-1", "i-2"] {
                assert_eq!(fleet.get(&start(id)).expect("listed").running, 0, "{silence:?} {id}");
            }
        });
        futures::future::join_all(calls).await;
    });
}

/// A target that sends the start of its answer as soon as a request begins, and the end once it has read
/// a long body, which it does after a silence.
async fn start_late_reader(start: String, end: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    SockRef::from(&listener).set_recv_buffer_size(4_096).expect("a small buffer");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = Vec::new();
        stream.read_buf(&mut request).await.expect("a request begins");
        stream.write_all(start.as_bytes()).await.expect("the entry reads");
        tokio::time::sleep(SILENCE).await;
        while !request.ends_with(LAST_BYTES) {
            let count = stream.read_buf(&mut request).await.expect("the entry sends on");
            assert!(count > 0, "the entry closes the connection");
        }
        stream.write_all(end.as_bytes()).await.expect("the entry reads");
    });
    address
}

/// Sends a request with a long body and returns the response.
async fn call_with_long_body(entry: &Entry, path: &str, body_bytes: usize) -> Response {
    let mut caller = TcpStream::connect(entry.address).await.expect("it listens");
    let mut request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n\
         Authorization: Bearer key-a\r\nConnection: close\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body_bytes - LAST_BYTES.len(), b'x');
    request.extend_from_slice(LAST_BYTES);
    caller.write_all(&request).await.expect("the entry reads the request");
    let mut text = String::new();
    caller.read_to_string(&mut text).await.expect("a response");
    let status = text.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
    Response { status, text }
}

// Guards against a request that is lost because its target doesn't read a long body for a while.
#[test]
fn a_target_that_reads_a_long_body_late_answers_it() {
    run_local(async {
        let answer = ok_response("done").replace("{id}", "r1");
        let address = start_late_reader(String::new(), answer).await;
        let entry = start_entry(short_gaps(), vec![target("i-0", "app", address)]).await;
        let got = call_with_long_body(&entry, "/once/", LONG_BODY_BYTES).await;
        assert!(got.status == 200 && got.text.ends_with("done"), "{}", got.text);
    });
}

// Guards against a response that is cut off because its target sends the start of it before it has read a
// long body.
#[test]
fn a_target_that_reads_a_long_body_after_the_start_of_its_response_ends_it() {
    run_local(async {
        let start = event_stream(&[FIRST_EVENTS], false).replace("{id}", "r1");
        let address = start_late_reader(start, rest_of_stream(LAST_EVENT)).await;
        let entry = start_entry(short_gaps(), vec![target("i-0", "llm", address)]).await;
        let got = call_with_long_body(&entry, "/stream/", UNSENT_BODY_BYTES).await;
        assert_whole_stream("early", &got);
    });
}
