//! How an engine would get at a prompt, and what that costs.

use std::net::SocketAddr;
use std::time::Duration;

use super::engine::Engine;
use super::engine_cache::PartKey;
use super::messages::{DecisionTrace, PlacementRequest, RecomputeReason, RecomputedTokens};
use super::prefill::PrefillEstimator;
use super::source::{Source, TransferEstimate, sources};
use super::store::{Store, part_key};
use crate::clock::BootTime;
use crate::deployment::EngineTraits;

/// What a prompt that an engine already runs delays the next one, beside what it must still read.
const DELAY_PER_RUNNING_MS: f64 = 2.0;
/// What a request that was not placed here delays the next one: a mean prompt of 3,600 tokens.
const DELAY_PER_OTHER_MS: f64 = 25.0;
/// Reading tokens recomputed_parts that are kept somewhere else costs this much beside the time that it takes:
/// operators weigh work that is thrown away.
const RECOMPUTE_MS_PER_TOKEN: f64 = 0.03;
/// A fetch costs this much for each millisecond that it keeps its links from others, beside its own time:
/// fetches between failure domains keep them twice as long, and where links are full what can't be fetched
/// is read recomputed_parts.
const LINK_TIME_WEIGHT: f64 = 0.5;
/// Running prompts take at most this part of an engine's memory: beyond it they push each other
/// out, and what was read must be read recomputed_parts.
const MAX_IN_USE_FRACTION: f64 = 0.9;
/// A fetch that would take longer is not worth waiting for: it would not be started.
const MAX_FETCH_TIME: Duration = Duration::from_millis(1_000);
/// Nor is one that would take more than this part of the prompt's objective.
const FETCH_OBJECTIVE_FRACTION: f64 = 0.6;

/// A prompt as all engines with the same weights see it: worked out once, looked at for each.
pub struct RequiredPrefix<'a> {
    request: &'a PlacementRequest,
    /// The text under which its parts are kept. Other weights make other parts.
    pub salt: String,
    /// Its parts.
    pub keys: Vec<PartKey>,
    /// How many parts, from the first on, others share.
    pub shared: usize,
    /// Where each shared part can be fetched from.
    sources: Vec<Vec<Source<'a>>>,
    /// Whether some engine has read each shared part, or reads it: its tokens are thrown away if another
    /// one reads it recomputed_parts.
    was_computed: Vec<bool>,
}

/// How an engine would get at a prompt.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// What speaks against it, in milliseconds.
    pub cost_ms: f64,
    /// How long the fetch takes.
    pub fetch_ms: f64,
    /// What follows the fetch until the first part of the answer.
    pub after_fetch_ms: f64,
    /// How long the engine is busy with others.
    pub ahead_ms: f64,
    /// How many parts, from the first on, are probably resident_parts.
    pub resident_parts: usize,
    /// Where parts are fetched from.
    pub fetch: Vec<Option<SocketAddr>>,
    /// What the decision rests on.
    pub trace: DecisionTrace,
}

/// How many parts others share: all but the last, which belongs to the request itself.
pub fn shared_count(request: &PlacementRequest) -> usize {
    match request.parts.len() {
        0 | 1 => request.parts.len(),
        count => count - 1,
    }
}

impl<'a> RequiredPrefix<'a> {
    /// Works out what all engines with these weights have in common. Without `may_fetch`, nothing is
    /// fetched.
    pub fn new(
        request: &'a PlacementRequest,
        weight_version: Option<u64>,
        stores: impl Iterator<Item = &'a Store> + Clone,
        engines: impl Iterator<Item = &'a Engine> + Clone,
        may_fetch: bool,
        now: BootTime,
    ) -> RequiredPrefix<'a> {
        let salt = format!(
            "{}/{}/{}",
            request.cache_namespace,
            request.model,
            weight_version.unwrap_or_default()
        );
        let keys: Vec<PartKey> =
            request.parts.iter().map(|part| part_key(&salt, &part.id)).collect();
        let shared = shared_count(request);
        let found = |key: &PartKey| match may_fetch {
            true => sources(*key, stores.clone(), engines.clone(), now),
            false => Vec::new(),
        };
        let was_computed = |key: &PartKey| {
            stores.clone().any(|store| store.contains(*key))
                || engines.clone().any(|engine| engine.cache.contains(*key))
        };
        let (sources, was_computed) = (
            keys[..shared].iter().map(found).collect(),
            keys[..shared].iter().map(was_computed).collect(),
        );
        RequiredPrefix { request, salt, keys, shared, sources, was_computed }
    }

    /// How an engine would get at it; `None` if the engine has no room.
    pub fn candidate(
        &self,
        engine: &Engine,
        traits: &EngineTraits,
        estimator: &PrefillEstimator,
        now: BootTime,
    ) -> Option<Candidate> {
        let request = self.request;
        let resident_parts =
            self.keys.iter().take_while(|key| engine.cache.contains(**key)).count();
        let resident_tokens =
            request.parts[..resident_parts].iter().map(|part| part.tokens).sum::<u64>();
        if !has_room(
            engine,
            request.prompt_tokens - resident_tokens.min(request.prompt_tokens),
            request,
        ) {
            return None;
        }
        let mut fetch = vec![None; request.parts.len()];
        let mut fetched_tokens = 0;
        let (mut fetch_ms, mut link_ms): (f64, f64) = (0.0, 0.0);
        for (at, fetched) in fetch.iter_mut().enumerate().take(self.shared) {
            let found = self.fastest_source(at, engine, traits, now);
            // What is resident_parts is named too: it may have been pushed out without our knowing, and
            // an engine fetches only what it lacks.
            *fetched = found.map(|(store, _)| store);
            match found {
                _ if at < resident_parts => {}
                Some((_, found)) => {
                    fetched_tokens += request.parts[at].tokens;
                    fetch_ms = fetch_ms.max(millis(found.queue_delay + found.duration));
                    link_ms += millis(found.duration);
                }
                // A part is of use only after all before it.
                None => break,
            }
        }
        let recomputed_parts: Vec<usize> = (resident_parts.min(self.shared)..self.shared)
            .filter(|at| fetch[*at].is_none() && self.was_computed[*at])
            .collect();
        let (mut recomputed, mut recomputed_tokens) = (RecomputedTokens::default(), 0);
        for at in recomputed_parts {
            let tokens = request.parts[at].tokens;
            recomputed_tokens += tokens;
            *recomputed.for_reason(self.recompute_reason(at, engine, now)) += tokens;
        }
        let prefill_tokens = request.prompt_tokens.saturating_sub(resident_tokens + fetched_tokens);
        let ahead_ms = millis(engine.prefill_backlog(now))
            + f64::from(engine.active_placements()) * DELAY_PER_RUNNING_MS
            + engine.other_requests(now) * DELAY_PER_OTHER_MS;
        let after_fetch_ms =
            millis(estimator.prefill_time(prefill_tokens)) + millis(estimator.base_latency());
        let expected_ms = ahead_ms.max(fetch_ms) + after_fetch_ms;
        let cost_ms = expected_ms
            + recomputed_tokens as f64 * RECOMPUTE_MS_PER_TOKEN
            + link_ms * LINK_TIME_WEIGHT;
        let trace = DecisionTrace {
            running: engine.active_placements(),
            ahead_ms: ahead_ms as u32,
            resident_tokens,
            fetched_tokens,
            recomputed,
            expected_ms: expected_ms as u32,
            waited_ms: 0,
        };
        Some(Candidate {
            cost_ms,
            fetch_ms,
            after_fetch_ms,
            ahead_ms,
            resident_parts,
            fetch,
            trace,
        })
    }

    /// From where a part comes soonest, and how long that takes.
    fn fastest_source(
        &self,
        at: usize,
        engine: &Engine,
        traits: &EngineTraits,
        now: BootTime,
    ) -> Option<(SocketAddr, TransferEstimate)> {
        let size_bytes = (self.request.parts[at].tokens * traits.token_bytes) as f64;
        let estimates = self
            .sources_for(at, engine)
            .map(|source| (source.address, source.estimate(size_bytes, engine, now)));
        let longest = self.max_fetch_time();
        let takes = |transfer: &TransferEstimate| transfer.queue_delay + transfer.duration;
        estimates
            .filter(|(_, estimate)| takes(estimate) <= longest)
            .min_by_key(|(_, estimate)| takes(estimate))
    }

    /// Why a part is read recomputed_parts that could be fetched from nowhere in time.
    fn recompute_reason(&self, at: usize, engine: &Engine, now: BootTime) -> RecomputeReason {
        let queues = self
            .sources_for(at, engine)
            .map(|source| source.estimate(0.0, engine, now).queue_delay);
        match queues.min() {
            None => RecomputeReason::NowhereWhole,
            Some(queue) if queue > self.max_fetch_time() / 2 => RecomputeReason::LinkFull,
            Some(_) => RecomputeReason::LinkSlow,
        }
    }

    fn sources_for<'s>(
        &'s self,
        at: usize,
        engine: &'s Engine,
    ) -> impl Iterator<Item = &'s Source<'a>> {
        // What it holds itself is of no use to it after a part that it lacks.
        self.sources[at].iter().filter(|source| source.address != engine.listed.address)
    }

    fn max_fetch_time(&self) -> Duration {
        let most = self.request.objective.mul_f64(FETCH_OBJECTIVE_FRACTION);
        match self.request.elapsed < most {
            true => most.min(MAX_FETCH_TIME),
            // It can't be on time, or need not be: better late than read recomputed_parts while engines have most
            // to do for others.
            false => MAX_FETCH_TIME,
        }
    }
}

fn has_room(engine: &Engine, new_tokens: u64, request: &PlacementRequest) -> bool {
    let room = (engine.capacity_tokens as f64 * MAX_IN_USE_FRACTION) as u64;
    let has_slot = engine.listed.slots == 0 || engine.active_placements() < engine.listed.slots;
    let fits = engine.committed_tokens() + new_tokens + request.output_tokens <= room;
    // What is too large for any engine's rest gets an engine of its own.
    has_slot && (fits || engine.active_placements() == 0)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
