//! Responses whose targets break off right at their beginning.

use bytes::Bytes;
use http::Response;
use hyper::body::Frame;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use kumquatpost::gateway::response::{RelayError, stream_body};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::fixtures::{ms, start, target};
use crate::gateway::{
    Entry, PROMPT, TEST_TIMEOUT, deployment_with_long_timeouts, entry_with_two_targets,
    event_stream, run_local, start_entry,
};
use crate::stand_in::{AfterAnswer, StandIn};

// A stream that broke before its first event, or timed out before it, closed the caller's connection without
// an answer.
#[test]
fn a_stream_that_breaks_before_its_first_event_is_answered_with_a_failure() {
    for (name, chunks, is_whole) in [
        ("no event", vec![], false),
        ("within the first event", vec!["id: 1\nda"], false),
        ("ends within the first event", vec!["id: 1\nda"], true),
    ] {
        run_local(async move {
            let script = vec![(event_stream(&chunks, is_whole), AfterAnswer::Close)];
            let (entry, _first_target, second_target) =
                entry_with_two_targets("llm", script, vec![]).await;
            let got = entry.call_with("/stream/", "r1", PROMPT).await;
            assert_eq!(got.status, 502, "{name}: {}", got.text);
            assert_eq!(second_target.request_count(), 0, "{name}");
        });
    }
}

/// The weights that a head names, from which a test sees that the entry has read it.
const HEAD_WEIGHTS: u64 = 2;

fn head_with_weights() -> String {
    let named = format!("\r\nX-Weight-Versions: {HEAD_WEIGHTS}\r\n\r\n");
    event_stream(&[], false).replace("\r\n\r\n", &named)
}

fn has_read_head(entry: &Entry) -> bool {
    let fleet = entry.gateway.fleet.borrow();
    fleet.get(&start("i-1")).is_some_and(|state| state.weights["m"] == HEAD_WEIGHTS)
}

// A stream that timed out before its first event closed the caller's connection without an answer. Its timeout
// runs from the arrival of the request, and a busy machine may take that long to send the request and read the
// head: such a round shows nothing of a stream, and the next one has more time.
#[test]
fn a_stream_without_an_event_by_its_deadline_is_answered_with_a_timeout() {
    run_local(async {
        let mut timeout = ms(500);
        while timeout < TEST_TIMEOUT {
            let script = vec![(head_with_weights(), AfterAnswer::Hang)];
            let engine = StandIn::start(script).await;
            let mut deployment = deployment_with_long_timeouts();
            deployment.routes.iter_mut().for_each(|route| route.timeout = timeout);
            let entry = start_entry(deployment, vec![target("i-1", "llm", engine.address)]).await;
            let got = entry.call_with("/stream/", "r1", PROMPT).await;
            if has_read_head(&entry) {
                assert_eq!(got.status, 504, "{}", got.text);
                assert_eq!(engine.request_count(), 1);
                return;
            }
            assert!(matches!(got.status, 503 | 504), "without a head: {}", got.text);
            timeout *= 2;
        }
        panic!("the entry reads no head in time");
    });
}

// The head and the first part of a response were dropped with the connection if the next part failed at once.
#[test]
fn what_was_relayed_before_a_failure_reaches_the_caller() {
    run_local(async {
        let (mut caller, entry) = tokio::io::duplex(4_096);
        let serve = service_fn(|_| async {
            let parts: [Result<Frame<Bytes>, RelayError>; 2] =
                [Ok(Frame::data(Bytes::from_static(b"the first part"))), Err("broken off".into())];
            let body = stream_body(futures::stream::iter(parts));
            Ok::<_, std::convert::Infallible>(Response::new(body))
        });
        tokio::task::spawn_local(async move {
            // Fails, as the body does.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(entry), serve).await;
        });
        caller.write_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("the entry reads");
        let mut text = String::new();
        caller.read_to_string(&mut text).await.expect("the connection is closed");
        assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text:?}");
        assert!(text.contains("the first part"), "{text:?}");
        assert!(!text.ends_with("0\r\n\r\n"), "{text:?}");
    });
}
