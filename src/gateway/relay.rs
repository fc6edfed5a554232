//! Relays the body of a response: streamed, or event by event.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::time::{Instant, timeout_at};

use super::attempt::{AttemptError, AttemptInput, TargetResponse, attempt};
use super::attempts::Attempts;
use super::events::{self, EventSplitter};
use super::first_response::REPLACEMENT_INTERVAL;
use super::handover::{AttemptState, Recipient};
use super::relay_source::{BreakCause, Source, SourceRead, end_source};
use super::replacement::attempt_until_begun;
use super::request_record::{CutBy, Outcome, RequestRecord};
use super::response::{Refusal, RelayError, ResponseBody, full_body, stream_body};
use super::routed_request::{Origin, RoutedRequest};
use super::state::Gateway;

/// A resumable stream without an event for this multiple of the route's largest allowed gap is
/// resumed at another target, if there is one.
const GAPS_BEFORE_RESUME: u32 = 4;
/// Targets that are asked to resume a stream after one has failed.
const MAX_RESUME_ATTEMPTS: u32 = 3;
/// Why a response is cut short at the deadline of its request.
const TIME_IS_OVER: &str = "its time is over";
/// Why a target is replaced by another one.
const SILENT: &str = "no event for too long";
/// Longest gap between events before such a resume if the route sets none.
const DEFAULT_MAX_GAP: Duration = Duration::from_secs(2);

/// Relays a stream of server-sent events, and resumes it at another target if it fails.
pub struct EventRelay {
    /// The shared state of the entry.
    pub gateway: Rc<Gateway>,
    /// The request that the stream answers.
    pub routed: RoutedRequest,
    /// The log record of the request.
    pub record: RequestRecord,
    /// The attempts made so far.
    pub attempts: Attempts,
    source: Option<Source>,
    events: EventSplitter,
    /// Whether the first event has been relayed, which binds the stream to a software version.
    is_bound: bool,
}

/// Why a stream ends before it is complete.
struct StreamCut {
    by: CutBy,
    reason: String,
}

impl EventRelay {
    /// Relays the events of this response.
    pub fn new(
        gateway: Rc<Gateway>,
        routed: RoutedRequest,
        record: RequestRecord,
        attempts: Attempts,
        received: TargetResponse,
    ) -> EventRelay {
        let source = Some(Source::new(received));
        let events = EventSplitter::default();
        EventRelay { gateway, routed, record, attempts, source, events, is_bound: false }
    }

    /// Waits for the first events and turns the relay into the body of the response to the caller. Until
    /// then nothing is relayed, so that a stream that breaks before can be answered with a failure.
    ///
    /// # Errors
    /// The refusal, with the record of the request, if the stream breaks before its first event.
    pub async fn into_body(mut self) -> Result<ResponseBody, (Refusal, RequestRecord)> {
        if self.routed.origin == Origin::Entry {
            // The other entry waits in the same way, and has to know the target.
            return Ok(self.relay_after(None));
        }
        match self.next().await {
            Ok(Some(events)) => Ok(self.relay_after(Some(events))),
            Ok(None) => Ok(full_body(Bytes::new())),
            Err(StreamCut { by: CutBy::Entry, .. }) => Err((Refusal::TimedOut, self.record)),
            Err(_) => Err((Refusal::Broken, self.record)),
        }
    }

    /// The body of a response that begins with these events.
    fn relay_after(self, first: Option<Bytes>) -> ResponseBody {
        let first = stream::iter(first.map(|events| Ok(Frame::data(events))));
        stream_body(first.chain(stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
                Ok(None) => None,
                Err(StreamCut { by, reason }) => {
                    relay.record.broken_off(by, &reason);
                    Some((Err(reason.into()), None))
                }
            }
        })))
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamCut> {
        loop {
            let read = match self.read_source().await {
                SourceRead::Silent => self.replace_silent_source().await,
                read => read,
            };
            match read {
                SourceRead::Events(events) if events.is_empty() => {}
                SourceRead::Events(events) => {
                    self.record.part_relayed(events::count(&events), events.len());
                    self.bind_software().await;
                    return Ok(Some(events));
                }
                SourceRead::Complete => {
                    self.finish();
                    return Ok(None);
                }
                SourceRead::TimedOut => {
                    return Err(StreamCut { by: CutBy::Entry, reason: TIME_IS_OVER.to_string() });
                }
                SourceRead::Silent | SourceRead::Replaced => {}
                SourceRead::Broken(reason) => self.resume(reason, BreakCause::Failure).await?,
                SourceRead::Lost(reason) => self.resume(reason, BreakCause::Connection).await?,
            }
        }
    }

    /// Binds the stream to the software version of the target that sent its first event, and remembers
    /// it.
    async fn bind_software(&mut self) {
        let Some(source) = self.source.as_ref().filter(|_| !self.is_bound) else { return };
        self.is_bound = true;
        let is_told = self.gateway.record_stream(&self.routed, &source.software);
        self.routed.software.get_or_insert_with(|| source.software.clone());
        if is_told {
            // The subscriptions send it first: the caller may take up what it has received from an entry that is lost.
            tokio::task::yield_now().await;
        }
    }

    /// Reads the source until it sends something or is silent for too long.
    async fn read_source(&mut self) -> SourceRead {
        let max_gap = self.may_resume().then(|| max_gap(&self.routed));
        let deadline = self.routed.deadline;
        let Some(source) = &mut self.source else { return SourceRead::Broken("no source".into()) };
        let limit = max_gap.map(|gap| *source.silent_from.get_or_insert(Instant::now() + gap));
        let until = limit.map_or(deadline, |limit| deadline.min(limit));
        match timeout_at(until, source.read(&mut self.events, &self.record)).await {
            Ok(read) => read,
            Err(_) if Instant::now() >= deadline => SourceRead::TimedOut,
            Err(_) => SourceRead::Silent,
        }
    }

    fn may_resume(&self) -> bool {
        self.routed.origin == Origin::Caller
            && self.routed.route.policy.may_repeat()
            && self.attempts.count() < self.routed.route.attempts
    }

    fn finish(&mut self) {
        self.record.set_outcome(Outcome::Relayed(StatusCode::OK.as_u16()));
        if let Some(mut source) = self.source.take() {
            source.responder.succeeded(&self.gateway, source.sent_at);
            source.responder.answered(&self.gateway, &self.routed, source.sent_at, source.framing);
            if !source.response_metadata.closes {
                source.responder.return_connection(&self.gateway, source.connection);
            }
        }
    }

    /// Lets another target go on with the stream. The silent source is kept until the response of that
    /// target has begun, and stays if it goes on before or no target takes over.
    async fn replace_silent_source(&mut self) -> SourceRead {
        let Some(source) = &mut self.source else { return SourceRead::Silent };
        source.silent_from = Some(Instant::now() + REPLACEMENT_INTERVAL);
        let service = &self.routed.service;
        let Some(taken_at) = self.gateway.take_retry(service, &self.record) else {
            return SourceRead::Silent;
        };
        self.record.silent_target(source.responder.target());
        let (recipient, state) = (source.responder.recipient(), AttemptState::default());
        let last = last_event(&self.events, &self.routed);
        let input = AttemptInput {
            routed: &self.routed,
            attempts: &self.attempts,
            resume_after: last.as_deref(),
            replaces: Some(&recipient),
            state: &state,
        };
        let may_try_further = self.attempts.count() + 1 < self.routed.route.attempts;
        let limit = may_try_further.then(|| max_gap(&self.routed));
        let mut replacement = Box::pin(attempt_until_begun(&self.gateway, input, &self.record));
        let mut silence = std::pin::pin!(state.silent_for(limit));
        let first = loop {
            let first = tokio::select! {
                biased;
                read = source.read(&mut self.events, &self.record) => Race::Source(read),
                made = &mut replacement => Race::Replacement(Box::new(made)),
                () = &mut silence => Race::BothSilent,
            };
            // A part of an event may be all that the source still sends.
            if !matches!(&first, Race::Source(SourceRead::Events(events)) if events.is_empty()) {
                break first;
            }
        };
        let sent_to = state.recipient();
        if sent_to.is_none() {
            self.gateway.return_retry(service, taken_at, &self.record);
        }
        let (reason, cause) = match first {
            Race::Replacement(made) => {
                drop(replacement);
                return self.take_over_from_source(*made).await;
            }
            Race::Source(SourceRead::Broken(reason)) if sent_to.is_some() => {
                (reason, BreakCause::Failure)
            }
            Race::Source(SourceRead::Lost(reason)) if sent_to.is_some() => {
                (reason, BreakCause::Connection)
            }
            Race::Source(read) => {
                drop(replacement);
                self.record.replacement_cancelled(source.responder.target());
                self.add_cancelled(sent_to);
                return read;
            }
            Race::BothSilent => {
                drop(replacement);
                self.add_cancelled(sent_to);
                return SourceRead::Silent;
            }
        };
        let ended = self.source.take();
        let ending = end_source(&self.gateway, &self.routed, &self.record, ended, &reason, cause);
        let replaced = async {
            tokio::select! {
                biased;
                made = &mut replacement => Some(made),
                () = &mut silence => None,
            }
        };
        let ((), made) = futures::join!(ending, replaced);
        drop(replacement);
        self.events.discard_partial();
        let Some(made) = made else {
            self.add_cancelled(sent_to);
            return SourceRead::Broken(reason);
        };
        match self.take_over(made) {
            Ok(()) => SourceRead::Replaced,
            Err(failure) => SourceRead::Broken(failure.reason),
        }
    }

    /// Counts an attempt that was cancelled before its response began, if it was sent.
    fn add_cancelled(&mut self, sent_to: Option<Recipient>) {
        if let Some(recipient) = sent_to {
            self.attempts.add(recipient.into_target());
        }
    }

    /// Goes on with the response of another target, if that has taken over. Else the silent source is
    /// kept.
    async fn take_over_from_source(
        &mut self,
        made: Result<TargetResponse, AttemptError>,
    ) -> SourceRead {
        let silent = self.source.take();
        if self.take_over(made).is_err() {
            self.source = silent;
            return SourceRead::Silent;
        }
        self.events.discard_partial();
        let EventRelay { gateway, routed, record, .. } = &*self;
        let source = self.source.as_ref();
        record.replacement_took_over(source.and_then(|source| source.responder.target()));
        end_source(gateway, routed, record, silent, SILENT, BreakCause::Failure).await;
        SourceRead::Replaced
    }

    /// Resumes the stream at another target, after the last complete event. Goes on to further targets
    /// while retries are allowed.
    async fn resume(&mut self, reason: String, cause: BreakCause) -> Result<(), StreamCut> {
        let (may_resume, ended) = (self.may_resume(), self.source.take());
        let EventRelay { gateway, routed, record, .. } = &*self;
        end_source(gateway, routed, record, ended, &reason, cause).await;
        self.events.discard_partial();
        let mut failure = TakeoverFailure { reason, may_try_further: may_resume };
        let mut attempts_left = MAX_RESUME_ATTEMPTS;
        while failure.may_try_further
            && attempts_left > 0
            && self.gateway.try_retry(&self.routed.service, &self.record).await
        {
            attempts_left -= 1;
            let made = self.attempt_rest().await;
            match self.take_over(made) {
                Ok(()) => return Ok(()),
                Err(further) => failure = further,
            }
        }
        Err(StreamCut { by: CutBy::Target, reason: failure.reason })
    }

    /// Asks another target for the events that the caller has not received.
    async fn attempt_rest(&self) -> Result<TargetResponse, AttemptError> {
        let last = last_event(&self.events, &self.routed);
        let input = AttemptInput {
            routed: &self.routed,
            attempts: &self.attempts,
            resume_after: last.as_deref(),
            replaces: None,
            state: &AttemptState::default(),
        };
        attempt(&self.gateway, input, &self.record).await
    }

    /// Goes on with the response to a resumed stream.
    fn take_over(
        &mut self,
        made: Result<TargetResponse, AttemptError>,
    ) -> Result<(), TakeoverFailure> {
        let reason = match made {
            Ok(received) if received.response.status() == StatusCode::OK => {
                self.attempts.add(received.responder.target().cloned());
                self.source = Some(Source::new(received));
                return Ok(());
            }
            Ok(received) => {
                self.attempts.add(received.responder.target().cloned());
                format!("stream resumed with status {}", received.response.status())
            }
            Err(AttemptError::NotRun(target)) => {
                self.attempts.avoid(target);
                "the target to resume the stream at did not run it".to_string()
            }
            Err(AttemptError::MayHaveRun(target) | AttemptError::TimedOut(target)) => {
                self.attempts.add(target);
                "the target to resume the stream at broke off".to_string()
            }
            Err(error) => {
                let reason = format!("stream not resumed: {error}");
                return Err(TakeoverFailure { reason, may_try_further: false });
            }
        };
        Err(TakeoverFailure { reason, may_try_further: self.may_resume() })
    }
}

/// What came first after another target was asked to go on with the stream of a silent one.
enum Race {
    Source(SourceRead),
    Replacement(Box<Result<TargetResponse, AttemptError>>),
    /// Neither has sent anything for as long as a target may be silent.
    BothSilent,
}

/// Why another target did not go on with a stream.
struct TakeoverFailure {
    reason: String,
    may_try_further: bool,
}

/// How long the target of a stream may be silent before another one is asked.
fn max_gap(routed: &RoutedRequest) -> Duration {
    let max_gap =
        routed.route.max_event_gap.map_or(DEFAULT_MAX_GAP, |gap| gap * GAPS_BEFORE_RESUME);
    max_gap.max(routed.route.objective)
}

/// Id of the last event that the caller has received.
fn last_event(events: &EventSplitter, routed: &RoutedRequest) -> Option<String> {
    events.last_id().or(routed.metadata.resume_after.as_deref()).map(str::to_string)
}

/// Streams a body that is not an event stream and may be too long to be buffered.
pub fn relay_body(
    gateway: Rc<Gateway>,
    routed: RoutedRequest,
    received: TargetResponse,
    record: RequestRecord,
) -> ResponseBody {
    let status = received.response.status();
    let source = Source::new(received);
    stream_body(stream::unfold(Some((gateway, routed, source, record)), move |state| async move {
        let (gateway, routed, mut source, record) = state?;
        let (by, error): (CutBy, RelayError) =
            match timeout_at(routed.deadline, source.body.frame()).await {
                Ok(None) => {
                    record.set_outcome(Outcome::Relayed(status.as_u16()));
                    if status.is_success() {
                        source.responder.answered(
                            &gateway,
                            &routed,
                            source.sent_at,
                            source.framing,
                        );
                    }
                    return None;
                }
                Ok(Some(Ok(frame))) => {
                    record.target_active();
                    record.part_relayed(0, frame.data_ref().map_or(0, Bytes::len));
                    return Some((Ok(frame), Some((gateway, routed, source, record))));
                }
                Ok(Some(Err(error))) => (CutBy::Target, error.into()),
                Err(_) => (CutBy::Entry, TIME_IS_OVER.into()),
            };
        record.responder_failed(&source.responder, &error.to_string());
        record.broken_off(by, &error.to_string());
        if Instant::now() < routed.deadline {
            let Source { responder, sent_at, .. } = source;
            responder.close_broken(&gateway, &routed, sent_at, &record).await;
        }
        Some((Err(error), None))
    }))
}
