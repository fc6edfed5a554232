//! Routing state of a node: known targets, their reports, and accounting for running dispatches.

use std::time::Duration;

use super::decide::{Decision, RouteRequest, decide, rendezvous_weight};
use super::health::FailureCause;
use super::retry::RetryBudget;
use super::targets::{LeavingTarget, Targets};
use super::view::{EngineView, StoreView, View};
use crate::clock::BootTime;
use crate::config::{Model, Policy, Prices};
use crate::ids::{Incarnation, NodeId, TargetId, WeightVersion};
use crate::peer::message::{Dispatched, StoreImport};
use crate::prompt::{BLOCK_TOKENS, Chain};
use crate::upstream::api::{CacheEvents, LoadReport, Role, StoreReport, Target, TargetList};
use crate::upstream::chat::Usage;

/// Largest number of blocks tracked for all engines together; each takes about 93 bytes.
const MAX_TRACKED_BLOCKS_TOTAL: usize = 131_072;

#[derive(Clone, Debug)]
pub struct Router {
    node_id: NodeId,
    watched_engines_per_model: usize,
    targets: Targets,
    view: View,
    retry_budget: RetryBudget,
    last_request_number: u64,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchOutcome {
    Completed(Usage),
    /// The target refused the request without running it.
    Refused,
    Failed,
    /// The caller cancelled the request.
    Cancelled,
}

/// Why a request got no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEngine {
    /// No engine with the model and weight version accepts requests now.
    NoneAvailable,
    /// Even the best engine would miss the deadline for the first token, by this much.
    DeadlineExceeded(Duration),
}

/// A dispatch in progress. Pass it to `finish_dispatch` when it ends.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    pub decision: Decision,
    /// Base URL of the engine.
    pub url: String,
    /// Base URL of the store to import from.
    pub store_url: Option<String>,
    /// Whether the engine gives equal answers to equal requests, so that an interrupted one may be
    /// repeated.
    pub reproducible: bool,
    incarnation: Incarnation,
}

impl Router {
    /// Creates a router without targets that tracks at most `watched_engines_per_model` engines of
    /// each model.
    pub fn new(node_id: NodeId, watched_engines_per_model: usize) -> Router {
        Router {
            node_id,
            watched_engines_per_model,
            targets: Targets::default(),
            view: View { live_nodes: 1, ..View::default() },
            retry_budget: RetryBudget::default(),
            last_request_number: node_id.wrapping_mul(7),
        }
    }

    /// The state that engine selection reads.
    pub fn view(&self) -> &View {
        &self.view
    }

    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Sets the number of live nodes.
    pub fn set_live_nodes(&mut self, live_nodes: usize) {
        self.view.live_nodes = live_nodes.max(1);
    }

    /// Applies the platform's target list. Returns targets that were not known to be leaving
    /// before.
    pub fn apply_list(&mut self, list: TargetList) -> Vec<LeavingTarget> {
        let newly_leaving = self.targets.apply_list(list);
        let watched = self.engines_to_watch();
        self.view.engines.retain(|id, _| watched.iter().any(|target| target.id == *id));
        for target in &watched {
            self.watch_engine(target);
        }
        let stores: Vec<Target> =
            self.targets.iter().filter(|target| target.role == Role::Store).cloned().collect();
        self.view.stores.retain(|id, _| stores.iter().any(|store| store.id == *id));
        for store in stores {
            let url_changed =
                self.view.stores.get(&store.id).is_some_and(|known| known.url != store.url);
            if url_changed {
                self.view.stores.remove(&store.id);
            }
            self.view
                .stores
                .entry(store.id.clone())
                .or_insert_with(|| StoreView::new(&store.url, &store.failure_domain));
        }
        let blocks = MAX_TRACKED_BLOCKS_TOTAL / self.view.engines.len().max(1);
        for engine in self.view.engines.values_mut() {
            engine.residency.set_capacity(blocks);
        }
        self.refresh_takes_work();
        newly_leaving
    }

    /// Records targets that another node saw leaving. Returns those that this node didn't know of.
    pub fn apply_leaving(&mut self, leaving: &[LeavingTarget]) -> Vec<LeavingTarget> {
        let newly_leaving =
            leaving.iter().filter(|one| self.targets.mark_leaving(one)).cloned().collect();
        self.refresh_takes_work();
        newly_leaving
    }

    /// Applies an engine's load report, received at `now`.
    pub fn apply_load_report(&mut self, id: &str, report: LoadReport, now: BootTime) {
        if let Some(engine) = self.view.engines.get_mut(id) {
            let at = now.saturating_sub(Duration::from_millis(report.age_ms));
            engine.apply_report(report, at);
        }
    }

    /// Records that another node sent a request to an engine.
    pub fn record_peer_dispatch(&mut self, dispatched: &Dispatched, now: BootTime) {
        if let Some(engine) = self.view.engines.get_mut(&dispatched.engine)
            && engine.incarnation == dispatched.incarnation
        {
            engine.record_dispatch(dispatched.prefill_tokens, now);
        }
        if let Some(StoreImport { store, size_bytes }) = &dispatched.import
            && let Some(store) = self.view.stores.get_mut(store)
        {
            store.record_transfer(*size_bytes, now);
        }
    }

    /// Applies an engine's cache events.
    pub fn apply_cache_events(&mut self, id: &str, events: &CacheEvents) {
        if let Some(engine) = self.view.engines.get_mut(id) {
            engine.residency.apply_events(events);
        }
    }

    /// Applies a store's report, received at `now`.
    pub fn apply_store_report(&mut self, id: &str, report: StoreReport, now: BootTime) {
        if let Some(store) = self.view.stores.get_mut(id) {
            store.health.record_success();
            store.apply_report(report, now);
        }
    }

    /// Mutable view of a store.
    pub fn store_mut(&mut self, id: &str) -> Option<&mut StoreView> {
        self.view.stores.get_mut(id)
    }

    /// Records that a store's report could not be fetched.
    pub fn record_store_failure(&mut self, id: &str, now: BootTime) {
        if let Some(store) = self.view.stores.get_mut(id) {
            store.health.record_failure(FailureCause::Target, now);
        }
    }

    /// Records that an engine's report could not be fetched.
    pub fn record_engine_failure(&mut self, id: &str, now: BootTime) {
        if let Some(engine) = self.view.engines.get_mut(id) {
            engine.health.record_failure(FailureCause::Target, now);
        }
    }

    /// Returns a number that differs from that of the previous request.
    pub fn next_request_number(&mut self) -> u64 {
        self.last_request_number = self.last_request_number.wrapping_add(1);
        self.last_request_number
    }

    /// Selects an engine and reserves capacity on it. `deadline` is for the first token.
    ///
    /// # Errors
    /// Returns why no engine was selected; then nothing is reserved.
    pub fn start_dispatch(
        &mut self,
        policy: Policy,
        prices: &Prices,
        request: &RouteRequest<'_>,
        deadline: BootTime,
        now: BootTime,
    ) -> Result<Dispatch, NoEngine> {
        let decision =
            decide(policy, prices, &self.view, request, now).ok_or(NoEngine::NoneAvailable)?;
        let late = (now + decision.time_to_first_token).saturating_sub(deadline);
        if !late.is_zero() {
            return Err(NoEngine::DeadlineExceeded(late));
        }
        let engine = self.view.engines.get_mut(&decision.engine).ok_or(NoEngine::NoneAvailable)?;
        engine.running += 1;
        engine.record_dispatch(decision.prefill_tokens, now);
        // Recorded before the engine reports it, so that the next request with this context is
        // routed there too.
        engine.residency.expect_resident(&request.chain.keys);
        let dispatch = Dispatch {
            url: engine.url.clone(),
            store_url: None,
            reproducible: engine.fresh_report(now).is_some_and(|report| report.reproducible),
            incarnation: engine.incarnation,
            decision,
        };
        Ok(self.reserve_import(dispatch, now))
    }

    /// Releases what a dispatch reserved, and updates the engine's health and expected cache.
    pub fn finish_dispatch(
        &mut self,
        dispatch: &Dispatch,
        chain: &Chain,
        outcome: DispatchOutcome,
        now: BootTime,
    ) {
        let Some(engine) = self.view.engines.get_mut(&dispatch.decision.engine) else { return };
        if engine.incarnation != dispatch.incarnation {
            return;
        }
        engine.running = engine.running.saturating_sub(1);
        match outcome {
            DispatchOutcome::Completed(usage) => {
                engine.health.record_success();
                let details = usage.prompt_tokens_details;
                let resident = details.cached_tokens.saturating_sub(details.imported_tokens);
                let found = resident as usize / BLOCK_TOKENS;
                let expected = dispatch.decision.resident_blocks;
                engine.residency.record_result(&chain.keys, expected, found);
            }
            DispatchOutcome::Refused => engine.residency.remove_prefix(&chain.keys),
            DispatchOutcome::Failed => {
                engine.residency.remove_prefix(&chain.keys);
                engine.health.record_failure(FailureCause::Target, now);
            }
            DispatchOutcome::Cancelled => {}
        }
    }

    /// Records a first attempt in the retry budget.
    pub fn deposit_retry(&mut self) {
        self.retry_budget.deposit();
    }

    /// Takes one retry from the budget. Returns false if it is empty.
    pub fn try_spend_retry(&mut self) -> bool {
        self.retry_budget.try_spend()
    }

    /// Chooses the weight version for a new request. During a rollout, each version that the model
    /// serves is chosen in proportion to the number of engines that have loaded it.
    pub fn choose_weight_version(
        &self,
        id: &str,
        model: &Model,
        request_number: u64,
        now: BootTime,
    ) -> WeightVersion {
        let Some(next) = &model.next_version else { return model.weight_version.clone() };
        let engines = self.view.engines.values();
        let versions: Vec<&WeightVersion> = engines
            .filter(|engine| engine.model == id && engine.takes_work)
            .filter_map(|engine| engine.fresh_report(now)?.weight_version.as_ref())
            .filter(|version| model.serves(version))
            .collect();
        let has_next = versions.iter().filter(|version| **version == next).count();
        let index = request_number as usize % versions.len().max(1);
        if index < has_next { next.clone() } else { model.weight_version.clone() }
    }

    /// Number of requests that this node may run at once on all engines: its share of twice their
    /// batch sizes, so that a request is ready whenever a batch slot is freed.
    pub fn request_capacity(&self, now: BootTime) -> usize {
        let batch_slots: usize = self
            .view
            .engines
            .values()
            .filter(|engine| engine.takes_work)
            .filter_map(|engine| engine.fresh_report(now))
            .map(|report| report.max_batch as usize * 2)
            .sum();
        batch_slots.div_ceil(self.view.live_nodes).max(1)
    }

    /// For each model, the engines with the highest rendezvous weight for this node. Together, the
    /// nodes watch all engines.
    fn engines_to_watch(&self) -> Vec<Target> {
        let mut engines: Vec<(u64, &Target)> = self
            .targets
            .iter()
            .filter(|target| matches!(target.role, Role::Engine { .. }))
            .map(|target| (rendezvous_weight(self.node_id.into(), &target.id), target))
            .collect();
        engines.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let mut of_model: std::collections::BTreeMap<&str, usize> = Default::default();
        engines
            .into_iter()
            .filter(|(_, target)| {
                let Role::Engine { model } = &target.role else { return false };
                let watched = of_model.entry(model).or_default();
                *watched += 1;
                *watched <= self.watched_engines_per_model
            })
            .map(|(_, target)| target.clone())
            .collect()
    }

    fn watch_engine(&mut self, target: &Target) {
        let Role::Engine { model } = &target.role else { return };
        let known = self.view.engines.get(&target.id).map(|engine| engine.incarnation);
        if known != Some(target.incarnation) {
            let engine =
                EngineView::new(model, &target.url, &target.failure_domain, target.incarnation);
            self.view.engines.insert(target.id.clone(), engine);
        }
    }

    fn refresh_takes_work(&mut self) {
        for target in self.targets.iter() {
            let takes_work = self.targets.takes_work(target);
            if let Some(engine) = self.view.engines.get_mut(&target.id) {
                engine.takes_work = takes_work;
            }
            if let Some(store) = self.view.stores.get_mut(&target.id) {
                store.takes_work = takes_work;
            }
        }
    }

    fn reserve_import(&mut self, mut dispatch: Dispatch, now: BootTime) -> Dispatch {
        if let Some(import) = &dispatch.decision.import
            && let Some(store) = self.view.stores.get_mut(&import.store)
        {
            store.record_transfer(import.object.size_bytes, now);
            dispatch.store_url = Some(store.url.clone());
        }
        dispatch
    }
}

impl Dispatch {
    /// The message that tells other nodes about this dispatch.
    pub fn announcement(&self) -> Dispatched {
        Dispatched {
            engine: self.decision.engine.clone(),
            incarnation: self.incarnation,
            prefill_tokens: self.decision.prefill_tokens,
            import: self.decision.import.as_ref().map(|import| StoreImport {
                store: import.store.clone(),
                size_bytes: import.object.size_bytes,
            }),
        }
    }

    pub fn engine(&self) -> &TargetId {
        &self.decision.engine
    }
}
