//! Waits for the head of a response. An attempt at a silent target runs on until the response of another
//! target has begun.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use super::attempt::{AttemptError, AttemptInput, TargetResponse, attempt};
use super::attempts::Attempts;
use super::handover::{AttemptState, Recipient};
use super::replacement::attempt_until_begun;
use super::request_record::RequestRecord;
use super::routed_request::RoutedRequest;
use super::state::Gateway;

/// A request that may be repeated waits this multiple of the route's objective for the head of the
/// response before another target is tried.
const OBJECTIVES_BEFORE_RETRY: u32 = 2;
/// Shortest such wait for a prompt. A retry makes a second engine read the whole prompt, which
/// lengthens the queues if the engines are overloaded.
const MIN_PROMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long to wait before a silent target is to be replaced again, if nothing could replace it.
pub const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(500);

type Made = Result<TargetResponse, AttemptError>;

/// An attempt in progress.
struct Running<'a> {
    state: Rc<AttemptState>,
    made: LocalBoxFuture<'a, Made>,
}

/// What became of an attempt to replace another one, whose target is silent.
enum Replacement<'a> {
    /// Its response has begun. The other one is given up.
    Begun(Box<TargetResponse>),
    /// It has failed, with a server error. The other one runs on, and may have a better answer.
    ServerError(Box<TargetResponse>),
    /// It has no response. The other one runs on.
    Failed(AttemptError),
    /// Its target is silent as well. It is cancelled, and the other one runs on.
    Silent,
    /// The other one has a response, or failed before this one was sent.
    Needless(Box<Made>),
    /// The other one has failed, and this one runs on.
    Alone(Running<'a>, AttemptError),
}

impl<'a> Running<'a> {
    fn start(
        gateway: &'a Rc<Gateway>,
        routed: &'a RoutedRequest,
        attempts: Attempts,
        replaces: Option<Recipient>,
        record: &'a RequestRecord,
    ) -> Running<'a> {
        let state = Rc::new(AttemptState::default());
        let shared = state.clone();
        let made = async move {
            let input = AttemptInput {
                routed,
                attempts: &attempts,
                resume_after: routed.metadata.resume_after.as_deref(),
                replaces: replaces.as_ref(),
                state: &shared,
            };
            match input.replaces {
                None => attempt(gateway, input, record).await,
                Some(_) => attempt_until_begun(gateway, input, record).await,
            }
        };
        Running { state, made: made.boxed_local() }
    }

    /// Waits for the end of the attempt. Returns `None` once its recipient has been silent for
    /// `limit`, if there is one.
    async fn ended_within(&mut self, limit: Option<Duration>) -> Option<Made> {
        let silent = self.state.silent_for(limit);
        tokio::select! {
            biased;
            made = &mut self.made => Some(made),
            () = silent => None,
        }
    }

    /// Lets `next` replace this attempt, whose target is silent. Whichever has a response first goes on:
    /// what keeps one target silent may keep all of them silent. If `limit` is given, `next` is cancelled
    /// once its target has been silent for as long.
    async fn replace_by(
        &mut self,
        mut next: Running<'a>,
        limit: Option<Duration>,
    ) -> Replacement<'a> {
        let made = tokio::select! {
            biased;
            made = &mut self.made => match made {
                Err(error) if next.state.recipient().is_some() => {
                    return Replacement::Alone(next, error);
                }
                made => return Replacement::Needless(Box::new(made)),
            },
            made = next.ended_within(limit) => made,
        };
        match made {
            None => Replacement::Silent,
            Some(Err(error)) => Replacement::Failed(error),
            Some(Ok(received)) if received.response.status().is_server_error() => {
                Replacement::ServerError(Box::new(received))
            }
            Some(Ok(received)) => {
                self.end().await;
                Replacement::Begun(Box::new(received))
            }
        }
    }

    /// Gives the attempt up, which closes its connection at once.
    async fn end(&mut self) {
        self.state.give_up();
        let _ = (&mut self.made).await;
    }
}

/// Makes an attempt, and others in its place while targets are silent.
///
/// # Errors
/// If the last one has no response.
pub async fn attempt_until_answered(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    record: &RequestRecord,
) -> Made {
    let mut running = Running::start(gateway, routed, attempts.clone(), None, record);
    let mut server_error = None;
    let mut next_wait = None;
    while let Some(limit) = silence_limit(routed, attempts) {
        if let Some(made) = running.ended_within(Some(next_wait.unwrap_or(limit))).await {
            return or_server_error(made, server_error, attempts);
        }
        next_wait = Some(REPLACEMENT_INTERVAL);
        let Some(recipient) = running.state.recipient() else { continue };
        let Some(taken_at) = gateway.take_retry(&routed.service, record) else { continue };
        let mut tried = attempts.clone();
        tried.add(recipient.clone().into_target());
        let next_limit = silence_limit(routed, &tried);
        let next = Running::start(gateway, routed, tried, Some(recipient.clone()), record);
        let state = next.state.clone();
        let replacement = running.replace_by(next, next_limit).await;
        let sent_to = state.recipient();
        if sent_to.is_none() {
            gateway.return_retry(&routed.service, taken_at, record);
        }
        match replacement {
            Replacement::Begun(received) => {
                attempts.add(recipient.into_target());
                attempts.mark_may_have_run();
                return Ok(*received);
            }
            Replacement::ServerError(received) => {
                attempts.add(received.responder.target().cloned());
                attempts.mark_may_have_run();
                server_error = Some(*received);
            }
            Replacement::Failed(error) => attempts.add_failed(error),
            Replacement::Silent => {
                attempts.add(sent_to.and_then(Recipient::into_target));
                attempts.mark_may_have_run();
                next_wait = Some(Duration::ZERO);
            }
            Replacement::Needless(made) => {
                if let Some(recipient) = sent_to {
                    attempts.add(recipient.into_target());
                    attempts.mark_may_have_run();
                }
                return or_server_error(*made, server_error, attempts);
            }
            Replacement::Alone(next, error) => {
                attempts.add_failed(error);
                running = next;
                next_wait = None;
            }
        }
    }
    or_server_error(running.made.await, server_error, attempts)
}

/// The server error of another target, which has been counted as an attempt, in place of no response.
fn or_server_error(
    made: Made,
    server_error: Option<TargetResponse>,
    attempts: &mut Attempts,
) -> Made {
    match (made, server_error) {
        (Err(error), Some(received)) => {
            attempts.avoid(error.into_target());
            Ok(received)
        }
        (made, _) => made,
    }
}

/// How long to wait for the head of the response before another target is tried; `None` if this is
/// the last target.
fn silence_limit(routed: &RoutedRequest, attempts: &Attempts) -> Option<Duration> {
    let has_another =
        attempts.count() + 1 < routed.route.attempts && routed.route.policy.may_repeat();
    let wait = routed.route.objective * OBJECTIVES_BEFORE_RETRY;
    let least = if routed.metadata.prompt.is_some() { MIN_PROMPT_TIMEOUT } else { Duration::ZERO };
    (has_another && !wait.is_zero()).then(|| wait.max(least))
}
