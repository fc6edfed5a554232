//! Which target a request goes to. Pure: fed the view, the request and the time.

use std::hash::BuildHasher;
use std::time::Duration;

use rustc_hash::FxBuildHasher;

use super::view::{FleetView, TargetState};
use crate::clock::BootTime;
use crate::gateway::call::Prompt;
use crate::ids::TargetStart;
use crate::scheduler::weights::{
    MAX_START_DELAY, OLD_WEIGHTS_COST_MS, OldWeightsPolicy, RolloutHistories, RolloutHistory,
};

/// What a request that an engine already holds delays the next one: the sites' mean prompt of
/// 3,600 tokens at 140 tokens a millisecond.
const DELAY_PER_REQUEST: Duration = Duration::from_millis(25);
/// Tokens that an engine reads in a millisecond, where it isn't measured: the slower of the
/// deployed engines (92.1).
const PREFILL_TOKENS_PER_MS: f64 = 92.0;
/// What a place in a plain service's queue costs there.
const DELAY_PER_PLAIN_REQUEST: Duration = Duration::from_millis(15);
/// Engines on which a context is expected to be kept: its affinity_rank, and the one that takes over from
/// it.
const AFFINITY_ENGINES: usize = 2;
/// What the second affinity_rank costs more than the first, as a part of reading the context recomputed_tokens.
const SECOND_CHOICE_FRACTION: f64 = 0.5;

/// What is asked of the placement.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt, if it is one.
    pub prompt: Option<&'a Prompt>,
    /// Those who may share kept cache with the request; empty for everybody.
    pub cache_namespace: &'a str,
    /// Targets that this request was sent to before.
    pub tried: &'a [TargetStart],
    /// Breaks ties.
    pub tie_breaker: u64,
    /// When weights were named.
    pub named: &'a RolloutHistories,
    /// How long prompts may begin on older ones.
    pub old_weights: OldWeightsPolicy,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No target of the service is listed.
    NoTargetListed,
    /// All that are listed are out of order, or this request was sent to them before.
    NoHealthyTarget,
    /// All that are healthy run older weights than must be in force by now.
    OldWeights,
}

/// What speaks for a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The target.
    pub target: TargetStart,
    /// Requests that it probably holds.
    pub load: f64,
    /// Its place among the homes of the request's context, 0 first.
    pub affinity_rank: usize,
    /// How long the first part of the answer is expected to take.
    pub expected: Duration,
    /// The weights that the engine must run: it refuses if it runs others.
    pub weight_version: Option<u64>,
}

/// Chooses the target with the least expected time to the first part of the answer.
///
/// # Errors
/// If there is none.
pub fn choose(
    view: &FleetView,
    criteria: &Criteria<'_>,
    now: BootTime,
) -> Result<Choice, SelectionError> {
    let mut is_listed = false;
    let mut healthy = Vec::new();
    for state in view.live(criteria.service) {
        is_listed = true;
        let was_tried = criteria.tried.contains(&state.listed.start);
        if !was_tried && state.health.admits(state.running, now) {
            healthy.push(state);
        }
    }
    if healthy.is_empty() {
        return Err(if is_listed {
            SelectionError::NoHealthyTarget
        } else {
            SelectionError::NoTargetListed
        });
    }
    let choices = match criteria.prompt {
        Some(prompt) => engine_choices(&healthy, prompt, criteria, now),
        None => plain_choices(&healthy, now),
    };
    let best = choices.into_iter().min_by(|(a, hash_a), (b, hash_b)| {
        a.expected
            .cmp(&b.expected)
            .then(mix(hash_a, criteria.tie_breaker).cmp(&mix(hash_b, criteria.tie_breaker)))
    });
    best.map(|(choice, _)| choice).ok_or(SelectionError::OldWeights)
}

fn plain_choices(healthy: &[&TargetState], now: BootTime) -> Vec<(Choice, u64)> {
    let choice = |state: &&TargetState| {
        let load = state.load(now);
        let expected = DELAY_PER_PLAIN_REQUEST.mul_f64(load);
        let target = state.listed.start.clone();
        let choice = Choice { target, load, affinity_rank: 0, expected, weight_version: None };
        (choice, target_hash(state))
    };
    healthy.iter().map(choice).collect()
}

fn engine_choices(
    healthy: &[&TargetState],
    prompt: &Prompt,
    criteria: &Criteria<'_>,
    now: BootTime,
) -> Vec<(Choice, u64)> {
    let context = prompt.shared_parts().last().map_or("", |part| part.id.as_str());
    let key = FxBuildHasher.hash_one((criteria.cache_namespace, context));
    let mut ranked: Vec<(u64, &TargetState)> =
        healthy.iter().map(|state| (mix(&target_hash(state), key), *state)).collect();
    ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let own_tokens = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
    ranked
        .iter()
        .enumerate()
        .filter_map(|(affinity_rank, (_, state))| {
            let load = state.load(now);
            let recomputed_tokens = prompt.shared_tokens() as f64
                * match affinity_rank {
                    0 => 0.0,
                    affinity_rank if affinity_rank < AFFINITY_ENGINES => SECOND_CHOICE_FRACTION,
                    _ => 1.0,
                };
            let prefill_ms = (own_tokens as f64 + recomputed_tokens) / PREFILL_TOKENS_PER_MS;
            let expected =
                DELAY_PER_REQUEST.mul_f64(load) + Duration::from_secs_f64(prefill_ms / 1e3);
            let (weight_version, cost_ms) =
                required_weights(state, prompt, criteria, now + expected)?;
            let expected = expected + Duration::from_secs_f64(cost_ms / 1e3);
            let target = state.listed.start.clone();
            Some((
                Choice { target, load, affinity_rank, expected, weight_version },
                target_hash(state),
            ))
        })
        .collect()
}

/// The weights that an engine must run for the prompt, and what speaks against them, in milliseconds;
/// `None` if the prompt must not begin there.
///
/// The bound counts from the naming, whoever led since: entries lose the scheduler more often than the
/// replicas are disturbed, which alone makes the bound begin anew.
fn required_weights(
    state: &TargetState,
    prompt: &Prompt,
    criteria: &Criteria<'_>,
    prefill_by: BootTime,
) -> Option<(Option<u64>, f64)> {
    let named = criteria.named.get(&prompt.model);
    let has = state.weights.get(&prompt.model).copied().filter(|version| *version > 0);
    match (has, named.and_then(RolloutHistory::newest)) {
        // The newest are expected of it: it refuses if it runs others, and says which. So it may be
        // tried at any time, and costs at most a try.
        (None, Some(newest)) => Some((Some(newest), OLD_WEIGHTS_COST_MS)),
        _ => {
            let begins_by = prefill_by + MAX_START_DELAY;
            let cost_ms = criteria.old_weights.cost_ms(named, has, BootTime::ZERO, begins_by)?;
            Some((has, cost_ms))
        }
    }
}

fn target_hash(state: &TargetState) -> u64 {
    FxBuildHasher.hash_one(&state.listed.start.id)
}

/// Mixes two hashes evenly (the finisher of MurmurHash3).
fn mix(a: &u64, b: u64) -> u64 {
    let mut hash = a ^ b.rotate_left(32);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
