//! HTTP server with one handler per listener and a limit on request bodies.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use hyper_util::service::TowerToHyperService;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use warp::Filter;
use warp::Reply;
use warp::http::{HeaderMap, HeaderValue, Method, StatusCode};

use crate::clock::{BootTime, boot_now};
use crate::net;
use crate::net::lingering_stream::LingeringStream;

/// How often a shutdown checks whether all responses are sent.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);

pub type Response = warp::reply::Response;

/// An HTTP request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: Method,
    /// The path, including the leading slash.
    pub path: String,
    /// The query without the question mark; empty if there is none.
    pub query: String,
    pub headers: HeaderMap,
    /// The body, or why it could not be read.
    pub body: Result<Bytes, BodyError>,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds this limit in bytes.
    TooLarge(usize),
    Disconnected,
    /// The server shuts down and does not wait for the rest.
    Interrupted,
}

/// How far a server's graceful shutdown has progressed. Only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    Serving,
    /// Requests are refused, so the rest of an incomplete body is not waited for.
    Refusing,
    /// Each connection is closed as soon as its response is completely sent.
    Closing,
}

impl Request {
    /// Returns the value of a header, if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }

    /// Returns a query parameter as it is, without percent-decoding.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| if key == name { Some(value) } else { None })
    }

    /// Returns the body; empty if it could not be read.
    pub fn bytes(&self) -> Bytes {
        self.body.clone().unwrap_or_default()
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    /// The message of the JSON parser.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.bytes()).map_err(|source| source.to_string())
    }
}

/// Number of open connections on which a request was received. Once a graceful shutdown has closed
/// the idle connections, these are the responses that are not completely sent.
#[derive(Clone, Debug, Default)]
pub struct UsedConnections(Arc<AtomicUsize>);

impl UsedConnections {
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Waits until there are none, at most until `deadline`. To be called after a graceful shutdown has
    /// begun, which takes a moment to close the idle connections.
    pub async fn wait_until_closed(&self, deadline: BootTime) {
        tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        while self.count() > 0 && boot_now() < deadline {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
    }

    pub fn track(&self) -> ConnectionUse {
        ConnectionUse { used: self.clone(), is_counted: AtomicBool::new(false) }
    }
}

/// Counts one connection from its first request until it is dropped.
#[derive(Debug)]
pub struct ConnectionUse {
    used: UsedConnections,
    is_counted: AtomicBool,
}

impl ConnectionUse {
    /// Records that a request was received.
    pub fn mark_used(&self) {
        if !self.is_counted.swap(true, Ordering::Relaxed) {
            self.used.0.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        if *self.is_counted.get_mut() {
            self.used.0.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Serves requests with `handler` until the phase is `Closing`, and returns once all connections are
/// closed.
pub async fn serve<H, F>(
    listener: TcpListener,
    body_limit: usize,
    handler: H,
    used: UsedConnections,
    phase: watch::Receiver<ShutdownPhase>,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let handler = Arc::new(handler);
    let handler_phase = phase.clone();
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let filter = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query, headers, body| {
            let (handler, phase) = (handler.clone(), handler_phase.clone());
            async move {
                let body = tokio::select! {
                    biased;
                    body = read_body(body, body_limit) => body,
                    () = reached(phase, ShutdownPhase::Refusing) => Err(BodyError::Interrupted),
                };
                let path = path.as_str().to_string();
                handler(Request { method, path, query, headers, body }).await
            }
        });
    let service = TowerToHyperService::new(warp::service(filter));
    let (open_connections, _) = watch::channel(());
    let serve_connection = |stream: TcpStream| {
        // Without this option, Nagle's algorithm delays the parts of a stream until the receiver's
        // delayed acknowledgements, about 40 ms.
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!("event=nodelay_failed error={:?}", error.to_string());
        }
        let (service, phase, connection_use) = (service.clone(), phase.clone(), used.track());
        let open_connection = open_connections.subscribe();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                connection_use.mark_used();
                service.call(request)
            });
            let builder = Builder::new(TokioExecutor::new());
            let connection =
                builder.serve_connection(TokioIo::new(LingeringStream::new(stream)), service);
            let mut connection = std::pin::pin!(connection);
            let served = tokio::select! {
                // A request that has arrived is read before its connection is closed as idle.
                biased;
                served = connection.as_mut() => served,
                () = reached(phase, ShutdownPhase::Closing) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = served {
                log::debug!("event=client_disconnected reason={:?}", error.to_string());
            }
            drop(open_connection);
        });
    };
    tokio::select! {
        () = net::for_each_connection(listener, serve_connection) => {}
        () = reached(phase.clone(), ShutdownPhase::Closing) => {}
    }
    open_connections.closed().await;
}

/// Waits for a phase. An error means that the server's owner was dropped, which also ends serving.
async fn reached(mut phase: watch::Receiver<ShutdownPhase>, expected: ShutdownPhase) {
    let _ = phase.wait_for(|phase| *phase >= expected).await;
}

async fn read_body(
    body: impl Stream<Item = Result<impl Buf, warp::Error>>,
    limit: usize,
) -> Result<Bytes, BodyError> {
    let mut body = std::pin::pin!(body);
    let mut bytes = BytesMut::new();
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|_| BodyError::Disconnected)?;
        if bytes.len() + part.remaining() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        while part.has_remaining() {
            let length = part.chunk().len();
            bytes.extend_from_slice(part.chunk());
            part.advance(length);
        }
    }
    Ok(bytes.freeze())
}

/// Creates a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    warp::reply::with_status(warp::reply::json(value), status).into_response()
}

/// Creates a response with a text body.
pub fn text(status: StatusCode, text: String) -> Response {
    warp::reply::with_status(text, status).into_response()
}

/// Creates a response with a body of the given type.
pub fn body(status: StatusCode, content_type: &str, bytes: Vec<u8>) -> Response {
    let mut response = warp::reply::with_status(bytes, status).into_response();
    set_header(&mut response, "content-type", content_type);
    response
}

/// Creates a response with a streamed body.
pub fn stream(
    content_type: &str,
    parts: impl Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + 'static,
) -> Response {
    let mut response = warp::reply::stream(parts).into_response();
    set_header(&mut response, "content-type", content_type);
    set_header(&mut response, "cache-control", "no-store");
    response
}

/// Sets a header. Does nothing if the value is not a valid header value.
pub fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
