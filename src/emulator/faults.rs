//! Faults that can be injected into an emulated target.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::ids::TargetId;

/// The body of a request to inject a fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    pub target: TargetId,
    pub fault: FaultAction,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// Stops the target with all its connections and removes it from the target list.
    Die,
    /// Restarts the target with an empty memory, on a new port and without faults.
    Restart,
    /// Lists the target as leaving.
    Leave,
    /// Replaces the faults of the running target.
    Set(FaultSettings),
}

/// Faults of a running target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Engines abort each answer after this many tokens. Services abort it before the first byte.
    pub break_after_tokens: Option<u32>,
    /// Number of answers that are aborted; `None` for all.
    pub break_count: Option<u32>,
    /// Engines put the id of another request into their chunks.
    pub crossed: bool,
    /// Delays each answer of an engine or a service.
    pub delay_ms: u64,
    /// Engines and services refuse all requests with status 503, marked as not run.
    pub refuse: bool,
    /// Factor by which a store's link is slower; values below 1 count as 1.
    pub link_slower: f64,
    /// A store accepts no new objects.
    pub full: bool,
    /// A store truncates the objects that it returns.
    pub damage: bool,
    /// An engine crashes after it accepts a prompt that contains this text, and is restarted later.
    pub dies_on: Option<String>,
}

/// The faults of one target.
#[derive(Default)]
pub struct TargetFaults {
    settings: Mutex<FaultSettings>,
    crashed_at: Mutex<Option<Instant>>,
    crashed: Notify,
}

impl TargetFaults {
    /// Returns a copy of the current faults.
    pub fn settings(&self) -> FaultSettings {
        self.settings.lock().clone()
    }

    pub fn set(&self, settings: FaultSettings) {
        *self.settings.lock() = settings;
    }

    pub fn crash(&self) {
        *self.crashed_at.lock() = Some(Instant::now());
        self.crashed.notify_one();
    }

    /// Returns when the target crashes.
    pub async fn wait_for_crash(&self) {
        self.crashed.notified().await;
    }

    /// Returns whether the target crashed at least `min_age` ago. Returns true once for each crash.
    pub fn take_crash(&self, min_age: Duration) -> bool {
        let mut crashed_at = self.crashed_at.lock();
        let is_due = crashed_at.is_some_and(|at| at.elapsed() >= min_age);
        if is_due {
            *crashed_at = None;
        }
        is_due
    }

    /// Returns the number of tokens after which an answer that starts now is to be aborted, if any.
    /// Counts towards `break_count`.
    pub fn take_break_after_tokens(&self) -> Option<u32> {
        let mut settings = self.settings.lock();
        let after = settings.break_after_tokens?;
        match settings.break_count {
            Some(0) => None,
            Some(count) => {
                settings.break_count = Some(count - 1);
                Some(after)
            }
            None => Some(after),
        }
    }
}
