//! Prompts: reads the request, finds what is kept of its context, runs it, and answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::at_most_once::{self, ClaimOutcome, HeldClaim};
use super::callers::{ApiCall, CallSummary};
use super::prompt_run::Run;
use super::responses::{self, ResponseEvent, ResponseFormat};
use super::{Refusal, RefusalCode};
use crate::claims::Outcome;
use crate::config::Policy;
use crate::edge::chat::{PromptRequest, Shape, Usage};
use crate::http::{Request, Response};
use crate::ids::WeightVersion;
use crate::node::Node;
use crate::node::admission::Place;
use crate::prompt::{Chain, Owner};

/// Parts that wait for a slow caller; the run waits when there are more.
const RESPONSE_EVENT_BUFFER: usize = 64;

/// A prompt that was read and checked.
pub struct Prompt {
    /// Who asks and for what kind.
    pub call: ApiCall,
    /// The interface.
    pub shape: Shape,
    /// The body as it came.
    pub body: serde_json::Value,
    /// How it is routed.
    pub policy: Policy,
    /// The weight version that answers it, to its end.
    pub weight_version: WeightVersion,
    /// The model's name.
    pub model_id: String,
    /// The prompt in blocks. Invariant: named for `weight_version`.
    pub chain: Chain,
    text: String,
}

impl Prompt {
    /// Has it answered by other weights. Only before any engine may have begun with it.
    pub fn turn_to(&mut self, weight_version: WeightVersion) {
        self.chain = chain(&self.call, &self.model_id, &weight_version, &self.text);
        self.weight_version = weight_version;
    }
}

fn chain(call: &ApiCall, model: &str, weight_version: &str, text: &str) -> Chain {
    let owner = Owner {
        account: call.account.clone(),
        model: model.to_string(),
        weight_version: weight_version.to_string(),
        adapter: String::new(),
    };
    Chain::new(&owner, text)
}

/// The answer of a prompt marked not repeatable, as it is replay_outcome.
#[derive(Serialize, Deserialize)]
struct Record {
    text: String,
    finish: String,
    usage: Usage,
}

/// Answers a prompt.
///
/// # Errors
/// Why there is no answer.
pub async fn serve(
    node: &Arc<Node>,
    call: ApiCall,
    request: &Request,
    shape: Shape,
) -> Result<Response, Refusal> {
    let (prompt, format) = read(node, call, request, shape)?;
    let mut held_claim = None;
    if !prompt.call.repeatable {
        let digest = at_most_once::request_digest(&[shape.path().as_bytes(), &request.bytes()]);
        match at_most_once::claim(node, &prompt.call, digest).await? {
            ClaimOutcome::Granted(claim) => held_claim = Some(claim),
            ClaimOutcome::AlreadyRan(outcome) => return replay_outcome(format, &outcome),
        }
    }
    let place = prompt.call.take_place(node).await.inspect_err(|refusal| {
        let summary = CallSummary { result: Err(refusal), first_token_latency: None, target: None };
        prompt.call.record_end(node, &prompt.model_id, summary);
    })?;
    let (sender, events) = mpsc::channel(RESPONSE_EVENT_BUFFER);
    tokio::spawn(run(node.clone(), prompt, held_claim, place, sender));
    Ok(responses::respond(format, events).await)
}

/// Runs a prompt to its end, whether or not the caller stays.
async fn run(
    node: Arc<Node>,
    prompt: Prompt,
    held_claim: Option<HeldClaim>,
    place: Place,
    sender: mpsc::Sender<ResponseEvent>,
) {
    let call = prompt.call.clone();
    let model_id = prompt.model_id.clone();
    let mut run = Run::new(node.clone(), prompt, held_claim, sender);
    let result = run.to_end().await;
    let summary = CallSummary {
        result: result.as_ref().map(|_| ()),
        first_token_latency: run.first_token_latency(),
        target: run.last_target(),
    };
    call.record_end(&node, &model_id, summary);
    let (held_claim, sender) = run.into_parts();
    match result {
        Ok(whole) => {
            let (finish_reason, usage) = (whole.finish_reason.clone(), whole.usage);
            if let Some(held_claim) = held_claim {
                let record = Record { text: whole.text, finish: whole.finish_reason, usage };
                held_claim.record_outcome(outcome(&record)).await;
            }
            // The caller may have hung up; then nobody needs the end.
            let _ = sender.send(ResponseEvent::Completed { finish_reason, usage }).await;
        }
        Err(refusal) => {
            let _ = sender.send(ResponseEvent::Failed(refusal)).await;
        }
    }
    drop(place);
}

fn read(
    node: &Node,
    call: ApiCall,
    request: &Request,
    shape: Shape,
) -> Result<(Prompt, ResponseFormat), Refusal> {
    let bad = |message: String| Refusal::not_run(RefusalCode::BadRequest, message);
    let body: serde_json::Value =
        request.json().map_err(|reason| bad(format!("the body is not JSON: {reason}")))?;
    let asked: PromptRequest = serde_json::from_value(body.clone())
        .map_err(|reason| bad(format!("the body is not a prompt: {reason}")))?;
    let missing = match shape {
        Shape::Chat => asked.messages.is_empty().then_some("messages"),
        Shape::Text => asked.prompt.is_none().then_some("prompt"),
    };
    if let Some(field) = missing {
        return Err(bad(format!("{field}: is missing or empty")));
    }
    let models = &call.config.config.models;
    let Some(model) = models.get(&asked.model).cloned() else {
        let known = models.keys().cloned().collect::<Vec<_>>().join(", ");
        let message = format!("no model {:?}; there are: {known}", asked.model);
        return Err(Refusal::not_run(RefusalCode::UnknownModel, message));
    };
    let weight_version = {
        let mut router = node.router.lock();
        let draw = router.draw();
        router.version_for(&asked.model, &model, draw, call.received_at)
    };
    let prefix = match shape {
        Shape::Chat => "chatcmpl",
        Shape::Text => "cmpl",
    };
    let format = ResponseFormat {
        shape,
        model: asked.model.clone(),
        id: format!("{prefix}-{}", call.request_id),
        stream: asked.stream,
        include_usage: asked.wants_usage(),
    };
    let text = asked.prompt_text();
    let chain = chain(&call, &asked.model, &weight_version, &text);
    let model_id = asked.model;
    let policy = model.policy;
    Ok((Prompt { call, shape, body, policy, weight_version, model_id, chain, text }, format))
}

fn outcome(record: &Record) -> Outcome {
    Outcome {
        status: 200,
        content_type: "application/json".into(),
        body: serde_json::to_vec(record).ok(),
    }
}

fn replay_outcome(format: ResponseFormat, outcome: &Outcome) -> Result<Response, Refusal> {
    let body = outcome.body.as_deref().unwrap_or_default();
    let Ok(record) = serde_json::from_slice::<Record>(body) else {
        let message = "it ran before, and its answer was too long to keep";
        return Err(Refusal::may_have_run(RefusalCode::AlreadyClaimed, message));
    };
    Ok(responses::complete_response(format, record.text, record.finish, record.usage))
}
