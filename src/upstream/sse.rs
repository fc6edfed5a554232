//! Server-sent events as engines stream them: data events that are separated by empty lines.

/// Data of the event that ends a complete stream.
pub const DONE: &str = "[DONE]";

/// Maximum size of an incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Incremental parser of data events.
#[derive(Default)]
pub struct EventParser {
    /// Bytes after the last complete event.
    pending: Vec<u8>,
}

impl EventParser {
    /// Adds received bytes and returns the data of each event that they complete.
    ///
    /// # Errors
    /// `Oversized` if an incomplete event is larger than 1 MiB. The stream can't be parsed further then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, Oversized> {
        // An engine may send an event in thousands of parts, and what was searched before is not searched again.
        let known_bytes = self.pending.len().saturating_sub(1);
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_event_end(&self.pending, start.max(known_bytes)) {
            events.extend(event_data(&self.pending[start..end]));
            start = end;
        }
        self.pending.drain(..start);
        if self.pending.len() > MAX_EVENT_BYTES { Err(Oversized) } else { Ok(events) }
    }
}

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

pub fn encode_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

/// Returns the position after the first complete event that ends behind `from`.
fn find_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let position = bytes[from..].windows(2).position(|pair| pair == b"\n\n")?;
    Some(from + position + 2)
}

/// Returns the data lines of an event, or `None` if it has none.
fn event_data(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let lines: Vec<&str> =
        text.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim_start).collect();
    if lines.is_empty() { None } else { Some(lines.join("\n")) }
}
