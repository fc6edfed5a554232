//! Streams of which nobody was told, which callers take up at entries that did not relay them.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquatpost::control::frames::{OriginAnswer, Update};
use kumquatpost::control::stream_lookups::conclude;
use kumquatpost::fleet::streams::StreamOrigin;
use reqwest::StatusCode;
use tokio::sync::mpsc;

use crate::fixtures::target;
use crate::gateway::{Entry, PROMPT, eventually, run_local, start_unconfigured_entry};
use crate::platform_stand_in::target::FIRST_SOFTWARE;
use crate::restarts::TestDeployment;
use crate::software_versions::{
    EVENTS_BEFORE_LOSS, LATER_SOFTWARE, LONG_STREAM_EVENTS, STREAMS, begin_stream, broken_stream,
    count_events, deployment_with_one_attempt, rest_of_stream, stream_request, take_up,
};
use crate::stand_in::{Script, StandIn, header};

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { service: "llm".to_string(), software: software.to_string() }
}

#[test]
fn a_stream_goes_on_as_the_best_informed_replica_answers() {
    use OriginAnswer::{Presumed, Sole, Told, Uncertain, Unknown};
    let (v1, v2) = (origin("v1"), origin("v2"));
    let cases = [
        (vec![], Unknown),
        (vec![Unknown, Unknown], Unknown),
        (vec![Unknown, Sole(v1.clone())], Sole(v1.clone())),
        (vec![Sole(v1.clone()), Sole(v2.clone())], Uncertain),
        (vec![Sole(v2.clone()), Presumed(v1.clone())], Presumed(v1.clone())),
        (vec![Unknown, Presumed(v1.clone())], Presumed(v1.clone())),
        (vec![Presumed(v1.clone()), Presumed(v1.clone())], Presumed(v1.clone())),
        (vec![Presumed(v1.clone()), Presumed(v2.clone())], Uncertain),
        (vec![Presumed(v1.clone()), Uncertain], Uncertain),
        (vec![Unknown, Uncertain], Uncertain),
        (vec![Presumed(v1.clone()), Told(v2.clone())], Told(v2.clone())),
        (vec![Uncertain, Told(v2.clone())], Told(v2)),
    ];
    for (answers, expected) in cases {
        assert_eq!(conclude(answers.clone()), expected, "{answers:?}");
        let reversed = answers.iter().rev().cloned().collect();
        assert_eq!(conclude(reversed), expected, "{answers:?}, reversed");
    }
}

/// An entry that has known the list for long, in front of one target.
async fn entry_with_settled_service(script: Script) -> (Entry, StandIn) {
    let entry = start_unconfigured_entry().await;
    entry.gateway.fleet.borrow_mut().software_changed(Duration::ZERO);
    let stand_in = StandIn::start(script).await;
    entry.configure(deployment_with_one_attempt(), vec![target("i-1", "llm", stand_in.address)]);
    (entry, stand_in)
}

/// Takes up a stream that the entry has not relayed, while a replica answers for it. Returns the status.
async fn take_up_with(answer: OriginAnswer) -> u16 {
    let (entry, _stand_in) = entry_that_seems_current().await;
    let gateway = entry.gateway.clone();
    let mut lookups = gateway.stream_lookups.subscribe();
    let replica = async {
        lookups.changed().await.expect("the entry asks");
        let lookup = lookups.borrow().after(0).next().expect("a lookup");
        let found = Update::StreamFound { id: lookup.id, answer };
        gateway.observe(found).expect("a valid update");
        std::future::pending::<()>().await;
    };
    let taken_up = format!("{PROMPT}Last-Event-Id: 2\r\nResumes: r0\r\n");
    tokio::select! {
        got = entry.call_with("/resumable/", "r1", &taken_up) => got.status,
        () = replica => unreachable!("it answers until the end"),
    }
}

// Guards against an entry that goes on with a stream at the only version it knows, although a replica has said that
// several are possible.
#[test]
fn an_entry_does_not_presume_what_a_replica_is_uncertain_of() {
    run_local(async {
        assert_eq!(take_up_with(OriginAnswer::Uncertain).await, 503);
        assert_eq!(take_up_with(OriginAnswer::Sole(origin(LATER_SOFTWARE))).await, 503);
        // A replica that has just started knows the list alone, and this entry has known it for long.
        assert_eq!(take_up_with(OriginAnswer::Sole(origin(FIRST_SOFTWARE))).await, 200);
        assert_eq!(take_up_with(OriginAnswer::Presumed(origin(FIRST_SOFTWARE))).await, 200);
    });
}

/// An entry with a settled service that has heard of a replica just now.
async fn entry_that_seems_current() -> (Entry, StandIn) {
    let (entry, stand_in) = entry_with_settled_service(rest_of_stream()).await;
    let heartbeat =
        Update::Heartbeat { replicas: BTreeSet::new(), entries: None, leader: None, term: 1 };
    entry.gateway.observe(heartbeat).expect("a valid update");
    (entry, stand_in)
}

// Guards against streams of a version that joined while an entry was cut off or stood still: the heartbeats that it
// has read last are recent, or were sent long ago, and it goes on with them at the only version that it knows.
#[test]
fn an_entry_that_no_replica_answers_does_not_presume() {
    run_local(async {
        let taken_up = format!("{PROMPT}Last-Event-Id: 2\r\nResumes: r0\r\n");
        let (entry, stand_in) = entry_that_seems_current().await;
        let got = entry.call_with("/resumable/", "r1", &taken_up).await;
        assert_eq!(got.status, 503, "no subscription: {}", got.text);
        assert!(header(&got.text, "retry-after").is_some(), "{}", got.text);
        let _silent = entry.gateway.stream_lookups.subscribe();
        let got = entry.call_with("/resumable/", "r2", &taken_up).await;
        assert_eq!(got.status, 503, "a silent subscription: {}", got.text);
        assert_eq!(stand_in.request_count(), 0);
    });
}

// The same for an entry whose replica is cut off with it, and says that it may not be up to date.
#[test]
fn an_entry_does_not_presume_beside_an_outdated_replica() {
    run_local(async {
        assert_eq!(take_up_with(OriginAnswer::Unknown).await, 503);
    });
}

// Guards against a cure that refuses what a replica could tell as soon as the entry is subscribed again.
#[test]
fn an_entry_that_subscribes_again_asks_for_streams_that_wait() {
    run_local(async {
        let (entry, _stand_in) = entry_that_seems_current().await;
        let gateway = entry.gateway.clone();
        let replica = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let lookups = gateway.stream_lookups.subscribe();
            let lookup = lookups.borrow().after(0).next().expect("a lookup");
            let answer = OriginAnswer::Told(origin(FIRST_SOFTWARE));
            gateway.observe(Update::StreamFound { id: lookup.id, answer }).expect("a valid update");
            std::future::pending::<()>().await;
        };
        let taken_up = format!("{PROMPT}Last-Event-Id: 2\r\nResumes: r0\r\n");
        tokio::select! {
            got = entry.call_with("/resumable/", "r1", &taken_up) => assert_eq!(got.status, 200, "{}", got.text),
            () = replica => unreachable!("it answers until the end"),
        }
    });
}

// Guards against streams of an entry that was started during a release, which knows the new version alone and told
// nobody.
#[test]
fn an_entry_that_has_just_started_tells_of_its_streams() {
    run_local(async {
        let entry = start_unconfigured_entry().await;
        let stand_in = StandIn::start(broken_stream()).await;
        let listed = target("i-1", "llm", stand_in.address);
        entry.configure(deployment_with_one_attempt(), vec![listed]);
        let mut told = entry.gateway.streams.subscribe();
        entry.call_with("/resumable/", "r1", PROMPT).await;
        assert!(told.has_changed().expect("the entry runs"));
        assert_eq!(told.borrow_and_update().since(0).len(), 1);
    });
}

// The same for an entry that has known the list for long: nothing is told while there is one version.
#[test]
fn streams_of_a_settled_service_are_not_told() {
    run_local(async {
        let (entry, _stand_in) = entry_with_settled_service(broken_stream()).await;
        let told = entry.gateway.streams.subscribe();
        entry.call_with("/resumable/", "r1", PROMPT).await;
        eventually(|| !entry.gateway.streams.borrow().is_empty()).await;
        assert!(!told.has_changed().expect("the entry runs"));
    });
}

// Guards against lookups of callers that have left, which would be kept and sent to each new replica.
#[test]
fn a_lookup_ends_with_its_request() {
    run_local(async {
        let (entry, _stand_in) = entry_with_settled_service(rest_of_stream()).await;
        let mut lookups = entry.gateway.stream_lookups.subscribe();
        let taken_up = format!("{PROMPT}Last-Event-Id: 2\r\nResumes: r0\r\n");
        tokio::select! {
            _ = entry.call_with("/resumable/", "r1", &taken_up) => panic!("nobody answers"),
            asked = lookups.changed() => asked.expect("the entry asks"),
        }
        assert!(!lookups.borrow().is_empty());
        eventually(|| entry.gateway.stream_lookups.borrow().is_empty()).await;
    });
}

// Guards against callers that are told to come back with a stream that can't go on.
#[test]
fn a_stream_whose_software_version_has_left_is_refused_for_good() {
    run_local(async {
        let (entry, stand_in) = entry_with_settled_service(broken_stream()).await;
        entry.call_with("/resumable/", "r1", PROMPT).await;
        let mut later = target("i-2", "llm", stand_in.address);
        later.software = LATER_SOFTWARE.to_string();
        entry.observe_targets(2, vec![later]);
        let taken_up = format!("{PROMPT}Last-Event-Id: 2\r\nResumes: r1\r\n");
        let got = entry.call_with("/resumable/", "r2", &taken_up).await;
        assert_eq!(got.status, 503, "{}", got.text);
        assert_eq!(header(&got.text, "retry-after"), None, "{}", got.text);
        assert_eq!(stand_in.request_count(), 1);
    });
}

/// Begins streams at an entry, with numbers from `first` on, and reads them until each has some events.
async fn begin_streams(
    deployment: &TestDeployment,
    entry: usize,
    first: usize,
) -> Vec<(String, tokio::task::JoinHandle<u64>)> {
    let (client, at) = (deployment.client.clone(), deployment.system.caller_address(entry));
    let (seen, mut all_seen) = mpsc::unbounded_channel();
    let mut reading = Vec::new();
    for number in first..first + STREAMS {
        let (id, response) = begin_stream(&client, at, number).await;
        let seen = seen.clone();
        let read = count_events(response, move |events| {
            if events >= EVENTS_BEFORE_LOSS {
                // The test has ended if nobody receives this.
                let _ = seen.send(number);
            }
        });
        reading.push((id, tokio::spawn(read)));
    }
    let mut waiting: BTreeSet<usize> = (first..first + STREAMS).collect();
    while !waiting.is_empty() {
        waiting.remove(&all_seen.recv().await.expect("streams are read"));
    }
    reading
}

// Guards against streams that go on at the new version after all entries were killed during a release, and against
// a cure that refuses the streams of the new version as well.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_only_at_their_version_after_all_entries_were_killed_during_a_release() {
    let mut deployment =
        TestDeployment::start_with_entries(2, &["i-1", "i-2"], Vec::new(), 247).await;
    let client = deployment.client.clone();
    let entries = [deployment.system.caller_address(0), deployment.system.caller_address(1)];
    drop(begin_stream(&client, entries[1], STREAMS * 2).await);
    let old = begin_streams(&deployment, 0, 0).await;
    for id in ["i-3", "i-4"] {
        let at = "127.0.0.1:0".parse().expect("an address");
        deployment.platform.start_target(id, "llm", "hall-0", at, None).await;
        deployment.platform.set_software(id, LATER_SOFTWARE);
    }
    (0..2).for_each(|entry| deployment.system.kill(entry));
    ["i-1", "i-2"].iter().for_each(|id| deployment.platform.crash_target(id, 1));
    (0..2).for_each(|entry| deployment.system.restart(entry, false));
    // Streams of the new version begin at the first entry, which is then lost as well.
    let new = begin_streams(&deployment, 0, STREAMS).await;
    for (stream, reading) in old {
        let events = reading.await.expect("the reader does not panic");
        let request = stream_request(&client, entries[1], &format!("resumable-{stream}"))
            .header("last-event-id", events)
            .header("resumes", &stream);
        let answer = request.send().await.expect("the entry answers");
        assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE, "{stream}");
    }
    deployment.system.kill(0);
    let mut taking_up = Vec::new();
    for (stream, reading) in new {
        let client = client.clone();
        taking_up.push(async move {
            let events = reading.await.expect("the reader does not panic");
            events + take_up(&client, entries[1], &stream, events).await
        });
    }
    let totals = futures::future::join_all(taking_up).await;
    assert_eq!(totals, vec![LONG_STREAM_EVENTS; STREAMS]);
    let mixed = deployment.platform.lock().observations.mixed_streams();
    assert!(mixed.is_empty(), "{mixed:?}");
}
