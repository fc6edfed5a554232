//! Finds the engine with the lowest cost for a prompt.
//!
//! The cost depends on an engine's load and on the parts of the prompt that it holds. So the least
//! loaded engines of each group and some holders of each part are examined, however many engines
//! there are.

use rustc_hash::FxHashSet;

use super::{Eligibility, MAX_PREFILL_BACKLOG, Pace, Scheduler};
use crate::clock::BootTime;
use crate::deployment::EngineSpec;
use crate::scheduler::candidate::{Candidate, RequiredPrefix};
use crate::scheduler::engine_cache::PartKey;
use crate::scheduler::engines::{EngineGroup, EngineNumber, LoadOrder};
use crate::scheduler::messages::PlacementRequest;
use crate::scheduler::prefill::PrefillEstimator;

/// Least loaded engines that are examined, in all groups together.
pub(super) const MAX_EXAMINED: usize = 64;
/// Eligible engines examined with equally many running prompts. Their prefill backlogs count as
/// well, so more than one level is examined.
const MAX_EXAMINED_PER_LEVEL: usize = 4;
/// Eligible holders of a part that are examined.
const MAX_HOLDERS: usize = 16;
/// Holders of a part among which these are looked for.
const MAX_HOLDERS_TRIED: usize = 64;
/// Spreads consecutive tickets over all engine numbers.
const TICKET_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The engine with the lowest cost, and the prompt's parts there.
pub(super) struct BestEngine {
    pub number: EngineNumber,
    pub candidate: Candidate,
    /// Cache salt of the parts.
    pub salt: String,
    pub keys: Vec<PartKey>,
}

/// Why no engine was found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SearchError {
    /// No engine of the service, and of the required software version, is listed where the prompt may
    /// run.
    NoTargetListed,
    /// Every listed engine is ejected or excluded by the request.
    NoHealthyTarget,
    /// All eligible engines have a full prefill backlog.
    AllBusy,
    /// All eligible engines are limited and admit no prompt now.
    AllPaced(Pace),
    /// Engines are available, but none has capacity for this prompt.
    NoRoom,
}

struct Search<'a> {
    scheduler: &'a Scheduler,
    request: &'a PlacementRequest,
    spec: &'a EngineSpec,
    estimator: PrefillEstimator,
    now: BootTime,
    /// Where the examination of holders begins, which spreads prompts over them.
    first_holder: EngineNumber,
    /// What the prompt needs, by the weight version of the engine.
    required: Vec<(Option<u64>, RequiredPrefix<'a>)>,
    examined: FxHashSet<EngineNumber>,
    is_healthy: bool,
    is_free: bool,
    /// Whether an engine is busy for another reason than its rate limit.
    is_full: bool,
    /// What the engines admit that are busy because of their limits.
    paced: Option<Pace>,
    best: Option<Best>,
}

/// The best engine so far.
struct Best {
    number: EngineNumber,
    candidate: Candidate,
    prefill_free_at: BootTime,
}

impl Scheduler {
    /// Finds the engine with the lowest cost.
    ///
    /// # Errors
    /// If no engine can take the prompt now.
    pub(super) fn find_engine(
        &self,
        request: &PlacementRequest,
        now: BootTime,
    ) -> Result<BestEngine, SearchError> {
        let spec = self.engine_specs.get(&request.service).ok_or(SearchError::NoTargetListed)?;
        let is_suitable = |(group, _): &(&EngineGroup, &LoadOrder)| {
            request.accepts_software(&group.software)
                && self.is_suitable_domain(&group.failure_domain, request)
        };
        let groups: Vec<_> = self.engines.groups(&request.service).filter(is_suitable).collect();
        let engine_count: usize = groups.iter().map(|(_, order)| order.len()).sum();
        if engine_count == 0 {
            return Err(SearchError::NoTargetListed);
        }
        let mut search = Search::new(self, request, spec, now);
        if engine_count <= self.max_examined {
            groups.iter().for_each(|(_, order)| search.examine_all(order));
        } else {
            let per_group = (self.max_examined / groups.len()).max(MAX_EXAMINED_PER_LEVEL);
            for (group, order) in &groups {
                search.examine_least_loaded(group, order, per_group);
            }
            search.examine_holders();
        }
        search.finish()
    }
}

impl<'a> Search<'a> {
    fn new(
        scheduler: &'a Scheduler,
        request: &'a PlacementRequest,
        spec: &'a EngineSpec,
        now: BootTime,
    ) -> Search<'a> {
        let random = scheduler.next_ticket.wrapping_mul(TICKET_FACTOR) >> 32;
        let estimator = scheduler.estimators.get(&request.service).copied().unwrap_or_default();
        Search {
            scheduler,
            request,
            spec,
            estimator,
            now,
            first_holder: (random % u64::from(scheduler.engines.count().max(1))) as EngineNumber,
            required: Vec::new(),
            examined: FxHashSet::default(),
            is_healthy: false,
            is_free: false,
            is_full: false,
            paced: None,
            best: None,
        }
    }

    fn examine_all(&mut self, order: &LoadOrder) {
        for (_, number) in order.levels().flatten() {
            self.examine(number);
        }
    }

    fn examine_least_loaded(
        &mut self,
        group: &EngineGroup,
        order: &LoadOrder,
        max_eligible: usize,
    ) {
        let mut left = max_eligible;
        for level in order.levels() {
            let mut left_in_level = left.min(MAX_EXAMINED_PER_LEVEL);
            for (prefill_free_at, number) in level {
                if left_in_level == 0 {
                    break;
                }
                if prefill_free_at.saturating_sub(self.now) >= MAX_PREFILL_BACKLOG {
                    // The rest of the level has longer backlogs.
                    self.is_healthy |= !group.is_unhealthy;
                    self.is_full = true;
                    break;
                }
                if self.examine(number) {
                    left_in_level -= 1;
                    left -= 1;
                }
            }
            if left == 0 {
                return;
            }
        }
    }

    /// Examines holders of the prompt's shared parts, those of the last part first: they hold the
    /// parts before it, too.
    fn examine_holders(&mut self) {
        let keys: Vec<PartKey> = self
            .required
            .iter()
            .flat_map(|(_, required)| required.keys[..required.shared_parts].iter().rev())
            .copied()
            .collect();
        let engines = &self.scheduler.engines;
        for key in keys {
            let mut left = MAX_HOLDERS;
            for number in engines.holders(key, self.first_holder).take(MAX_HOLDERS_TRIED) {
                left -= usize::from(self.examine(number));
                if left == 0 {
                    break;
                }
            }
        }
    }

    /// Compares an engine with the best one. Returns whether it can take a prompt now, if it was
    /// not examined before.
    fn examine(&mut self, number: EngineNumber) -> bool {
        let Some(engine) = self.scheduler.engines.get(number) else { return false };
        if !self.examined.insert(number) {
            return false;
        }
        let weights_cost_ms = match self.scheduler.eligibility(engine, self.request, self.now) {
            Eligibility::Unsuitable | Eligibility::Unhealthy => return false,
            Eligibility::Busy => {
                (self.is_healthy, self.is_full) = (true, true);
                return false;
            }
            Eligibility::Paced(pace) => {
                self.is_healthy = true;
                self.paced = Some(self.paced.map_or(pace, |paced| paced.and(pace)));
                return false;
            }
            Eligibility::Free { weights_cost_ms } => weights_cost_ms,
        };
        (self.is_healthy, self.is_free) = (true, true);
        let index = self.required_index(engine.weight_version);
        let required = &self.required[index].1;
        let candidate = required.candidate(engine, self.spec, &self.estimator, self.now);
        if let Some(mut candidate) = candidate {
            candidate.cost_ms += weights_cost_ms;
            let prefill_free_at = engine.prefill_free_at();
            // Of equally good engines, idle ones mostly, the one that was idle for longest is
            // taken, so that contexts spread over all caches.
            let is_better = |best: &Best| {
                (candidate.cost_ms, prefill_free_at)
                    < (best.candidate.cost_ms, best.prefill_free_at)
            };
            if self.best.as_ref().is_none_or(is_better) {
                self.best = Some(Best { number, candidate, prefill_free_at });
            }
        }
        true
    }

    /// Index in `required` of the entry of a weight version, which is added if it is missing.
    fn required_index(&mut self, version: Option<u64>) -> usize {
        if let Some(index) = self.required.iter().position(|(known, _)| *known == version) {
            return index;
        }
        let scheduler = self.scheduler;
        let may_fetch = scheduler.clock.is_some() && self.now >= scheduler.fetches_allowed_from;
        let required = RequiredPrefix::new(
            self.request,
            version,
            scheduler.stores.values(),
            &scheduler.engines,
            may_fetch.then_some(self.first_holder),
            scheduler.cross_domain_price,
            self.now,
        );
        self.required.push((version, required));
        self.required.len() - 1
    }

    fn finish(self) -> Result<BestEngine, SearchError> {
        let Some(Best { number, mut candidate, .. }) = self.best else {
            return Err(match (self.is_healthy, self.is_free, self.paced) {
                (false, ..) => SearchError::NoHealthyTarget,
                (_, false, Some(pace)) if !self.is_full => SearchError::AllPaced(pace),
                (_, false, _) => SearchError::AllBusy,
                _ => SearchError::NoRoom,
            });
        };
        candidate.trace.examined = self.examined.len() as u32;
        let version = self.scheduler.engines.get(number).and_then(|engine| engine.weight_version);
        let chosen = self.required.into_iter().find(|(known, _)| *known == version);
        let (salt, keys) =
            chosen.map(|(_, required)| (required.salt, required.keys)).unwrap_or_default();
        Ok(BestEngine { number, candidate, salt, keys })
    }
}
