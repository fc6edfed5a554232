//! The response of a target as a relay reads it: what arrives, silence, and how it breaks.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::attempt::TargetResponse;
use super::events::EventSplitter;
use super::metadata::ResponseMetadata;
use super::pool::Connection;
use super::request_record::RequestRecord;
use super::responder::{Framing, Responder};
use super::routed_request::RoutedRequest;
use super::state::Gateway;
use crate::clock::BootTime;
use crate::ids::SoftwareVersion;

/// The target's response that events are read from.
pub(super) struct Source {
    pub(super) responder: Responder,
    pub(super) software: SoftwareVersion,
    /// The first events, if they were read before.
    body_read: Option<Bytes>,
    pub(super) body: Incoming,
    pub(super) response_metadata: ResponseMetadata,
    pub(super) connection: Connection,
    pub(super) sent_at: BootTime,
    pub(super) framing: Framing,
    /// When it counts as silent; `None` until the next read.
    pub(super) silent_from: Option<Instant>,
}

/// Why a stream breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BreakCause {
    /// The stream is wrong or stands still.
    Failure,
    /// The connection broke.
    Connection,
}

/// What reading a source gave.
pub(super) enum SourceRead {
    /// Complete events, or none yet.
    Events(Bytes),
    Complete,
    Broken(String),
    /// The connection to the target broke.
    Lost(String),
    /// The target has sent nothing for too long, and may go on.
    Silent,
    /// Another target has taken over.
    Replaced,
    TimedOut,
}

impl Source {
    pub(super) fn new(received: TargetResponse) -> Source {
        let TargetResponse {
            responder,
            software,
            response,
            body_read,
            response_metadata,
            mut connection,
            sent_at,
        } = received;
        connection.set_idle_timeout(response_metadata.idle_timeout);
        let framing = Framing::of(&response);
        let body = response.into_body();
        let silent_from = None;
        Source {
            responder,
            software,
            body_read,
            body,
            response_metadata,
            connection,
            sent_at,
            framing,
            silent_from,
        }
    }

    /// Reads what the target sends next. May be cancelled without a loss.
    pub(super) async fn read(
        &mut self,
        events: &mut EventSplitter,
        record: &RequestRecord,
    ) -> SourceRead {
        let data = match self.body_read.take() {
            Some(data) => data,
            None => match self.body.frame().await {
                None if events.has_partial() => {
                    return SourceRead::Broken("ends within an event".into());
                }
                None => return SourceRead::Complete,
                Some(Err(error)) => return SourceRead::Lost(error.to_string()),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            },
        };
        self.silent_from = None;
        record.target_active();
        if data.is_empty() {
            return SourceRead::Events(data);
        }
        self.responder.prompt_read(&self.response_metadata);
        match events.push(&data) {
            Ok(events) => SourceRead::Events(events),
            Err(_) => SourceRead::Broken("an event is too large".into()),
        }
    }
}

/// Cancels the request at the target of a source that failed, and reports it.
pub(super) async fn end_source(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    record: &RequestRecord,
    source: Option<Source>,
    reason: &str,
    cause: BreakCause,
) {
    let Some(Source { mut responder, connection, body, sent_at, .. }) = source else { return };
    record.responder_failed(&responder, reason);
    match cause {
        BreakCause::Connection => responder.connection_lost(gateway, routed),
        BreakCause::Failure => responder.failed(gateway),
    }
    // Closing the connection cancels the request at the target.
    drop((body, connection));
    responder.close_broken(gateway, routed, sent_at, record).await;
}
