//! The configuration document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::Problem;
use crate::ids::{AccountId, KindId, ModelId, ServiceId, WeightVersion};

/// The largest priority number, which is the lowest priority; 0 is the highest.
pub const LOWEST_PRIORITY: u8 = 7;

/// The configuration document. All fields are optional.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    pub accounts: BTreeMap<AccountId, Account>,
    /// Kinds of request. Requests that name no kind have the kind `default`.
    pub kinds: BTreeMap<KindId, Kind>,
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services, which are neither engines nor stores.
    pub services: BTreeMap<ServiceId, Service>,
    /// Weights of the routing costs relative to waiting time.
    pub prices: Prices,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// BLAKE3 hash of the bearer key in hex. The key itself appears in no log or response.
    pub key_blake3: String,
    /// Maximum number of concurrent requests, over all nodes.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Weight for the fair sharing of a full queue between accounts of the same priority.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Priority from 0 (highest) to 7 (lowest).
    pub priority: u8,
    /// Whether a request may run more than once. A request can forbid it, but not allow it.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Default deadline of a request.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Service level objective, used by the burn report.
    #[serde(default)]
    pub objective: Objective,
}

/// A service level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// Maximum time to the first token.
    pub first_token_ms: u64,
    /// Fraction of requests that must meet it.
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The weight version that new requests use.
    pub weight_version: WeightVersion,
    /// The version to which engines are being upgraded, a few at a time. Meanwhile new requests use either
    /// version. Set `weight_version` to it once all engines are upgraded.
    #[serde(default)]
    pub next_version: Option<WeightVersion>,
    #[serde(default)]
    pub policy: Policy,
    /// Minimum number of engines that keep serving in each failure domain while others load weights.
    #[serde(default = "default_floor")]
    pub floor: u32,
    /// Maximum number of engines that load weights of this model concurrently.
    #[serde(default = "default_concurrent_loads")]
    pub concurrent_loads: u32,
}

/// Routing policy of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    RoundRobin,
    /// The engine with the least queued work.
    LeastLoad,
    /// The same engine for the same context, by rendezvous hashing.
    PrefixSticky,
    /// The engine with the lowest weighted cost of waiting, link use and recomputation.
    #[default]
    Cost,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether a request may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

/// Weights of routing costs, in seconds of waiting for the first token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Cost of transferring a mebibyte over the link of a store.
    pub link_s_per_mib: f64,
    /// Cost of recomputing 1,000 tokens, in addition to the time that it takes.
    pub recompute_s_per_kilotoken: f64,
}

impl Default for Objective {
    fn default() -> Objective {
        Objective { first_token_ms: 1_800, share: 0.95 }
    }
}

impl Default for Prices {
    fn default() -> Prices {
        Prices { link_s_per_mib: 0.0002, recompute_s_per_kilotoken: 0.05 }
    }
}

fn default_max_running() -> u32 {
    64
}

fn default_weight() -> u32 {
    1
}

fn default_repeatable() -> bool {
    true
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_floor() -> u32 {
    1
}

fn default_concurrent_loads() -> u32 {
    2
}

/// Hash of a bearer key in the format of `Account::key_blake3`.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

impl Model {
    /// Whether new requests may use this version of the weights.
    pub fn serves(&self, version: &WeightVersion) -> bool {
        self.weight_version == *version || self.next_version.as_ref() == Some(version)
    }
}

impl Config {
    /// Decodes and validates a document.
    ///
    /// # Errors
    /// All problems of the document; at least one.
    pub fn from_value(value: &Value) -> Result<Config, Vec<Problem>> {
        let config: Config = serde_json::from_value(value.clone()).map_err(|source| {
            let remedy =
                "correct the field; docs/OPERATIONS.md lists the fields of the document".into();
            vec![Problem { path: "document".into(), message: source.to_string(), remedy }]
        })?;
        let problems = config.problems();
        if problems.is_empty() { Ok(config) } else { Err(problems) }
    }

    /// Returns the kind with this name. `default` always exists.
    pub fn kind(&self, id: &str) -> Option<Kind> {
        let fallback = (id == "default").then(|| Kind {
            priority: LOWEST_PRIORITY / 2,
            repeatable: true,
            deadline_ms: default_deadline_ms(),
            objective: Objective::default(),
        });
        self.kinds.get(id).cloned().or(fallback)
    }

    fn problems(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut report = |path: String, message: String, remedy: &str| {
            problems.push(Problem { path, message, remedy: remedy.into() });
        };
        let mut key_owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (id, account) in &self.accounts {
            let path = format!("accounts.{id}");
            if account.key_blake3.len() != 64 {
                let message = "is not 64 hex digits".into();
                report(
                    format!("{path}.key_blake3"),
                    message,
                    "set it to the BLAKE3 hash of the key in hex",
                );
            }
            if let Some(other) = key_owners.insert(&account.key_blake3, id) {
                let message = format!("is also the key of account {other:?}");
                report(
                    format!("{path}.key_blake3"),
                    message,
                    "use a different key for each account",
                );
            }
            if account.max_running == 0 || account.weight == 0 {
                report(path, "max_running or weight is 0".into(), "set it to at least 1");
            }
        }
        for (id, kind) in &self.kinds {
            if kind.priority > LOWEST_PRIORITY {
                let path = format!("kinds.{id}.priority");
                report(path, format!("{} is too high", kind.priority), "set it to 0 to 7");
            }
            if !(0.0..1.0).contains(&kind.objective.share) {
                let path = format!("kinds.{id}.objective.share");
                report(
                    path,
                    format!("{}", kind.objective.share),
                    "set it to at least 0 and less than 1",
                );
            }
        }
        for (id, model) in &self.models {
            if model.weight_version.is_empty() {
                let path = format!("models.{id}.weight_version");
                report(path, "is empty".into(), "set it to the weight version to serve");
            }
        }
        let prices = [self.prices.link_s_per_mib, self.prices.recompute_s_per_kilotoken];
        if prices.iter().any(|price| !price.is_finite() || *price < 0.0) {
            report(
                "prices".into(),
                "a price is negative or not finite".into(),
                "set it to at least 0",
            );
        }
        problems
    }
}
