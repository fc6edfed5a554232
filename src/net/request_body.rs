//! Bodies of requests, which a closing server does not wait for.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::watch;

use super::body_memory::{BodyMemory, OutOfMemory};

/// The body of a request that is still being received.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    /// Whether the server closes its connections.
    closing: watch::Receiver<bool>,
}

/// Why a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestBodyError {
    /// It exceeds the limit of one body.
    TooLarge,
    /// The client disconnected.
    Disconnected,
    /// The server closes its connections and does not wait for the rest.
    Interrupted,
    /// The process holds too many other bodies.
    OutOfMemory,
}

impl RequestBody {
    pub fn new(incoming: Incoming, closing: watch::Receiver<bool>) -> RequestBody {
        RequestBody { incoming, closing }
    }

    /// Whether the server closes its connections.
    pub fn is_interrupted(&self) -> bool {
        *self.closing.borrow()
    }

    /// Reads a body of at most `limit_bytes`, which uses `memory` until its last reference is dropped.
    ///
    /// # Errors
    /// Why it can't be read.
    pub async fn read(
        mut self,
        limit_bytes: usize,
        memory: &BodyMemory,
    ) -> Result<Bytes, RequestBodyError> {
        tokio::select! {
            biased;
            collected = collect(Limited::new(self.incoming, limit_bytes), memory) => collected,
            // An error means that the server has ended.
            _ = self.closing.wait_for(|closing| *closing) => Err(RequestBodyError::Interrupted),
        }
    }
}

async fn collect(
    mut body: Limited<Incoming>,
    memory: &BodyMemory,
) -> Result<Bytes, RequestBodyError> {
    let mut reservation = memory.reservation();
    let mut parts = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
            true => RequestBodyError::TooLarge,
            false => RequestBodyError::Disconnected,
        })?;
        let Ok(part) = frame.into_data() else { continue };
        reservation.grow(part.len())?;
        parts.push(part);
    }
    let bytes = match parts.as_slice() {
        [only] => only.clone(),
        parts => Bytes::from(parts.concat()),
    };
    Ok(reservation.hold(bytes))
}

impl From<OutOfMemory> for RequestBodyError {
    fn from(_: OutOfMemory) -> RequestBodyError {
        RequestBodyError::OutOfMemory
    }
}
