//! The use of a caller's connection, from the head of a request to the end of the response.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::idle_clock::{IdleClock, IdleVerdict};
use super::response::{RelayError, ResponseBody};
use crate::clock::boot_now;
use crate::deployment::RequestLimits;

/// A connection of a caller or another entry.
pub struct CallerConnection {
    clock: RefCell<IdleClock>,
    received_bytes: Arc<AtomicU64>,
}

/// A request in progress on a connection. Dropping it ends its response.
pub struct RequestInProgress(Rc<CallerConnection>);

/// The body of a response. The connection counts as used until it is dropped.
pub struct TrackedBody {
    body: ResponseBody,
    _request: RequestInProgress,
}

impl CallerConnection {
    /// Starts with a new connection; `received_bytes` counts what it brings.
    pub fn new(received_bytes: Arc<AtomicU64>) -> CallerConnection {
        CallerConnection { clock: RefCell::new(IdleClock::new(boot_now())), received_bytes }
    }

    /// Begins to handle a request.
    pub fn begin_request(self: &Rc<Self>) -> RequestInProgress {
        self.clock.borrow_mut().request_began();
        RequestInProgress(self.clone())
    }

    /// Whether the connection stays open.
    pub fn check(&self, limits: &RequestLimits) -> IdleVerdict {
        let received_bytes = self.received_bytes.load(Ordering::Relaxed);
        self.clock.borrow_mut().check(received_bytes, limits, boot_now())
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let CallerConnection { clock, received_bytes } = &*self.0;
        clock.borrow_mut().response_ended(received_bytes.load(Ordering::Relaxed), boot_now());
    }
}

impl TrackedBody {
    /// Wraps the body of the response to a request.
    pub fn new(body: ResponseBody, request: RequestInProgress) -> TrackedBody {
        TrackedBody { body, _request: request }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
