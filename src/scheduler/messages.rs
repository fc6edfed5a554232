//! What entries ask the scheduler, and what they tell it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::call::{Part, TargetLoad};
use crate::ids::{ModelId, ServiceId, TargetStart};

/// Names a placement.
pub type TicketId = u64;

/// A prompt that needs an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceId,
    /// The model.
    pub model: ModelId,
    /// Names those who may share kept cache with it.
    pub cache_namespace: String,
    /// The parts of the prompt, in order. The last one belongs to the request itself.
    pub parts: Vec<Part>,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that are generated.
    pub output_tokens: u64,
    /// How urgent it is, 0 first.
    pub priority: u8,
    /// The time to the first part of the answer that the operator aims at.
    pub objective: Duration,
    /// How much of the caller's time is left.
    pub time_left: Duration,
    /// How much of it has passed at the entry.
    pub elapsed: Duration,
    /// Engines that this request was sent to before, or that the entry can't reach.
    pub avoid: Vec<TargetStart>,
}

/// Where a prompt runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    /// Names the placement.
    pub ticket: TicketId,
    /// The engine.
    pub target: TargetStart,
    /// The text under which the engine and the stores keep its parts.
    pub salt: String,
    /// The weights that the engine must run; another version must refuse.
    pub weight_version: Option<u64>,
    /// Where each part is fetched from.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Where each part is saved once it is read.
    pub save: Vec<Option<SocketAddr>>,
    /// A fetch that has not ended by then, on the engines' clock, must be thrown away.
    pub fetch_until_ms: u64,
    /// What the decision rests on, for the log.
    pub trace: DecisionTrace,
}

/// What a placement rests on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionTrace {
    /// Requests at the engine.
    pub running: u32,
    /// How long the engine still reads other prompts.
    pub ahead_ms: u32,
    /// Tokens of the prompt that are resident there.
    pub resident_tokens: u64,
    /// Tokens that are fetched.
    pub fetched_tokens: u64,
    /// Tokens of shared parts that were read before, and are read again.
    pub recomputed: RecomputedTokens,
    /// Expected time to the first part of the answer.
    pub expected_ms: u32,
    /// How long the prompt waited for an engine with room.
    pub waited_ms: u32,
}

/// Tokens of shared parts that are read again, by why they are not fetched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecomputedTokens {
    /// No store and no engine has them whole: a save or another's reading has not ended.
    pub nowhere_whole_tokens: u64,
    /// The links that they would come over have too much to carry before.
    pub link_full_tokens: u64,
    /// The links that they would come over are too slow.
    pub link_slow_tokens: u64,
}

/// Why a part is not fetched that was read before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecomputeReason {
    /// No store and no engine has it whole.
    NowhereWhole,
    /// Other transfers go first, for too long.
    LinkFull,
    /// Its own transfer would take too long.
    LinkSlow,
}

impl RecomputedTokens {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.nowhere_whole_tokens + self.link_full_tokens + self.link_slow_tokens
    }

    /// The tokens that one reason stands for.
    pub fn for_reason(&mut self, why: RecomputeReason) -> &mut u64 {
        match why {
            RecomputeReason::NowhereWhole => &mut self.nowhere_whole_tokens,
            RecomputeReason::LinkFull => &mut self.link_full_tokens,
            RecomputeReason::LinkSlow => &mut self.link_slow_tokens,
        }
    }
}

/// What became of a placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlacementEvent {
    /// The first part of the answer is here.
    FirstToken {
        /// The placement.
        ticket: TicketId,
        /// The weights that the engine runs.
        weight_version: Option<u64>,
        /// How busy it says that it is.
        load: Option<TargetLoad>,
    },
    /// The request has left the engine.
    Ended {
        /// The placement.
        ticket: TicketId,
        /// How.
        end: EndReason,
    },
}

/// How a request left an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    /// With a whole answer.
    Completed,
    /// The caller left, or its time was over.
    Cancelled,
    /// The engine could not be reached.
    Unreachable,
    /// The engine broke off or answered with a failure of its own.
    Failed,
    /// The engine did not run it.
    NotRun,
    /// The engine runs other weights.
    WeightMismatch(Option<u64>),
    /// Another target answers at the engine's address.
    Replaced,
}
