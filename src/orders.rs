//! Load orders: which engine loads which weight version, and when.
//!
//! Only the leader of the log issues orders. Each order carries a fencing number from the log, so
//! engines that check it refuse orders of a deposed leader. For engines that don't, a new leader
//! waits until no earlier order can be in flight.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::BootTime;
use crate::config::Model;
use crate::ids::{DomainId, ModelId, TargetId, WeightVersion};
use crate::log::Term;

/// An order that its engine has not accepted within this time is abandoned.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// A load that has not ended within this time is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(600);
/// Limit on concurrent loads of all models, which share the weight store's link.
const MAX_CONCURRENT_LOADS: usize = 4;

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    pub id: TargetId,
    pub model: ModelId,
    pub failure_domain: DomainId,
    /// The version that it reports; `None` while it is loading.
    pub version: Option<WeightVersion>,
    pub takes_work: bool,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// An order to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadOrder {
    pub engine: TargetId,
    pub version: WeightVersion,
}

/// Plans the orders of one leader.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Until this time, orders of an earlier leader may still reach engines that don't check
    /// fencing.
    unfenced_allowed_from: BootTime,
    pending: BTreeMap<TargetId, PendingLoad>,
}

#[derive(Clone, Debug)]
struct PendingLoad {
    version: WeightVersion,
    at: BootTime,
}

/// The planner of this node's latest term as the leader.
///
/// The leader lease may lapse and return within a term. No other node leads in the meantime, so the
/// planner remains valid.
#[derive(Clone, Debug)]
pub struct TermPlanner {
    lease: Duration,
    planner: Option<(Term, Planner)>,
}

impl TermPlanner {
    /// Creates the state of a node that has not led. `lease` is as for `Planner::new`.
    pub fn new(lease: Duration) -> TermPlanner {
        TermPlanner { lease, planner: None }
    }

    /// Returns the planner of `term`, in which this node holds the leader lease at `now`.
    pub fn for_term(&mut self, term: Term, now: BootTime) -> &mut Planner {
        if self.planner.as_ref().is_some_and(|(planned_term, _)| *planned_term != term) {
            self.planner = None;
        }
        let (_, planner) =
            self.planner.get_or_insert_with(|| (term, Planner::new(self.lease, now)));
        planner
    }

    /// The latest term that was planned for.
    pub fn term(&self) -> Option<Term> {
        self.planner.as_ref().map(|(term, _)| *term)
    }
}

impl Planner {
    /// Creates the planner of a leader elected at `now`. `lease` is the longest time for which an
    /// earlier leader may still have considered itself the leader.
    pub fn new(lease: Duration, now: BootTime) -> Planner {
        Planner { unfenced_allowed_from: now + lease + ORDER_TIMEOUT, pending: BTreeMap::new() }
    }

    /// Plans the orders to send now. They count as sent from then on.
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

    /// Records that an engine did not accept its order.
    pub fn order_refused(&mut self, engine: &TargetId) {
        self.pending.remove(engine);
    }

    fn remove_finished(&mut self, engines: &[EngineState], now: BootTime) {
        // Few orders are pending, so a linear search for each is cheap.
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

/// Numbers of loading and serving engines.
#[derive(Default)]
struct LoadCounts<'e> {
    /// Engines that are loading or have a pending order.
    loading: usize,
    /// The same for each model.
    loading_by_model: BTreeMap<&'e ModelId, usize>,
    /// Serving engines by model and failure domain.
    serving_by_domain: BTreeMap<(&'e ModelId, &'e DomainId), usize>,
}

impl<'e> LoadCounts<'e> {
    /// Whether an engine may load now: its failure domain keeps enough serving engines, and the
    /// limits on concurrent loads are kept.
    fn allows(&self, engine: &'e EngineState, model: &Model) -> bool {
        let model_and_domain = (&engine.model, &engine.failure_domain);
        let serving = self.serving_by_domain.get(&model_and_domain).copied().unwrap_or(0);
        let keeps_floor = !serves(engine, model) || serving > model.floor as usize;
        let loading = self.loading_by_model.get(&engine.model).copied().unwrap_or(0);
        keeps_floor
            && self.loading < MAX_CONCURRENT_LOADS
            && loading < model.concurrent_loads as usize
    }

    /// Counts an engine as loading.
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
