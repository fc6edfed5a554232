//! Requests marked not repeatable: claim, then one dispatch, then the outcome.

use std::sync::Arc;
use std::time::Duration;

use super::callers::ApiCall;
use super::{Refusal, RefusalCode};
use crate::claims::{ClaimAnswer, ClaimKey, ClaimToken, Digest, OUTCOME_BODY_BYTES, Outcome};
use crate::clock::{BootTime, boot_now};
use crate::log::state::{Command, Reply};
use crate::node::Node;

/// Pause between attempts to record an outcome or to give a claim back.
const PROPOSE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Attempts to record an outcome or to give a claim back.
const MAX_PROPOSE_ATTEMPTS: u32 = 60;
/// A claim older than this part of the retention time is not acted on any more.
const USABLE_RETENTION_DIVISOR: u32 = 2;
/// When to ask again for the answer of a request that runs.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A claim that this node holds: it alone may run the request, once.
pub struct HeldClaim {
    node: Arc<Node>,
    key: ClaimKey,
    token: ClaimToken,
    /// When it was asked for; it is no older than that.
    requested_at: BootTime,
    /// What becomes of it if it is dropped without a word.
    state: HeldClaimState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum HeldClaimState {
    NotDispatched,
    Dispatched,
    Settled,
}

/// What came of claiming.
pub enum ClaimOutcome {
    /// Run it.
    Granted(HeldClaim),
    /// It ran before; this is its answer.
    AlreadyRan(Outcome),
}

/// Digest of everything that makes a request the same request.
pub fn request_digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    digest
}

/// Claims a request marked not repeatable.
///
/// # Errors
/// If it must not be run, or if that could not be found out.
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
        // It may be committed; dropping `held_claim` gives it back.
        _ => {
            let refusal = Refusal::not_run(RefusalCode::NoLeader, "the claim could not be decided");
            return Err(refusal.with_retry_after(CLAIM_RETRY_AFTER));
        }
    };
    match answer {
        ClaimAnswer::Granted => Ok(ClaimOutcome::Granted(held_claim)),
        ClaimAnswer::Ran(outcome) => {
            held_claim.skip_release();
            Ok(ClaimOutcome::AlreadyRan(outcome))
        }
        ClaimAnswer::Held(_) => {
            held_claim.skip_release();
            let message = "a request with this id is running, or its outcome is unknown";
            Err(Refusal::may_have_run(RefusalCode::AlreadyClaimed, message)
                .with_retry_after(CLAIM_RETRY_AFTER))
        }
        ClaimAnswer::IdReused => {
            held_claim.skip_release();
            Err(Refusal::not_run(
                RefusalCode::IdReused,
                "this id belongs to a request with other content",
            ))
        }
        ClaimAnswer::Withdrawn => {
            let refusal = Refusal::not_run(RefusalCode::NoLeader, "the claim came too late");
            Err(refusal.with_retry_after(CLAIM_RETRY_AFTER))
        }
    }
}

impl HeldClaim {
    /// Checks that the claim may still be acted on, and records that it is: call it right before
    /// the one dispatch.
    ///
    /// # Errors
    /// If so much time has passed that others may have forgotten the claim.
    pub fn mark_dispatched(&mut self) -> Result<(), Refusal> {
        let usable = self.node.settings.timing.claim_retention / USABLE_RETENTION_DIVISOR;
        if boot_now() >= self.requested_at + usable {
            let message = "the claim is too old, since this node was frozen";
            return Err(Refusal::not_run(RefusalCode::DeadlineExceeded, message)
                .with_retry_after(CLAIM_RETRY_AFTER));
        }
        self.state = HeldClaimState::Dispatched;
        Ok(())
    }

    /// Records that the dispatch provably ran nothing: the claim is given back when dropped.
    pub fn mark_not_run(&mut self) {
        self.state = HeldClaimState::NotDispatched;
    }

    /// Records what came of the request.
    pub async fn record_outcome(mut self, mut outcome: Outcome) {
        self.state = HeldClaimState::Settled;
        if outcome.body.as_ref().is_some_and(|body| body.len() > OUTCOME_BODY_BYTES) {
            outcome.body = None;
        }
        let (key, token) = (self.key.clone(), self.token);
        let command = Command::Record { key, token, outcome };
        if self.node.propose(command.clone()).await.is_err() {
            tokio::spawn(propose_with_retries(self.node.clone(), command));
        }
    }

    /// Lets the claim be: it is not this node's.
    fn skip_release(mut self) {
        self.state = HeldClaimState::Settled;
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        // A claim that was dispatched and not settled stays: nobody may run the request again.
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
    log::warn!("event=claim_unsettled effect=\"a resend is answered may_have_run\"");
}
