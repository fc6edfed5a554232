//! Short bodies of responses, which are read whole before any of them is relayed, so that the request can
//! be retried if the body is cut short.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::response::RelayError;
use crate::net::body_memory::{BodyMemory, Reservation};

/// Longest body that is buffered.
pub const MAX_BUFFERED_BYTES: u64 = 256 << 10;

/// Reserves memory for a body that is known to fit into `MAX_BUFFERED_BYTES`; `None` if it is to be
/// streamed.
pub fn reserve(body: &Incoming, memory: &BodyMemory) -> Option<Reservation> {
    let size_bytes = body.size_hint().upper().filter(|bytes| *bytes <= MAX_BUFFERED_BYTES)?;
    let mut reservation = memory.reservation();
    reservation.grow(size_bytes as usize).ok()?;
    Some(reservation)
}

/// Reads a whole body.
///
/// # Errors
/// If the body is cut short, too long, or not complete by the deadline.
pub async fn read(body: Incoming, deadline: Instant) -> Result<Bytes, RelayError> {
    let body = Limited::new(body, MAX_BUFFERED_BYTES as usize).collect();
    Ok(timeout_at(deadline, body).await??.to_bytes())
}
