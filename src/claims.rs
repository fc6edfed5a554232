//! Claims on non-repeatable requests: which node may run one, and its recorded outcome.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, NodeId, RequestId};

/// Digest of a request's content, to detect that a request id was reused for other content.
pub type Digest = [u8; 16];

/// Longest response body that is stored for repeated requests.
pub const MAX_OUTCOME_BODY_BYTES: usize = 64 << 10;

/// Identifies a request of an account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    pub account: AccountId,
    /// The id that the caller chose.
    pub request_id: RequestId,
}

/// Identifies one attempt of a node to claim a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimToken {
    pub node: NodeId,
    /// Distinguishes restarts of the node.
    pub boot: u64,
    /// Number of the claim since the node started.
    pub count: u64,
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    pub status: u16,
    pub content_type: String,
    /// `None` if it was longer than `MAX_OUTCOME_BODY_BYTES`.
    pub body: Option<Vec<u8>>,
}

/// A claim on a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request's content.
    pub digest: Digest,
    /// The attempt that made the claim.
    pub token: ClaimToken,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub progress: ClaimState,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Its holder may run the request.
    Held,
    /// The request was not run; it can be claimed again.
    Released,
    /// The request ran, with this outcome.
    Recorded(Outcome),
}

/// The result of claiming a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// Only the claimant may run the request, once.
    Granted,
    /// Another attempt holds the claim and may have run the request.
    Held(ClaimToken),
    /// The request already ran.
    Ran(Outcome),
    /// The id was already used for a request with other content.
    IdReused,
    /// The same attempt already released its claim.
    Withdrawn,
}

/// All claims within the retention time.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    retention_ms: u64,
    by_key: BTreeMap<ClaimKey, Claim>,
    /// Invariant: one element per claim, with its time.
    by_time: BTreeSet<(u64, ClaimKey)>,
    /// The latest time of any command. Never decreases.
    now_ms: u64,
}

impl Claims {
    /// Creates an empty set of claims. Each claim is removed `retention_ms` after it was made.
    pub fn new(retention_ms: u64) -> Claims {
        Claims { retention_ms, ..Claims::default() }
    }

    /// Claims a request for the attempt `token`.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        digest: Digest,
        token: ClaimToken,
        at_ms: u64,
    ) -> ClaimResult {
        self.now_ms = self.now_ms.max(at_ms);
        self.remove_expired();
        if let Some(claim) = self.by_key.get(&key) {
            match &claim.progress {
                ClaimState::Released if claim.token == token => return ClaimResult::Withdrawn,
                ClaimState::Released => {}
                _ if claim.digest != digest => return ClaimResult::IdReused,
                ClaimState::Held if claim.token == token => return ClaimResult::Granted,
                ClaimState::Held => return ClaimResult::Held(claim.token),
                ClaimState::Recorded(outcome) => return ClaimResult::Ran(outcome.clone()),
            }
        }
        self.insert(key, Claim { digest, token, at_ms: self.now_ms, progress: ClaimState::Held });
        ClaimResult::Granted
    }

    /// Releases a claim. Returns false if it is not held by `token`. If the request was never
    /// claimed, a delayed claim by `token` will be refused.
    pub fn release(&mut self, key: &ClaimKey, token: ClaimToken) -> bool {
        if !self.by_key.contains_key(key) {
            let (digest, at_ms) = (Digest::default(), self.now_ms);
            let released = Claim { digest, token, at_ms, progress: ClaimState::Released };
            self.insert(key.clone(), released);
            return false;
        }
        self.set_state_if_held(key, token, ClaimState::Released)
    }

    /// Records the outcome of a claimed request. Returns false if the claim is not held by `token`.
    pub fn record(&mut self, key: &ClaimKey, token: ClaimToken, outcome: Outcome) -> bool {
        self.set_state_if_held(key, token, ClaimState::Recorded(outcome))
    }

    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// Iterates over all claims in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        self.by_key.iter()
    }

    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The latest time of any command, in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Replaces all claims, for example from a snapshot.
    pub fn restore(&mut self, claims: Vec<(ClaimKey, Claim)>, now_ms: u64) {
        self.by_time = claims.iter().map(|(key, claim)| (claim.at_ms, key.clone())).collect();
        self.by_key = claims.into_iter().collect();
        self.now_ms = now_ms;
    }

    fn set_state_if_held(
        &mut self,
        key: &ClaimKey,
        token: ClaimToken,
        progress: ClaimState,
    ) -> bool {
        match self.by_key.get_mut(key) {
            Some(claim) if claim.token == token && claim.progress == ClaimState::Held => {
                claim.progress = progress;
                true
            }
            _ => false,
        }
    }

    fn insert(&mut self, key: ClaimKey, claim: Claim) {
        if let Some(old) = self.by_key.get(&key) {
            self.by_time.remove(&(old.at_ms, key.clone()));
        }
        self.by_time.insert((claim.at_ms, key.clone()));
        self.by_key.insert(key, claim);
    }

    fn remove_expired(&mut self) {
        while let Some((at_ms, key)) = self.by_time.first().cloned()
            && at_ms + self.retention_ms < self.now_ms
        {
            self.by_time.pop_first();
            self.by_key.remove(&key);
        }
    }
}
