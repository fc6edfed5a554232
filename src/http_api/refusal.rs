//! What a caller is told when there is no answer.

use std::time::Duration;

use serde_json::json;
use warp::http::StatusCode;

use crate::http::{self, Response};

/// Whether the request may have had an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No byte of it reached a target, or a target proved that it ran nothing.
    NotRun,
    /// It may have run, wholly or in part.
    MayHaveRun,
}

impl Execution {
    /// The word in the answer.
    pub fn as_str(self) -> &'static str {
        match self {
            Execution::NotRun => "not_run",
            Execution::MayHaveRun => "may_have_run",
        }
    }
}

/// Why there is no answer. docs/OPERATIONS.md lists the codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCode {
    /// No bearer key, or an unknown one.
    InvalidKey,
    /// The request can't be understood.
    BadRequest,
    /// The body is too large.
    BodyTooLarge,
    /// No such model for this account.
    UnknownModel,
    /// No such kind of request.
    UnknownKind,
    /// No such service.
    UnknownService,
    /// No such interface.
    NotFound,
    /// The request id was used for another request.
    IdReused,
    /// A request with this id runs or ran, and its answer can't be given.
    AlreadyClaimed,
    /// The queue is full.
    QueueFull,
    /// It could not have been answered by its deadline.
    DeadlineExceeded,
    /// The node is shutting down.
    ShuttingDown,
    /// The node's freshness lease has ended.
    NotFresh,
    /// No leader of the replicated log could be asked.
    NoLeader,
    /// Targets have ended under this request.
    Quarantined,
    /// No target may take it now.
    NoTarget,
    /// The target failed.
    TargetFailed,
    /// The answer broke off and can't be continued safely.
    AnswerIncomplete,
}

impl RefusalCode {
    /// The word in the answer, the status, and the remedy.
    pub fn code_status_remedy(self) -> (&'static str, StatusCode, &'static str) {
        use StatusCode as S;
        match self {
            RefusalCode::InvalidKey => {
                ("wrong_key", S::UNAUTHORIZED, "send Authorization: Bearer KEY")
            }
            RefusalCode::BadRequest => ("bad_request", S::BAD_REQUEST, "mend the request"),
            RefusalCode::BodyTooLarge => ("too_large", S::PAYLOAD_TOO_LARGE, "send a shorter body"),
            RefusalCode::UnknownModel => {
                ("unknown_model", S::NOT_FOUND, "use a model of /v1/models")
            }
            RefusalCode::UnknownKind => ("unknown_kind", S::BAD_REQUEST, "use a configured kind"),
            RefusalCode::UnknownService => {
                ("unknown_service", S::NOT_FOUND, "use a configured service")
            }
            RefusalCode::NotFound => {
                ("not_found", S::NOT_FOUND, "see README.md for the interfaces")
            }
            RefusalCode::IdReused => (
                "id_reused",
                S::UNPROCESSABLE_ENTITY,
                "use a new Idempotency-Key for a new request",
            ),
            RefusalCode::AlreadyClaimed => {
                ("already_claimed", S::CONFLICT, "find out by other means before you order again")
            }
            RefusalCode::QueueFull => {
                ("queue_full", S::TOO_MANY_REQUESTS, "come back after Retry-After")
            }
            RefusalCode::DeadlineExceeded => {
                ("deadline", S::SERVICE_UNAVAILABLE, "allow more time or come back later")
            }
            RefusalCode::ShuttingDown => ("shutting_down", S::SERVICE_UNAVAILABLE, "send it again"),
            RefusalCode::NotFresh => {
                ("not_fresh", S::SERVICE_UNAVAILABLE, "send it to another node")
            }
            RefusalCode::NoLeader => {
                ("no_leader", S::SERVICE_UNAVAILABLE, "come back after Retry-After")
            }
            RefusalCode::Quarantined => {
                ("held", S::SERVICE_UNAVAILABLE, "come back after Retry-After, or ask otherwise")
            }
            RefusalCode::NoTarget => {
                ("no_target", S::SERVICE_UNAVAILABLE, "come back after Retry-After")
            }
            RefusalCode::TargetFailed => {
                ("target_failed", S::BAD_GATEWAY, "send it again if it may repeat")
            }
            RefusalCode::AnswerIncomplete => {
                ("answer_broken", S::BAD_GATEWAY, "send it again if it may repeat")
            }
        }
    }
}

/// The final answer to a request that gets no other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// What exactly is wrong.
    pub message: String,
    /// Whether the request may have had an effect.
    pub execution: Execution,
    /// When a later try makes sense; `None` if none does.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal before anything was sent to a target.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Refusal {
        Refusal { code, message: message.into(), execution: Execution::NotRun, retry_after: None }
    }

    /// A refusal after something may have been sent to a target.
    pub fn may_have_run(code: RefusalCode, message: impl Into<String>) -> Refusal {
        let execution = Execution::MayHaveRun;
        Refusal { code, message: message.into(), execution, retry_after: None }
    }

    /// Tells the caller when to come back.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Refusal {
        self.retry_after = Some(retry_after);
        self
    }

    /// The error object, in the published shape with fields of ours.
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

    /// The whole answer.
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
