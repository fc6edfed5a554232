//! Ages of weight versions, kept in the replicated log. Without them, a replica that restarts or
//! joins would take an old version for a new one and restart the grace period for the versions
//! before it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::state::{Command, ControlState, WeightAges};
use crate::clock::BootTime;
use crate::ids::ModelId;
use crate::scheduler::weights::{MAX_UNRECORDED_AGE, NamedWeights, RolloutHistories};

/// An age is recorded each time it has grown by this much, which makes about nine log entries per
/// version until the grace period is over.
const RECORD_INTERVAL: Duration = MAX_UNRECORDED_AGE;
/// A replica that caught up within this time learns of a new version as soon as it is committed.
const CAUGHT_UP_MAX_AGE: Duration = Duration::from_millis(500);

/// The ages to record now. Ages beyond `bound` no longer matter. Only time that has certainly
/// passed is recorded; a process that learns of a version late adds the possibly unrecorded time
/// itself.
pub fn due_commands(
    named: &RolloutHistories,
    recorded: &BTreeMap<ModelId, WeightAges>,
    bound: Duration,
    now: BootTime,
) -> Vec<Command> {
    let all = named
        .iter()
        .flat_map(|(model, versions)| versions.min_ages(now).map(move |one| (model, one)));
    let due = all.filter_map(|(model, (version, age))| {
        let known = recorded.get(model).and_then(|ages| ages.get(&version));
        let known = known.copied().unwrap_or_default();
        let is_due = known < bound && age >= (known + RECORD_INTERVAL).min(bound);
        let weights = NamedWeights { version, age };
        is_due.then(|| Command::RecordAge { model: model.clone(), weights })
    });
    due.collect()
}

/// The age of a weight version as estimated by a replica that last caught up at `caught_up_at`.
///
/// A replica that has not caught up recently may learn of the version long after the last record,
/// so the interval between records is added.
pub fn estimated_age(
    state: &ControlState,
    model: &str,
    version: u64,
    caught_up_at: Option<BootTime>,
    now: BootTime,
) -> Duration {
    let recorded = state.weight_ages.get(model).and_then(|ages| ages.get(&version));
    let recorded = recorded.copied().unwrap_or_default();
    let is_caught_up = caught_up_at.is_some_and(|at| now.saturating_sub(at) < CAUGHT_UP_MAX_AGE);
    if is_caught_up { recorded } else { recorded + RECORD_INTERVAL }
}
