//! One engine as the scheduler sees it.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::engine_cache::{EngineCache, PartKey};
use super::link::Link;
use super::messages::TicketId;
use super::pace::Pace;
use crate::clock::BootTime;
use crate::fleet::Listed;
use crate::gateway::call::TargetLoad;
use crate::route::health::Health;

/// A load that answers tell counts for less and less, and for nothing after this time: about how
/// long a prompt runs.
const LOAD_LASTS: Duration = Duration::from_millis(800);
/// A placement that nobody has ended after this time was lost with its entry.
const TICKET_LASTS: Duration = Duration::from_secs(20);
/// How much of an error in the expected end of reading corrects what is expected next.
const CORRECTED_PART: f64 = 0.5;

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
    read_free_at: BootTime,
    /// By how much it has fallen behind what was expected, in all.
    slipped_ms: f64,
    running: FxHashMap<TicketId, Running>,
    /// Tokens that running prompts may still generate.
    generated_tokens: u64,
    reported: Option<(u32, BootTime)>,
}

/// A prompt for an engine.
#[derive(Clone, Debug)]
pub struct Load {
    /// Its parts.
    pub parts: Vec<PartKey>,
    /// Tokens that the engine must read.
    pub read_tokens: u64,
    /// Tokens that it may generate.
    pub output_tokens: u64,
    /// How long fetches of parts of it take before it is read.
    pub fetch: Duration,
}

#[derive(Clone, Debug)]
struct Running {
    load: Load,
    since: BootTime,
    /// What is expected of its reading, until it has been read.
    reading: Option<Reading>,
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    takes: Duration,
    until: BootTime,
    /// The engine's slip when `until` was worked out.
    slipped_ms: f64,
    found_idle: bool,
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
            read_free_at: BootTime::ZERO,
            slipped_ms: 0.0,
            running: FxHashMap::default(),
            generated_tokens: 0,
            reported: None,
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
    pub fn reads_for(&self, now: BootTime) -> Duration {
        self.read_free_at.saturating_sub(now)
    }

    /// Takes a prompt.
    pub fn begin(&mut self, ticket: TicketId, load: Load, pace: &Pace, now: BootTime) {
        let takes = pace.reading(load.read_tokens);
        let found_idle = self.running.is_empty() && self.others(now) < 0.5 && load.fetch.is_zero();
        // Others are read while it is fetched.
        let until = self.read_free_at.max(now + load.fetch) + takes;
        self.read_free_at = self.read_free_at.max(now) + takes;
        let slipped_ms = self.slipped_ms;
        let reading = Reading { takes, until, slipped_ms, found_idle };
        self.generated_tokens += load.output_tokens;
        self.running.insert(ticket, Running { load, since: now, reading: Some(reading) });
    }

    /// The prompt has been read.
    pub fn has_read(&mut self, ticket: TicketId, pace: &mut Pace, now: BootTime) {
        let Some(running) = self.running.get_mut(&ticket) else { return };
        let Some(reading) = running.reading.take() else { return };
        running.load.parts.iter().for_each(|key| self.cache.mark_computed(*key));
        if reading.found_idle {
            pace.measured(running.load.read_tokens, now.saturating_sub(running.since));
        }
        let expected_ms = (reading.until + pace.base()).as_secs_f64() * 1e3
            + (self.slipped_ms - reading.slipped_ms);
        self.slip((now.as_secs_f64() * 1e3 - expected_ms) * CORRECTED_PART, now);
    }

    /// The prompt has left. What it had not read is not resident.
    pub fn end(&mut self, ticket: TicketId, now: BootTime) {
        let Some(running) = self.running.remove(&ticket) else { return };
        self.generated_tokens -= running.load.output_tokens;
        for key in &running.load.parts {
            self.cache.release(*key);
            if running.reading.is_some() {
                self.cache.discard(*key);
            }
        }
        if let Some(reading) = running.reading {
            let unread = reading.until.saturating_sub(now).min(reading.takes);
            self.read_free_at = self.read_free_at.saturating_sub(unread).max(now);
        }
    }

    /// Forgets placements that were lost with their entries.
    pub fn forget_lost(&mut self, now: BootTime) {
        let is_lost = |running: &Running| now.saturating_sub(running.since) > TICKET_LASTS;
        let lost: Vec<TicketId> =
            self.running.iter().filter(|(_, r)| is_lost(r)).map(|(ticket, _)| *ticket).collect();
        lost.into_iter().for_each(|ticket| self.end(ticket, now));
    }

    /// Takes the load that an answer tells.
    pub fn reported(&mut self, load: TargetLoad, now: BootTime) {
        let others = (load.running + load.waiting).saturating_sub(self.running.len() as u32);
        self.reported = Some((others, now));
    }

    /// Prompts that were placed here and have not ended.
    pub fn placed(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests that it runs or holds and that were not placed here.
    pub fn others(&self, now: BootTime) -> f64 {
        self.reported.map_or(0.0, |(others, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            f64::from(others) * (1.0 - age / LOAD_LASTS.as_secs_f64()).max(0.0)
        })
    }

    /// Tokens that its running prompts use or will use.
    pub fn busy_tokens(&self) -> u64 {
        self.cache.in_use_tokens() + self.generated_tokens
    }

    fn slip(&mut self, by_ms: f64, now: BootTime) {
        self.slipped_ms += by_ms;
        let by = Duration::from_secs_f64(by_ms.abs() / 1e3);
        self.read_free_at = match by_ms >= 0.0 {
            true => self.read_free_at.max(now) + by,
            false => self.read_free_at.saturating_sub(by),
        };
    }
}
