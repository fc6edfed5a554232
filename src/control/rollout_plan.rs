//! Decides which engines load new weights next. Performs no I/O.

use std::collections::{BTreeMap, BTreeSet};

use crate::fleet::{Listed, Presence, Roster};
use crate::ids::{BirthMs, ModelId, NodeId, ServiceId, TargetStart};

/// At most one in this many engines of a model loads at a time. More would slow each other down.
const LOADING_DIVISOR: usize = 6;
/// At most one in this many engines of a model is kept from new prompts at a time, either draining
/// or loading.
const CHANGING_DIVISOR: usize = 4;
/// At most one in this many engines of a model may have an unanswered order in addition.
const UNANSWERED_DIVISOR: usize = 2;

/// The state reported by an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// When the reporting engine process started.
    pub born_ms: Option<BirthMs>,
    /// Orders accepted since the engine started.
    pub orders_accepted: u64,
    /// Whether the engine is carrying out an order.
    pub is_busy: bool,
    /// The loaded weight version of each model.
    pub weights: BTreeMap<ModelId, u64>,
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    pub model: ModelId,
    pub version: u64,
    /// What to do with running prompts.
    pub running: RunningPrompts,
    /// The replica that sends the order.
    pub holder: NodeId,
    /// Fencing token. Never decreases from one holder to the next, and differs between holders.
    pub fencing: u64,
    /// The number of orders the engine must have accepted so far; otherwise it rejects this one.
    pub orders_accepted: u64,
}

/// What happens to running prompts when an engine loads other weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunningPrompts {
    /// They finish on the old weights before the load.
    Finish,
    /// Their streams are cut off.
    BreakOff,
    /// They continue on the new weights.
    GoOn,
}

impl RunningPrompts {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            RunningPrompts::Finish => "finish",
            RunningPrompts::BreakOff => "break_off",
            RunningPrompts::GoOn => "go_on",
        }
    }
}

/// An engine with outdated weights, and the version it should load.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingLoad {
    pub engine: TargetStart,
    pub model: ModelId,
    pub version: u64,
}

/// Picks the engines to update next. Excludes engines in `changing` and `unanswered`, which count
/// towards the limits, and targets whose service is not an engine service. Engines in `unreachable`
/// come last, so that they don't hold up the others.
pub fn next_loads(
    roster: &Roster,
    named: &BTreeMap<ModelId, u64>,
    changing: &BTreeSet<TargetStart>,
    unanswered: &BTreeSet<TargetStart>,
    unreachable: &BTreeSet<TargetStart>,
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
        // Oldest versions first: their grace period ends first.
        let mut outdated: Vec<&Listed> = engines()
            .filter(|engine| engine.weights.get(model).is_some_and(|has| has < version))
            .filter(|engine| {
                !changing.contains(&engine.start) && !unanswered.contains(&engine.start)
            })
            .collect();
        outdated
            .sort_by_key(|engine| (unreachable.contains(&engine.start), engine.weights.get(model)));
        let outdated = outdated.into_iter().take(slots).map(|engine| PendingLoad {
            engine: engine.start.clone(),
            model: model.clone(),
            version: *version,
        });
        loads.extend(outdated);
    }
    loads
}

/// How many engines of a model may load at the same time.
pub fn max_concurrent_loads(roster: &Roster, model: &ModelId) -> usize {
    let engines = roster.iter().filter(|target| target.weights.contains_key(model));
    (engines.count() / LOADING_DIVISOR).max(1)
}
