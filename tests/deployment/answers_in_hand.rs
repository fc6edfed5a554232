//! Answers with a server error, after which another target is asked for a better one.

use kumquatpost::gateway::buffered_body::MAX_BUFFERED_BYTES;

use crate::fixtures::{ms, target};
use crate::gateway::{
    deployment_with_long_timeouts, entry_with_two_targets, event_stream, ok_response,
    prefer_other_targets, run_local, start_entry,
};
use crate::stand_in::{AfterAnswer, Script, StandIn, header};

const FIRST_BODY: &str = "why it failed";

fn server_error(body: &str) -> Script {
    let answer = ok_response(body).replace("200 OK", "500 Broken");
    vec![(answer, AfterAnswer::KeepOpen)]
}

/// A server error whose length is not announced.
fn server_error_in_chunks(chunks: &[&str], is_whole: bool) -> String {
    let answer = event_stream(chunks, is_whole).replace("200 OK", "500 Broken");
    answer.replace("text/event-stream", "text/plain")
}

// Guards against callers that get the entry's own error although a target has answered, since the other
// target that was asked for a better answer has none.
#[test]
fn a_server_error_is_relayed_if_no_better_answer_follows() {
    let full = "HTTP/1.1 503 Full\r\nX-Request-Id: {id}\r\nX-Not-Run: 1\r\n\
                Content-Length: 0\r\n\r\n";
    let cut = ok_response("whole").replace("Content-Length: 5", "Content-Length: 50");
    let cases = [
        ("closes", vec![(String::new(), AfterAnswer::Close)]),
        ("is full", vec![(full.to_string(), AfterAnswer::KeepOpen)]),
        ("is cut short", vec![(cut, AfterAnswer::Close)]),
    ];
    for (name, second) in cases {
        run_local(async move {
            let (entry, first_target, second_target) =
                entry_with_two_targets("app", server_error(FIRST_BODY), second).await;
            let got = entry.call("/safe/", "r1").await;
            assert_eq!(got.status, 500, "{name}: {}", got.text);
            assert!(got.text.ends_with(FIRST_BODY), "{name}: {}", got.text);
            assert!(header(&got.text, "x-response-stamp").is_some(), "{name}: {}", got.text);
            assert_eq!((first_target.request_count(), second_target.request_count()), (1, 1));
        });
    }
}

// Guards against the same if the target did not announce the length of its answer.
#[test]
fn a_server_error_in_chunks_is_relayed_if_no_better_answer_follows() {
    let (start, end) = FIRST_BODY.split_at(4);
    for chunks in [vec![FIRST_BODY], vec![start, end], vec![]] {
        let answer = server_error_in_chunks(&chunks, true);
        run_local(async move {
            let first = vec![(answer, AfterAnswer::KeepOpen)];
            let second = vec![(String::new(), AfterAnswer::Close)];
            let (entry, first_target, second_target) =
                entry_with_two_targets("app", first, second).await;
            let got = entry.call("/safe/", "r1").await;
            assert_eq!(got.status, 500, "{chunks:?}: {}", got.text);
            let body = got.text.rsplit("\r\n\r\n").next().expect("a body");
            assert_eq!(body, chunks.concat(), "{}", got.text);
            assert_eq!((first_target.request_count(), second_target.request_count()), (1, 1));
        });
    }
}

// Guards against the same while there is no other target.
#[test]
fn a_server_error_of_the_only_target_is_relayed() {
    run_local(async {
        let only = StandIn::start(server_error(FIRST_BODY)).await;
        let targets = vec![target("i-1", "app", only.address)];
        let entry = start_entry(deployment_with_long_timeouts(), targets).await;
        let got = entry.call("/safe/", "r1").await;
        assert_eq!(got.status, 500, "{}", got.text);
        assert!(got.text.ends_with(FIRST_BODY), "{}", got.text);
        assert_eq!(only.request_count(), 1);
    });
}

// Guards against the same if the other target does not answer in time.
#[test]
fn a_server_error_is_relayed_at_the_deadline() {
    run_local(async {
        let mut deployment = deployment_with_long_timeouts();
        deployment.routes.iter_mut().for_each(|route| route.timeout = ms(800));
        let first = StandIn::start(server_error(FIRST_BODY)).await;
        let second = StandIn::start(vec![(String::new(), AfterAnswer::Hang)]).await;
        let targets =
            vec![target("i-1", "app", first.address), target("i-2", "app", second.address)];
        let entry = start_entry(deployment, targets).await;
        prefer_other_targets(&entry, "i-2");
        let got = entry.call("/safe/", "r1").await;
        assert_eq!(got.status, 500, "{}", got.text);
        assert!(got.text.ends_with(FIRST_BODY), "{}", got.text);
        assert_eq!((first.request_count(), second.request_count()), (1, 1));
    });
}

// Guards against an answer that is relayed cut short, or that delays a better one.
#[test]
fn a_server_error_that_is_not_whole_does_not_keep_back_a_better_answer() {
    let incomplete = ok_response("half")
        .replace("200 OK", "500 Broken")
        .replace("Content-Length: 4", "Content-Length: 8");
    let long_body = "x".repeat(2 * MAX_BUFFERED_BYTES as usize);
    let long = server_error(&long_body);
    let long_in_chunks = server_error_in_chunks(&[&long_body], true);
    let half_in_chunks = server_error_in_chunks(&["half"], false);
    let cases = [
        ("cut short in chunks", vec![(half_in_chunks.clone(), AfterAnswer::Close)]),
        ("never complete in chunks", vec![(half_in_chunks, AfterAnswer::Hang)]),
        ("too long in chunks", vec![(long_in_chunks, AfterAnswer::KeepOpen)]),
        ("cut short", vec![(incomplete.clone(), AfterAnswer::Close)]),
        ("never complete", vec![(incomplete, AfterAnswer::Hang)]),
        ("too long", long),
    ];
    for (name, first) in cases {
        for (second, expected) in [
            (vec![(ok_response("better"), AfterAnswer::KeepOpen)], 200),
            (vec![(String::new(), AfterAnswer::Close)], 502),
        ] {
            let first = first.clone();
            run_local(async move {
                let (entry, _first_target, second_target) =
                    entry_with_two_targets("app", first, second).await;
                let got = entry.call("/safe/", "r1").await;
                assert_eq!(got.status, expected, "{name}: {}", got.text);
                assert_eq!(second_target.request_count(), 1, "{name}");
            });
        }
    }
}
