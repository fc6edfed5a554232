//! HTTP calls to the platform, to engines and to stores that are no callers' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderName, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use crate::ids::TargetId;
use crate::platform::headers;

/// An answer's body is not read beyond this: the inventory of a store with some ten thousand parts.
const MAX_BODY_BYTES: usize = 8 << 20;
/// A connection whose bytes are not acknowledged for this long is given up.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// A call.
#[derive(Clone, Debug)]
pub struct Exchange {
    to: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(HeaderName, String)>,
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
        Exchange { to, method, path: path.to_string(), headers: Vec::new(), json: None }
    }

    /// Any target but this one must refuse it.
    pub fn expecting(mut self, target: &TargetId) -> Exchange {
        self.headers.push((headers::EXPECT_INSTANCE, target.clone()));
        self
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Exchange {
        self.headers.push((HeaderName::from_static(name), value.to_string()));
        self
    }

    /// Sends a JSON text.
    pub fn with_json(mut self, json: Vec<u8>) -> Exchange {
        self.headers.push((CONTENT_TYPE, "application/json".to_string()));
        self.json = Some(json);
        self
    }

    fn into_request(self) -> http::Result<Request<Full<Bytes>>> {
        let mut request =
            Request::builder().method(self.method).uri(self.path).header(HOST, self.to.to_string());
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        request.body(Full::new(Bytes::from(self.json.unwrap_or_default())))
    }
}

/// Calls to one address, one after another on one connection for as long as it lasts.
pub struct Session {
    to: SocketAddr,
    connection: Option<Connected>,
}

struct Connected {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connected {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Session {
    /// No connection yet.
    pub fn new(to: SocketAddr) -> Session {
        Session { to, connection: None }
    }

    /// Makes a call and reads the whole answer.
    ///
    /// # Errors
    /// If there is none in time. The next call uses a new connection then.
    pub async fn fetch(
        &mut self,
        exchange: Exchange,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let connected = self.connection.take().filter(|known| known.sender.is_ready());
        let answered = tokio::time::timeout(timeout, async {
            let mut connected = match connected {
                Some(connected) => connected,
                None => connect(self.to, timeout).await?,
            };
            let answer = connected.call(exchange).await?;
            Ok::<_, CallError>((answer, connected))
        });
        let (answer, connected) = answered.await??;
        self.connection = Some(connected);
        Ok(answer)
    }
}

impl Connected {
    async fn call(&mut self, exchange: Exchange) -> Result<Answer, CallError> {
        let answer = self.sender.send_request(exchange.into_request()?).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_BODY_BYTES).collect().await?.to_bytes();
        Ok(Answer { status, body })
    }
}

/// Makes a call on a connection of its own and reads the whole answer.
///
/// # Errors
/// If there is none in time.
pub async fn fetch(exchange: Exchange, timeout: Duration) -> Result<Answer, CallError> {
    Session::new(exchange.to).fetch(exchange, timeout).await
}

async fn connect(to: SocketAddr, timeout: Duration) -> Result<Connected, CallError> {
    let stream = super::connect(to, timeout, ACK_TIMEOUT).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driving = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection_ended reason={:?}", error.to_string());
        }
    });
    Ok(Connected { sender, driver: driving.abort_handle() })
}
