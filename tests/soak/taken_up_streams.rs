//! Callers that take up streams whose connection has broken, at any entry, while targets of several
//! software versions serve.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::rngs::SmallRng;

use super::Harness;
use super::callers::{self, Outcome, RequestKind};
use super::platform_stand_in::job::expected_event;
use super::whole_answers::{self, Failure, Sent};

/// Attempts to take up a stream, each at a random entry.
const MAX_ATTEMPTS: usize = 3;
/// Pause after a refusal; entries ask for 0.2 to 0.8 s.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Streams of a run that may go on at another software version: those whose entry was killed before it
/// could tell anyone where they began.
const MAX_MIXED_STREAMS: usize = 2;

/// A stream that broke after some events.
pub struct BrokenStream<'a> {
    /// The request that brought its first event.
    pub id: String,
    /// Number of all its events.
    pub events: u64,
    /// API key of its caller.
    pub key: &'a str,
    /// What its caller has received.
    pub received: &'a Bytes,
}

/// Takes up a stream after its last complete event, if it has any.
pub async fn take_up(harness: &Harness, broken: &BrokenStream<'_>, random: &mut SmallRng) {
    let BrokenStream { id, events, key, received } = broken;
    let last = String::from_utf8_lossy(received).matches("\n\n").count() as u64;
    if last == 0 || last == *events {
        return;
    }
    harness.request_counts.taken_up.fetch_add(1, Ordering::Relaxed);
    for attempt in 0..MAX_ATTEMPTS {
        let Some(mut connection) = callers::connect(harness, random).await else { continue };
        let request_id = format!("{id}-{attempt}");
        let builder = callers::request_builder(RequestKind::Resumable, &request_id, key)
            .header("last-event-id", last)
            .header("resumes", id);
        let builder = callers::add_prompt(builder, *events, &format!("{request_id}:1200"));
        let message = callers::with_question(builder);
        let sent = Sent {
            request_id: &request_id,
            service: "llm",
            entry: connection.entry,
            at: Instant::now(),
        };
        match callers::receive_answer(&mut connection, message).await {
            Outcome::Answer { status: 200, body, is_whole, .. } => {
                let expected: String =
                    (last + 1..=*events).map(|n| expected_event(&request_id, n)).collect();
                let is_expected = match is_whole {
                    true => body == expected.as_bytes(),
                    false => expected.as_bytes().starts_with(&body),
                };
                if !is_expected {
                    harness.record_violation(format!(
                        "{request_id} goes on after event {last} of {events} with {body:?}"
                    ));
                }
                if !is_whole {
                    whole_answers::check(harness, &sent, Failure::Truncated(body.len()));
                }
                harness.request_counts.gone_on.fetch_add(1, Ordering::Relaxed);
                return;
            }
            Outcome::Answer { status: 503, .. } => tokio::time::sleep(RETRY_PAUSE).await,
            _ => return,
        }
    }
}

/// Describes streams that went on at another software version, if there are too many.
pub fn violations(harness: &Harness) -> Vec<String> {
    let platform = harness.platform.lock();
    let mixed = platform.observations.mixed_streams();
    if mixed.len() > MAX_MIXED_STREAMS {
        return mixed;
    }
    mixed.iter().for_each(|what| println!("seed {}: passed over: {what}", harness.seed));
    Vec::new()
}
