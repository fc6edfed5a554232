//! Callers' HTTP: who asks, for what kind of request, and which interface answers.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde_json::json;
use warp::http::{Method, StatusCode};

use super::{Code, Refusal, prompts, services};
use crate::clock::{BootTime, boot_now};
use crate::config::{Kind, NumberedConfig};
use crate::http::{self, BodyError, Request, Response};
use crate::ids::{AccountId, KindId, RequestId};
use crate::limits::Wants;
use crate::limits::admission::Reason;
use crate::node::Node;
use crate::node::places::Place;
use crate::quarantine::Fingerprint;
use crate::telemetry::burn::Served;
use crate::telemetry::logs::quoted;
use crate::telemetry::metrics::label;
use crate::upstream::chat::ApiFormat;

const KIND_HEADER: &str = "x-kumquatpost-kind";
const DEADLINE_HEADER: &str = "x-kumquatpost-deadline-ms";
const REPEATABLE_HEADER: &str = "x-kumquatpost-repeatable";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_ID_BYTES: usize = 256;
const DEFAULT_KIND: &str = "default";
/// Interfaces don't depend on the name that a caller has for this node.
const NO_HOST: &str = "";
/// When to come back to a node that is not fresh: its lease may be renewed by then.
const NOT_FRESH_RETRY: Duration = Duration::from_secs(1);

/// A caller's request with everything that was found out about it.
#[derive(Clone, Debug)]
pub struct Call {
    /// The configuration that it runs under to its end.
    pub config: Arc<NumberedConfig>,
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
    pub came_at: BootTime,
    /// When its first token is due.
    pub deadline: BootTime,
    /// What it asks, whichever of its caller's tries it is.
    pub fingerprint: Fingerprint,
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
pub struct End<'a> {
    /// With an answer or a refusal.
    pub result: Result<(), &'a Refusal>,
    /// When its first token came, counted from its arrival; `None` if it has no tokens.
    pub first_token: Option<Duration>,
    /// The target that answered or failed it last.
    pub target: Option<&'a str>,
}

/// Answers one request.
pub async fn handle(node: Arc<Node>, request: Request) -> Response {
    match (&request.method, request.path.as_str()) {
        (&Method::GET, "/health/live") => http::text(StatusCode::OK, "live\n".into()),
        (&Method::GET, "/health/ready") => ready(&node),
        (&Method::GET, "/metrics") => http::text(StatusCode::OK, node.metrics.text()),
        _ => match served(&node, request).await {
            Ok(response) => response,
            Err(refusal) => refusal.response(),
        },
    }
}

async fn served(node: &Arc<Node>, request: Request) -> Result<Response, Refusal> {
    let method = request.method.clone();
    let path = request.path.clone();
    if method == Method::GET && path == "/v1/models" {
        return models(node, &request);
    }
    if let Some(format) = ApiFormat::from_path(&path).filter(|_| method == Method::POST) {
        let call = Call::read(node, &request)?;
        return prompts::serve(node, call, &request, format).await;
    }
    if let ["v1", "services", service, ..] = request.segments().as_slice() {
        let service = service.to_string();
        return services::serve(node, &request, &service).await;
    }
    Err(Refusal::not_run(Code::NotFound, format!("no interface {method} {path}")))
}

fn ready(node: &Node) -> Response {
    if node.is_ready() {
        return http::text(StatusCode::OK, "ready\n".into());
    }
    http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
}

fn models(node: &Node, request: &Request) -> Result<Response, Refusal> {
    let config = admitting(node)?;
    identify(&config, request)?;
    let models: Vec<_> = config
        .config
        .models
        .keys()
        .map(|id| json!({"id": id, "object": "model", "created": 0, "owned_by": "kumquatpost"}))
        .collect();
    Ok(http::json(StatusCode::OK, &json!({"object": "list", "data": models})))
}

/// The configuration in force, if the node admits requests.
pub fn admitting(node: &Node) -> Result<Arc<NumberedConfig>, Refusal> {
    if node.is_stopping() {
        let refusal = Refusal::not_run(Code::ShuttingDown, "this node is shutting down");
        return Err(refusal.after(NOT_FRESH_RETRY));
    }
    node.in_force().filter(|config| config.number > 0).ok_or_else(|| {
        let message = "this node can't know whether its configuration is in force";
        Refusal::not_run(Code::NotFresh, message).after(NOT_FRESH_RETRY)
    })
}

fn identify(config: &NumberedConfig, request: &Request) -> Result<AccountId, Refusal> {
    let bearer = request.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let account = bearer.and_then(|key| config.account_of_key(key.trim()));
    account
        .cloned()
        .ok_or_else(|| Refusal::not_run(Code::WrongKey, "the bearer key is missing or unknown"))
}

impl Call {
    /// Finds out who asks and for what.
    ///
    /// # Errors
    /// What is wrong with the request, or that this node does not admit any.
    pub fn read(node: &Node, request: &Request) -> Result<Call, Refusal> {
        let config = admitting(node)?;
        let account = identify(&config, request)?;
        if let Err(error) = &request.body {
            return Err(body_refusal(*error));
        }
        let kind_id = request.header(KIND_HEADER).unwrap_or(DEFAULT_KIND).to_string();
        let Some(kind) = config.config.kind(&kind_id) else {
            let known = config.config.kinds.keys().cloned().collect::<Vec<_>>().join(", ");
            let message = format!("no kind {kind_id:?}; there are: {known}");
            return Err(Refusal::not_run(Code::UnknownKind, message));
        };
        let came_at = boot_now();
        let deadline_ms = deadline_ms(request)?.unwrap_or(kind.deadline_ms);
        // A caller can tighten whether it repeats, never loosen it.
        let repeatable = kind.repeatable && request.header(REPEATABLE_HEADER) != Some("false");
        let (method, path) =
            (request.method.as_str(), format!("{}?{}", request.path, request.query));
        let body = request.bytes();
        Ok(Call {
            request_id: request_id(request)?,
            fingerprint: Fingerprint::of(Some(&account), method, NO_HOST, &path, &body),
            config,
            account,
            kind_id,
            kind,
            repeatable,
            came_at,
            deadline: came_at + Duration::from_millis(deadline_ms),
        })
    }

    /// Waits for a place to run.
    ///
    /// # Errors
    /// That it was given up on, and when to come back.
    pub async fn take_place(&self, node: &Arc<Node>) -> Result<Place, Refusal> {
        let account = self.config.config.accounts.get(&self.account);
        let limit = account.map_or(1, |account| account.max_running);
        let wants = Wants {
            account: self.account.clone(),
            weight: account.map_or(1, |account| account.weight),
            account_limit: node.share_of(&self.account, limit).await,
            priority: self.kind.priority,
            deadline: self.deadline,
        };
        let place = node.places.take(wants).await.map_err(|refused| {
            let (code, message) = match refused.reason {
                Reason::QueueFull => (Code::QueueFull, "too many requests wait already"),
                Reason::Deadline => (Code::Deadline, "it would wait past its deadline"),
            };
            Refusal::not_run(code, message).after(refused.retry_after)
        })?;
        // Time has passed in the queue.
        self.still_admitted(node)?;
        Ok(place)
    }

    /// Checks again, right before a dispatch, that the request may still be sent.
    ///
    /// # Errors
    /// As `may_be_sent`, and if the deadline has passed.
    pub fn still_admitted(&self, node: &Node) -> Result<(), Refusal> {
        self.may_be_sent(node)?;
        if boot_now() >= self.deadline {
            let refusal = Refusal::not_run(Code::Deadline, "its deadline has passed");
            return Err(refusal.after(node.places.retry_after()));
        }
        Ok(())
    }

    /// Checks, right before a dispatch, that the node may still send it.
    ///
    /// # Errors
    /// If the node's lease has ended, or targets have ended under the request.
    pub fn may_be_sent(&self, node: &Node) -> Result<(), Refusal> {
        if let Some(left) = node.held_for(self.fingerprint) {
            let message = "targets have ended under this request, one after the other";
            return Err(Refusal::not_run(Code::Held, message).after(left));
        }
        if node.in_force().is_some() {
            return Ok(());
        }
        let message = "this node's freshness lease ended before the request was sent";
        Err(Refusal::not_run(Code::NotFresh, message).after(NOT_FRESH_RETRY))
    }

    /// Records how the request ended: in a log line, in the metrics, and against its service
    /// level. `what` is the model or service.
    pub fn log_end(&self, node: &Node, what: &str, end: End<'_>) {
        let End { result, first_token, target } = end;
        let code = result.map_or_else(|refusal| refusal.code.parts().0, |()| "ok");
        let execution = result.map_or_else(|refusal| refusal.execution.as_str(), |()| "ran");
        let took = boot_now().saturating_sub(self.came_at);
        log::info!(
            "event=request_ended request={} account={} kind={} what={} code={code} \
             execution={execution} took_ms={}",
            quoted(&self.request_id),
            quoted(&self.account),
            quoted(&self.kind_id),
            quoted(what),
            took.as_millis(),
        );
        let labels =
            [label("kind", &self.kind_id), label("account", &self.account), label("code", code)];
        node.metrics.requests.add(1, &labels);
        // What the caller did wrong is not held against the service level.
        if result.is_err_and(|refusal| refusal.code.parts().1.is_client_error()) {
            return;
        }
        let due = Duration::from_millis(self.kind.objective.first_token_ms);
        let served = Served {
            kind: &self.kind_id,
            account: &self.account,
            target,
            good: result.is_ok() && first_token.unwrap_or(took) <= due,
            objective_share: self.kind.objective.share,
        };
        node.burn.lock().record(served, boot_now());
    }
}

fn body_refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge(limit) => {
            Refusal::not_run(Code::TooLarge, format!("the body is longer than {limit} bytes"))
        }
        BodyError::Disconnected => Refusal::not_run(Code::BadRequest, "the body broke off"),
    }
}

fn deadline_ms(request: &Request) -> Result<Option<u64>, Refusal> {
    let Some(text) = request.header(DEADLINE_HEADER) else { return Ok(None) };
    match text.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(ms.min(86_400_000))),
        _ => {
            let message = format!("{DEADLINE_HEADER}: {text:?} is not a number of milliseconds");
            Err(Refusal::not_run(Code::BadRequest, message))
        }
    }
}

fn request_id(request: &Request) -> Result<RequestId, Refusal> {
    let Some(text) = request.header(IDEMPOTENCY_HEADER) else {
        return Ok(format!("r-{:032x}", rand::rng().random::<u128>()));
    };
    let plain = !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if plain {
        return Ok(text.to_string());
    }
    let message = format!("{IDEMPOTENCY_HEADER}: use 1 to {MAX_ID_BYTES} visible ASCII characters");
    Err(Refusal::not_run(Code::BadRequest, message))
}
