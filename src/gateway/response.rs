//! Responses to callers: relayed ones, and those of the entry itself.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::LocalBoxStream;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::Frame;

use crate::platform::headers;

/// Why a relayed body was cut short. The connection to the caller is then closed, so that the
/// caller does not take the body for complete.
pub type RelayError = Box<dyn std::error::Error + Send + Sync>;
/// A relayed body as a stream of frames.
pub type BodyStream = LocalBoxStream<'static, Result<Frame<Bytes>, RelayError>>;
/// The body of a response to a caller.
pub type ResponseBody = Either<
    http_body_util::combinators::MapErr<Full<Bytes>, fn(Infallible) -> RelayError>,
    StreamBody<BodyStream>,
>;
/// A response to a caller.
pub type GatewayResponse = Response<ResponseBody>;

/// Why the entry itself responds instead of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No route matches the host and path of the request.
    NoRoute,
    /// The route requires a key, and no account has this one.
    UnknownKey,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body could not be read.
    Malformed,
    /// The body was not complete by the deadline. The request has not run.
    BodyTooLate,
    /// The entry closes its connections and does not wait for the rest of the body. The request has
    /// not run.
    ShuttingDown,
    /// The entry holds too many other bodies. The request has not run.
    OutOfMemory,
    /// The entry knows no deployment yet.
    NotReady,
    /// The known deployment rejects the request, but no replica has confirmed that it is the
    /// newest. The request has not run.
    Unconfirmed,
    /// No target is available. The request has not run.
    NoTarget,
    /// The software version is unknown that began the stream which the request takes up. The request
    /// has not run.
    UnknownStream,
    /// No target runs the software version any more that began the stream which the request takes up. The
    /// request has not run, and no later one can.
    SoftwareGone,
    /// All available targets run weights that are no longer allowed. The request has not run.
    OldWeights,
    /// No target will have capacity in time. The request has not run and may be retried after this
    /// time.
    Busy(Duration),
    /// All available targets limit their rate. The request has not run and may be retried after this
    /// time.
    Limited(Duration),
    /// The request is quarantined because several targets terminated while they ran it. It has not
    /// run now, and may be retried after this time.
    Held(Duration),
    /// The deadline passed before the request was sent. It has not run.
    TooLate,
    /// The target failed. The request may have run.
    Broken,
    /// No response arrived in time. The request may have run.
    TimedOut,
}

impl Refusal {
    /// The HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::BodyTooLate => StatusCode::REQUEST_TIMEOUT,
            Refusal::NotReady
            | Refusal::ShuttingDown
            | Refusal::OutOfMemory
            | Refusal::Unconfirmed
            | Refusal::NoTarget
            | Refusal::UnknownStream
            | Refusal::SoftwareGone
            | Refusal::OldWeights
            | Refusal::Busy(_)
            | Refusal::Limited(_)
            | Refusal::Held(_)
            | Refusal::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Broken => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::BodyTooLarge => "body_too_large",
            Refusal::Malformed => "malformed",
            Refusal::BodyTooLate => "body_too_late",
            Refusal::ShuttingDown => "shutting_down",
            Refusal::OutOfMemory => "out_of_memory",
            Refusal::NotReady => "not_ready",
            Refusal::Unconfirmed => "unconfirmed",
            Refusal::NoTarget => "no_target",
            Refusal::UnknownStream => "unknown_stream",
            Refusal::SoftwareGone => "software_gone",
            Refusal::OldWeights => "old_weights",
            Refusal::Busy(_) => "busy",
            Refusal::Limited(_) => "limited",
            Refusal::Held(_) => "held",
            Refusal::TooLate => "too_late",
            Refusal::Broken => "broken",
            Refusal::TimedOut => "timed_out",
        }
    }

    fn message(self) -> &'static str {
        match self {
            Refusal::NoRoute => "no route has this host and path",
            Refusal::UnknownKey => "give the key of an account",
            Refusal::BodyTooLarge => "the body is longer than allowed; send less",
            Refusal::Malformed => "the request can't be read; send it whole",
            Refusal::BodyTooLate => {
                "not run: the body was incomplete at the deadline; send it sooner"
            }
            Refusal::ShuttingDown => "not run: this entry shuts down; ask another one",
            Refusal::OutOfMemory => {
                "not run: this entry holds too many long bodies; come back or ask another one"
            }
            Refusal::NotReady => "not run: this entry has just started; come back",
            Refusal::Unconfirmed => "not run: this entry may lack a change; ask another one",
            Refusal::NoTarget => "not run: no target can take it now; come back",
            Refusal::UnknownStream => {
                "not run: it is not known which software began the stream; ask another entry"
            }
            Refusal::SoftwareGone => {
                "not run: no target runs the software that began the stream; begin it anew"
            }
            Refusal::OldWeights => "not run: no target runs the newest weights yet; come back",
            Refusal::Limited(_) => "not run: targets limit their requests now; come back",
            Refusal::Busy(_) | Refusal::TooLate => "not run: no target was free in time; come back",
            Refusal::Held(_) => "not run: targets have ended under this request; come back later",
            Refusal::Broken => "it may have run: the target broke off",
            Refusal::TimedOut => "it may have run: no answer came in time",
        }
    }

    /// Whether the caller may retry the same request.
    fn is_retryable(self) -> bool {
        self.status() == StatusCode::SERVICE_UNAVAILABLE && self != Refusal::SoftwareGone
    }
}

/// Builds the response for a refusal.
pub fn refusal_response(refusal: Refusal, id: &str, retry_after: Duration) -> GatewayResponse {
    let mut response = Response::new(full_body(Bytes::from_static(refusal.message().as_bytes())));
    *response.status_mut() = refusal.status();
    let values = response.headers_mut();
    values.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    headers::set_request_id(values, id);
    if refusal.is_retryable() {
        headers::set_retry_after(values, retry_after);
    }
    response
}

/// A body that is in memory.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    let never: fn(Infallible) -> RelayError = |never| match never {};
    Either::Left(Full::new(bytes).map_err(never))
}

/// A body that is streamed.
pub fn stream_body(
    frames: impl futures::Stream<Item = Result<Frame<Bytes>, RelayError>> + 'static,
) -> ResponseBody {
    let frames = frames.then(|frame| async {
        if frame.is_err() {
            // An error drops what hyper has not written yet, which may include the head.
            tokio::task::yield_now().await;
        }
        frame
    });
    Either::Right(StreamBody::new(frames.boxed_local()))
}
