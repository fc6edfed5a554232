//! A small HTTP server for stand-ins.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::BoxStream;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// An answer. Its body may break off.
pub type HttpResponse = Response<UnsyncBoxBody<Bytes, std::io::Error>>;

/// Serves until the runtime ends. Returns the address.
pub async fn serve<F, A>(at: SocketAddr, answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = HttpResponse> + Send,
{
    let (address, _) = start(at, answer).await;
    address
}

/// Serves until the runtime ends or it is aborted; then all its connections are reset.
pub async fn start<F, A>(at: SocketAddr, answer: F) -> (SocketAddr, AbortHandle)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = HttpResponse> + Send,
{
    let listener = TcpListener::bind(at).await.expect("the address is free");
    let address = listener.local_addr().expect("it has an address");
    let accepting = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("a TCP socket");
            // A stand-in that goes down resets what it had.
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a TCP socket");
            let answer = answer.clone();
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let answer = answer(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                // A caller that leaves is no fault of the stand-in.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    (address, accepting.abort_handle())
}

/// An answer without a body.
pub fn status(code: u16) -> HttpResponse {
    with_body(code, Bytes::new())
}

/// An answer with a body.
pub fn with_body(code: u16, body: impl Into<Bytes>) -> HttpResponse {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    Response::builder().status(code).body(body).expect("a status")
}

/// A JSON document.
pub fn json(document: &Value) -> HttpResponse {
    with_body(200, document.to_string())
}

/// An answer that comes in parts.
pub fn streaming(parts: BoxStream<'static, std::io::Result<Bytes>>) -> HttpResponse {
    let frames = parts.map(|part| part.map(Frame::data));
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// A header of a request.
pub fn header<'r, B>(request: &'r Request<B>, name: &str) -> Option<&'r str> {
    request.headers().get(name)?.to_str().ok()
}

/// The whole body of a request.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    request.into_body().collect().await.ok().map(|body| body.to_bytes())
}
