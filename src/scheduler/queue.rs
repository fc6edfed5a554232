//! Queue of prompts that wait for an engine. `competition` has their order; each waits for at most
//! as long as its caller does.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::competition::Competition;
use super::messages::PlacementRequest;
use super::placement_rate::Supply;
use crate::clock::BootTime;
use crate::ids::ServiceId;

/// Identifies a queued prompt.
pub type WaiterId = u64;

/// The longest wait leaves this multiple of the expected time from placement to first token.
const SERVICE_TIME_RESERVE: f64 = 1.5;
/// The longest wait leaves this for the way of the first token to the caller.
const DELIVERY_RESERVE: Duration = Duration::from_millis(100);
/// Longest wait of prompts that continue a stream. The caller has waited for its next event since
/// an unknown time, and gives up after 2 s at the earliest.
const MAX_CONTINUING_WAIT: Duration = Duration::from_secs(1);
/// The caller of a stream gives up after a gap of this, or of these multiples of the objectives
/// for the first token and for pauses, whichever is longest.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_PER_OBJECTIVE: u32 = 4;
const PATIENCE_PER_EVENT_GAP: u32 = 8;

#[derive(Clone, Debug)]
pub struct QueuedPrompt {
    pub waiter: WaiterId,
    pub request: PlacementRequest,
    /// When it was submitted.
    pub since: BootTime,
    /// Expected time from its placement to the first token.
    pub service_time: Duration,
}

impl QueuedPrompt {
    /// Whether it goes on with a stream and only the engines may take it that may take `other`.
    pub fn needs_same_engines(&self, other: &QueuedPrompt) -> bool {
        self.request.software.is_some()
            && self.request.software == other.request.software
            && self.request.service == other.request.service
    }

    /// From when on it can't be in time if it has not been placed.
    pub fn late_from(&self) -> BootTime {
        let objective = self.request.objective;
        if objective.is_zero() {
            return BootTime::MAX;
        }
        // Engines with a backlog aren't counted on: a prompt that is given up too early is late for sure.
        (self.since + objective).saturating_sub(self.request.elapsed + self.service_time)
    }

    /// When it is refused if it has not been placed: the first token would come after its caller
    /// has given up.
    pub fn expires_at(&self) -> BootTime {
        let request = &self.request;
        if request.software.is_some() {
            return self.since + MAX_CONTINUING_WAIT.min(request.time_left);
        }
        let by_objective = request.objective * PATIENCE_PER_OBJECTIVE;
        let by_gap = request.max_event_gap.unwrap_or_default() * PATIENCE_PER_EVENT_GAP;
        let patience = MIN_CALLER_PATIENCE.max(by_objective).max(by_gap);
        let left = patience.saturating_sub(request.elapsed).min(request.time_left);
        let reserve = self.service_time.mul_f64(SERVICE_TIME_RESERVE) + DELIVERY_RESERVE;
        self.since + left.saturating_sub(reserve)
    }
}

/// Prompts that wait for an engine.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: FxHashMap<WaiterId, QueuedPrompt>,
    /// When each is refused.
    expiries: BTreeSet<(BootTime, WaiterId)>,
    services: BTreeMap<ServiceId, Competition>,
}

impl Queue {
    /// Adds a prompt, or puts back one that could not be placed.
    pub fn add(&mut self, queued: QueuedPrompt, now: BootTime) {
        self.competition(&queued.request.service).insert(&queued, now);
        self.expiries.insert((queued.expires_at(), queued.waiter));
        self.waiting.insert(queued.waiter, queued);
    }

    /// Removes a prompt whose caller has left.
    pub fn withdraw(&mut self, waiter: WaiterId) {
        self.remove(waiter);
    }

    /// Removes a prompt.
    pub fn remove(&mut self, waiter: WaiterId) -> Option<QueuedPrompt> {
        let queued = self.waiting.remove(&waiter)?;
        self.expiries.remove(&(queued.expires_at(), waiter));
        if let Some(competition) = self.services.get_mut(&queued.request.service) {
            competition.remove(waiter);
        }
        Some(queued)
    }

    /// Removes and returns prompts that have reached their wait limit.
    pub fn drain_expired(&mut self, now: BootTime) -> Vec<QueuedPrompt> {
        let mut expired = Vec::new();
        while let Some((at, waiter)) = self.expiries.first().copied()
            && at <= now
        {
            self.expiries.remove(&(at, waiter));
            expired.extend(self.remove(waiter));
        }
        expired
    }

    /// Services with waiting prompts.
    pub fn waiting_services(&self) -> Vec<ServiceId> {
        let waiting = self.services.iter().filter(|(_, competition)| !competition.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Removes and returns the prompt of a service to place next. Of those that continue a stream,
    /// it is one that `may_pop` accepts.
    pub fn pop_next(
        &mut self,
        service: &str,
        may_pop: impl Fn(&QueuedPrompt) -> bool,
        now: BootTime,
    ) -> Option<QueuedPrompt> {
        let waiting = &self.waiting;
        let may_take = |waiter: WaiterId| waiting.get(&waiter).is_some_and(&may_pop);
        let waiter = self.services.get_mut(service)?.next(may_take, now)?;
        self.remove(waiter)
    }

    /// The competition for the engines of a service.
    pub fn competition(&mut self, service: &str) -> &mut Competition {
        self.services.entry(service.to_string()).or_default()
    }

    /// The same, if any prompt was submitted for the service.
    pub fn known_competition(&self, service: &str) -> Option<&Competition> {
        self.services.get(service)
    }

    /// Waiting prompts of a service that are not expected to be served while their callers wait.
    pub fn hopeless(
        &self,
        service: &str,
        supply: &Supply,
        margin: f64,
        now: BootTime,
    ) -> Vec<WaiterId> {
        let Some(competition) = self.services.get(service) else { return Vec::new() };
        competition.hopeless(&self.waiting, supply, margin, now)
    }

    /// Number of waiting prompts by urgency.
    pub fn lengths(&self) -> BTreeMap<u8, usize> {
        let mut lengths = BTreeMap::new();
        for (priority, len) in self.services.values().flat_map(Competition::lengths) {
            *lengths.entry(priority).or_default() += len;
        }
        lengths
    }

    /// Whether any prompt waits for an engine of a service.
    pub fn has_waiting(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|competition| !competition.is_empty())
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
