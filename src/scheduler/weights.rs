//! Which engines may begin prompts while weights change.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::{ModelId, TargetStart};

/// An engine with older weights than were named is chosen only if it saves this much: an answer of
/// replaced weights is worth a fifth less, which is as much as being late by about this time.
const OLD_WEIGHTS_MS: f64 = 150.0;
/// A prompt begins at most this long after it was placed: what an engine has ahead, and a fetch.
const BEGINS_WITHIN: Duration = Duration::from_millis(800);

/// The newest named weights of each model, with the time since when they are known.
pub type NamedSince = BTreeMap<ModelId, (u64, BootTime)>;

/// How long prompts may begin on older weights once newer ones are named.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OldWeights {
    /// Counted from the naming, or from when this scheduler began: before that a replica that was
    /// lost could order nothing. `None` for ever.
    pub within: Option<Duration>,
    /// Counted from the naming whoever led.
    pub at_last_within: Option<Duration>,
}

/// What is known of engines' weights beside the versions that they run.
#[derive(Clone, Debug)]
pub struct Weights {
    /// Engines that are about to load other weights, or load them.
    pub changing: BTreeSet<TargetStart>,
    /// Engines that run other weights than was believed, and did not say which. They get no prompts
    /// until they were asked.
    pub doubted: BTreeSet<TargetStart>,
    /// The newest named weights.
    pub named: NamedSince,
    /// How long older ones may be used.
    pub old_weights: OldWeights,
    /// When the scheduler began.
    began: BootTime,
}

impl Weights {
    /// What a scheduler knows that begins at `now`.
    pub fn new(now: BootTime) -> Weights {
        Weights {
            changing: BTreeSet::new(),
            doubted: BTreeSet::new(),
            named: NamedSince::new(),
            old_weights: OldWeights::default(),
            began: now,
        }
    }

    /// Whether an engine gets no prompts whatever their model.
    pub fn keep_from(&self, engine: &TargetStart) -> bool {
        self.changing.contains(engine) || self.doubted.contains(engine)
    }

    /// What speaks against an engine with these weights for a prompt of the model, in milliseconds;
    /// `None` if it must not begin one.
    pub fn cost_ms(&self, model: &ModelId, has: Option<u64>, now: BootTime) -> Option<f64> {
        let Some((named, since)) = self.named.get(model) else { return Some(0.0) };
        if has.is_some_and(|has| has >= *named) {
            return Some(0.0);
        }
        let is_over = |since: BootTime, within: Option<Duration>| {
            within.is_some_and(|within| now + BEGINS_WITHIN >= since + within)
        };
        let OldWeights { within, at_last_within } = self.old_weights;
        let is_over = is_over(self.began.max(*since), within) || is_over(*since, at_last_within);
        (!is_over).then_some(OLD_WEIGHTS_MS)
    }
}
