//! HTTP calls of this system itself to the platform, engines and stores.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderName, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::task::AbortHandle;

use super::response_head;
use crate::ids::TargetId;
use crate::platform::headers;

/// Largest response body, unless the call allows a longer one. A faulty peer may send without end, and many may do so
/// at once.
const MAX_BODY_BYTES: usize = 256 << 10;
/// Bodies of long lists. The inventory of a store with tens of thousands of parts fits.
const MAX_LIST_BYTES: usize = 8 << 20;
/// A connection fails once sent data stays unacknowledged for this long.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Formats the status of an answer, or why there is none, for a log line.
pub fn shown_status(status: &Result<StatusCode, &CallError>) -> String {
    match status {
        Ok(status) => status.as_u16().to_string(),
        Err(error) => format!("- reason={:?}", error.to_string()),
    }
}

/// An HTTP request to an address.
#[derive(Clone, Debug)]
pub struct HttpCall {
    to: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(HeaderName, String)>,
    json: Option<Vec<u8>>,
    max_body_bytes: usize,
}

/// The response to an `HttpCall`.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: StatusCode,
    /// The complete body.
    pub body: Bytes,
}

/// Why a call got no response.
pub type CallError = Box<dyn std::error::Error + Send + Sync>;

impl HttpCall {
    /// Creates a call without a body.
    pub fn new(to: SocketAddr, method: Method, path: &str) -> HttpCall {
        HttpCall {
            to,
            method,
            path: path.to_string(),
            headers: Vec::new(),
            json: None,
            max_body_bytes: MAX_BODY_BYTES,
        }
    }

    /// Makes every target but this one refuse the call.
    pub fn with_expected_target(mut self, target: &TargetId) -> HttpCall {
        self.headers.push((headers::EXPECT_INSTANCE, target.clone()));
        self
    }

    /// Allows a response as long as that of a list.
    pub fn with_long_response(mut self) -> HttpCall {
        self.max_body_bytes = MAX_LIST_BYTES;
        self
    }

    pub fn with_header(mut self, name: &'static str, value: &str) -> HttpCall {
        self.headers.push((HeaderName::from_static(name), value.to_string()));
        self
    }

    pub fn with_json(mut self, json: Vec<u8>) -> HttpCall {
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

/// Makes calls to one address, one after the other, and reuses the connection while it is open.
pub struct Session {
    to: SocketAddr,
    connection: Option<Connection>,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Session {
    /// Creates a session without a connection.
    pub fn new(to: SocketAddr) -> Session {
        Session { to, connection: None }
    }

    /// Makes a call and reads the complete response.
    ///
    /// # Errors
    /// If the call fails or times out. The next call uses a new connection then.
    pub async fn fetch(
        &mut self,
        call: HttpCall,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let connection = self.connection.take().filter(|open| open.sender.is_ready());
        let result = tokio::time::timeout(timeout, async {
            let mut connection = match connection {
                Some(connection) => connection,
                None => connect(self.to, timeout).await?,
            };
            let response = connection.call(call).await?;
            Ok::<_, CallError>((response, connection))
        });
        let (response, connection) = result.await??;
        self.connection = Some(connection);
        Ok(response)
    }
}

impl Connection {
    async fn call(&mut self, call: HttpCall) -> Result<HttpResponse, CallError> {
        let max_body_bytes = call.max_body_bytes;
        let response = self.sender.send_request(call.into_request()?).await?;
        let status = response.status();
        response_head::check(status, response.headers())?;
        let body = Limited::new(response.into_body(), max_body_bytes).collect().await?.to_bytes();
        Ok(HttpResponse { status, body })
    }
}

/// Makes a call on a new connection and reads the complete response.
///
/// # Errors
/// If the call fails or times out.
pub async fn fetch(call: HttpCall, timeout: Duration) -> Result<HttpResponse, CallError> {
    Session::new(call.to).fetch(call, timeout).await
}

async fn connect(to: SocketAddr, timeout: Duration) -> Result<Connection, CallError> {
    let stream = super::connect(to, timeout, ACK_TIMEOUT).await?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("event=connection_ended reason={:?}", error.to_string());
        }
    });
    Ok(Connection { sender, driver: driver.abort_handle() })
}
