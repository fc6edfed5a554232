//! HTTP serving: one handler a listener, with bounded bodies.

use std::future::Future;
use std::sync::Arc;

use bytes::{Buf, Bytes, BytesMut};
use futures::{Stream, StreamExt};
use serde::Serialize;
use tokio::net::TcpListener;
use warp::Filter;
use warp::Reply;
use warp::http::{HeaderMap, HeaderValue, Method, StatusCode};

/// An answer.
pub type Response = warp::reply::Response;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, from its first slash.
    pub path: String,
    /// The query without its question mark; may be empty.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, or why it could not be taken.
    pub body: Result<Bytes, BodyError>,
}

/// Why a body could not be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than the limit in bytes.
    TooLarge(usize),
    /// The caller's connection broke.
    Disconnected,
}

impl Request {
    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// The path without its slashes.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| if key == name { Some(value) } else { None })
    }

    /// The body, empty if it could not be taken.
    pub fn bytes(&self) -> Bytes {
        self.body.clone().unwrap_or_default()
    }

    /// The body as JSON.
    ///
    /// # Errors
    /// The parser's message.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.bytes()).map_err(|source| source.to_string())
    }
}

/// Serves `handler` on `listener` until `stop` is ready; then lets open answers finish.
pub async fn serve<H, F>(
    listener: TcpListener,
    body_limit: usize,
    handler: H,
    stop: impl Future<Output = ()> + Send + 'static,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Accepted connections inherit it. Without it, the parts of a stream wait for the receiver's
    // delayed acknowledgements, about 40 ms.
    if let Err(error) = socket2::SockRef::from(&listener).set_tcp_nodelay(true) {
        log::warn!("event=nodelay_failed error={:?}", error.to_string());
    }
    let handler = Arc::new(handler);
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let filter = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: warp::path::FullPath, query, headers, body| {
            let handler = handler.clone();
            async move {
                let body = read_body(body, body_limit).await;
                let path = path.as_str().to_string();
                handler(Request { method, path, query, headers, body }).await
            }
        });
    warp::serve(filter).incoming(listener).graceful(stop).run().await;
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

/// An answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    warp::reply::with_status(warp::reply::json(value), status).into_response()
}

/// An answer with a text body.
pub fn text(status: StatusCode, text: String) -> Response {
    warp::reply::with_status(text, status).into_response()
}

/// An answer with any body.
pub fn body(status: StatusCode, content_type: &str, bytes: Vec<u8>) -> Response {
    let mut response = warp::reply::with_status(bytes, status).into_response();
    set_header(&mut response, "content-type", content_type);
    response
}

/// An answer whose body comes in parts.
pub fn stream(
    content_type: &str,
    parts: impl Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + 'static,
) -> Response {
    let mut response = warp::reply::stream(parts).into_response();
    set_header(&mut response, "content-type", content_type);
    set_header(&mut response, "cache-control", "no-store");
    response
}

/// Sets a header; a value that can't stand in one is left out.
pub fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}
