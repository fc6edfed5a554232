//! A stand-in target that answers from a script, over loopback.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// The answers to successive requests, each with what to do with the connection afterwards.
pub type Script = Vec<(String, AfterAnswer)>;

#[derive(Clone, Copy, PartialEq)]
pub enum AfterAnswer {
    KeepOpen,
    Close,
    /// Closes the connection while it is idle, without an announcement.
    CloseLater,
    /// Sends nothing for this long, then the next answer of the script as the rest of this one.
    ContinueAfter(Duration),
    /// Resets the connection once the caller has had time to read the answer.
    Reset,
    /// Closes the connection, and shortly after it the listener and all other connections, as a crashing
    /// process may.
    Terminate,
    /// Sends nothing more and waits until the caller closes the connection.
    Hang,
}

/// How long a connection is idle before it is closed.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(20);
/// Time between the ends of the connection and of the listener.
const TERMINATION_TIME: Duration = Duration::from_millis(20);

/// A target that gives each request the next answer of its script.
pub struct StandIn {
    pub address: SocketAddr,
    /// The head and body of each request, in order of arrival.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// The number of connections that the caller closed while the answer was incomplete.
    pub interrupted: Rc<Cell<u32>>,
    pub connections: Rc<Cell<u32>>,
    script: Rc<RefCell<VecDeque<(String, AfterAnswer)>>>,
}

impl StandIn {
    pub async fn start(script: Script) -> StandIn {
        StandIn::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), script).await
    }

    pub async fn start_at(address: SocketAddr, script: Script) -> StandIn {
        StandIn::listen(address, Rc::new(RefCell::new(script.into()))).await
    }

    /// Starts targets that share a script: each request, at whichever of them, gets its next answer.
    pub async fn start_group(count: usize, script: Script) -> Vec<StandIn> {
        let script = Rc::new(RefCell::new(VecDeque::from(script)));
        let mut group = Vec::new();
        for _ in 0..count {
            let address = SocketAddr::from(([127, 0, 0, 1], 0));
            group.push(StandIn::listen(address, script.clone()).await);
        }
        group
    }

    async fn listen(
        address: SocketAddr,
        script: Rc<RefCell<VecDeque<(String, AfterAnswer)>>>,
    ) -> StandIn {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let stand_in = StandIn {
            address: listener.local_addr().expect("an address"),
            requests: Rc::default(),
            interrupted: Rc::default(),
            connections: Rc::default(),
            script,
        };
        let script = stand_in.script.clone();
        let (requests, interrupted) = (stand_in.requests.clone(), stand_in.interrupted.clone());
        let connections = stand_in.connections.clone();
        let (terminating, terminated) = watch::channel(false);
        let accepting = tokio::task::spawn_local(async move {
            let mut serving = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.set(connections.get() + 1);
                let (script, requests, interrupted) =
                    (script.clone(), requests.clone(), interrupted.clone());
                let terminating = terminating.clone();
                serving.spawn_local(serve(stream, script, requests, interrupted, terminating));
            }
        });
        tokio::task::spawn_local(terminate(accepting, terminated));
        stand_in
    }

    /// Replaces the answers to later requests.
    pub fn set_script(&self, script: Script) {
        *self.script.borrow_mut() = script.into();
    }

    pub fn request_count(&self) -> usize {
        self.requests.borrow().len()
    }
}

/// Closes the listener and all connections after the first `AfterAnswer::Terminate`.
async fn terminate(accepting: JoinHandle<()>, mut terminated: watch::Receiver<bool>) {
    if terminated.wait_for(|terminated| *terminated).await.is_ok() {
        tokio::time::sleep(TERMINATION_TIME).await;
        accepting.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    script: Rc<RefCell<VecDeque<(String, AfterAnswer)>>>,
    requests: Rc<RefCell<Vec<String>>>,
    interrupted: Rc<Cell<u32>>,
    terminating: watch::Sender<bool>,
) {
    loop {
        let Some(request) = read_request(&mut stream).await else { return };
        let id = header(&request, "x-request-id").unwrap_or_default();
        requests.borrow_mut().push(request);
        loop {
            let step = script.borrow_mut().pop_front();
            let Some((answer, after_answer)) = step else { return };
            let answer = answer.replace("{id}", &id);
            stream.write_all(answer.as_bytes()).await.expect("the caller reads");
            match after_answer {
                AfterAnswer::KeepOpen => break,
                AfterAnswer::Close => return,
                AfterAnswer::Terminate => {
                    terminating.send_replace(true);
                    return;
                }
                AfterAnswer::CloseLater => {
                    tokio::time::sleep(IDLE_BEFORE_CLOSE).await;
                    return;
                }
                AfterAnswer::ContinueAfter(silence) => {
                    if tokio::time::timeout(silence, until_closed(&mut stream)).await.is_ok() {
                        interrupted.set(interrupted.get() + 1);
                        return;
                    }
                }
                AfterAnswer::Reset => {
                    tokio::time::sleep(IDLE_BEFORE_CLOSE).await;
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a TCP socket");
                    return;
                }
                AfterAnswer::Hang => {
                    until_closed(&mut stream).await;
                    interrupted.set(interrupted.get() + 1);
                    return;
                }
            }
        }
    }
}

/// Waits until the caller closes the connection.
async fn until_closed(stream: &mut TcpStream) {
    let mut byte = [0];
    let _ = stream.read(&mut byte).await;
}

/// Reads a request head and a body of its `Content-Length`.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// The value of the first header with this name in a request or response.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
    })
}
