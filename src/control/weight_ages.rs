//! How long ago weights were named, kept in the log: a replica that starts again, or joins, would
//! otherwise take weights that were named long ago for new, and allow older ones once more.

use std::collections::BTreeMap;
use std::time::Duration;

use super::state::{Command, ControlState, WeightAges};
use crate::clock::BootTime;
use crate::ids::ModelId;
use crate::scheduler::weights::{MAX_UNRECORDED_AGE, NamedWeights, RolloutHistories};

/// An age is recorded each time that it has grown by this: the ages of one naming are some nine
/// entries of the log until its bound is over.
const RECORD_EVERY: Duration = MAX_UNRECORDED_AGE;
/// A replica that had all that was committed within this time hears of a naming as it is decided.
const HEARD_AT_ONCE_WITHIN: Duration = Duration::from_millis(500);

/// Ages that the log should have by now; `bound` is the age from which nothing depends on it. What may
/// have passed unrecorded is not recorded as passed: each process that hears late adds it anew.
pub fn due(
    named: &RolloutHistories,
    recorded: &BTreeMap<ModelId, WeightAges>,
    bound: Duration,
    now: BootTime,
) -> Vec<Command> {
    let all = named
        .iter()
        .flat_map(|(model, namings)| namings.min_ages(now).map(move |one| (model, one)));
    let due = all.filter_map(|(model, (version, age))| {
        let known = recorded.get(model).and_then(|ages| ages.get(&version));
        let known = known.copied().unwrap_or_default();
        let is_due = known < bound && age >= (known + RECORD_EVERY).min(bound);
        let weights = NamedWeights { version, age };
        is_due.then(|| Command::RecordAge { model: model.clone(), weights })
    });
    due.collect()
}

/// How long ago weights of a model were named, at the least, as the state tells a replica that was last
/// sure to have all at `caught_up_at`.
///
/// One that was not sure hears of what may have been decided long before: ages may be older by what is
/// recorded next.
pub fn age_of(
    state: &ControlState,
    model: &str,
    version: u64,
    caught_up_at: Option<BootTime>,
    now: BootTime,
) -> Duration {
    let recorded = state.weight_ages.get(model).and_then(|ages| ages.get(&version));
    let recorded = recorded.copied().unwrap_or_default();
    let is_heard_at_once =
        caught_up_at.is_some_and(|at| now.saturating_sub(at) < HEARD_AT_ONCE_WITHIN);
    if is_heard_at_once { recorded } else { recorded + RECORD_EVERY }
}
