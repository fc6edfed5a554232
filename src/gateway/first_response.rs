//! Waits for the start of a response. An attempt at a silent target runs on until the response of another
//! target has begun.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

use super::answer_in_hand::AnswerInHand;
use super::attempt::{AttemptError, AttemptInput, TargetResponse};
use super::attempts::Attempts;
use super::handover::{AttemptState, Recipient};
use super::replacement::attempt_until_begun;
use super::request_record::RequestRecord;
use super::routed_request::RoutedRequest;
use super::state::Gateway;

/// A request that may be repeated waits this multiple of the route's objective for the start of the
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

/// What came first after another target was asked in place of a silent one.
enum Race {
    Original(Made),
    Replacement(Made),
    /// The target of the replacement has been silent for too long as well.
    BothSilent,
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
            attempt_until_begun(gateway, input, record).await
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

    /// Waits for the end of this attempt or of its replacement, or until the recipient of the replacement
    /// has been silent for `limit`, if there is one.
    async fn race(&mut self, replacement: &mut Running<'a>, limit: Option<Duration>) -> Race {
        tokio::select! {
            biased;
            made = &mut self.made => Race::Original(made),
            made = replacement.ended_within(limit) => {
                made.map_or(Race::BothSilent, Race::Replacement)
            }
        }
    }

    /// Gives the attempt up, which closes its connection at once.
    async fn end(&mut self) {
        self.state.give_up();
        let _ = (&mut self.made).await;
    }
}

/// Makes an attempt, and others beside it while targets are silent: what keeps one target silent may keep
/// all of them silent, so that the first one is given up only once the response of another has begun. The
/// answer of a target with a server error is put into `in_hand` if another attempt runs on.
///
/// # Errors
/// If the last one has no response.
pub async fn attempt_until_answered(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    attempts: &mut Attempts,
    in_hand: &mut Option<AnswerInHand>,
    record: &RequestRecord,
) -> Made {
    let mut running = Running::start(gateway, routed, attempts.clone(), None, record);
    let mut next_wait = None;
    while let Some(limit) = silence_limit(routed, attempts) {
        if let Some(made) = running.ended_within(Some(next_wait.unwrap_or(limit))).await {
            return made;
        }
        next_wait = Some(REPLACEMENT_INTERVAL);
        let Some(recipient) = running.state.recipient() else { continue };
        let Some(taken_at) = gateway.take_retry(&routed.service, record) else { continue };
        let silent = recipient.clone().into_target();
        record.silent_target(silent.as_ref());
        let mut tried = attempts.clone();
        tried.add(silent.clone());
        let limit = silence_limit(routed, &tried);
        let mut replacement = Running::start(gateway, routed, tried, Some(recipient), record);
        let first = running.race(&mut replacement, limit).await;
        let sent_to = replacement.state.recipient();
        if sent_to.is_none() {
            gateway.return_retry(&routed.service, taken_at, record);
        }
        match first {
            Race::Replacement(Ok(received)) if has_server_error(&received) => {
                attempts.add_run(received.responder.target().cloned());
                put_in_hand(gateway, routed, received, in_hand, record).await;
            }
            Race::Replacement(Ok(received)) => {
                running.end().await;
                record.replacement_took_over(received.responder.target());
                attempts.add_run(silent);
                return Ok(received);
            }
            Race::Replacement(Err(error)) => attempts.add_failed(error),
            Race::Original(Ok(received)) if sent_to.is_some() && has_server_error(&received) => {
                attempts.add_run(received.responder.target().cloned());
                put_in_hand(gateway, routed, received, in_hand, record).await;
                running = replacement;
                next_wait = None;
            }
            Race::Original(Err(error)) if sent_to.is_some() => {
                attempts.add_failed(error);
                running = replacement;
                next_wait = None;
            }
            Race::Original(made) => {
                if let Some(recipient) = sent_to {
                    record.replacement_cancelled(silent.as_ref());
                    attempts.add_run(recipient.into_target());
                }
                return made;
            }
            Race::BothSilent => {
                attempts.add_run(sent_to.and_then(Recipient::into_target));
                next_wait = Some(Duration::ZERO);
            }
        }
    }
    running.made.await
}

fn has_server_error(received: &TargetResponse) -> bool {
    received.response.status().is_server_error()
}

async fn put_in_hand(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    received: TargetResponse,
    in_hand: &mut Option<AnswerInHand>,
    record: &RequestRecord,
) {
    let answer = AnswerInHand::read(gateway, routed, received, record).await;
    *in_hand = answer.or(in_hand.take());
}

/// How long to wait for the start of the response before another target is tried; `None` if this is
/// the last target.
fn silence_limit(routed: &RoutedRequest, attempts: &Attempts) -> Option<Duration> {
    let has_another =
        attempts.count() + 1 < routed.route.attempts && routed.route.policy.may_repeat();
    let wait = routed.route.objective * OBJECTIVES_BEFORE_RETRY;
    let least = if routed.metadata.prompt.is_some() { MIN_PROMPT_TIMEOUT } else { Duration::ZERO };
    (has_another && !wait.is_zero()).then(|| wait.max(least))
}
