//! What targets and the platform speak: JSON over HTTP, with the OpenAI-compatible shape for prompts.

use serde::{Deserialize, Serialize};

use crate::ids::{
    Attempt, BlockKey, DomainId, Incarnation, ModelId, RequestId, ServiceId, TargetId,
    WeightVersion,
};

/// Names the request; an engine repeats it in the `id` of each chunk, before the attempt.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Counts the dispatches of the request.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// The account, which an engine mixes into the keys of cached blocks.
pub const OWNER_HEADER: &str = "x-cache-owner";
/// The weight version that must answer; an engine with another one refuses without running.
pub const VERSION_HEADER: &str = "x-weight-version";
/// The request's priority, 0 first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Set by a target on a refusal that proves that nothing was run.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// What a target is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum Role {
    /// A model engine.
    Engine {
        /// The model that it serves.
        model: ModelId,
    },
    /// A store of kept KV cache.
    Store,
    /// An instance of a plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It takes work.
    Live,
    /// It finishes what it has and then goes.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The target.
    pub id: TargetId,
    /// Counts its starts.
    pub incarnation: Incarnation,
    /// What it is.
    #[serde(flatten)]
    pub role: Role,
    /// Its base URL.
    pub url: String,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Whether it takes new work.
    pub presence: Presence,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// The platform's list; it lags behind the truth.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// All live and leaving targets.
    pub targets: Vec<Target>,
}

/// An engine's report on its load, which lags.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Counts the engine's starts.
    pub incarnation: Incarnation,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for the batch.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled, running and waiting ones.
    pub queued_prefill_tokens: u64,
    /// Largest batch.
    pub max_batch: u32,
    /// Prefill rate in tokens a second.
    pub prefill_tokens_per_s: f64,
    /// Bytes of KV cache that a token takes.
    pub kv_bytes_per_token: u64,
    /// The weight version that is loaded; `None` while none is.
    pub weight_version: Option<WeightVersion>,
    /// Whether equal requests give equal answers, so that a broken one may be restarted.
    pub reproducible: bool,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events; a missing number is a gap.
    pub seq: u64,
    /// Whether the prefix came or went.
    pub change: CacheChange,
    /// The prefix.
    #[serde(with = "hex_key")]
    pub key: BlockKey,
}

/// Whether a prefix came into a cache or went from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The block that ends the prefix is resident now.
    Stored,
    /// It is no longer resident.
    Evicted,
}

/// An engine's cache events, late and with gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Counts the engine's starts; numbers begin anew with each.
    pub incarnation: Incarnation,
    /// Events after the number that was asked for.
    pub events: Vec<CacheEvent>,
}

/// Names one committed object in a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The first block of the prefix: decides which nodes own what is known of it.
    #[serde(with = "hex_key")]
    pub root: BlockKey,
    /// The prefix.
    #[serde(with = "hex_key")]
    pub key: BlockKey,
    /// Tells this writing of the object from any other.
    pub generation: u64,
    /// Length of the prefix in blocks.
    pub blocks: u32,
    /// Size in bytes.
    pub size_bytes: u64,
    /// Checksum of the content; set when committed.
    pub checksum: u32,
}

/// Tells an engine to import a prefix before it prefills the rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportOrder {
    /// The store's base URL.
    pub store_url: String,
    /// What to import.
    pub object: StoredObject,
}

/// Tells an engine to export a resident prefix to a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportOrder {
    /// The store's base URL.
    pub store_url: String,
    /// The first block of the prefix.
    #[serde(with = "hex_key")]
    pub root: BlockKey,
    /// The prefix.
    #[serde(with = "hex_key")]
    pub key: BlockKey,
    /// Its length in blocks.
    pub blocks: u32,
    /// The generation to write.
    pub generation: u64,
    /// Epoch of the owner that ordered it.
    pub owner_epoch: u64,
}

/// Starts the writing of an object in a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginWrite {
    /// What will be written; its checksum is not known yet.
    pub object: StoredObject,
    /// Epoch of the owner that ordered it.
    pub owner_epoch: u64,
}

/// Ends the writing of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitWrite {
    /// Checksum of the whole content.
    pub checksum: u32,
}

/// A store's report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Counts the store's starts.
    pub incarnation: Incarnation,
    /// Bytes held.
    pub used_bytes: u64,
    /// Bytes that it can hold.
    pub capacity_bytes: u64,
    /// Rate of its link in bytes a second.
    pub link_bytes_per_s: f64,
    /// How long a transfer that starts now would wait for the link, in milliseconds.
    pub backlog_ms: u64,
}

/// Everything committed in a store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// Stops a request on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    /// The request.
    pub request_id: RequestId,
    /// Its dispatch.
    pub attempt: Attempt,
}

/// An order to an engine. Only the log's leader sends one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Grows with each order; an engine that checks it refuses a lower one.
    pub fencing: u64,
    /// The weight version to load.
    pub load_version: WeightVersion,
}

/// Block keys as 32 hex digits, since JSON numbers can't hold 128 bits everywhere.
pub mod hex_key {
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::ids::BlockKey;

    /// Writes a key.
    ///
    /// # Errors
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(key: &BlockKey, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{key:032x}"))
    }

    /// Reads a key.
    ///
    /// # Errors
    /// If it is not hex.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BlockKey, D::Error> {
        let text = String::deserialize(deserializer)?;
        BlockKey::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
    }
}
