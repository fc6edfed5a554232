//! Requests marked not repeatable: claim, then one dispatch, then the outcome.

use std::sync::Arc;
use std::time::Duration;

use super::callers::ApiCall;
use super::{Code, Refusal};
use crate::claims::{ClaimAnswer, ClaimKey, ClaimToken, Digest, OUTCOME_BODY_BYTES, Outcome};
use crate::clock::{BootTime, boot_now};
use crate::log::state::{Command, Reply};
use crate::node::Node;

/// Pause between attempts to record an outcome or to give a claim back.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Attempts to record an outcome or to give a claim back.
const ATTEMPTS: u32 = 60;
/// A claim older than this part of the retention time is not acted on any more.
const USABLE_PART: u32 = 2;
/// When to ask again for the answer of a request that runs.
const STILL_RUNNING_RETRY: Duration = Duration::from_secs(1);

/// A claim that this node holds: it alone may run the request, once.
pub struct Held {
    node: Arc<Node>,
    key: ClaimKey,
    token: ClaimToken,
    /// When it was asked for; it is no older than that.
    since: BootTime,
    /// What becomes of it if it is dropped without a word.
    state: HeldState,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum HeldState {
    NotDispatched,
    Dispatched,
    Settled,
}

/// What came of claiming.
pub enum Claimed {
    /// Run it.
    Mine(Held),
    /// It ran before; this is its answer.
    Ran(Outcome),
}

/// Digest of everything that makes a request the same request.
pub fn digest(parts: &[&[u8]]) -> Digest {
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
pub async fn claim(node: &Arc<Node>, call: &ApiCall, digest: Digest) -> Result<Claimed, Refusal> {
    let key = ClaimKey { account: call.account.clone(), request_id: call.request_id.clone() };
    let token = node.claim_token();
    let since = boot_now();
    let held = Held { node: node.clone(), key, token, since, state: HeldState::NotDispatched };
    let command = Command::Claim { key: held.key.clone(), digest, token, at_ms: 0 };
    let answer = match node.decide(command).await {
        Ok(Reply::Claim(answer)) => answer,
        // It may be committed; dropping `held` gives it back.
        _ => {
            let refusal = Refusal::not_run(Code::NoLeader, "the claim could not be decided");
            return Err(refusal.after(STILL_RUNNING_RETRY));
        }
    };
    match answer {
        ClaimAnswer::Granted => Ok(Claimed::Mine(held)),
        ClaimAnswer::Ran(outcome) => {
            held.forget();
            Ok(Claimed::Ran(outcome))
        }
        ClaimAnswer::Held(_) => {
            held.forget();
            let message = "a request with this id is running, or its outcome is unknown";
            Err(Refusal::may_have_run(Code::AlreadyClaimed, message).after(STILL_RUNNING_RETRY))
        }
        ClaimAnswer::IdReused => {
            held.forget();
            Err(Refusal::not_run(Code::IdReused, "this id belongs to a request with other content"))
        }
        ClaimAnswer::Withdrawn => {
            let refusal = Refusal::not_run(Code::NoLeader, "the claim came too late");
            Err(refusal.after(STILL_RUNNING_RETRY))
        }
    }
}

impl Held {
    /// Checks that the claim may still be acted on, and records that it is: call it right before
    /// the one dispatch.
    ///
    /// # Errors
    /// If so much time has passed that others may have forgotten the claim.
    pub fn dispatch(&mut self) -> Result<(), Refusal> {
        let usable = self.node.settings.timing.claim_retention / USABLE_PART;
        if boot_now() >= self.since + usable {
            let message = "the claim is too old, since this node was frozen";
            return Err(Refusal::not_run(Code::Deadline, message).after(STILL_RUNNING_RETRY));
        }
        self.state = HeldState::Dispatched;
        Ok(())
    }

    /// Records that the dispatch provably ran nothing: the claim is given back when dropped.
    pub fn not_run(&mut self) {
        self.state = HeldState::NotDispatched;
    }

    /// Records what came of the request.
    pub async fn record(mut self, mut outcome: Outcome) {
        self.state = HeldState::Settled;
        if outcome.body.as_ref().is_some_and(|body| body.len() > OUTCOME_BODY_BYTES) {
            outcome.body = None;
        }
        let (key, token) = (self.key.clone(), self.token);
        let command = Command::Record { key, token, outcome };
        if self.node.decide(command.clone()).await.is_err() {
            tokio::spawn(keep_trying(self.node.clone(), command));
        }
    }

    /// Lets the claim be: it is not this node's.
    fn forget(mut self) {
        self.state = HeldState::Settled;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        // A claim that was dispatched and not settled stays: nobody may run the request again.
        if self.state != HeldState::NotDispatched {
            return;
        }
        let command = Command::Release { key: self.key.clone(), token: self.token };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(keep_trying(self.node.clone(), command));
        }
    }
}

async fn keep_trying(node: Arc<Node>, command: Command) {
    for _ in 0..ATTEMPTS {
        if node.decide(command.clone()).await.is_ok() {
            return;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    log::warn!("event=claim_unsettled effect=\"a resend is answered may_have_run\"");
}
