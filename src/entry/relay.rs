//! Relays one answer: only chunks of this very dispatch, in order, to the end mark; a restarted
//! answer goes on only where it repeats what was already sent.

use crate::upstream::chat::{Chunk, Usage};
use crate::upstream::sse;

/// What the caller has and still gets of one answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Relay {
    /// The id that each chunk must carry.
    expected_id: String,
    /// Text that the caller has.
    sent: String,
    /// Bytes of `sent` that the current stream has repeated so far.
    /// Invariant: at most `sent.len()`, at a boundary of characters.
    repeated: usize,
    /// Chunks with text that came over the current generation, for resuming it.
    chunks: u32,
    finish: Option<String>,
    usage: Option<Usage>,
    done: bool,
}

/// Why a stream can't be used any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A chunk belongs to another request or attempt.
    Crossed {
        /// The id that it carries.
        id: String,
    },
    /// The restarted answer differs from what the caller has.
    Diverged,
    /// A chunk can't be read, or the engine reports an error.
    Unreadable {
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
        self.repeated = 0;
        self.chunks = 0;
        self.finish = None;
        self.usage = None;
    }

    /// Takes the data of one event. Returns the new text for the caller, if there is any.
    ///
    /// # Errors
    /// Why the stream must be given up; nothing of this event may be sent.
    pub fn take(&mut self, data: &str) -> Result<Option<String>, Fault> {
        if self.done {
            return Err(Fault::OutOfOrder);
        }
        if data == sse::DONE {
            // Whole only if all that was sent has been repeated and the end was announced.
            if self.finish.is_none() || self.repeated < self.sent.len() {
                return Err(Fault::OutOfOrder);
            }
            self.done = true;
            return Ok(None);
        }
        let chunk = Chunk::parse(data).map_err(|reason| Fault::Unreadable { reason })?;
        if chunk.id != self.expected_id {
            return Err(Fault::Crossed { id: chunk.id });
        }
        self.chunk(chunk)
    }

    fn chunk(&mut self, chunk: Chunk) -> Result<Option<String>, Fault> {
        if chunk.usage.is_some() {
            self.usage = chunk.usage;
        }
        if !chunk.text.is_empty() && self.finish.is_some() {
            return Err(Fault::OutOfOrder);
        }
        if !chunk.text.is_empty() {
            self.chunks += 1;
        }
        let new = self.beyond_sent(&chunk.text)?;
        if chunk.finish.is_some() {
            self.finish = chunk.finish;
        }
        self.sent.push_str(&new);
        self.repeated += new.len();
        Ok((!new.is_empty()).then_some(new))
    }

    /// The part of `text` that the caller does not have.
    fn beyond_sent(&mut self, text: &str) -> Result<String, Fault> {
        let missing = &self.sent[self.repeated..];
        let common = missing.len().min(text.len());
        if !text.is_char_boundary(common) || text[..common] != missing[..common] {
            return Err(Fault::Diverged);
        }
        self.repeated += common;
        Ok(text[common..].to_string())
    }

    /// Whether the end mark came after a whole answer.
    pub fn is_whole(&self) -> bool {
        self.done
    }

    /// The text that the caller has.
    pub fn text(&self) -> &str {
        &self.sent
    }

    /// Chunks with text that came of the current generation: where to resume it.
    pub fn chunks(&self) -> u32 {
        self.chunks
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
