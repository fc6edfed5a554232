//! Orders to engines: which engine loads which weight version, and when.
//!
//! Only the log's leader orders. Every order carries a fencing number from the log, so an engine
//! that checks it refuses a deposed leader's late order. For engines that don't check, a new
//! leader waits until no order of an earlier one can be under way.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::config::Model;
use crate::ids::{DomainId, ModelId, TargetId, WeightVersion};

/// An order is given up if its engine has not taken it within this time.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// A load that has not ended after this time is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Loads at a time over all models: they share the weight store's link.
const LOADS_AT_ONCE: usize = 4;

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// The engine.
    pub id: TargetId,
    /// Its model.
    pub model: ModelId,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// The version that it reports; `None` while it loads one.
    pub version: Option<WeightVersion>,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// An order to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// The engine.
    pub engine: TargetId,
    /// What it shall load.
    pub version: WeightVersion,
}

/// Plans the orders of one leader.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Before this time, an earlier leader's order may reach an engine that ignores fencing.
    unfenced_from: BootTime,
    sent: BTreeMap<TargetId, Sent>,
}

#[derive(Clone, Debug)]
struct Sent {
    version: WeightVersion,
    at: BootTime,
}

impl Planner {
    /// The planner of a leader that was elected at `now`. `lease` is how long an earlier one may
    /// have been sure to lead.
    pub fn new(lease: Duration, now: BootTime) -> Planner {
        Planner { unfenced_from: now + lease + ORDER_TIMEOUT, sent: BTreeMap::new() }
    }

    /// What to order now. Each order counts as sent from then on.
    pub fn plan(
        &mut self,
        models: &BTreeMap<ModelId, Model>,
        engines: &[EngineState],
        now: BootTime,
    ) -> Vec<Planned> {
        self.forget_done(engines, now);
        let mut planned = Vec::new();
        for engine in engines {
            let Some(model) = models.get(&engine.model) else { continue };
            let wanted = model.next_version.as_ref().unwrap_or(&model.weight_version);
            let may_load = engine.version.as_ref().is_some_and(|version| version != wanted)
                && !self.sent.contains_key(&engine.id)
                && (engine.checks_fencing || now >= self.unfenced_from)
                && self.loading(engines, None) < LOADS_AT_ONCE
                && self.loading(engines, Some(&engine.model)) < model.concurrent_loads as usize
                && self.keeps_floor(engine, model, engines);
            if may_load {
                self.sent.insert(engine.id.clone(), Sent { version: wanted.clone(), at: now });
                planned.push(Planned { engine: engine.id.clone(), version: wanted.clone() });
            }
        }
        planned
    }

    /// Records that an engine did not take its order.
    pub fn refused(&mut self, engine: &TargetId) {
        self.sent.remove(engine);
    }

    fn forget_done(&mut self, engines: &[EngineState], now: BootTime) {
        self.sent.retain(|id, sent| {
            let state = engines.iter().find(|engine| engine.id == *id);
            let is_done = state.is_none_or(|state| state.version.as_ref() == Some(&sent.version));
            !is_done && now < sent.at + LOAD_TIMEOUT
        });
    }

    /// Engines that load or were just told to, of one model or of all.
    fn loading(&self, engines: &[EngineState], model: Option<&ModelId>) -> usize {
        engines
            .iter()
            .filter(|engine| model.is_none_or(|model| engine.model == *model))
            .filter(|engine| engine.version.is_none() || self.sent.contains_key(&engine.id))
            .count()
    }

    /// Whether enough engines of its failure domain go on serving while this one loads.
    fn keeps_floor(&self, engine: &EngineState, model: &Model, engines: &[EngineState]) -> bool {
        let serves = |engine: &EngineState| {
            let known = engine.version.as_ref().is_some_and(|version| model.serves(version));
            known && engine.takes_work && !self.sent.contains_key(&engine.id)
        };
        if !serves(engine) {
            return true;
        }
        let others = engines.iter().filter(|other| {
            other.id != engine.id
                && other.model == engine.model
                && other.failure_domain == engine.failure_domain
                && serves(other)
        });
        others.count() >= model.floor as usize
    }
}
