//! The answer of a prompt, as the caller wants it: whole, or in parts as they come.

use bytes::Bytes;
use tokio::sync::mpsc;
use warp::http::StatusCode;

use super::refusal::{Code, Refusal};
use crate::clock::unix_ms;
use crate::http::{self, Response};
use crate::upstream::chat::{self, ApiFormat, Chunk, Usage};
use crate::upstream::sse;

/// A part of an answer on its way to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// New text.
    Text(String),
    /// The answer is whole.
    End {
        /// Why it ended.
        finish: String,
        /// Its tokens.
        usage: Usage,
    },
    /// There is no more, and it is not whole.
    Failed(Refusal),
}

/// How a caller wants an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// The interface.
    pub format: ApiFormat,
    /// The model, as the caller named it.
    pub model: String,
    /// The id that the caller sees.
    pub id: String,
    /// Whether it comes in parts.
    pub stream: bool,
    /// Whether a last chunk carries the usage.
    pub usage: bool,
}

/// Turns the parts into a response. Refusals that come before any text keep their status.
pub async fn respond(wanted: Wanted, mut parts: mpsc::Receiver<Part>) -> Response {
    let first = parts.recv().await.unwrap_or_else(lost);
    if let Part::Failed(refusal) = first {
        return refusal.response();
    }
    if wanted.stream { in_parts(wanted, first, parts) } else { whole(wanted, first, parts).await }
}

/// A whole answer that is known already.
pub fn recorded(wanted: Wanted, text: String, finish: String, usage: Usage) -> Response {
    let chunk = Chunk { id: wanted.id.clone(), text, finish: Some(finish), usage: Some(usage) };
    let value =
        chat::completion(wanted.format, &wanted.id, &wanted.model, unix_ms() / 1_000, &chunk);
    http::json(StatusCode::OK, &value)
}

async fn whole(wanted: Wanted, first: Part, mut parts: mpsc::Receiver<Part>) -> Response {
    let mut text = String::new();
    let mut part = first;
    loop {
        match part {
            Part::Text(more) => text.push_str(&more),
            Part::End { finish, usage } => return recorded(wanted, text, finish, usage),
            Part::Failed(refusal) => return refusal.response(),
        }
        part = parts.recv().await.unwrap_or_else(lost);
    }
}

fn in_parts(wanted: Wanted, first: Part, parts: mpsc::Receiver<Part>) -> Response {
    let state = (wanted, Some(first), parts, unix_ms() / 1_000);
    let events =
        futures::stream::unfold(state, |(wanted, first, mut parts, created_s)| async move {
            let part = match first {
                Some(part) => part,
                None => parts.recv().await?,
            };
            let text = events(&wanted, part, created_s);
            Some((Ok(Bytes::from(text)), (wanted, None, parts, created_s)))
        });
    http::stream("text/event-stream", events)
}

fn events(wanted: &Wanted, part: Part, created_s: u64) -> String {
    let write =
        |chunk: Chunk| sse::encode_event(&chunk.to_json(wanted.format, &wanted.model, created_s));
    let empty = Chunk { id: wanted.id.clone(), ..Chunk::default() };
    match part {
        Part::Text(text) => write(Chunk { text, ..empty }),
        Part::End { finish, usage } => {
            let mut text = write(Chunk { finish: Some(finish), ..empty.clone() });
            if wanted.usage {
                text.push_str(&write(Chunk { usage: Some(usage), ..empty }));
            }
            text.push_str(&sse::encode_event(sse::DONE));
            text
        }
        // No end mark follows, so the caller knows that the answer is not whole.
        Part::Failed(refusal) => sse::encode_event(&refusal.body().to_string()),
    }
}

fn lost() -> Part {
    Part::Failed(Refusal::may_have_run(Code::AnswerBroken, "the run ended without an answer"))
}
