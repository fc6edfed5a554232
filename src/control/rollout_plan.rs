//! Roll-out of weights: which engine is told next to load them. Pure.

use std::collections::{BTreeMap, BTreeSet};

use crate::fleet::{Listed, Presence, Roster};
use crate::ids::{BirthMs, ModelId, NodeId, ServiceId, TargetStart};

/// One engine in this many may load at a time: more would slow down each other's loads.
const LOADING_DIVISOR: usize = 6;
/// One engine in this many may be kept from new prompts at a time, to be loaded next or loading.
const CHANGING_DIVISOR: usize = 4;
/// One engine in this many may have an order that it has not answered, and may carry out seconds later.
const UNANSWERED_DIVISOR: usize = 2;

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// When the engine that reports started.
    pub born_ms: Option<BirthMs>,
    /// Orders that it has accepted since it started.
    pub orders_accepted: u64,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// The version of each model's weights that it runs.
    pub weights: BTreeMap<ModelId, u64>,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: u64,
    /// What becomes of prompts that the engine runs.
    pub running: RunningPrompts,
    /// The replica that gives the order.
    pub holder: NodeId,
    /// Never falls from one holder to the next; no two holders have the same.
    pub fencing: u64,
    /// The order is void unless the engine has accepted exactly this many orders before.
    pub orders_accepted: u64,
}

/// What becomes of prompts that an engine runs when it is told to load other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunningPrompts {
    /// They finish on the old weights first.
    Finish,
    /// Their streams are broken off.
    BreakOff,
    /// They go on under the new weights.
    GoOn,
}

/// An engine that runs older weights than were named.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingLoad {
    /// The engine.
    pub engine: TargetStart,
    /// The model.
    pub model: ModelId,
    /// The version that it shall load.
    pub version: u64,
}

/// Engines to be told now, beside those that change and those whose order is awaited. Entries of the
/// list that name another service than one of engines name nobody to be told.
pub fn next_loads(
    roster: &Roster,
    named: &BTreeMap<ModelId, u64>,
    changing: &BTreeSet<TargetStart>,
    unanswered: &BTreeSet<TargetStart>,
    is_engine_service: impl Fn(&ServiceId) -> bool,
) -> Vec<PendingLoad> {
    let mut loads = Vec::new();
    for (model, version) in named {
        let engines = || {
            let live = roster.iter().filter(|target| target.presence == Presence::Live);
            live.filter(|target| {
                target.weights.contains_key(model) && is_engine_service(&target.service)
            })
        };
        let of_model = |ids: &BTreeSet<TargetStart>| {
            engines().filter(|engine| ids.contains(&engine.start)).count()
        };
        let max_changing = (engines().count() / CHANGING_DIVISOR).max(1);
        let max_in_progress = max_changing + (engines().count() / UNANSWERED_DIVISOR).max(1);
        let changing_count = of_model(changing);
        let in_progress = changing_count + of_model(unanswered);
        let slots = max_changing
            .saturating_sub(changing_count)
            .min(max_in_progress.saturating_sub(in_progress));
        // Those that have missed most go first: their bound is over first.
        let mut outdated: Vec<&Listed> = engines()
            .filter(|engine| engine.weights.get(model).is_some_and(|has| has < version))
            .filter(|engine| {
                !changing.contains(&engine.start) && !unanswered.contains(&engine.start)
            })
            .collect();
        outdated.sort_by_key(|engine| engine.weights.get(model));
        let outdated = outdated.into_iter().take(slots).map(|engine| PendingLoad {
            engine: engine.start.clone(),
            model: model.clone(),
            version: *version,
        });
        loads.extend(outdated);
    }
    loads
}

/// How many engines of a model may load at once.
pub fn max_concurrent_loads(roster: &Roster, model: &ModelId) -> usize {
    let engines = roster.iter().filter(|target| target.weights.contains_key(model));
    (engines.count() / LOADING_DIVISOR).max(1)
}
