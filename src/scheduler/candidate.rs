//! Cost of running a prompt on an engine: backlog, fetches, and recomputation.

use std::net::SocketAddr;
use std::time::Duration;

use super::engine::Engine;
use super::engine_cache::PartKey;
use super::engines::{EngineNumber, Engines};
use super::messages::{DecisionTrace, PlacementRequest, RecomputeReason, RecomputedTokens};
use super::prefill::{DEFAULT_PREFILL_TOKENS_PER_MS, PrefillEstimator};
use super::source::{Source, TransferEstimate, crossing_cost_ms, sources};
use super::store::{Store, part_key};
use crate::clock::BootTime;
use crate::deployment::EngineSpec;
use crate::fleet::locality::BytePrice;

/// Delay added by each prompt that the engine already runs, besides its prefill backlog.
const DELAY_PER_RUNNING_MS: f64 = 2.0;
/// Delay added by each request that other schedulers or entries sent to the engine: about the
/// prefill of a mean prompt.
const DELAY_PER_OTHER_MS: f64 = 25.0;
/// Cost of recomputing a token that is cached elsewhere, besides the time it takes. It makes the
/// scheduler prefer a slightly slower engine over redundant work.
const RECOMPUTE_MS_PER_TOKEN: f64 = 0.03;
/// Cost of a millisecond of link time, besides the fetch's own duration: a busy link delays other
/// fetches or forces recomputation.
const LINK_TIME_WEIGHT: f64 = 0.5;
/// Cost of each running stream that the prompt makes late, by a pause while it is prefilled. Two such
/// streams outweigh the prefill of a long prompt.
const LATE_STREAM_MS: f64 = 50.0;
/// Most that these streams cost together: about the objective of a prompt, which would be late itself if
/// it avoided them at a higher price.
const MAX_LATE_STREAMS_MS: f64 = 400.0;
/// Running prompts may use at most this fraction of an engine's KV cache. Beyond it they evict each
/// other's parts, which must then be recomputed.
const MAX_IN_USE_FRACTION: f64 = 0.97;
/// Fetches expected to take longer are not started.
const MAX_FETCH_TIME: Duration = Duration::from_millis(1_000);
/// Price of a fetch between failure domains, in milliseconds per token, above which the part is computed
/// again instead: the mean time to prefill a token and the cost of recomputing it.
const MAX_PRICE_MS_PER_TOKEN: f64 = 1.0 / DEFAULT_PREFILL_TOKENS_PER_MS + RECOMPUTE_MS_PER_TOKEN;
/// Longest fetch, as a fraction of the prompt's time-to-first-token objective.
const FETCH_OBJECTIVE_FRACTION: f64 = 0.6;

/// What a prompt needs on any engine with the same weights. Computed once per weight version and
/// shared by all candidates.
pub struct RequiredPrefix<'a> {
    request: &'a PlacementRequest,
    /// Cache salt of the prompt's parts; it includes the weight version.
    pub salt: String,
    /// Cache keys of all parts, in order.
    pub keys: Vec<PartKey>,
    /// Number of leading parts that other requests may share.
    pub shared_parts: usize,
    /// Sources of each shared part.
    sources: Vec<Vec<Source<'a>>>,
    /// Whether each shared part is stored, or computed or being computed on some engine: computing
    /// it again is redundant work.
    was_computed: Vec<bool>,
    /// Price of traffic between failure domains.
    price: BytePrice,
}

/// One engine as the place to run a prompt.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Total cost in milliseconds; the lowest wins.
    pub cost_ms: f64,
    /// Expected duration of the fetch.
    pub fetch_ms: f64,
    /// Expected time from the end of the fetch to the first token.
    pub after_fetch_ms: f64,
    /// Expected time until the engine has finished earlier work.
    pub ahead_ms: f64,
    /// Number of leading parts that are probably resident.
    pub resident_parts: usize,
    /// Source of each part, if it can be fetched.
    pub fetch: Vec<Option<SocketAddr>>,
    pub trace: DecisionTrace,
}

/// Number of leading parts that other requests may share: all but the last, which belongs to the
/// request itself.
pub fn shared_part_count(request: &PlacementRequest) -> usize {
    match request.parts.len() {
        0 | 1 => request.parts.len(),
        count => count - 1,
    }
}

impl<'a> RequiredPrefix<'a> {
    /// Computes what engines with these weights have in common. Engines are considered as sources
    /// from the number `sources_from` on; if that is `None`, nothing can be fetched.
    pub fn new(
        request: &'a PlacementRequest,
        weight_version: Option<u64>,
        stores: impl Iterator<Item = &'a Store> + Clone,
        engines: &'a Engines,
        sources_from: Option<EngineNumber>,
        price: BytePrice,
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
        let shared_parts = shared_part_count(request);
        let find_sources = |key: &PartKey| match sources_from {
            Some(from) => {
                let allowed = &request.allowed_domains;
                sources(*key, allowed, stores.clone(), engines, from, price, now)
            }
            None => Vec::new(),
        };
        let was_computed = |key: &PartKey| {
            engines.is_held(*key) || stores.clone().any(|store| store.contains(*key))
        };
        let (sources, was_computed) = (
            keys[..shared_parts].iter().map(find_sources).collect(),
            keys[..shared_parts].iter().map(was_computed).collect(),
        );
        RequiredPrefix { request, salt, keys, shared_parts, sources, was_computed, price }
    }

    /// Evaluates an engine; `None` if it lacks capacity.
    pub fn candidate(
        &self,
        engine: &Engine,
        spec: &EngineSpec,
        estimator: &PrefillEstimator,
        now: BootTime,
    ) -> Option<Candidate> {
        let request = self.request;
        let resident_parts =
            self.keys.iter().take_while(|key| engine.cache.contains(**key)).count();
        let resident_tokens =
            request.parts[..resident_parts].iter().map(|part| part.tokens).sum::<u64>();
        let in_use = self.keys.iter().zip(&request.parts);
        let in_use = in_use.filter(|(key, _)| engine.cache.is_in_use(**key));
        let in_use_tokens: u64 = in_use.map(|(_, part)| part.tokens).sum();
        // Idle parts stay in use while the prompt runs, so they count as well.
        let needed_tokens = request.prompt_tokens.saturating_sub(in_use_tokens);
        if !has_room(engine, needed_tokens, request, now) {
            return None;
        }
        let mut fetch = vec![None; request.parts.len()];
        let mut fetched_tokens = 0;
        let (mut fetch_ms, mut link_ms): (f64, f64) = (0.0, 0.0);
        let mut crossing_ms = crossing_cost_ms(request, &engine.listed.failure_domain, self.price);
        for (index, fetch_from) in fetch.iter_mut().enumerate().take(self.shared_parts) {
            let source = self.fastest_source(index, engine, spec, now);
            // Resident parts get a source, too: the engine may have evicted them unnoticed, and it
            // fetches only what it lacks.
            *fetch_from = source.map(|(address, _)| address);
            match source {
                _ if index < resident_parts => {}
                Some((_, estimate)) => {
                    fetched_tokens += request.parts[index].tokens;
                    fetch_ms = fetch_ms.max(millis(estimate.total_time()));
                    link_ms += millis(estimate.duration);
                    crossing_ms += millis(estimate.price);
                }
                // A part can be used only if all parts before it are present.
                None => break,
            }
        }
        let recomputed_parts: Vec<usize> = (resident_parts.min(self.shared_parts)
            ..self.shared_parts)
            .filter(|index| fetch[*index].is_none() && self.was_computed[*index])
            .collect();
        let (mut recomputed, mut recomputed_tokens) = (RecomputedTokens::default(), 0);
        for index in recomputed_parts {
            let tokens = request.parts[index].tokens;
            recomputed_tokens += tokens;
            *recomputed.for_reason(self.recompute_reason(index, engine, now)) += tokens as u32;
        }
        let prefill_tokens = request.prompt_tokens.saturating_sub(resident_tokens + fetched_tokens);
        let factor = engine.time_factor(estimator, now);
        let ahead_ms = millis(engine.prefill_backlog(now))
            + f64::from(engine.active_placements()) * DELAY_PER_RUNNING_MS * factor
            + engine.other_requests(now) * DELAY_PER_OTHER_MS * factor;
        let usual_time = estimator.prefill_time(prefill_tokens) + estimator.base_latency();
        let after_fetch_ms = millis(usual_time) * factor;
        let expected_ms = ahead_ms.max(fetch_ms) + after_fetch_ms;
        let late_streams = late_streams(engine, estimator, prefill_tokens, fetch_ms, now);
        let cost_ms = expected_ms
            + (f64::from(late_streams) * LATE_STREAM_MS).min(MAX_LATE_STREAMS_MS)
            + recomputed_tokens as f64 * RECOMPUTE_MS_PER_TOKEN
            + link_ms * LINK_TIME_WEIGHT
            + crossing_ms;
        let trace = DecisionTrace {
            running: engine.active_placements(),
            ahead_ms: ahead_ms as u32,
            speed_factor: factor as f32,
            late_streams,
            resident_tokens,
            fetched_tokens,
            recomputed,
            expected_ms: expected_ms as u32,
            waited_ms: 0,
            examined: 0,
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

    /// The fastest source of a part within the time limit, and its expected transfer.
    fn fastest_source(
        &self,
        index: usize,
        engine: &Engine,
        spec: &EngineSpec,
        now: BootTime,
    ) -> Option<(SocketAddr, TransferEstimate)> {
        let tokens = self.request.parts[index].tokens;
        let size_bytes = (tokens * spec.token_bytes) as f64;
        let max_price = Duration::from_secs_f64(tokens as f64 * MAX_PRICE_MS_PER_TOKEN / 1e3);
        let estimates = self
            .sources_for(index, engine)
            .map(|source| (source.address, source.estimate(size_bytes, engine, now)));
        let limit = self.max_fetch_time();
        estimates
            .filter(|(_, estimate)| estimate.total_time() <= limit && estimate.price <= max_price)
            .min_by_key(|(_, estimate)| estimate.total_time() + estimate.price)
    }

    /// Why a part that was computed elsewhere is not fetched.
    fn recompute_reason(&self, index: usize, engine: &Engine, now: BootTime) -> RecomputeReason {
        let queue_delays = self
            .sources_for(index, engine)
            .map(|source| source.estimate(0.0, engine, now).queue_delay);
        match queue_delays.min() {
            None => RecomputeReason::NowhereWhole,
            Some(delay) if delay > self.max_fetch_time() / 2 => RecomputeReason::LinkFull,
            Some(_) => RecomputeReason::LinkSlow,
        }
    }

    fn sources_for<'s>(
        &'s self,
        index: usize,
        engine: &'s Engine,
    ) -> impl Iterator<Item = &'s Source<'a>> {
        // An engine is no source for itself.
        self.sources[index].iter().filter(|source| source.address != engine.listed.address)
    }

    fn max_fetch_time(&self) -> Duration {
        let limit = self.request.objective.mul_f64(FETCH_OBJECTIVE_FRACTION);
        match self.request.elapsed < limit {
            true => limit.min(MAX_FETCH_TIME),
            // The objective can't be met any more, or none is set: a late fetch still spares the
            // engine a recomputation under load.
            false => MAX_FETCH_TIME,
        }
    }
}

/// Number of the engine's running streams that are late only if the prompt is placed there.
///
/// An engine prefills in chunks, with one step of its streams after each, and an event holds several
/// tokens. So a stream waits for about all that is prefilled, besides the usual time between two events,
/// which is about that to the first event of a prompt.
fn late_streams(
    engine: &Engine,
    estimator: &PrefillEstimator,
    prefill_tokens: u64,
    fetch_ms: f64,
    now: BootTime,
) -> u32 {
    let factor = engine.time_factor(estimator, now);
    let backlog = engine.prefill_backlog(now);
    let usual = estimator.base_latency().mul_f64(factor);
    let prefill = estimator.prefill_time(prefill_tokens).mul_f64(factor);
    // What was placed before is prefilled during a longer fetch.
    let is_joined = fetch_ms <= millis(backlog);
    let pause = usual + prefill + if is_joined { backlog } else { Duration::ZERO };
    engine.streams_delayed(usual + backlog, pause)
}

/// KV cache tokens that running prompts may use.
pub fn max_committed_tokens(engine: &Engine) -> u64 {
    (engine.capacity_tokens as f64 * MAX_IN_USE_FRACTION) as u64
}

fn has_room(engine: &Engine, new_tokens: u64, request: &PlacementRequest, now: BootTime) -> bool {
    // The answer to one more prompt tells what the engine holds.
    if engine.is_unheard(now) {
        return true;
    }
    let limit_tokens = max_committed_tokens(engine);
    let has_slot = engine.listed.slots == 0 || engine.active_placements() < engine.listed.slots;
    let fits = engine.committed_tokens() + new_tokens + request.output_tokens <= limit_tokens;
    // A prompt larger than the remaining capacity of every engine runs alone.
    has_slot && (fits || engine.active_placements() == 0)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
