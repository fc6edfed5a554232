//! Handles one request of a caller: routing, attempts at targets, and the response.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::answer_in_hand::AnswerInHand;
use super::attempt::{AttemptError, TargetResponse};
use super::attempts::Attempts;
use super::first_response::attempt_until_answered;
use super::metadata::RequestMetadata;
use super::priority::Priority;
use super::relay::{self, EventRelay};
use super::request_record::{Outcome, RequestRecord};
use super::response::{GatewayResponse, Refusal, full_body, refusal_response};
use super::routed_request::{Origin, RoutedRequest};
use super::state::{Confirmation, Gateway};
use super::stream_origin;
use super::target_selection::NoTarget;
use crate::clock::boot_now;
use crate::deployment::{Rejection, RoutingTable, RunPolicy};
use crate::fleet::placement::SelectionError;
use crate::fleet::regions::AllowedDomains;
use crate::ids::{DomainId, RegionId};
use crate::net::body_memory::BodyMemory;
use crate::net::request_body::{RequestBody, RequestBodyError};
use crate::platform::headers;

/// Shortest `Retry-After` of a refusal: about the time that an engine needs for one prompt.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Random addition to `Retry-After`, so that refused callers don't all return at the same time.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(600);
/// How long a request waits for an entry that has just started and has no deployment or targets
/// yet. Covers an election of the replicas' leader after all hosts have lost power.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(1_200);
/// Such a request waits for at most its deadline divided by this, so that its caller can retry.
const STARTUP_WAIT_DIVISOR: u32 = 3;
/// Targets that a request may be sent to as long as none may have run it, whatever its route allows: a refusal by one
/// target says nothing about the others.
const MIN_ATTEMPTS_NOT_RUN: u32 = 2;
/// Cache namespace of all requests whose account is not isolated.
const SHARED_CACHE_NAMESPACE: &str = "all";

/// Handles a request and returns the response for its caller. Once `closing` is true, a request
/// whose body is incomplete is refused.
pub async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    closing: watch::Receiver<bool>,
) -> GatewayResponse {
    let started_at = boot_now();
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let has_body = !body.is_end_stream();
    let body = RequestBody::new(body, closing);
    let metadata = headers::decode_request(&head.uri, &head.headers);
    let mut record = RequestRecord::new(&gateway, &metadata, started_at);
    let admitted = admit(&gateway, head, metadata, body, arrived, &mut record).await;
    // The connection can't be used again if the rest of a body stands before the next request.
    let is_body_unread = admitted.is_err() && has_body;
    let mut response = match admitted {
        Ok(routed) => serve(&gateway, routed, record).await,
        Err((refusal, id)) => refuse(refusal, &id, &record),
    };
    if is_body_unread || gateway.stopping.get() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Routes the request and reads its body.
async fn admit(
    gateway: &Gateway,
    head: http::request::Parts,
    metadata: RequestMetadata,
    body: RequestBody,
    arrived: Instant,
    record: &mut RequestRecord,
) -> Result<RoutedRequest, (Refusal, String)> {
    if body.is_interrupted() {
        // Its head has arrived since connections are closed. It might be cut off by the end of the process.
        return Err((Refusal::ShuttingDown, metadata.id));
    }
    let max_wait = startup_wait(metadata.deadline);
    gateway.wait_for_deployment(max_wait).await;
    let table = match confirmed_table(gateway, &metadata, record).await {
        Ok(table) => table,
        Err(refusal) => return Err((refusal, metadata.id)),
    };
    let regions = &gateway.host.regions;
    let mut routed = route_request(&table, regions, head, metadata, arrived, record)?;
    if let Some(stops_at) = gateway.stops_at.get() {
        routed.deadline = routed.deadline.min(stops_at);
    }
    let (version, max_bytes) =
        (table.deployment().version, table.deployment().request_limits.body_bytes);
    drop(table);
    gateway.wait_for_service(&routed.service, max_wait.saturating_sub(arrived.elapsed())).await;
    routed.body = match read_body(body, max_bytes, &gateway.body_memory, routed.deadline).await {
        Ok(body) => body,
        // The body is partly consumed, so the request can't be checked against a later deployment
        // with a larger limit.
        Err(Refusal::BodyTooLarge) if gateway.confirm(version).await != Confirmation::Newest => {
            return Err((Refusal::Unconfirmed, routed.metadata.id));
        }
        Err(refusal) => return Err((refusal, routed.metadata.id)),
    };
    Ok(routed)
}

/// Returns a routing table that has a route and account for the request, or else the table of the
/// confirmed newest deployment, by which the request may be rejected for good.
async fn confirmed_table(
    gateway: &Gateway,
    metadata: &RequestMetadata,
    record: &mut RequestRecord,
) -> Result<Rc<RoutingTable>, Refusal> {
    loop {
        let table = gateway.table().ok_or(Refusal::NotReady)?;
        let version = table.deployment().version;
        record.set_version(version);
        if table.find(&metadata.host, &metadata.path, metadata.key.as_deref()).is_ok() {
            return Ok(table);
        }
        match gateway.confirm(version).await {
            Confirmation::Newest => return Ok(table),
            Confirmation::LaterDeployment => {}
            Confirmation::Unknown => return Err(Refusal::Unconfirmed),
        }
    }
}

/// How long a request waits at an entry that has just started and knows no deployment yet. The
/// other entries may have just started too, so that an immediate retry there would also fail.
pub fn startup_wait(deadline: Option<Duration>) -> Duration {
    deadline
        .map_or(MAX_STARTUP_WAIT, |deadline| MAX_STARTUP_WAIT.min(deadline / STARTUP_WAIT_DIVISOR))
}

/// Finds the route, account and service of a request. The body is added later.
fn route_request(
    table: &RoutingTable,
    regions: &BTreeMap<DomainId, RegionId>,
    head: http::request::Parts,
    metadata: RequestMetadata,
    arrived: Instant,
    record: &mut RequestRecord,
) -> Result<RoutedRequest, (Refusal, String)> {
    let found = match table.find(&metadata.host, &metadata.path, metadata.key.as_deref()) {
        Ok(found) => found,
        Err(Rejection::NoRoute) => return Err((Refusal::NoRoute, metadata.id)),
        Err(Rejection::UnknownKey) => return Err((Refusal::UnknownKey, metadata.id)),
    };
    let route = found.route.clone();
    let priority = Priority::of(found.account, &route);
    record.set_route(&route.name, priority);
    let mut random = rand::rng();
    let Some(service) = route.pick_service(random.random()).cloned() else {
        return Err((Refusal::NoTarget, metadata.id));
    };
    let account_regions = found.account.map(|account| &account.allowed_regions);
    let region_lists = account_regions.into_iter().chain([&route.allowed_regions]);
    let allowed_domains = AllowedDomains::from_regions(region_lists, regions);
    let isolated = found.account.filter(|account| account.is_isolated);
    let timeout = metadata.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    Ok(RoutedRequest {
        method: head.method,
        uri: origin_form(&head.uri),
        headers: head.headers,
        body: Bytes::new(),
        account: found.account.map(|account| account.id.clone()),
        allowed_domains,
        cache_namespace: isolated.map_or_else(
            || SHARED_CACHE_NAMESPACE.to_string(),
            |account| format!("only:{}", account.id),
        ),
        priority,
        service,
        software: None,
        arrived,
        deadline: arrived + timeout,
        tie_breaker: random.random(),
        fingerprints: OnceCell::new(),
        origin: Origin::Caller,
        route,
        metadata,
    })
}

/// Reduces the target of a request to origin form: path and query only.
pub fn origin_form(uri: &http::Uri) -> http::Uri {
    uri.path_and_query().cloned().map(http::Uri::from).unwrap_or_default()
}

/// Reads a body.
///
/// # Errors
/// Why it can't be read.
pub async fn read_body(
    body: RequestBody,
    max_bytes: usize,
    memory: &BodyMemory,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let Ok(read) = timeout_at(deadline, body.read(max_bytes, memory)).await else {
        return Err(Refusal::BodyTooLate);
    };
    read.map_err(|error| match error {
        RequestBodyError::TooLarge => Refusal::BodyTooLarge,
        RequestBodyError::Disconnected => Refusal::Malformed,
        RequestBodyError::Interrupted => Refusal::ShuttingDown,
        RequestBodyError::OutOfMemory => Refusal::OutOfMemory,
    })
}

async fn serve(
    gateway: &Rc<Gateway>,
    mut routed: RoutedRequest,
    record: RequestRecord,
) -> GatewayResponse {
    if let Err(refusal) = stream_origin::resolve(gateway, &mut routed, &record).await {
        return refuse(refusal, &routed.metadata.id, &record);
    }
    gateway.retries.borrow_mut().record_request(&routed.service, boot_now());
    let mut attempts = Attempts::default();
    let mut in_hand = None;
    loop {
        let made =
            attempt_until_answered(gateway, &routed, &mut attempts, &mut in_hand, &record).await;
        let (attempt_refusal, target) = match made {
            Ok(received) => {
                attempts.add(received.responder.target().cloned());
                let wants_another = received.response.status().is_server_error()
                    && routed.route.policy == RunPolicy::Idempotent;
                if !(wants_another && may_retry(gateway, &routed, &attempts, true, &record).await) {
                    let id = routed.metadata.id.clone();
                    return relay_response(gateway, routed, record, attempts, received)
                        .await
                        .unwrap_or_else(|(refusal, record)| {
                            answer_or_refuse(in_hand, refusal, &id, &record)
                        });
                }
                attempts.mark_may_have_run();
                let answer = AnswerInHand::read(gateway, &routed, received, &record).await;
                in_hand = answer.or(in_hand);
                continue;
            }
            Err(AttemptError::NoTarget(why)) => {
                record.no_target(why);
                let refusal = match (attempts.may_have_run(), why) {
                    (true, _) => Refusal::Broken,
                    (false, NoTarget::Busy(retry_after)) => Refusal::Busy(retry_after),
                    (false, NoTarget::Limited(retry_after)) => Refusal::Limited(retry_after),
                    (false, NoTarget::Selection(SelectionError::Limited(retry_after))) => {
                        Refusal::Limited(retry_after)
                    }
                    (false, NoTarget::Selection(SelectionError::OldWeights)) => Refusal::OldWeights,
                    (false, NoTarget::Selection(_)) => Refusal::NoTarget,
                };
                return answer_or_refuse(in_hand, refusal, &routed.metadata.id, &record);
            }
            Err(AttemptError::Held(left)) => {
                let refusal =
                    if attempts.may_have_run() { Refusal::Broken } else { Refusal::Held(left) };
                return answer_or_refuse(in_hand, refusal, &routed.metadata.id, &record);
            }
            Err(AttemptError::TooLate) => {
                let refusal =
                    if attempts.may_have_run() { Refusal::TimedOut } else { Refusal::TooLate };
                return answer_or_refuse(in_hand, refusal, &routed.metadata.id, &record);
            }
            Err(AttemptError::NotRun(target)) => (Refusal::NoTarget, target),
            Err(AttemptError::MayHaveRun(target)) => (Refusal::Broken, target),
            Err(AttemptError::TimedOut(target)) => (Refusal::TimedOut, target),
        };
        attempts.add(target);
        if attempt_refusal != Refusal::NoTarget {
            attempts.mark_may_have_run();
        }
        let refusal = match (attempts.may_have_run(), attempt_refusal) {
            (true, Refusal::NoTarget) => Refusal::Broken,
            (_, attempt_refusal) => attempt_refusal,
        };
        let has_run = attempts.may_have_run();
        let may_repeat = !has_run || routed.route.policy.may_repeat();
        if !may_repeat || !may_retry(gateway, &routed, &attempts, has_run, &record).await {
            return answer_or_refuse(in_hand, refusal, &routed.metadata.id, &record);
        }
    }
}

/// Relays the answer of an earlier target, if there is one, in place of a refusal.
fn answer_or_refuse(
    in_hand: Option<AnswerInHand>,
    refusal: Refusal,
    id: &str,
    record: &RequestRecord,
) -> GatewayResponse {
    match in_hand {
        Some(answer) => answer.into_response(record),
        None => refuse(refusal, id, record),
    }
}

/// Whether another target may be asked. An attempt that provably did not run the request is not a run, so that
/// one further target is asked even if the route allows a single run.
async fn may_retry(
    gateway: &Gateway,
    routed: &RoutedRequest,
    attempts: &Attempts,
    has_run: bool,
    record: &RequestRecord,
) -> bool {
    let allowed = routed.route.attempts;
    let limit = if has_run { allowed } else { allowed.max(MIN_ATTEMPTS_NOT_RUN) };
    attempts.count() < limit
        && Instant::now() < routed.deadline
        && gateway.try_retry(&routed.service, record).await
}

/// Relays a response.
///
/// # Errors
/// The refusal, with the record of the request, if the body is cut short before any of the response was
/// relayed.
pub async fn relay_response(
    gateway: &Rc<Gateway>,
    routed: RoutedRequest,
    record: RequestRecord,
    attempts: Attempts,
    mut received: TargetResponse,
) -> Result<GatewayResponse, (Refusal, RequestRecord)> {
    let status = received.response.status();
    let values = headers::response_for_caller(received.response.headers());
    let body = if routed.has_event_stream(status) {
        EventRelay::new(gateway.clone(), routed, record, attempts, received).into_body().await?
    } else if let Some(read) = received.read_short_body(gateway, routed.deadline).await {
        let TargetResponse { mut responder, response_metadata, mut connection, sent_at, .. } =
            received;
        match read {
            Ok(bytes) => {
                record.part_relayed(0, bytes.len());
                record.set_outcome(Outcome::Relayed(status.as_u16()));
                if status.is_success() {
                    responder.succeeded(gateway, sent_at);
                    gateway.record_success(routed.fingerprints(), boot_now());
                }
                connection.set_idle_timeout(response_metadata.idle_timeout);
                if !response_metadata.closes {
                    responder.return_connection(gateway, connection);
                }
                full_body(bytes)
            }
            Err(error) => {
                record.responder_failed(&responder, &error.to_string());
                drop(connection);
                if Instant::now() < routed.deadline {
                    responder.close_broken(gateway, &routed, sent_at, &record).await;
                }
                return Err((Refusal::Broken, record));
            }
        }
    } else {
        relay::relay_body(gateway.clone(), routed, received, record)
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = values;
    Ok(response)
}

fn refuse(refusal: Refusal, id: &str, record: &RequestRecord) -> GatewayResponse {
    let jitter = RETRY_AFTER_JITTER.mul_f64(rand::rng().random());
    let retry_after = match refusal {
        Refusal::Busy(retry_after) | Refusal::Limited(retry_after) | Refusal::Held(retry_after) => {
            retry_after
        }
        // Another entry may serve the request, so the caller can retry there at once.
        Refusal::Unconfirmed | Refusal::ShuttingDown => Duration::ZERO,
        _ => MIN_RETRY_AFTER + jitter,
    };
    let response = refusal_response(refusal, id, retry_after);
    record.set_outcome(Outcome::Refused(response.status().as_u16(), refusal.name()));
    response
}
