//! Answers every HTTP request at an address with a short text.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Pause after a failed accept.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Answers for as long as the process lives, each time with what `answer` gives then.
pub async fn serve(listener: TcpListener, answer: impl Fn() -> (StatusCode, String) + 'static) {
    let answer = Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed reason={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|_| {
                let (status, text) = answer();
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("event=asker_gone reason={:?}", error.to_string());
            }
        });
    }
}
