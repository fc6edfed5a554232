//! Error responses to callers.

use std::time::Duration;

use serde_json::json;
use warp::http::StatusCode;

use crate::http::{self, Response};

/// Whether a request may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No part of the request reached a target, or the target confirmed that it did not run it.
    NotRun,
    /// The request may have run, completely or in part.
    MayHaveRun,
}

impl Execution {
    /// The value of the `execution` field.
    pub fn as_str(self) -> &'static str {
        match self {
            Execution::NotRun => "not_run",
            Execution::MayHaveRun => "may_have_run",
        }
    }
}

/// Why a request failed. docs/OPERATIONS.md lists the codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCode {
    /// The bearer key is missing or unknown.
    InvalidKey,
    BadRequest,
    BodyTooLarge,
    /// The configuration has no such model.
    UnknownModel,
    /// The configuration has no such request kind.
    UnknownKind,
    /// The configuration has no such service.
    UnknownService,
    /// There is no such endpoint.
    NotFound,
    /// The request id was already used for a different request.
    IdReused,
    /// A request with this id is running or has run, and its answer is not available.
    AlreadyClaimed,
    QueueFull,
    /// The request could not be answered before its deadline.
    DeadlineExceeded,
    ShuttingDown,
    /// The node has no valid freshness lease.
    NotFresh,
    /// No leader of the replicated log answered.
    NoLeader,
    /// Several targets terminated while they ran this request.
    Quarantined,
    NoTarget,
    TargetFailed,
    /// The answer was interrupted and can't be resumed.
    AnswerIncomplete,
}

impl RefusalCode {
    /// The value of the `code` field, the HTTP status, and the remedy.
    pub fn code_status_remedy(self) -> (&'static str, StatusCode, &'static str) {
        use StatusCode as S;
        match self {
            RefusalCode::InvalidKey => {
                ("wrong_key", S::UNAUTHORIZED, "send Authorization: Bearer KEY")
            }
            RefusalCode::BadRequest => ("bad_request", S::BAD_REQUEST, "correct the request"),
            RefusalCode::BodyTooLarge => ("too_large", S::PAYLOAD_TOO_LARGE, "send a shorter body"),
            RefusalCode::UnknownModel => {
                ("unknown_model", S::NOT_FOUND, "use a model from /v1/models")
            }
            RefusalCode::UnknownKind => ("unknown_kind", S::BAD_REQUEST, "use a configured kind"),
            RefusalCode::UnknownService => {
                ("unknown_service", S::NOT_FOUND, "use a configured service")
            }
            RefusalCode::NotFound => ("not_found", S::NOT_FOUND, "see README.md for the endpoints"),
            RefusalCode::IdReused => (
                "id_reused",
                S::UNPROCESSABLE_ENTITY,
                "use a new Idempotency-Key for a new request",
            ),
            RefusalCode::AlreadyClaimed => (
                "already_claimed",
                S::CONFLICT,
                "find out whether it took effect before a new order",
            ),
            RefusalCode::QueueFull => {
                ("queue_full", S::TOO_MANY_REQUESTS, "retry after the time given in Retry-After")
            }
            RefusalCode::DeadlineExceeded => {
                ("deadline", S::SERVICE_UNAVAILABLE, "allow more time or retry later")
            }
            RefusalCode::ShuttingDown => ("shutting_down", S::SERVICE_UNAVAILABLE, "retry"),
            RefusalCode::NotFresh => ("not_fresh", S::SERVICE_UNAVAILABLE, "retry on another node"),
            RefusalCode::NoLeader => {
                ("no_leader", S::SERVICE_UNAVAILABLE, "retry after the time given in Retry-After")
            }
            RefusalCode::Quarantined => (
                "held",
                S::SERVICE_UNAVAILABLE,
                "retry after the time given in Retry-After, or change the request",
            ),
            RefusalCode::NoTarget => {
                ("no_target", S::SERVICE_UNAVAILABLE, "retry after the time given in Retry-After")
            }
            RefusalCode::TargetFailed => {
                ("target_failed", S::BAD_GATEWAY, "retry if it is safe to repeat")
            }
            RefusalCode::AnswerIncomplete => {
                ("answer_broken", S::BAD_GATEWAY, "retry if it is safe to repeat")
            }
        }
    }
}

/// An error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub code: RefusalCode,
    /// The error message, without the remedy.
    pub message: String,
    pub execution: Execution,
    /// Suggested delay before a retry, if any.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that has not run.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, message: message.into(), execution: Execution::NotRun, retry_after: None }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(code: RefusalCode, message: impl Into<String>) -> Refusal {
        let execution = Execution::MayHaveRun;
        Refusal { code, message: message.into(), execution, retry_after: None }
    }

    /// Sets the suggested delay before a retry.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Refusal {
        self.retry_after = Some(retry_after);
        self
    }

    /// The error object in the format of the OpenAI API, with the additional field `execution`.
    pub fn body(&self) -> serde_json::Value {
        let (code, status, remedy) = self.code.code_status_remedy();
        let error_type =
            if status.is_client_error() { "invalid_request_error" } else { "server_error" };
        json!({"error": {
            "message": format!("{}; {remedy}", self.message),
            "type": error_type,
            "param": null,
            "code": code,
            "execution": self.execution.as_str(),
        }})
    }

    pub fn response(&self) -> Response {
        let (_, status, _) = self.code.code_status_remedy();
        let mut response = http::json(status, &self.body());
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1_000).max(1);
            http::set_header(&mut response, "retry-after", &seconds.to_string());
        }
        response
    }
}
