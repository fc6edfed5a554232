//! Serves calls to plain services, at most once each if they are not repeatable.

use std::sync::Arc;
use std::time::Duration;

use warp::http::StatusCode;

use super::at_most_once::{self, ClaimOutcome, HeldClaim};
use super::callers::{ApiCall, CallSummary};
use super::{Refusal, RefusalCode};
use crate::claims::Outcome;
use crate::clock::{BootTime, boot_now};

use crate::http::{self, Request, Response};
use crate::node::Node;
use crate::node::quarantine::BrokenDispatch;
use crate::upstream::api::{OWNER_HEADER, REQUEST_HEADER, Target};
use crate::upstream::client::CallError;

/// Limit on instances tried for one call.
const MAX_INSTANCES_TRIED: usize = 3;
/// Suggested retry delay if no instance is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Handles a call to a plain service.
///
/// # Errors
/// Why there is no answer of an instance.
pub async fn serve(
    node: &Arc<Node>,
    request: &Request,
    service: &str,
) -> Result<Response, Refusal> {
    let mut call = ApiCall::from_request(node, request).await?;
    let services = &call.config.config.services;
    let Some(configured) = services.get(service) else {
        let known = services.keys().cloned().collect::<Vec<_>>().join(", ");
        let message = format!("unknown service {service:?}; configured services: {known}");
        return Err(Refusal::not_run(RefusalCode::UnknownService, message));
    };
    call.repeatable &= configured.repeatable;
    let result = run_call(node, &call, request, service).await;
    let summary = CallSummary {
        result: result.as_ref().map(|_| ()),
        first_token_latency: None,
        target: None,
    };
    call.record_end(node, service, summary);
    result.map(|outcome| outcome_response(&outcome))
}

async fn run_call(
    node: &Arc<Node>,
    call: &ApiCall,
    request: &Request,
    service: &str,
) -> Result<Outcome, Refusal> {
    if call.repeatable {
        let _permit = call.acquire_permit(node).await?;
        return run_repeatable(node, call, request, service).await;
    }
    let method = request.method.as_str().as_bytes();
    let parts = [method, request.path.as_bytes(), request.query.as_bytes(), &request.bytes()];
    let held_claim =
        match at_most_once::claim(node, call, at_most_once::request_digest(&parts)).await? {
            ClaimOutcome::AlreadyRan(outcome) if outcome.body.is_some() => return Ok(outcome),
            ClaimOutcome::AlreadyRan(_) => {
                let message = "the request has already run, and its answer was too long to record";
                return Err(Refusal::may_have_run(RefusalCode::AlreadyClaimed, message));
            }
            ClaimOutcome::Granted(held_claim) => held_claim,
        };
    let permit = call.acquire_permit(node).await?;
    let (node, call) = (node.clone(), call.clone());
    let (request, service) = (request.clone(), service.to_string());
    // Runs on its own task, so that the outcome is recorded even if the caller disconnects.
    let task = tokio::spawn(async move {
        let _permit = permit;
        run_at_most_once(&node, &call, &request, &service, held_claim).await
    });
    task.await.unwrap_or_else(|_| {
        Err(Refusal::may_have_run(RefusalCode::TargetFailed, "the call ended without an outcome"))
    })
}

async fn run_repeatable(
    node: &Arc<Node>,
    call: &ApiCall,
    request: &Request,
    service: &str,
) -> Result<Outcome, Refusal> {
    let mut may_have_run = false;
    let mut last_refusal = no_instance_refusal(service);
    for instance in candidate_instances(node, service) {
        call.check_dispatch_in_time(node).await?;
        let sent_at = boot_now();
        match send_call(node, call, request, &instance, false).await {
            Ok(outcome) => {
                record_completion(node, call, &outcome);
                return Ok(outcome);
            }
            Err(CallError::NotRun(reason)) => {
                last_refusal = target_failure(&instance, &reason, may_have_run)
            }
            Err(error @ (CallError::Rejected(_) | CallError::MayHaveRun(_))) => {
                may_have_run = true;
                last_refusal = target_failure(&instance, error.reason(), may_have_run);
                report_broken_run(node, call, &instance, sent_at, &error).await;
                if !node.router.lock().try_spend_retry() {
                    break;
                }
            }
        }
    }
    Err(last_refusal)
}

/// Sends the call to instances until one of them may have run it.
async fn run_at_most_once(
    node: &Arc<Node>,
    call: &ApiCall,
    request: &Request,
    service: &str,
    mut held_claim: HeldClaim,
) -> Result<Outcome, Refusal> {
    let mut last_refusal = no_instance_refusal(service);
    for instance in candidate_instances(node, service) {
        call.check_dispatch_in_time(node).await?;
        held_claim.mark_dispatched()?;
        let sent_at = boot_now();
        match send_call(node, call, request, &instance, true).await {
            Ok(outcome) => {
                record_completion(node, call, &outcome);
                held_claim.record_outcome(outcome.clone()).await;
                return Ok(outcome);
            }
            Err(CallError::NotRun(reason)) => {
                held_claim.mark_not_run();
                last_refusal = target_failure(&instance, &reason, false);
            }
            Err(error @ (CallError::Rejected(_) | CallError::MayHaveRun(_))) => {
                report_broken_run(node, call, &instance, sent_at, &error).await;
                return Err(target_failure(&instance, error.reason(), true));
            }
        }
    }
    Err(last_refusal)
}

/// Reports a failed call to the quarantine, since the call may have terminated the instance.
async fn report_broken_run(
    node: &Node,
    call: &ApiCall,
    instance: &Target,
    sent_at: BootTime,
    error: &CallError,
) {
    if !matches!(error, CallError::MayHaveRun(_)) {
        return;
    }
    let broken = BrokenDispatch {
        target: &instance.id,
        incarnation: instance.incarnation,
        url: &instance.url,
        fingerprint: call.fingerprint,
        sent_at,
    };
    node.report_broken_run(broken).await;
}

fn record_completion(node: &Node, call: &ApiCall, outcome: &Outcome) {
    if (200..300).contains(&outcome.status) {
        node.record_completion(call.fingerprint);
    }
}

/// Available instances, rotated differently for each call to spread the load.
fn candidate_instances(node: &Node, service: &str) -> Vec<Target> {
    let mut router = node.router.lock();
    let request_number = router.next_request_number() as usize;
    let mut instances: Vec<Target> =
        router.targets().instances(service).into_iter().cloned().collect();
    if !instances.is_empty() {
        let start = request_number % instances.len();
        instances.rotate_left(start);
    }
    instances.truncate(MAX_INSTANCES_TRIED);
    instances
}

async fn send_call(
    node: &Node,
    call: &ApiCall,
    request: &Request,
    instance: &Target,
    once: bool,
) -> Result<Outcome, CallError> {
    let query =
        if request.query.is_empty() { String::new() } else { format!("?{}", request.query) };
    let url = format!("{}{}{query}", instance.url, request.path);
    let url = url.parse().map_err(|_| CallError::NotRun(format!("invalid URL: {url}")))?;
    let mut outgoing = reqwest::Request::new(request.method.clone(), url);
    let headers = outgoing.headers_mut();
    if let Some(content_type) = request.headers.get("content-type") {
        headers.insert("content-type", content_type.clone());
    }
    for (name, value) in [(REQUEST_HEADER, &call.request_id), (OWNER_HEADER, &call.account)] {
        if let Ok(value) = value.parse() {
            headers.insert(name, value);
        }
    }
    *outgoing.body_mut() = Some(request.bytes().into());
    *outgoing.timeout_mut() = Some(call.deadline.saturating_sub(boot_now()));
    let response = node.client.service(outgoing, once).await?;
    let status = response.status();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_string();
    let body = response.bytes().await.map_err(|error| CallError::MayHaveRun(error.to_string()))?;
    Ok(Outcome { status: status.as_u16(), content_type, body: Some(body.to_vec()) })
}

fn outcome_response(outcome: &Outcome) -> Response {
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::BAD_GATEWAY);
    http::body(status, &outcome.content_type, outcome.body.clone().unwrap_or_default())
}

fn no_instance_refusal(service: &str) -> Refusal {
    let message = format!("no instance of service {service:?} is available");
    Refusal::not_run(RefusalCode::NoTarget, message).with_retry_after(NO_TARGET_RETRY_AFTER)
}

fn target_failure(instance: &Target, reason: &str, may_have_run: bool) -> Refusal {
    let message = format!("{}: {reason}", instance.id);
    if may_have_run {
        Refusal::may_have_run(RefusalCode::TargetFailed, message)
    } else {
        Refusal::not_run(RefusalCode::TargetFailed, message).with_retry_after(NO_TARGET_RETRY_AFTER)
    }
}
