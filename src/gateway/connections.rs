//! The open connections of callers and other entries, bounded by the descriptors of the process.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::pool::Connection;
use super::routed_request::Origin;
use crate::clock::BootTime;
use crate::net;

/// Descriptors for listeners, replicas, logs and idle connections to targets.
const RESERVED_DESCRIPTORS: usize = 64;
/// A request in progress uses its caller's connection and one to a target.
const DESCRIPTORS_PER_REQUEST: usize = 2;
/// Idle connections are closed to make room from this fraction of the limit on, since a closed one
/// keeps its descriptor until the caller has closed its side.
const CROWDED_FRACTION: f64 = 0.8;
/// Idle connections that are closed after a failure to accept.
const CLOSED_AFTER_FAILURE: usize = 16;
/// Time in which connections that make room are closed.
const ROOM_DELAY: Duration = Duration::from_millis(5);

type ConnectionId = u64;

/// Counts open connections, and closes idle ones if there are too many.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: Cell<usize>,
    last_id: Cell<ConnectionId>,
    /// Requests that wait for a descriptor.
    waiting: Cell<usize>,
    /// Connections without a request, the one that has been idle for longest first.
    idle: RefCell<BTreeMap<(BootTime, ConnectionId), Rc<Notify>>>,
}

impl Default for Connections {
    /// Without a limit.
    fn default() -> Connections {
        Connections {
            limit: usize::MAX,
            open: Cell::default(),
            last_id: Cell::default(),
            waiting: Cell::default(),
            idle: RefCell::default(),
        }
    }
}

#[derive(Debug)]
pub struct OpenConnection {
    connections: Rc<Connections>,
    id: ConnectionId,
    /// Whether it may be closed to make room. Another entry could not tell such a close from a
    /// failure of the attempt that it has just sent.
    may_close: bool,
    idle_since: Cell<Option<BootTime>>,
    close: Rc<Notify>,
}

impl Connections {
    /// Bounds the connections of a process that may open this many descriptors.
    pub fn new(descriptor_limit: u64) -> Connections {
        let descriptors = usize::try_from(descriptor_limit).unwrap_or(usize::MAX);
        let limit = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_REQUEST;
        Connections { limit: limit.max(1), ..Connections::default() }
    }

    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Whether no further connection of a caller is to be taken.
    pub fn are_full(&self) -> bool {
        self.open.get() >= self.limit
    }

    /// Registers a new connection, as idle, and closes another one if there are many.
    pub fn open(self: &Rc<Self>, origin: Origin, now: BootTime) -> OpenConnection {
        if self.open.get() as f64 >= self.limit as f64 * CROWDED_FRACTION {
            self.close_idle(1);
        }
        self.open.set(self.open.get() + 1);
        self.last_id.set(self.last_id.get() + 1);
        let connection = OpenConnection {
            connections: self.clone(),
            id: self.last_id.get(),
            may_close: origin == Origin::Caller,
            idle_since: Cell::new(None),
            close: Rc::default(),
        };
        connection.set_idle(now);
        connection
    }

    /// Makes room after a connection could not be accepted.
    pub fn accept_failed(&self) {
        self.close_idle(CLOSED_AFTER_FAILURE);
    }

    /// Whether requests wait for descriptors, which new connections would take from them.
    pub fn descriptors_are_awaited(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Opens a connection for a request. Idle connections of callers make room for it.
    ///
    /// # Errors
    /// If the recipient can't be reached, or descriptors are short and no connection is idle.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<Connection> {
        loop {
            let result = Connection::open(to).await;
            let is_short = result.as_ref().is_err_and(net::lacks_descriptors);
            if !is_short || self.close_idle(CLOSED_AFTER_FAILURE) == 0 {
                return result;
            }
            let _waiting = Waiting::new(&self.waiting);
            tokio::time::sleep(ROOM_DELAY).await;
        }
    }

    /// Closes some of the connections that have been idle for longest. Returns how many.
    fn close_idle(&self, count: usize) -> usize {
        let mut idle = self.idle.borrow_mut();
        let closed = std::iter::from_fn(|| idle.pop_first()).take(count);
        closed.map(|(_, close)| close.notify_one()).count()
    }
}

/// Counts a request that waits for a descriptor, also if it is cancelled.
struct Waiting<'a>(&'a Cell<usize>);

impl Waiting<'_> {
    fn new(count: &Cell<usize>) -> Waiting<'_> {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl OpenConnection {
    /// Records that a request has begun.
    pub fn set_in_use(&self) {
        if let Some(since) = self.idle_since.take() {
            self.connections.idle.borrow_mut().remove(&(since, self.id));
        }
    }

    /// Records that no request is in progress any more.
    pub fn set_idle(&self, now: BootTime) {
        self.set_in_use();
        if !self.may_close {
            return;
        }
        self.idle_since.set(Some(now));
        let mut idle = self.connections.idle.borrow_mut();
        idle.insert((now, self.id), self.close.clone());
    }

    /// Whether it may be closed and no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.idle_since.get().is_some()
    }

    /// Waits until the connection is to be closed to make room for others.
    pub async fn close_requested(&self) {
        self.close.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.set_in_use();
        self.connections.open.set(self.connections.open.get() - 1);
    }
}
