//! One engine as the scheduler sees it.

use std::collections::HashMap;
use std::time::Duration;

use super::memory::{Memory, PartKey};
use super::messages::TicketId;
use crate::clock::BootTime;
use crate::fleet::Listed;
use crate::gateway::call::TargetLoad;
use crate::route::health::Health;

/// A load that answers tell counts for less and less, and for nothing after this time: about how
/// long a prompt runs.
const LOAD_LASTS: Duration = Duration::from_millis(800);
/// A placement that nobody has ended after this time was lost with its entry.
const TICKET_LASTS: Duration = Duration::from_secs(20);

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// As it was last listed.
    pub listed: Listed,
    /// The weights that it runs, as last heard of.
    pub weight_version: Option<u64>,
    /// Its memory.
    pub memory: Memory,
    /// Its soundness.
    pub health: Health,
    /// Tokens that it holds at the most.
    pub capacity_tokens: u64,
    running: HashMap<TicketId, Running>,
    unread_tokens: u64,
    /// Tokens that running prompts may still generate.
    generated_tokens: u64,
    reported: Option<(u32, BootTime)>,
    /// When the fetches that were granted end, if they run one after another.
    pub link_free_at: BootTime,
}

/// A prompt at an engine.
#[derive(Clone, Debug)]
pub struct Running {
    /// Its parts.
    pub parts: Vec<PartKey>,
    /// Tokens that the engine must still read.
    pub unread_tokens: u64,
    /// Tokens that it may generate.
    pub output_tokens: u64,
    /// When it was placed.
    pub since: BootTime,
}

impl Engine {
    /// An engine that runs nothing.
    pub fn new(listed: Listed, weight_version: Option<u64>, capacity_tokens: u64) -> Engine {
        Engine {
            listed,
            weight_version,
            memory: Memory::new(capacity_tokens),
            health: Health::default(),
            capacity_tokens,
            running: HashMap::new(),
            unread_tokens: 0,
            generated_tokens: 0,
            reported: None,
            link_free_at: BootTime::ZERO,
        }
    }

    /// Sets the weights that it runs. Others leave nothing of what was resident.
    pub fn set_weights(&mut self, version: Option<u64>) {
        if version.is_some() && self.weight_version != version {
            self.weight_version = version;
            self.memory = Memory::new(self.capacity_tokens);
        }
    }

    /// Takes a prompt.
    pub fn begin(&mut self, ticket: TicketId, running: Running) {
        self.unread_tokens += running.unread_tokens;
        self.generated_tokens += running.output_tokens;
        self.running.insert(ticket, running);
    }

    /// The prompt has been read.
    pub fn has_read(&mut self, ticket: TicketId) -> Option<BootTime> {
        let running = self.running.get_mut(&ticket)?;
        self.unread_tokens -= std::mem::take(&mut running.unread_tokens);
        Some(running.since)
    }

    /// The prompt has left. What it had not read is not resident.
    pub fn end(&mut self, ticket: TicketId) {
        let Some(running) = self.running.remove(&ticket) else { return };
        self.unread_tokens -= running.unread_tokens;
        self.generated_tokens -= running.output_tokens;
        for key in &running.parts {
            self.memory.end_use(*key);
            if running.unread_tokens > 0 {
                self.memory.forget(*key);
            }
        }
    }

    /// Forgets placements that were lost with their entries.
    pub fn forget_lost(&mut self, now: BootTime) {
        let is_lost = |running: &Running| now.saturating_sub(running.since) > TICKET_LASTS;
        let lost: Vec<TicketId> =
            self.running.iter().filter(|(_, r)| is_lost(r)).map(|(ticket, _)| *ticket).collect();
        lost.into_iter().for_each(|ticket| self.end(ticket));
    }

    /// Takes the load that an answer tells.
    pub fn reported(&mut self, load: TargetLoad, now: BootTime) {
        let others = (load.running + load.waiting).saturating_sub(self.running.len() as u32);
        self.reported = Some((others, now));
    }

    /// Prompts that were placed here and have not ended.
    pub fn placed(&self) -> usize {
        self.running.len()
    }

    /// Requests that it runs or holds and that were not placed here.
    pub fn others(&self, now: BootTime) -> f64 {
        self.reported.map_or(0.0, |(others, at)| {
            let age = now.saturating_sub(at).as_secs_f64();
            f64::from(others) * (1.0 - age / LOAD_LASTS.as_secs_f64()).max(0.0)
        })
    }

    /// Tokens that it must still read.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Tokens that its running prompts use or will use.
    pub fn busy_tokens(&self) -> u64 {
        self.memory.in_use() + self.generated_tokens
    }
}
