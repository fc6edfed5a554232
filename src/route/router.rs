//! A node's routing state: targets, their reports, and the bookkeeping around each decision.

use std::time::Duration;

use super::decide::{Ask, Decision, decide, rendezvous};
use super::health::Fault;
use super::retry::RetryBudget;
use super::targets::{Leaving, Targets};
use super::view::{EngineView, StoreView, View};
use crate::clock::BootTime;
use crate::config::{Model, Policy, Prices};
use crate::ids::{Incarnation, NodeId, TargetId, WeightVersion};
use crate::peer::message::{Dispatched, StoreImport};
use crate::prompt::{BLOCK_TOKENS, Chain};
use crate::upstream::api::{CacheEvents, LoadReport, Role, StoreReport, Target, TargetList};
use crate::upstream::chat::Usage;

/// Blocks remembered for all engines together: about 93 bytes each.
const ALL_BLOCKS: usize = 131_072;

/// Routing state of one node.
#[derive(Clone, Debug)]
pub struct Router {
    node_id: NodeId,
    watched_engines: usize,
    targets: Targets,
    view: View,
    budget: RetryBudget,
    decisions: u64,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// With a whole answer.
    Whole(Usage),
    /// The target did not run it, for a good reason.
    Refused,
    /// The target failed it.
    Failed,
    /// The caller gave it up.
    Cancelled,
}

/// Why no engine gets a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEngine {
    /// None of its model and version takes work now.
    NoneTakesWork,
    /// The best one would give the first token so much after the deadline.
    TooLate(Duration),
}

/// A dispatch that runs; hand it back to `end`.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// What was decided.
    pub decision: Decision,
    /// The engine's base URL.
    pub url: String,
    /// The base URL of the store to import from.
    pub store_url: Option<String>,
    /// Whether the engine may be asked again for the same text.
    pub reproducible: bool,
    incarnation: Incarnation,
}

impl Router {
    /// A router that knows no target yet and watches at most `watched_engines` of each model.
    pub fn new(node_id: NodeId, watched_engines: usize) -> Router {
        Router {
            node_id,
            watched_engines,
            targets: Targets::default(),
            view: View { nodes: 1, ..View::default() },
            budget: RetryBudget::default(),
            decisions: node_id.wrapping_mul(7),
        }
    }

    /// What decisions read.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The known targets.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Records how many nodes are live.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.view.nodes = nodes.max(1);
    }

    /// Takes the platform's list. Returns the targets newly seen leaving.
    pub fn take_list(&mut self, list: TargetList) -> Vec<Leaving> {
        let news = self.targets.take(list);
        let watched = self.watched();
        self.view.engines.retain(|id, _| watched.iter().any(|target| target.id == *id));
        for target in &watched {
            self.place_engine(target);
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
        let blocks = ALL_BLOCKS / self.view.engines.len().max(1);
        for engine in self.view.engines.values_mut() {
            engine.residency.set_capacity(blocks);
        }
        self.refresh_leaving();
        news
    }

    /// Records targets that another node saw leaving. Returns those that were news.
    pub fn take_leaving(&mut self, leaving: &[Leaving]) -> Vec<Leaving> {
        let news = leaving.iter().filter(|one| self.targets.leave(one)).cloned().collect();
        self.refresh_leaving();
        news
    }

    /// Takes an engine's load report that was read at `now`.
    pub fn take_load(&mut self, id: &str, report: LoadReport, now: BootTime) {
        if let Some(engine) = self.view.engines.get_mut(id) {
            let at = now.saturating_sub(Duration::from_millis(report.age_ms));
            engine.take_report(report, at);
        }
    }

    /// Takes the news that another node sent a request to an engine.
    pub fn take_dispatched(&mut self, dispatched: &Dispatched, now: BootTime) {
        if let Some(engine) = self.view.engines.get_mut(&dispatched.engine)
            && engine.incarnation == dispatched.incarnation
        {
            engine.note_dispatch(dispatched.prefill_tokens, now);
        }
        if let Some(StoreImport { store, size_bytes }) = &dispatched.import
            && let Some(store) = self.view.stores.get_mut(store)
        {
            store.note_transfer(*size_bytes, now);
        }
    }

    /// Takes an engine's cache events.
    pub fn take_events(&mut self, id: &str, events: &CacheEvents) {
        if let Some(engine) = self.view.engines.get_mut(id) {
            engine.residency.take(events);
        }
    }

    /// Takes a store's report that was read at `now`.
    pub fn take_store(&mut self, id: &str, report: StoreReport, now: BootTime) {
        if let Some(store) = self.view.stores.get_mut(id) {
            store.health.succeeded();
            store.take_report(report, now);
        }
    }

    /// A store as this node sees it.
    pub fn store_mut(&mut self, id: &str) -> Option<&mut StoreView> {
        self.view.stores.get_mut(id)
    }

    /// Records that a store could not be asked.
    pub fn store_failed(&mut self, id: &str, now: BootTime) {
        if let Some(store) = self.view.stores.get_mut(id) {
            store.health.failed(Fault::Target, now);
        }
    }

    /// Records that an engine could not be asked for its report.
    pub fn engine_failed(&mut self, id: &str, now: BootTime) {
        if let Some(engine) = self.view.engines.get_mut(id) {
            engine.health.failed(Fault::Target, now);
        }
    }

    /// A number for the next request that differs from one to the next.
    pub fn draw(&mut self) -> u64 {
        self.decisions = self.decisions.wrapping_add(1);
        self.decisions
    }

    /// Decides and books the dispatch. `deadline` is when the first token is due.
    ///
    /// # Errors
    /// Why no engine gets the request; nothing is booked then.
    pub fn begin(
        &mut self,
        policy: Policy,
        prices: &Prices,
        ask: &Ask<'_>,
        deadline: BootTime,
        now: BootTime,
    ) -> Result<Dispatch, NoEngine> {
        let decision =
            decide(policy, prices, &self.view, ask, now).ok_or(NoEngine::NoneTakesWork)?;
        let late = (now + decision.first_token).saturating_sub(deadline);
        if !late.is_zero() {
            return Err(NoEngine::TooLate(late));
        }
        let engine = self.view.engines.get_mut(&decision.engine).ok_or(NoEngine::NoneTakesWork)?;
        engine.running += 1;
        engine.note_dispatch(decision.prefill_tokens, now);
        // Known before the engine says so: the next request with this context goes there too.
        engine.residency.expect(&ask.chain.keys);
        let dispatch = Dispatch {
            url: engine.url.clone(),
            store_url: None,
            reproducible: engine.fresh_report(now).is_some_and(|report| report.reproducible),
            incarnation: engine.incarnation,
            decision,
        };
        Ok(self.book_import(dispatch, now))
    }

    /// Books a dispatch's end.
    pub fn end(&mut self, dispatch: &Dispatch, chain: &Chain, ended: Ended, now: BootTime) {
        let Some(engine) = self.view.engines.get_mut(&dispatch.decision.engine) else { return };
        if engine.incarnation != dispatch.incarnation {
            return;
        }
        engine.running = engine.running.saturating_sub(1);
        match ended {
            Ended::Whole(usage) => {
                engine.health.succeeded();
                let details = usage.prompt_tokens_details;
                let resident = details.cached_tokens.saturating_sub(details.imported_tokens);
                let found = resident as usize / BLOCK_TOKENS;
                let believed = dispatch.decision.resident_blocks;
                engine.residency.proved(&chain.keys, believed, found);
            }
            Ended::Refused => engine.residency.withdraw(&chain.keys),
            Ended::Failed => {
                engine.residency.withdraw(&chain.keys);
                engine.health.failed(Fault::Target, now);
            }
            Ended::Cancelled => {}
        }
    }

    /// Records a request that is sent for the first time.
    pub fn earn_retry(&mut self) {
        self.budget.earn();
    }

    /// Takes one retry from the budget; false if there is none.
    pub fn spend_retry(&mut self) -> bool {
        self.budget.spend()
    }

    /// The weight version for a new request: of those in service, each in proportion to the
    /// engines that have it.
    pub fn version_for(&self, id: &str, model: &Model, draw: u64, now: BootTime) -> WeightVersion {
        let Some(next) = &model.next_version else { return model.weight_version.clone() };
        let engines = self.view.engines.values();
        let versions: Vec<&WeightVersion> = engines
            .filter(|engine| engine.model == id && engine.takes_work)
            .filter_map(|engine| engine.fresh_report(now)?.weight_version.as_ref())
            .filter(|version| model.serves(version))
            .collect();
        let has_next = versions.iter().filter(|version| **version == next).count();
        let drawn = draw as usize % versions.len().max(1);
        if drawn < has_next { next.clone() } else { model.weight_version.clone() }
    }

    /// Requests that this node may run at once on the engines of all models: its share of twice
    /// their batches, so that the next one is there when a place gets free.
    pub fn capacity(&self, now: BootTime) -> usize {
        let places: usize = self
            .view
            .engines
            .values()
            .filter(|engine| engine.takes_work)
            .filter_map(|engine| engine.fresh_report(now))
            .map(|report| report.max_batch as usize * 2)
            .sum();
        places.div_ceil(self.view.nodes).max(1)
    }

    /// The engines that this node watches: of each model those with the highest rendezvous weight
    /// for this node, so that all nodes together watch all engines.
    fn watched(&self) -> Vec<Target> {
        let mut engines: Vec<(u64, &Target)> = self
            .targets
            .iter()
            .filter(|target| matches!(target.role, Role::Engine { .. }))
            .map(|target| (rendezvous(self.node_id.into(), &target.id), target))
            .collect();
        engines.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        let mut of_model: std::collections::BTreeMap<&str, usize> = Default::default();
        engines
            .into_iter()
            .filter(|(_, target)| {
                let Role::Engine { model } = &target.role else { return false };
                let watched = of_model.entry(model).or_default();
                *watched += 1;
                *watched <= self.watched_engines
            })
            .map(|(_, target)| target.clone())
            .collect()
    }

    fn place_engine(&mut self, target: &Target) {
        let Role::Engine { model } = &target.role else { return };
        let known = self.view.engines.get(&target.id).map(|engine| engine.incarnation);
        if known != Some(target.incarnation) {
            let engine =
                EngineView::new(model, &target.url, &target.failure_domain, target.incarnation);
            self.view.engines.insert(target.id.clone(), engine);
        }
    }

    fn refresh_leaving(&mut self) {
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

    fn book_import(&mut self, mut dispatch: Dispatch, now: BootTime) -> Dispatch {
        if let Some(import) = &dispatch.decision.import
            && let Some(store) = self.view.stores.get_mut(&import.store)
        {
            store.note_transfer(import.object.size_bytes, now);
            dispatch.store_url = Some(store.url.clone());
        }
        dispatch
    }
}

impl Dispatch {
    /// What other nodes are told of it.
    pub fn news(&self) -> Dispatched {
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

    /// The engine.
    pub fn engine(&self) -> &TargetId {
        &self.decision.engine
    }
}
