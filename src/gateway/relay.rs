//! Relays the body of an answer: as a whole, in parts, or event by event.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerBody, RelayError, in_parts};
use super::attempt::{Answered, Missed, attempt};
use super::call::ResponseMetadata;
use super::events::EventSplitter;
use super::examine;
use super::job::Job;
use super::pool::Connection;
use super::record::{Ended, Record};
use super::state::{AtTarget, Gateway};
use crate::clock::{BootTime, boot_now};
use crate::fleet::Fault;
use crate::ids::TargetStart;
use crate::scheduler::EndReason;

/// A body up to this length is taken as a whole before any of it is relayed, so that one that breaks
/// off can be asked for again.
pub const WHOLE_BYTES: u64 = 256 << 10;
/// A stream that may be resumed goes on elsewhere after a pause of this many of the longest pauses
/// that the operator allows.
const PAUSES_TO_RESUME: u32 = 4;
/// The same where the operator names none.
const PAUSE_TO_RESUME: Duration = Duration::from_secs(2);

/// Takes a body as a whole.
///
/// # Errors
/// If it breaks off or its time is over.
pub async fn read_whole(body: Incoming, ends_at: Instant) -> Result<Bytes, RelayError> {
    let body = Limited::new(body, WHOLE_BYTES as usize).collect();
    Ok(timeout_at(ends_at, body).await??.to_bytes())
}

/// Whether a body is surely short enough to be taken as a whole.
pub fn is_short(body: &Incoming) -> bool {
    body.size_hint().upper().is_some_and(|bytes| bytes <= WHOLE_BYTES)
}

/// Relays a stream of events.
pub struct EventRelay {
    /// The entry.
    pub gateway: Rc<Gateway>,
    /// The request.
    pub job: Job,
    /// What happens to it.
    pub record: Record,
    /// Targets that it was sent to.
    pub tried: Vec<TargetStart>,
    source: Option<Source>,
    events: EventSplitter,
}

/// Where events come from.
struct Source {
    target: TargetStart,
    body: Incoming,
    outcome: ResponseMetadata,
    connection: Connection,
    at_target: AtTarget,
    sent_at: BootTime,
}

enum Next {
    Events(Bytes),
    Whole,
    Broken(String),
    TimeOver,
}

impl EventRelay {
    /// A relay of an answer.
    pub fn new(
        gateway: Rc<Gateway>,
        job: Job,
        record: Record,
        tried: Vec<TargetStart>,
        answered: Answered,
    ) -> EventRelay {
        let source = Some(Source::new(answered));
        EventRelay { gateway, job, record, tried, source, events: EventSplitter::default() }
    }

    /// The body as the caller gets it.
    pub fn into_body(self) -> AnswerBody {
        in_parts(stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    /// The next whole events; `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, RelayError> {
        loop {
            match self.next_of_source().await {
                Next::Events(events) => {
                    self.record.first_part();
                    return Ok(Some(events));
                }
                Next::Whole => {
                    self.finish();
                    return Ok(None);
                }
                Next::TimeOver => {
                    self.record.end(Ended::BrokenOff);
                    return Err("its time is over".into());
                }
                Next::Broken(reason) => self.go_on_elsewhere(reason).await?,
            }
        }
    }

    async fn next_of_source(&mut self) -> Next {
        let pause = self.longest_pause();
        let Some(source) = &mut self.source else { return Next::Broken("no source".into()) };
        loop {
            let ends_at =
                pause.map_or(self.job.ends_at, |p| self.job.ends_at.min(Instant::now() + p));
            let frame = match timeout_at(ends_at, source.body.frame()).await {
                Ok(frame) => frame,
                Err(_) if Instant::now() >= self.job.ends_at => return Next::TimeOver,
                Err(_) => return Next::Broken("no event for too long".into()),
            };
            match frame {
                None if self.events.holds_part() => {
                    return Next::Broken("ends within an event".into());
                }
                None => return Next::Whole,
                Some(Err(error)) => return Next::Broken(error.to_string()),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    source.at_target.has_read(&source.outcome);
                    match self.events.push(&data) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return Next::Events(events),
                        Err(_) => return Next::Broken("an event is too large".into()),
                    }
                }
            }
        }
    }

    fn longest_pause(&self) -> Option<Duration> {
        if !self.may_resume() {
            return None;
        }
        let pause = self.job.route.gap_target.map_or(PAUSE_TO_RESUME, |gap| gap * PAUSES_TO_RESUME);
        Some(pause.max(self.job.route.objective))
    }

    fn may_resume(&self) -> bool {
        self.job.route.policy.may_repeat() && (self.tried.len() as u32) < self.job.route.attempts
    }

    fn finish(&mut self) {
        self.record.end(Ended::Relayed(StatusCode::OK.as_u16()));
        if let Some(mut source) = self.source.take() {
            source.at_target.ends(EndReason::Completed);
            self.gateway.fleet.borrow_mut().succeeded(&source.target);
            self.gateway.answered_whole(&self.job);
            if !source.outcome.closes {
                self.gateway.give_back(&source.target, source.connection);
            }
        }
    }

    /// Resumes the stream at another engine after the last whole event.
    async fn go_on_elsewhere(&mut self, reason: String) -> Result<(), RelayError> {
        let may_resume = self.may_resume();
        if let Some(mut source) = self.source.take() {
            source.at_target.ends(EndReason::Failed);
            self.record.failed(&source.target, &reason);
            self.gateway.fleet.borrow_mut().failed(&source.target, Fault::Target, boot_now());
            let (target, sent_at) = (source.target.clone(), source.sent_at);
            // Closes the connection, which ends the run there.
            drop(source);
            examine::broke_off(&self.gateway, &self.job, &target, sent_at, &mut self.record).await;
        }
        self.record.end(Ended::BrokenOff);
        let has_retry =
            || self.gateway.retries.borrow_mut().try_retry(&self.job.service, boot_now());
        if !may_resume || !has_retry() {
            return Err(reason.into());
        }
        self.events.drop_part();
        let last = self.events.last_id().or(self.job.call.resume_after.as_deref());
        let last = last.map(str::to_string);
        let resumed =
            attempt(&self.gateway, &self.job, &self.tried, last.as_deref(), None, &mut self.record)
                .await;
        match resumed {
            Ok(answered) if answered.answer.status() == StatusCode::OK => {
                self.tried.push(answered.target.clone());
                self.source = Some(Source::new(answered));
                Ok(())
            }
            Ok(answered) => Err(format!("resumed with {}", answered.answer.status()).into()),
            Err(Missed::Unplaced(why)) => Err(format!("no engine to resume at: {why:?}").into()),
            Err(missed) => Err(format!("not resumed: {missed:?}").into()),
        }
    }
}

impl Source {
    fn new(answered: Answered) -> Source {
        let Answered { target, answer, outcome, mut connection, at_target, sent_at } = answered;
        connection.set_idle_timeout(outcome.idle_timeout);
        Source { target, body: answer.into_body(), outcome, connection, at_target, sent_at }
    }
}

/// Relays a body that is no stream of events and too long to be taken as a whole.
pub fn raw(gateway: Rc<Gateway>, job: Job, answered: Answered, record: Record) -> AnswerBody {
    let status = answered.answer.status();
    let source = Source::new(answered);
    in_parts(stream::unfold(Some((gateway, job, source, record)), move |state| async move {
        let (gateway, job, mut source, mut record) = state?;
        let error: RelayError = match timeout_at(job.ends_at, source.body.frame()).await {
            Ok(None) => {
                record.end(Ended::Relayed(status.as_u16()));
                if status.is_success() {
                    gateway.answered_whole(&job);
                }
                return None;
            }
            Ok(Some(Ok(frame))) => {
                record.first_part();
                return Some((Ok(frame), Some((gateway, job, source, record))));
            }
            Ok(Some(Err(error))) => error.into(),
            Err(_) => "its time is over".into(),
        };
        record.failed(&source.target, &error.to_string());
        record.end(Ended::BrokenOff);
        if Instant::now() < job.ends_at {
            examine::broke_off(&gateway, &job, &source.target, source.sent_at, &mut record).await;
        }
        Some((Err(error), None))
    }))
}
