//! Relays one answer: only chunks of this very dispatch, in order, to the end mark; a restarted
//! answer goes on only where it repeats what was already sent.

use crate::edge::chat::{Chunk, Usage};
use crate::edge::sse;

/// What the caller has and still gets of one answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Relay {
    /// The id that each chunk must carry.
    expected_id: String,
    /// Text that the caller has.
    sent_text: String,
    /// Bytes of `sent` that the current stream has repeated so far.
    /// Invariant: at most `sent.len()`, at a boundary of characters.
    repeated_bytes: usize,
    /// Chunks with text that came over the current generation, for resuming it.
    text_chunks: u32,
    finish: Option<String>,
    usage: Option<Usage>,
    completed: bool,
}

/// Why a stream can't be used any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// A chunk belongs to another request or attempt.
    UnexpectedId {
        /// The id that it carries.
        id: String,
    },
    /// The restarted answer differs from what the caller has.
    Diverged,
    /// A chunk can't be read, or the engine reports an error.
    Malformed {
        /// Why.
        reason: String,
    },
    /// Something came after the end, or the end came before the answer was whole.
    OutOfOrder,
}

impl Relay {
    /// Starts a new generation under a new id. What the caller has must be repeated first.
    pub fn restart(&mut self, expected_id: String) {
        self.expected_id = expected_id;
        self.repeated_bytes = 0;
        self.text_chunks = 0;
        self.finish = None;
        self.usage = None;
    }

    /// Takes the data of one event. Returns the new text for the caller, if there is any.
    ///
    /// # Errors
    /// Why the stream must be given up; nothing of this event may be sent.
    pub fn process_event(&mut self, data: &str) -> Result<Option<String>, StreamError> {
        if self.completed {
            return Err(StreamError::OutOfOrder);
        }
        if data == sse::DONE {
            // Whole only if all that was sent has been repeated and the end was announced.
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

    /// The part of `text` that the caller does not have.
    fn strip_repeated(&mut self, text: &str) -> Result<String, StreamError> {
        let unrepeated = &self.sent_text[self.repeated_bytes..];
        let overlap = unrepeated.len().min(text.len());
        if !text.is_char_boundary(overlap) || text[..overlap] != unrepeated[..overlap] {
            return Err(StreamError::Diverged);
        }
        self.repeated_bytes += overlap;
        Ok(text[overlap..].to_string())
    }

    /// Whether the end mark came after a whole answer.
    pub fn is_complete(&self) -> bool {
        self.completed
    }

    /// The text that the caller has.
    pub fn sent_text(&self) -> &str {
        &self.sent_text
    }

    /// Chunks with text that came of the current generation: where to resume it.
    pub fn text_chunks(&self) -> u32 {
        self.text_chunks
    }

    /// Why the answer ended.
    pub fn finish(&self) -> Option<&str> {
        self.finish.as_deref()
    }

    /// The usage, once the engine has told it.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }
}
