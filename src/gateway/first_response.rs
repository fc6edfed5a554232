//! Waits for the head of a response. An attempt at a silent target runs on until another target has
//! accepted the request in its place.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use super::attempt::{AttemptError, AttemptInput, TargetResponse, attempt};
use super::attempts::Attempts;
use super::handover::{ACCEPTANCE_WAIT, AttemptState, Recipient};
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

/// What became of an attempt to replace another one.
enum Replacement<'a> {
    /// Its recipient works on it. The other one is given up.
    Accepted(Running<'a>),
    /// It has a response. The other one is given up.
    Answered(Box<TargetResponse>),
    /// The other one ended first.
    Needless(Box<Made>),
    /// It has no response, so that the other one runs on.
    Failed(AttemptError),
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
            attempt(gateway, input, record).await
        };
        Running { state, made: made.boxed_local() }
    }

    /// Waits for the end of the attempt. Returns `None` once its recipient has been silent for
    /// `limit`.
    async fn ended_within(&mut self, limit: Duration) -> Option<Made> {
        let silent = async {
            self.state.sent().await;
            tokio::time::sleep(limit).await;
        };
        tokio::select! {
            biased;
            made = &mut self.made => Some(made),
            () = silent => None,
        }
    }

    /// Lets `next` replace this attempt, unless this one has a response before, or the recipient of
    /// `next` does not run it.
    async fn replace_by(&mut self, mut next: Running<'a>) -> Replacement<'a> {
        tokio::select! {
            biased;
            () = next.state.sent() => {}
            made = &mut self.made => return Replacement::Needless(Box::new(made)),
            made = &mut next.made => return Replacement::of(made),
        }
        tokio::select! {
            biased;
            made = &mut next.made => {
                let replacement = Replacement::of(made);
                if matches!(replacement, Replacement::Answered(_)) {
                    self.end().await;
                }
                replacement
            }
            made = &mut self.made => match made {
                Ok(_) => Replacement::Needless(Box::new(made)),
                Err(_) => Replacement::Accepted(next),
            },
            () = tokio::time::sleep(ACCEPTANCE_WAIT) => {
                self.end().await;
                Replacement::Accepted(next)
            }
        }
    }

    /// Gives the attempt up, which closes its connection at once.
    async fn end(&mut self) {
        self.state.give_up();
        let _ = (&mut self.made).await;
    }
}

impl Replacement<'_> {
    fn of(made: Made) -> Self {
        match made {
            Ok(received) => Replacement::Answered(Box::new(received)),
            Err(error) => Replacement::Failed(error),
        }
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
    let mut next_wait = None;
    while let Some(limit) = silence_limit(routed, attempts) {
        if let Some(made) = running.ended_within(next_wait.unwrap_or(limit)).await {
            return made;
        }
        next_wait = Some(REPLACEMENT_INTERVAL);
        let Some(recipient) = running.state.recipient() else { continue };
        let Some(taken_at) = gateway.take_retry(&routed.service, record) else { continue };
        let mut tried = attempts.clone();
        tried.add(recipient.clone().into_target());
        let next = Running::start(gateway, routed, tried.clone(), Some(recipient), record);
        let state = next.state.clone();
        let replacement = running.replace_by(next).await;
        let sent_to = state.recipient();
        if sent_to.is_none() {
            gateway.return_retry(&routed.service, taken_at, record);
        }
        match replacement {
            Replacement::Accepted(next) => {
                *attempts = tried;
                attempts.mark_may_have_run();
                running = next;
                next_wait = None;
            }
            Replacement::Answered(received) => {
                *attempts = tried;
                attempts.mark_may_have_run();
                return Ok(*received);
            }
            Replacement::Needless(made) => {
                if let Some(recipient) = sent_to {
                    attempts.add(recipient.into_target());
                    attempts.mark_may_have_run();
                }
                return *made;
            }
            Replacement::Failed(error) => attempts.add_failed(error),
        }
    }
    running.made.await
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
