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
const READ_TOKENS_PER_MS: f64 = 92.0;
/// What a place in a plain service's queue costs there.
const DELAY_PER_PLAIN_REQUEST: Duration = Duration::from_millis(15);
/// Engines on which a context is expected to be kept: its home, and the one that takes over from
/// it.
const HOMES: usize = 2;
/// What the second home costs more than the first, as a part of reading the context again.
const SECOND_HOME_PART: f64 = 0.5;

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
    pub home: usize,
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
    let best = choices.into_iter().min_by(|(a, tie_a), (b, tie_b)| {
        a.expected
            .cmp(&b.expected)
            .then(mixed(tie_a, criteria.tie_breaker).cmp(&mixed(tie_b, criteria.tie_breaker)))
    });
    best.map(|(choice, _)| choice).ok_or(SelectionError::OldWeights)
}

fn plain_choices(healthy: &[&TargetState], now: BootTime) -> Vec<(Choice, u64)> {
    let choice = |state: &&TargetState| {
        let load = state.load(now);
        let expected = DELAY_PER_PLAIN_REQUEST.mul_f64(load);
        let target = state.listed.start.clone();
        let choice = Choice { target, load, home: 0, expected, weight_version: None };
        (choice, tie(state))
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
        healthy.iter().map(|state| (mixed(&tie(state), key), *state)).collect();
    ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let own = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
    ranked
        .iter()
        .enumerate()
        .filter_map(|(home, (_, state))| {
            let load = state.load(now);
            let again = prompt.shared_tokens() as f64
                * match home {
                    0 => 0.0,
                    home if home < HOMES => SECOND_HOME_PART,
                    _ => 1.0,
                };
            let read_ms = (own as f64 + again) / READ_TOKENS_PER_MS;
            let expected = DELAY_PER_REQUEST.mul_f64(load) + Duration::from_secs_f64(read_ms / 1e3);
            let (weight_version, cost_ms) = weights_of(state, prompt, criteria, now + expected)?;
            let expected = expected + Duration::from_secs_f64(cost_ms / 1e3);
            let target = state.listed.start.clone();
            Some((Choice { target, load, home, expected, weight_version }, tie(state)))
        })
        .collect()
}

/// The weights that an engine must run for the prompt, and what speaks against them, in milliseconds;
/// `None` if the prompt must not begin there.
///
/// The bound counts from the naming, whoever led since: entries lose the scheduler more often than the
/// replicas are disturbed, which alone makes the bound begin anew.
fn weights_of(
    state: &TargetState,
    prompt: &Prompt,
    criteria: &Criteria<'_>,
    read_by: BootTime,
) -> Option<(Option<u64>, f64)> {
    let named = criteria.named.get(&prompt.model);
    let has = state.weights.get(&prompt.model).copied().filter(|version| *version > 0);
    match (has, named.and_then(RolloutHistory::newest)) {
        // The newest are expected of it: it refuses if it runs others, and says which. So it may be
        // tried at any time, and costs at most a try.
        (None, Some(newest)) => Some((Some(newest), OLD_WEIGHTS_COST_MS)),
        _ => {
            let begins_by = read_by + MAX_START_DELAY;
            let cost_ms = criteria.old_weights.cost_ms(named, has, BootTime::ZERO, begins_by)?;
            Some((has, cost_ms))
        }
    }
}

fn tie(state: &TargetState) -> u64 {
    FxBuildHasher.hash_one(&state.listed.start.id)
}

/// Mixes two hashes evenly (the finisher of MurmurHash3).
fn mixed(a: &u64, b: u64) -> u64 {
    let mut hash = a ^ b.rotate_left(32);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
