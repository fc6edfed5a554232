//! Runs a prompt: dispatches it to an engine, relays the answer, and retries after failures.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use rand::RngExt;
use tokio::sync::mpsc;

use super::at_most_once::HeldClaim;
use super::prompts::Prompt;
use super::relay::{Relay, StreamError};
use super::responses::AnswerEvent;
use super::{Execution, Refusal, RefusalCode};
use crate::clock::{BootTime, boot_now};

use crate::ids::{Attempt, TargetId};
use crate::node::Node;

use crate::node::quarantine::BrokenDispatch;
use crate::route::{Dispatch, DispatchOutcome, NoEngine, RouteRequest};
use crate::telemetry::logs::quoted;
use crate::telemetry::metrics::label;
use crate::upstream::api::{ImportOrder, StoredObject};
use crate::upstream::chat::Usage;
use crate::upstream::client::{AttemptRef, CallError, PromptCall};
use crate::upstream::sse::{EventParser, Oversized};

/// Limit on dispatches of one request.
const MAX_ATTEMPTS: Attempt = 4;
/// A stream without data for this long is considered broken.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A caller that does not read for this long is considered disconnected.
const CALLER_SEND_TIMEOUT: Duration = Duration::from_secs(30);
/// Suggested retry delay if no engine is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The execution of one prompt, over all its dispatches.
pub struct PromptRun {
    node: Arc<Node>,
    prompt: Prompt,
    held_claim: Option<HeldClaim>,
    sender: mpsc::Sender<AnswerEvent>,
    relay: Relay,
    /// Identifies the run to engines. Unique even if callers reuse a request id.
    run_id: String,
    attempt: Attempt,
    excluded_engines: Vec<TargetId>,
    stored_prefixes: Vec<(TargetId, StoredObject)>,
    /// Whether a target may have run the request.
    may_have_run: bool,
    /// Time from the arrival of the request to its first token.
    first_token_latency: Option<Duration>,
    last_target: Option<TargetId>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct CompleteAnswer {
    pub text: String,
    pub finish: String,
    pub usage: Usage,
}

/// Why a prompt was not dispatched.
enum NoDispatch {
    /// The request may no longer be dispatched.
    Refused(Refusal),
    /// No suitable engine is available.
    NoEngine(NoEngine),
}

/// Why a dispatch did not result in a complete answer.
enum DispatchError {
    /// The request may be retried on another engine.
    Retryable(DispatchOutcome, Refusal),
    /// The request must not be retried.
    NotRetryable(DispatchOutcome, Refusal),
}

impl PromptRun {
    /// Creates the run of an admitted prompt. A non-repeatable prompt needs a claim.
    pub fn new(
        node: Arc<Node>,
        prompt: Prompt,
        held_claim: Option<HeldClaim>,
        sender: mpsc::Sender<AnswerEvent>,
    ) -> PromptRun {
        let run_id = format!("{}~{:016x}", prompt.call.request_id, rand::rng().random::<u64>());
        PromptRun {
            node,
            prompt,
            held_claim,
            sender,
            relay: Relay::default(),
            run_id,
            attempt: 0,
            excluded_engines: Vec::new(),
            stored_prefixes: Vec::new(),
            may_have_run: false,
            first_token_latency: None,
            last_target: None,
        }
    }

    /// Time from the arrival of the request to its first token.
    pub fn first_token_latency(&self) -> Option<Duration> {
        self.first_token_latency
    }

    /// The engine of the last dispatch.
    pub fn last_target(&self) -> Option<&str> {
        self.last_target.as_deref()
    }

    /// Returns the claim and the sender of the response.
    pub fn into_parts(self) -> (Option<HeldClaim>, mpsc::Sender<AnswerEvent>) {
        (self.held_claim, self.sender)
    }

    /// Runs the prompt until its answer is complete.
    ///
    /// # Errors
    /// Why there is no complete answer.
    pub async fn run_to_completion(&mut self) -> Result<CompleteAnswer, Refusal> {
        self.stored_prefixes = self.node.stored_prefixes(&self.prompt.chain).await;
        self.node.router.lock().deposit_retry();
        loop {
            self.attempt += 1;
            let dispatch = match self.start_dispatch().await {
                Err(NoDispatch::NoEngine(NoEngine::NoneAvailable))
                    if self.switch_weight_version().await =>
                {
                    self.start_dispatch().await
                }
                started => started,
            };
            let dispatch = dispatch.map_err(|reason| self.no_dispatch_refusal(reason))?;
            self.last_target = Some(dispatch.engine().clone());
            let sent_at = boot_now();
            let (ended, result) = match self.run_dispatch(&dispatch).await {
                Ok(answer) => (DispatchOutcome::Completed(answer.usage), Ok(answer)),
                Err(DispatchError::Retryable(ended, refusal)) => (ended, Err((true, refusal))),
                Err(DispatchError::NotRetryable(ended, refusal)) => (ended, Err((false, refusal))),
            };
            self.record_dispatch_end(&dispatch, ended);
            if ended == DispatchOutcome::Failed {
                self.report_broken_run(&dispatch, sent_at).await;
            }
            match result {
                Ok(answer) => {
                    self.node.record_completion(self.prompt.call.fingerprint);
                    self.node.report_answered(&self.prompt.chain, dispatch.url);
                    return Ok(answer);
                }
                Err((true, refusal)) if self.may_retry(ended) => {
                    log::info!(
                        "event=retry request={} attempt={} target={} reason={}",
                        quoted(&self.prompt.call.request_id),
                        self.attempt,
                        dispatch.engine(),
                        quoted(&refusal.message),
                    );
                    self.excluded_engines.push(dispatch.engine().clone());
                }
                Err((_, refusal)) => return Err(self.final_refusal(refusal)),
            }
        }
    }

    /// Reports a failed dispatch to the quarantine: the prompt may have terminated the engine.
    async fn report_broken_run(&self, dispatch: &Dispatch, sent_at: BootTime) {
        let announcement = dispatch.announcement();
        let broken = BrokenDispatch {
            target: &announcement.engine,
            incarnation: announcement.incarnation,
            url: &dispatch.url,
            fingerprint: self.prompt.call.fingerprint,
            sent_at,
        };
        self.node.report_broken_run(broken).await;
    }

    /// Switches to the weight version that engines serve now. The last engine with the previous
    /// version may have loaded the next one while the prompt was queued. Returns false if nothing
    /// changed.
    async fn switch_weight_version(&mut self) -> bool {
        if self.may_have_run {
            return false;
        }
        let Some(config) = self.node.in_force() else { return false };
        let model_id = &self.prompt.model_id;
        let Some(model) = config.config.models.get(model_id) else { return false };
        let version = {
            let mut router = self.node.router.lock();
            let request_number = router.next_request_number();
            router.choose_weight_version(model_id, model, request_number, boot_now())
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
        self.prompt.set_weight_version(version);
        self.stored_prefixes = self.node.stored_prefixes(&self.prompt.chain).await;
        true
    }

    async fn start_dispatch(&self) -> Result<Dispatch, NoDispatch> {
        let call = &self.prompt.call;
        let has_begun = self.first_token_latency.is_some();
        let admitted = if has_begun {
            self.node.wait_for_lease(BootTime::MAX).await;
            call.check_dispatch(&self.node)
        } else {
            call.check_dispatch_in_time(&self.node).await
        };
        admitted.map_err(NoDispatch::Refused)?;
        // The deadline applies only to the first token.
        let deadline = if has_begun { BootTime::MAX } else { call.deadline };
        let now = boot_now();
        let mut router = self.node.router.lock();
        let request_number = router.next_request_number();
        let request = RouteRequest {
            model: &self.prompt.model_id,
            weight_version: &self.prompt.weight_version,
            chain: &self.prompt.chain,
            stored_prefixes: &self.stored_prefixes,
            excluded_engines: &self.excluded_engines,
            request_number,
        };
        let prices = &call.config.config.prices;
        let begun = router.start_dispatch(self.prompt.policy, prices, &request, deadline, now);
        drop(router);
        let dispatch = begun.map_err(NoDispatch::NoEngine)?;
        self.node.announce_dispatch(&dispatch.announcement());
        Ok(dispatch)
    }

    fn no_dispatch_refusal(&self, reason: NoDispatch) -> Refusal {
        let refusal = match reason {
            NoDispatch::Refused(refusal) => refusal,
            NoDispatch::NoEngine(NoEngine::NoneAvailable) => {
                let message = format!("no engine of model {:?} is available", self.prompt.model_id);
                Refusal::not_run(RefusalCode::NoTarget, message)
                    .with_retry_after(NO_TARGET_RETRY_AFTER)
            }
            NoDispatch::NoEngine(NoEngine::DeadlineExceeded(late)) => {
                let message = "no engine can generate the first token before the deadline";
                Refusal::not_run(RefusalCode::DeadlineExceeded, message).with_retry_after(late)
            }
        };
        self.final_refusal(refusal)
    }

    async fn run_dispatch(&mut self, dispatch: &Dispatch) -> Result<CompleteAnswer, DispatchError> {
        let not_dispatched =
            |refusal| DispatchError::NotRetryable(DispatchOutcome::Cancelled, refusal);
        if let Some(held_claim) = &mut self.held_claim {
            held_claim.mark_dispatched().map_err(not_dispatched)?;
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
                if let Some(held_claim) = &mut self.held_claim {
                    held_claim.mark_not_run();
                }
                let refusal = Refusal::not_run(RefusalCode::TargetFailed, reason)
                    .with_retry_after(NO_TARGET_RETRY_AFTER);
                return Err(DispatchError::Retryable(DispatchOutcome::Refused, refusal));
            }
            Err(CallError::Rejected(reason)) => {
                self.may_have_run = true;
                let refusal = Refusal::may_have_run(RefusalCode::BadRequest, reason);
                return Err(DispatchError::NotRetryable(DispatchOutcome::Cancelled, refusal));
            }
            Err(CallError::MayHaveRun(reason)) => {
                self.may_have_run = true;
                let refusal = Refusal::may_have_run(RefusalCode::TargetFailed, reason);
                return Err(DispatchError::Retryable(DispatchOutcome::Failed, refusal));
            }
        };
        self.may_have_run = true;
        self.relay_answer(dispatch, stream, response).await
    }

    /// Relays a stream, and resumes it once if it breaks.
    async fn relay_answer(
        &mut self,
        dispatch: &Dispatch,
        stream: AttemptRef<'_>,
        response: reqwest::Response,
    ) -> Result<CompleteAnswer, DispatchError> {
        let first = self.relay_stream(response).await;
        let result = match first {
            Err(RelayError::StreamBroken(_)) => {
                let from = self.relay.text_chunks();
                match self.node.client.resume(&dispatch.url, stream, from).await {
                    Ok(response) => self.relay_stream(response).await,
                    Err(_) => first,
                }
            }
            other => other,
        };
        let Err(relay_error) = result else {
            let usage = self.relay.usage().unwrap_or_default();
            let finish = self.relay.finish().unwrap_or("stop").to_string();
            return Ok(CompleteAnswer { text: self.relay.sent_text().to_string(), finish, usage });
        };
        self.node.client.cancel(&dispatch.url, stream).await;
        match relay_error {
            RelayError::CallerDisconnected => {
                let refusal =
                    Refusal::may_have_run(RefusalCode::AnswerIncomplete, "the caller disconnected");
                Err(DispatchError::NotRetryable(DispatchOutcome::Cancelled, refusal))
            }
            RelayError::InvalidStream(StreamError::Diverged) => {
                let message = "the retried answer differs from the text that was already sent";
                let refusal = Refusal::may_have_run(RefusalCode::AnswerIncomplete, message);
                Err(DispatchError::NotRetryable(DispatchOutcome::Failed, refusal))
            }
            RelayError::InvalidStream(stream_error) => {
                log::warn!(
                    "event=answer_refused request={} target={} fault={}",
                    quoted(&self.prompt.call.request_id),
                    dispatch.engine(),
                    quoted(&format!("{stream_error:?}")),
                );
                let message = "the target sent an invalid stream";
                Err(self.retryable_if_reproducible(dispatch, message))
            }
            RelayError::StreamBroken(reason) => {
                Err(self.retryable_if_reproducible(dispatch, &reason))
            }
        }
    }

    /// After text was sent, a retry can succeed only if the next engine generates the same text, so
    /// the error is retryable only on engines with reproducible answers.
    fn retryable_if_reproducible(&self, dispatch: &Dispatch, reason: &str) -> DispatchError {
        let refusal = Refusal::may_have_run(RefusalCode::AnswerIncomplete, reason);
        if self.relay.sent_text().is_empty() || dispatch.reproducible {
            DispatchError::Retryable(DispatchOutcome::Failed, refusal)
        } else {
            DispatchError::NotRetryable(DispatchOutcome::Failed, refusal)
        }
    }

    async fn relay_stream(&mut self, response: reqwest::Response) -> Result<(), RelayError> {
        let mut events = EventParser::default();
        let mut body = response.bytes_stream();
        loop {
            let bytes = match tokio::time::timeout(STREAM_IDLE_TIMEOUT, body.next()).await {
                Err(_) => return Err(RelayError::StreamBroken("the stream was idle".into())),
                Ok(None) => return Err(RelayError::StreamBroken("the stream ended early".into())),
                Ok(Some(Err(error))) => return Err(RelayError::StreamBroken(error.to_string())),
                Ok(Some(Ok(bytes))) => bytes,
            };
            let received = events.push(&bytes).map_err(|Oversized| {
                RelayError::InvalidStream(StreamError::Malformed {
                    reason: "an event is too large".into(),
                })
            })?;
            for data in received {
                if let Some(text) =
                    self.relay.process_event(&data).map_err(RelayError::InvalidStream)?
                {
                    self.send_text(text).await?;
                }
                if self.relay.is_complete() {
                    return Ok(());
                }
            }
        }
    }

    async fn send_text(&mut self, text: String) -> Result<(), RelayError> {
        let call = &self.prompt.call;
        if self.relay.sent_text().len() == text.len() {
            let elapsed = boot_now().saturating_sub(call.received_at);
            self.first_token_latency = Some(elapsed);
            let labels = [label("kind", &call.kind_id)];
            self.node.metrics.first_token_s.record(elapsed.as_secs_f64(), &labels);
        }
        let sent = self.sender.send_timeout(AnswerEvent::Text(text), CALLER_SEND_TIMEOUT).await;
        // A non-repeatable run continues without its caller, so that its outcome is recorded.
        if sent.is_err() && call.repeatable { Err(RelayError::CallerDisconnected) } else { Ok(()) }
    }

    fn may_retry(&self, ended: DispatchOutcome) -> bool {
        if self.attempt >= MAX_ATTEMPTS {
            return false;
        }
        // A request that has not run may be retried even if it is not repeatable.
        if ended == DispatchOutcome::Refused {
            return true;
        }
        self.prompt.call.repeatable && self.node.router.lock().try_spend_retry()
    }

    fn record_dispatch_end(&self, dispatch: &Dispatch, ended: DispatchOutcome) {
        self.node.router.lock().finish_dispatch(dispatch, &self.prompt.chain, ended, boot_now());
        let outcome = match ended {
            DispatchOutcome::Completed(usage) => {
                self.node.metrics.prompt_tokens.add(usage.prompt_tokens, &[]);
                let reused = usage.prompt_tokens_details.cached_tokens;
                self.node.metrics.reused_tokens.add(reused, &[]);
                "whole"
            }
            DispatchOutcome::Refused => "refused",
            DispatchOutcome::Failed => "failed",
            DispatchOutcome::Cancelled => "cancelled",
        };
        let labels = [label("target", dispatch.engine()), label("outcome", outcome)];
        self.node.metrics.dispatches.add(1, &labels);
        self.log_reuse(dispatch, ended);
        if let Some(import) = &dispatch.decision.import {
            let bytes = import.object.size_bytes;
            self.node.metrics.link_bytes.add(bytes, &[label("direction", "import")]);
        }
    }

    /// Logs the predicted and the actual reuse of cached blocks, to evaluate routing decisions.
    fn log_reuse(&self, dispatch: &Dispatch, ended: DispatchOutcome) {
        let DispatchOutcome::Completed(usage) = ended else { return };
        let stored_blocks =
            self.stored_prefixes.iter().map(|(_, object)| object.blocks).max().unwrap_or(0);
        let imported = dispatch.decision.import.as_ref().map_or(0, |import| import.object.blocks);
        log::debug!(
            "event=reuse request={} target={} blocks={} kept={stored_blocks} \
             import={imported} believed={} cached_tokens={} imported_tokens={}",
            quoted(&self.prompt.call.request_id),
            dispatch.engine(),
            self.prompt.chain.keys.len(),
            dispatch.decision.resident_blocks,
            usage.prompt_tokens_details.cached_tokens,
            usage.prompt_tokens_details.imported_tokens,
        );
    }

    /// Corrects `execution` of a refusal if an earlier dispatch may have run.
    fn final_refusal(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.execution = Execution::MayHaveRun;
        }
        refusal
    }
}

/// Why relaying stopped.
enum RelayError {
    /// The connection failed or was idle for too long; the stream may be resumed.
    StreamBroken(String),
    /// The stream has invalid content.
    InvalidStream(StreamError),
    CallerDisconnected,
}

fn import_order(dispatch: &Dispatch) -> Option<ImportOrder> {
    let store_url = dispatch.store_url.clone()?;
    let object = dispatch.decision.import.as_ref()?.object.clone();
    Some(ImportOrder { store_url, object })
}
