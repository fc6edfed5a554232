//! Fingerprints of requests, independent of request ids and of the node that receives the request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a request's content, so that repetitions of a request can be recognized. Requests of
/// different client accounts never share a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a request. `account` is `None` for an unauthenticated caller.
    pub fn of(
        account: Option<&str>,
        method: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[u8::from(account.is_some())]);
        for part in [account.unwrap_or_default(), method, host, path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut first = [0; size_of::<u128>()];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<u128>()]);
        Fingerprint(u128::from_le_bytes(first))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
