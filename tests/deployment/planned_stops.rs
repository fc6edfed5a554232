//! Requests that arrive at an entry while it shuts down.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::fixtures::ms;
use crate::gateway::{entry_with_two_targets, ok_response, run_local};
use crate::stand_in::{AfterAnswer, header};

/// Guards against a request that is passed on late in the grace period, since the first part of its head had arrived
/// before connections were closed, and is then cut off without an answer.
#[test]
fn a_request_whose_head_arrives_while_connections_are_closed_is_refused() {
    run_local(async {
        let answers = vec![(ok_response("late"), AfterAnswer::KeepOpen)];
        let (entry, first, second) = entry_with_two_targets("app", answers.clone(), answers).await;
        let mut stream = TcpStream::connect(entry.address).await.expect("the entry listens");
        let request = "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n\
                       Authorization: Bearer key-a\r\nContent-Length: 4\r\n\r\nbody";
        let (first_part, rest) = request.split_at(30);
        stream.write_all(first_part.as_bytes()).await.expect("the connection is open");
        tokio::time::sleep(ms(50)).await;
        entry.gateway.stopping.set(true);
        entry.closing.send_replace(true);
        tokio::time::sleep(ms(50)).await;
        stream.write_all(rest.as_bytes()).await.expect("the connection is open");
        let mut got = String::new();
        stream.read_to_string(&mut got).await.expect("a response and the end of the connection");
        assert!(got.starts_with("HTTP/1.1 503"), "{got:?}");
        assert_eq!(header(&got, "connection").as_deref(), Some("close"), "{got:?}");
        assert!(header(&got, "retry-after").is_some(), "{got:?}");
        assert_eq!(first.request_count() + second.request_count(), 0);
    });
}

/// Guards against requests that arrive during a shutdown, take longer than its grace period, and get no answer at all.
#[test]
fn a_request_that_arrives_during_a_shutdown_is_answered_before_its_end() {
    run_local(async {
        let silent = vec![(String::new(), AfterAnswer::Hang)];
        let (entry, target, _second) = entry_with_two_targets("app", silent, vec![]).await;
        entry.gateway.stopping.set(true);
        entry.gateway.stops_at.set(Some(Instant::now() + ms(300)));
        let called = tokio::time::timeout(ms(30_000), entry.call("/once/", "r1")).await;
        let got = called.expect("an answer long before the deadline of the request");
        assert_eq!(got.status, 504, "it may have run: {}", got.text);
        assert_eq!(header(&got.text, "retry-after"), None, "{}", got.text);
        let request = target.requests.borrow()[0].clone();
        let time_left_ms: u64 =
            header(&request, "x-deadline-ms").and_then(|ms| ms.parse().ok()).expect("a deadline");
        assert!(
            time_left_ms <= 300,
            "the target would work on beyond the shutdown: {time_left_ms}"
        );
    });
}
