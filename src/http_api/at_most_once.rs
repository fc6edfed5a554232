//! At-most-once execution of non-repeatable requests.
//!
//! A node claims the request in the replicated log, dispatches it, and records the outcome. A
//! caller that sends the request again gets the recorded outcome.

use std::sync::Arc;
use std::time::Duration;

use super::callers::ApiCall;
use super::{Refusal, RefusalCode};
use crate::claims::{ClaimKey, ClaimResult, ClaimToken, Digest, MAX_OUTCOME_BODY_BYTES, Outcome};
use crate::clock::{BootTime, boot_now};
use crate::log::state::{Command, Reply};
use crate::node::Node;

/// Delay between attempts to record an outcome or to release a claim.
const PROPOSE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Limit on attempts to record an outcome or to release a claim.
const MAX_PROPOSE_ATTEMPTS: u32 = 60;
/// A claim may be used for one part in this many of the retention time. Afterwards the node may
/// have been suspended for so long that the replicas have forgotten the claim.
const USABLE_RETENTION_DIVISOR: u32 = 2;
/// Suggested retry delay if a request could not be claimed.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A claim on a request, which permits this node to dispatch it. Dropping it releases the claim
/// unless the request may have run.
pub struct HeldClaim {
    node: Arc<Node>,
    key: ClaimKey,
    token: ClaimToken,
    /// When the claim was proposed, which is not after it was granted.
    requested_at: BootTime,
    state: HeldClaimState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum HeldClaimState {
    /// The request has not run; dropping releases the claim.
    NotDispatched,
    /// The request may have run; the claim is kept.
    Dispatched,
    /// The claim must not be released: its outcome is being recorded, or it belongs to another
    /// attempt.
    Settled,
}

/// The result of a successful claim.
pub enum ClaimOutcome {
    /// The request may be dispatched.
    Granted(HeldClaim),
    /// The request has already run, with this outcome.
    AlreadyRan(Outcome),
}

/// Digest of the parts of a request that must not differ between requests with the same id.
pub fn request_digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    digest
}

/// Claims a non-repeatable request.
///
/// # Errors
/// If the request must not run, or if no leader answered.
pub async fn claim(
    node: &Arc<Node>,
    call: &ApiCall,
    digest: Digest,
) -> Result<ClaimOutcome, Refusal> {
    let key = ClaimKey { account: call.account.clone(), request_id: call.request_id.clone() };
    let token = node.next_claim_token();
    let requested_at = boot_now();
    let held_claim = HeldClaim {
        node: node.clone(),
        key,
        token,
        requested_at,
        state: HeldClaimState::NotDispatched,
    };
    let command = Command::Claim { key: held_claim.key.clone(), digest, token, at_ms: 0 };
    let answer = match node.propose(command).await {
        Ok(Reply::Claim(answer)) => answer,
        // The claim may have been committed. Dropping `held_claim` releases it.
        _ => {
            let refusal = Refusal::not_run(RefusalCode::NoLeader, "the claim was not committed");
            return Err(refusal.with_retry_after(CLAIM_RETRY_AFTER));
        }
    };
    match answer {
        ClaimResult::Granted => Ok(ClaimOutcome::Granted(held_claim)),
        ClaimResult::Ran(outcome) => {
            held_claim.skip_release();
            Ok(ClaimOutcome::AlreadyRan(outcome))
        }
        ClaimResult::Held(_) => {
            held_claim.skip_release();
            let message = "a request with this id is running, or its outcome is unknown";
            Err(Refusal::may_have_run(RefusalCode::AlreadyClaimed, message)
                .with_retry_after(CLAIM_RETRY_AFTER))
        }
        ClaimResult::IdReused => {
            held_claim.skip_release();
            Err(Refusal::not_run(
                RefusalCode::IdReused,
                "this id was used for a request with other content",
            ))
        }
        ClaimResult::Withdrawn => {
            let refusal = Refusal::not_run(RefusalCode::NoLeader, "the claim was already released");
            Err(refusal.with_retry_after(CLAIM_RETRY_AFTER))
        }
    }
}

impl HeldClaim {
    /// Marks the request as dispatched. Must be called directly before the dispatch.
    ///
    /// # Errors
    /// If the claim is so old that replicas may have forgotten it.
    pub fn mark_dispatched(&mut self) -> Result<(), Refusal> {
        let usable = self.node.settings.timing.claim_retention / USABLE_RETENTION_DIVISOR;
        if boot_now() >= self.requested_at + usable {
            let message = "the claim has expired because this node was suspended";
            return Err(Refusal::not_run(RefusalCode::DeadlineExceeded, message)
                .with_retry_after(CLAIM_RETRY_AFTER));
        }
        self.state = HeldClaimState::Dispatched;
        Ok(())
    }

    /// Marks the request as not run after a dispatch that verifiably had no effect.
    pub fn mark_not_run(&mut self) {
        self.state = HeldClaimState::NotDispatched;
    }

    /// Records the outcome of the request in the replicated log.
    pub async fn record_outcome(mut self, mut outcome: Outcome) {
        self.state = HeldClaimState::Settled;
        if outcome.body.as_ref().is_some_and(|body| body.len() > MAX_OUTCOME_BODY_BYTES) {
            outcome.body = None;
        }
        let (key, token) = (self.key.clone(), self.token);
        let command = Command::Record { key, token, outcome };
        if self.node.propose(command.clone()).await.is_err() {
            tokio::spawn(propose_with_retries(self.node.clone(), command));
        }
    }

    /// Drops the claim without releasing it.
    fn skip_release(mut self) {
        self.state = HeldClaimState::Settled;
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        // The claim of a request that may have run is kept, so that it can't run again.
        if self.state != HeldClaimState::NotDispatched {
            return;
        }
        let command = Command::Release { key: self.key.clone(), token: self.token };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(propose_with_retries(self.node.clone(), command));
        }
    }
}

async fn propose_with_retries(node: Arc<Node>, command: Command) {
    for _ in 0..MAX_PROPOSE_ATTEMPTS {
        if node.propose(command.clone()).await.is_ok() {
            return;
        }
        tokio::time::sleep(PROPOSE_RETRY_DELAY).await;
    }
    log::warn!("event=claim_unsettled effect=\"a retry is answered with may_have_run\"");
}
