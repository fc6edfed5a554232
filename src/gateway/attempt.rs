//! A single attempt: sends a request to one target and waits for the head of the response.

use std::fmt;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::attempts::Attempts;
use super::buffered_body;
use super::forwarding;
use super::handover::{AttemptState, Recipient};
use super::in_flight::InFlightRequest;
use super::metadata::{ForwardingMetadata, PartTransfers, ResponseMetadata};
use super::pool::{Connection, SendOutcome};
use super::request_record::RequestRecord;
use super::responder::Responder;
use super::response::RelayError;
use super::routed_request::{Origin, RoutedRequest};
use super::state::Gateway;
use super::target_selection::{self, NoTarget, SelectedTarget};
use super::termination;
use crate::clock::{BootTime, boot_now};
use crate::fleet::Listed;
use crate::fleet::placement::SelectionError;
use crate::ids::{SoftwareVersion, TargetStart};
use crate::net;
use crate::platform::headers;
use crate::scheduler::EndReason;
use crate::telemetry::logs::or_dash;

/// Connections that one attempt may try. A target that could not be reached has run nothing.
const MAX_CONNECT_ATTEMPTS: usize = 4;
/// A request with less time left than this is not sent.
pub const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// A response whose head has been received.
pub struct TargetResponse {
    /// Who sent it.
    pub responder: Responder,
    /// The software version of the target that wrote it.
    pub software: SoftwareVersion,
    /// The head, with the body still to be read.
    pub response: Response<Incoming>,
    /// What has been read of the body: the first events of a stream, or else a whole body.
    pub body_read: Option<Bytes>,
    /// Metadata from the headers.
    pub response_metadata: ResponseMetadata,
    /// The connection, which returns to the pool after the body has been read.
    pub connection: Connection,
    /// When the request was sent.
    pub sent_at: BootTime,
}

impl TargetResponse {
    /// Reads a whole body that is short, or takes the one that has been read. Returns `None` if it is to
    /// be streamed.
    pub async fn read_short_body(
        &mut self,
        gateway: &Gateway,
        deadline: Instant,
    ) -> Option<Result<Bytes, RelayError>> {
        if let Some(body) = self.body_read.take() {
            return Some(Ok(body));
        }
        let body = self.response.body_mut();
        let reservation = buffered_body::reserve(body, &gateway.body_memory)?;
        Some(buffered_body::read(body, deadline).await.map(|body| reservation.hold(body)))
    }
}

/// Why an attempt has no response to relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// No target can take the request now.
    NoTarget(NoTarget),
    /// The target did not run the request.
    NotRun(Option<TargetStart>),
    /// The target failed and may have run the request. The target is unknown if another entry was
    /// lost.
    MayHaveRun(Option<TargetStart>),
    /// The request is quarantined for this much longer.
    Held(Duration),
    /// The deadline passed before the request was sent.
    TooLate,
    /// No response arrived in time. The target may have run the request.
    TimedOut(Option<TargetStart>),
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptError::NoTarget(why) => write!(f, "{why}"),
            AttemptError::NotRun(target) => {
                write!(f, "not_run target={}", or_dash(target.as_ref()))
            }
            AttemptError::MayHaveRun(target) => {
                write!(f, "may_have_run target={}", or_dash(target.as_ref()))
            }
            AttemptError::Held(remaining) => {
                write!(f, "held retry_after_ms={}", remaining.as_millis())
            }
            AttemptError::TooLate => f.write_str("too_late"),
            AttemptError::TimedOut(target) => {
                write!(f, "timed_out target={}", or_dash(target.as_ref()))
            }
        }
    }
}

/// What an attempt is made for.
#[derive(Clone, Copy)]
pub struct AttemptInput<'a> {
    pub routed: &'a RoutedRequest,
    /// The attempts made before.
    pub attempts: &'a Attempts,
    /// Id of the last event that the caller has received.
    pub resume_after: Option<&'a str>,
    /// Who runs the request while this attempt is prepared in its place.
    pub replaces: Option<&'a Recipient>,
    /// How far this attempt has come.
    pub state: &'a AttemptState,
}

impl AttemptInput<'_> {
    /// Sends the request and waits for the head of the response. Returns `None` at the deadline, or
    /// once the attempt is given up.
    pub async fn send(
        &self,
        recipient: Recipient,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Option<SendOutcome> {
        self.state.mark_sent(recipient);
        tokio::select! {
            biased;
            () = self.state.given_up() => None,
            sent = timeout_at(self.routed.deadline, connection.send(request)) => sent.ok(),
        }
    }
}

/// Sends a request to the best target and waits for the head of the response. Another entry sends it
/// if this one can't reach targets.
///
/// # Errors
/// If no target returned a response to this request.
pub async fn attempt(
    gateway: &Rc<Gateway>,
    input: AttemptInput<'_>,
    record: &RequestRecord,
) -> Result<TargetResponse, AttemptError> {
    let service = &input.routed.service;
    if input.routed.origin == Origin::Entry {
        return attempt_directly(gateway, input, record).await;
    }
    let lacks_path = gateway.lacks_path(service);
    if lacks_path && input.replaces == Some(&Recipient::Entry) {
        // It is not known which target runs the request there, so that another entry might choose the same.
        return Err(AttemptError::NoTarget(NoTarget::Selection(SelectionError::NoHealthyTarget)));
    }
    if lacks_path && let Some(made) = forwarding::forward(gateway, input, record).await {
        return made;
    }
    let made = attempt_directly(gateway, input, record).await;
    let is_unreachable = || gateway.fleet.borrow().unreachable_count(service) > 0;
    match made {
        Err(AttemptError::NoTarget(_)) if input.replaces.is_none() && is_unreachable() => {
            forwarding::forward(gateway, input, record).await.unwrap_or(made)
        }
        made => made,
    }
}

/// Sends a request to the best target that accepts a connection and waits for the head of the
/// response.
async fn attempt_directly(
    gateway: &Rc<Gateway>,
    input: AttemptInput<'_>,
    record: &RequestRecord,
) -> Result<TargetResponse, AttemptError> {
    let routed = input.routed;
    let mut avoid = input.attempts.targets().to_vec();
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        if let Some(left) = held_for(gateway, routed, record) {
            return Err(AttemptError::Held(left));
        }
        let selected = target_selection::select_target(gateway, routed, &avoid)
            .await
            .map_err(AttemptError::NoTarget)?;
        let target = selected.target.clone();
        let ticket = selected.placed.as_ref().map(|placed| placed.ticket);
        let mut in_flight =
            InFlightRequest::new(gateway, &target, ticket, routed.metadata.prompt.as_ref());
        in_flight.set_end(EndReason::NotRun);
        let mut connection = match connect(gateway, routed, &target, record).await {
            Ok(connection) => connection,
            Err(end) => {
                in_flight.set_end(end);
                avoid.push(target);
                if gateway.lacks_path(&routed.service) && forwarding::is_possible(gateway, routed) {
                    break;
                }
                continue;
            }
        };
        // The target may have started to leave since the scheduler chose it, and while the
        // connection was opened.
        if !gateway.fleet.borrow().takes_work(&target) {
            record.attempt_failed(&target, "it takes no new work");
            in_flight.set_end(EndReason::NotRun);
            avoid.push(target);
            continue;
        }
        // The placement may have become outdated while this task or the connection was delayed.
        if !target_selection::may_start_on_weights(gateway, routed, &selected) {
            record.attempt_failed(&target, "its weights must be replaced by now");
            in_flight.set_end(EndReason::NotRun);
            gateway.return_connection(&target, connection);
            avoid.push(target);
            continue;
        }
        // The request may have been quarantined while it waited for its placement.
        if let Some(left) = held_for(gateway, routed, record) {
            in_flight.set_end(EndReason::NotRun);
            gateway.return_connection(&target, connection);
            return Err(AttemptError::Held(left));
        }
        record.target_selected(&selected, connection.is_reused);
        let time_left = routed.deadline.saturating_duration_since(Instant::now());
        if time_left < MIN_TIME_LEFT {
            return Err(AttemptError::TooLate);
        }
        let request = build_request(routed, &selected, time_left, input.resume_after);
        let sent_at = boot_now();
        in_flight.set_end(EndReason::Cancelled);
        let recipient = Recipient::Target(target.clone());
        let response = match input.send(recipient, &mut connection, request).await {
            Some(SendOutcome::Response(response)) => response,
            Some(SendOutcome::NotSent(reason)) => {
                record.attempt_failed(&target, &reason);
                in_flight.set_end(EndReason::NotRun);
                continue;
            }
            Some(SendOutcome::Broken(reason)) => {
                record.attempt_failed(&target, &reason);
                let mut responder = Responder::Target { target: target.clone(), in_flight };
                responder.connection_lost(gateway, routed);
                responder.close_broken(gateway, routed, sent_at, record).await;
                return Err(AttemptError::MayHaveRun(Some(target)));
            }
            None => {
                record.attempt_failed(&target, "no answer in time");
                let mut responder = Responder::Target { target: target.clone(), in_flight };
                responder.failed(gateway);
                return Err(AttemptError::TimedOut(Some(target)));
            }
        };
        gateway.target_reached(&routed.service);
        let response_metadata = headers::decode_response(response.headers());
        let responder = Responder::Target { target, in_flight };
        let software = selected.software;
        let received = TargetResponse {
            responder,
            software,
            response,
            body_read: None,
            response_metadata,
            connection,
            sent_at,
        };
        return check_response(gateway, routed, received, record);
    }
    Err(AttemptError::NoTarget(NoTarget::Selection(SelectionError::NoHealthyTarget)))
}

/// How long the request remains quarantined; `None` if it is not.
pub fn held_for(
    gateway: &Gateway,
    routed: &RoutedRequest,
    record: &RequestRecord,
) -> Option<Duration> {
    let hold = gateway.hold(routed)?;
    record.set_fingerprint(hold.fingerprint);
    if let Some(part) = routed.part_with(hold.fingerprint) {
        record.set_held_part(part);
    }
    Some(hold.left)
}

/// Takes or opens a connection to a target.
///
/// # Errors
/// How the request ends at the target, if that can't be reached.
async fn connect(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    target: &TargetStart,
    record: &RequestRecord,
) -> Result<Connection, EndReason> {
    let idle_lost = gateway.pool.remove_lost(target);
    if let Some(connection) = gateway.pool.take_idle(target) {
        return Ok(connection);
    }
    let listed = gateway.fleet.borrow().get(target).map(|state| state.listed.clone());
    let Listed { address, failure_domain, .. } = listed.ok_or(EndReason::NotRun)?;
    let opened_at = Instant::now();
    let error = match timeout_at(routed.deadline, gateway.connections.connect(address)).await {
        Ok(Ok(connection)) => {
            gateway.target_reached(&routed.service);
            gateway.locality.borrow_mut().observe_opening(&failure_domain, opened_at.elapsed());
            if idle_lost {
                gateway.idle_connections_lost(target);
            }
            return Ok(connection);
        }
        Ok(Err(error)) => error,
        Err(_) => return Err(EndReason::NotRun),
    };
    record.attempt_failed(target, &error.to_string());
    if net::lacks_local_resources(&error) {
        return Err(EndReason::NotRun);
    }
    if !gateway.target_unreached(&routed.service, target) {
        gateway.fleet.borrow_mut().path_failed(target, boot_now());
        return Err(EndReason::NotRun);
    }
    gateway.fleet.borrow_mut().unreachable(target, boot_now());
    if error.kind() == ErrorKind::ConnectionRefused {
        let (gateway, target) = (gateway.clone(), target.clone());
        tokio::task::spawn_local(async move {
            termination::observe_refusal(&gateway, &target).await;
        });
    }
    Err(EndReason::Unreachable)
}

fn build_request(
    routed: &RoutedRequest,
    selected: &SelectedTarget,
    time_left: Duration,
    resume_after: Option<&str>,
) -> Request<Full<Bytes>> {
    let placed = selected.placed.as_ref();
    let salt =
        || placed.map_or_else(|| routed.cache_namespace.clone(), |placed| placed.salt.clone());
    let forwarded = ForwardingMetadata {
        target: &selected.target.id,
        account: routed.account.as_ref(),
        time_left,
        priority: routed.metadata.prompt.is_some().then_some(routed.priority.engine_level()),
        cache_salt: routed.metadata.prompt.is_some().then(salt),
        resume_after,
        weight_version: selected.weight_version,
        transfers: placed.map(|placed| PartTransfers {
            fetch: &placed.fetch,
            save: &placed.save,
            fetch_until_ms: placed.fetch_until_ms,
        }),
    };
    let mut request = Request::new(Full::new(routed.body.clone()));
    *request.method_mut() = routed.method.clone();
    *request.uri_mut() = routed.uri.clone();
    *request.headers_mut() = headers::request_for_target(&routed.headers, &forwarded);
    request
}

/// Whether callers take a status for a promise that the request has not run and never will. Only a
/// target that marks its response as not run has proven that.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Why a response does not belong to the request with this id; `None` if it does. A success must name the request
/// and be signed by its target. A failure may come from a proxy, which does neither.
fn foreign(
    status: StatusCode,
    metadata: &ResponseMetadata,
    request_id: &str,
) -> Option<&'static str> {
    match &metadata.request_id {
        Some(id) if id != request_id => Some("answer to another request"),
        _ if status.is_client_error() || status.is_server_error() => None,
        None if !request_id.is_empty() => Some("an answer without a request id"),
        _ if !metadata.is_signed => Some("an answer without a signature"),
        _ => None,
    }
}

/// Separates responses to this request from refusals and from responses to other requests.
fn check_response(
    gateway: &Gateway,
    routed: &RoutedRequest,
    mut received: TargetResponse,
    record: &RequestRecord,
) -> Result<TargetResponse, AttemptError> {
    let now = boot_now();
    let TargetResponse { responder, response, response_metadata, sent_at, .. } = &mut received;
    let Responder::Target { target, in_flight } = responder else { return Ok(received) };
    record.response_received(response_metadata);
    if let Some(reason) = foreign(response.status(), response_metadata, &routed.metadata.id) {
        // The connection is out of step with its requests and must not be reused.
        record.attempt_failed(target, reason);
        gateway.metrics.foreign_responses.add(1, &[]);
        log::warn!(
            "event=foreign_response target={target} status={} reason={reason:?}",
            response.status().as_u16()
        );
        in_flight.set_end(EndReason::Failed);
        return Err(AttemptError::MayHaveRun(Some(target.clone())));
    }
    gateway.observe_load(target, response_metadata, now);
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        record.attempt_failed(target, "another target or other weights");
        let is_replaced = response_metadata.answered_by.as_ref().is_some_and(|id| *id != target.id);
        if is_replaced {
            gateway.fleet.borrow_mut().replaced(target);
            termination::record_termination(
                gateway,
                target,
                "another target answers at its address",
            );
            in_flight.set_end(EndReason::Replaced);
        } else {
            if let Some(prompt) = &routed.metadata.prompt {
                let has = response_metadata.weight_version;
                gateway.fleet.borrow_mut().refused_weights(target, &prompt.model, has);
            }
            in_flight.set_end(EndReason::WeightMismatch(response_metadata.weight_version));
        }
        return Err(AttemptError::NotRun(Some(target.clone())));
    }
    if let (Some(prompt), Some(version)) =
        (&routed.metadata.prompt, response_metadata.weight_version)
    {
        gateway.fleet.borrow_mut().observe_weights(target, &prompt.model, version);
    }
    gateway.observe_limit(target, response_metadata.rate_limit, *sent_at);
    gateway.observe_brittleness(target, response_metadata.rejection_limit, *sent_at);
    if response_metadata.did_not_run {
        record.attempt_failed(target, &format!("not run, status {}", response.status().as_u16()));
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            gateway.observe_rejection(target);
            in_flight.set_end(EndReason::Rejected);
        } else {
            in_flight.set_end(EndReason::NotRun);
        }
        let target = target.clone();
        if !response_metadata.closes {
            gateway.return_connection(&target, received.connection);
        }
        return Err(AttemptError::NotRun(Some(target)));
    }
    let is_unproven_promise = promises_not_run(response.status());
    if is_unproven_promise || response.status().is_server_error() {
        responder.failed(gateway);
    }
    if is_unproven_promise {
        record.responder_failed(responder, "a promise of not run without proof");
        return Err(AttemptError::MayHaveRun(responder.target().cloned()));
    }
    Ok(received)
}
