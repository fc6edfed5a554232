//! The HTTP interface for operators: configuration, status, replicas, and fault injection.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Value, json};
use warp::http::{Method, StatusCode};

use crate::clock::boot_now;
use crate::config::{ConfigHistory, Update};
use crate::http::{self, BodyError, Request, Response};
use crate::ids::NodeId;
use crate::log::raft::Change;
use crate::log::state::{Command, Patch, PatchAnswer, Reply};
use crate::node::Node;
use crate::node::leader_client::NoLeader;

/// Suggested retry delay if this node can't decide.
const RETRY_AFTER_S: &str = "1";
/// Number of patches in the history.
const MAX_HISTORY_LEN: u64 = 50;

/// Handles a request on the operators' listener.
pub async fn handle(node: Arc<Node>, request: Request) -> Response {
    if let Err(error) = request.body {
        return body_error_response(error);
    }
    match (&request.method, request.segments().as_slice()) {
        (&Method::GET, ["v1", "config"]) => get_config(&node, &request).await,
        (&Method::PATCH, ["v1", "config"]) => patch_config(&node, &request).await,
        (&Method::GET, ["v1", "config", "history"]) => get_history(&node).await,
        (&Method::GET, ["v1", "status"]) => http::json(StatusCode::OK, &node.status_json()),
        (&Method::GET, ["v1", "burn"]) => {
            http::json(StatusCode::OK, &node.burn.lock().counts(boot_now()))
        }
        (&Method::POST, ["v1", "replicas"]) => change_replicas(&node, &request).await,
        (&Method::POST, ["v1", "faults"]) => set_faults(&node, &request),
        (&Method::GET, ["metrics"]) => http::text(StatusCode::OK, node.metrics.text()),
        (&Method::GET, ["health", "live"]) => http::text(StatusCode::OK, "live\n".into()),
        _ => {
            let message = "no such endpoint; there are GET and PATCH /v1/config, \
                           GET /v1/config/history, GET /v1/status, GET /v1/burn, \
                           POST /v1/replicas, GET /metrics";
            error_response(StatusCode::NOT_FOUND, "not_found", message)
        }
    }
}

async fn get_config(node: &Arc<Node>, request: &Request) -> Response {
    if request.parameter("local") == Some("true") {
        return local_config(node);
    }
    // Number 0 requests the whole configuration.
    let mut history = ConfigHistory::default();
    match node.read_config(0).await {
        Ok(update) if history.apply_update(&update).is_ok() => {
            config_response(history.number(), &history.newest().document)
        }
        _ => no_leader_response(),
    }
}

/// The configuration in force at this node, which may be older than the newest by the duration of a
/// lease.
fn local_config(node: &Node) -> Response {
    match node.in_force() {
        Some(numbered) => config_response(numbered.number, &numbered.document),
        None => no_leader_response(),
    }
}

fn config_response(number: u64, document: &Value) -> Response {
    let mut response = http::json(StatusCode::OK, &json!({"number": number, "config": document}));
    http::set_header(&mut response, "etag", &format!("\"{number}\""));
    response
}

async fn patch_config(node: &Arc<Node>, request: &Request) -> Response {
    let patch = match parse_patch(request) {
        Ok(patch) => patch,
        Err(error) => return error_response(error.status, error.code, &error.message),
    };
    match node.propose(Command::Patch(patch)).await {
        Ok(Reply::Patch(answer)) => patch_response(&answer),
        _ => no_leader_response(),
    }
}

/// Why a patch request is invalid.
struct PatchError {
    status: StatusCode,
    code: &'static str,
    message: String,
}

fn parse_patch(request: &Request) -> Result<Patch, PatchError> {
    let patch_error = |status, code, message: String| PatchError { status, code, message };
    let required = StatusCode::PRECONDITION_REQUIRED;
    let Some(if_match) = request.header("if-match") else {
        let message = "send If-Match: \"N\" with the number that the patch was made against";
        return Err(patch_error(required, "if_match_missing", message.into()));
    };
    let Ok(base) = if_match.trim().trim_matches('"').parse() else {
        let message = format!("If-Match: {if_match:?} is not a number; send If-Match: \"N\"");
        return Err(patch_error(StatusCode::BAD_REQUEST, "if_match_invalid", message));
    };
    let Some(patch_id) = request.header("idempotency-key").filter(|id| !id.is_empty()) else {
        let message = "send an Idempotency-Key, so that a retry gets the first answer again";
        return Err(patch_error(required, "idempotency_key_missing", message.into()));
    };
    let value: Value = request.json().map_err(|reason| {
        let message = format!("the body is not JSON: {reason}; send a JSON merge patch");
        patch_error(StatusCode::BAD_REQUEST, "patch_invalid", message)
    })?;
    Ok(Patch { patch_id: patch_id.to_string(), base, text: value.to_string() })
}

fn patch_response(answer: &PatchAnswer) -> Response {
    match answer {
        PatchAnswer::Accepted(number) => {
            let mut response = http::json(StatusCode::OK, &json!({"number": number}));
            http::set_header(&mut response, "etag", &format!("\"{number}\""));
            response
        }
        PatchAnswer::BaseMismatch(current) => {
            let message = format!(
                "another patch was accepted first; read number {current}, then send yours with \
                 If-Match: \"{current}\" and a new Idempotency-Key"
            );
            let body = json!({"error": {"code": "raced", "message": message}, "number": current});
            let mut response = http::json(StatusCode::PRECONDITION_FAILED, &body);
            http::set_header(&mut response, "etag", &format!("\"{current}\""));
            response
        }
        PatchAnswer::Invalid(problems) => {
            let body = json!({"error": {"code": "invalid", "message": problems.join(" | ")}});
            http::json(StatusCode::UNPROCESSABLE_ENTITY, &body)
        }
        PatchAnswer::IdReused => {
            let message = "this Idempotency-Key belongs to another patch; use a new one";
            error_response(StatusCode::UNPROCESSABLE_ENTITY, "id_reused", message)
        }
    }
}

async fn get_history(node: &Arc<Node>) -> Response {
    let read = node.read_config(node.config_number().saturating_sub(MAX_HISTORY_LEN)).await;
    let patches: Vec<Value> = match read {
        Ok(Update::Patches(patches)) => patches
            .iter()
            .rev()
            .map(|(number, text)| {
                let patch: Value = serde_json::from_str(text).unwrap_or(Value::Null);
                json!({"number": number, "patch": patch})
            })
            .collect(),
        Ok(Update::Full(number, text)) => {
            let document: Value = serde_json::from_str(&text).unwrap_or(Value::Null);
            vec![json!({"number": number, "document": document})]
        }
        Ok(Update::None) => Vec::new(),
        Err(NoLeader) => return no_leader_response(),
    };
    http::json(StatusCode::OK, &json!({"history": patches}))
}

async fn change_replicas(node: &Arc<Node>, request: &Request) -> Response {
    #[derive(Deserialize)]
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    enum ReplicaChange {
        AddLearner(NodeId),
        Promote(NodeId),
        Remove(NodeId),
    }
    let change = match request.json::<ReplicaChange>() {
        Ok(ReplicaChange::AddLearner(node)) => Change::AddLearner(node),
        Ok(ReplicaChange::Promote(node)) => Change::Promote(node),
        Ok(ReplicaChange::Remove(node)) => Change::Remove(node),
        Err(reason) => {
            let message = format!(
                "{reason}; send {{\"add_learner\": N}}, {{\"promote\": N}} or \
                         {{\"remove\": N}}"
            );
            return error_response(StatusCode::BAD_REQUEST, "change_invalid", &message);
        }
    };
    match node.change_replicas(change).await {
        Ok(Ok(())) => http::json(StatusCode::OK, &json!({"changed": true})),
        Ok(Err(reason)) => error_response(StatusCode::CONFLICT, "change_refused", &reason),
        Err(NoLeader) => no_leader_response(),
    }
}

fn set_faults(node: &Node, request: &Request) -> Response {
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Faults {
        cut_off_from: BTreeSet<NodeId>,
    }
    if !node.settings.fault_knobs {
        let message = "fault knobs are off; set fault_knobs and environment test";
        return error_response(StatusCode::FORBIDDEN, "fault_knobs_off", message);
    }
    match request.json::<Faults>() {
        Ok(faults) => {
            log::warn!("event=fault_set cut_off_from={:?}", faults.cut_off_from);
            node.links.set_blocked_peers(faults.cut_off_from);
            http::json(StatusCode::OK, &json!({"set": true}))
        }
        Err(reason) => error_response(StatusCode::BAD_REQUEST, "fault_invalid", &reason),
    }
}

impl Node {
    /// The status of this node, as shown to operators.
    pub fn status_json(&self) -> Value {
        let in_force = self.in_force();
        let replica = self.replica_status().map(|status| {
            let raft = &status.raft;
            json!({
                "term": raft.term, "is_leader": raft.is_leader, "leader": raft.leader,
                "commit": raft.commit, "last": raft.last, "recovering": raft.recovering,
                "stopped": raft.stopped, "voters": raft.members.voters,
                "learners": raft.members.learners, "number": status.number,
                "in_force": status.in_force, "claims": status.claims,
            })
        });
        let live: Vec<Value> = self
            .live_members()
            .iter()
            .map(|member| {
                json!({"node": member.node, "failure_domain": member.failure_domain,
                       "status": format!("{:?}", member.status).to_lowercase()})
            })
            .collect();
        let engines = self.engines_json();
        let contexts = self.catalog.lock().len();
        json!({
            "node": self.settings.node_id,
            "fresh": in_force.is_some(),
            "ready": !self.is_stopping() && in_force.is_some(),
            "number": self.config_number(),
            "running": self.admission.running(),
            "waiting": self.admission.waiting(),
            "contexts": contexts,
            "peer_sent_bytes": self.links.sent_bytes(),
            "replica": replica,
            "live": live,
            "engines": engines,
        })
    }

    fn engines_json(&self) -> Vec<Value> {
        let now = boot_now();
        let router = self.router.lock();
        let engines = router.view().engines.iter();
        engines
            .map(|(id, engine)| {
                let report = engine.fresh_report(now);
                json!({"target": id, "takes_work": engine.takes_work,
                       "suspect": engine.health.is_unhealthy(), "running": engine.running,
                       "trust": engine.residency.confidence(),
                       "weights": report.and_then(|report| report.weight_version.clone())})
            })
            .collect()
    }
}

fn no_leader_response() -> Response {
    let message = "no leader of the replicated log answered; see /v1/status, then try again";
    let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "no_leader", message);
    http::set_header(&mut response, "retry-after", RETRY_AFTER_S);
    response
}

fn body_error_response(error: BodyError) -> Response {
    match error {
        BodyError::TooLarge(limit) => {
            let message = format!("the body is longer than {limit} bytes; send a shorter one");
            error_response(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message)
        }
        BodyError::Disconnected => {
            let message = "the body is incomplete; send all of it";
            error_response(StatusCode::BAD_REQUEST, "body_incomplete", message)
        }
        BodyError::Interrupted => {
            let message = "nothing was changed, this node is shutting down; ask another one";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let mut response = error_response(status, "shutting_down", message);
            http::set_header(&mut response, "retry-after", RETRY_AFTER_S);
            response
        }
    }
}

fn error_response(status: StatusCode, code: &str, message: &str) -> Response {
    http::json(status, &json!({"error": {"code": code, "message": message}}))
}
