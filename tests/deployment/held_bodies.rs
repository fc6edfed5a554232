//! Bodies that an entry holds for slow targets and callers count towards its memory.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::fixtures::{ms, target};
use crate::gateway::{
    Entry, PROMPT, deployment_with_long_timeouts, eventually, run_local, start_entry,
};
use crate::stand_in::{AfterAnswer, StandIn, header};

const BODY_BYTES: usize = 2 << 20;
/// More than is left by chance once long bodies are refused.
const SHORTER_BODY_BYTES: usize = BODY_BYTES / 8 * 5;
/// All their bodies are more than the entry's memory.
const CALLERS: usize = 60;
/// The beginning of an answer that is short enough to be buffered.
const HALF_ANSWER: &str = "HTTP/1.1 201 Made\r\nX-Request-Id: {id}\r\nX-Response-Stamp: s\r\n\
                           Content-Length: 200000\r\n\r\nhalf";

/// Starts a target that never answers, and counts its connections.
async fn start_target_that_never_answers() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepted = Rc::new(Cell::new(0));
    let count = accepted.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            tokio::task::spawn_local(async move {
                let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
            });
        }
    });
    (address, accepted)
}

#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

/// Sends a request with a body of this length and returns the start of the answer.
async fn send_body(entry: &Entry, body_bytes: usize, framing: Framing) -> String {
    let mut stream = TcpStream::connect(entry.address).await.expect("the entry accepts");
    let framing_header = match framing {
        Framing::Length => format!("Content-Length: {body_bytes}"),
        Framing::Chunks => "Transfer-Encoding: chunked".to_string(),
    };
    let head = format!(
        "POST /once/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r1\r\n\
         Authorization: Bearer key-a\r\n{framing_header}\r\n\r\n"
    );
    let body = vec![b'x'; body_bytes];
    let body = match framing {
        Framing::Length => body,
        Framing::Chunks => {
            [format!("{body_bytes:x}\r\n").as_bytes(), &body, b"\r\n0\r\n\r\n"].concat()
        }
    };
    stream.write_all(head.as_bytes()).await.expect("a head");
    // A refusal may come before the whole body is written.
    let _ = stream.write_all(&body).await;
    let mut answer = vec![0; 4_096];
    let read = stream.read(&mut answer).await.unwrap_or(0);
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

/// An entry that many callers have sent long bodies, for a target that never answers.
struct FilledEntry {
    entry: Rc<Entry>,
    /// Requests that reached the target.
    sent_on: Rc<Cell<usize>>,
    /// What the other callers were told.
    refusals: Rc<RefCell<Vec<String>>>,
    callers: JoinSet<()>,
}

impl FilledEntry {
    async fn start(framing: Framing) -> FilledEntry {
        let (address, sent_on) = start_target_that_never_answers().await;
        let mut app = target("i-1", "app", address);
        app.slots = 1_000;
        let llm = StandIn::start(vec![(HALF_ANSWER.to_string(), AfterAnswer::Hang)]).await;
        let targets = vec![app, target("i-2", "llm", llm.address)];
        let entry = Rc::new(start_entry(deployment_with_long_timeouts(), targets).await);
        let refusals = Rc::new(RefCell::new(Vec::new()));
        let callers = JoinSet::new();
        let mut filled = FilledEntry { entry, sent_on, refusals, callers };
        for _ in 0..CALLERS {
            filled.add_body(BODY_BYTES, framing).await;
        }
        filled
    }

    /// Sends a body, until the entry holds or refuses it.
    async fn add_body(&mut self, body_bytes: usize, framing: Framing) {
        let (entry, refusals) = (self.entry.clone(), self.refusals.clone());
        self.callers.spawn_local(async move {
            let answer = send_body(&entry, body_bytes, framing).await;
            refusals.borrow_mut().push(answer);
        });
        let known = || self.sent_on.get() + self.refusals.borrow().len();
        eventually(|| known() >= self.callers.len()).await;
    }

    /// Sends shorter and shorter bodies, each length until one is refused.
    async fn fill_up(&mut self) {
        for body_bytes in [BODY_BYTES / 2, BODY_BYTES / 4, BODY_BYTES / 8, BODY_BYTES / 16] {
            let refused = self.refusals.borrow().len();
            for _ in 0..CALLERS {
                if self.refusals.borrow().len() == refused {
                    self.add_body(body_bytes, Framing::Length).await;
                }
            }
        }
    }
}

/// Guards against an entry that is killed for its memory: slow targets made it hold the body of each
/// request, without a bound on all of them.
#[test]
fn bodies_for_slow_targets_take_a_part_of_the_memory_only() {
    for framing in [Framing::Length, Framing::Chunks] {
        run_local(async move {
            let filled = FilledEntry::start(framing).await;
            let held_bytes = filled.sent_on.get() * BODY_BYTES;
            let limit_bytes = filled.entry.gateway.host.memory_limit_bytes as usize;
            assert!(held_bytes > 0, "{framing:?}: some are sent on");
            assert!(held_bytes <= limit_bytes / 2, "{framing:?}: {held_bytes} bytes are held");
            for refusal in filled.refusals.borrow().iter() {
                assert!(refusal.starts_with("HTTP/1.1 503"), "{framing:?}: {refusal:?}");
                assert!(header(refusal, "retry-after").is_some(), "{framing:?}: {refusal:?}");
            }
        });
    }
}

/// Guards against long bodies that keep out shorter ones, and against memory that is never freed.
#[test]
fn shorter_bodies_are_taken_beside_long_ones_and_memory_is_freed_with_its_request() {
    run_local(async {
        let mut filled = FilledEntry::start(Framing::Length).await;
        let (entry, sent_on) = (filled.entry.clone(), filled.sent_on.clone());
        assert!(sent_on.get() < CALLERS, "the memory for bodies is in use");
        for body_bytes in [SHORTER_BODY_BYTES, BODY_BYTES] {
            if body_bytes == BODY_BYTES {
                filled.callers.shutdown().await;
                eventually(|| entry.gateway.active_requests.get() == 0).await;
            }
            let (caller, before) = (entry.clone(), sent_on.get());
            let call = tokio::task::spawn_local(async move {
                send_body(&caller, body_bytes, Framing::Length).await
            });
            eventually(|| sent_on.get() > before || call.is_finished()).await;
            assert!(!call.is_finished(), "{body_bytes} bytes are sent on");
            call.abort();
        }
    });
}

/// Guards against answers that are held whole while there is no memory for them: they are relayed as
/// fast as the caller reads instead.
#[test]
fn an_answer_is_not_buffered_once_the_memory_for_bodies_is_used_up() {
    run_local(async {
        let mut filled = FilledEntry::start(Framing::Length).await;
        filled.fill_up().await;
        let mut caller = TcpStream::connect(filled.entry.address).await.expect("the entry accepts");
        let request = format!(
            "POST /stream/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r2\r\n{PROMPT}\
             Authorization: Bearer key-a\r\nContent-Length: 0\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).await.expect("a request");
        let mut answer = [0; 12];
        let read = tokio::time::timeout(ms(10_000), caller.read_exact(&mut answer)).await;
        read.expect("the head does not wait for the body").expect("an answer");
        assert_eq!(&answer, b"HTTP/1.1 201");
    });
}
