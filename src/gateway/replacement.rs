//! Attempts whose response has begun. A target may fall silent before that, and be sound all the same: the
//! entry then asks another one, and relays the response that begins first.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use super::attempt::{AttemptError, AttemptInput, TargetResponse, attempt};
use super::events::{EventDetector, MAX_EVENT_BYTES};
use super::relay_source::{BreakCause, Source, end_source};
use super::request_record::RequestRecord;
use super::responder::Framing;
use super::state::Gateway;

/// How a response begins.
enum Start {
    /// With the first events of a stream, or with a whole body; `None` if there is none, or it is long.
    Read(Option<Bytes>),
    Broken(String),
    /// The connection to the target broke.
    Lost(String),
}

/// Makes an attempt and waits until its response has begun: a stream with its first event, as a target may
/// fall silent after the head; a short body of a replacement with its end; any other response with its head.
///
/// # Errors
/// If no target began a response to this request.
pub async fn attempt_until_begun(
    gateway: &Rc<Gateway>,
    input: AttemptInput<'_>,
    record: &RequestRecord,
) -> Result<TargetResponse, AttemptError> {
    let mut received = attempt(gateway, input, record).await?;
    let deadline = input.routed.deadline;
    let start = tokio::select! {
        biased;
        () = input.state.given_up() => None,
        start = timeout_at(deadline, read_start(gateway, input, &mut received)) => start.ok(),
    };
    let (reason, cause) = match start {
        Some(Start::Read(read)) => {
            received.body_read = read;
            return Ok(received);
        }
        Some(Start::Broken(reason)) => (reason, BreakCause::Failure),
        Some(Start::Lost(reason)) => (reason, BreakCause::Connection),
        None => {
            record.responder_failed(&received.responder, "no answer in time");
            received.responder.failed(gateway);
            return Err(AttemptError::TimedOut(received.responder.target().cloned()));
        }
    };
    let target = received.responder.target().cloned();
    let source = Some(Source::new(received));
    end_source(gateway, input.routed, record, source, &reason, cause).await;
    Err(AttemptError::MayHaveRun(target))
}

async fn read_start(
    gateway: &Gateway,
    input: AttemptInput<'_>,
    received: &mut TargetResponse,
) -> Start {
    let status = received.response.status();
    if input.routed.has_event_stream(status) {
        let framing = Framing::of(&received.response);
        return read_first_events(received.response.body_mut(), framing).await;
    }
    if input.replaces.is_none() || !status.is_success() {
        return Start::Read(None);
    }
    match received.read_short_body(gateway, input.routed.deadline).await {
        Some(Ok(body)) => Start::Read(Some(body)),
        Some(Err(error)) => Start::Lost(error.to_string()),
        None => Start::Read(None),
    }
}

/// Reads a stream until its first event is complete.
async fn read_first_events(body: &mut Incoming, framing: Framing) -> Start {
    let mut read = BytesMut::new();
    let mut detector = EventDetector::default();
    while !detector.has_event(&read) && read.len() <= MAX_EVENT_BYTES {
        match body.frame().await {
            Some(Ok(frame)) => read.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Some(Err(error)) => return Start::Lost(error.to_string()),
            None if read.is_empty() && framing == Framing::Marked => return Start::Read(None),
            None => return Start::Broken("it ends before its first event".to_string()),
        }
    }
    Start::Read(Some(read.freeze()))
}
