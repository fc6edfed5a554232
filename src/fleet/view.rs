//! An entry's view of the fleet: the roster, its own requests, and the state that answers report.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::cold::{ColdStart, Coldness, IndependentShare, ShareUse};
use super::evacuation::{EvacuatedDomains, Evacuations};
use super::roster::{ABSENT_TTL_LISTS, Listed, Presence, RETIRED_TTL_LISTS, Roster};
use crate::clock::BootTime;
use crate::deployment::Service;
use crate::gateway::metadata::TargetLoad;
use crate::ids::{ModelId, ServiceId, TargetId, TargetStart};
pub use crate::route::health::FailureCause;
use crate::route::health::Health;

/// The influence of a reported load decays linearly to zero within this time: about how long a
/// request runs on an engine.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(600);

/// The targets known to an entry.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    targets: HashMap<TargetStart, TargetState>,
    /// Targets that take work, by service, sorted.
    by_service: HashMap<ServiceId, Vec<TargetStart>>,
    /// Starts announced as leaving, with the number of lists since they were last announced or
    /// listed. They may be listed later, or again.
    announced_leaving: HashMap<TargetStart, u32>,
    evacuated: EvacuatedDomains,
    /// What the targets of each service bear while they are cold. Services without limit are absent.
    cold_starts: HashMap<ServiceId, ColdStart>,
}

/// A target and its load and health as seen by this entry.
#[derive(Clone, Debug)]
pub struct TargetState {
    pub listed: Listed,
    /// Version of each model's weights that it is believed to run. Versions reported by the target
    /// take precedence over the list, which lags, until the list changes.
    pub weights: BTreeMap<ModelId, u64>,
    /// Requests of this entry that it runs or queues.
    pub running: u32,
    /// Prompt tokens of requests whose prefill has not ended.
    pub prefill_tokens: u64,
    pub health: Health,
    /// Whether it was listed as leaving or found to have ended. Not reset by later lists, which may
    /// lag, unless its address changes.
    is_leaving: bool,
    reported_load: Option<ReportedLoad>,
    coldness: Coldness,
    /// Requests that this entry has sent to it by its own decision while it was cold.
    cold_use: ShareUse,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    /// Requests of other entries at the time of the report.
    others: u32,
    at: BootTime,
}

/// A request that was sent to a target. It must be returned with `FleetView::end`.
#[derive(Debug)]
#[must_use = "return it with `FleetView::end`"]
pub struct Dispatch {
    pub target: TargetStart,
    /// Tokens of its prompt; `None` once the prefill has ended.
    prefill_tokens: Option<u64>,
}

impl FleetView {
    /// Applies a newer roster.
    pub fn update(&mut self, roster: &Roster) {
        self.expire_announcements(roster);
        self.targets.retain(|start, state| roster.get(start).is_some() || state.running > 0);
        for state in self.targets.values_mut() {
            if roster.get(&state.listed.start).is_none() {
                state.listed.presence = Presence::Leaving;
            }
        }
        for listed in roster.iter() {
            match self.targets.get_mut(&listed.start) {
                Some(state) => state.update(listed),
                None => {
                    let mut state = TargetState::new(listed);
                    if self.announced_leaving.contains_key(&listed.start) {
                        state.mark_leaving();
                    }
                    self.targets.insert(listed.start.clone(), state);
                }
            }
        }
        self.rebuild_index();
    }

    /// Applies a record of evacuated failure domains. Returns whether it was later than the known
    /// one.
    pub fn observe_evacuations(&mut self, record: &Evacuations, now: BootTime) -> bool {
        let is_later = self.evacuated.update(record, now);
        if is_later {
            self.evacuated.log_applied();
            self.rebuild_index();
        }
        is_later
    }

    /// The evacuated failure domains.
    pub fn evacuated(&self) -> &EvacuatedDomains {
        &self.evacuated
    }

    /// Applies the services of a deployment.
    pub fn observe_services(&mut self, services: &BTreeMap<ServiceId, Service>) {
        let limited = services.iter().filter_map(|(id, s)| Some((id.clone(), s.cold_start?)));
        self.cold_starts = limited.collect();
    }

    /// What a target bears now; `None` if it is not cold.
    pub fn cold_limit(&self, state: &TargetState, now: BootTime) -> Option<&ColdStart> {
        let cold_start = self.cold_starts.get(&state.listed.service)?;
        let domain = &state.listed.failure_domain;
        let is_cold = state.coldness.is_cold(now)
            || self.evacuated.was_restored(domain, cold_start.duration, now);
        is_cold.then_some(cold_start)
    }

    /// Whether this entry may send a request that no scheduler places to a target now. The
    /// scheduler uses the whole rate of cold engines.
    pub fn admits_independent(
        &self,
        state: &TargetState,
        is_prompt: bool,
        share: &IndependentShare,
        now: BootTime,
    ) -> bool {
        match self.cold_limit(state, now) {
            None => true,
            Some(_) if is_prompt => false,
            Some(limit) => share.admits(&state.listed.start, limit, state.cold_use, now),
        }
    }

    /// Records a request that no scheduler placed.
    pub fn record_independent(
        &mut self,
        target: &TargetStart,
        share: &IndependentShare,
        now: BootTime,
    ) {
        if let Some(state) = self.targets.get_mut(target) {
            share.record(&mut state.cold_use, now);
        }
    }

    /// Adds targets from a partially received list.
    pub fn add_partial(&mut self, listed_targets: &[Listed]) {
        for listed in listed_targets {
            self.targets.entry(listed.start.clone()).or_insert_with(|| TargetState::new(listed));
        }
        self.rebuild_index();
    }

    /// Targets of a service that take work.
    pub fn live(&self, service: &str) -> impl Iterator<Item = &TargetState> {
        let starts = self.by_service.get(service).into_iter().flatten();
        starts.filter_map(|start| self.targets.get(start))
    }

    pub fn get(&self, start: &TargetStart) -> Option<&TargetState> {
        self.targets.get(start)
    }

    /// Records that a request is sent to a target.
    pub fn begin(&mut self, target: &TargetStart, prefill_tokens: u64) -> Dispatch {
        if let Some(state) = self.targets.get_mut(target) {
            state.running += 1;
            state.prefill_tokens += prefill_tokens;
        }
        Dispatch { target: target.clone(), prefill_tokens: Some(prefill_tokens) }
    }

    /// Records that a request's prefill has ended. Returns false if it was already recorded.
    pub fn end_prefill(&mut self, dispatch: &mut Dispatch) -> bool {
        let Some(tokens) = dispatch.prefill_tokens.take() else { return false };
        if let Some(state) = self.targets.get_mut(&dispatch.target) {
            state.prefill_tokens = state.prefill_tokens.saturating_sub(tokens);
        }
        true
    }

    /// Records that a request has left a target.
    pub fn end(&mut self, mut dispatch: Dispatch) {
        self.end_prefill(&mut dispatch);
        if let Some(state) = self.targets.get_mut(&dispatch.target) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Records the load that a target's answer reports.
    pub fn observe_load(&mut self, target: &TargetStart, load: TargetLoad, now: BootTime) {
        if let Some(state) = self.targets.get_mut(target) {
            let others = (load.running + load.waiting).saturating_sub(state.running);
            state.reported_load = Some(ReportedLoad { others, at: now });
        }
    }

    /// Records a successful answer to a request that was sent at `sent_at`.
    pub fn succeeded(&mut self, target: &TargetStart, sent_at: BootTime, now: BootTime) {
        let Some(state) = self.targets.get_mut(target) else { return };
        state.health.record_success();
        if let Some(cold_start) = self.cold_starts.get(&state.listed.service) {
            state.coldness.answered(cold_start, sent_at, now);
        }
    }

    pub fn failed(&mut self, target: &TargetStart, cause: FailureCause, now: BootTime) {
        if let Some(state) = self.targets.get_mut(target) {
            state.health.record_failure(cause, now);
        }
    }

    pub fn unreachable(&mut self, target: &TargetStart, now: BootTime) {
        let Some(state) = self.targets.get_mut(target) else { return };
        state.health.record_unreachable(now);
        state.may_have_ended(&self.cold_starts, now);
    }

    /// Records that a connection broke before the end of an answer.
    pub fn connection_lost(&mut self, target: &TargetStart, now: BootTime) {
        let Some(state) = self.targets.get_mut(target) else { return };
        state.health.record_failure(FailureCause::Target, now);
        state.may_have_ended(&self.cold_starts, now);
    }

    /// Records that a target closed all idle connections before their timeout. Returns whether it is
    /// cold after a start.
    pub fn idle_connections_lost(&mut self, target: &TargetStart, now: BootTime) -> bool {
        let Some(state) = self.targets.get_mut(target) else { return false };
        state.may_have_ended(&self.cold_starts, now);
        self.cold_starts.contains_key(&state.listed.service)
    }

    /// Records that another target answers at a target's address, so this start has ended.
    pub fn replaced(&mut self, target: &TargetStart) {
        if self.targets.get_mut(target).is_some_and(TargetState::mark_leaving) {
            self.rebuild_index();
        }
    }

    /// Records announcements that targets leave, whether or not they are listed here.
    pub fn mark_leaving<'a>(&mut self, targets: impl Iterator<Item = &'a TargetStart>) {
        let mut changed = false;
        for target in targets {
            self.announced_leaving.insert(target.clone(), 0);
            changed |= self.targets.get_mut(target).is_some_and(TargetState::mark_leaving);
        }
        if changed {
            self.rebuild_index();
        }
    }

    /// Whether a target was announced as leaving, so that its end is expected.
    pub fn is_known_to_leave(&self, target: &TargetStart) -> bool {
        self.announced_leaving.contains_key(target)
    }

    /// Forgets announcements as the roster forgets retired starts.
    fn expire_announcements(&mut self, roster: &Roster) {
        let ids: HashSet<&TargetId> = roster.iter().map(|listed| &listed.start.id).collect();
        self.announced_leaving.retain(|start, lists| {
            *lists = if roster.get(start).is_some() { 0 } else { *lists + 1 };
            let is_listed = ids.contains(&start.id);
            let ttl = if is_listed { RETIRED_TTL_LISTS } else { ABSENT_TTL_LISTS };
            *lists < ttl
        });
    }

    /// Whether a target takes new work.
    pub fn takes_work(&self, target: &TargetStart) -> bool {
        self.get(target).is_some_and(|state| self.is_in_service(state))
    }

    fn is_in_service(&self, state: &TargetState) -> bool {
        let is_evacuated = self.evacuated.contains(&state.listed.failure_domain);
        state.listed.presence == Presence::Live && !is_evacuated
    }

    /// Records the weight version that a target's answer reports.
    pub fn observe_weights(&mut self, target: &TargetStart, model: &ModelId, version: u64) {
        if let Some(state) = self.targets.get_mut(target) {
            // Answers may arrive out of order, and the weights of a start only rise.
            let known = state.weights.entry(model.clone()).or_default();
            *known = version.max(*known);
        }
    }

    /// Records that a target refused a prompt since it runs other weights, which it may report.
    pub fn refused_weights(&mut self, target: &TargetStart, model: &ModelId, has: Option<u64>) {
        let Some(state) = self.targets.get_mut(target) else { return };
        match has {
            Some(version) => drop(state.weights.insert(model.clone(), version)),
            None => drop(state.weights.remove(model)),
        }
    }

    fn rebuild_index(&mut self) {
        let mut by_service: HashMap<ServiceId, Vec<TargetStart>> = HashMap::new();
        for state in self.targets.values().filter(|state| self.is_in_service(state)) {
            let starts = by_service.entry(state.listed.service.clone()).or_default();
            starts.push(state.listed.start.clone());
        }
        self.by_service = by_service;
        self.by_service.values_mut().for_each(|starts| starts.sort_unstable());
    }
}

impl TargetState {
    fn new(listed: &Listed) -> TargetState {
        TargetState {
            listed: listed.clone(),
            weights: listed.weights.clone(),
            running: 0,
            prefill_tokens: 0,
            health: Health::default(),
            is_leaving: listed.presence == Presence::Leaving,
            reported_load: None,
            coldness: Coldness::listed(listed.is_cold),
            cold_use: ShareUse::default(),
        }
    }

    fn update(&mut self, listed: &Listed) {
        self.coldness.set_listed(listed.is_cold);
        if self.listed.weights != listed.weights {
            self.weights.clone_from(&listed.weights);
        }
        // Another process may have answered at its former address.
        self.is_leaving &= listed.address == self.listed.address;
        self.listed.clone_from(listed);
        self.is_leaving |= listed.presence == Presence::Leaving;
        if self.is_leaving {
            self.listed.presence = Presence::Leaving;
        }
    }

    /// Returns whether the target was live.
    fn mark_leaving(&mut self) -> bool {
        self.is_leaving = true;
        std::mem::replace(&mut self.listed.presence, Presence::Leaving) == Presence::Live
    }

    fn may_have_ended(&mut self, cold_starts: &HashMap<ServiceId, ColdStart>, now: BootTime) {
        if let Some(cold_start) = cold_starts.get(&self.listed.service) {
            self.coldness.may_have_ended(cold_start, now);
        }
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
