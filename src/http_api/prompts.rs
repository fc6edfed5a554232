//! Serves the prompt endpoints: parses the request, starts the run, and responds.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::at_most_once::{self, ClaimOutcome, HeldClaim};
use super::callers::{ApiCall, CallSummary};
use super::prompt_run::PromptRun;
use super::responses::{self, AnswerEvent, ResponseFormat};
use super::{Refusal, RefusalCode};
use crate::claims::Outcome;
use crate::config::Policy;

use crate::http::{Request, Response};
use crate::ids::WeightVersion;
use crate::node::Node;
use crate::node::admission::Permit;
use crate::prompt::{Chain, Owner};
use crate::upstream::chat::{ApiFormat, PromptRequest, Usage};

/// Capacity of the channel from a run to its response. A run waits while it is full.
const ANSWER_EVENT_BUFFER: usize = 64;

/// A validated prompt request.
pub struct Prompt {
    pub call: ApiCall,
    pub format: ApiFormat,
    /// The body of the request.
    pub body: serde_json::Value,
    /// The routing policy of the model.
    pub policy: Policy,
    /// The weight version that must generate the whole answer.
    pub weight_version: WeightVersion,
    pub model_id: String,
    /// The blocks of the prompt. Invariant: its keys are those of `weight_version`.
    pub chain: Chain,
    prompt_text: String,
}

impl Prompt {
    /// Changes the weight version. Must not be called after the prompt may have been dispatched.
    pub fn set_weight_version(&mut self, weight_version: WeightVersion) {
        self.chain = build_chain(&self.call, &self.model_id, &weight_version, &self.prompt_text);
        self.weight_version = weight_version;
    }
}

fn build_chain(call: &ApiCall, model: &str, weight_version: &str, text: &str) -> Chain {
    let owner = Owner {
        account: call.account.clone(),
        model: model.to_string(),
        weight_version: weight_version.to_string(),
        adapter: String::new(),
    };
    Chain::new(&owner, text)
}

/// The recorded outcome of a non-repeatable prompt.
#[derive(Serialize, Deserialize)]
struct RecordedAnswer {
    text: String,
    finish: String,
    usage: Usage,
}

/// Handles a prompt request.
///
/// # Errors
/// A refusal that was determined before the run was started.
pub async fn serve(
    node: &Arc<Node>,
    call: ApiCall,
    request: &Request,
    api_format: ApiFormat,
) -> Result<Response, Refusal> {
    let (prompt, format) = parse_prompt(node, call, request, api_format)?;
    let mut held_claim = None;
    if !prompt.call.repeatable {
        let digest =
            at_most_once::request_digest(&[api_format.path().as_bytes(), &request.bytes()]);
        match at_most_once::claim(node, &prompt.call, digest).await? {
            ClaimOutcome::Granted(claim) => held_claim = Some(claim),
            ClaimOutcome::AlreadyRan(outcome) => return replay_outcome(format, &outcome),
        }
    }
    let permit = prompt.call.acquire_permit(node).await.inspect_err(|refusal| {
        let summary = CallSummary { result: Err(refusal), first_token_latency: None, target: None };
        prompt.call.record_end(node, &prompt.model_id, summary);
    })?;
    let (sender, events) = mpsc::channel(ANSWER_EVENT_BUFFER);
    tokio::spawn(run_prompt(node.clone(), prompt, held_claim, permit, sender));
    Ok(responses::respond(format, events).await)
}

/// Runs a prompt on its own task, so that it completes even if the response is dropped.
async fn run_prompt(
    node: Arc<Node>,
    prompt: Prompt,
    held_claim: Option<HeldClaim>,
    permit: Permit,
    sender: mpsc::Sender<AnswerEvent>,
) {
    let call = prompt.call.clone();
    let model_id = prompt.model_id.clone();
    let mut run = PromptRun::new(node.clone(), prompt, held_claim, sender);
    let result = run.run_to_completion().await;
    let summary = CallSummary {
        result: result.as_ref().map(|_| ()),
        first_token_latency: run.first_token_latency(),
        target: run.last_target(),
    };
    call.record_end(&node, &model_id, summary);
    let (held_claim, sender) = run.into_parts();
    match result {
        Ok(answer) => {
            let (finish, usage) = (answer.finish.clone(), answer.usage);
            if let Some(held_claim) = held_claim {
                let record = RecordedAnswer { text: answer.text, finish: answer.finish, usage };
                held_claim.record_outcome(to_outcome(&record)).await;
            }
            // Fails only if the caller has disconnected.
            let _ = sender.send(AnswerEvent::End { finish, usage }).await;
        }
        Err(refusal) => {
            let _ = sender.send(AnswerEvent::Failed(refusal)).await;
        }
    }
    drop(permit);
}

fn parse_prompt(
    node: &Node,
    call: ApiCall,
    request: &Request,
    format: ApiFormat,
) -> Result<(Prompt, ResponseFormat), Refusal> {
    let bad_request = |message: String| Refusal::not_run(RefusalCode::BadRequest, message);
    let body: serde_json::Value =
        request.json().map_err(|reason| bad_request(format!("the body is not JSON: {reason}")))?;
    let prompt_request: PromptRequest = serde_json::from_value(body.clone())
        .map_err(|reason| bad_request(format!("the body is not a prompt: {reason}")))?;
    let missing = match format {
        ApiFormat::Chat => prompt_request.messages.is_empty().then_some("messages"),
        ApiFormat::Text => prompt_request.prompt.is_none().then_some("prompt"),
    };
    if let Some(field) = missing {
        return Err(bad_request(format!("{field} is missing or empty")));
    }
    let models = &call.config.config.models;
    let Some(model) = models.get(&prompt_request.model).cloned() else {
        let known = models.keys().cloned().collect::<Vec<_>>().join(", ");
        let message =
            format!("unknown model {:?}; configured models: {known}", prompt_request.model);
        return Err(Refusal::not_run(RefusalCode::UnknownModel, message));
    };
    let weight_version = {
        let mut router = node.router.lock();
        let request_number = router.next_request_number();
        router.choose_weight_version(
            &prompt_request.model,
            &model,
            request_number,
            call.received_at,
        )
    };
    let prefix = match format {
        ApiFormat::Chat => "chatcmpl",
        ApiFormat::Text => "cmpl",
    };
    let response_format = ResponseFormat {
        format,
        model: prompt_request.model.clone(),
        id: format!("{prefix}-{}", call.request_id),
        stream: prompt_request.stream,
        include_usage: prompt_request.wants_usage(),
    };
    let prompt_text = prompt_request.prompt_text();
    let chain = build_chain(&call, &prompt_request.model, &weight_version, &prompt_text);
    let model_id = prompt_request.model;
    let policy = model.policy;
    Ok((
        Prompt { call, format, body, policy, weight_version, model_id, chain, prompt_text },
        response_format,
    ))
}

fn to_outcome(record: &RecordedAnswer) -> Outcome {
    Outcome {
        status: 200,
        content_type: "application/json".into(),
        body: serde_json::to_vec(record).ok(),
    }
}

fn replay_outcome(format: ResponseFormat, outcome: &Outcome) -> Result<Response, Refusal> {
    let body = outcome.body.as_deref().unwrap_or_default();
    let Ok(record) = serde_json::from_slice::<RecordedAnswer>(body) else {
        let message = "the request has already run, and its answer was too long to record";
        return Err(Refusal::may_have_run(RefusalCode::AlreadyClaimed, message));
    };
    Ok(responses::json_answer(format, record.text, record.finish, record.usage))
}
