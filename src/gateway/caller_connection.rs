//! The use of a caller's connection, from the head of a request to the end of the response.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::connections::OpenConnection;
use super::idle_clock::{IdleClock, IdleVerdict};
use super::response::{RelayError, ResponseBody};
use crate::clock::boot_now;
use crate::deployment::RequestLimits;
use crate::net::lingering_stream::StreamControl;

/// A connection of a caller or another entry.
pub struct CallerConnection {
    clock: RefCell<IdleClock>,
    control: Arc<StreamControl>,
    open: OpenConnection,
}

/// A request in progress on a connection. Dropping it ends its response.
pub struct RequestInProgress(Rc<CallerConnection>);

/// The body of a response. The connection counts as used until it is dropped.
pub struct TrackedBody {
    body: ResponseBody,
    _request: RequestInProgress,
}

impl CallerConnection {
    /// Starts with a new connection.
    pub fn new(open: OpenConnection, control: Arc<StreamControl>) -> CallerConnection {
        CallerConnection { clock: RefCell::new(IdleClock::new(boot_now())), control, open }
    }

    /// Begins to handle a request.
    pub fn begin_request(self: &Rc<Self>) -> RequestInProgress {
        self.clock.borrow_mut().request_began();
        self.open.set_in_use();
        RequestInProgress(self.clone())
    }

    /// Whether the connection stays open.
    pub fn check(&self, limits: &RequestLimits) -> IdleVerdict {
        self.clock.borrow_mut().check(self.control.received_bytes(), limits, boot_now())
    }

    /// Whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.open.is_idle()
    }

    /// Waits until the connection is to be closed to make room for others.
    pub async fn close_requested(&self) {
        self.open.close_requested().await;
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let CallerConnection { clock, control, open } = &*self.0;
        let now = boot_now();
        clock.borrow_mut().response_ended(control.received_bytes(), now);
        open.set_idle(now);
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
