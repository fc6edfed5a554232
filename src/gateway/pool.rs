//! Pool of HTTP/1.1 connections to targets and other entries. A connection carries one request at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::clock::{BootTime, boot_now};
use crate::net;
use crate::net::client_stream::{AckTimeouts, ClientStream, LONG_REQUEST_BYTES};
use crate::net::response_head;

/// Connect timeout. Shorter than the initial TCP retransmission timeout of one second, so that a
/// lost SYN leads to another target instead of a long wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection whose sent bytes are not acknowledged for this long is closed.
const ACK_TIMEOUTS: AckTimeouts = AckTimeouts {
    short_request: Duration::from_millis(1_200),
    long_request: Duration::from_secs(5),
};
/// An idle connection is not reused this shortly before the target's idle timeout.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle timeout of targets that don't send one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Bounds the head of a response, and what is read of a response before its caller takes it. Thousands of callers
/// that read slowly fit so into the memory of an entry.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Idle connections to targets or other entries.
pub struct Pool<Peer> {
    /// The idle connections of each peer, the most recently used one last.
    idle: RefCell<HashMap<Peer, Vec<Idle>>>,
}

impl<Peer> Default for Pool<Peer> {
    fn default() -> Pool<Peer> {
        Pool { idle: RefCell::default() }
    }
}

struct Idle {
    connection: Connection,
    since: BootTime,
}

/// A connection to one start of a target, or to another entry. Dropping it closes it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// How long the target keeps it open while it is idle.
    idle_timeout: Duration,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    /// Whether it has carried a request that may have filled the target's receive buffer. The kernel may
    /// count the time for the acknowledgement of the next such request from this one.
    carried_long_request: bool,
}

/// The result of sending a request.
pub enum SendOutcome {
    /// The head of the response has arrived.
    Response(Response<Incoming>),
    /// Nothing was sent, so that the target has not run the request.
    NotSent(String),
    /// The connection failed after it was partly or fully sent, so that the target may have run it.
    Broken(String),
}

impl<Peer: Clone + Eq + Hash> Pool<Peer> {
    /// Takes an idle connection to a peer that appears to be open.
    pub fn take_idle(&self, peer: &Peer) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(peer)?;
        while let Some(Idle { connection, since }) = connections.pop() {
            let age = boot_now().saturating_sub(since);
            if connection.sender.is_ready() && age + IDLE_TIMEOUT_MARGIN < connection.idle_timeout {
                return Some(connection);
            }
        }
        None
    }

    /// Whether a peer has closed all idle connections before their timeout, as a restart does.
    /// Removes them.
    pub fn remove_lost(&self, peer: &Peer) -> bool {
        let mut idle = self.idle.borrow_mut();
        let Some(connections) = idle.get(peer) else { return false };
        let now = boot_now();
        let is_lost = |idle: &Idle| {
            let age = now.saturating_sub(idle.since);
            idle.connection.sender.is_closed()
                && age + IDLE_TIMEOUT_MARGIN < idle.connection.idle_timeout
        };
        let all_lost = !connections.is_empty() && connections.iter().all(is_lost);
        if all_lost {
            idle.remove(peer);
        }
        all_lost
    }

    /// Returns a connection to the pool, unless it is closed or has carried a long request.
    pub fn put_idle(&self, peer: &Peer, mut connection: Connection) {
        if connection.sender.is_closed() || connection.carried_long_request {
            return;
        }
        connection.is_reused = true;
        let idle = Idle { connection, since: boot_now() };
        self.idle.borrow_mut().entry(peer.clone()).or_default().push(idle);
    }

    /// Keeps only connections that may still be reused and whose peer satisfies `is_kept`; closes
    /// all others.
    pub fn retain(&self, is_kept: impl Fn(&Peer) -> bool) {
        let now = boot_now();
        self.idle.borrow_mut().retain(|peer, connections| {
            connections.retain(|idle| {
                let age = now.saturating_sub(idle.since);
                age + IDLE_TIMEOUT_MARGIN < idle.connection.idle_timeout
            });
            !connections.is_empty() && is_kept(peer)
        });
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// If the target can't be reached within `CONNECT_TIMEOUT`.
    pub async fn open(to: SocketAddr) -> std::io::Result<Connection> {
        let stream = net::connect(to, CONNECT_TIMEOUT, ACK_TIMEOUTS.short_request).await?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(ClientStream::new(stream, ACK_TIMEOUTS)))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("event=target_connection_ended reason={:?}", error.to_string());
            }
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            is_reused: false,
            carried_long_request: false,
        })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> SendOutcome {
        let body_bytes = request.body().size_hint().lower();
        self.carried_long_request |= body_bytes > LONG_REQUEST_BYTES as u64;
        match self.sender.try_send_request(request).await {
            Ok(response) => match response_head::check(response.status(), response.headers()) {
                Ok(()) => SendOutcome::Response(response),
                Err(error) => SendOutcome::Broken(error.to_string()),
            },
            Err(mut error) => match error.take_message() {
                Some(_) => SendOutcome::NotSent(error.error().to_string()),
                None => SendOutcome::Broken(error.error().to_string()),
            },
        }
    }

    /// Whether it was closed by the other side.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sets how long the target keeps the connection open while it is idle, if it is known.
    pub fn set_idle_timeout(&mut self, timeout: Option<Duration>) {
        if let Some(timeout) = timeout {
            self.idle_timeout = timeout;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
