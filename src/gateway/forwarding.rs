//! Forwards attempts to other entries while this one can't reach targets, and makes attempts for
//! others.
//!
//! The entry that the caller is connected to makes all decisions: it routes the request, counts its
//! attempts, takes retries from its budget and resumes streams. The other entry makes one attempt at
//! one target, relays the response, and never forwards again.

use std::cell::OnceCell;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderMap, HeaderName, HeaderValue, Request};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::attempt::{self, AttemptError, AttemptInput, TargetResponse};
use super::attempts::Attempts;
use super::handover::{AttemptState, Recipient};
use super::pool::{Connection, SendOutcome};
use super::priority::Priority;
use super::request::{self, read_body};
use super::request_record::{Outcome, RequestRecord};
use super::responder::{ForwardedRequest, Responder};
use super::response::{GatewayResponse, Refusal, full_body};
use super::routed_request::{Origin, RoutedRequest};
use super::state::Gateway;
use super::target_selection::{self, NoTarget};
use crate::clock::boot_now;
use crate::deployment::Route;
use crate::fleet::placement::SelectionError;
use crate::fleet::regions::AllowedDomains;
use crate::ids::{AccountId, DomainId, ServiceId, SoftwareVersion, TargetStart};
use crate::net;
use crate::net::request_body::RequestBody;
use crate::platform::headers;
use crate::telemetry::logs::or_dash;

/// Other entries that are asked for one attempt.
const MAX_ENTRIES_ASKED: usize = 3;
/// What the head of a forwarded request may have in addition to that of the caller's request.
pub const MAX_ATTEMPT_BYTES: usize = 32 << 10;
/// How long the rest of a request that is refused is read, so that its connection can be used again.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Describes the attempt, in a request to another entry.
const ATTEMPT: HeaderName = HeaderName::from_static("kumquatpost-attempt");
/// Describes how the attempt went, in its response.
const RESULT: HeaderName = HeaderName::from_static("kumquatpost-result");

/// What the other entry needs to know beside the caller's request.
#[derive(Debug, Serialize, Deserialize)]
struct ForwardedAttempt {
    route: Route,
    service: ServiceId,
    /// The software version that began the stream, if the attempt is to go on with one.
    software: Option<SoftwareVersion>,
    account: Option<AccountId>,
    allowed_domains: AllowedDomains,
    cache_namespace: String,
    priority: Priority,
    /// Targets that must not be tried again.
    tried: Vec<TargetStart>,
    /// Id of the last event that the caller has received.
    resume_after: Option<String>,
    /// Time since the request arrived.
    elapsed: Duration,
}

/// How a forwarded attempt went.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ForwardedResult {
    /// The response is that of this target.
    Relayed {
        target: TargetStart,
        software: SoftwareVersion,
    },
    /// The entry stops and takes no attempts.
    NotAccepted,
    /// The entry could not read the request.
    NotRead,
    /// The entry has no memory for the body, or its deployment allows shorter ones only.
    BodyNotTaken,
    /// The entry found no target.
    NoTarget,
    OldWeights,
    Busy(Duration),
    Limited(Duration),
    Held(Duration),
    TooLate,
    /// The target did not run the request.
    NotRun(Option<TargetStart>),
    /// The target may have run the request.
    MayHaveRun(Option<TargetStart>),
    /// The same, as its response did not begin in time.
    TimedOut(Option<TargetStart>),
}

/// For the log of the entry that asked.
impl fmt::Display for ForwardedResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = |target: &Option<TargetStart>| or_dash(target.as_ref());
        match self {
            ForwardedResult::Relayed { target, .. } => write!(f, "relayed by {target}"),
            ForwardedResult::NotAccepted => f.write_str("not accepted"),
            ForwardedResult::NotRead => f.write_str("not read"),
            ForwardedResult::BodyNotTaken => f.write_str("body not taken"),
            ForwardedResult::NoTarget => f.write_str("no target"),
            ForwardedResult::OldWeights => f.write_str("old weights"),
            ForwardedResult::Busy(after) => write!(f, "busy for {} ms", after.as_millis()),
            ForwardedResult::Limited(after) => write!(f, "limited for {} ms", after.as_millis()),
            ForwardedResult::Held(after) => write!(f, "held for {} ms", after.as_millis()),
            ForwardedResult::TooLate => f.write_str("too late"),
            ForwardedResult::NotRun(target) => write!(f, "not run by {}", shown(target)),
            ForwardedResult::MayHaveRun(target) => {
                write!(f, "may have run at {}", shown(target))
            }
            ForwardedResult::TimedOut(target) => write!(f, "timed out at {}", shown(target)),
        }
    }
}

/// Makes an attempt through another entry. Returns `None` if no entry takes it; nothing has been sent
/// to a target then.
pub async fn forward(
    gateway: &Rc<Gateway>,
    input: AttemptInput<'_>,
    record: &RequestRecord,
) -> Option<Result<TargetResponse, AttemptError>> {
    let mut asked = Vec::new();
    while asked.len() < MAX_ENTRIES_ASKED {
        if let Some(left) = attempt::held_for(gateway, input.routed, record) {
            return Some(Err(AttemptError::Held(left)));
        }
        let ip = choose_entry(gateway, input.routed, &asked)?;
        asked.push(ip);
        if let Some(made) = ask_entry(gateway, ip, input, record).await {
            return Some(made);
        }
    }
    None
}

/// Lets one entry make the attempt. Returns `None` if another one may be asked.
async fn ask_entry(
    gateway: &Rc<Gateway>,
    ip: IpAddr,
    input: AttemptInput<'_>,
    record: &RequestRecord,
) -> Option<Result<TargetResponse, AttemptError>> {
    let routed = input.routed;
    let mut connection = connect(gateway, ip, routed.deadline, record).await?;
    let mut forwarded = ForwardedRequest::new(gateway, ip);
    let time_left = routed.deadline.saturating_duration_since(Instant::now());
    if time_left < attempt::MIN_TIME_LEFT {
        return Some(Err(AttemptError::TooLate));
    }
    let request = build_request(input, time_left)?;
    let domain = gateway.peers.borrow().domain(ip).cloned().unwrap_or_default();
    record.forwarded(ip, connection.is_reused, gateway.route_to(&domain, routed));
    let sent_at = boot_now();
    let mut response = match input.send(Recipient::Entry, &mut connection, request).await {
        Some(SendOutcome::Response(response)) => response,
        Some(SendOutcome::NotSent(reason)) => {
            record.entry_failed(ip, &reason);
            return None;
        }
        Some(SendOutcome::Broken(reason)) => {
            record.entry_failed(ip, &reason);
            gateway.peers.borrow_mut().unreachable(ip, boot_now());
            return Some(Err(AttemptError::MayHaveRun(None)));
        }
        None => {
            record.entry_failed(ip, "no answer in time");
            gateway.peers.borrow_mut().failed(ip, boot_now());
            return Some(Err(AttemptError::TimedOut(None)));
        }
    };
    let Some(result) = decode_result(response.headers_mut()) else {
        record.entry_failed(ip, "not the response of an entry");
        gateway.peers.borrow_mut().unreachable(ip, boot_now());
        return Some(Err(AttemptError::MayHaveRun(None)));
    };
    let (target, software) = match result {
        ForwardedResult::Relayed { target, software } => (target, software),
        refused => {
            record.entry_failed(ip, &refused.to_string());
            gateway.peer_pool.put_idle(&ip, connection);
            return refused_attempt(gateway, routed, ip, refused).map(Err);
        }
    };
    gateway.peers.borrow_mut().succeeded(ip);
    let response_metadata = headers::decode_response(response.headers());
    record.response_received(&response_metadata);
    forwarded.target = Some(target);
    let responder = Responder::Entry(forwarded);
    Some(Ok(TargetResponse {
        responder,
        software,
        response,
        body_read: None,
        response_metadata,
        connection,
        sent_at,
    }))
}

/// Whether an entry is known that may take an attempt.
pub fn is_possible(gateway: &Gateway, routed: &RoutedRequest) -> bool {
    routed.origin == Origin::Caller && choose_entry(gateway, routed, &[]).is_some()
}

fn choose_entry(gateway: &Gateway, routed: &RoutedRequest, asked: &[IpAddr]) -> Option<IpAddr> {
    let peers = gateway.peers.borrow();
    let locality = gateway.locality.borrow();
    let crossing_ms =
        |domain: &DomainId| locality.cost_ms(domain, target_selection::expected_bytes(routed));
    let allowed = &routed.allowed_domains;
    peers.choose(&routed.service, allowed, asked, routed.tie_breaker, crossing_ms, boot_now())
}

async fn connect(
    gateway: &Gateway,
    ip: IpAddr,
    deadline: Instant,
    record: &RequestRecord,
) -> Option<Connection> {
    if let Some(connection) = gateway.peer_pool.take_idle(&ip) {
        return Some(connection);
    }
    let address = SocketAddr::new(ip, gateway.host.peer_port);
    let opened_at = Instant::now();
    match timeout_at(deadline, gateway.connections.connect(address)).await {
        Ok(Ok(connection)) => {
            if let Some(domain) = gateway.peers.borrow().domain(ip) {
                gateway.locality.borrow_mut().observe_opening(domain, opened_at.elapsed());
            }
            Some(connection)
        }
        Ok(Err(error)) => {
            record.entry_failed(ip, &error.to_string());
            if !net::lacks_local_resources(&error) {
                gateway.peers.borrow_mut().unreachable(ip, boot_now());
            }
            None
        }
        Err(_) => None,
    }
}

fn build_request(input: AttemptInput<'_>, time_left: Duration) -> Option<Request<Full<Bytes>>> {
    let routed = input.routed;
    let attempt = ForwardedAttempt {
        route: routed.route.clone(),
        service: routed.service.clone(),
        software: routed.software.clone(),
        account: routed.account.clone(),
        allowed_domains: routed.allowed_domains.clone(),
        cache_namespace: routed.cache_namespace.clone(),
        priority: routed.priority,
        tried: input.attempts.targets().to_vec(),
        resume_after: input.resume_after.map(str::to_string),
        elapsed: routed.arrived.elapsed(),
    };
    let mut request = Request::new(Full::new(routed.body.clone()));
    *request.method_mut() = routed.method.clone();
    *request.uri_mut() = routed.uri.clone();
    *request.headers_mut() = headers::request_for_entry(&routed.headers, time_left);
    request.headers_mut().insert(ATTEMPT, encode(&attempt)?);
    Some(request)
}

fn encode(value: &impl Serialize) -> Option<HeaderValue> {
    let text = serde_json::to_vec(value).ok()?;
    HeaderValue::from_bytes(&text).ok()
}

fn decode_result(headers: &mut HeaderMap) -> Option<ForwardedResult> {
    serde_json::from_slice(headers.remove(RESULT)?.as_bytes()).ok()
}

/// The outcome of an attempt for which the other entry has no response; `None` if a third entry may
/// be asked.
fn refused_attempt(
    gateway: &Gateway,
    routed: &RoutedRequest,
    ip: IpAddr,
    result: ForwardedResult,
) -> Option<AttemptError> {
    let error = match result {
        ForwardedResult::Relayed { target, .. } => AttemptError::MayHaveRun(Some(target)),
        ForwardedResult::NotAccepted => {
            gateway.peers.borrow_mut().stopping(ip, boot_now());
            return None;
        }
        ForwardedResult::NotRead => {
            gateway.peers.borrow_mut().unreachable(ip, boot_now());
            return None;
        }
        // Tells nothing of the path, and it may take the next request.
        ForwardedResult::BodyNotTaken => return None,
        ForwardedResult::NoTarget => {
            // It may lack only targets of the software version that is needed.
            if routed.software.is_none() {
                gateway.peers.borrow_mut().has_no_path(ip, &routed.service, boot_now());
            }
            return None;
        }
        ForwardedResult::OldWeights => {
            AttemptError::NoTarget(NoTarget::Selection(SelectionError::OldWeights))
        }
        ForwardedResult::Busy(after) => AttemptError::NoTarget(NoTarget::Busy(after)),
        ForwardedResult::Limited(after) => AttemptError::NoTarget(NoTarget::Limited(after)),
        ForwardedResult::Held(left) => AttemptError::Held(left),
        ForwardedResult::TooLate => AttemptError::TooLate,
        ForwardedResult::NotRun(target) => AttemptError::NotRun(target),
        ForwardedResult::MayHaveRun(target) => AttemptError::MayHaveRun(target),
        ForwardedResult::TimedOut(target) => AttemptError::TimedOut(target),
    };
    Some(error)
}

impl From<AttemptError> for ForwardedResult {
    fn from(error: AttemptError) -> ForwardedResult {
        match error {
            AttemptError::NoTarget(NoTarget::Busy(after)) => ForwardedResult::Busy(after),
            AttemptError::NoTarget(
                NoTarget::Limited(after) | NoTarget::Selection(SelectionError::Limited(after)),
            ) => ForwardedResult::Limited(after),
            AttemptError::NoTarget(NoTarget::Selection(SelectionError::OldWeights)) => {
                ForwardedResult::OldWeights
            }
            AttemptError::NoTarget(NoTarget::Selection(_)) => ForwardedResult::NoTarget,
            AttemptError::Held(left) => ForwardedResult::Held(left),
            AttemptError::TooLate => ForwardedResult::TooLate,
            AttemptError::NotRun(target) => ForwardedResult::NotRun(target),
            AttemptError::MayHaveRun(target) => ForwardedResult::MayHaveRun(target),
            AttemptError::TimedOut(target) => ForwardedResult::TimedOut(target),
        }
    }
}

/// Makes an attempt for another entry and returns the response for it.
pub async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    closing: watch::Receiver<bool>,
) -> GatewayResponse {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let metadata = headers::decode_request(&head.uri, &head.headers);
    let mut record = RequestRecord::new(&gateway, &metadata, boot_now());
    record.for_other_entry();
    let attempt = head.headers.get(ATTEMPT).map(HeaderValue::as_bytes);
    let attempt: Option<ForwardedAttempt> =
        attempt.and_then(|text| serde_json::from_slice(text).ok());
    let attempt = attempt.filter(|_| !gateway.stopping.get());
    let read_timeout = match &attempt {
        Some(attempt) => {
            record.set_route(&attempt.route.name, attempt.priority);
            metadata.deadline.unwrap_or(attempt.route.timeout)
        }
        None => REFUSED_BODY_TIMEOUT,
    };
    let deadline = arrived + read_timeout;
    let max_bytes = gateway.table().map(|table| table.deployment().request_limits.body_bytes);
    let body = RequestBody::new(body, closing);
    let max_bytes = max_bytes.unwrap_or_default();
    let body = read_body(body, max_bytes, &gateway.body_memory, deadline).await;
    let (attempt, body) = match (attempt, body) {
        (Some(attempt), Ok(body)) => (attempt, body),
        (Some(_), Err(Refusal::OutOfMemory | Refusal::BodyTooLarge)) => {
            return closing_response(ForwardedResult::BodyNotTaken, &record);
        }
        (Some(_), Err(_)) => return closing_response(ForwardedResult::NotRead, &record),
        (None, Ok(_)) => return respond(ForwardedResult::NotAccepted, &record),
        (None, Err(_)) => return closing_response(ForwardedResult::NotAccepted, &record),
    };
    let mut headers = head.headers;
    headers.remove(ATTEMPT);
    let routed = RoutedRequest {
        metadata,
        method: head.method,
        uri: request::origin_form(&head.uri),
        headers,
        body,
        route: attempt.route,
        account: attempt.account,
        allowed_domains: attempt.allowed_domains,
        cache_namespace: attempt.cache_namespace,
        priority: attempt.priority,
        service: attempt.service,
        software: attempt.software,
        arrived: arrived.checked_sub(attempt.elapsed).unwrap_or(arrived),
        deadline,
        tie_breaker: rand::rng().random(),
        fingerprints: OnceCell::new(),
        origin: Origin::Entry,
    };
    let mut attempts = Attempts::default();
    attempt.tried.into_iter().for_each(|target| attempts.add(Some(target)));
    let input = AttemptInput {
        routed: &routed,
        attempts: &attempts,
        resume_after: attempt.resume_after.as_deref(),
        replaces: None,
        state: &AttemptState::default(),
    };
    let made = attempt::attempt(&gateway, input, &record).await;
    let received = match made {
        Ok(received) => received,
        Err(error) => return respond(error.into(), &record),
    };
    let target = received.responder.target().cloned();
    let software = received.software.clone();
    let relayed = |target| ForwardedResult::Relayed { target, software };
    let result = encode(&target.clone().map(relayed));
    match request::relay_response(&gateway, routed, record, attempts, received).await {
        Ok(mut response) => {
            response.headers_mut().extend(result.map(|result| (RESULT, result)));
            response
        }
        Err((_, record)) => respond(ForwardedResult::MayHaveRun(target), &record),
    }
}

fn respond(result: ForwardedResult, record: &RequestRecord) -> GatewayResponse {
    let reason = match &result {
        ForwardedResult::MayHaveRun(_) => Refusal::Broken,
        ForwardedResult::TimedOut(_) => Refusal::TimedOut,
        ForwardedResult::Busy(after) => Refusal::Busy(*after),
        ForwardedResult::Limited(after) => Refusal::Limited(*after),
        ForwardedResult::Held(left) => Refusal::Held(*left),
        ForwardedResult::OldWeights => Refusal::OldWeights,
        ForwardedResult::TooLate => Refusal::TooLate,
        ForwardedResult::NotAccepted | ForwardedResult::NotRead => Refusal::ShuttingDown,
        ForwardedResult::BodyNotTaken => Refusal::OutOfMemory,
        ForwardedResult::Relayed { .. }
        | ForwardedResult::NoTarget
        | ForwardedResult::NotRun(_) => Refusal::NoTarget,
    };
    record.set_outcome(Outcome::Refused(reason.status().as_u16(), reason.name()));
    let mut response = GatewayResponse::new(full_body(Bytes::new()));
    *response.status_mut() = reason.status();
    response.headers_mut().extend(encode(&result).map(|result| (RESULT, result)));
    response
}

/// Refuses a request whose body was not read to its end, so that its connection can't be used again.
fn closing_response(result: ForwardedResult, record: &RequestRecord) -> GatewayResponse {
    let mut response = respond(result, record);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
