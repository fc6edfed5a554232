//! Faults that a test or an operator of the emulator can set on a target.

use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::ids::TargetId;

/// Sets a fault on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The target.
    pub target: TargetId,
    /// The fault.
    pub fault: FaultAction,
}

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultAction {
    /// The process dies with all its connections.
    Die,
    /// It starts again, with empty memory.
    Restart,
    /// The platform lists it as leaving.
    Leave,
    /// Faults while it runs, replacing the ones set before.
    Set(FaultSettings),
}

/// Faults while a target runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Each answer breaks off after this many tokens (engines) or before its first byte (services).
    pub break_after_tokens: Option<u32>,
    /// How many answers break off before the fault ends; `None` for all.
    pub break_count: Option<u32>,
    /// Chunks carry the id of another request.
    pub crossed: bool,
    /// Each answer starts this much later.
    pub delay_ms: u64,
    /// Everything is refused with 503, provably not run.
    pub refuse: bool,
    /// Its link is slower by this factor; 0 counts as 1.
    pub link_slower: f64,
    /// It has no room for anything new.
    pub full: bool,
    /// What it stores is damaged on the way out.
    pub damage: bool,
    /// An engine dies when it begins a prompt with this text in it, and starts again after a while.
    pub dies_on: Option<String>,
}

/// The faults set on one target.
#[derive(Default)]
pub struct TargetFaults {
    settings: Mutex<FaultSettings>,
    crashed_at: Mutex<Option<Instant>>,
    crashed: Notify,
}

impl TargetFaults {
    /// The faults in force.
    pub fn settings(&self) -> FaultSettings {
        self.settings.lock().clone()
    }

    /// Replaces them.
    pub fn set(&self, settings: FaultSettings) {
        *self.settings.lock() = settings;
    }

    /// The target's process ends by itself.
    pub fn crash(&self) {
        *self.crashed_at.lock() = Some(Instant::now());
        self.crashed.notify_one();
    }

    /// Waits for that.
    pub async fn wait_for_crash(&self) {
        self.crashed.notified().await;
    }

    /// Whether it ended that long ago. Says so once.
    pub fn take_crash(&self, min_age: Duration) -> bool {
        let mut crashed_at = self.crashed_at.lock();
        let is_due = crashed_at.is_some_and(|at| at.elapsed() >= min_age);
        if is_due {
            *crashed_at = None;
        }
        is_due
    }

    /// After how many tokens the answer that starts now breaks off, if it does.
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
