//! One engine as the scheduler sees it.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::engine_cache::{EngineCache, PartKey};
use super::link::Link;
use super::messages::TicketId;
use super::prefill::PrefillEstimator;
use crate::clock::BootTime;
use crate::fleet::Listed;
use crate::gateway::call::TargetLoad;
use crate::route::health::Health;

/// A load that answers tell counts for less and less, and for nothing after this time: about how
/// long a prompt runs.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(800);
/// A placement that nobody has ended after this time was lost with its entry.
const TICKET_TTL: Duration = Duration::from_secs(20);
/// How much of an error in the expected end of prefill corrects what is expected next.
const DRIFT_CORRECTION: f64 = 0.5;

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// As it was last listed.
    pub listed: Listed,
    /// The weights that it runs, as last heard of.
    pub weight_version: Option<u64>,
    /// Its memory.
    pub cache: EngineCache,
    /// Its soundness.
    pub health: Health,
    /// Tokens that it holds at the most.
    pub capacity_tokens: u64,
    /// Over which it fetches.
    pub link: Link,
    /// When it has read all that was placed here, if it reads one prompt after another.
    prefill_free_at: BootTime,
    /// By how much it has fallen behind what was expected, in all.
    drift_ms: f64,
    running: FxHashMap<TicketId, RunningPrompt>,
    /// Tokens that running prompts may still generate.
    reserved_output_tokens: u64,
    reported_load: Option<(u32, BootTime)>,
}

/// A prompt for an engine.
#[derive(Clone, Debug)]
pub struct PromptLoad {
    /// Its parts.
    pub parts: Vec<PartKey>,
    /// Tokens that the engine must read.
    pub prefill_tokens: u64,
    /// Tokens that it may generate.
    pub output_tokens: u64,
    /// How long fetches of parts of it take before it is read.
    pub fetch_time: Duration,
}

#[derive(Clone, Debug)]
struct RunningPrompt {
    load: PromptLoad,
    since: BootTime,
    /// What is expected of its prefill, ends_at it has been read.
    prefill: Option<PendingPrefill>,
}

#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    duration: Duration,
    ends_at: BootTime,
    /// The engine's add_drift when `ends_at` was worked out.
    drift_ms: f64,
    engine_was_idle: bool,
}

impl Engine {
    /// An engine that runs nothing.
    pub fn new(
        listed: Listed,
        weight_version: Option<u64>,
        capacity_tokens: u64,
        link_mbps: f64,
    ) -> Engine {
        Engine {
            listed,
            weight_version,
            cache: EngineCache::new(capacity_tokens),
            health: Health::default(),
            capacity_tokens,
            link: Link::new(link_mbps),
            prefill_free_at: BootTime::ZERO,
            drift_ms: 0.0,
            running: FxHashMap::default(),
            reserved_output_tokens: 0,
            reported_load: None,
        }
    }

    /// Sets the weights that it runs. Others leave nothing of what was resident.
    pub fn set_weights(&mut self, version: Option<u64>) {
        if version.is_some() && self.weight_version != version {
            self.weight_version = version;
            self.cache = EngineCache::new(self.capacity_tokens);
        }
    }

    /// How long it still reads what was placed here.
    pub fn prefill_backlog(&self, now: BootTime) -> Duration {
        self.prefill_free_at.saturating_sub(now)
    }

    /// Takes a prompt.
    pub fn begin(
        &mut self,
        ticket: TicketId,
        load: PromptLoad,
        estimator: &PrefillEstimator,
        now: BootTime,
    ) {
        let duration = estimator.prefill_time(load.prefill_tokens);
        let engine_was_idle =
            self.running.is_empty() && self.other_requests(now) < 0.5 && load.fetch_time.is_zero();
        // Others are read while it is fetched.
        let ends_at = self.prefill_free_at.max(now + load.fetch_time) + duration;
        self.prefill_free_at = self.prefill_free_at.max(now) + duration;
        let drift_ms = self.drift_ms;
        let prefill = PendingPrefill { duration, ends_at, drift_ms, engine_was_idle };
        self.reserved_output_tokens += load.output_tokens;
        self.running.insert(ticket, RunningPrompt { load, since: now, prefill: Some(prefill) });
    }

    /// The prompt has been read.
    pub fn end_prefill(
        &mut self,
        ticket: TicketId,
        estimator: &mut PrefillEstimator,
        now: BootTime,
    ) {
        let Some(running) = self.running.get_mut(&ticket) else { return };
        let Some(prefill) = running.prefill.take() else { return };
        running.load.parts.iter().for_each(|key| self.cache.mark_computed(*key));
        if prefill.engine_was_idle {
            estimator.observe(running.load.prefill_tokens, now.saturating_sub(running.since));
        }
        let expected_ms = (prefill.ends_at + estimator.base_latency()).as_secs_f64() * 1e3
            + (self.drift_ms - prefill.drift_ms);
        self.add_drift((now.as_secs_f64() * 1e3 - expected_ms) * DRIFT_CORRECTION, now);
    }

    /// The prompt has left. What it had not read is not resident.
    pub fn end(&mut self, ticket: TicketId, now: BootTime) {
        let Some(running) = self.running.remove(&ticket) else { return };
        self.reserved_output_tokens -= running.load.output_tokens;
        for key in &running.load.parts {
            self.cache.release(*key);
            if running.prefill.is_some() {
                self.cache.discard(*key);
            }
        }
        if let Some(prefill) = running.prefill {
            let unread = prefill.ends_at.saturating_sub(now).min(prefill.duration);
            self.prefill_free_at = self.prefill_free_at.saturating_sub(unread).max(now);
        }
    }

    /// Forgets placements that were lost with their entries.
    pub fn expire_tickets(&mut self, now: BootTime) {
        let is_lost = |running: &RunningPrompt| now.saturating_sub(running.since) > TICKET_TTL;
        let lost: Vec<TicketId> =
            self.running.iter().filter(|(_, r)| is_lost(r)).map(|(ticket, _)| *ticket).collect();
        lost.into_iter().for_each(|ticket| self.end(ticket, now));
    }

    /// Takes the load that an answer tells.
    pub fn observe_load(&mut self, load: TargetLoad, now: BootTime) {
        let other_requests =
            (load.running + load.waiting).saturating_sub(self.running.len() as u32);
        self.reported_load = Some((other_requests, now));
    }

    /// Prompts that were placed here and have not ended.
    pub fn active_placements(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests that it runs or holds and that were not placed here.
    pub fn other_requests(&self, now: BootTime) -> f64 {
        self.reported_load.map_or(0.0, |(other_requests, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            f64::from(other_requests) * (1.0 - age / REPORTED_LOAD_TTL.as_secs_f64()).max(0.0)
        })
    }

    /// Tokens that its running prompts use or will use.
    pub fn committed_tokens(&self) -> u64 {
        self.cache.in_use_tokens() + self.reserved_output_tokens
    }

    fn add_drift(&mut self, by_ms: f64, now: BootTime) {
        self.drift_ms += by_ms;
        let by = Duration::from_secs_f64(by_ms.abs() / 1e3);
        self.prefill_free_at = match by_ms >= 0.0 {
            true => self.prefill_free_at.max(now) + by,
            false => self.prefill_free_at.saturating_sub(by),
        };
    }
}
