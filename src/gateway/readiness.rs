//! Tells the platform whether new callers may be sent here.

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

use super::state::Gateway;

/// Pause after a failed accept.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Answers for as long as the process lives.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = gateway.clone();
                tokio::task::spawn_local(async move {
                    let service = service_fn(|_| {
                        let answer = answer(&gateway);
                        async move { Ok::<_, Infallible>(answer) }
                    });
                    let served =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    if let Err(error) = served.await {
                        log::debug!("event=asker_gone reason={:?}", error.to_string());
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed reason={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

fn answer(gateway: &Gateway) -> Response<Full<Bytes>> {
    let (status, text) = match gateway.is_ready() {
        true => (StatusCode::OK, "ready"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    };
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}
