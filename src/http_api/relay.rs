//! Checks the streams of one answer and determines which text to forward to the caller.
//!
//! Only chunks of the current dispatch are accepted, in order, up to `[DONE]`. After a restart,
//! text is forwarded only if the new stream first repeats everything that was already sent.

use crate::upstream::chat::{Chunk, Usage};
use crate::upstream::sse;

/// The state of one answer across its streams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Relay {
    /// The id that each chunk of the current stream must have.
    expected_id: String,
    /// The text that was forwarded to the caller.
    sent_text: String,
    /// Length of the prefix of `sent_text` that the current stream has repeated.
    /// Invariant: at most `sent_text.len()`, and on a character boundary.
    repeated_bytes: usize,
    /// Number of received chunks with text since the last restart.
    text_chunks: u32,
    finish: Option<String>,
    usage: Option<Usage>,
    completed: bool,
}

/// Why a stream was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// A chunk belongs to a different request or attempt.
    UnexpectedId { id: String },
    /// The restarted answer differs from the text that was already sent.
    Diverged,
    /// A chunk can't be parsed, or is an error object.
    Malformed { reason: String },
    /// There was data after the end, or the end came before the answer was complete.
    OutOfOrder,
}

impl Relay {
    /// Starts a new stream, whose chunks have a new id. It must repeat all text that was sent.
    pub fn restart(&mut self, expected_id: String) {
        self.expected_id = expected_id;
        self.repeated_bytes = 0;
        self.text_chunks = 0;
        self.finish = None;
        self.usage = None;
    }

    /// Processes the data of one server-sent event. Returns the text to forward, if any.
    ///
    /// # Errors
    /// Why the stream was rejected. Nothing of this event may be forwarded.
    pub fn process_event(&mut self, data: &str) -> Result<Option<String>, StreamError> {
        if self.completed {
            return Err(StreamError::OutOfOrder);
        }
        if data == sse::DONE {
            // Complete only after a finish reason, and if all sent text has been repeated.
            if self.finish.is_none() || self.repeated_bytes < self.sent_text.len() {
                return Err(StreamError::OutOfOrder);
            }
            self.completed = true;
            return Ok(None);
        }
        let chunk = Chunk::parse(data).map_err(|reason| StreamError::Malformed { reason })?;
        if chunk.id != self.expected_id {
            return Err(StreamError::UnexpectedId { id: chunk.id });
        }
        self.process_chunk(chunk)
    }

    fn process_chunk(&mut self, chunk: Chunk) -> Result<Option<String>, StreamError> {
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        if !chunk.text.is_empty() && self.finish.is_some() {
            return Err(StreamError::OutOfOrder);
        }
        if !chunk.text.is_empty() {
            self.text_chunks += 1;
        }
        let new_text = self.strip_repeated(&chunk.text)?;
        if chunk.finish.is_some() {
            self.finish = chunk.finish;
        }
        self.sent_text.push_str(&new_text);
        self.repeated_bytes += new_text.len();
        Ok((!new_text.is_empty()).then_some(new_text))
    }

    /// The part of `text` that was not sent yet.
    fn strip_repeated(&mut self, text: &str) -> Result<String, StreamError> {
        let unrepeated = &self.sent_text[self.repeated_bytes..];
        let overlap = unrepeated.len().min(text.len());
        if !text.is_char_boundary(overlap) || text[..overlap] != unrepeated[..overlap] {
            return Err(StreamError::Diverged);
        }
        self.repeated_bytes += overlap;
        Ok(text[overlap..].to_string())
    }

    /// Whether the answer was received completely, including `[DONE]`.
    pub fn is_complete(&self) -> bool {
        self.completed
    }

    /// The text that was forwarded to the caller.
    pub fn sent_text(&self) -> &str {
        &self.sent_text
    }

    /// Number of received chunks with text since the last restart. A broken stream is resumed after
    /// them.
    pub fn text_chunks(&self) -> u32 {
        self.text_chunks
    }

    /// The finish reason, once received.
    pub fn finish(&self) -> Option<&str> {
        self.finish.as_deref()
    }

    /// The token usage, once received.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }
}
