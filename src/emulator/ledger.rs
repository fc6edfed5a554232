//! What really ran on the stand-ins: the truth that answers and figures are checked against.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::ids::{RequestId, TargetId};

/// Counts of all that ran.
#[derive(Default)]
pub struct Ledger {
    counts: Mutex<Counts>,
}

/// Counts of all that ran.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// How often each request started to run, by request id.
    pub runs: BTreeMap<RequestId, u32>,
    /// Requests that reached each target, by target.
    pub by_target: BTreeMap<TargetId, u64>,
    /// Prompt tokens of all started requests.
    pub prompt_tokens: u64,
    /// Prompt tokens that were resident.
    pub resident_tokens: u64,
    /// Prompt tokens that were imported.
    pub imported_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Bytes that stores sent.
    pub import_bytes: u64,
    /// Bytes that stores received.
    pub export_bytes: u64,
    /// Imports refused or found damaged.
    pub failed_imports: u64,
    /// Orders taken by each engine: fencing numbers in order of arrival.
    pub orders: BTreeMap<TargetId, Vec<u64>>,
}

impl Counts {
    /// Share of prompt tokens that were computed again or for the first time, of 1.
    pub fn recomputed_share(&self) -> f64 {
        if self.prompt_tokens == 0 {
            return 0.0;
        }
        let reused = self.resident_tokens + self.imported_tokens;
        1.0 - reused as f64 / self.prompt_tokens as f64
    }
}

impl Ledger {
    /// Changes the counts.
    pub fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.counts.lock());
    }

    /// Records that a request started to run on a target.
    pub fn record_start(&self, target: &str, request_id: &str) {
        self.update(|counts| {
            *counts.runs.entry(request_id.to_string()).or_default() += 1;
            *counts.by_target.entry(target.to_string()).or_default() += 1;
        });
    }

    /// A copy of the counts.
    pub fn counts(&self) -> Counts {
        self.counts.lock().clone()
    }
}
