//! Callers' HTTP: who asks, for what kind of request, and which interface answers.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde_json::json;
use warp::http::{Method, StatusCode};

use super::{Refusal, RefusalCode, prompts, services};
use crate::clock::{BootTime, boot_now};
use crate::config::{Kind, Numbered};
use crate::edge::chat::Shape;
use crate::http::{self, BodyError, Request, Response};
use crate::ids::{AccountId, KindId, RequestId};
use crate::limits::Wants;
use crate::limits::admission::Reason;
use crate::node::Node;
use crate::node::admission::Permit;
use crate::quarantine::Fingerprint;
use crate::telemetry::burn::Served;
use crate::telemetry::logs::quoted;
use crate::telemetry::metrics::label;

const KIND_HEADER: &str = "x-kumquatpost-kind";
const DEADLINE_HEADER: &str = "x-kumquatpost-deadline-ms";
const REPEATABLE_HEADER: &str = "x-kumquatpost-repeatable";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_REQUEST_ID_BYTES: usize = 256;
const DEFAULT_KIND: &str = "default";
/// Interfaces don't depend on the name that a caller has for this node.
const FINGERPRINT_HOST: &str = "";
/// When to come back to a node that is not fresh: its lease may be renewed by then.
const NOT_FRESH_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A caller's request with everything that was found out about it.
#[derive(Clone, Debug)]
pub struct ApiCall {
    /// The configuration that it runs under to its end.
    pub config: Arc<Numbered>,
    /// Whose it is.
    pub account: AccountId,
    /// Its id, given by the caller or drawn.
    pub request_id: RequestId,
    /// The name of its kind.
    pub kind_id: KindId,
    /// Its kind.
    pub kind: Kind,
    /// Whether it may run twice without harm.
    pub repeatable: bool,
    /// When it came.
    pub received_at: BootTime,
    /// When its first token is due.
    pub deadline: BootTime,
    /// What it asks, whichever of its caller's tries it is.
    pub fingerprint: Fingerprint,
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub struct CallSummary<'a> {
    /// With an answer or a refusal.
    pub result: Result<(), &'a Refusal>,
    /// When its first token came, counted from its arrival; `None` if it has no tokens.
    pub first_token_latency: Option<Duration>,
    /// The target that answered or failed it last.
    pub target: Option<&'a str>,
}

/// Answers one request.
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
        return list_models(node, &request);
    }
    if let Some(shape) = Shape::of_path(&path).filter(|_| method == Method::POST) {
        let call = ApiCall::from_request(node, &request)?;
        return prompts::serve(node, call, &request, shape).await;
    }
    if let ["v1", "services", service, ..] = request.segments().as_slice() {
        let service = service.to_string();
        return services::serve(node, &request, &service).await;
    }
    Err(Refusal::not_run(RefusalCode::NotFound, format!("no interface {method} {path}")))
}

fn readiness(node: &Node) -> Response {
    if node.is_ready() {
        return http::text(StatusCode::OK, "ready\n".into());
    }
    http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
}

fn list_models(node: &Node, request: &Request) -> Result<Response, Refusal> {
    let config = admission_config(node)?;
    authenticate(&config, request)?;
    let models: Vec<_> = config
        .config
        .models
        .keys()
        .map(|id| json!({"id": id, "object": "model", "created": 0, "owned_by": "kumquatpost"}))
        .collect();
    Ok(http::json(StatusCode::OK, &json!({"object": "list", "data": models})))
}

/// The configuration in force, if the node admits requests.
pub fn admission_config(node: &Node) -> Result<Arc<Numbered>, Refusal> {
    if node.is_stopping() {
        let refusal = Refusal::not_run(RefusalCode::ShuttingDown, "this node is shutting down");
        return Err(refusal.with_retry_after(NOT_FRESH_RETRY_AFTER));
    }
    node.in_force().filter(|config| config.number > 0).ok_or_else(|| {
        let message = "this node can't know whether its configuration is in force";
        Refusal::not_run(RefusalCode::NotFresh, message).with_retry_after(NOT_FRESH_RETRY_AFTER)
    })
}

fn authenticate(config: &Numbered, request: &Request) -> Result<AccountId, Refusal> {
    let bearer = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let account = bearer.and_then(|key| config.account_of_key(key.trim()));
    account.cloned().ok_or_else(|| {
        Refusal::not_run(RefusalCode::InvalidKey, "the bearer key is missing or unknown")
    })
}

impl ApiCall {
    /// Finds out who asks and for what.
    ///
    /// # Errors
    /// What is wrong with the request, or that this node does not admit any.
    pub fn from_request(node: &Node, request: &Request) -> Result<ApiCall, Refusal> {
        let config = admission_config(node)?;
        let account = authenticate(&config, request)?;
        if let Err(error) = &request.body {
            return Err(body_refusal(*error));
        }
        let kind_id = request.header(KIND_HEADER).unwrap_or(DEFAULT_KIND).to_string();
        let Some(kind) = config.config.kind(&kind_id) else {
            let known = config.config.kinds.keys().cloned().collect::<Vec<_>>().join(", ");
            let message = format!("no kind {kind_id:?}; there are: {known}");
            return Err(Refusal::not_run(RefusalCode::UnknownKind, message));
        };
        let received_at = boot_now();
        let deadline_ms = deadline_ms(request)?.unwrap_or(kind.deadline_ms);
        // A caller can tighten whether it repeats, never loosen it.
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

    /// Waits for a permit to run.
    ///
    /// # Errors
    /// That it was given up on, and when to come back.
    pub async fn acquire_permit(&self, node: &Arc<Node>) -> Result<Permit, Refusal> {
        let account = self.config.config.accounts.get(&self.account);
        let limit = account.map_or(1, |account| account.max_running);
        let wants = Wants {
            account: self.account.clone(),
            weight: account.map_or(1, |account| account.weight),
            account_limit: node.account_share(&self.account, limit).await,
            priority: self.kind.priority,
            deadline: self.deadline,
        };
        let permit = node.admission.acquire(wants).await.map_err(|refused| {
            let (code, message) = match refused.reason {
                Reason::QueueFull => (RefusalCode::QueueFull, "too many requests wait already"),
                Reason::Deadline => {
                    (RefusalCode::DeadlineExceeded, "it would wait past its deadline")
                }
            };
            Refusal::not_run(code, message).with_retry_after(refused.retry_after)
        })?;
        // Time has passed in the queue.
        self.check_dispatch_in_time(node)?;
        Ok(permit)
    }

    /// Checks again, right before a dispatch, that the request may still be sent.
    ///
    /// # Errors
    /// As `check_dispatch`, and if the deadline has passed.
    pub fn check_dispatch_in_time(&self, node: &Node) -> Result<(), Refusal> {
        self.check_dispatch(node)?;
        if boot_now() >= self.deadline {
            let refusal =
                Refusal::not_run(RefusalCode::DeadlineExceeded, "its deadline has passed");
            return Err(refusal.with_retry_after(node.admission.retry_after()));
        }
        Ok(())
    }

    /// Checks, right before a dispatch, that the node may still send it.
    ///
    /// # Errors
    /// If the node's lease has ended, or targets have ended under the request.
    pub fn check_dispatch(&self, node: &Node) -> Result<(), Refusal> {
        if let Some(left) = node.quarantine_remaining(self.fingerprint) {
            let message = "targets have ended under this request, one after the other";
            return Err(Refusal::not_run(RefusalCode::Quarantined, message).with_retry_after(left));
        }
        if node.in_force().is_some() {
            return Ok(());
        }
        let message = "this node's freshness lease ended before the request was sent";
        Err(Refusal::not_run(RefusalCode::NotFresh, message)
            .with_retry_after(NOT_FRESH_RETRY_AFTER))
    }

    /// Records how the request ended: in a log line, in the metrics, and against its service
    /// level. `what` is the model or service.
    pub fn record_end(&self, node: &Node, resource: &str, summary: CallSummary<'_>) {
        let CallSummary { result, first_token_latency, target } = summary;
        let code = result.map_or_else(|refusal| refusal.code.code_status_remedy().0, |()| "ok");
        let execution = result.map_or_else(|refusal| refusal.execution.as_str(), |()| "ran");
        let took = boot_now().saturating_sub(self.received_at);
        log::info!(
            "event=request_ended request={} account={} kind={} what={} code={code} \
             execution={execution} took_ms={}",
            quoted(&self.request_id),
            quoted(&self.account),
            quoted(&self.kind_id),
            quoted(resource),
            took.as_millis(),
        );
        let labels =
            [label("kind", &self.kind_id), label("account", &self.account), label("code", code)];
        node.metrics.requests.add(1, &labels);
        // What the caller did wrong is not held against the service level.
        if result.is_err_and(|refusal| refusal.code.code_status_remedy().1.is_client_error()) {
            return;
        }
        let due = Duration::from_millis(self.kind.objective.first_token_ms);
        let served = Served {
            kind: &self.kind_id,
            account: &self.account,
            target,
            good: result.is_ok() && first_token_latency.unwrap_or(took) <= due,
            objective_share: self.kind.objective.share,
        };
        node.burn.lock().record(served, boot_now());
    }
}

fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge(limit) => Refusal::not_run(
            RefusalCode::BodyTooLarge,
            format!("the body is longer than {limit} bytes"),
        ),
        BodyError::Broken => Refusal::not_run(RefusalCode::BadRequest, "the body broke off"),
    }
}

fn deadline_ms(request: &Request) -> Result<Option<u64>, Refusal> {
    let Some(text) = request.header(DEADLINE_HEADER) else { return Ok(None) };
    match text.parse::<u64>() {
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
