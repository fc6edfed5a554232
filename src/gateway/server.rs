//! Callers' connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::request;
use super::response::GatewayResponse;
use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::net;

/// A caller whose end does not acknowledge for this long is gone.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);
/// Smallest limit for heads that the HTTP library takes.
const LEAST_HEAD_BYTES: usize = 8 << 10;
/// A connection is not looked at more often than this.
const LEAST_LOOK: Duration = Duration::from_millis(20);

/// Accepts callers for as long as the process lives. Connections end once `closing` is true, each
/// after its request.
pub async fn accept(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
    open: Rc<Cell<usize>>,
) {
    let take = |stream| {
        let (gateway, closing, open) = (gateway.clone(), closing.clone(), open.clone());
        tokio::task::spawn_local(async move {
            open.set(open.get() + 1);
            serve(gateway, stream, closing).await;
            open.set(open.get() - 1);
        });
    };
    net::accept_each(listener, take).await;
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, mut closing: watch::Receiver<bool>) {
    if let Err(error) = net::notice_silence(&stream, UNACKNOWLEDGED) {
        log::debug!("event=connection_not_set reason={:?}", error.to_string());
    }
    let bounds = gateway.table().map(|table| table.deployment().bounds.clone()).unwrap_or_default();
    let used_at = Rc::new(Cell::new(boot_now()));
    let service = {
        let used_at = used_at.clone();
        service_fn(move |request| {
            let (gateway, used_at) = (gateway.clone(), used_at.clone());
            async move {
                used_at.set(BootTime::MAX);
                let response = request::handle(gateway, request).await;
                used_at.set(boot_now());
                Ok::<GatewayResponse, Infallible>(response)
            }
        })
    };
    let connection = http1::Builder::new()
        .max_buf_size(bounds.head_bytes.max(LEAST_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut is_closing = *closing.borrow();
    if is_closing {
        connection.as_mut().graceful_shutdown();
    }
    loop {
        let idle_ends =
            bounds.idle_timeout.saturating_sub(boot_now().saturating_sub(used_at.get()));
        tokio::select! {
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
            () = tokio::time::sleep(idle_ends.max(LEAST_LOOK)), if !is_closing => {
                if boot_now().saturating_sub(used_at.get()) >= bounds.idle_timeout {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
