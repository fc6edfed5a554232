//! Messages between entries and the scheduler.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::news::TargetNews;
use crate::fleet::rate::RateLimit;
use crate::fleet::regions::AllowedDomains;
use crate::gateway::metadata::{Part, TargetLoad};
use crate::ids::{AccountId, DomainId, ModelId, ServiceId, SoftwareVersion, TargetStart};

/// Identifies a placement.
pub type TicketId = u64;

/// A prompt that needs an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    pub service: ServiceId,
    pub model: ModelId,
    /// Requests share cached parts only within the same namespace.
    pub cache_namespace: String,
    /// Parts of the prompt, in order. The last one belongs to the request itself.
    pub parts: Vec<Part>,
    pub prompt_tokens: u64,
    /// Most tokens that may be generated.
    pub output_tokens: u64,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// The operator's objective for the time to first token; zero for none.
    pub objective: Duration,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Time since the request arrived at the entry.
    pub elapsed: Duration,
    /// Engines that were already tried or that the entry can't reach.
    pub avoid: Vec<TargetStart>,
    /// The failure domains that the prompt and its parts may reach.
    pub allowed_domains: AllowedDomains,
    /// The software version that began the stream that the prompt goes on with; `None` for a new
    /// stream.
    pub software: Option<SoftwareVersion>,
    /// Account of the caller.
    pub account: Option<AccountId>,
    /// Failure domain of the entry; empty if it is unknown.
    pub entry_domain: DomainId,
    /// The operator's objective for the longest pause between two events of the answer.
    pub max_event_gap: Option<Duration>,
    /// Size of the request's body.
    pub body_bytes: u64,
}

impl PlacementRequest {
    /// Whether targets of a software version may take the prompt.
    pub fn accepts_software(&self, version: &str) -> bool {
        self.software.as_deref().is_none_or(|software| software == version)
    }
}

/// The engine chosen for a prompt, and its cache transfers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Placement {
    pub ticket: TicketId,
    pub target: TargetStart,
    /// Cache salt under which the engine and the stores keep its parts.
    pub salt: String,
    /// Weight version that the engine must run; it refuses the prompt otherwise.
    pub weight_version: Option<u64>,
    /// Source of each part.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Store to which each part is saved once it is computed.
    pub save: Vec<Option<SocketAddr>>,
    /// Deadline of the fetches on the engines' clock; the engine discards later ones.
    pub fetch_until_ms: u64,
    /// Inputs of the decision, for the log.
    pub trace: DecisionTrace,
}

/// Inputs of a placement decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DecisionTrace {
    /// Prompts running on the engine.
    pub running: u32,
    /// Expected time until the engine has finished earlier work.
    pub ahead_ms: u32,
    /// How many times as long as usual for the service work is expected to take on the engine.
    pub speed_factor: f32,
    /// Running streams that are expected to be late because of the prompt.
    pub late_streams: u32,
    /// Tokens of the prompt that are resident on the engine.
    pub resident_tokens: u64,
    /// Tokens of the prompt that are fetched.
    pub fetched_tokens: u64,
    /// Tokens of shared parts that are computed again although they were computed before.
    pub recomputed: RecomputedTokens,
    /// Expected time to first token.
    pub expected_ms: u32,
    /// Time that the prompt spent in the scheduler's queue.
    pub waited_ms: u32,
    /// Number of engines that were examined.
    pub examined: u32,
}

/// Tokens of shared parts that are recomputed, by the reason why they are not fetched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecomputedTokens {
    /// No store and no engine holds them completely: a save or another prefill is in progress.
    pub nowhere_whole_tokens: u32,
    /// Earlier transfers keep the links busy for too long.
    pub link_full_tokens: u32,
    /// The transfer itself would take too long.
    pub link_slow_tokens: u32,
}

/// Why a part that was computed before is not fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecomputeReason {
    /// No store and no engine holds it completely.
    NowhereWhole,
    /// Earlier transfers keep the links busy for too long.
    LinkFull,
    /// The transfer itself would take too long.
    LinkSlow,
}

impl RecomputedTokens {
    /// Tokens recomputed for any reason.
    pub fn total(&self) -> u64 {
        let by_reason = [self.nowhere_whole_tokens, self.link_full_tokens, self.link_slow_tokens];
        by_reason.into_iter().map(u64::from).sum()
    }

    /// The counter of one reason.
    pub fn for_reason(&mut self, reason: RecomputeReason) -> &mut u32 {
        match reason {
            RecomputeReason::NowhereWhole => &mut self.nowhere_whole_tokens,
            RecomputeReason::LinkFull => &mut self.link_full_tokens,
            RecomputeReason::LinkSlow => &mut self.link_slow_tokens,
        }
    }
}

/// Progress of a placement, as reported by its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlacementEvent {
    /// The first token of the answer arrived.
    FirstToken {
        ticket: TicketId,
        /// Weight version that the engine reports.
        weight_version: Option<u64>,
        /// Load that the engine reports.
        load: Option<TargetLoad>,
        /// Rate limit that the engine names.
        rate_limit: Option<RateLimit>,
    },
    /// The request has left the engine.
    Ended { ticket: TicketId, end: EndReason },
    /// The engine closed all idle connections of the entry before their timeout. It may have
    /// restarted.
    IdleConnectionsLost { target: TargetStart },
    /// News that all processes should know.
    News(TargetNews),
}

/// How a request ended on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndReason {
    Completed,
    /// The caller left, or its deadline passed.
    Cancelled,
    /// The engine could not be reached.
    Unreachable,
    /// The engine reported an internal error, or sent a wrong answer or none in time.
    Failed,
    /// The connection to the engine broke before the end of the answer.
    ConnectionLost,
    /// The engine did not run the request.
    NotRun,
    /// The engine refused the request since it runs other weights; it may report which.
    WeightMismatch(Option<u64>),
    /// Another target answers at the engine's address.
    Replaced,
    /// The engine did not run the request for want of room.
    Rejected,
}

impl EndReason {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            EndReason::Completed => "completed",
            EndReason::Cancelled => "cancelled",
            EndReason::Unreachable => "unreachable",
            EndReason::Failed => "failed",
            EndReason::ConnectionLost => "connection_lost",
            EndReason::NotRun => "not_run",
            EndReason::WeightMismatch(_) => "weight_mismatch",
            EndReason::Replaced => "replaced",
            EndReason::Rejected => "rejected",
        }
    }
}
