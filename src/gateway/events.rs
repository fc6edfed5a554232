//! Splits a byte stream into complete server-sent events without changing any bytes.

use bytes::{Bytes, BytesMut};

/// Largest incomplete event that is buffered. Dozens of streams of a faulty target that sends no end of an event must
/// fit into the memory of an entry.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers the incomplete event at the end of a stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Id of the last complete event.
    last_id: Option<String>,
}

/// An event exceeds `MAX_EVENT_BYTES`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

impl EventSplitter {
    /// Adds received bytes and returns all events that are now complete. The result is empty if
    /// there are none.
    ///
    /// # Errors
    /// If an incomplete event exceeds `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, Oversized> {
        if self.pending.is_empty() && bytes.ends_with(b"\n\n") {
            self.update_last_id(bytes);
            return Ok(bytes.clone());
        }
        let known_bytes = self.pending.len();
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending, known_bytes) else {
            return if self.pending.len() > MAX_EVENT_BYTES {
                Err(Oversized)
            } else {
                Ok(Bytes::new())
            };
        };
        let whole = self.pending.split_to(end).freeze();
        self.update_last_id(&whole);
        Ok(whole)
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn update_last_id(&mut self, whole: &[u8]) {
        let id_of = |line: &[u8]| line.strip_prefix(b"id:").map(<[u8]>::to_vec);
        let last = whole.split(|byte| *byte == b'\n').rev().find_map(id_of);
        if let Some(id) = last {
            self.last_id = Some(String::from_utf8_lossy(&id).trim().to_string());
        }
    }
}

/// Looks for the first event in the bytes of a stream that is read part by part.
#[derive(Debug, Default)]
pub struct EventDetector {
    /// Length of the complete events at the start, which are comments alone.
    comment_bytes: usize,
    /// Length of what has been searched for the end of an event.
    known_bytes: usize,
}

impl EventDetector {
    /// Whether an event is complete, which comments alone are not. `bytes` are those of the last call and what has
    /// been read since.
    pub fn has_event(&mut self, bytes: &[u8]) -> bool {
        let end = end_of_last_event(bytes, std::mem::replace(&mut self.known_bytes, bytes.len()));
        let Some(end) = end.filter(|end| *end > self.comment_bytes) else { return false };
        let whole = &bytes[std::mem::replace(&mut self.comment_bytes, end)..end];
        whole.split(|byte| *byte == b'\n').any(|line| !line.is_empty() && !line.starts_with(b":"))
    }
}

/// The end of the last event, if it lies behind the first `known_bytes`. A target may send an event in thousands of
/// parts, and what was searched before is not searched again.
fn end_of_last_event(bytes: &[u8], known_bytes: usize) -> Option<usize> {
    let from = known_bytes.saturating_sub(1);
    let position = bytes[from..].windows(2).rposition(|pair| pair == b"\n\n")?;
    Some(from + position + 2)
}

/// Number of events that end in these bytes.
pub fn count(bytes: &[u8]) -> usize {
    bytes.windows(2).filter(|pair| *pair == b"\n\n").count()
}
