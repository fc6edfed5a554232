//! HTTP server and responses of the emulated platform.

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

/// A response whose body may fail part-way.
pub type HttpResponse = Response<UnsyncBoxBody<Bytes, std::io::Error>>;

/// Serves until the runtime shuts down. Returns the address.
pub async fn serve<F, A>(at: SocketAddr, answer: F) -> SocketAddr
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = HttpResponse> + Send,
{
    let (address, _) = start(at, answer).await;
    address
}

/// Serves until the runtime shuts down or the handle is aborted, which resets all connections.
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
            // Connections are reset when the server stops, as after a crash.
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a TCP socket");
            let answer = answer.clone();
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let answer = answer(request);
                    async move { Ok::<_, Infallible>(answer.await) }
                });
                // Clients may disconnect at any time.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    (address, accepting.abort_handle())
}

/// A response without a body.
pub fn status(code: u16) -> HttpResponse {
    with_body(code, Bytes::new())
}

/// A response with a body.
pub fn with_body(code: u16, body: impl Into<Bytes>) -> HttpResponse {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    Response::builder().status(code).body(body).expect("a status")
}

/// A response with a JSON body.
pub fn json(document: &Value) -> HttpResponse {
    with_body(200, document.to_string())
}

/// A response whose body is streamed.
pub fn streaming(parts: BoxStream<'static, std::io::Result<Bytes>>) -> HttpResponse {
    let frames = parts.map(|part| part.map(Frame::data));
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// The value of a request header, if it is text.
pub fn header<'r, B>(request: &'r Request<B>, name: &str) -> Option<&'r str> {
    request.headers().get(name)?.to_str().ok()
}

/// Reads the body of a request to its end; `None` if the connection fails.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    request.into_body().collect().await.ok().map(|body| body.to_bytes())
}
