//! One prompt on its way: chooses an engine, dispatches, relays, and recovers from failures.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use rand::RngExt;
use tokio::sync::mpsc;

use super::answers::Part;
use super::once::Held;
use super::prompts::Prompt;
use super::relay::{Fault, Relay};
use super::{Code, Execution, Refusal};
use crate::clock::{BootTime, boot_now};
use crate::ids::{Attempt, TargetId};
use crate::node::Node;
use crate::node::quarantining::BrokenAt;
use crate::route::{Ask, Dispatch, Ended, NoEngine};
use crate::telemetry::logs::quoted;
use crate::telemetry::metrics::label;
use crate::upstream::api::{ImportOrder, StoredObject};
use crate::upstream::chat::Usage;
use crate::upstream::client::{AttemptRef, CallError, PromptCall};
use crate::upstream::sse::{EventParser, Oversized};

/// Dispatches of one request, at the most.
const MAX_ATTEMPTS: Attempt = 4;
/// A stream that is silent for this long has broken.
const SILENCE: Duration = Duration::from_secs(30);
/// A caller who does not read for this long has gone.
const CALLER_PATIENCE: Duration = Duration::from_secs(30);
/// When to come back if no engine may take the request.
const NO_TARGET_RETRY: Duration = Duration::from_secs(2);

/// One prompt on its way.
pub struct Run {
    node: Arc<Node>,
    prompt: Prompt,
    held: Option<Held>,
    sender: mpsc::Sender<Part>,
    relay: Relay,
    /// Names the run towards engines; drawn, so that no two requests can be taken for one.
    run_id: String,
    attempt: Attempt,
    avoid: Vec<TargetId>,
    kept: Vec<(TargetId, StoredObject)>,
    /// Whether any byte of the request may have had an effect on a target.
    may_have_run: bool,
    /// When the first token came, counted from the request's arrival.
    first_token: Option<Duration>,
    last_target: Option<TargetId>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Whole {
    /// Its text.
    pub text: String,
    /// Why it ended.
    pub finish: String,
    /// Its tokens.
    pub usage: Usage,
}

/// Why there is no dispatch.
enum NoDispatch {
    /// The request is no longer admitted.
    Refused(Refusal),
    /// No engine gets it.
    NoEngine(NoEngine),
}

/// Why one dispatch gave no whole answer.
enum Broken {
    /// The engine failed or did not run it: another one may be tried.
    TryAnother(Ended, Refusal),
    /// Nothing more can be done.
    Final(Ended, Refusal),
}

impl Run {
    /// A prompt that has a place and, if it must not repeat, a claim.
    pub fn new(
        node: Arc<Node>,
        prompt: Prompt,
        held: Option<Held>,
        sender: mpsc::Sender<Part>,
    ) -> Run {
        // The request id is the caller's and may come twice; the drawn part never does.
        let run_id = format!("{}~{:016x}", prompt.call.request_id, rand::rng().random::<u64>());
        Run {
            node,
            prompt,
            held,
            sender,
            relay: Relay::default(),
            run_id,
            attempt: 0,
            avoid: Vec::new(),
            kept: Vec::new(),
            may_have_run: false,
            first_token: None,
            last_target: None,
        }
    }

    /// When the first token came, counted from the request's arrival.
    pub fn first_token(&self) -> Option<Duration> {
        self.first_token
    }

    /// The engine of the last dispatch.
    pub fn last_target(&self) -> Option<&str> {
        self.last_target.as_deref()
    }

    /// The claim and the way to the caller.
    pub fn into_parts(self) -> (Option<Held>, mpsc::Sender<Part>) {
        (self.held, self.sender)
    }

    /// Runs the prompt until its answer is whole.
    ///
    /// # Errors
    /// Why there is no whole answer.
    pub async fn to_end(&mut self) -> Result<Whole, Refusal> {
        self.kept = self.node.kept_of(&self.prompt.chain).await;
        self.node.router.lock().earn_retry();
        loop {
            self.attempt += 1;
            let dispatch = match self.choose() {
                Err(NoDispatch::NoEngine(NoEngine::NoneTakesWork))
                    if self.turn_to_others().await =>
                {
                    self.choose()
                }
                chosen => chosen,
            };
            let dispatch = dispatch.map_err(|reason| self.no_dispatch(reason))?;
            self.last_target = Some(dispatch.engine().clone());
            let sent_at = boot_now();
            let (ended, result) = match self.dispatch(&dispatch).await {
                Ok(whole) => (Ended::Whole(whole.usage), Ok(whole)),
                Err(Broken::TryAnother(ended, refusal)) => (ended, Err((true, refusal))),
                Err(Broken::Final(ended, refusal)) => (ended, Err((false, refusal))),
            };
            self.book(&dispatch, ended);
            if ended == Ended::Failed {
                self.examine(&dispatch, sent_at).await;
            }
            match result {
                Ok(whole) => {
                    self.node.answered_whole(self.prompt.call.fingerprint);
                    self.node.note_answered(&self.prompt.chain, dispatch.url);
                    return Ok(whole);
                }
                Err((true, refusal)) if self.may_retry(ended) => {
                    log::info!(
                        "event=retry request={} attempt={} target={} reason={}",
                        quoted(&self.prompt.call.request_id),
                        self.attempt,
                        dispatch.engine(),
                        quoted(&refusal.message),
                    );
                    self.avoid.push(dispatch.engine().clone());
                }
                Err((_, refusal)) => return Err(self.final_refusal(refusal)),
            }
        }
    }

    /// The engine may have ended under this prompt, and others would.
    async fn examine(&self, dispatch: &Dispatch, sent_at: BootTime) {
        let news = dispatch.news();
        let broken = BrokenAt {
            target: &news.engine,
            incarnation: news.incarnation,
            url: &dispatch.url,
            fingerprint: self.prompt.call.fingerprint,
            sent_at,
        };
        self.node.examine(broken).await;
    }

    /// Turns to the weights that engines have by now, if they are others: a prompt may have waited
    /// while the last engine with its weights loaded the next ones. Says whether it did.
    async fn turn_to_others(&mut self) -> bool {
        if self.may_have_run {
            return false;
        }
        let Some(config) = self.node.in_force() else { return false };
        let model_id = &self.prompt.model_id;
        let Some(model) = config.config.models.get(model_id) else { return false };
        let version = {
            let mut router = self.node.router.lock();
            let draw = router.draw();
            router.version_for(model_id, model, draw, boot_now())
        };
        if version == self.prompt.weight_version {
            return false;
        }
        log::info!(
            "event=weights_turned request={} from={} to={}",
            quoted(&self.prompt.call.request_id),
            quoted(&self.prompt.weight_version),
            quoted(&version),
        );
        self.prompt.turn_to(version);
        self.kept = self.node.kept_of(&self.prompt.chain).await;
        true
    }

    fn choose(&self) -> Result<Dispatch, NoDispatch> {
        let call = &self.prompt.call;
        let has_begun = self.first_token.is_some();
        let admitted =
            if has_begun { call.may_be_sent(&self.node) } else { call.still_admitted(&self.node) };
        admitted.map_err(NoDispatch::Refused)?;
        // The deadline is for the first token: an answer that has begun runs to its end.
        let deadline = if has_begun { BootTime::MAX } else { call.deadline };
        let now = boot_now();
        let mut router = self.node.router.lock();
        let draw = router.draw();
        let ask = Ask {
            model: &self.prompt.model_id,
            weight_version: &self.prompt.weight_version,
            chain: &self.prompt.chain,
            kept: &self.kept,
            avoid: &self.avoid,
            draw,
        };
        let prices = &call.config.config.prices;
        let begun = router.begin(self.prompt.policy, prices, &ask, deadline, now);
        drop(router);
        let dispatch = begun.map_err(NoDispatch::NoEngine)?;
        self.node.tell_dispatched(&dispatch.news());
        Ok(dispatch)
    }

    fn no_dispatch(&self, reason: NoDispatch) -> Refusal {
        let refusal = match reason {
            NoDispatch::Refused(refusal) => refusal,
            NoDispatch::NoEngine(NoEngine::NoneTakesWork) => {
                let message =
                    format!("no engine of model {:?} takes work now", self.prompt.model_id);
                Refusal::not_run(Code::NoTarget, message).after(NO_TARGET_RETRY)
            }
            NoDispatch::NoEngine(NoEngine::TooLate(late)) => {
                let message = "no engine would give the first token by the deadline";
                Refusal::not_run(Code::Deadline, message).after(late)
            }
        };
        self.final_refusal(refusal)
    }

    async fn dispatch(&mut self, dispatch: &Dispatch) -> Result<Whole, Broken> {
        let refused = |refusal| Broken::Final(Ended::Cancelled, refusal);
        if let Some(held) = &mut self.held {
            held.dispatch().map_err(refused)?;
        }
        let run_id = self.run_id.clone();
        let stream = AttemptRef { request_id: &run_id, attempt: self.attempt };
        self.relay.restart(stream.id());
        let call = &self.prompt.call;
        let sent = self.node.client.prompt(PromptCall {
            url: &dispatch.url,
            format: self.prompt.format,
            body: self.prompt.body.clone(),
            import: import_order(dispatch),
            stream,
            account: &call.account,
            weight_version: &self.prompt.weight_version,
            priority: call.kind.priority,
            once: !call.repeatable,
        });
        let response = match sent.await {
            Ok(response) => response,
            Err(CallError::NotRun(reason)) => {
                if let Some(held) = &mut self.held {
                    held.not_run();
                }
                let refusal = Refusal::not_run(Code::TargetFailed, reason).after(NO_TARGET_RETRY);
                return Err(Broken::TryAnother(Ended::Refused, refusal));
            }
            Err(CallError::Rejected(reason)) => {
                self.may_have_run = true;
                let refusal = Refusal::may_have_run(Code::BadRequest, reason);
                return Err(Broken::Final(Ended::Cancelled, refusal));
            }
            Err(CallError::MayHaveRun(reason)) => {
                self.may_have_run = true;
                let refusal = Refusal::may_have_run(Code::TargetFailed, reason);
                return Err(Broken::TryAnother(Ended::Failed, refusal));
            }
        };
        self.may_have_run = true;
        self.relay_to_end(dispatch, stream, response).await
    }

    /// Relays a stream; if it breaks, goes on with it once where it broke.
    async fn relay_to_end(
        &mut self,
        dispatch: &Dispatch,
        stream: AttemptRef<'_>,
        response: reqwest::Response,
    ) -> Result<Whole, Broken> {
        let first = self.relay_stream(response).await;
        let result = match first {
            Err(Stopped::Broke(_)) => {
                let from = self.relay.chunks();
                match self.node.client.resume(&dispatch.url, stream, from).await {
                    Ok(response) => self.relay_stream(response).await,
                    Err(_) => first,
                }
            }
            other => other,
        };
        let Err(stopped) = result else {
            let usage = self.relay.usage().unwrap_or_default();
            let finish = self.relay.finish().unwrap_or("stop").to_string();
            return Ok(Whole { text: self.relay.text().to_string(), finish, usage });
        };
        self.node.client.cancel(&dispatch.url, stream).await;
        match stopped {
            Stopped::CallerGone => {
                let refusal = Refusal::may_have_run(Code::AnswerBroken, "the caller hung up");
                Err(Broken::Final(Ended::Cancelled, refusal))
            }
            Stopped::Fault(Fault::Diverged) => {
                let message = "a restarted answer differs from what was sent already";
                let refusal = Refusal::may_have_run(Code::AnswerBroken, message);
                Err(Broken::Final(Ended::Failed, refusal))
            }
            Stopped::Fault(fault) => {
                log::warn!(
                    "event=answer_refused request={} target={} fault={}",
                    quoted(&self.prompt.call.request_id),
                    dispatch.engine(),
                    quoted(&format!("{fault:?}")),
                );
                let message = "the target sent something else than this answer";
                Err(self.try_another(dispatch, message))
            }
            Stopped::Broke(reason) => Err(self.try_another(dispatch, &reason)),
        }
    }

    /// What the caller has must be repeated by the next engine, so that is tried only where
    /// equal requests give equal answers.
    fn try_another(&self, dispatch: &Dispatch, reason: &str) -> Broken {
        let refusal = Refusal::may_have_run(Code::AnswerBroken, reason);
        if self.relay.text().is_empty() || dispatch.reproducible {
            Broken::TryAnother(Ended::Failed, refusal)
        } else {
            Broken::Final(Ended::Failed, refusal)
        }
    }

    async fn relay_stream(&mut self, response: reqwest::Response) -> Result<(), Stopped> {
        let mut events = EventParser::default();
        let mut body = response.bytes_stream();
        loop {
            let bytes = match tokio::time::timeout(SILENCE, body.next()).await {
                Err(_) => return Err(Stopped::Broke("the stream fell silent".into())),
                Ok(None) => return Err(Stopped::Broke("the stream ended early".into())),
                Ok(Some(Err(error))) => return Err(Stopped::Broke(error.to_string())),
                Ok(Some(Ok(bytes))) => bytes,
            };
            let received = events.push(&bytes).map_err(|Oversized| {
                Stopped::Fault(Fault::Unreadable { reason: "an event is too large".into() })
            })?;
            for data in received {
                if let Some(text) = self.relay.take(&data).map_err(Stopped::Fault)? {
                    self.send_text(text).await?;
                }
                if self.relay.is_whole() {
                    return Ok(());
                }
            }
        }
    }

    async fn send_text(&mut self, text: String) -> Result<(), Stopped> {
        let call = &self.prompt.call;
        if self.relay.text().len() == text.len() {
            let took = boot_now().saturating_sub(call.came_at);
            self.first_token = Some(took);
            let labels = [label("kind", &call.kind_id)];
            self.node.metrics.first_token_s.record(took.as_secs_f64(), &labels);
        }
        let sent = self.sender.send_timeout(Part::Text(text), CALLER_PATIENCE).await;
        // A run that must not repeat goes on to its outcome even if nobody listens.
        if sent.is_err() && call.repeatable { Err(Stopped::CallerGone) } else { Ok(()) }
    }

    fn may_retry(&self, ended: Ended) -> bool {
        if self.attempt >= MAX_ATTEMPTS {
            return false;
        }
        // What provably did not run may be sent elsewhere, repeatable or not.
        if ended == Ended::Refused {
            return true;
        }
        self.prompt.call.repeatable && self.node.router.lock().spend_retry()
    }

    fn book(&self, dispatch: &Dispatch, ended: Ended) {
        self.node.router.lock().end(dispatch, &self.prompt.chain, ended, boot_now());
        let outcome = match ended {
            Ended::Whole(usage) => {
                self.node.metrics.prompt_tokens.add(usage.prompt_tokens, &[]);
                let reused = usage.prompt_tokens_details.cached_tokens;
                self.node.metrics.reused_tokens.add(reused, &[]);
                "whole"
            }
            Ended::Refused => "refused",
            Ended::Failed => "failed",
            Ended::Cancelled => "cancelled",
        };
        let labels = [label("target", dispatch.engine()), label("outcome", outcome)];
        self.node.metrics.dispatches.add(1, &labels);
        self.log_reuse(dispatch, ended);
        if let Some(import) = &dispatch.decision.import {
            let bytes = import.object.size_bytes;
            self.node.metrics.link_bytes.add(bytes, &[label("direction", "import")]);
        }
    }

    /// What was believed of the context and what proved true, for whoever tunes the decision.
    fn log_reuse(&self, dispatch: &Dispatch, ended: Ended) {
        let Ended::Whole(usage) = ended else { return };
        let kept = self.kept.iter().map(|(_, object)| object.blocks).max().unwrap_or(0);
        let imported = dispatch.decision.import.as_ref().map_or(0, |import| import.object.blocks);
        log::debug!(
            "event=reuse request={} target={} blocks={} kept={kept} import={imported} believed={} \
             cached_tokens={} imported_tokens={}",
            quoted(&self.prompt.call.request_id),
            dispatch.engine(),
            self.prompt.chain.keys.len(),
            dispatch.decision.resident_blocks,
            usage.prompt_tokens_details.cached_tokens,
            usage.prompt_tokens_details.imported_tokens,
        );
    }

    /// A refusal as the caller gets it: `not_run` only if no dispatch may have run.
    fn final_refusal(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.execution = Execution::MayHaveRun;
        }
        refusal
    }
}

/// Why relaying stopped.
enum Stopped {
    /// The stream broke; it may be resumed.
    Broke(String),
    /// The stream can't be trusted.
    Fault(Fault),
    /// Nobody listens any more.
    CallerGone,
}

fn import_order(dispatch: &Dispatch) -> Option<ImportOrder> {
    let store_url = dispatch.store_url.clone()?;
    let object = dispatch.decision.import.as_ref()?.object.clone();
    Some(ImportOrder { store_url, object })
}
