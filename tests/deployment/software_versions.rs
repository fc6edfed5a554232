//! Targets of several software versions in one service: a stream goes on only at the version that
//! began it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use kumquatpost::deployment::Deployment;
use kumquatpost::fleet::Listed;
use kumquatpost::gateway::metadata::TargetLoad;
use reqwest::StatusCode;

use crate::fixtures::{start, target};
use crate::gateway::{
    Entry, PROMPT, deployment_with_long_timeouts, event_stream, run_local, start_entry,
};
use crate::platform_stand_in::target::FIRST_SOFTWARE;
use crate::restarts::{EVENT_TIMEOUT, TestDeployment};
use crate::stand_in::{AfterAnswer, Script, StandIn, header};

pub const LATER_SOFTWARE: &str = "v2";
/// Streams that break at once.
pub const STREAMS: usize = 12;
/// Length of a stream that outlasts the loss of its entry.
pub const LONG_STREAM_EVENTS: u64 = 1_000;
/// Events that the caller has of a stream before its entry is lost.
pub const EVENTS_BEFORE_LOSS: u64 = 10;

pub fn broken_stream() -> Script {
    vec![(event_stream(&["id: 1\n\nid: 2\n\nid: 3\nda"], false), AfterAnswer::Close)]
}

pub fn rest_of_stream() -> Script {
    vec![(event_stream(&["id: 3\n\nid: 4\n\n"], true), AfterAnswer::KeepOpen)]
}

fn listed(id: &str, software: &str, stand_in: &StandIn) -> Listed {
    Listed { software: software.to_string(), ..target(id, "llm", stand_in.address) }
}

/// Makes an entry prefer other targets for the whole test.
fn report_busy(entry: &Entry, id: &str, running: u32) {
    let load = TargetLoad { running, waiting: 0, slots: 48, ..TargetLoad::default() };
    // A time in the future keeps the report at full weight.
    let at = kumquatpost::clock::boot_now() + EVENT_TIMEOUT;
    entry.gateway.fleet.borrow_mut().observe_load(&start(id), load, at);
}

/// An entry and three targets, of which the first gets the first request and the second, of another
/// software version, is preferred to the third, of the version of the first.
struct MixedService {
    entry: Entry,
    other_version: StandIn,
    same_version: StandIn,
    _first: StandIn,
}

impl MixedService {
    async fn start(deployment: Deployment) -> MixedService {
        let first = StandIn::start(broken_stream()).await;
        let other_version = StandIn::start(rest_of_stream()).await;
        let same_version = StandIn::start(rest_of_stream()).await;
        let targets = vec![
            listed("i-1", FIRST_SOFTWARE, &first),
            listed("i-2", LATER_SOFTWARE, &other_version),
            listed("i-3", FIRST_SOFTWARE, &same_version),
        ];
        let entry = start_entry(deployment, targets).await;
        report_busy(&entry, "i-2", 20);
        report_busy(&entry, "i-3", 40);
        MixedService { entry, other_version, same_version, _first: first }
    }

    fn assert_continued_at_same_version(&self) {
        assert_eq!(self.other_version.request_count(), 0, "the other version got the stream");
        let requests = self.same_version.requests.borrow();
        assert_eq!(header(&requests[0], "last-event-id").as_deref(), Some("2"));
    }
}

/// One attempt for each request, so that broken streams are left to their callers.
pub fn deployment_with_one_attempt() -> Deployment {
    let mut deployment = deployment_with_long_timeouts();
    deployment.routes.iter_mut().for_each(|route| route.attempts = 1);
    deployment
}

// Guards against streams that an entry resumes at a target of another software version.
#[test]
fn a_broken_stream_is_resumed_at_the_software_version_that_began_it() {
    run_local(async {
        let service = MixedService::start(deployment_with_long_timeouts()).await;
        let got = service.entry.call_with("/resumable/", "r1", PROMPT).await;
        assert!(got.text.ends_with("id: 3\n\nid: 4\n\n\r\n0\r\n\r\n"), "{}", got.text);
        service.assert_continued_at_same_version();
    });
}

// Guards against streams that a caller takes up and that are placed like new ones.
#[test]
fn a_stream_is_taken_up_at_the_software_version_that_began_it() {
    run_local(async {
        let service = MixedService::start(deployment_with_one_attempt()).await;
        let got = service.entry.call_with("/resumable/", "r1", PROMPT).await;
        assert!(got.text.contains("id: 2\n\n") && !got.text.ends_with("0\r\n\r\n"), "{}", got.text);
        // The target that broke the stream off would get it again, and may be the only one that runs it.
        report_busy(&service.entry, "i-1", 47);
        let taken_up = format!("{PROMPT}Last-Event-Id: 2\r\nResumes: r1\r\n");
        let got = service.entry.call_with("/resumable/", "r2", &taken_up).await;
        assert_eq!(got.status, 200, "{}", got.text);
        service.assert_continued_at_same_version();
    });
}

// Guards against a guess at the software version of a stream that nobody in reach knows.
#[test]
fn a_stream_of_unknown_software_version_is_refused_while_versions_are_mixed() {
    run_local(async {
        let service = MixedService::start(deployment_with_one_attempt()).await;
        let taken_up = format!("{PROMPT}Last-Event-Id: 2\r\nResumes: r0\r\n");
        let got = service.entry.call_with("/resumable/", "r1", &taken_up).await;
        assert_eq!(got.status, 503, "{}", got.text);
        assert!(header(&got.text, "retry-after").is_some(), "{}", got.text);
        assert_eq!(service.other_version.request_count(), 0);
        assert_eq!(service.same_version.request_count(), 0);
    });
}

/// Reads a stream until it ends or breaks, and counts its events. `seen` is called after each part.
pub async fn count_events(mut response: reqwest::Response, mut seen: impl FnMut(u64)) -> u64 {
    let mut text = String::new();
    while let Ok(Some(part)) = response.chunk().await {
        text += &String::from_utf8_lossy(&part);
        seen(text.matches("id: ").count() as u64);
    }
    text.matches("id: ").count() as u64
}

pub fn stream_request(
    client: &reqwest::Client,
    entry: SocketAddr,
    id: &str,
) -> reqwest::RequestBuilder {
    client
        .post(format!("http://{entry}/resumable/"))
        .header("host", "shop.example")
        .header("x-request-id", id)
        .header("x-deadline-ms", 20_000)
        .header("authorization", "Bearer key-alpha")
        .header("x-model", "m")
        .header("x-token-count", format!("1200,{LONG_STREAM_EVENTS}"))
        .header("x-prompt-prefix", format!("c-{id}:1000,{id}:200"))
        .body("a question")
}

/// Starts a stream once the entry serves.
pub async fn begin_stream(
    client: &reqwest::Client,
    entry: SocketAddr,
    number: usize,
) -> (String, reqwest::Response) {
    let begun = Instant::now();
    for attempt in 0.. {
        let id = format!("resumable-{number}-{attempt}");
        let answer = stream_request(client, entry, &id).send().await;
        if let Some(response) = answer.ok().filter(|answer| answer.status() == StatusCode::OK) {
            return (id, response);
        }
        assert!(begun.elapsed() < EVENT_TIMEOUT, "the entry does not serve");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unreachable!("the loop has no end")
}

/// Takes a stream up at another entry, and again while it is refused. Returns the number of events.
pub async fn take_up(
    client: &reqwest::Client,
    entry: SocketAddr,
    stream: &str,
    last_event: u64,
) -> u64 {
    let begun = Instant::now();
    for attempt in 0.. {
        let request = stream_request(client, entry, &format!("resumable-{stream}-{attempt}"))
            .header("last-event-id", last_event)
            .header("resumes", stream);
        let answer = request.send().await.expect("the entry answers");
        if answer.status() == StatusCode::OK {
            return count_events(answer, |_| {}).await;
        }
        assert!(begun.elapsed() < EVENT_TIMEOUT, "{stream} is not taken up");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("the loop has no end")
}

/// Index of the replica that leads.
async fn leader(deployment: &TestDeployment) -> usize {
    let no_redirects = reqwest::redirect::Policy::none();
    let client = reqwest::Client::builder().redirect(no_redirects).build().expect("a client");
    let begun = Instant::now();
    loop {
        for replica in deployment.system.replicas() {
            let url = format!("http://{}/config", deployment.system.operator_address(replica));
            let answer = client.get(url).timeout(Duration::from_secs(2)).send().await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return replica;
            }
        }
        assert!(begun.elapsed() < EVENT_TIMEOUT, "no replica leads");
    }
}

// Guards against streams whose software version is forgotten with the entry that relayed them and the
// leader that placed them.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_taken_up_at_their_software_version_after_their_entry_and_the_leader_were_killed()
 {
    let engines = ["i-1", "i-2", "i-3", "i-4"];
    let mut deployment = TestDeployment::start_with_entries(2, &engines, Vec::new(), 246).await;
    for id in ["i-3", "i-4"] {
        deployment.platform.set_software(id, LATER_SOFTWARE);
    }
    let first_entry = deployment.system.caller_address(0);
    let second_entry = deployment.system.caller_address(1);
    let client = deployment.client.clone();
    // Both entries serve, and know the list.
    drop(begin_stream(&client, second_entry, STREAMS).await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leader = leader(&deployment).await;
    let mut reading = Vec::new();
    let (seen, mut all_seen) = tokio::sync::mpsc::unbounded_channel();
    for number in 0..STREAMS {
        let (id, response) = begin_stream(&client, first_entry, number).await;
        let seen = seen.clone();
        reading.push((
            id,
            tokio::spawn(count_events(response, move |events| {
                if events >= EVENTS_BEFORE_LOSS {
                    // The test has ended if nobody receives this.
                    let _ = seen.send(number);
                }
            })),
        ));
    }
    let mut waiting: Vec<usize> = (0..STREAMS).collect();
    while !waiting.is_empty() {
        let number = all_seen.recv().await.expect("streams are read");
        waiting.retain(|other| *other != number);
    }
    deployment.system.kill(0);
    deployment.system.kill(leader);
    let mut taking_up = Vec::new();
    for (stream, reading) in reading {
        let client = client.clone();
        taking_up.push(async move {
            let events = reading.await.expect("the reader does not panic");
            assert!((EVENTS_BEFORE_LOSS..LONG_STREAM_EVENTS).contains(&events), "{events}");
            events + take_up(&client, second_entry, &stream, events).await
        });
    }
    let totals = futures::future::join_all(taking_up).await;
    assert_eq!(totals, vec![LONG_STREAM_EVENTS; STREAMS]);
    let mixed = deployment.platform.lock().observations.mixed_streams();
    assert!(mixed.is_empty(), "{mixed:?}");
}
