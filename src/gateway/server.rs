//! Accepts and serves callers' connections.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use http::{Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::accept_queue::{AcceptQueue, AcceptVerdict};
use super::caller_connection::{CallerConnection, TrackedBody};
use super::connections::OpenConnection;
use super::idle_clock::IdleVerdict;
use super::routed_request::Origin;
use super::state::Gateway;
use super::{forwarding, request};
use crate::clock::{BootTime, boot_now};
use crate::deployment::RequestLimits;
use crate::net;
use crate::net::lingering_stream::{LingeringStream, StreamControl};

/// A connection whose sent bytes are not acknowledged for this long is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection of another entry may be idle. Longer than that entry keeps it in its pool.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection of another entry may go on without its first request once connections are closed.
/// The request may be on its way, and the other entry could not tell a close from a failure.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// The smallest read buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Lower bound on the delay between two checks of whether a connection is idle.
const MIN_IDLE_CHECK: Duration = Duration::from_millis(20);
/// How often it is checked whether requests still wait for descriptors.
const AWAITED_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between log lines about connections that are closed unread.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts connections of callers, or of other entries, for the lifetime of the process. Once
/// `closing` is true, each connection is closed after its current request.
pub async fn accept(
    gateway: Rc<Gateway>,
    origin: Origin,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
) {
    let connections = gateway.connections.clone();
    let mut queue = AcceptQueue::default();
    let mut rejections = RejectionLog::default();
    loop {
        while connections.descriptors_are_awaited() {
            tokio::time::sleep(AWAITED_CHECK_INTERVAL).await;
        }
        let accepted = match listener.accept().now_or_never() {
            Some(accepted) => accepted,
            None => {
                queue.is_empty();
                listener.accept().await
            }
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                connections.accept_failed();
                net::pause_after_failed_accept(&error).await;
                continue;
            }
        };
        let is_rejected =
            queue.admit(boot_now()) == AcceptVerdict::Reject || connections.are_full();
        // Another entry has chosen this one, and could not tell a close from a failure.
        if is_rejected && origin == Origin::Caller {
            rejections.record(connections.open_count());
            drop(stream);
        } else {
            let open = connections.open(origin, boot_now());
            let serving = serve(gateway.clone(), origin, stream, open, closing.clone());
            tokio::task::spawn_local(serving);
        }
        if queue.ends_turn() {
            tokio::task::yield_now().await;
        }
    }
}

/// Counts connections that are closed unread, and logs them from time to time.
#[derive(Debug, Default)]
struct RejectionLog {
    count: u64,
    logged_at: BootTime,
}

impl RejectionLog {
    fn record(&mut self, open: usize) {
        self.count += 1;
        let now = boot_now();
        if now.saturating_sub(self.logged_at) >= REJECTION_LOG_INTERVAL {
            log::warn!("event=connections_rejected count={} open={open}", self.count);
            *self = RejectionLog { count: 0, logged_at: now };
        }
    }
}

async fn serve(
    gateway: Rc<Gateway>,
    origin: Origin,
    stream: TcpStream,
    open: OpenConnection,
    closing: watch::Receiver<bool>,
) {
    if let Err(error) = net::set_ack_timeout(&stream, UNACKNOWLEDGED_TIMEOUT) {
        log::debug!("event=connection_not_set reason={:?}", error.to_string());
    }
    let opened_with = request_limits(&gateway);
    let head_bytes = match origin {
        Origin::Caller => opened_with.head_bytes,
        Origin::Entry => opened_with.head_bytes + forwarding::MAX_ATTEMPT_BYTES,
    };
    let stream = LingeringStream::new(stream);
    let control = stream.control();
    let caller = Rc::new(CallerConnection::new(open, control.clone()));
    let state = gateway.clone();
    let service = {
        let (caller, closing, control) = (caller.clone(), closing.clone(), control.clone());
        service_fn(move |request: Request<Incoming>| {
            // A body without chunks may end with the connection, also if it is cut short.
            control.set_reset_on_drop(request.version() < Version::HTTP_11);
            let in_progress = caller.begin_request();
            let (gateway, closing) = (gateway.clone(), closing.clone());
            async move {
                let response = match origin {
                    Origin::Caller => request::handle(gateway, request, closing).await,
                    Origin::Entry => forwarding::handle(gateway, request, closing).await,
                };
                Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, in_progress)))
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing_now = closing.clone();
    let closed = wait_until_closing(closing, origin, &control);
    tokio::pin!(closed);
    // A caller's request that is only read now might be cut off when the process ends.
    let mut is_closing = origin == Origin::Caller && *closing_now.borrow();
    if is_closing {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        let check_after = match caller.check(&limits_in_use(&state, origin, &opened_with)) {
            IdleVerdict::Open(left) => left.max(MIN_IDLE_CHECK),
            IdleVerdict::HeadTooSlow => return,
            IdleVerdict::Idle if is_closing => MIN_IDLE_CHECK,
            IdleVerdict::Idle => {
                is_closing = true;
                control.skip_linger();
                connection.as_mut().graceful_shutdown();
                MIN_IDLE_CHECK
            }
        };
        tokio::select! {
            // A request that has arrived is read before the connection is found to be idle.
            biased;
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!("event=caller_gone reason={:?}", error.to_string());
                }
                return;
            }
            () = &mut closed, if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = caller.close_requested(), if !is_closing => {
                is_closing = true;
                if caller.is_idle() {
                    control.skip_linger();
                }
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(check_after) => {}
        }
    }
}

/// Waits until a connection is to be closed after its current request.
async fn wait_until_closing(
    mut closing: watch::Receiver<bool>,
    origin: Origin,
    control: &StreamControl,
) {
    // Fails only if the entry ends without closing its connections.
    if closing.wait_for(|is_closing| *is_closing).await.is_err() {
        std::future::pending::<()>().await;
    }
    if origin == Origin::Entry && control.received_bytes() == 0 {
        tokio::time::sleep(FIRST_REQUEST_TIMEOUT).await;
    }
}

/// The limits of a connection that was opened with others.
fn limits_in_use(gateway: &Gateway, origin: Origin, opened_with: &RequestLimits) -> RequestLimits {
    let newest = request_limits(gateway);
    let idle_timeout = match origin {
        // Callers may know a longer time of a newer deployment, or a shorter one of an earlier one.
        Origin::Caller => newest.idle_timeout.max(opened_with.idle_timeout),
        Origin::Entry => PEER_IDLE_TIMEOUT,
    };
    RequestLimits { idle_timeout, ..newest }
}

/// The limits in force now.
fn request_limits(gateway: &Gateway) -> RequestLimits {
    gateway.table().map(|table| table.deployment().request_limits.clone()).unwrap_or_default()
}
