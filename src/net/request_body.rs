//! Bodies of requests, which a closing server does not wait for.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::watch;

use crate::http::BodyError;

/// The body of a request that is still being received.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    /// Whether the server closes its connections.
    closing: watch::Receiver<bool>,
}

impl RequestBody {
    pub fn new(incoming: Incoming, closing: watch::Receiver<bool>) -> RequestBody {
        RequestBody { incoming, closing }
    }

    /// Reads a body of at most `limit_bytes`.
    ///
    /// # Errors
    /// Why it can't be read, or that the server closes before it is complete.
    pub async fn read(mut self, limit_bytes: usize) -> Result<Bytes, BodyError> {
        let collecting = Limited::new(self.incoming, limit_bytes).collect();
        let collected = tokio::select! {
            biased;
            collected = collecting => collected,
            // An error means that the server has ended.
            _ = self.closing.wait_for(|closing| *closing) => return Err(BodyError::Interrupted),
        };
        match collected {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge(limit_bytes)),
            Err(_) => Err(BodyError::Disconnected),
        }
    }
}
