//! An entry in front of a target that reads long bodies late, again and again on the same connection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixtures::target;
use crate::gateway::{Entry, Response, ok_response, run_local, start_entry};
use crate::silent_targets::{SILENCE, short_gaps};
use crate::stand_in::header;

/// More than the buffers of a connection to a target that doesn't read take at once.
const LONG_BODY_BYTES: usize = 900 << 10;
/// Time between two long requests: longer than a target may take to acknowledge one.
const BETWEEN_LONG_REQUESTS: Duration = Duration::from_secs(6);
/// Short requests in between keep the connection in use.
const SHORT_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

async fn start_late_reader() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    SockRef::from(&listener).set_recv_buffer_size(4_096).expect("a small buffer");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(serve_late(stream));
        }
    });
    address
}

/// Answers requests until the connection ends, those with a long body after a silence.
async fn serve_late(mut stream: TcpStream) {
    loop {
        let mut request = Vec::new();
        let head_bytes = loop {
            match stream.read_buf(&mut request).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
            if let Some(end) = request.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
        };
        let head = String::from_utf8_lossy(&request[..head_bytes]).into_owned();
        let body_bytes: usize =
            header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        if body_bytes >= LONG_BODY_BYTES {
            tokio::time::sleep(SILENCE).await;
        }
        while request.len() < head_bytes + body_bytes {
            match stream.read_buf(&mut request).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        let id = header(&head, "x-request-id").expect("an id");
        if stream.write_all(ok_response("done").replace("{id}", &id).as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn call(entry: &Entry, id: &str, body_bytes: usize) -> Response {
    let mut caller = TcpStream::connect(entry.address).await.expect("it listens");
    let mut request = format!(
        "POST /once/ HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         Authorization: Bearer key-a\r\nConnection: close\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes();
    request.resize(request.len() + body_bytes, b'x');
    caller.write_all(&request).await.expect("the entry reads the request");
    let mut text = String::new();
    caller.read_to_string(&mut text).await.expect("a response");
    let status = text.get(9..12).and_then(|status| status.parse().ok()).unwrap_or(0);
    Response { status, text }
}

// Guards against a request that is lost because the kernel counts the time for the acknowledgement of a long
// body from an earlier one on the same connection.
#[test]
fn a_target_that_reads_long_bodies_late_more_than_once_answers_them() {
    run_local(async {
        let address = start_late_reader().await;
        let entry = start_entry(short_gaps(), vec![target("i-0", "app", address)]).await;
        for round in 0..2 {
            let begun = Instant::now();
            let got = call(&entry, &format!("long-{round}"), LONG_BODY_BYTES).await;
            let took = begun.elapsed();
            assert!(
                got.status == 200 && got.text.ends_with("done"),
                "{round} after {took:?}: {}",
                got.text
            );
            while round == 0 && begun.elapsed() < BETWEEN_LONG_REQUESTS {
                let got = call(&entry, &format!("short-{:?}", begun.elapsed()), 4).await;
                assert_eq!(got.status, 200, "{}", got.text);
                tokio::time::sleep(SHORT_REQUEST_INTERVAL).await;
            }
        }
    });
}
