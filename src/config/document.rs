//! The document that operators patch.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::Problem;
use crate::ids::{AccountId, KindId, ModelId, ServiceId, WeightVersion};

/// Highest number of a priority; 0 goes first.
pub const LOWEST_PRIORITY: u8 = 7;

/// The whole document. Every field may be absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Kinds of request. A request that names no kind has kind `default`.
    pub kinds: BTreeMap<KindId, Kind>,
    /// Models in service.
    pub models: BTreeMap<ModelId, Model>,
    /// Plain services.
    pub services: BTreeMap<ServiceId, Service>,
    /// What routing weighs against waiting time.
    pub prices: Prices,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// BLAKE3 of the bearer key, in hex, so that the key itself is in no log or answer.
    pub key_blake3: String,
    /// Requests that may run at once, over all nodes.
    #[serde(default = "default_max_running")]
    pub max_running: u32,
    /// Share of a full queue, relative to other accounts of the same priority.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// 0 goes first, 7 last.
    pub priority: u8,
    /// Whether a request may run twice without harm. A caller can tighten it, never loosen it.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// The deadline of requests that name none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// The service level that the burn report measures against.
    #[serde(default)]
    pub objective: Objective,
}

/// A service level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objective {
    /// The first token is due within this time.
    pub first_token_ms: u64,
    /// Share of requests, of 1, for which that must hold.
    pub share: f64,
}

/// A model in service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The weight version that new requests use.
    pub weight_version: WeightVersion,
    /// The version that engines are moved to, a few at a time. New requests use either meanwhile,
    /// each one version to its end. Make it `weight_version` when all engines have it.
    #[serde(default)]
    pub next_version: Option<WeightVersion>,
    /// How requests are routed.
    #[serde(default)]
    pub policy: Policy,
    /// Engines that must go on serving in each failure domain while others load weights.
    #[serde(default = "default_floor")]
    pub floor: u32,
    /// Engines that may load this model's weights at the same time.
    #[serde(default = "default_concurrent_loads")]
    pub concurrent_loads: u32,
}

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// One after the other.
    RoundRobin,
    /// The engine with the least work queued.
    LeastLoad,
    /// Always the same engine for the same context, by rendezvous hashing.
    PrefixSticky,
    /// The engine with the least cost: waiting, link use and recomputing weighed together.
    #[default]
    Cost,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether a call may run twice without harm.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

/// What routing weighs against a second of waiting for the first token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Seconds that a mebibyte moved over a store link is worth avoiding.
    pub link_s_per_mib: f64,
    /// Seconds that a thousand recomputed tokens are worth avoiding, beside the time they take.
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

/// The hash of a bearer key as the document holds it.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

impl Model {
    /// Whether new requests may use a version.
    pub fn serves(&self, version: &WeightVersion) -> bool {
        self.weight_version == *version || self.next_version.as_ref() == Some(version)
    }
}

impl Config {
    /// Reads and checks a document.
    ///
    /// # Errors
    /// Everything that is wrong with it; at least one problem.
    pub fn from_value(value: &Value) -> Result<Config, Vec<Problem>> {
        let config: Config = serde_json::from_value(value.clone()).map_err(|source| {
            let remedy = "mend the field; docs/OPERATIONS.md lists the document's fields".into();
            vec![Problem { path: "document".into(), message: source.to_string(), remedy }]
        })?;
        let problems = config.problems();
        if problems.is_empty() { Ok(config) } else { Err(problems) }
    }

    /// The kind with this name; `default` exists always.
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
                report(format!("{path}.key_blake3"), message, "give BLAKE3 of the key in hex");
            }
            if let Some(other) = key_owners.insert(&account.key_blake3, id) {
                let message = format!("is the key of account {other:?} as well");
                report(format!("{path}.key_blake3"), message, "give each account its own key");
            }
            if account.max_running == 0 || account.weight == 0 {
                report(path, "max_running or weight is 0".into(), "give at least 1");
            }
        }
        for (id, kind) in &self.kinds {
            if kind.priority > LOWEST_PRIORITY {
                let path = format!("kinds.{id}.priority");
                report(path, format!("{} is too high", kind.priority), "give 0 to 7");
            }
            if !(0.0..1.0).contains(&kind.objective.share) {
                let path = format!("kinds.{id}.objective.share");
                report(path, format!("{}", kind.objective.share), "give 0 up to, not including, 1");
            }
        }
        for (id, model) in &self.models {
            if model.weight_version.is_empty() {
                let path = format!("models.{id}.weight_version");
                report(path, "is empty".into(), "name the weight version to serve");
            }
        }
        let prices = [self.prices.link_s_per_mib, self.prices.recompute_s_per_kilotoken];
        if prices.iter().any(|price| !price.is_finite() || *price < 0.0) {
            report("prices".into(), "a price is negative".into(), "give numbers from 0");
        }
        problems
    }
}
