//! An attempt in place of one whose target is silent. That target may be sound and go on, and the other
//! one may be silent for the same reason, so that the first is kept until the response of the other has
//! begun.

use std::rc::Rc;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use super::attempt::{AttemptError, AttemptInput, TargetResponse, attempt};
use super::request_record::RequestRecord;
use super::routed_request::RoutedRequest;
use super::state::Gateway;

/// Makes an attempt and waits until its response has begun: a stream with the first bytes of its body, as
/// a target may fall silent after the head, and any other response with its head.
///
/// # Errors
/// If no target began a response to this request.
pub async fn attempt_until_begun(
    gateway: &Rc<Gateway>,
    input: AttemptInput<'_>,
    record: &RequestRecord,
) -> Result<TargetResponse, AttemptError> {
    let mut received = attempt(gateway, input, record).await?;
    if !is_event_stream(input.routed, received.response.status()) {
        return Ok(received);
    }
    let begun = tokio::select! {
        biased;
        () = input.state.given_up() => None,
        begun = timeout_at(input.routed.deadline, read_start(received.response.body_mut())) => {
            begun.ok()
        }
    };
    match begun {
        Some(Ok(start)) => {
            received.body_start = start;
            Ok(received)
        }
        Some(Err(error)) => {
            let TargetResponse { mut responder, sent_at, .. } = received;
            let target = responder.target().cloned();
            record.responder_failed(&responder, &error.to_string());
            responder.connection_lost(gateway, input.routed);
            responder.close_broken(gateway, input.routed, sent_at, record).await;
            Err(AttemptError::MayHaveRun(target))
        }
        None => {
            record.responder_failed(&received.responder, "no event in time");
            received.responder.failed(gateway);
            Err(AttemptError::TimedOut(received.responder.target().cloned()))
        }
    }
}

/// Whether a response with this status is relayed event by event.
pub fn is_event_stream(routed: &RoutedRequest, status: StatusCode) -> bool {
    routed.route.policy.is_stream() && status == StatusCode::OK
}

/// Reads the first bytes of a body; `None` if it is empty.
async fn read_start(body: &mut Incoming) -> Result<Option<Bytes>, hyper::Error> {
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if !data.is_empty() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
