//! Answers every HTTP request at an address with a short text.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

/// Answers for as long as the process lives, each time with what `answer` gives then.
pub async fn serve(listener: TcpListener, answer: impl Fn() -> (StatusCode, String) + 'static) {
    let answer = Rc::new(answer);
    let take = |stream| drop(tokio::task::spawn_local(serve_one(stream, answer.clone())));
    super::accept_each(listener, take).await;
}

async fn serve_one(stream: TcpStream, answer: Rc<impl Fn() -> (StatusCode, String)>) {
    let service = service_fn(|_| {
        let (status, text) = answer();
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("event=scheduler_client_disconnected reason={:?}", error.to_string());
    }
}
