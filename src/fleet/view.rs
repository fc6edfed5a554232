//! An entry's view of the fleet: the listed targets, its own requests, and the state that answers
//! report.
//!
//! An entry uses few of the targets, so it keeps state only for these, and a change of the list
//! costs the targets that it concerns.

mod limits;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, LazyLock};

use rustc_hash::FxHashMap;

use super::cold::{ColdStart, Coldness};
use super::evacuation::{EvacuatedDomains, Evacuations};
use super::memory_share::{EngineMemory, ReportedRequests, ServiceMemory};
use super::rate::RateLimit;
use super::ring::TargetRing;
use super::roster::{ABSENT_TTL_LISTS, Listed, Presence, RETIRED_TTL_LISTS, Roster, RosterChange};
use super::software::SoftwareVersions;
use super::speed::ServiceSpeed;
use super::target_table::TargetTable;
use super::usage::TargetUsage;
use crate::clock::BootTime;
use crate::deployment::{Service, ServiceRole};
use crate::gateway::metadata::TargetLoad;
use crate::ids::{ModelId, ServiceId, TargetStart};
pub use crate::route::health::FailureCause;
use crate::route::health::Health;

static UNUSED: LazyLock<TargetUsage> = LazyLock::new(TargetUsage::default);

/// The targets known to an entry.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    listed: TargetTable,
    /// Targets that this entry has used or that have begun to leave. Invariant: each is listed, or
    /// requests of this entry run there.
    used: FxHashMap<TargetStart, TargetUsage>,
    /// Targets that take work, by service.
    in_service: HashMap<ServiceId, TargetRing>,
    /// Listed targets that are listed as leaving.
    listed_leaving: BTreeSet<TargetStart>,
    /// Targets that are ejected or on trial.
    unhealthy: BTreeSet<TargetStart>,
    /// Starts announced as leaving, with the number of lists since they were last announced or
    /// listed. They may be listed later, or again.
    announced_leaving: FxHashMap<TargetStart, u32>,
    evacuated: EvacuatedDomains,
    /// The software versions of the listed targets.
    software: SoftwareVersions,
    /// What the targets of each service bear while they are cold. Services without limit are absent.
    cold_starts: HashMap<ServiceId, ColdStart>,
    /// What is known of the engines' memory, by service.
    memory: HashMap<ServiceId, ServiceMemory>,
    /// What the speeds of each service's targets have in common. Services of which none was reported
    /// are absent.
    speeds: HashMap<ServiceId, ServiceSpeed>,
}

/// A target and its load and health as seen by an entry.
#[derive(Clone, Copy, Debug)]
pub struct TargetState<'a> {
    pub listed: &'a Listed,
    /// Version of each model's weights that it is believed to run.
    pub weights: &'a BTreeMap<ModelId, u64>,
    /// Requests of this entry that it runs or queues.
    pub running: u32,
    /// Prompt tokens of requests whose prefill has not ended.
    pub prefill_tokens: u64,
    pub health: Health,
    usage: &'a TargetUsage,
}

/// A request that was sent to a target. It must be returned with `FleetView::end`.
#[derive(Debug)]
#[must_use = "return it with `FleetView::end`"]
pub struct Dispatch {
    pub target: TargetStart,
    /// Tokens of its prompt; `None` once the prefill has ended.
    prefill_tokens: Option<u64>,
    /// Tokens that it holds there.
    held_tokens: u64,
}

impl FleetView {
    pub fn update(&mut self, roster: &Roster) {
        self.apply(self.listed.change_to(roster.targets()));
    }

    /// Applies the change to a newer roster.
    pub fn apply(&mut self, change: RosterChange) {
        for start in &change.gone {
            self.remove_listed(start);
        }
        for listed in change.changed {
            self.insert_listed(listed);
        }
        self.expire_announcements();
    }

    pub fn listed(&self) -> &TargetTable {
        &self.listed
    }

    /// Listed targets that are listed as leaving.
    pub fn listed_leaving(&self) -> &BTreeSet<TargetStart> {
        &self.listed_leaving
    }

    /// The software versions of the listed targets.
    pub fn software(&self) -> &SoftwareVersions {
        &self.software
    }

    /// Completes a change of the listed targets. Returns whether settled services have another software version
    /// now.
    pub fn software_changed(&mut self, now: BootTime) -> bool {
        self.software.changed(now)
    }

    /// Adds targets from a partially received list.
    pub fn add_partial(&mut self, targets: &[Arc<Listed>]) {
        for listed in targets {
            if self.listed.get(&listed.start).is_none() {
                self.insert_listed(listed.clone());
            }
        }
    }

    fn insert_listed(&mut self, listed: Arc<Listed>) {
        let start = listed.start.clone();
        let before = self.listed.insert(listed.clone());
        before.iter().for_each(|before| self.software.remove(before));
        self.software.add(&listed);
        // Another start of the target ends when a later one is listed under its id.
        let (earlier_start, before) = match before {
            Some(before) if before.start != start => (Some(before), None),
            before => (None, before),
        };
        earlier_start.into_iter().for_each(|earlier| self.unlist(earlier));
        // Its service may have changed.
        before.iter().for_each(|before| self.withdraw(before));
        let is_announced = before.is_none() && self.announced_leaving.contains_key(&start);
        match self.used.get_mut(&start) {
            Some(usage) => usage.relisted(before.as_deref(), &listed),
            None if is_announced || listed.presence == Presence::Leaving => {
                let usage = TargetUsage { is_leaving: true, ..TargetUsage::default() };
                self.used.insert(start.clone(), usage);
            }
            None => {}
        }
        match listed.presence {
            Presence::Leaving => drop(self.listed_leaving.insert(start)),
            Presence::Live => drop(self.listed_leaving.remove(&start)),
        }
        self.index(&listed);
    }

    fn remove_listed(&mut self, start: &TargetStart) {
        if let Some(listed) = self.listed.remove(start) {
            self.software.remove(&listed);
            self.unlist(listed);
        }
    }

    /// Forgets a target that is no longer listed, unless requests run there.
    fn unlist(&mut self, listed: Arc<Listed>) {
        let start = &listed.start;
        self.listed_leaving.remove(start);
        self.withdraw(&listed);
        match self.used.get_mut(start) {
            Some(usage) if usage.running > 0 => usage.unlisted = Some(listed),
            _ => self.forget(&listed.start),
        }
    }

    fn forget(&mut self, start: &TargetStart) {
        self.used.remove(start);
        self.unhealthy.remove(start);
    }

    /// Adds a listed target to those that take work, or removes it from them.
    fn index(&mut self, listed: &Arc<Listed>) {
        let is_leaving = self.used.get(&listed.start).is_some_and(|usage| usage.is_leaving);
        let takes_work = !is_leaving && !self.evacuated.contains(&listed.failure_domain);
        if takes_work {
            let ring = self.in_service.entry(listed.service.clone()).or_default();
            ring.insert(listed.clone());
        } else {
            self.withdraw(listed);
        }
    }

    /// Removes a target from those that take work.
    fn withdraw(&mut self, listed: &Listed) {
        if let Some(ring) = self.in_service.get_mut(&listed.service) {
            ring.remove(&listed.start);
        }
    }

    /// Applies a record of evacuated failure domains. Returns whether it was later than the known
    /// one.
    pub fn observe_evacuations(&mut self, record: &Evacuations, now: BootTime) -> bool {
        let is_later = self.evacuated.update(record, now);
        if is_later {
            self.evacuated.log_applied();
            let listed: Vec<Arc<Listed>> = self.listed.iter().cloned().collect();
            listed.iter().for_each(|listed| self.index(listed));
        }
        is_later
    }

    pub fn evacuated(&self) -> &EvacuatedDomains {
        &self.evacuated
    }

    /// Applies the services of a deployment.
    pub fn observe_services(&mut self, services: &BTreeMap<ServiceId, Service>) {
        let limited = services.iter().filter_map(|(id, s)| Some((id.clone(), s.cold_start?)));
        self.cold_starts = limited.collect();
        self.memory.retain(|id, _| services.contains_key(id));
        for (id, service) in services {
            if let ServiceRole::Engines(spec) = &service.role {
                self.memory.entry(id.clone()).or_default().capacity_tokens = spec.capacity_tokens;
            }
        }
    }

    /// What this entry believes of an engine's memory; `None` if its capacity is unknown.
    pub fn engine_memory(&self, state: &TargetState<'_>, now: BootTime) -> Option<EngineMemory> {
        let memory = self.memory.get(&state.listed.service)?;
        memory.of_engine(state.usage.held_tokens, state.usage.reported_load, now)
    }

    fn memory_of(&mut self, target: &TargetStart) -> Option<&mut ServiceMemory> {
        let unlisted = || self.used.get(target)?.unlisted.as_ref();
        let listed = self.listed.get(target).or_else(unlisted)?;
        self.memory.get_mut(&listed.service)
    }

    /// Targets of a service that take work.
    pub fn live(&self, service: &str) -> impl Iterator<Item = TargetState<'_>> {
        let rings = self.in_service.get(service).into_iter();
        rings.flat_map(TargetRing::iter).map(|listed| self.state(listed))
    }

    /// The same, in the order of the service's hash ring from the point of a key on.
    pub fn live_from(&self, service: &str, key: u64) -> impl Iterator<Item = TargetState<'_>> {
        let rings = self.in_service.get(service).into_iter();
        rings.flat_map(move |ring| ring.iter_from(key)).map(|listed| self.state(listed))
    }

    /// Number of targets of a service that take work.
    pub fn live_count(&self, service: &str) -> usize {
        self.in_service.get(service).map_or(0, TargetRing::len)
    }

    /// Targets of a service that take work but no further request now, since they are ejected or on
    /// trial.
    pub fn rejecting(&self, service: &str, now: BootTime) -> impl Iterator<Item = &TargetStart> {
        self.unhealthy.iter().filter(move |start| {
            self.get(start).is_some_and(|state| {
                state.listed.service == service
                    && self.takes_work(start)
                    && !state.health.admits(state.running, now)
            })
        })
    }

    pub fn get(&self, start: &TargetStart) -> Option<TargetState<'_>> {
        let unlisted = || self.used.get(start)?.unlisted.as_ref();
        self.listed.get(start).or_else(unlisted).map(|listed| self.state(listed))
    }

    fn state<'a>(&'a self, listed: &'a Listed) -> TargetState<'a> {
        let usage = self.used.get(&listed.start).unwrap_or(&UNUSED);
        TargetState {
            listed,
            weights: usage.reported_weights.as_ref().unwrap_or(&listed.weights),
            running: usage.running,
            prefill_tokens: usage.prefill_tokens,
            health: usage.health,
            usage,
        }
    }

    /// The state of a target, which is created at its first use. `None` if the target is unknown.
    fn usage_mut(&mut self, target: &TargetStart) -> Option<&mut TargetUsage> {
        if self.listed.get(target).is_some() {
            return Some(self.used.entry(target.clone()).or_default());
        }
        self.used.get_mut(target)
    }

    /// Records that a request is sent to a target, with the tokens of its prompt.
    pub fn begin(&mut self, target: &TargetStart, prefill_tokens: u64) -> Dispatch {
        self.begin_prompt(target, prefill_tokens, 0)
    }

    /// Records that a prompt is sent to an engine, with the most tokens that may be generated.
    pub fn begin_prompt(
        &mut self,
        target: &TargetStart,
        prompt_tokens: u64,
        output_tokens: u64,
    ) -> Dispatch {
        let held_tokens = prompt_tokens + output_tokens;
        if let Some(usage) = self.usage_mut(target) {
            usage.running += 1;
            usage.prefill_tokens += prompt_tokens;
            usage.held_tokens += held_tokens;
        }
        if held_tokens > 0
            && let Some(memory) = self.memory_of(target)
        {
            memory.begin(held_tokens);
        }
        Dispatch { target: target.clone(), prefill_tokens: Some(prompt_tokens), held_tokens }
    }

    /// Records that a request's prefill has ended. Returns false if it was already recorded.
    pub fn end_prefill(&mut self, dispatch: &mut Dispatch) -> bool {
        let Some(tokens) = dispatch.prefill_tokens.take() else { return false };
        if let Some(usage) = self.used.get_mut(&dispatch.target) {
            usage.prefill_tokens = usage.prefill_tokens.saturating_sub(tokens);
        }
        true
    }

    /// Records that a request has left a target.
    pub fn end(&mut self, mut dispatch: Dispatch) {
        self.end_prefill(&mut dispatch);
        if let Some(memory) = self.memory_of(&dispatch.target) {
            memory.end(dispatch.held_tokens);
        }
        let Some(usage) = self.used.get_mut(&dispatch.target) else { return };
        usage.running = usage.running.saturating_sub(1);
        usage.held_tokens = usage.held_tokens.saturating_sub(dispatch.held_tokens);
        if usage.running == 0 && usage.unlisted.is_some() {
            self.forget(&dispatch.target);
        }
    }

    /// Records the load that a target's answer reports.
    pub fn observe_load(&mut self, target: &TargetStart, load: TargetLoad, now: BootTime) {
        let Some(usage) = self.usage_mut(target) else { return };
        let others = (load.running + load.waiting).saturating_sub(usage.running);
        usage.reported_load = Some(ReportedRequests { others, at: now });
        if let Some(memory) = self.memory_of(target) {
            memory.record_others(others);
        }
        if let Some(percent) = load.work_time_percent {
            self.observe_figure(target, percent, now);
        }
    }

    fn observe_figure(&mut self, target: &TargetStart, work_time_percent: u16, now: BootTime) {
        // A start that is no longer listed says nothing of the targets that take work.
        let Some(listed) = self.listed.get(target) else { return };
        let service = self.speeds.entry(listed.service.clone()).or_default();
        if let Some(usage) = self.used.get_mut(target) {
            usage.speed.observe_figure(work_time_percent, service, now);
        }
    }

    /// What the speeds of a service's targets have in common.
    pub fn service_speed(&self, service: &str) -> ServiceSpeed {
        self.speeds.get(service).copied().unwrap_or_default()
    }

    /// Records a successful answer to a request that was sent at `sent_at`.
    pub fn succeeded(&mut self, target: &TargetStart, sent_at: BootTime, now: BootTime) {
        self.update_health(target, Health::record_success);
        self.update_coldness(target, |coldness, limit| coldness.answered(limit, sent_at, now));
    }

    pub fn failed(&mut self, target: &TargetStart, cause: FailureCause, now: BootTime) {
        self.update_health(target, |health| health.record_failure(cause, now));
    }

    /// Records that a target can't be reached and may have ended.
    pub fn unreachable(&mut self, target: &TargetStart, now: BootTime) {
        self.update_health(target, |health| health.record_unreachable(now));
        self.may_have_restarted(target, now);
    }

    /// Records that a connection broke before the end of an answer.
    pub fn connection_lost(&mut self, target: &TargetStart, now: BootTime) {
        self.update_health(target, |health| health.record_failure(FailureCause::Connection, now));
        self.may_have_restarted(target, now);
    }

    /// Records that a target can't be reached while the path of this entry may be lost.
    pub fn path_failed(&mut self, target: &TargetStart, now: BootTime) {
        self.update_health(target, |health| health.record_unreachable(now));
    }

    /// Readmits the targets of a service that could not be reached.
    pub fn path_restored(&mut self, service: &str) {
        let unreachable: Vec<TargetStart> = self.unreachable_targets(service).cloned().collect();
        for target in &unreachable {
            self.update_health(target, Health::record_reached);
        }
    }

    /// Number of targets of a service that take work but can't be reached.
    pub fn unreachable_count(&self, service: &str) -> usize {
        self.unreachable_targets(service).count()
    }

    /// Targets of a service that take work but can't be reached.
    fn unreachable_targets(&self, service: &str) -> impl Iterator<Item = &TargetStart> {
        self.unhealthy.iter().filter(move |start| {
            self.get(start).is_some_and(|state| {
                state.listed.service == service
                    && state.health.is_unreachable()
                    && self.takes_work(start)
            })
        })
    }

    /// Records that a target closed all idle connections before their timeout. Returns whether it is
    /// cold after a start.
    pub fn idle_connections_lost(&mut self, target: &TargetStart, now: BootTime) -> bool {
        self.update_coldness(target, |coldness, limit| coldness.may_have_ended(limit, now))
    }

    /// Records news that a target may have restarted at `at`.
    pub fn may_have_restarted(&mut self, target: &TargetStart, at: BootTime) {
        self.update_coldness(target, |coldness, limit| coldness.may_have_ended(limit, at));
    }

    /// Whether the targets of this one's service bear only a low rate after a start.
    pub fn is_paced_when_cold(&self, target: &TargetStart) -> bool {
        self.get(target).is_some_and(|state| self.cold_starts.contains_key(&state.listed.service))
    }

    fn update_health(&mut self, target: &TargetStart, change: impl FnOnce(&mut Health)) {
        let Some(usage) = self.usage_mut(target) else { return };
        change(&mut usage.health);
        match usage.health.is_unhealthy() {
            true => drop(self.unhealthy.insert(target.clone())),
            false => drop(self.unhealthy.remove(target)),
        }
    }

    /// Returns false if the target is unknown or its service bears full load after a start.
    fn update_coldness(
        &mut self,
        target: &TargetStart,
        change: impl FnOnce(&mut Coldness, &ColdStart),
    ) -> bool {
        let Some(state) = self.get(target) else { return false };
        let Some(limit) = self.cold_starts.get(&state.listed.service).copied() else {
            return false;
        };
        let Some(usage) = self.usage_mut(target) else { return false };
        change(&mut usage.coldness, &limit);
        true
    }

    /// Records that another target answers at a target's address, so this start has ended.
    pub fn replaced(&mut self, target: &TargetStart) {
        self.mark_one_leaving(target);
    }

    /// Records announcements that targets leave, whether or not they are listed here.
    pub fn mark_leaving<'a>(&mut self, targets: impl Iterator<Item = &'a TargetStart>) {
        for target in targets {
            self.announced_leaving.insert(target.clone(), 0);
            self.mark_one_leaving(target);
        }
    }

    fn mark_one_leaving(&mut self, target: &TargetStart) {
        let Some(usage) = self.usage_mut(target) else { return };
        usage.is_leaving = true;
        if let Some(listed) = self.listed.get(target).cloned() {
            self.index(&listed);
        }
    }

    /// Whether a target was announced as leaving, so that its end is expected.
    pub fn is_known_to_leave(&self, target: &TargetStart) -> bool {
        self.announced_leaving.contains_key(target)
    }

    /// Forgets announcements as the roster forgets retired starts.
    fn expire_announcements(&mut self) {
        let listed = &self.listed;
        self.announced_leaving.retain(|start, lists| {
            *lists = if listed.get(start).is_some() { 0 } else { *lists + 1 };
            let is_listed = listed.get_by_id(&start.id).is_some();
            let ttl = if is_listed { RETIRED_TTL_LISTS } else { ABSENT_TTL_LISTS };
            *lists < ttl
        });
    }

    /// Whether a target takes new work.
    pub fn takes_work(&self, target: &TargetStart) -> bool {
        let ring = self.listed.get(target).and_then(|listed| self.in_service.get(&listed.service));
        ring.is_some_and(|ring| ring.contains(target))
    }

    /// Records the weight version that a target's answer reports.
    pub fn observe_weights(&mut self, target: &TargetStart, model: &ModelId, version: u64) {
        // Answers may arrive out of order, and the weights of a start only rise.
        let is_later =
            |state: &TargetState<'_>| state.weights.get(model).is_none_or(|known| version > *known);
        if self.get(target).is_some_and(|state| is_later(&state)) {
            self.set_weights(target, model, Some(version));
        }
    }

    /// Records that a target refused a prompt since it runs other weights, which it may report.
    pub fn refused_weights(&mut self, target: &TargetStart, model: &ModelId, has: Option<u64>) {
        self.set_weights(target, model, has);
    }

    fn set_weights(&mut self, target: &TargetStart, model: &ModelId, version: Option<u64>) {
        let Some(mut weights) = self.get(target).map(|state| state.weights.clone()) else { return };
        match version {
            Some(version) => drop(weights.insert(model.clone(), version)),
            None => drop(weights.remove(model)),
        }
        if let Some(usage) = self.usage_mut(target) {
            usage.reported_weights = Some(weights);
        }
    }
}

impl TargetState<'_> {
    /// Estimated number of requests of all entries that it runs or queues.
    pub fn load(&self, now: BootTime) -> f64 {
        self.usage.load(now)
    }

    /// How many times as long as usual for its service work takes here.
    pub fn time_factor(&self, service: &ServiceSpeed, now: BootTime) -> f64 {
        self.usage.speed.time_factor(service, now)
    }

    /// The rate limit that its answers name.
    pub fn named_limit(&self) -> Option<RateLimit> {
        self.usage.named_limit.get()
    }

    fn coldness(&self) -> Coldness {
        let mut coldness = self.usage.coldness;
        coldness.set_listed(self.listed.is_cold);
        coldness
    }
}
