//! Requests on kept connections of callers, at the time when an entry closes idle ones.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use kumquatpost::control::frames::Update;
use kumquatpost::gateway::routed_request::Origin;
use kumquatpost::gateway::server;
use tokio::net::TcpListener as TokioListener;
use tokio::sync::watch;

use crate::fixtures::{ms, target};
use crate::gateway::{
    Entry, deployment_with_long_timeouts, event_stream, ok_response, run_local, start_entry,
};
use crate::stand_in::{AfterAnswer, StandIn};

const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
const CALLERS: usize = 20;
const REQUEST: &[u8] = b"POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n\
                         Authorization: Bearer key-a\r\nContent-Length: 4\r\n\r\nbody";

const END_OF_HEAD: &str = "\r\n\r\n";
/// The end of a whole answer in chunks.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Reads from a caller's connection until an answer has arrived or the connection ends.
async fn read_answer(caller: TcpStream) -> (TcpStream, String) {
    read_until(caller, "done").await
}

async fn read_until(mut caller: TcpStream, end: &'static str) -> (TcpStream, String) {
    let reading = tokio::task::spawn_blocking(move || {
        let (mut text, mut bytes) = (String::new(), [0; 4_096]);
        while !text.ends_with(end) {
            match caller.read(&mut bytes) {
                Ok(count) if count > 0 => text += &String::from_utf8_lossy(&bytes[..count]),
                _ => break,
            }
        }
        (caller, text)
    });
    reading.await.expect("the reader does not panic")
}

async fn connect(address: SocketAddr) -> TcpStream {
    let connecting = tokio::task::spawn_blocking(move || TcpStream::connect(address));
    connecting.await.expect("no panic").expect("the entry accepts connections")
}

async fn entry_with_idle_timeout() -> (Entry, StandIn) {
    let mut deployment = deployment_with_long_timeouts();
    deployment.request_limits.idle_timeout = IDLE_TIMEOUT;
    let answers = vec![(ok_response("done"), AfterAnswer::KeepOpen); 2 * CALLERS];
    let only = StandIn::start(answers).await;
    let entry = start_entry(deployment, vec![target("i-1", "app", only.address)]).await;
    (entry, only)
}

// Guards against a whole request on a kept connection that gets neither an answer nor a refusal,
// since a busy entry finds it and the end of the idle time at once.
#[test]
fn requests_that_arrive_before_the_end_of_the_idle_time_are_answered_by_a_busy_entry() {
    run_local(async {
        let (entry, _only) = entry_with_idle_timeout().await;
        let mut callers = Vec::new();
        for _ in 0..CALLERS {
            let mut caller = connect(entry.address).await;
            caller.write_all(REQUEST).expect("the connection is open");
            let (caller, text) = read_answer(caller).await;
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
            callers.push(caller);
        }
        // From here on the entry's thread is busy, until the idle time of all connections is over.
        std::thread::sleep(ms(20));
        callers.iter_mut().for_each(|caller| {
            caller.write_all(REQUEST).expect("the connection is open");
        });
        std::thread::sleep(IDLE_TIMEOUT);
        let mut answered = 0;
        for caller in callers {
            let (_, text) = read_answer(caller).await;
            answered += usize::from(text.starts_with("HTTP/1.1 200"));
        }
        assert_eq!(answered, CALLERS, "whole requests that were answered");
    });
}

// Guards against a request that crosses the end of its connection, since a new deployment lets
// callers reuse connections that are idle for longer than the earlier one did.
#[test]
fn a_longer_idle_time_holds_for_open_connections_too() {
    run_local(async {
        let (entry, _only) = entry_with_idle_timeout().await;
        let mut caller = connect(entry.address).await;
        caller.write_all(REQUEST).expect("the connection is open");
        let (mut caller, _) = read_answer(caller).await;
        let mut longer = deployment_with_long_timeouts();
        (longer.version, longer.request_limits.idle_timeout) = (2, 4 * IDLE_TIMEOUT);
        entry.gateway.observe(Update::Deployment(Arc::new(longer))).expect("a valid update");
        tokio::time::sleep(2 * IDLE_TIMEOUT).await;
        caller.write_all(REQUEST).expect("the connection is open");
        let (_, text) = read_answer(caller).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
    });
}

// Guards against idle connections that are kept for ever.
#[test]
fn an_idle_connection_is_closed() {
    run_local(async {
        let (entry, _only) = entry_with_idle_timeout().await;
        let mut caller = connect(entry.address).await;
        caller.write_all(REQUEST).expect("the connection is open");
        let (caller, _) = read_answer(caller).await;
        let (_, text) = read_answer(caller).await;
        assert_eq!(text, "", "the connection ends without an answer to no request");
    });
}

// Guards against a request that crosses the end of its connection, since the answer before it took
// longer than the idle time.
#[test]
fn a_connection_is_kept_after_an_answer_that_takes_longer_than_the_idle_time() {
    run_local(async {
        let (entry, only) = entry_with_idle_timeout().await;
        only.set_script(vec![
            (event_stream(&["one"], false), AfterAnswer::ContinueAfter(2 * IDLE_TIMEOUT)),
            (format!("4\r\ndone\r\n{LAST_CHUNK}"), AfterAnswer::KeepOpen),
            (ok_response("done"), AfterAnswer::KeepOpen),
        ]);
        let mut caller = connect(entry.address).await;
        caller.write_all(REQUEST).expect("the connection is open");
        let (mut caller, text) = read_until(caller, LAST_CHUNK).await;
        assert!(text.ends_with(LAST_CHUNK), "{text:?}");
        caller.write_all(REQUEST).expect("the connection is open");
        let (_, text) = read_answer(caller).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
    });
}

// Guards against forwarded requests that are lost because the entry which makes their attempts closes
// a connection that the other one may still reuse.
#[test]
fn connections_of_other_entries_are_kept_for_longer_than_those_reuse_them() {
    run_local(async {
        let (entry, _only) = entry_with_idle_timeout().await;
        let listener = TokioListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (_closing, closed) = watch::channel(false);
        let gateway = entry.gateway.clone();
        let accepting = server::accept(gateway, Origin::Entry, listener, closed);
        tokio::task::spawn_local(accepting);
        let mut other = connect(address).await;
        for wait in [Duration::ZERO, ms(3_000)] {
            tokio::time::sleep(wait).await;
            other.write_all(REQUEST).expect("the connection is open");
            // The request describes no attempt and is refused.
            let (kept, text) = read_until(other, END_OF_HEAD).await;
            assert!(text.starts_with("HTTP/1.1 503"), "after {wait:?}: {text:?}");
            other = kept;
        }
    });
}
