//! Prompts: reads the request, finds what is kept of its context, runs it, and answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::answers::{self, Part, Wanted};
use super::callers::{Call, End};
use super::once::{self, Claimed, Held};
use super::run::Run;
use super::{Code, Refusal};
use crate::claims::Outcome;
use crate::config::Policy;
use crate::http::{Request, Response};
use crate::ids::WeightVersion;
use crate::node::Node;
use crate::node::places::Place;
use crate::prompt::{Chain, Owner};
use crate::upstream::chat::{ApiFormat, PromptRequest, Usage};

/// Parts that wait for a slow caller; the run waits when there are more.
const PARTS_WAITING: usize = 64;

/// A prompt that was read and checked.
pub struct Prompt {
    /// Who asks and for what kind.
    pub call: Call,
    /// The interface.
    pub format: ApiFormat,
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

fn chain(call: &Call, model: &str, weight_version: &str, text: &str) -> Chain {
    let owner = Owner {
        account: call.account.clone(),
        model: model.to_string(),
        weight_version: weight_version.to_string(),
        adapter: String::new(),
    };
    Chain::new(&owner, text)
}

/// The answer of a prompt marked not repeatable, as it is recorded.
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
    call: Call,
    request: &Request,
    format: ApiFormat,
) -> Result<Response, Refusal> {
    let (prompt, wanted) = read(node, call, request, format)?;
    let mut held = None;
    if !prompt.call.repeatable {
        let digest = once::digest(&[format.path().as_bytes(), &request.bytes()]);
        match once::claim(node, &prompt.call, digest).await? {
            Claimed::Mine(claim) => held = Some(claim),
            Claimed::Ran(outcome) => return recorded(wanted, &outcome),
        }
    }
    let place = prompt.call.take_place(node).await.inspect_err(|refusal| {
        let end = End { result: Err(refusal), first_token: None, target: None };
        prompt.call.log_end(node, &prompt.model_id, end);
    })?;
    let (sender, parts) = mpsc::channel(PARTS_WAITING);
    tokio::spawn(run(node.clone(), prompt, held, place, sender));
    Ok(answers::respond(wanted, parts).await)
}

/// Runs a prompt to its end, whether or not the caller stays.
async fn run(
    node: Arc<Node>,
    prompt: Prompt,
    held: Option<Held>,
    place: Place,
    sender: mpsc::Sender<Part>,
) {
    let call = prompt.call.clone();
    let model_id = prompt.model_id.clone();
    let mut run = Run::new(node.clone(), prompt, held, sender);
    let result = run.to_end().await;
    let end = End {
        result: result.as_ref().map(|_| ()),
        first_token: run.first_token(),
        target: run.last_target(),
    };
    call.log_end(&node, &model_id, end);
    let (held, sender) = run.into_parts();
    match result {
        Ok(whole) => {
            let (finish, usage) = (whole.finish.clone(), whole.usage);
            if let Some(held) = held {
                let record = Record { text: whole.text, finish: whole.finish, usage };
                held.record(outcome(&record)).await;
            }
            // The caller may have hung up; then nobody needs the end.
            let _ = sender.send(Part::End { finish, usage }).await;
        }
        Err(refusal) => {
            let _ = sender.send(Part::Failed(refusal)).await;
        }
    }
    drop(place);
}

fn read(
    node: &Node,
    call: Call,
    request: &Request,
    format: ApiFormat,
) -> Result<(Prompt, Wanted), Refusal> {
    let bad = |message: String| Refusal::not_run(Code::BadRequest, message);
    let body: serde_json::Value =
        request.json().map_err(|reason| bad(format!("the body is not JSON: {reason}")))?;
    let asked: PromptRequest = serde_json::from_value(body.clone())
        .map_err(|reason| bad(format!("the body is not a prompt: {reason}")))?;
    let missing = match format {
        ApiFormat::Chat => asked.messages.is_empty().then_some("messages"),
        ApiFormat::Text => asked.prompt.is_none().then_some("prompt"),
    };
    if let Some(field) = missing {
        return Err(bad(format!("{field}: is missing or empty")));
    }
    let models = &call.config.config.models;
    let Some(model) = models.get(&asked.model).cloned() else {
        let known = models.keys().cloned().collect::<Vec<_>>().join(", ");
        let message = format!("no model {:?}; there are: {known}", asked.model);
        return Err(Refusal::not_run(Code::UnknownModel, message));
    };
    let weight_version = {
        let mut router = node.router.lock();
        let draw = router.draw();
        router.version_for(&asked.model, &model, draw, call.came_at)
    };
    let prefix = match format {
        ApiFormat::Chat => "chatcmpl",
        ApiFormat::Text => "cmpl",
    };
    let wanted = Wanted {
        format,
        model: asked.model.clone(),
        id: format!("{prefix}-{}", call.request_id),
        stream: asked.stream,
        usage: asked.wants_usage(),
    };
    let text = asked.prompt_text();
    let chain = chain(&call, &asked.model, &weight_version, &text);
    let model_id = asked.model;
    let policy = model.policy;
    Ok((Prompt { call, format, body, policy, weight_version, model_id, chain, text }, wanted))
}

fn outcome(record: &Record) -> Outcome {
    Outcome {
        status: 200,
        content_type: "application/json".into(),
        body: serde_json::to_vec(record).ok(),
    }
}

fn recorded(wanted: Wanted, outcome: &Outcome) -> Result<Response, Refusal> {
    let body = outcome.body.as_deref().unwrap_or_default();
    let Ok(record) = serde_json::from_slice::<Record>(body) else {
        let message = "it ran before, and its answer was too long to keep";
        return Err(Refusal::may_have_run(Code::AlreadyClaimed, message));
    };
    Ok(answers::recorded(wanted, record.text, record.finish, record.usage))
}
