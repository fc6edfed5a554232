//! Turns the answer of a prompt into an HTTP response: one JSON document, or server-sent events.

use bytes::Bytes;
use tokio::sync::mpsc;
use warp::http::StatusCode;

use super::refusal::{Refusal, RefusalCode};
use crate::clock::unix_ms;

use crate::http::{self, Response};
use crate::upstream::chat::{self, ApiFormat, Chunk, Usage};
use crate::upstream::sse;

/// A step in the generation of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// New text.
    Text(String),
    /// The answer is complete.
    End { finish: String, usage: Usage },
    /// The answer ended incomplete.
    Failed(Refusal),
}

/// The response format that a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseFormat {
    pub format: ApiFormat,
    /// The model name from the request.
    pub model: String,
    pub id: String,
    /// Whether the answer is sent as server-sent events.
    pub stream: bool,
    /// Whether the usage is sent in a last chunk of the stream.
    pub include_usage: bool,
}

/// Turns the events into a response. A refusal that is the first event determines the status.
pub async fn respond(format: ResponseFormat, mut events: mpsc::Receiver<AnswerEvent>) -> Response {
    let first = events.recv().await.unwrap_or_else(ended_early);
    if let AnswerEvent::Failed(refusal) = first {
        return refusal.response();
    }
    if format.stream {
        streamed_response(format, first, events)
    } else {
        buffered_response(format, first, events).await
    }
}

/// A complete answer as one JSON document.
pub fn json_answer(format: ResponseFormat, text: String, finish: String, usage: Usage) -> Response {
    let chunk = Chunk { id: format.id.clone(), text, finish: Some(finish), usage: Some(usage) };
    let value =
        chat::completion(format.format, &format.id, &format.model, unix_ms() / 1_000, &chunk);
    http::json(StatusCode::OK, &value)
}

async fn buffered_response(
    format: ResponseFormat,
    first: AnswerEvent,
    mut events: mpsc::Receiver<AnswerEvent>,
) -> Response {
    let mut text = String::new();
    let mut event = first;
    loop {
        match event {
            AnswerEvent::Text(more) => text.push_str(&more),
            AnswerEvent::End { finish, usage } => return json_answer(format, text, finish, usage),
            AnswerEvent::Failed(refusal) => return refusal.response(),
        }
        event = events.recv().await.unwrap_or_else(ended_early);
    }
}

fn streamed_response(
    format: ResponseFormat,
    first: AnswerEvent,
    events: mpsc::Receiver<AnswerEvent>,
) -> Response {
    let state = (format, Some(first), events, unix_ms() / 1_000);
    let body =
        futures::stream::unfold(state, |(format, first, mut events, created_s)| async move {
            let event = match first {
                Some(event) => event,
                None => events.recv().await?,
            };
            let text = encode_event(&format, event, created_s);
            Some((Ok(Bytes::from(text)), (format, None, events, created_s)))
        });
    http::stream("text/event-stream", body)
}

fn encode_event(format: &ResponseFormat, event: AnswerEvent, created_s: u64) -> String {
    let write =
        |chunk: Chunk| sse::encode_event(&chunk.to_json(format.format, &format.model, created_s));
    let empty = Chunk { id: format.id.clone(), ..Chunk::default() };
    match event {
        AnswerEvent::Text(text) => write(Chunk { text, ..empty }),
        AnswerEvent::End { finish, usage } => {
            let mut text = write(Chunk { finish: Some(finish), ..empty.clone() });
            if format.include_usage {
                text.push_str(&write(Chunk { usage: Some(usage), ..empty }));
            }
            text.push_str(&sse::encode_event(sse::DONE));
            text
        }
        // The missing `[DONE]` tells the caller that the answer is incomplete.
        AnswerEvent::Failed(refusal) => sse::encode_event(&refusal.body().to_string()),
    }
}

fn ended_early() -> AnswerEvent {
    AnswerEvent::Failed(Refusal::may_have_run(
        RefusalCode::AnswerIncomplete,
        "the run ended without an answer",
    ))
}
