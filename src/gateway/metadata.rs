//! What decisions need of a caller's request and of a target's answer.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountId, ModelId, RequestId, TargetId};

/// A caller's request, without its body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id; each attempt of a caller has its own.
    pub id: RequestId,
    /// The host that the caller named, without a port.
    pub host: String,
    /// The path, without a query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// What is known of the prompt, if it is one.
    pub prompt: Option<Prompt>,
    /// The caller has a stream's events up to this one.
    pub resume_after: Option<String>,
}

/// What a caller says of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The model.
    pub model: ModelId,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that are generated.
    pub output_tokens: u64,
    /// Parts of the prompt, in order. Requests share the first ones.
    pub parts: Vec<Part>,
}

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Names its content, together with those before it.
    pub id: String,
    /// Its length.
    pub tokens: u64,
}

impl Prompt {
    /// The part that a returning caller sends again, with all before it: all but the last, which
    /// belongs to the request itself. A prompt of one part is its own.
    pub fn shared_parts(&self) -> &[Part] {
        match self.parts.len() {
            0 | 1 => &self.parts,
            count => &self.parts[..count - 1],
        }
    }

    /// Tokens that a returning caller sends again.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

/// What this system adds to a request for a target.
#[derive(Clone, Debug)]
pub struct ForwardingMetadata<'a> {
    /// The target that is meant; another one at its address must refuse.
    pub target: &'a TargetId,
    /// The caller's account.
    pub account: Option<&'a AccountId>,
    /// How much of the caller's time is left.
    pub time_left: Duration,
    /// How urgent an engine shall take it, from 0 (first) to 9.
    pub priority: Option<u8>,
    /// Names those who may share kept cache with this request.
    pub cache_salt: Option<String>,
    /// The last event that the caller has.
    pub resume_after: Option<&'a str>,
    /// The weights that the engine must run.
    pub weight_version: Option<u64>,
    /// Where kept parts come from and go to.
    pub transfers: Option<PartTransfers<'a>>,
}

/// Where the parts of a prompt are fetched and saved, one place a part.
#[derive(Clone, Copy, Debug)]
pub struct PartTransfers<'a> {
    /// Stores that have a part.
    pub fetch: &'a [Option<SocketAddr>],
    /// Stores that shall have a part.
    pub save: &'a [Option<SocketAddr>],
    /// When a fetch must be thrown away, on the engines' clock.
    pub fetch_until_ms: u64,
}

/// What a target's answer says beside its content.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The request that it answers.
    pub request_id: Option<RequestId>,
    /// The target states that it did not run the request.
    pub did_not_run: bool,
    /// The target that answered, where it says so.
    pub answered_by: Option<TargetId>,
    /// How busy the target is.
    pub load: Option<TargetLoad>,
    /// The version of the weights that it runs.
    pub weight_version: Option<u64>,
    /// How long the target keeps an idle connection open.
    pub idle_timeout: Option<Duration>,
    /// Whether the target closes the connection after this answer.
    pub closes: bool,
}

/// How busy a target says that it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}
