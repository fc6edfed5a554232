//! Short bodies of responses, which are read whole before any of them is relayed, so that the request can
//! be retried if the body is cut short.

use bytes::{Bytes, BytesMut};
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
pub async fn read(body: &mut Incoming, deadline: Instant) -> Result<Bytes, RelayError> {
    let body = Limited::new(body, MAX_BUFFERED_BYTES as usize).collect();
    Ok(timeout_at(deadline, body).await??.to_bytes())
}

/// Reads a whole body whose length may be unknown. `None` if it is too long, or there is no memory for it.
///
/// # Errors
/// If the body is cut short, or not complete by the deadline.
pub async fn read_if_short(
    mut body: Incoming,
    memory: &BodyMemory,
    deadline: Instant,
) -> Result<Option<Bytes>, RelayError> {
    let mut reservation = memory.reservation();
    let mut bytes = BytesMut::new();
    if body.size_hint().lower() > MAX_BUFFERED_BYTES {
        return Ok(None);
    }
    while let Some(frame) = timeout_at(deadline, body.frame()).await? {
        let Ok(part) = frame?.into_data() else { continue };
        let is_long = (bytes.len() + part.len()) as u64 > MAX_BUFFERED_BYTES;
        if is_long || reservation.grow(part.len()).is_err() {
            return Ok(None);
        }
        bytes.extend_from_slice(&part);
    }
    Ok(Some(reservation.hold(bytes.freeze())))
}
