//! Entries that have lost their path to targets reach them through other entries.

use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::cut_entries::{
    Cut, CutAddress, Entry, FakeReplica, System, start, start_with, start_with_deployment,
    start_with_software,
};
use crate::fixtures::{loopback, ms, target};
use crate::gateway::{
    PROMPT, deployment_with_long_timeouts, event_stream, eventually, ok_response, run_local,
};
use crate::platform_stand_in::target::FIRST_SOFTWARE;
use crate::restarts::EVENT_TIMEOUT;
use crate::silent_targets::{
    assert_whole_stream, short_gaps, silent_before_the_head, silent_between_events, whole_stream,
};
use crate::stand_in::{AfterAnswer, Script, StandIn, header};

/// Reads until a text has arrived.
async fn read_until(stream: &mut TcpStream, expected: &str) -> String {
    let (mut received, mut bytes) = (String::new(), vec![0; 4_096]);
    while !received.contains(expected) {
        let count = stream.read(&mut bytes).await.expect("the response goes on");
        assert!(count > 0, "the response ends early: {received}");
        received += &String::from_utf8_lossy(&bytes[..count]);
    }
    received
}

fn answers(answer: String, count: usize) -> Script {
    vec![(answer, AfterAnswer::KeepOpen); count]
}

fn requests(system: &System) -> usize {
    system.targets.iter().map(StandIn::request_count).sum()
}

// Guards against callers that are refused, or wait longer, since their entry has lost its path to
// targets.
#[test]
fn callers_of_a_cut_entry_are_served_through_another_one() {
    for (cut, network) in [(Cut::Silent, 100), (Cut::Refused, 104)] {
        run_local(async move {
            let scripts = vec![answers(ok_response("done"), 100); 3];
            let system = start(cut, "app", scripts, network).await;
            for n in 0..30 {
                let (id, sent_at) = (format!("r{n}"), Instant::now());
                let got = system.cut.call(["/once/", "/safe/"][n % 2], &id).await;
                assert_eq!(got.status, 200, "{cut:?}, {id}: {}", got.text);
                assert!(got.text.ends_with("done"), "{cut:?}, {id}: {}", got.text);
                // The first requests find out that the path is lost.
                let took = sent_at.elapsed();
                assert!(n < 5 || took < ms(200), "{cut:?}, {id} takes {took:?}");
            }
            assert_eq!(requests(&system), 30, "{cut:?}: each reaches one target once");
            let log = system.sound[0].log();
            assert!(log.contains("id=r7"), "the same id is logged at the other entry: {log}");
        });
    }
}

// Guards against streams that are refused since their entry has lost its path to targets.
#[test]
fn streams_of_a_cut_entry_are_relayed_whole_through_another_one() {
    run_local(async {
        let stream = event_stream(&["id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"], true);
        let scripts = vec![answers(stream, 100); 3];
        let system = start(Cut::Silent, "llm", scripts, 108).await;
        for n in 0..6 {
            let got = system.cut.call_with("/stream/", &format!("r{n}"), PROMPT).await;
            assert_eq!(got.status, 200, "r{n}: {}", got.text);
            let is_whole = got.text.contains("data: x") && got.text.ends_with("0\r\n\r\n");
            assert!(is_whole, "r{n}: {}", got.text);
        }
        assert_eq!(requests(&system), 6);
    });
}

// Guards against a request that runs twice, or is reported as not run, since it was forwarded.
#[test]
fn a_forwarded_request_that_may_have_run_is_not_sent_again() {
    run_local(async {
        let closes = vec![(String::new(), AfterAnswer::Close); 10];
        let system = start(Cut::Refused, "app", vec![closes.clone(), closes], 112).await;
        let got = system.cut.call("/once/", "r1").await;
        assert_eq!((got.status, requests(&system)), (502, 1), "{}", got.text);
        assert!(header(&got.text, "retry-after").is_none(), "{}", got.text);
    });
}

// Guards against a retry that goes to the same target, or is not made, since the first attempt was
// forwarded.
#[test]
fn a_forwarded_request_that_did_not_run_is_sent_to_another_target() {
    run_local(async {
        let full = "HTTP/1.1 503 Full\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\n\
                    Content-Length: 0\r\n\r\n";
        let scripts = vec![
            answers(full.to_string(), 10),
            answers(ok_response("one"), 10),
            answers(full.to_string(), 10),
        ];
        let system = start(Cut::Refused, "app", scripts, 116).await;
        let mut served = 0;
        for n in 0..6 {
            let before = requests(&system);
            let got = system.cut.call("/once/", &format!("r{n}")).await;
            let sent = requests(&system) - before;
            assert!(sent <= 2, "r{n} was sent {sent} times with two attempts");
            assert!([200, 503].contains(&got.status), "{}", got.text);
            assert!(got.status == 200 || sent == 2, "r{n} was sent {sent} times: {}", got.text);
            served += usize::from(got.status == 200);
        }
        assert!(served > 0, "none of six was served");
    });
}

// Guards against requests that are forwarded in a circle, or wait, while no entry reaches targets.
#[test]
fn a_request_that_no_entry_can_send_is_refused_at_once() {
    run_local(async {
        let (one, other) =
            (CutAddress::new(Cut::Refused).await, CutAddress::new(Cut::Refused).await);
        let targets = vec![target("i-1", "app", one.address), target("i-2", "app", other.address)];
        let [first, second, replica_1, replica_2] = [120, 121, 122, 123].map(loopback);
        let deployment = deployment_with_long_timeouts();
        FakeReplica::start(replica_1, deployment.clone(), targets.clone(), &[second]).await;
        FakeReplica::start(replica_2, deployment, targets, &[first]).await;
        let entries = [Entry::start(first, replica_1), Entry::start(second, replica_2)];
        for entry in &entries {
            entry.until_ready().await;
        }
        for n in 0..10 {
            let sent_at = Instant::now();
            let got = entries[n % 2].call("/once/", &format!("r{n}")).await;
            assert_eq!(got.status, 503, "{}", got.text);
            assert!(header(&got.text, "retry-after").is_some(), "{}", got.text);
            assert!(sent_at.elapsed() < ms(500), "r{n} took {:?}", sent_at.elapsed());
        }
    });
}

// Guards against engines that go on working after the caller of a cut entry has left.
#[test]
fn a_caller_that_leaves_ends_the_run_behind_another_entry() {
    run_local(async {
        let begun = event_stream(&["id: 1\ndata: x\n\n"], false);
        let script = vec![(begun, AfterAnswer::Hang); 3];
        let system = start(Cut::Refused, "llm", vec![script.clone(), script], 126).await;
        let mut caller = system.cut.send("/stream/", "r1", PROMPT).await;
        read_until(&mut caller, "data: x").await;
        drop(caller);
        let left_at = Instant::now();
        while system.targets.iter().all(|target| target.interrupted.get() == 0) {
            assert!(left_at.elapsed() < EVENT_TIMEOUT, "the run goes on");
            tokio::time::sleep(ms(10)).await;
        }
    });
}

// Guards against resumable streams that break with the entry that forwards them.
#[test]
fn a_stream_is_resumed_when_the_entry_that_forwards_it_is_killed() {
    run_local(async {
        let begun = event_stream(&["id: 1\ndata: x\n\n"], false);
        let scripts = vec![vec![(begun, AfterAnswer::Hang)]; 2];
        let mut system = start_with(Cut::Refused, "llm", scripts, 2, 130).await;
        let mut caller = system.cut.send("/resumable/", "r1", PROMPT).await;
        let mut received = read_until(&mut caller, "data: x").await;
        let is_first = |target: &StandIn| target.request_count() == 1;
        let (first, second) = match is_first(&system.targets[0]) {
            true => (&system.targets[0], &system.targets[1]),
            false => (&system.targets[1], &system.targets[0]),
        };
        second.set_script(answers(event_stream(&["id: 2\ndata: y\n\n"], true), 1));
        let forwarding = system.sound.iter().position(|entry| entry.has_connection_to(first));
        system.sound.remove(forwarding.expect("one of them forwards the stream"));
        caller.read_to_string(&mut received).await.expect("the stream ends");
        let is_whole = received.contains("data: y") && received.ends_with("0\r\n\r\n");
        let logs = || [&system.cut, &system.sound[0]].map(Entry::log).concat();
        assert!(is_whole, "{received}\n{}", logs());
        let resumed = second.requests.borrow()[0].clone();
        assert_eq!(header(&resumed, "last-event-id").as_deref(), Some("1"));
    });
}

// Guards against forwarded streams that go on at another software version.
#[test]
fn a_forwarded_stream_is_resumed_at_the_software_version_that_began_it() {
    run_local(async {
        let begun = event_stream(&["id: 1\ndata: x\n\n"], false);
        let scripts = vec![vec![(begun, AfterAnswer::Hang)]; 4];
        let versions = [FIRST_SOFTWARE, "v2"];
        let mut system = start_with_software(Cut::Refused, "llm", scripts, &versions, 2, 150).await;
        let mut caller = system.cut.send("/resumable/", "r1", PROMPT).await;
        let mut received = read_until(&mut caller, "data: x").await;
        let first = system.targets.iter().position(|target| target.request_count() == 1);
        let first = first.expect("a target has begun the stream");
        let rest = answers(event_stream(&["id: 2\ndata: y\n\n"], true), 1);
        system.targets.iter().for_each(|target| target.set_script(rest.clone()));
        let begun_at = &system.targets[first];
        let forwarding = system.sound.iter().position(|entry| entry.has_connection_to(begun_at));
        system.sound.remove(forwarding.expect("one of them forwards the stream"));
        caller.read_to_string(&mut received).await.expect("the stream ends");
        let is_whole = received.contains("data: y") && received.ends_with("0\r\n\r\n");
        assert!(is_whole, "{received}\n{}", system.cut.log());
        let same_version = &system.targets[(first + 2) % 4];
        assert_eq!((same_version.request_count(), requests(&system)), (1, 2));
    });
}

// Guards against an entry that takes others for cut off since they lack targets of one version.
#[test]
fn new_streams_are_forwarded_after_one_whose_software_version_is_gone() {
    run_local(async {
        let begun = event_stream(&["id: 1\ndata: x\n\n"], false);
        let scripts = vec![vec![(begun, AfterAnswer::Hang)]; 2];
        let versions = [FIRST_SOFTWARE, "v2"];
        let mut system = start_with_software(Cut::Refused, "llm", scripts, &versions, 2, 160).await;
        let mut caller = system.cut.send("/resumable/", "r1", PROMPT).await;
        let mut received = read_until(&mut caller, "data: x").await;
        let whole = answers(event_stream(&["id: 1\ndata: y\n\n"], true), 1);
        system.targets.iter().for_each(|target| target.set_script(whole.clone()));
        let begun_at = system.targets.iter().find(|target| target.request_count() == 1);
        let begun_at = begun_at.expect("a target has begun the stream");
        let forwarding = system.sound.iter().position(|entry| entry.has_connection_to(begun_at));
        system.sound.remove(forwarding.expect("one of them forwards the stream"));
        // The stream breaks, as no other target has its version.
        let _ = caller.read_to_string(&mut received).await;
        assert_eq!(requests(&system), 1, "{received}");
        let got = system.cut.call_with("/stream/", "r2", PROMPT).await;
        assert_eq!(got.status, 200, "{}\n{}", got.text, system.cut.log());
    });
}

// Guards against a planned stop of an entry that cuts off what it forwards for others.
#[test]
fn an_entry_that_stops_finishes_what_it_forwards_and_takes_no_more() {
    run_local(async {
        let stream = event_stream(&["id: 1\ndata: x\n\n"], true);
        let scripts = vec![answers(stream, 100); 2];
        let mut system = start_with(Cut::Refused, "llm", scripts, 2, 140).await;
        let client = Instant::now();
        let mut stopped = system.sound.remove(0);
        stopped.signal("TERM");
        let mut n = 0;
        while stopped.child.try_wait().expect("it can be waited for").is_none() {
            assert!(client.elapsed() < EVENT_TIMEOUT, "the entry stops");
            n += 1;
            let got = system.cut.call_with("/stream/", &format!("r{n}"), PROMPT).await;
            assert_eq!(got.status, 200, "r{n}: {}", got.text);
            assert!(got.text.ends_with("0\r\n\r\n"), "r{n}: {}", got.text);
            tokio::time::sleep(ms(20)).await;
        }
        let exit = stopped.child.wait().expect("it has exited");
        assert!(exit.success(), "{exit}");
    });
}

// Guards against a stream that its own entry cuts off, since the target behind the other entry was
// silent for a while.
#[test]
fn a_forwarded_stream_whose_target_falls_silent_and_goes_on_is_whole() {
    for (name, script, network) in [
        ("between events", silent_between_events(), 170),
        ("before the head", silent_before_the_head(whole_stream()), 174),
    ] {
        for count in [1, 2] {
            let (script, network) = (script.clone(), network + 10 * (count as u8 - 1));
            run_local(async move {
                let scripts = vec![script; count];
                let system = start_with_deployment(short_gaps(), "llm", scripts, network).await;
                let got = system.cut.call_with("/resumable/", "r1", PROMPT).await;
                assert_whole_stream(&format!("{name}, {count} targets"), &got);
                assert_eq!(requests(&system), 1, "{name}, {count} targets");
            });
        }
    }
}

// Guards against logs that don't tell who ended a response which its caller did not get whole.
#[test]
fn the_log_tells_who_cut_a_response_short() {
    run_local(async {
        let broken = event_stream(&["id: 1\ndata: x\n\n", "id: 2\nda"], false);
        let scripts = vec![vec![(broken.clone(), AfterAnswer::Close), (broken, AfterAnswer::Hang)]];
        let system = start(Cut::Refused, "llm", scripts, 190).await;
        let entry = &system.sound[0];
        let got = entry.call_with("/stream/", "r1", PROMPT).await;
        assert!(!got.text.ends_with("0\r\n\r\n"), "{}", got.text);
        let mut left = entry.send("/stream/", "r2", PROMPT).await;
        read_until(&mut left, "data: x").await;
        drop(left);
        for (id, by, level) in [("r1", "target", "WARN"), ("r2", "caller", "INFO")] {
            let expected = format!("level={level} event=response_cut id={id} route=stream by={by}");
            let line =
                || entry.log().lines().find(|line| line.contains(&expected)).map(str::to_string);
            eventually(|| line().is_some()).await;
            let line = line().expect("just found");
            for field in ["events=1 bytes=15", "version=1 newest_version=1", "silent_ms="] {
                assert!(line.contains(field), "{field}: {line}");
            }
            let request = format!("event=request id={id}");
            let whole =
                entry.log().lines().any(|l| l.contains(&request) && l.contains("ended=relayed"));
            assert!(!whole, "{id} is logged as whole");
        }
    });
}
