//! The fleet as one entry sees it: the roster, its own requests, and what answers say.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use super::roster::{
    FORGOTTEN_AFTER_LISTS, Listed, Presence, REPLACED_FORGOTTEN_AFTER_LISTS, Roster,
};
use crate::clock::BootTime;
use crate::gateway::metadata::TargetLoad;
use crate::ids::{ModelId, ServiceId, TargetId, TargetStart};
pub use crate::route::health::FailureCause;
use crate::route::health::Health;

/// A reported load counts for less and less, and for nothing after this time: about how long a
/// request of the sites' mix runs on an engine.
const LOAD_LASTS: Duration = Duration::from_millis(600);

/// All targets of this entry.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    targets: HashMap<TargetStart, TargetState>,
    /// Targets that take work, by service, in order.
    by_service: HashMap<ServiceId, Vec<TargetStart>>,
    /// Starts that were told to leave, and for how many lists they have been neither told nor shown
    /// since. Lists that show them may be yet to come, or come once more.
    told_to_leave: HashMap<TargetStart, u32>,
}

/// One target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// As it was last listed.
    pub listed: Listed,
    /// The version of each model's weights that it is believed to run: what it said itself goes before
    /// the list, which lags, until the list says something new.
    pub weights: BTreeMap<ModelId, u64>,
    /// Requests of this entry that it runs or holds.
    pub running: u32,
    /// Prompt tokens of those that have had no event yet.
    pub reading_tokens: u64,
    /// Its soundness.
    pub health: Health,
    /// Whether it was listed as leaving or found to have ended. Never taken back: lists lag.
    has_left: bool,
    reported: Option<Reported>,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    /// Requests of other entries at that time.
    others: u32,
    at: BootTime,
}

/// A request that was sent to a target. It must be given back with `FleetView::end`.
#[derive(Debug)]
#[must_use = "give it back with `FleetView::end`"]
pub struct Dispatch {
    /// The target.
    pub target: TargetStart,
    /// Tokens of its prompt, until it has been read.
    reading_tokens: Option<u64>,
}

impl FleetView {
    /// Takes a newer roster.
    pub fn take(&mut self, roster: &Roster) {
        self.count_list(roster);
        self.targets.retain(|start, state| roster.get(start).is_some() || state.running > 0);
        for state in self.targets.values_mut() {
            if roster.get(&state.listed.start).is_none() {
                state.listed.presence = Presence::Leaving;
            }
        }
        for listed in roster.iter() {
            match self.targets.get_mut(&listed.start) {
                Some(state) => state.list(listed),
                None => {
                    let mut state = TargetState::new(listed);
                    if self.told_to_leave.contains_key(&listed.start) {
                        state.leave();
                    }
                    self.targets.insert(listed.start.clone(), state);
                }
            }
        }
        self.index();
    }

    /// Takes some targets of a list of which others are yet to come.
    pub fn add(&mut self, some: &[Listed]) {
        for listed in some {
            self.targets.entry(listed.start.clone()).or_insert_with(|| TargetState::new(listed));
        }
        self.index();
    }

    /// Targets of a service that take work.
    pub fn live(&self, service: &str) -> impl Iterator<Item = &TargetState> {
        let starts = self.by_service.get(service).into_iter().flatten();
        starts.filter_map(|start| self.targets.get(start))
    }

    /// A target.
    pub fn get(&self, start: &TargetStart) -> Option<&TargetState> {
        self.targets.get(start)
    }

    /// Records that a request is sent to a target.
    pub fn begin(&mut self, target: &TargetStart, reading_tokens: u64) -> Dispatch {
        if let Some(state) = self.targets.get_mut(target) {
            state.running += 1;
            state.reading_tokens += reading_tokens;
        }
        Dispatch { target: target.clone(), reading_tokens: Some(reading_tokens) }
    }

    /// Records that a request's prompt has been read. Returns false if that was known.
    pub fn has_read(&mut self, dispatch: &mut Dispatch) -> bool {
        let Some(tokens) = dispatch.reading_tokens.take() else { return false };
        if let Some(state) = self.targets.get_mut(&dispatch.target) {
            state.reading_tokens = state.reading_tokens.saturating_sub(tokens);
        }
        true
    }

    /// Records that a request has left a target.
    pub fn end(&mut self, mut dispatch: Dispatch) {
        self.has_read(&mut dispatch);
        if let Some(state) = self.targets.get_mut(&dispatch.target) {
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Takes the load that a target's answer tells.
    pub fn reported(&mut self, target: &TargetStart, load: TargetLoad, now: BootTime) {
        if let Some(state) = self.targets.get_mut(target) {
            let others = (load.running + load.waiting).saturating_sub(state.running);
            state.reported = Some(Reported { others, at: now });
        }
    }

    /// Records a sound answer.
    pub fn succeeded(&mut self, target: &TargetStart) {
        if let Some(state) = self.targets.get_mut(target) {
            state.health.record_success();
        }
    }

    /// Records a failure.
    pub fn failed(&mut self, target: &TargetStart, cause: FailureCause, now: BootTime) {
        if let Some(state) = self.targets.get_mut(target) {
            state.health.record_failure(cause, now);
        }
    }

    /// Records that a target can't be reached.
    pub fn unreachable(&mut self, target: &TargetStart, now: BootTime) {
        if let Some(state) = self.targets.get_mut(target) {
            state.health.record_unreachable(now);
        }
    }

    /// Records that another target answers at a target's address: this start of it has ended.
    pub fn replaced(&mut self, target: &TargetStart) {
        if self.targets.get_mut(target).is_some_and(TargetState::leave) {
            self.index();
        }
    }

    /// Hears that targets leave, whether they are listed here or not.
    pub fn leave<'a>(&mut self, targets: impl Iterator<Item = &'a TargetStart>) {
        let mut is_news = false;
        for target in targets {
            self.told_to_leave.insert(target.clone(), 0);
            is_news |= self.targets.get_mut(target).is_some_and(TargetState::leave);
        }
        if is_news {
            self.index();
        }
    }

    /// Whether a target was told to leave, or said so: its end is planned.
    pub fn was_told_to_leave(&self, target: &TargetStart) -> bool {
        self.told_to_leave.contains_key(target)
    }

    /// Forgets who left as lists of targets themselves do.
    fn count_list(&mut self, roster: &Roster) {
        let ids: HashSet<&TargetId> = roster.iter().map(|listed| &listed.start.id).collect();
        self.told_to_leave.retain(|start, lists| {
            *lists = if roster.get(start).is_some() { 0 } else { *lists + 1 };
            let is_listed = ids.contains(&start.id);
            let most =
                if is_listed { REPLACED_FORGOTTEN_AFTER_LISTS } else { FORGOTTEN_AFTER_LISTS };
            *lists < most
        });
    }

    /// Whether a target takes new work.
    pub fn takes_work(&self, target: &TargetStart) -> bool {
        self.get(target).is_some_and(|state| state.listed.presence == Presence::Live)
    }

    /// Records the weights that a target's answer names.
    pub fn answered_on(&mut self, target: &TargetStart, model: &ModelId, version: u64) {
        if let Some(state) = self.targets.get_mut(target) {
            // Answers overtake each other, and the weights of one start only rise.
            let known = state.weights.entry(model.clone()).or_default();
            *known = version.max(*known);
        }
    }

    /// Records that a target refused a prompt since it runs other weights than were expected, which it
    /// may name.
    pub fn refused_weights(&mut self, target: &TargetStart, model: &ModelId, has: Option<u64>) {
        let Some(state) = self.targets.get_mut(target) else { return };
        match has {
            Some(version) => drop(state.weights.insert(model.clone(), version)),
            None => drop(state.weights.remove(model)),
        }
    }

    fn index(&mut self) {
        self.by_service.clear();
        for state in self.targets.values().filter(|s| s.listed.presence == Presence::Live) {
            let starts = self.by_service.entry(state.listed.service.clone()).or_default();
            starts.push(state.listed.start.clone());
        }
        self.by_service.values_mut().for_each(|starts| starts.sort_unstable());
    }
}

impl TargetState {
    fn new(listed: &Listed) -> TargetState {
        TargetState {
            listed: listed.clone(),
            weights: listed.weights.clone(),
            running: 0,
            reading_tokens: 0,
            health: Health::default(),
            has_left: listed.presence == Presence::Leaving,
            reported: None,
        }
    }

    fn list(&mut self, listed: &Listed) {
        if self.listed.weights != listed.weights {
            self.weights.clone_from(&listed.weights);
        }
        // What answered for it at its former address says nothing of this one.
        self.has_left &= listed.address == self.listed.address;
        self.listed.clone_from(listed);
        self.has_left |= listed.presence == Presence::Leaving;
        if self.has_left {
            self.listed.presence = Presence::Leaving;
        }
    }

    /// Returns whether that is news.
    fn leave(&mut self) -> bool {
        self.has_left = true;
        std::mem::replace(&mut self.listed.presence, Presence::Leaving) == Presence::Live
    }

    /// Requests that it probably runs or holds, of all entries.
    pub fn load(&self, now: BootTime) -> f64 {
        let others = self.reported.map_or(0.0, |reported| {
            let age = now.saturating_sub(reported.at).as_secs_f64();
            let left = (1.0 - age / LOAD_LASTS.as_secs_f64()).max(0.0);
            f64::from(reported.others) * left
        });
        f64::from(self.running) + others
    }
}
