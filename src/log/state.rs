//! The final state that the log carries: the numbered configuration, claims, fencing numbers.
//!
//! Deterministic: every replica that applies the same commands has the same state.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::claims::{Claim, ClaimKey, ClaimResult, ClaimToken, Claims, Digest, Outcome};
use crate::config::{Book, Numbered, Update};
use crate::ids::ConfigNumber;

/// Answers to patches that are remembered for operators who resend one.
const ANSWERS_KEPT: usize = 65_536;

/// A command, as an entry carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Patch(Patch),
    /// Claims a request marked not repeatable.
    Claim {
        /// The request.
        key: ClaimKey,
        /// Digest of its content.
        digest: Digest,
        /// Who claims it.
        token: ClaimToken,
        /// The leader's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Gives a claim back: nothing was run under it.
    Release {
        /// The request.
        key: ClaimKey,
        /// Who claimed it.
        token: ClaimToken,
    },
    /// Records what came of a claimed request.
    Record {
        /// The request.
        key: ClaimKey,
        /// Who claimed it.
        token: ClaimToken,
        /// What came of it.
        outcome: Outcome,
    },
    /// Takes the next fencing number for orders to engines.
    Fence,
}

/// A patch to the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The operator's id for it.
    pub patch_id: String,
    /// The number that it was made against.
    pub base: ConfigNumber,
    /// JSON merge patch, as text.
    pub text: String,
}

/// What became of a patch. The first answer to a patch id is the only one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PatchAnswer {
    /// It is this number, for ever.
    Accepted(ConfigNumber),
    /// Another patch was accepted first; this is the current number.
    Raced(ConfigNumber),
    /// The result would not be valid.
    Invalid(Vec<String>),
    /// The patch id was used for another patch.
    IdReused,
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Of a patch.
    Patch(PatchAnswer),
    /// Of a claim.
    Claim(ClaimResult),
    /// Of a release or record: whether the claim was the sender's.
    Done(bool),
    /// Of a fence.
    Fence(u64),
}

/// The final state.
#[derive(Clone, Debug, Default)]
pub struct State {
    book: Book,
    answers: BTreeMap<String, (Patch, PatchAnswer)>,
    /// Patch ids in the order of their answers. Invariant: the keys of `answers`.
    answer_order: VecDeque<String>,
    claims: Claims,
    /// The highest fencing number taken. Never falls.
    fencing: u64,
}

#[derive(Serialize, Deserialize)]
struct Image {
    config: Update,
    patches: Vec<(ConfigNumber, String)>,
    answers: Vec<(Patch, PatchAnswer)>,
    claims: Vec<(ClaimKey, Claim)>,
    now_ms: u64,
    fencing: u64,
}

/// A snapshot can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damaged;

impl State {
    /// An empty state that forgets claims `claim_retention_ms` after they were made.
    pub fn new(claim_retention_ms: u64) -> State {
        State { claims: Claims::new(claim_retention_ms), ..State::default() }
    }

    /// The newest configuration.
    pub fn config(&self) -> &Arc<Numbered> {
        self.book.newest()
    }

    /// The configuration and the patches that led to it.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Applies a command.
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
                self.fencing += 1;
                Reply::Fence(self.fencing)
            }
        }
    }

    /// The state as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let answers = self.answer_order.iter().filter_map(|id| self.answers.get(id)).cloned();
        let image = Image {
            config: self.book.whole(),
            patches: self.book.patches().cloned().collect(),
            answers: answers.collect(),
            claims: self.claims.iter().map(|(key, claim)| (key.clone(), claim.clone())).collect(),
            now_ms: self.claims.now_ms(),
            fencing: self.fencing,
        };
        // Cannot fail: the image holds only types that the codec writes.
        postcard::to_stdvec(&image).unwrap_or_default()
    }

    /// Replaces the state by a snapshot's.
    ///
    /// # Errors
    /// If the bytes are not a snapshot.
    pub fn restore(&mut self, bytes: &[u8]) -> Result<(), Damaged> {
        let image: Image = postcard::from_bytes(bytes).map_err(|_| Damaged)?;
        let mut book = Book::default();
        book.take(&image.config).map_err(|_| Damaged)?;
        book.remember(image.patches);
        self.book = book;
        self.answer_order = image.answers.iter().map(|(patch, _)| patch.patch_id.clone()).collect();
        self.answers = image
            .answers
            .into_iter()
            .map(|(patch, answer)| (patch.patch_id.clone(), (patch, answer)))
            .collect();
        self.claims.restore(image.claims, image.now_ms);
        self.fencing = image.fencing;
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
        while self.answer_order.len() > ANSWERS_KEPT {
            if let Some(oldest) = self.answer_order.pop_front() {
                self.answers.remove(&oldest);
            }
        }
        answer
    }

    fn try_patch(&mut self, patch: &Patch) -> PatchAnswer {
        if patch.base != self.book.number() {
            return PatchAnswer::Raced(self.book.number());
        }
        let Ok(change) = serde_json::from_str::<Value>(&patch.text) else {
            return PatchAnswer::Invalid(vec!["patch: not JSON; mend it".into()]);
        };
        match self.book.patched(&change) {
            Ok(next) => {
                let number = next.number;
                self.book.accept(next, patch.text.clone());
                PatchAnswer::Accepted(number)
            }
            Err(problems) => {
                PatchAnswer::Invalid(problems.iter().map(ToString::to_string).collect())
            }
        }
    }
}
