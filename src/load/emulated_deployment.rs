//! Emulator settings and a configuration for each workload profile, sized for one machine.

use serde_json::{Value, json};

use super::workload::WorkloadProfile;
use crate::config::document::key_hash;

/// Prefill rate of an emulated engine in tokens per second.
pub const PREFILL_TOKENS_PER_S: u64 = 20_000;
/// Capacity of an emulated engine's prefix cache in tokens. Much smaller than the contexts of a
/// workload, so that they are evicted between two uses.
pub const CACHE_TOKENS: u64 = 16_384;
const KV_BYTES_PER_TOKEN: u64 = 65_536;
const LINK_BYTES_PER_S: u64 = 8 << 30;
const STORE_CAPACITY_BYTES: u64 = 400 << 30;

/// Settings of an emulator, and a configuration for its targets.
#[derive(Clone, Debug, PartialEq)]
pub struct EmulatedDeployment {
    pub emulator: Value,
    pub config: Value,
}

/// Returns the bearer key of an account.
pub fn account_key(account: &str) -> String {
    format!("key-of-{account}")
}

impl EmulatedDeployment {
    /// Returns the deployment of a workload profile, with the given routing policy for all models.
    pub fn new(profile: WorkloadProfile, policy: &str) -> EmulatedDeployment {
        let spec = DeploymentSpec::of(profile);
        let engines: Vec<Value> = spec
            .models
            .iter()
            .flat_map(|(model, count)| (0..*count).map(move |index| (model, index)))
            .map(|(model, index)| {
                json!({
                    "id": format!("{model}-{index}"), "model": model, "weight_version": "v1",
                    "failure_domain": spec.failure_domains[index % spec.failure_domains.len()],
                    "prefill_tokens_per_s": PREFILL_TOKENS_PER_S, "token_us": 4_000,
                    "max_batch": 16, "cache_tokens": CACHE_TOKENS,
                    "kv_bytes_per_token": KV_BYTES_PER_TOKEN,
                    "load_lag_ms": 100, "event_lag_ms": 200, "event_loss_one_in": 50,
                })
            })
            .collect();
        let stores: Vec<Value> = (0..2)
            .map(|index| {
                json!({
                    "id": format!("store-{index}"), "failure_domain": spec.failure_domains[index],
                    "memory_bytes": STORE_CAPACITY_BYTES / 4,
                    "capacity_bytes": STORE_CAPACITY_BYTES,
                    "link_bytes_per_s": LINK_BYTES_PER_S, "disk_bytes_per_s": LINK_BYTES_PER_S / 2,
                })
            })
            .collect();
        let services: Vec<Value> = spec
            .services
            .iter()
            .flat_map(|(service, _)| (0..2).map(move |index| (service, index)))
            .map(|(service, index)| {
                json!({"id": format!("{service}-{index}"), "service": service,
                       "failure_domain": spec.failure_domains[index]})
            })
            .collect();
        let emulator = json!({"engines": engines, "stores": stores, "services": services,
                              "log": {"level": "warn"}});
        EmulatedDeployment { emulator, config: spec.config(policy) }
    }
}

/// What differs between the deployments of the workload profiles.
struct DeploymentSpec {
    failure_domains: [&'static str; 3],
    /// Each model and its number of engines.
    models: Vec<(&'static str, usize)>,
    /// Each service and whether its calls may be repeated.
    services: Vec<(&'static str, bool)>,
    /// Each kind of request: its name, its priority, whether it may be repeated, and the objective
    /// for the time to first token in milliseconds.
    kinds: Vec<(&'static str, u8, bool, u64)>,
    /// The section `prices` of the configuration.
    prices: Value,
}

impl DeploymentSpec {
    fn of(profile: WorkloadProfile) -> DeploymentSpec {
        match profile {
            WorkloadProfile::Gearworks => DeploymentSpec {
                failure_domains: ["patan", "bhaktapur", "kirtipur"],
                models: vec![("mechanic", 12), ("counter", 3)],
                services: vec![("part-order", false)],
                kinds: vec![
                    ("counter", 0, true, 200),
                    ("verdict", 1, true, 400),
                    ("crossref", 1, true, 400),
                    ("diagnosis", 2, true, 1_800),
                    ("order", 0, false, 500),
                ],
                prices: json!({"link_s_per_mib": 0.00002, "recompute_s_per_kilotoken": 0.1}),
            },
            WorkloadProfile::Portal => DeploymentSpec {
                failure_domains: ["east", "north", "south"],
                models: vec![("guideline", 20), ("portal", 3)],
                services: vec![("template", true), ("download", false)],
                kinds: vec![
                    ("colour", 0, true, 200),
                    ("logo", 1, true, 300),
                    ("audit", 4, true, 5_000),
                    ("template", 0, true, 100),
                    ("download", 0, false, 500),
                ],
                prices: json!({"link_s_per_mib": 0.00002, "recompute_s_per_kilotoken": 0.02}),
            },
        }
    }

    fn config(&self, policy: &str) -> Value {
        let accounts: serde_json::Map<String, Value> = super::workload::account_ids()
            .map(|id| {
                let key_blake3 = key_hash(&account_key(&id));
                (id, json!({"key_blake3": key_blake3, "max_running": 4_096}))
            })
            .collect();
        let kinds: serde_json::Map<String, Value> = self
            .kinds
            .iter()
            .map(|(id, priority, repeatable, first_token_ms)| {
                let objective = json!({"first_token_ms": first_token_ms, "share": 0.95});
                let kind = json!({"priority": priority, "repeatable": repeatable,
                                  "deadline_ms": 20_000, "objective": objective});
                (id.to_string(), kind)
            })
            .collect();
        let models: serde_json::Map<String, Value> = self
            .models
            .iter()
            .map(|(id, _)| (id.to_string(), json!({"weight_version": "v1", "policy": policy})))
            .collect();
        let services: serde_json::Map<String, Value> = self
            .services
            .iter()
            .map(|(id, repeatable)| (id.to_string(), json!({"repeatable": repeatable})))
            .collect();
        json!({"accounts": accounts, "kinds": kinds, "models": models, "services": services,
               "prices": self.prices})
    }
}
