//! What an entry knows of a target besides its listing: its own requests there, and what answers
//! reported.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::brittle::Brittleness;
use super::cold::Coldness;
use super::memory_share::ReportedRequests;
use super::rate::{NamedLimit, ShareUse};
use super::roster::{Listed, Presence};
use super::speed::TargetSpeed;
use crate::clock::BootTime;
use crate::ids::ModelId;
use crate::route::health::Health;

/// The influence of a reported load decays linearly to zero within this time: about how long a
/// request runs on an engine.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(600);

/// State of a target that this entry has used or that has begun to leave. All others have the
/// default.
#[derive(Clone, Debug, Default)]
pub(super) struct TargetUsage {
    /// Its last listing, if it is no longer listed while requests run there.
    pub unlisted: Option<Arc<Listed>>,
    /// Whether it was listed as leaving or found to have ended. Not reset by later lists, which may
    /// lag, unless its address changes.
    pub is_leaving: bool,
    /// Weights that it reported. They take precedence over the list, which lags, until the list
    /// changes.
    pub reported_weights: Option<BTreeMap<ModelId, u64>>,
    /// Requests of this entry that it runs or queues.
    pub running: u32,
    /// Prompt tokens of requests whose prefill has not ended.
    pub prefill_tokens: u64,
    /// Tokens of its requests of this entry, with their reserved output.
    pub held_tokens: u64,
    pub health: Health,
    pub reported_load: Option<ReportedRequests>,
    pub speed: TargetSpeed,
    /// Whether it may be cold, apart from its listing.
    pub coldness: Coldness,
    /// The rate limit that its answers name.
    pub named_limit: NamedLimit,
    pub brittleness: Brittleness,
    /// Requests that this entry has sent to it by its own decision.
    pub share_use: ShareUse,
}

impl TargetUsage {
    pub fn relisted(&mut self, before: Option<&Listed>, listed: &Listed) {
        let unlisted = self.unlisted.take();
        let before = unlisted.as_deref().or(before);
        if before.is_none_or(|before| before.weights != listed.weights) {
            self.reported_weights = None;
        }
        // Another process may have answered at its former address.
        self.is_leaving &= before.is_some_and(|before| before.address == listed.address);
        self.is_leaving |= listed.presence == Presence::Leaving;
    }

    /// Estimated number of requests of all entries that it runs or queues.
    pub fn load(&self, now: BootTime) -> f64 {
        let others = self.reported_load.map_or(0.0, |reported_load| {
            let age = now.saturating_sub(reported_load.at).as_secs_f64();
            let left = (1.0 - age / REPORTED_LOAD_TTL.as_secs_f64()).max(0.0);
            f64::from(reported_load.others) * left
        });
        f64::from(self.running) + others
    }
}
