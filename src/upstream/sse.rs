//! Server-sent events as engines stream them: data events, split at empty lines.

/// The data of the last event of a whole stream.
pub const DONE: &str = "[DONE]";

/// Largest event that is held while its end has not come.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits received bytes into the data of events.
#[derive(Default)]
pub struct EventParser {
    /// Bytes after the last whole event.
    pending: Vec<u8>,
}

impl EventParser {
    /// Takes received bytes and returns the data of each event that is whole now.
    ///
    /// # Errors
    /// `Oversized` if one event is larger than 1 MiB; the stream must be given up.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, Oversized> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_event_end(&self.pending[start..]) {
            events.extend(event_data(&self.pending[start..start + length]));
            start += length;
        }
        self.pending.drain(..start);
        if self.pending.len() > MAX_EVENT_BYTES { Err(Oversized) } else { Ok(events) }
    }
}

/// An event is larger than is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

/// Writes one data event.
pub fn encode_event(data: &str) -> String {
    format!("data: {data}\n\n")
}

fn find_event_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|position| position + 2)
}

fn event_data(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let lines: Vec<&str> =
        text.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim_start).collect();
    if lines.is_empty() { None } else { Some(lines.join("\n")) }
}
