//! HTTP server that answers every request with a short text.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Serves the result of `respond` to each request. Never returns.
pub async fn serve(listener: TcpListener, respond: impl Fn() -> (StatusCode, String) + 'static) {
    let respond = Rc::new(respond);
    let handle = |stream| drop(tokio::task::spawn_local(serve_connection(stream, respond.clone())));
    super::for_each_connection(listener, handle).await;
}

async fn serve_connection(stream: TcpStream, respond: Rc<impl Fn() -> (StatusCode, String)>) {
    let service = service_fn(|_| {
        let (status, text) = respond();
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("event=scheduler_client_disconnected reason={:?}", error.to_string());
    }
}
