//! Records what ran on the emulated targets, for comparison with what clients observed.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, TargetId};

/// Counters shared by all emulated targets.
#[derive(Default)]
pub struct Ledger {
    counts: Mutex<Counts>,
}

/// Counters of what ran on the emulated targets since the emulator started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of times that targets accepted each request. Refused requests are not counted.
    pub runs: BTreeMap<RequestId, u32>,
    /// Number of requests that each target accepted.
    pub by_target: BTreeMap<TargetId, u64>,
    /// Prompt tokens of all prompts that left the prefill stage.
    pub prompt_tokens: u64,
    /// Prompt tokens reused from the engine's prefix cache, without imported ones.
    pub resident_tokens: u64,
    /// Prompt tokens reused after an import from a store.
    pub imported_tokens: u64,
    pub generated_tokens: u64,
    /// Bytes that engines read from stores.
    pub import_bytes: u64,
    /// Bytes that engines wrote to stores.
    pub export_bytes: u64,
    /// Imports that were refused, unavailable or damaged.
    pub failed_imports: u64,
    /// Fencing numbers of the weight loads that each engine started, in order of arrival.
    pub orders: BTreeMap<TargetId, Vec<u64>>,
}

impl Counts {
    /// Fraction of prompt tokens that were computed instead of reused.
    pub fn recomputed_share(&self) -> f64 {
        if self.prompt_tokens == 0 {
            return 0.0;
        }
        let reused = self.resident_tokens + self.imported_tokens;
        1.0 - reused as f64 / self.prompt_tokens as f64
    }
}

impl Ledger {
    pub fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock());
    }

    /// Records that a target accepted a request.
    pub fn record_start(&self, target: &str, request_id: &str) {
        self.update(|counts| {
            *counts.runs.entry(request_id.to_string()).or_default() += 1;
            *counts.by_target.entry(target.to_string()).or_default() += 1;
        });
    }

    /// Returns a copy of the counters.
    pub fn counts(&self) -> Counts {
        self.counts.lock().clone()
    }
}
