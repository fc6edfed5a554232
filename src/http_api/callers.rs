//! The HTTP interface for callers: routing, authentication, admission and request logging.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde_json::json;
use warp::http::{Method, StatusCode};

use super::{Refusal, RefusalCode, prompts, services};
use crate::clock::{BootTime, boot_now};
use crate::config::{Kind, NumberedConfig};

use crate::http::{self, BodyError, Request, Response};
use crate::ids::{AccountId, KindId, RequestId};
use crate::limits::AdmissionRequest;
use crate::limits::admission::RefusalReason;
use crate::node::Node;
use crate::node::admission::Permit;
use crate::quarantine::Fingerprint;
use crate::telemetry::burn::FinishedRequest;
use crate::telemetry::logs::quoted;
use crate::telemetry::metrics::label;
use crate::upstream::chat::ApiFormat;

const KIND_HEADER: &str = "x-kumquatpost-kind";
const DEADLINE_HEADER: &str = "x-kumquatpost-deadline-ms";
const REPEATABLE_HEADER: &str = "x-kumquatpost-repeatable";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_REQUEST_ID_BYTES: usize = 256;
const DEFAULT_KIND: &str = "default";
/// The host part of fingerprints. The Host header is left out, since a caller may reach the same
/// endpoint under several names.
const FINGERPRINT_HOST: &str = "";
/// A request waits for the next freshness lease for at most the remaining time divided by this, so
/// that enough is left to run it or to retry elsewhere.
const LEASE_WAIT_DIVISOR: u32 = 3;
/// Suggested retry delay if the node can't admit requests.
const NOT_FRESH_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An authenticated request of a caller.
#[derive(Clone, Debug)]
pub struct ApiCall {
    /// The configuration when the request was received. Applies until the request ends.
    pub config: Arc<NumberedConfig>,
    pub account: AccountId,
    /// The Idempotency-Key header, or a random id.
    pub request_id: RequestId,
    pub kind_id: KindId,
    pub kind: Kind,
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    pub received_at: BootTime,
    /// When the first token is due.
    pub deadline: BootTime,
    /// Identifies the content of the request; the same for all retries by the caller.
    pub fingerprint: Fingerprint,
}

/// The result of a request, for logs and metrics.
#[derive(Clone, Copy, Debug)]
pub struct CallSummary<'a> {
    pub result: Result<(), &'a Refusal>,
    /// Time from the arrival of the request to its first token; `None` if there was no token.
    pub first_token_latency: Option<Duration>,
    /// The target of the last dispatch.
    pub target: Option<&'a str>,
}

/// Handles a request on the callers' listener.
pub async fn handle(node: Arc<Node>, request: Request) -> Response {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/health/live") => http::text(StatusCode::OK, "live\n".into()),
        (&Method::GET, "/health/ready") => readiness(&node),
        (&Method::GET, "/metrics") => http::text(StatusCode::OK, node.metrics.text()),
        _ => match handle_api_call(&node, request).await {
            Ok(response) => response,
            Err(refusal) => refusal.response(),
        },
    }
}

async fn handle_api_call(node: &Arc<Node>, request: Request) -> Result<Response, Refusal> {
    let method = request.method.clone();
    let path = request.path.clone();
    if method == Method::GET && path == "/v1/models" {
        return list_models(node, &request).await;
    }
    if let Some(format) = ApiFormat::from_path(&path).filter(|_| method == Method::POST) {
        let call = ApiCall::from_request(node, &request).await?;
        return prompts::serve(node, call, &request, format).await;
    }
    if let ["v1", "services", service, ..] = request.segments().as_slice() {
        let service = service.to_string();
        return services::serve(node, &request, &service).await;
    }
    Err(Refusal::not_run(RefusalCode::NotFound, format!("no endpoint {method} {path}")))
}

fn readiness(node: &Node) -> Response {
    if node.is_ready() {
        return http::text(StatusCode::OK, "ready\n".into());
    }
    http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
}

async fn list_models(node: &Node, request: &Request) -> Result<Response, Refusal> {
    let config = admission_config(node, request, boot_now()).await?;
    authenticate(&config, request)?;
    let models: Vec<_> = config
        .config
        .models
        .keys()
        .map(|id| json!({"id": id, "object": "model", "created": 0, "owned_by": "kumquatpost"}))
        .collect();
    Ok(http::json(StatusCode::OK, &json!({"object": "list", "data": models})))
}

/// The configuration in force, after a bounded wait for the next freshness lease.
///
/// # Errors
/// If this node does not admit requests.
async fn admission_config(
    node: &Node,
    request: &Request,
    received_at: BootTime,
) -> Result<Arc<NumberedConfig>, Refusal> {
    tokio::select! {
        biased;
        () = node.until_stopping() => {}
        () = node.wait_for_lease(lease_wait_end(node, request, received_at)) => {}
    }
    if node.is_stopping() {
        return Err(shutdown_refusal());
    }
    node.in_force().filter(|config| config.number > 0).ok_or_else(|| {
        let message = "this node has no freshness lease, or no configuration yet";
        Refusal::not_run(RefusalCode::NotFresh, message).with_retry_after(NOT_FRESH_RETRY_AFTER)
    })
}

/// When a request without a lease is refused. The configuration may be outdated, but only this wait
/// depends on it.
fn lease_wait_end(node: &Node, request: &Request, received_at: BootTime) -> BootTime {
    let kind_id = request.header(KIND_HEADER).unwrap_or(DEFAULT_KIND);
    let kind = node.newest_config().config.kind(kind_id);
    // An invalid deadline is reported once the request is read.
    let requested_ms = deadline_ms(request).unwrap_or_default();
    let deadline_ms = requested_ms.or(kind.map(|kind| kind.deadline_ms)).unwrap_or_default();
    received_at + Duration::from_millis(deadline_ms) / LEASE_WAIT_DIVISOR
}

fn authenticate(config: &NumberedConfig, request: &Request) -> Result<AccountId, Refusal> {
    let bearer = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let account = bearer.and_then(|key| config.account_of_key(key.trim()));
    account.cloned().ok_or_else(|| {
        Refusal::not_run(RefusalCode::InvalidKey, "the bearer key is missing or unknown")
    })
}

impl ApiCall {
    /// Authenticates a request and reads its headers.
    ///
    /// # Errors
    /// If the request is invalid, or if this node does not admit requests.
    pub async fn from_request(node: &Node, request: &Request) -> Result<ApiCall, Refusal> {
        let received_at = boot_now();
        let config = admission_config(node, request, received_at).await?;
        let account = authenticate(&config, request)?;
        if let Err(error) = &request.body {
            return Err(body_refusal(*error));
        }
        let kind_id = request.header(KIND_HEADER).unwrap_or(DEFAULT_KIND).to_string();
        let Some(kind) = config.config.kind(&kind_id) else {
            let known = config.config.kinds.keys().cloned().collect::<Vec<_>>().join(", ");
            let message = format!("unknown kind {kind_id:?}; configured kinds: {known}");
            return Err(Refusal::not_run(RefusalCode::UnknownKind, message));
        };
        let deadline_ms = deadline_ms(request)?.unwrap_or(kind.deadline_ms);
        // The header can only make a repeatable kind non-repeatable, not the other way round.
        let repeatable = kind.repeatable && request.header(REPEATABLE_HEADER) != Some("false");
        let (method, path) =
            (request.method.as_str(), format!("{}?{}", request.path, request.query));
        let body = request.bytes();
        Ok(ApiCall {
            request_id: request_id(request)?,
            fingerprint: Fingerprint::of(Some(&account), method, FINGERPRINT_HOST, &path, &body),
            config,
            account,
            kind_id,
            kind,
            repeatable,
            received_at,
            deadline: received_at + Duration::from_millis(deadline_ms),
        })
    }

    /// Waits until the request may run.
    ///
    /// # Errors
    /// If the queue is full, or if the request can't start in time.
    pub async fn acquire_permit(&self, node: &Arc<Node>) -> Result<Permit, Refusal> {
        let account = self.config.config.accounts.get(&self.account);
        let limit = account.map_or(1, |account| account.max_running);
        let request = AdmissionRequest {
            account: self.account.clone(),
            weight: account.map_or(1, |account| account.weight),
            account_limit: node.account_share(&self.account, limit).await,
            priority: self.kind.priority,
            deadline: self.deadline,
        };
        let permit = node.admission.acquire(request).await.map_err(|refused| {
            let (code, message) = match refused.reason {
                RefusalReason::QueueFull => {
                    (RefusalCode::QueueFull, "the queue of this node is full")
                }
                RefusalReason::Deadline => {
                    (RefusalCode::DeadlineExceeded, "the request can't start in time")
                }
            };
            Refusal::not_run(code, message).with_retry_after(refused.retry_after)
        })?;
        // The node or the request may have changed state while the request was queued.
        self.check_dispatch_in_time(node).await?;
        Ok(permit)
    }

    /// Checks that the request may be sent to a target before its deadline, after a bounded wait for
    /// the next freshness lease. Must be called directly before each dispatch.
    ///
    /// # Errors
    /// As `check_dispatch`, and if the deadline has passed.
    pub async fn check_dispatch_in_time(&self, node: &Node) -> Result<(), Refusal> {
        let now = boot_now();
        let max_wait = self.deadline.saturating_sub(now) / LEASE_WAIT_DIVISOR;
        node.wait_for_lease(now + max_wait).await;
        self.check_dispatch(node)?;
        if boot_now() >= self.deadline {
            let refusal =
                Refusal::not_run(RefusalCode::DeadlineExceeded, "the deadline has passed");
            return Err(refusal.with_retry_after(node.admission.retry_after()));
        }
        Ok(())
    }

    /// Checks that the request may be sent to a target. Must be called directly before each
    /// dispatch.
    ///
    /// # Errors
    /// If the node's freshness lease has expired, or if the request is quarantined.
    pub fn check_dispatch(&self, node: &Node) -> Result<(), Refusal> {
        if let Some(remaining) = node.quarantine_remaining(self.fingerprint) {
            let message = "several targets terminated while they ran this request";
            return Err(
                Refusal::not_run(RefusalCode::Quarantined, message).with_retry_after(remaining)
            );
        }
        if node.in_force().is_some() {
            return Ok(());
        }
        let message = "this node's freshness lease expired before the request was sent";
        Err(Refusal::not_run(RefusalCode::NotFresh, message)
            .with_retry_after(NOT_FRESH_RETRY_AFTER))
    }

    /// Logs the result of the request and updates the metrics and the service-level objective.
    /// `resource` is the model or service.
    pub fn record_end(&self, node: &Node, resource: &str, summary: CallSummary<'_>) {
        let CallSummary { result, first_token_latency, target } = summary;
        let code = result.map_or_else(|refusal| refusal.code.code_status_remedy().0, |()| "ok");
        let execution = result.map_or_else(|refusal| refusal.execution.as_str(), |()| "ran");
        let elapsed = boot_now().saturating_sub(self.received_at);
        log::info!(
            "event=request_ended request={} account={} kind={} what={} code={code} \
             execution={execution} took_ms={}",
            quoted(&self.request_id),
            quoted(&self.account),
            quoted(&self.kind_id),
            quoted(resource),
            elapsed.as_millis(),
        );
        let labels =
            [label("kind", &self.kind_id), label("account", &self.account), label("code", code)];
        node.metrics.requests.add(1, &labels);
        // Errors of the caller don't count against the service-level objective.
        if result.is_err_and(|refusal| refusal.code.code_status_remedy().1.is_client_error()) {
            return;
        }
        let first_token_objective = Duration::from_millis(self.kind.objective.first_token_ms);
        let finished = FinishedRequest {
            kind: &self.kind_id,
            account: &self.account,
            target,
            good: result.is_ok() && first_token_latency.unwrap_or(elapsed) <= first_token_objective,
            objective_share: self.kind.objective.share,
        };
        node.burn.lock().record(finished, boot_now());
    }
}

fn shutdown_refusal() -> Refusal {
    Refusal::not_run(RefusalCode::ShuttingDown, "this node is shutting down")
        .with_retry_after(NOT_FRESH_RETRY_AFTER)
}

fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge(limit) => Refusal::not_run(
            RefusalCode::BodyTooLarge,
            format!("the body is longer than {limit} bytes"),
        ),
        BodyError::Disconnected => {
            Refusal::not_run(RefusalCode::BadRequest, "the body is incomplete")
        }
        BodyError::Interrupted => shutdown_refusal(),
    }
}

fn deadline_ms(request: &Request) -> Result<Option<u64>, Refusal> {
    let Some(text) = request.header(DEADLINE_HEADER) else { return Ok(None) };
    match text.parse::<u64>() {
        // Limited to one day.
        Ok(ms) if ms > 0 => Ok(Some(ms.min(86_400_000))),
        _ => {
            let message = format!("{DEADLINE_HEADER}: {text:?} is not a number of milliseconds");
            Err(Refusal::not_run(RefusalCode::BadRequest, message))
        }
    }
}

fn request_id(request: &Request) -> Result<RequestId, Refusal> {
    let Some(text) = request.header(IDEMPOTENCY_HEADER) else {
        return Ok(format!("r-{:032x}", rand::rng().random::<u128>()));
    };
    let is_valid = !text.is_empty()
        && text.len() <= MAX_REQUEST_ID_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid {
        return Ok(text.to_string());
    }
    let message =
        format!("{IDEMPOTENCY_HEADER}: use 1 to {MAX_REQUEST_ID_BYTES} visible ASCII characters");
    Err(Refusal::not_run(RefusalCode::BadRequest, message))
}
