//! Plain services: routes a call to an instance, once if it must not repeat.

use std::sync::Arc;
use std::time::Duration;

use warp::http::StatusCode;

use super::callers::{Call, End};
use super::once::{self, Claimed, Held};
use super::{Code, Refusal};
use crate::claims::Outcome;
use crate::clock::{BootTime, boot_now};
use crate::http::{self, Request, Response};
use crate::node::Node;
use crate::node::quarantining::BrokenAt;
use crate::upstream::api::{OWNER_HEADER, REQUEST_HEADER, Target};
use crate::upstream::client::CallError;

/// Instances tried for one call.
const MAX_ATTEMPTS: usize = 3;
/// When to come back if no instance may take the call.
const NO_TARGET_RETRY: Duration = Duration::from_secs(2);

/// Answers a call of a plain service.
///
/// # Errors
/// Why there is no answer.
pub async fn serve(
    node: &Arc<Node>,
    request: &Request,
    service: &str,
) -> Result<Response, Refusal> {
    let mut call = Call::read(node, request)?;
    let services = &call.config.config.services;
    let Some(configured) = services.get(service) else {
        let known = services.keys().cloned().collect::<Vec<_>>().join(", ");
        let message = format!("no service {service:?}; there are: {known}");
        return Err(Refusal::not_run(Code::UnknownService, message));
    };
    call.repeatable &= configured.repeatable;
    let result = answer(node, &call, request, service).await;
    let end = End { result: result.as_ref().map(|_| ()), first_token: None, target: None };
    call.log_end(node, service, end);
    result.map(|outcome| response(&outcome))
}

async fn answer(
    node: &Arc<Node>,
    call: &Call,
    request: &Request,
    service: &str,
) -> Result<Outcome, Refusal> {
    if call.repeatable {
        let _place = call.take_place(node).await?;
        return repeat(node, call, request, service).await;
    }
    let method = request.method.as_str().as_bytes();
    let parts = [method, request.path.as_bytes(), request.query.as_bytes(), &request.bytes()];
    let held = match once::claim(node, call, once::digest(&parts)).await? {
        Claimed::Ran(outcome) if outcome.body.is_some() => return Ok(outcome),
        Claimed::Ran(_) => {
            let message = "it ran before, and its answer was too long to keep";
            return Err(Refusal::may_have_run(Code::AlreadyClaimed, message));
        }
        Claimed::Mine(held) => held,
    };
    let place = call.take_place(node).await?;
    let (node, call) = (node.clone(), call.clone());
    let (request, service) = (request.clone(), service.to_string());
    // On its own task: it must come to its outcome even if the caller hangs up.
    let running = tokio::spawn(async move {
        let _place = place;
        run_once(&node, &call, &request, &service, held).await
    });
    running.await.unwrap_or_else(|_| {
        Err(Refusal::may_have_run(Code::TargetFailed, "the call ended without an outcome"))
    })
}

async fn repeat(
    node: &Arc<Node>,
    call: &Call,
    request: &Request,
    service: &str,
) -> Result<Outcome, Refusal> {
    let mut may_have_run = false;
    let mut last = no_instance(service);
    for instance in instances(node, service) {
        call.still_admitted(node)?;
        let sent_at = boot_now();
        match send(node, call, request, &instance, false).await {
            Ok(outcome) => {
                answered(node, call, &outcome);
                return Ok(outcome);
            }
            Err(CallError::NotRun(reason)) => last = failed(&instance, &reason, may_have_run),
            Err(error @ (CallError::Rejected(_) | CallError::MayHaveRun(_))) => {
                may_have_run = true;
                last = failed(&instance, error.reason(), may_have_run);
                examine(node, call, &instance, sent_at, &error).await;
                if !node.router.lock().spend_retry() {
                    break;
                }
            }
        }
    }
    Err(last)
}

/// Makes the one dispatch; another instance is tried only if nothing was run.
async fn run_once(
    node: &Arc<Node>,
    call: &Call,
    request: &Request,
    service: &str,
    mut held: Held,
) -> Result<Outcome, Refusal> {
    let mut last = no_instance(service);
    for instance in instances(node, service) {
        call.still_admitted(node)?;
        held.dispatch()?;
        let sent_at = boot_now();
        match send(node, call, request, &instance, true).await {
            Ok(outcome) => {
                answered(node, call, &outcome);
                held.record(outcome.clone()).await;
                return Ok(outcome);
            }
            Err(CallError::NotRun(reason)) => {
                held.not_run();
                last = failed(&instance, &reason, false);
            }
            Err(error @ (CallError::Rejected(_) | CallError::MayHaveRun(_))) => {
                examine(node, call, &instance, sent_at, &error).await;
                return Err(failed(&instance, error.reason(), true));
            }
        }
    }
    Err(last)
}

/// An instance that broke off may have ended under a call, and others would.
async fn examine(
    node: &Node,
    call: &Call,
    instance: &Target,
    sent_at: BootTime,
    error: &CallError,
) {
    if !matches!(error, CallError::MayHaveRun(_)) {
        return;
    }
    let broken = BrokenAt {
        target: &instance.id,
        incarnation: instance.incarnation,
        url: &instance.url,
        fingerprint: call.fingerprint,
        sent_at,
    };
    node.examine(broken).await;
}

fn answered(node: &Node, call: &Call, outcome: &Outcome) {
    if (200..300).contains(&outcome.status) {
        node.answered_whole(call.fingerprint);
    }
}

/// Instances that take work, in an order that differs from call to call.
fn instances(node: &Node, service: &str) -> Vec<Target> {
    let mut router = node.router.lock();
    let turn = router.draw() as usize;
    let mut instances: Vec<Target> =
        router.targets().instances(service).into_iter().cloned().collect();
    if !instances.is_empty() {
        let middle = turn % instances.len();
        instances.rotate_left(middle);
    }
    instances.truncate(MAX_ATTEMPTS);
    instances
}

async fn send(
    node: &Node,
    call: &Call,
    request: &Request,
    instance: &Target,
    once: bool,
) -> Result<Outcome, CallError> {
    let query =
        if request.query.is_empty() { String::new() } else { format!("?{}", request.query) };
    let url = format!("{}{}{query}", instance.url, request.path);
    let url = url.parse().map_err(|_| CallError::NotRun(format!("not a URL: {url}")))?;
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

fn response(outcome: &Outcome) -> Response {
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::BAD_GATEWAY);
    http::body(status, &outcome.content_type, outcome.body.clone().unwrap_or_default())
}

fn no_instance(service: &str) -> Refusal {
    let message = format!("no instance of service {service:?} takes work now");
    Refusal::not_run(Code::NoTarget, message).after(NO_TARGET_RETRY)
}

fn failed(instance: &Target, reason: &str, may_have_run: bool) -> Refusal {
    let message = format!("{}: {reason}", instance.id);
    if may_have_run {
        Refusal::may_have_run(Code::TargetFailed, message)
    } else {
        Refusal::not_run(Code::TargetFailed, message).after(NO_TARGET_RETRY)
    }
}
