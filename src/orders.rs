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
const MAX_CONCURRENT_LOADS: usize = 4;

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
pub struct LoadOrder {
    /// The engine.
    pub engine: TargetId,
    /// What it shall load.
    pub version: WeightVersion,
}

/// Plans the orders of one leader.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Before this time, an earlier leader's order may reach an engine that ignores fencing.
    unfenced_allowed_from: BootTime,
    pending: BTreeMap<TargetId, PendingLoad>,
}

#[derive(Clone, Debug)]
struct PendingLoad {
    version: WeightVersion,
    at: BootTime,
}

impl Planner {
    /// The planner of a leader that was elected at `now`. `lease` is how long an earlier one may
    /// have been sure to lead.
    pub fn new(lease: Duration, now: BootTime) -> Planner {
        Planner { unfenced_allowed_from: now + lease + ORDER_TIMEOUT, pending: BTreeMap::new() }
    }

    /// What to order now. Each order counts as sent from then on.
    pub fn plan(
        &mut self,
        models: &BTreeMap<ModelId, Model>,
        engines: &[EngineState],
        now: BootTime,
    ) -> Vec<LoadOrder> {
        self.remove_finished(engines, now);
        let mut counts = self.count_loads(models, engines);
        let mut orders = Vec::new();
        for engine in engines {
            let Some(model) = models.get(&engine.model) else { continue };
            let wanted = model.next_version.as_ref().unwrap_or(&model.weight_version);
            let may_load = engine.version.as_ref().is_some_and(|version| version != wanted)
                && !self.pending.contains_key(&engine.id)
                && (engine.checks_fencing || now >= self.unfenced_allowed_from)
                && counts.allows(engine, model);
            if may_load {
                counts.add_loading(engine, model);
                self.pending
                    .insert(engine.id.clone(), PendingLoad { version: wanted.clone(), at: now });
                orders.push(LoadOrder { engine: engine.id.clone(), version: wanted.clone() });
            }
        }
        orders
    }

    /// Records that an engine did not take its order.
    pub fn order_refused(&mut self, engine: &TargetId) {
        self.pending.remove(engine);
    }

    fn remove_finished(&mut self, engines: &[EngineState], now: BootTime) {
        // There are few orders under way, so looking through all engines for each is cheap.
        self.pending.retain(|id, pending| {
            let state = engines.iter().find(|engine| engine.id == *id);
            let is_done =
                state.is_none_or(|state| state.version.as_ref() == Some(&pending.version));
            !is_done && now < pending.at + LOAD_TIMEOUT
        });
    }

    fn count_loads<'e>(
        &self,
        models: &BTreeMap<ModelId, Model>,
        engines: &'e [EngineState],
    ) -> LoadCounts<'e> {
        let mut counts = LoadCounts::default();
        for engine in engines {
            if engine.version.is_none() || self.pending.contains_key(&engine.id) {
                counts.loading += 1;
                *counts.loading_by_model.entry(&engine.model).or_default() += 1;
            } else if models.get(&engine.model).is_some_and(|model| serves(engine, model)) {
                *counts
                    .serving_by_domain
                    .entry((&engine.model, &engine.failure_domain))
                    .or_default() += 1;
            }
        }
        counts
    }
}

/// How many engines load and serve.
#[derive(Default)]
struct LoadCounts<'e> {
    /// Engines that load or were just told to.
    loading: usize,
    /// Those of each model.
    loading_by_model: BTreeMap<&'e ModelId, usize>,
    /// Engines that serve, by model and failure domain.
    serving_by_domain: BTreeMap<(&'e ModelId, &'e DomainId), usize>,
}

impl<'e> LoadCounts<'e> {
    /// Whether an engine may load now: enough others of its failure domain go on serving, and not
    /// too many load.
    fn allows(&self, engine: &'e EngineState, model: &Model) -> bool {
        let model_and_domain = (&engine.model, &engine.failure_domain);
        let serving = self.serving_by_domain.get(&model_and_domain).copied().unwrap_or(0);
        let keeps_floor = !serves(engine, model) || serving > model.floor as usize;
        let loading = self.loading_by_model.get(&engine.model).copied().unwrap_or(0);
        keeps_floor
            && self.loading < MAX_CONCURRENT_LOADS
            && loading < model.concurrent_loads as usize
    }

    /// Counts an engine as loading from now on.
    fn add_loading(&mut self, engine: &'e EngineState, model: &Model) {
        self.loading += 1;
        *self.loading_by_model.entry(&engine.model).or_default() += 1;
        let model_and_domain = (&engine.model, &engine.failure_domain);
        if let Some(serving) =
            self.serving_by_domain.get_mut(&model_and_domain).filter(|_| serves(engine, model))
        {
            *serving = serving.saturating_sub(1);
        }
    }
}

fn serves(engine: &EngineState, model: &Model) -> bool {
    engine.takes_work && engine.version.as_ref().is_some_and(|version| model.serves(version))
}
