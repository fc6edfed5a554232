//! Single HTTP calls to the platform and to engines, each on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;

use crate::ids::TargetId;
use crate::platform::headers;

/// An answer's body is not read beyond this: lists come in pages of a few kilobytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// A connection whose bytes are not acknowledged for this long is given up.
const UNACKNOWLEDGED: Duration = Duration::from_secs(1);

/// A call.
#[derive(Clone, Debug)]
pub struct Exchange {
    to: SocketAddr,
    method: Method,
    path: String,
    expected: Option<TargetId>,
    json: Option<Vec<u8>>,
}

/// Its answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

/// Why there is no answer.
pub type CallError = Box<dyn std::error::Error + Send + Sync>;

impl Exchange {
    /// A call without a body.
    pub fn new(to: SocketAddr, method: Method, path: &str) -> Exchange {
        Exchange { to, method, path: path.to_string(), expected: None, json: None }
    }

    /// Any target but this one must refuse it.
    pub fn expecting(mut self, target: &TargetId) -> Exchange {
        self.expected = Some(target.clone());
        self
    }

    /// Sends a JSON text.
    pub fn with_json(mut self, json: Vec<u8>) -> Exchange {
        self.json = Some(json);
        self
    }
}

/// Makes a call and reads the whole answer.
///
/// # Errors
/// If there is none in time.
pub async fn fetch(exchange: Exchange, timeout: Duration) -> Result<Answer, CallError> {
    tokio::time::timeout(timeout, exchange_on_new_connection(exchange, timeout)).await?
}

async fn exchange_on_new_connection(
    exchange: Exchange,
    timeout: Duration,
) -> Result<Answer, CallError> {
    let stream = super::connect(exchange.to, timeout, UNACKNOWLEDGED).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driving = tokio::task::spawn_local(connection);
    let mut request = Request::builder()
        .method(exchange.method)
        .uri(exchange.path)
        .header(HOST, exchange.to.to_string());
    if let Some(target) = &exchange.expected {
        request = request.header(headers::EXPECT_INSTANCE, target);
    }
    if exchange.json.is_some() {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    let body = Full::new(Bytes::from(exchange.json.unwrap_or_default()));
    let answer = sender.send_request(request.body(body)?).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_BODY_BYTES).collect().await?.to_bytes();
    driving.abort();
    Ok(Answer { status, body })
}
