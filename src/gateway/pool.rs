//! Connections to targets. One request at a time uses a connection; idle ones are kept for reuse.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::clock::{BootTime, boot_now};
use crate::ids::TargetStart;
use crate::net;

/// Longest time to connect. Targets are about a millisecond away and accept within another; a lost
/// opening packet is sent again only after a second, and another target serves the caller sooner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection whose bytes are not acknowledged for this long is given up: its target is gone or
/// cut off.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);
/// An idle connection is not used again that shortly before the target may close it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// How long a target that doesn't say keeps an idle connection, as far as is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle connections.
#[derive(Default)]
pub struct Pool {
    /// By target, the one that was used last at the end.
    idle: RefCell<HashMap<TargetStart, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    since: BootTime,
}

/// A connection to one start of a target. It closes when it is dropped.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// How long the target keeps it open without a request.
    idle_timeout: Duration,
    /// Whether it has carried a request before.
    pub is_reused: bool,
}

/// What came of sending a request.
pub enum SendOutcome {
    /// The target answers.
    Response(Response<Incoming>),
    /// Nothing of the request has left: it did not run.
    NotSent(String),
    /// The connection broke after some of the request had left: it may have run.
    Broken(String),
}

impl Pool {
    /// An idle connection to a target that is surely open as far as can be seen.
    pub fn take_idle(&self, target: &TargetStart) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target)?;
        while let Some(Idle { connection, since }) = connections.pop() {
            let age = boot_now().saturating_sub(since);
            if connection.sender.is_ready() && age + IDLE_TIMEOUT_MARGIN < connection.idle_timeout {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub fn put_idle(&self, target: &TargetStart, mut connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.is_reused = true;
        let idle = Idle { connection, since: boot_now() };
        self.idle.borrow_mut().entry(target.clone()).or_default().push(idle);
    }

    /// Closes connections to all targets but those that `is_kept` names, and those that are too old
    /// to be used again.
    pub fn retain(&self, is_kept: impl Fn(&TargetStart) -> bool) {
        let now = boot_now();
        self.idle.borrow_mut().retain(|target, connections| {
            connections.retain(|idle| {
                let age = now.saturating_sub(idle.since);
                age + IDLE_TIMEOUT_MARGIN < idle.connection.idle_timeout
            });
            !connections.is_empty() && is_kept(target)
        });
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// If the target can't be reached in time.
    pub async fn open(to: SocketAddr) -> std::io::Result<Connection> {
        let stream = net::connect(to, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
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
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> SendOutcome {
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Response(response),
            Err(mut error) => match error.take_message() {
                Some(_) => SendOutcome::NotSent(error.error().to_string()),
                None => SendOutcome::Broken(error.error().to_string()),
            },
        }
    }

    /// Sets how long the target keeps it open without a request.
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
