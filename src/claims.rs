//! Claims: who may run a request marked not repeatable, and what came of it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, NodeId, RequestId};

/// Digest of a request's content: the same id with another digest is another request.
pub type Digest = [u8; 16];

/// Longest answer that is kept for a caller who sends the request again.
pub const MAX_OUTCOME_BODY_BYTES: usize = 64 << 10;

/// Names a request of an account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The account.
    pub account: AccountId,
    /// Its id for the request.
    pub request_id: RequestId,
}

/// Names one attempt of a node to claim a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimToken {
    /// The node.
    pub node: NodeId,
    /// Tells this start of the node from others.
    pub boot: u64,
    /// Counts the node's claims since its start.
    pub count: u64,
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the answer.
    pub status: u16,
    /// Its content type.
    pub content_type: String,
    /// Its body; `None` if it was too long to keep.
    pub body: Option<Vec<u8>>,
}

/// A claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request's content.
    pub digest: Digest,
    /// Who holds or held it.
    pub token: ClaimToken,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// How far it got.
    pub progress: ClaimState,
}

/// How far a claim got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Its holder may run the request.
    Held,
    /// Nothing was run; anybody may claim it anew.
    Released,
    /// It ran to its end.
    Recorded(Outcome),
}

/// What came of claiming.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The claimer alone may run the request, once.
    Granted,
    /// Somebody holds it and may have run it.
    Held(ClaimToken),
    /// It ran; this came of it.
    Ran(Outcome),
    /// The id belongs to a request with other content.
    IdReused,
    /// The claimer itself gave this claim back before.
    Withdrawn,
}

/// All claims within the retention time.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    retention_ms: u64,
    by_key: BTreeMap<ClaimKey, Claim>,
    /// Invariant: one element for each claim, with its time.
    by_time: BTreeSet<(u64, ClaimKey)>,
    /// The latest time of any command. Never falls.
    now_ms: u64,
}

impl Claims {
    /// No claims yet; each is forgotten `retention_ms` after it was made.
    pub fn new(retention_ms: u64) -> Claims {
        Claims { retention_ms, ..Claims::default() }
    }

    /// Claims a request.
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

    /// Gives a claim back. False if it is not held by `token`; if it is not known at all, a claim
    /// by `token` that comes later is refused.
    pub fn release(&mut self, key: &ClaimKey, token: ClaimToken) -> bool {
        if !self.by_key.contains_key(key) {
            let (digest, at_ms) = (Digest::default(), self.now_ms);
            let released = Claim { digest, token, at_ms, progress: ClaimState::Released };
            self.insert(key.clone(), released);
            return false;
        }
        self.set_state_if_held(key, token, ClaimState::Released)
    }

    /// Records what came of a claimed request. False if it is not held by `token`.
    pub fn record(&mut self, key: &ClaimKey, token: ClaimToken, outcome: Outcome) -> bool {
        self.set_state_if_held(key, token, ClaimState::Recorded(outcome))
    }

    /// A claim.
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.by_key.get(key)
    }

    /// All claims, in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&ClaimKey, &Claim)> {
        self.by_key.iter()
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// The latest time of any command, in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Replaces all claims.
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
