//! Metadata of callers' requests and of targets' responses, independent of the wire format.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::rate::RateLimit;
use crate::ids::{AccountId, ModelId, RequestId, TargetId};

/// What routing and placement need to know of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The request id that the caller chose. Each attempt of a caller has its own.
    pub id: RequestId,
    /// The requested host, without a port.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// The bearer key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The prompt's metadata; `None` if the request is not a prompt.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has received of a stream that it resumes.
    pub resume_after: Option<String>,
    /// Id of the attempt that brought the first event of that stream. The caller may have made others
    /// since.
    pub resumes: Option<RequestId>,
}

/// What a caller declares about its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model that it is for.
    pub model: ModelId,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Upper bound on the generated tokens.
    pub output_tokens: u64,
    /// Parts of the prompt, in order. Prompts with a common prefix share their first parts.
    pub parts: Vec<Part>,
}

/// A contiguous part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifies its content and that of all parts before it.
    pub id: String,
    pub tokens: u64,
}

impl Prompt {
    /// The parts that a later prompt of the same conversation starts with: all but the last, which
    /// is specific to this request. A single part counts as shared.
    pub fn shared_parts(&self) -> &[Part] {
        match self.parts.len() {
            0 | 1 => &self.parts,
            count => &self.parts[..count - 1],
        }
    }

    /// All parts but the last.
    pub fn non_final_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, others)| others)
    }

    /// Total length of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

/// What the entry adds to a request that it forwards to a target.
#[derive(Clone, Debug)]
pub struct ForwardingMetadata<'a> {
    /// The intended target. Any other target at its address must refuse the request.
    pub target: &'a TargetId,
    /// The account of the caller.
    pub account: Option<&'a AccountId>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Priority for an engine, from 0 (highest) to 9.
    pub priority: Option<u8>,
    /// Requests with equal salts may share cached prompt parts.
    pub cache_salt: Option<String>,
    /// Id of the last event that the caller has received.
    pub resume_after: Option<&'a str>,
    /// The weights that the engine must run.
    pub weight_version: Option<u64>,
    /// Stores from which and to which prompt parts are copied.
    pub transfers: Option<PartTransfers<'a>>,
}

/// Stores for the parts of a prompt, one element per part.
#[derive(Clone, Copy, Debug)]
pub struct PartTransfers<'a> {
    /// Stores from which the engine fetches parts.
    pub fetch: &'a [Option<SocketAddr>],
    /// Stores to which the engine saves parts.
    pub save: &'a [Option<SocketAddr>],
    /// When fetched parts must be discarded, in milliseconds on the engines' clock.
    pub fetch_until_ms: u64,
}

/// What the headers of a target's response say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that the response belongs to.
    pub request_id: Option<RequestId>,
    /// Whether it bears the signature of a target.
    pub is_signed: bool,
    /// Whether the target states that it did not run the request.
    pub did_not_run: bool,
    /// The target that sent the response, if the header is present.
    pub answered_by: Option<TargetId>,
    /// The load of the target.
    pub load: Option<TargetLoad>,
    /// Whether a load was reported that can't be read or is implausible.
    pub is_load_unreadable: bool,
    /// The rate that the target takes at present; `None` if it names no limit.
    pub rate_limit: Option<RateLimit>,
    /// The rate at which the target, which is brittle, can reject requests of all hosts together;
    /// `None` if it is not brittle.
    pub rejection_limit: Option<RateLimit>,
    /// Version of the weights that the target runs.
    pub weight_version: Option<u64>,
    /// How long the target keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the target closes the connection after this response.
    pub closes: bool,
}

/// The load that a target reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    pub running: u32,
    /// Requests that are queued at the target.
    pub waiting: u32,
    /// Requests that the target can run concurrently.
    pub slots: u32,
    /// How long work takes on the target's host at the moment, 100 being as usual; `None` if the
    /// target does not report it.
    pub work_time_percent: Option<u16>,
}
