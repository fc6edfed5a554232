//! Accepts and serves callers' connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::caller_connection::{CallerConnection, TrackedBody};
use super::idle_clock::IdleVerdict;
use super::routed_request::Origin;
use super::state::Gateway;
use super::{forwarding, request};
use crate::deployment::RequestLimits;
use crate::net;
use crate::net::lingering_stream::LingeringStream;

/// A connection whose sent bytes are not acknowledged for this long is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// The smallest read buffer that hyper accepts.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Lower bound on the delay between two checks of whether a connection is idle.
const MIN_IDLE_CHECK: Duration = Duration::from_millis(20);

/// Accepts connections of callers, or of other entries, for the lifetime of the process. Once
/// `closing` is true, each connection is closed after its current request.
pub async fn accept(
    gateway: Rc<Gateway>,
    origin: Origin,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
    open_connections: Rc<Cell<usize>>,
) {
    let take = |stream| {
        let (gateway, closing, open_connections) =
            (gateway.clone(), closing.clone(), open_connections.clone());
        tokio::task::spawn_local(async move {
            open_connections.set(open_connections.get() + 1);
            serve(gateway, origin, stream, closing).await;
            open_connections.set(open_connections.get() - 1);
        });
    };
    net::for_each_connection(listener, take).await;
}

async fn serve(
    gateway: Rc<Gateway>,
    origin: Origin,
    stream: TcpStream,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = net::set_ack_timeout(&stream, UNACKNOWLEDGED_TIMEOUT) {
        log::debug!("event=connection_not_set reason={:?}", error.to_string());
    }
    let head_bytes = match origin {
        Origin::Caller => request_limits(&gateway).head_bytes,
        Origin::Entry => request_limits(&gateway).head_bytes + forwarding::MAX_ATTEMPT_BYTES,
    };
    let stream = LingeringStream::new(stream);
    let resets_on_drop = stream.resets_on_drop();
    let caller = Rc::new(CallerConnection::new(stream.received_bytes()));
    let state = gateway.clone();
    let service = {
        let (caller, closing) = (caller.clone(), closing.clone());
        service_fn(move |request: Request<Incoming>| {
            // A body without chunks may end with the connection, also if it is cut short.
            resets_on_drop.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
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
    let mut is_closing = *closing.borrow();
    if is_closing {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        let check_after = match caller.check(&request_limits(&state)) {
            IdleVerdict::Open(left) => left.max(MIN_IDLE_CHECK),
            IdleVerdict::HeadTooSlow => return,
            IdleVerdict::Idle if is_closing => MIN_IDLE_CHECK,
            IdleVerdict::Idle => {
                is_closing = true;
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
            changed = closing.changed(), if !is_closing => {
                is_closing = true;
                if changed.is_ok() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = tokio::time::sleep(check_after) => {}
        }
    }
}

/// The limits in force now.
fn request_limits(gateway: &Gateway) -> RequestLimits {
    gateway.table().map(|table| table.deployment().request_limits.clone()).unwrap_or_default()
}
