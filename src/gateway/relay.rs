//! Relays the body of a response: buffered, streamed, or event by event.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use super::attempt::{AttemptError, AttemptInput, TargetResponse, attempt};
use super::attempts::Attempts;
use super::events::EventSplitter;
use super::metadata::ResponseMetadata;
use super::pool::Connection;
use super::request_record::{Outcome, RequestRecord};
use super::responder::{Framing, Responder};
use super::response::{RelayError, ResponseBody, stream_body};
use super::routed_request::{Origin, RoutedRequest};
use super::state::Gateway;
use crate::clock::BootTime;
use crate::ids::SoftwareVersion;

/// A body of at most this length is buffered before any of it is relayed, so that the request can
/// be retried if the body is cut short.
pub const MAX_BUFFERED_BYTES: u64 = 256 << 10;
/// A resumable stream without an event for this multiple of the route's largest allowed gap is
/// resumed at another target.
const GAPS_BEFORE_RESUME: u32 = 4;
/// Longest gap between events before such a resume if the route sets none.
const DEFAULT_MAX_GAP: Duration = Duration::from_secs(2);

/// Reads a whole body.
///
/// # Errors
/// If the body is cut short, too long, or not complete by the deadline.
pub async fn read_buffered(body: Incoming, deadline: Instant) -> Result<Bytes, RelayError> {
    let body = Limited::new(body, MAX_BUFFERED_BYTES as usize).collect();
    Ok(timeout_at(deadline, body).await??.to_bytes())
}

/// Whether a body is known to fit into `MAX_BUFFERED_BYTES`.
pub fn fits_buffer(body: &Incoming) -> bool {
    body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_BUFFERED_BYTES)
}

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

/// The target's response that events are read from.
struct Source {
    responder: Responder,
    software: SoftwareVersion,
    body: Incoming,
    response_metadata: ResponseMetadata,
    connection: Connection,
    sent_at: BootTime,
    framing: Framing,
}

/// Why a stream breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakCause {
    /// The stream is wrong or stands still.
    Failure,
    /// The connection broke.
    Connection,
}

enum SourceRead {
    Events(Bytes),
    Complete,
    Broken(String),
    /// The connection to the target broke.
    Lost(String),
    TimedOut,
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

    /// Turns the relay into the body of the response to the caller.
    pub fn into_body(self) -> ResponseBody {
        stream_body(stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.read_source().await {
                SourceRead::Events(events) => {
                    self.record.first_part_sent();
                    self.bind_software();
                    return Ok(Some(events));
                }
                SourceRead::Complete => {
                    self.finish();
                    return Ok(None);
                }
                SourceRead::TimedOut => {
                    self.record.set_outcome(Outcome::BrokenOff);
                    return Err("its time is over".into());
                }
                SourceRead::Broken(reason) => self.resume(reason, BreakCause::Failure).await?,
                SourceRead::Lost(reason) => self.resume(reason, BreakCause::Connection).await?,
            }
        }
    }

    /// Binds the stream to the software version of the target that sent its first event, and remembers
    /// it.
    fn bind_software(&mut self) {
        let Some(source) = self.source.as_ref().filter(|_| !self.is_bound) else { return };
        self.is_bound = true;
        self.gateway.record_stream(&self.routed, &source.software);
        self.routed.software.get_or_insert_with(|| source.software.clone());
    }

    async fn read_source(&mut self) -> SourceRead {
        let max_gap = self.max_gap();
        let Some(source) = &mut self.source else { return SourceRead::Broken("no source".into()) };
        loop {
            let deadline = max_gap
                .map_or(self.routed.deadline, |p| self.routed.deadline.min(Instant::now() + p));
            let frame = match timeout_at(deadline, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if Instant::now() >= self.routed.deadline => return SourceRead::TimedOut,
                Err(_) => return SourceRead::Broken("no event for too long".into()),
            };
            match frame {
                None if self.events.has_partial() => {
                    return SourceRead::Broken("ends within an event".into());
                }
                None => return SourceRead::Complete,
                Some(Err(error)) => return SourceRead::Lost(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    source.responder.prompt_read(&source.response_metadata);
                    match self.events.push(&data) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return SourceRead::Events(events),
                        Err(_) => return SourceRead::Broken("an event is too large".into()),
                    }
                }
            }
        }
    }

    fn max_gap(&self) -> Option<Duration> {
        if !self.may_resume() {
            return None;
        }
        let max_gap =
            self.routed.route.max_event_gap.map_or(DEFAULT_MAX_GAP, |gap| gap * GAPS_BEFORE_RESUME);
        Some(max_gap.max(self.routed.route.objective))
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

    /// Resumes the stream at another target, after the last complete event.
    async fn resume(&mut self, reason: String, cause: BreakCause) -> Result<(), RelayError> {
        let may_resume = self.may_resume();
        if let Some(source) = self.source.take() {
            let Source { mut responder, connection, body, sent_at, .. } = source;
            self.record.responder_failed(&responder, &reason);
            match cause {
                BreakCause::Connection => responder.connection_lost(&self.gateway, &self.routed),
                BreakCause::Failure => responder.failed(&self.gateway),
            }
            // Closing the connection cancels the request at the target.
            drop((body, connection));
            responder.close_broken(&self.gateway, &self.routed, sent_at, &mut self.record).await;
        }
        self.record.set_outcome(Outcome::BrokenOff);
        if !may_resume || !self.gateway.try_retry(&self.routed.service, &mut self.record) {
            return Err(reason.into());
        }
        self.events.discard_partial();
        let last = self.events.last_id().or(self.routed.metadata.resume_after.as_deref());
        let last = last.map(str::to_string);
        let input = AttemptInput {
            routed: &self.routed,
            attempts: &self.attempts,
            resume_after: last.as_deref(),
            response_timeout: None,
        };
        let resumed = attempt(&self.gateway, input, &mut self.record).await;
        match resumed {
            Ok(received) if received.response.status() == StatusCode::OK => {
                self.attempts.add(received.responder.target().cloned());
                self.source = Some(Source::new(received));
                Ok(())
            }
            Ok(received) => {
                Err(format!("stream resumed with status {}", received.response.status()).into())
            }
            Err(AttemptError::NoTarget(why)) => {
                Err(format!("no target to resume the stream at: {why:?}").into())
            }
            Err(error) => Err(format!("stream not resumed: {error:?}").into()),
        }
    }
}

impl Source {
    fn new(received: TargetResponse) -> Source {
        let TargetResponse {
            responder,
            software,
            response,
            response_metadata,
            mut connection,
            sent_at,
        } = received;
        connection.set_idle_timeout(response_metadata.idle_timeout);
        let framing = Framing::of(&response);
        let body = response.into_body();
        Source { responder, software, body, response_metadata, connection, sent_at, framing }
    }
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
        let (gateway, routed, mut source, mut record) = state?;
        let error: RelayError = match timeout_at(routed.deadline, source.body.frame()).await {
            Ok(None) => {
                record.set_outcome(Outcome::Relayed(status.as_u16()));
                if status.is_success() {
                    source.responder.answered(&gateway, &routed, source.sent_at, source.framing);
                }
                return None;
            }
            Ok(Some(Ok(frame))) => {
                record.first_part_sent();
                return Some((Ok(frame), Some((gateway, routed, source, record))));
            }
            Ok(Some(Err(error))) => error.into(),
            Err(_) => "its time is over".into(),
        };
        record.responder_failed(&source.responder, &error.to_string());
        record.set_outcome(Outcome::BrokenOff);
        if Instant::now() < routed.deadline {
            let Source { responder, sent_at, .. } = source;
            responder.close_broken(&gateway, &routed, sent_at, &mut record).await;
        }
        Some((Err(error), None))
    }))
}
