//! Splits a stream of events into whole events, which are relayed byte for byte.

use bytes::{Bytes, BytesMut};

/// Largest event that is held while its end has not come.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Holds back what is not a whole event yet.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// The id of the last whole event.
    last_id: Option<String>,
}

/// An event is larger than is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

impl EventSplitter {
    /// Takes received bytes and returns all whole events, as they came; empty if there is none.
    ///
    /// # Errors
    /// If one event is larger than 1 MiB.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, Oversized> {
        if self.pending.is_empty() && bytes.ends_with(b"\n\n") {
            self.update_last_id(bytes);
            return Ok(bytes.clone());
        }
        self.pending.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.pending) else {
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

    /// Whether part of an event is held.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Forgets a part whose rest won't come.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// The id of the last whole event.
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

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|position| position + 2)
}
