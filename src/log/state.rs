//! The replicated state machine: the numbered configuration, claims and fencing numbers.
//!
//! It is deterministic: replicas that apply the same commands have the same state.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::claims::{Claim, ClaimKey, ClaimResult, ClaimToken, Claims, Digest, Outcome};
use crate::config::{ConfigHistory, NumberedConfig, Update};
use crate::ids::ConfigNumber;

/// Number of patches whose answers are kept, so that a resent patch gets its first answer.
const MAX_PATCH_ANSWERS: usize = 65_536;

/// A command to the state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Patch(Patch),
    /// Claims a request that must not be run more than once.
    Claim {
        /// The request.
        key: ClaimKey,
        /// Digest of the request's content.
        digest: Digest,
        /// Identifies the claimant.
        token: ClaimToken,
        /// The leader's wall-clock time, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Releases a claim under which nothing was run.
    Release {
        /// The request.
        key: ClaimKey,
        /// Identifies the claimant.
        token: ClaimToken,
    },
    /// Records the outcome of a claimed request.
    Record {
        /// The request.
        key: ClaimKey,
        /// Identifies the claimant.
        token: ClaimToken,
        outcome: Outcome,
    },
    /// Allocates the next fencing number for orders to engines.
    Fence,
}

/// A patch to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The operator's id for the patch.
    pub patch_id: String,
    /// The configuration number that the patch was made against.
    pub base: ConfigNumber,
    /// The JSON merge patch.
    pub text: String,
}

/// The result of a patch. A patch that is sent again under its id gets the first result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PatchAnswer {
    /// The patch was accepted as this configuration number.
    Accepted(ConfigNumber),
    /// The patch was not made against the current configuration, which has this number.
    BaseMismatch(ConfigNumber),
    /// The patched configuration would be invalid, for these reasons.
    Invalid(Vec<String>),
    /// The patch id was already used for a different patch.
    IdReused,
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    Patch(PatchAnswer),
    Claim(ClaimResult),
    /// The result of `Command::Release` or `Command::Record`: whether the claim was the sender's.
    Done(bool),
    /// The result of `Command::Fence`: the allocated fencing number.
    Fence(u64),
}

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct State {
    history: ConfigHistory,
    answers: BTreeMap<String, (Patch, PatchAnswer)>,
    /// Patch ids, oldest answer first. Invariant: the same ids as the keys of `answers`.
    answer_order: VecDeque<String>,
    claims: Claims,
    /// The last fencing number that was allocated.
    last_fencing_number: u64,
}

#[derive(Serialize, Deserialize)]
struct SnapshotContents {
    config: Update,
    patches: Vec<(ConfigNumber, String)>,
    answers: Vec<(Patch, PatchAnswer)>,
    claims: Vec<(ClaimKey, Claim)>,
    now_ms: u64,
    last_fencing_number: u64,
}

/// The bytes of a snapshot can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidSnapshot;

impl State {
    /// Creates an empty state that drops claims `claim_retention_ms` after they were made.
    pub fn new(claim_retention_ms: u64) -> State {
        State { claims: Claims::new(claim_retention_ms), ..State::default() }
    }

    /// The newest configuration.
    pub fn config(&self) -> &Arc<NumberedConfig> {
        self.history.newest()
    }

    /// The configuration and the patches that led to it.
    pub fn history(&self) -> &ConfigHistory {
        &self.history
    }

    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match command {
            Command::Patch(patch) => Reply::Patch(self.patch(patch)),
            Command::Claim { key, digest, token, at_ms } => {
                Reply::Claim(self.claims.claim(key.clone(), *digest, *token, *at_ms))
            }
            Command::Release { key, token } => Reply::Done(self.claims.release(key, *token)),
            Command::Record { key, token, outcome } => {
                Reply::Done(self.claims.record(key, *token, outcome.clone()))
            }
            Command::Fence => {
                self.last_fencing_number += 1;
                Reply::Fence(self.last_fencing_number)
            }
        }
    }

    pub fn snapshot(&self) -> Vec<u8> {
        let answers = self.answer_order.iter().filter_map(|id| self.answers.get(id)).cloned();
        let contents = SnapshotContents {
            config: self.history.full_update(),
            patches: self.history.patches().cloned().collect(),
            answers: answers.collect(),
            claims: self.claims.iter().map(|(key, claim)| (key.clone(), claim.clone())).collect(),
            now_ms: self.claims.now_ms(),
            last_fencing_number: self.last_fencing_number,
        };
        // Serializing these types to a vector cannot fail.
        postcard::to_stdvec(&contents).unwrap_or_default()
    }

    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    /// If the bytes can't be decoded.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), InvalidSnapshot> {
        let contents: SnapshotContents =
            postcard::from_bytes(bytes).map_err(|_| InvalidSnapshot)?;
        let mut history = ConfigHistory::default();
        history.apply_update(&contents.config).map_err(|_| InvalidSnapshot)?;
        history.restore_patches(contents.patches);
        self.history = history;
        self.answer_order =
            contents.answers.iter().map(|(patch, _)| patch.patch_id.clone()).collect();
        self.answers = contents
            .answers
            .into_iter()
            .map(|(patch, answer)| (patch.patch_id.clone(), (patch, answer)))
            .collect();
        self.claims.restore(contents.claims, contents.now_ms);
        self.last_fencing_number = contents.last_fencing_number;
        Ok(())
    }

    fn patch(&mut self, patch: &Patch) -> PatchAnswer {
        if let Some((first, answer)) = self.answers.get(&patch.patch_id) {
            let same = first.text == patch.text && first.base == patch.base;
            return if same { answer.clone() } else { PatchAnswer::IdReused };
        }
        let answer = self.try_patch(patch);
        self.answer_order.push_back(patch.patch_id.clone());
        self.answers.insert(patch.patch_id.clone(), (patch.clone(), answer.clone()));
        while self.answer_order.len() > MAX_PATCH_ANSWERS {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
        answer
    }

    fn try_patch(&mut self, patch: &Patch) -> PatchAnswer {
        if patch.base != self.history.number() {
            return PatchAnswer::BaseMismatch(self.history.number());
        }
        let Ok(change) = serde_json::from_str::<Value>(&patch.text) else {
            return PatchAnswer::Invalid(vec![
                "patch: not valid JSON; send a JSON merge patch".into(),
            ]);
        };
        match self.history.preview_patch(&change) {
            Ok(next) => {
                let number = next.number;
                self.history.append(next, patch.text.clone());
                PatchAnswer::Accepted(number)
            }
            Err(problems) => {
                PatchAnswer::Invalid(problems.iter().map(ToString::to_string).collect())
            }
        }
    }
}
