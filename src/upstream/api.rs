//! JSON messages of targets and the platform, except prompts, which have OpenAI-compatible formats.

use serde::{Deserialize, Serialize};

use crate::ids::{
    Attempt, BlockKey, DomainId, Incarnation, ModelId, RequestId, ServiceId, TargetId,
    WeightVersion,
};

/// The request id. An engine repeats it, followed by the attempt, in the `id` of each chunk.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Number of the dispatch of the request, starting at 1.
pub const ATTEMPT_HEADER: &str = "x-attempt";
/// The client account. Cached blocks are shared within an account only.
pub const OWNER_HEADER: &str = "x-cache-owner";
/// The required version of the weights. An engine with another version refuses the request.
pub const VERSION_HEADER: &str = "x-weight-version";
/// Priority of the request; 0 is the highest.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Set by a target in a response if it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum Role {
    Engine {
        model: ModelId,
    },
    /// A store of KV cache.
    Store,
    /// An instance of a plain service.
    Service {
        service: ServiceId,
    },
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It accepts requests.
    Live,
    /// It finishes its requests and then stops.
    Leaving,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub id: TargetId,
    /// Number of its current start.
    pub incarnation: Incarnation,
    #[serde(flatten)]
    pub role: Role,
    pub url: String,
    pub failure_domain: DomainId,
    /// Whether it accepts new requests.
    pub presence: Presence,
    /// Whether it refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// The platform's list of targets, which may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// All live and leaving targets.
    pub targets: Vec<Target>,
}

/// Load report of an engine, which may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of the engine's start.
    pub incarnation: Incarnation,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests that wait to enter the batch.
    pub waiting: u32,
    /// Prompt tokens that are not prefilled yet, of running and waiting requests.
    pub queued_prefill_tokens: u64,
    /// Maximum size of the batch.
    pub max_batch: u32,
    /// Prefill rate in tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Size of one token in the KV cache in bytes.
    pub kv_bytes_per_token: u64,
    /// The loaded version of the weights, if any.
    pub weight_version: Option<WeightVersion>,
    /// Whether equal requests have equal responses, so that an interrupted one may be restarted.
    pub reproducible: bool,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event. A gap in the numbers means that events were lost.
    pub seq: u64,
    /// Whether the prefix was stored or evicted.
    pub change: CacheChange,
    /// The prefix.
    #[serde(with = "hex_key")]
    pub key: BlockKey,
}

/// Kind of change of a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The last block of the prefix became resident.
    Stored,
    /// The last block of the prefix is no longer resident.
    Evicted,
}

/// Cache events of an engine, which may be late and incomplete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the engine's start. Event numbers restart with it.
    pub incarnation: Incarnation,
    /// The events after the requested number.
    pub events: Vec<CacheEvent>,
}

/// Identifies a committed object in a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The first block of the prefix. Determines which nodes own its catalog entry.
    #[serde(with = "hex_key")]
    pub root: BlockKey,
    /// The prefix.
    #[serde(with = "hex_key")]
    pub key: BlockKey,
    /// Distinguishes this write of the object from all others.
    pub generation: u64,
    /// Length of the prefix in blocks.
    pub blocks: u32,
    pub size_bytes: u64,
    /// Checksum of the content, set by the commit.
    pub checksum: u32,
}

/// Order to an engine to import a prefix before it prefills the rest of the prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportOrder {
    pub store_url: String,
    pub object: StoredObject,
}

/// Order to an engine to export a resident prefix to a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportOrder {
    pub store_url: String,
    /// The first block of the prefix.
    #[serde(with = "hex_key")]
    pub root: BlockKey,
    /// The prefix.
    #[serde(with = "hex_key")]
    pub key: BlockKey,
    /// Length of the prefix in blocks.
    pub blocks: u32,
    pub generation: u64,
    /// Epoch of the owner that ordered it.
    pub owner_epoch: u64,
}

/// Request to a store to begin the write of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginWrite {
    /// The object; its checksum is not known yet.
    pub object: StoredObject,
    /// Epoch of the owner that ordered it.
    pub owner_epoch: u64,
}

/// Request to a store to commit the write of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitWrite {
    pub checksum: u32,
}

/// Load report of a store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Number of the store's start.
    pub incarnation: Incarnation,
    pub used_bytes: u64,
    pub capacity_bytes: u64,
    /// Bandwidth of its link in bytes per second.
    pub link_bytes_per_s: f64,
    /// Time in milliseconds for which a new transfer would wait for the link.
    pub backlog_ms: u64,
}

/// All committed objects of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    pub objects: Vec<StoredObject>,
}

/// Order to an engine to cancel a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelOrder {
    pub request_id: RequestId,
    /// Number of its dispatch.
    pub attempt: Attempt,
}

/// Order to an engine to load weights, sent by the leader only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Increases with each order. An engine that checks it refuses lower numbers.
    pub fencing: u64,
    /// The version of the weights to load.
    pub load_version: WeightVersion,
}

/// Serialization of block keys as 32 hex digits, since many JSON implementations don't support 128-bit numbers.
pub mod hex_key {
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::ids::BlockKey;

    /// Serializes a key.
    ///
    /// # Errors
    /// Errors of the serializer.
    pub fn serialize<S: Serializer>(key: &BlockKey, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{key:032x}"))
    }

    /// Deserializes a key.
    ///
    /// # Errors
    /// If it is not a hex number.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BlockKey, D::Error> {
        let text = String::deserialize(deserializer)?;
        BlockKey::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
    }
}
