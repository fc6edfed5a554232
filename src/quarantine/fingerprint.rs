//! Fingerprints of requests and of prompt parts, independent of request ids and of the node that receives
//! the request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies the content of a request or of a part of its prompt, so that it can be recognized in other
/// requests. Requests of different client accounts never share a fingerprint, but may share those of their
/// parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(u128);

/// First byte of what is hashed for a prompt part. That of a request is 0 or 1.
const PART_TAG: u8 = 2;

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
        Fingerprint::truncated(&hasher)
    }

    /// Computes the fingerprint of a part of a prompt for `model`. It is the same in all requests, as a part
    /// that makes targets terminate does so whatever else a request holds.
    pub fn of_part(model: &str, part_id: &str) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&[PART_TAG]);
        hasher.update(&(model.len() as u64).to_le_bytes());
        hasher.update(model.as_bytes());
        hasher.update(part_id.as_bytes());
        Fingerprint::truncated(&hasher)
    }

    fn truncated(hasher: &blake3::Hasher) -> Fingerprint {
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
