//! Target selection by an entry without the scheduler. No I/O: depends only on the view, the
//! request and the time.

use std::fmt;
use std::hash::BuildHasher;
use std::time::Duration;

use rustc_hash::FxBuildHasher;

use super::locality::{self, Locality};
use super::memory_share::EngineMemory;
use super::rate::{IndependentShare, RateLimit};
use super::regions::AllowedDomains;
use super::ring::{mix, target_hash};
use super::speed::ServiceSpeed;
use super::view::{FleetView, TargetState};
use crate::clock::BootTime;
use crate::gateway::metadata::Prompt;
use crate::ids::TargetStart;
use crate::scheduler::prefill::DEFAULT_PREFILL_TOKENS_PER_MS;
use crate::scheduler::weights::{
    MAX_START_DELAY, OLD_WEIGHTS_COST_MS, OldWeightsPolicy, RolloutHistories, RolloutHistory,
};

/// Delay added by each request that an engine already holds: about the prefill of a mean prompt.
const DELAY_PER_REQUEST: Duration = Duration::from_millis(25);
/// Delay added by each request in a plain service's queue, beyond those that its slots run.
const DELAY_PER_PLAIN_REQUEST: Duration = Duration::from_millis(15);
/// Number of engines expected to hold a context, first in affinity order: the preferred one and its
/// fallback.
const AFFINITY_ENGINES: usize = 2;
/// Expected recomputation on the second engine in affinity order, as a fraction of the context.
const SECOND_CHOICE_FRACTION: f64 = 0.5;
/// Number of targets that may take a request among which one is chosen, so that the cost doesn't
/// grow with the service. Smaller services are examined whole.
const MAX_CANDIDATES: usize = 32;
/// The cost of leaving the domain decides between engines whose expected times differ by less. Bounded
/// further by what the preferred engine saves, so that contexts keep it.
const MAX_CLOSE_MS: f64 = 25.0;
/// Bounds of the retry delay of a prompt for which no engine has memory: about as long as requests run
/// that hold it, spread so that refused callers don't return together.
const NO_ROOM_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(800));
/// Every n-th request to a plain service ignores failure domains. Otherwise a target that was ejected, or has just
/// started, might get no request that shows that it is well.
const ANY_DOMAIN_INTERVAL: u64 = 16;
/// Expected size of a plain service's response.
const PLAIN_RESPONSE_BYTES: f64 = 1_000.0;

/// Selection criteria of a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    pub service: &'a str,
    /// The prompt; `None` for requests to a plain service.
    pub prompt: Option<&'a Prompt>,
    /// Cache namespace of the request; empty if the cache is shared by everybody.
    pub cache_namespace: &'a str,
    /// Targets that were already tried.
    pub tried: &'a [TargetStart],
    /// The only software version that may take the request; `None` for any.
    pub software: Option<&'a str>,
    /// Random number that breaks ties.
    pub tie_breaker: u64,
    pub named: &'a RolloutHistories,
    pub old_weights: OldWeightsPolicy,
    /// Share of this entry in the requests to limited targets.
    pub share: &'a IndependentShare,
    /// The failure domains that the request may reach.
    pub allowed_domains: &'a AllowedDomains,
    /// What leaving the entry's failure domain costs.
    pub locality: &'a Locality,
    /// Size of the request's body.
    pub body_bytes: u64,
}

impl Criteria<'_> {
    /// Cost in milliseconds of sending the request to a failure domain and its response back.
    fn away_cost_ms(&self, domain: &str) -> f64 {
        self.locality.cost_ms(domain, expected_bytes(self.prompt, self.body_bytes))
    }
}

/// Expected size of a request's body and its response.
pub fn expected_bytes(prompt: Option<&Prompt>, body_bytes: u64) -> f64 {
    let response_bytes = prompt
        .map_or(PLAIN_RESPONSE_BYTES, |prompt| locality::response_bytes(prompt.output_tokens));
    body_bytes as f64 + response_bytes
}

/// Why no target was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No target of the service, and of the required software version, is listed where the request may
    /// run.
    NoTargetListed,
    /// All listed targets are ejected or were already tried.
    NoHealthyTarget,
    /// All healthy targets are cold and take no requests of this entry.
    Cold,
    /// All healthy targets are limited and take no more requests of this entry now. One does after
    /// this time.
    Limited(Duration),
    /// No engine has memory for the prompt. One may have after this time.
    NoRoom(Duration),
    /// All healthy targets run older weights than may still be used.
    OldWeights,
}

impl fmt::Display for SelectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SelectionError::NoTargetListed => f.write_str("no_target_listed"),
            SelectionError::NoHealthyTarget => f.write_str("no_healthy_target"),
            SelectionError::Cold => f.write_str("cold"),
            SelectionError::Limited(retry_after) => {
                write!(f, "limited retry_after_ms={}", retry_after.as_millis())
            }
            SelectionError::NoRoom(retry_after) => {
                write!(f, "no_room retry_after_ms={}", retry_after.as_millis())
            }
            SelectionError::OldWeights => f.write_str("old_weights"),
        }
    }
}

/// A selected target and the reasons.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    pub target: TargetStart,
    /// Estimated number of requests that it holds.
    pub load: f64,
    /// Its position in the affinity order of the request's context; 0 is preferred.
    pub affinity_rank: usize,
    /// Number of targets that were examined.
    pub examined: usize,
    /// Expected time to first token.
    pub expected: Duration,
    /// How many times as long as usual for the service work is expected to take there.
    pub speed_factor: f64,
    /// Weight version that the engine must run; it refuses the request otherwise.
    pub weight_version: Option<u64>,
    /// Whether it is in another failure domain than the entry.
    pub is_away: bool,
    /// Cost in milliseconds of leaving the entry's domain; 0 at home.
    pub away_cost_ms: f64,
    /// How much sooner a request to a plain service is expected to be answered away than at home, costs
    /// included. `None` if there is a target at one side only.
    pub away_gain_ms: Option<f64>,
    /// Tokens that are believed to be left in the engine's memory; `None` if that is unknown.
    pub free_tokens: Option<f64>,
}

/// Selects the target with the shortest expected time to first token among those that follow the
/// request's point on the hash ring of the service: for prompts the point of their context, so that
/// all entries prefer the same engines for it; a random one for others.
///
/// # Errors
/// If no target is eligible.
pub fn choose(
    view: &FleetView,
    criteria: &Criteria<'_>,
    now: BootTime,
) -> Result<Choice, SelectionError> {
    let key = match criteria.prompt {
        Some(prompt) => context_hash(prompt, criteria.cache_namespace),
        None => mix(criteria.tie_breaker),
    };
    let speed = view.service_speed(criteria.service);
    let mut summary = SearchSummary::default();
    let mut targets = view.live_from(criteria.service, key);
    loop {
        let candidates: Vec<TargetState<'_>> = targets
            .by_ref()
            .filter(|state| summary.is_eligible(view, criteria, *state, now))
            .take(MAX_CANDIDATES)
            .collect();
        if candidates.is_empty() {
            return Err(summary.error(criteria.share, now));
        }
        let best = match criteria.prompt {
            Some(prompt) => {
                let memory = |state: &TargetState<'_>| view.engine_memory(state, now);
                let choices =
                    engine_choices(&candidates, prompt, key, criteria, &speed, memory, now);
                with_room(choices, prompt, criteria.tie_breaker)
                    .map(|choices| best_engine(choices, prompt, criteria))?
            }
            None => best_plain(plain_choices(&candidates, criteria, &speed, now), criteria),
        };
        // None if all candidates run older weights than may still be used.
        if let Some(best) = best {
            return Ok(Choice { examined: summary.examined, ..best });
        }
    }
}

/// What was found of the targets of a service.
#[derive(Clone, Debug, Default)]
struct SearchSummary<'a> {
    examined: usize,
    is_listed: bool,
    is_healthy: bool,
    is_eligible: bool,
    /// Some of the healthy targets whose share is used up, with their limits.
    limited: Vec<(&'a TargetStart, RateLimit)>,
    /// Shortest time until a brittle target may have room.
    room_in: Option<Duration>,
}

impl<'a> SearchSummary<'a> {
    /// Whether a target may take the request, apart from its weights.
    fn is_eligible(
        &mut self,
        view: &'a FleetView,
        criteria: &Criteria<'_>,
        state: TargetState<'a>,
        now: BootTime,
    ) -> bool {
        self.examined += 1;
        let is_suitable_software =
            criteria.software.is_none_or(|software| software == state.listed.software);
        if !is_suitable_software || !criteria.allowed_domains.contains(&state.listed.failure_domain)
        {
            return false;
        }
        self.is_listed = true;
        let was_tried = criteria.tried.contains(&state.listed.start);
        if was_tried || !state.health.admits(state.running, now) {
            return false;
        }
        self.is_healthy = true;
        let is_prompt = criteria.prompt.is_some();
        let is_eligible = view.admits_independent(state, is_prompt, criteria.share, now);
        self.is_eligible |= is_eligible;
        if let Some(wait) = view.wait_for_room(state, criteria.share, now) {
            self.room_in = Some(self.room_in.map_or(wait, |known| known.min(wait)));
            return false;
        }
        if !is_eligible && self.limited.len() < MAX_CANDIDATES {
            let limit = view.independent_limit(state, is_prompt, now);
            let limit = limit.filter(|limit| *limit > RateLimit::ZERO);
            self.limited.extend(limit.map(|limit| (&state.listed.start, limit)));
        }
        is_eligible
    }

    /// Why no target was selected.
    fn error(&self, share: &IndependentShare, now: BootTime) -> SelectionError {
        let waits =
            self.limited.iter().map(|(target, limit)| share.next_admission(target, *limit, now));
        let waits = waits.chain(self.room_in);
        match (self.is_listed, self.is_healthy, self.is_eligible) {
            (false, ..) => SelectionError::NoTargetListed,
            (_, false, _) => SelectionError::NoHealthyTarget,
            (.., false) => waits.min().map_or(SelectionError::Cold, SelectionError::Limited),
            _ => SelectionError::OldWeights,
        }
    }
}

fn context_hash(prompt: &Prompt, cache_namespace: &str) -> u64 {
    let context = prompt.shared_parts().last().map_or("", |part| part.id.as_str());
    mix(FxBuildHasher.hash_one((cache_namespace, context)))
}

/// Expected delay of a request to a plain service: the requests that a target holds beyond its slots, and the
/// request itself, which takes longer on a slow target that is idle.
fn plain_delay(state: &TargetState<'_>, speed_factor: f64, now: BootTime) -> Duration {
    let load = state.load(now);
    // A target that runs fewer requests than it has slots takes another one at once.
    let queued = match state.listed.slots {
        0 => load,
        slots => (load + 1.0 - f64::from(slots)).max(0.0),
    };
    DELAY_PER_PLAIN_REQUEST.mul_f64((queued + 1.0) * speed_factor)
}

/// Expected delay of a prompt by the requests that an engine holds.
fn engine_delay(state: &TargetState<'_>, now: BootTime) -> Duration {
    DELAY_PER_REQUEST.mul_f64(state.load(now))
}

fn choice_of(
    state: &TargetState<'_>,
    expected: Duration,
    speed_factor: f64,
    criteria: &Criteria<'_>,
    now: BootTime,
) -> Choice {
    let domain = &state.listed.failure_domain;
    Choice {
        target: state.listed.start.clone(),
        load: state.load(now),
        affinity_rank: 0,
        examined: 0,
        expected,
        speed_factor,
        weight_version: None,
        is_away: criteria.locality.is_away(domain),
        away_cost_ms: criteria.away_cost_ms(domain),
        away_gain_ms: None,
        free_tokens: None,
    }
}

fn plain_choices(
    candidates: &[TargetState<'_>],
    criteria: &Criteria<'_>,
    speed: &ServiceSpeed,
    now: BootTime,
) -> Vec<Choice> {
    let choice = |state: &TargetState<'_>| {
        let speed_factor = state.time_factor(speed, now);
        let expected = plain_delay(state, speed_factor, now);
        choice_of(state, expected, speed_factor, criteria, now)
    };
    candidates.iter().map(choice).collect()
}

/// The choice with the lowest cost in milliseconds; of equal ones, that with the lowest load.
fn cheapest(
    choices: impl Iterator<Item = Choice>,
    cost_ms: impl Fn(&Choice) -> f64,
    tie_breaker: u64,
) -> Option<Choice> {
    choices.min_by(|a, b| {
        let tie = |choice: &Choice| mix_pair(target_hash(&choice.target.id), tie_breaker);
        let by_cost = cost_ms(a).total_cmp(&cost_ms(b));
        by_cost.then(a.load.total_cmp(&b.load)).then_with(|| tie(a).cmp(&tie(b)))
    })
}

/// The best target at home, unless leaving pays.
fn best_plain(choices: Vec<Choice>, criteria: &Criteria<'_>) -> Option<Choice> {
    if mix(!criteria.tie_breaker).is_multiple_of(ANY_DOMAIN_INTERVAL) {
        let expected_ms = |choice: &Choice| millis(choice.expected);
        return cheapest(choices.into_iter(), expected_ms, criteria.tie_breaker);
    }
    let cost_ms = |choice: &Choice| millis(choice.expected) + choice.away_cost_ms;
    let (away, home): (Vec<_>, Vec<_>) = choices.into_iter().partition(|choice| choice.is_away);
    let home = cheapest(home.into_iter(), cost_ms, criteria.tie_breaker);
    let away = cheapest(away.into_iter(), cost_ms, criteria.tie_breaker);
    let (Some(home), Some(away)) = (&home, &away) else { return home.or(away) };
    let gain_ms = cost_ms(home) - cost_ms(away);
    let best = match criteria.locality.leaves(criteria.service, gain_ms, criteria.tie_breaker) {
        true => away,
        false => home,
    };
    Some(Choice { away_gain_ms: Some(gain_ms), ..best.clone() })
}

/// The engines that have memory for a prompt. If none has, the one with the most free memory among those
/// without a recent report, whose memory is only guessed.
///
/// # Errors
/// `SelectionError::NoRoom` if all of them reported recently that they have none.
fn with_room(
    choices: Vec<(Choice, Option<EngineMemory>)>,
    prompt: &Prompt,
    random: u64,
) -> Result<Vec<Choice>, SelectionError> {
    let tokens = prompt.prompt_tokens + prompt.output_tokens;
    let has_room = |memory: &Option<EngineMemory>| memory.is_none_or(|m| m.has_room(tokens));
    if choices.is_empty() || choices.iter().any(|(_, memory)| has_room(memory)) {
        let with_room = choices.into_iter().filter(|(_, memory)| has_room(memory));
        return Ok(with_room.map(|(choice, _)| choice).collect());
    }
    let free_tokens = |memory: &Option<EngineMemory>| memory.map_or(0.0, |m| m.free_tokens());
    choices
        .into_iter()
        .filter(|(_, memory)| memory.is_some_and(|memory| !memory.is_current))
        .max_by(|(_, a), (_, b)| free_tokens(a).total_cmp(&free_tokens(b)))
        .map(|(choice, _)| vec![choice])
        .ok_or_else(|| {
            let (min, max) = NO_ROOM_RETRY_AFTER;
            let spread = (mix(random) >> 54) as f64 / 1_024.0;
            SelectionError::NoRoom(min + (max - min).mul_f64(spread))
        })
}

/// The engine with the shortest expected time; the cost of leaving the domain decides between close
/// ones.
fn best_engine(choices: Vec<Choice>, prompt: &Prompt, criteria: &Criteria<'_>) -> Option<Choice> {
    let saved_ms =
        prompt.shared_tokens() as f64 * SECOND_CHOICE_FRACTION / DEFAULT_PREFILL_TOKENS_PER_MS;
    let max_cost_ms = if saved_ms > 0.0 { MAX_CLOSE_MS.min(saved_ms * 0.9) } else { MAX_CLOSE_MS };
    let cost_ms = |choice: &Choice| millis(choice.expected) + choice.away_cost_ms.min(max_cost_ms);
    cheapest(choices.into_iter(), cost_ms, criteria.tie_breaker)
}

fn engine_choices(
    candidates: &[TargetState<'_>],
    prompt: &Prompt,
    context_hash: u64,
    criteria: &Criteria<'_>,
    speed: &ServiceSpeed,
    memory: impl Fn(&TargetState<'_>) -> Option<EngineMemory>,
    now: BootTime,
) -> Vec<(Choice, Option<EngineMemory>)> {
    // Ranking by rendezvous spreads contexts evenly, as distances on the ring vary.
    let mut ranked: Vec<(u64, TargetState<'_>)> = candidates
        .iter()
        .map(|state| (mix_pair(target_hash(&state.listed.start.id), context_hash), *state))
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let own_tokens = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens());
    ranked
        .iter()
        .enumerate()
        .filter_map(|(affinity_rank, (_, state))| {
            let recomputed_tokens = prompt.shared_tokens() as f64
                * match affinity_rank {
                    0 => 0.0,
                    affinity_rank if affinity_rank < AFFINITY_ENGINES => SECOND_CHOICE_FRACTION,
                    _ => 1.0,
                };
            let prefill_ms =
                (own_tokens as f64 + recomputed_tokens) / DEFAULT_PREFILL_TOKENS_PER_MS;
            let speed_factor = state.time_factor(speed, now);
            let usual = engine_delay(state, now) + Duration::from_secs_f64(prefill_ms / 1e3);
            let expected = usual.mul_f64(speed_factor);
            let (weight_version, cost_ms) =
                required_weights(state, prompt, criteria, now + expected)?;
            let expected = expected + Duration::from_secs_f64(cost_ms / 1e3);
            let choice = choice_of(state, expected, speed_factor, criteria, now);
            let memory = memory(state);
            let free_tokens = memory.map(|memory| memory.free_tokens());
            Some((Choice { affinity_rank, weight_version, free_tokens, ..choice }, memory))
        })
        .collect()
}

/// The weight version that an engine must run for the prompt, and its cost in milliseconds; `None`
/// if the prompt must not start there.
///
/// The limit counts from the naming, whoever has led since: entries lose the scheduler more often
/// than the replicas change leaders, and only a leader change restarts it.
fn required_weights(
    state: &TargetState<'_>,
    prompt: &Prompt,
    criteria: &Criteria<'_>,
    prefill_by: BootTime,
) -> Option<(Option<u64>, f64)> {
    let named = criteria.named.get(&prompt.model);
    let version = state.weights.get(&prompt.model).copied().filter(|version| *version > 0);
    match (version, named.and_then(RolloutHistory::newest)) {
        // The newest version is required of an engine whose version is unknown: it refuses if it
        // runs another and reports it, so the worst case is one failed attempt.
        (None, Some(newest)) => Some((Some(newest), OLD_WEIGHTS_COST_MS)),
        _ => {
            let begins_by = prefill_by + MAX_START_DELAY;
            let cost_ms =
                criteria.old_weights.cost_ms(named, version, BootTime::ZERO, begins_by)?;
            Some((version, cost_ms))
        }
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn mix_pair(a: u64, b: u64) -> u64 {
    mix(a ^ b.rotate_left(32))
}
