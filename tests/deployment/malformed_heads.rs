//! Responses of targets whose head is malformed, or that end with a reset while the request is still sent.

use std::time::Duration;

use kumquatpost::upstream::client::{CallError, TargetClient};
use reqwest::Method;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixtures::{ms, target};
use crate::gateway::{
    PROMPT, TEST_TIMEOUT, deployment_with_long_timeouts, entry_with_two_targets, eventually,
    ok_response, run_local, start_entry,
};
use crate::stand_in::{AfterAnswer, StandIn, header};

const STATUS_LINE: &str = "HTTP/1.1 200 OK\r\n";
const IDENTITY: &str = "X-Request-Id: {id}\r\nX-Response-Stamp: s\r\n";
const CHUNKS: &str = "7\r\nspoiled\r\n0\r\n\r\n";
const PLAIN: &str = "spoiled";
const EVENTS: &str = "e\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

fn with_fields(fields: &str, body: &str) -> String {
    format!("{STATUS_LINE}{IDENTITY}{fields}\r\n{body}")
}

fn with_status_line(status_line: &str) -> String {
    format!("{status_line}\r\n{IDENTITY}Content-Length: 7\r\n\r\n{PLAIN}")
}

/// Responses that tell no length, or several, or another one than they have.
fn spoiled_lengths() -> Vec<String> {
    let lengths = ["7x", "-7", "+7", "0x7", "", "7 7", "7;", "7, 8", "7, 7", "seven", "7\u{b}"];
    let lengths =
        lengths.map(|length| with_fields(&format!("Content-Length: {length}\r\n"), PLAIN));
    let encodings = [
        "chunkedx",
        "hunked",
        "",
        "identity",
        "chunked, gzip",
        "gzip, chunked",
        "chunked, chunked",
    ];
    let encodings = encodings
        .map(|encoding| with_fields(&format!("Transfer-Encoding: {encoding}\r\n"), CHUNKS));
    let mut responses = [lengths.to_vec(), encodings.to_vec()].concat();
    responses.extend([
        with_fields("Content-Length: 7\r\nContent-Length: 5\r\n", PLAIN),
        with_fields("Content-Length: 7\r\nContent-Length: 7\r\n", PLAIN),
        with_fields("Transfer-Encoding: chunked\r\nContent-Length: 7\r\n", CHUNKS),
        with_fields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", CHUNKS),
        with_fields("Content-Length 7\r\n", PLAIN),
        with_fields("Transfer-Encoding chunked\r\n", CHUNKS),
        with_fields("Transfer-Encoding: chunkedx\r\n", CHUNKS).replace("200 OK", "500 Broken"),
        with_fields("Transfer-Encoding: chunked\r\n", CHUNKS).replace("HTTP/1.1", "HTTP/1.0"),
    ]);
    responses
}

/// Responses with a line that is no field, or with a name that is none.
fn spoiled_fields() -> Vec<String> {
    let lines = [
        "no field",
        "nofield",
        ": no name",
        " folded: line",
        "\tfolded: line",
        "X Blank: a",
        "X-Blank : a",
        "X-Control\u{1}: a",
        "X-Delete\u{7f}: a",
        "X-Null\0: a",
        "X-(): a",
        "X-Value: a\u{1}b",
        "X-Value: a\0b",
        "X-Return: a\rb",
        "Content-\u{1}Length: 3",
    ];
    let spoil = |line| with_fields(&format!("{line}\r\nContent-Length: 7\r\n"), PLAIN);
    let first = |line| format!("{STATUS_LINE}{line}\r\n{IDENTITY}Content-Length: 7\r\n\r\n{PLAIN}");
    lines.into_iter().flat_map(|line| [spoil(line), first(line)]).collect()
}

/// Responses whose status is none of HTTP, or does not end a request.
fn spoiled_statuses() -> Vec<String> {
    let lines = [
        "HTTP/1.1 000 Nothing",
        "HTTP/1.1 000",
        "HTTP/1.1 099 Low",
        "HTTP/1.1 600 High",
        "HTTP/1.1 999 High",
        "HTTP/1.1 20 Short",
        "HTTP/1.1 2000 Long",
        "HTTP/1.1 2x0 Text",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 ",
        "HTTP/1.1 101 Switching",
        "HTTP/2.0 200 OK",
        "HTP/1.1 200 OK",
        "200 OK",
    ];
    lines.map(with_status_line).to_vec()
}

/// The response that a caller of `path` gets if its first target sends `answer`.
async fn call_with_answer(answer: &str, path: &str) -> (u16, String) {
    let service = if path == "/stream/" { "llm" } else { "app" };
    let first = vec![(answer.to_string(), AfterAnswer::Close)];
    let second = vec![(ok_response("second"), AfterAnswer::KeepOpen)];
    let (entry, _first, _second) = entry_with_two_targets(service, first, second).await;
    let extra = if service == "llm" { PROMPT } else { "" };
    let got = entry.call_with(path, "r1", extra).await;
    (got.status, got.text)
}

fn check_refused(answers: Vec<String>) {
    for answer in answers {
        for (path, expected) in [("/once/", 502), ("/safe/", 200)] {
            let answer = answer.clone();
            run_local(async move {
                let (status, text) = call_with_answer(&answer, path).await;
                assert_eq!(status, expected, "{path} {answer:?}: {text:?}");
                assert!(!text.contains("spoiled"), "{path} {answer:?}: {text:?}");
                assert_eq!(
                    header(&text, "retry-after"),
                    None,
                    "it may have run: {path} {answer:?}"
                );
            });
        }
    }
}

/// Guards against responses without a valid length whose callers get the chunk headers, or the bytes of another
/// response, as a part of the body.
#[test]
fn a_response_whose_length_is_malformed_is_not_relayed() {
    check_refused(spoiled_lengths());
}

/// Guards against the same at a node that relays responses of plain services.
#[test]
fn a_node_takes_a_response_whose_length_is_malformed_for_a_failure() {
    run_local(async {
        for answer in spoiled_lengths() {
            let target = StandIn::start(vec![(answer.clone(), AfterAnswer::Close)]).await;
            let url = format!("http://{}/once/", target.address).parse().expect("a URL");
            let client = TargetClient::new(TEST_TIMEOUT).expect("a client");
            let got = client.service(reqwest::Request::new(Method::POST, url), true).await;
            assert!(matches!(got, Err(CallError::MayHaveRun(_))), "{answer:?}: {got:?}");
        }
    });
}

/// Guards against responses that are relayed although a line of their head is no field.
#[test]
fn a_response_with_a_malformed_field_is_not_relayed() {
    check_refused(spoiled_fields());
}

/// Guards against a status that callers can't read, or take for the announcement of another response.
#[test]
fn a_response_with_a_status_outside_of_http_is_not_relayed() {
    check_refused(spoiled_statuses());
}

/// Guards against streams whose events are joined with chunk headers.
#[test]
fn a_stream_whose_length_is_malformed_is_not_relayed() {
    for encoding in ["chunkedx", "chunked, chunked", "identity"] {
        run_local(async move {
            let fields =
                format!("Content-Type: text/event-stream\r\nTransfer-Encoding: {encoding}\r\n");
            let (status, text) = call_with_answer(&with_fields(&fields, EVENTS), "/stream/").await;
            assert_eq!(status, 502, "{encoding}: {text:?}");
        });
    }
}

/// Guards against a part of a response that looks whole, since the reset that cut it off was noticed by the write of
/// the request and the read then found the end of the connection.
#[test]
fn a_response_that_is_reset_while_the_request_is_sent_looks_cut() {
    const BODY_BYTES: usize = 4 << 20;
    for pause_ms in [0, 1, 2, 5, 10, 20, 50] {
        for path in ["/once/", "/stream/"] {
            run_local(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                let address = listener.local_addr().expect("an address");
                tokio::task::spawn_local(async move {
                    while let Ok((mut stream, _)) = listener.accept().await {
                        let mut head = [0; 512];
                        stream.read_exact(&mut head).await.expect("a request");
                        let part = with_fields("", "id: 1\ndata: a\n\n").replace("{id}", "r1");
                        stream.write_all(part.as_bytes()).await.expect("the entry reads");
                        tokio::time::sleep(ms(pause_ms)).await;
                        SockRef::from(&stream)
                            .set_linger(Some(Duration::ZERO))
                            .expect("a TCP socket");
                    }
                });
                let mut deployment = deployment_with_long_timeouts();
                deployment.request_limits.body_bytes = 2 * BODY_BYTES;
                let targets = vec![target("i-1", "app", address), target("i-2", "llm", address)];
                let entry = start_entry(deployment, targets).await;
                let mut caller =
                    tokio::net::TcpStream::connect(entry.address).await.expect("the entry accepts");
                let extra = if path == "/stream/" { PROMPT } else { "" };
                let request = format!(
                    "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n\
                     Authorization: Bearer key-a\r\nConnection: close\r\n{extra}\
                     Content-Length: {BODY_BYTES}\r\n\r\n"
                );
                caller.write_all(request.as_bytes()).await.expect("the entry reads");
                caller.write_all(&vec![b'x'; BODY_BYTES]).await.expect("the entry reads");
                let mut bytes = Vec::new();
                let _ = caller.read_to_end(&mut bytes).await;
                let text = String::from_utf8_lossy(&bytes);
                let is_failure = text.starts_with("HTTP/1.1 502 ");
                assert!(
                    is_failure || !text.ends_with("\r\n0\r\n\r\n"),
                    "{path} after {pause_ms} ms: {text}"
                );
                eventually(|| entry.gateway.active_requests.get() == 0).await;
            });
        }
    }
}
