//! Gives orders to engines while this replica leads.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::engine_report;
use super::replica::Input;
use super::rollout_plan::{
    EngineReport, PendingLoad, RunningPrompts, WeightOrder, max_concurrent_loads, next_loads,
};
use super::scheduler_service::SchedulerService;
use super::shared::Shared;
use super::state::{Command, Reply};
use crate::deployment::ServiceRole;
use crate::fleet::Listed;
use crate::ids::{ServiceId, TargetStart};
use crate::log::Term;
use crate::net::http::{Exchange, fetch};
use crate::platform::engines;

/// How often the leader looks for engines that lag.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often an engine that loads is asked whether it is done. Loads take 270 ms and more, and each
/// question has a price.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// How long an engine that gets no new prompts may take to finish those that it runs. Streams last
/// up to two seconds, most less than one.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(600);
/// How often it is looked whether an engine has finished, or another may load.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// An engine that has not loaded after this time is looked at anew.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// An order is answered within milliseconds. One without an answer is given again: it is void if the
/// first one was taken after all, or is carried out late.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// A bit more than the period that two holders must keep apart, for timers that fire late.
const ORDER_LEASE_MARGIN: Duration = Duration::from_millis(400);

/// What orders need to know.
pub struct RolloutController {
    /// The replica's state.
    pub shared: Rc<Shared>,
    /// Places prompts, but not on engines that are about to load.
    pub scheduling: Rc<SchedulerService>,
    /// Takes commands.
    pub inputs: mpsc::Sender<Input>,
    /// Orders of two holders to one engine must be at least this far apart.
    pub order_lease: Duration,
    /// Engines that load.
    pub loads_in_progress: Cell<usize>,
    /// Engines that have not answered their order. They may carry it out seconds later, and get prompts
    /// until they do: else all others would wait for them.
    pub unanswered: RefCell<BTreeSet<TargetStart>>,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderOutcome {
    /// The engine carries it out, or has.
    Accepted,
    /// The engine does not carry it out.
    Refused,
    /// It may be carried out, now or seconds later.
    Unanswered,
}

/// One of the engines that load, until it is dropped.
struct LoadSlot<'o>(&'o Cell<usize>);

impl<'o> LoadSlot<'o> {
    fn acquire(loads_in_progress: &'o Cell<usize>) -> LoadSlot<'o> {
        loads_in_progress.set(loads_in_progress.get() + 1);
        LoadSlot(loads_in_progress)
    }
}

impl Drop for LoadSlot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl RolloutController {
    /// Runs for as long as the process lives.
    pub async fn run(self: Rc<RolloutController>) {
        let mut lease_term = None;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let (leads, term) = {
                let view = self.shared.view.borrow();
                (view.leads, view.term)
            };
            if !leads {
                continue;
            }
            // Taken as soon as it leads: the wait for an earlier holder is over by the time that
            // there is something to order.
            if lease_term != Some(term) {
                lease_term = self.acquire_order_lease(term).await;
                continue;
            }
            for load in self.pending_loads() {
                let controller = self.clone();
                // Before the task runs, so that the next look does not find it again.
                controller.shared.changing.borrow_mut().insert(load.engine.clone());
                tokio::task::spawn_local(async move {
                    controller.update_weights(&load, term).await;
                    controller.shared.changing.borrow_mut().remove(&load.engine);
                    controller.unanswered.borrow_mut().remove(&load.engine);
                });
            }
        }
    }

    fn pending_loads(&self) -> Vec<PendingLoad> {
        let view = self.shared.view.borrow();
        let roster = self.shared.roster.borrow();
        let services = view.state.published.as_ref().map(|known| &known.deployment.services);
        let is_engine_service = |service: &ServiceId| {
            let service = services.and_then(|services| services.get(service));
            service.is_some_and(|service| matches!(service.role, ServiceRole::Engines(_)))
        };
        let (changing, unanswered) = (self.shared.changing.borrow(), self.unanswered.borrow());
        next_loads(&roster.roster, &view.state.weights, &changing, &unanswered, is_engine_service)
    }

    /// Becomes the only holder, and waits until no order of an earlier one can be under way.
    async fn acquire_order_lease(&self, term: Term) -> Option<Term> {
        let holder = self.shared.node;
        let (sender, decided) = oneshot::channel();
        let command = Command::AcquireOrderLease { holder };
        self.inputs.send(Input::Propose(command, sender)).await.ok()?;
        let Ok(Ok(Reply::OrderLease { previous })) = decided.await else { return None };
        if previous.is_some_and(|previous| previous != holder) {
            log::info!(
                "event=orders_wait previous={previous:?} wait_ms={}",
                self.order_lease.as_millis()
            );
            tokio::time::sleep(self.order_lease + ORDER_LEASE_MARGIN).await;
        }
        log::info!("event=orders_lease_acquired holder={holder} fencing={term}");
        Some(term)
    }

    /// Has an engine load the newest weights, with as little as possible of what it runs disturbed.
    async fn update_weights(&self, load: &PendingLoad, term: Term) {
        self.publish_changing();
        let target = self.shared.roster.borrow().roster.get(&load.engine).cloned();
        let Some(target) = target else { return };
        self.drain(&target).await;
        self.load(&target, load, term).await;
    }

    /// Has the scheduler know at once which engines get no prompts.
    fn publish_changing(&self) {
        let _ = self.scheduling.with_scheduler(|scheduler| {
            scheduler.observe_changing(&self.shared.changing.borrow());
        });
    }

    /// The engine has not answered its order: it gets prompts again until it carries it out.
    fn mark_unanswered(&self, engine: &TargetStart) {
        self.unanswered.borrow_mut().insert(engine.clone());
        self.shared.changing.borrow_mut().remove(engine);
        self.publish_changing();
    }

    /// The engine carries out its order.
    fn mark_loading(&self, engine: &TargetStart) {
        self.shared.changing.borrow_mut().insert(engine.clone());
        self.unanswered.borrow_mut().remove(engine);
        self.publish_changing();
    }

    /// Waits until another engine of the model may load.
    async fn wait_for_load_slot(&self, load: &PendingLoad) {
        while self.loads_in_progress.get() >= self.max_concurrent_loads(load) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn max_concurrent_loads(&self, load: &PendingLoad) -> usize {
        max_concurrent_loads(&self.shared.roster.borrow().roster, &load.model)
    }

    async fn drain(&self, target: &Listed) {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while Instant::now() < deadline && self.placed_on(target) > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn placed_on(&self, target: &Listed) -> u32 {
        self.scheduling
            .with_scheduler(|scheduler| scheduler.placed_on(&target.start))
            .unwrap_or_default()
    }

    async fn load(&self, target: &Listed, load: &PendingLoad, term: Term) {
        let deadline = Instant::now() + LOAD_TIMEOUT;
        let mut version = load.version;
        // Held from the order that the engine takes to the end of the load.
        let mut slot = None;
        let mut was_busy = false;
        while Instant::now() < deadline && self.may_order(term) && self.is_listed(target) {
            if slot.is_none() {
                // One that is awaited may begin at any time, and is looked at until then.
                if !self.is_unanswered(&target.start) {
                    self.wait_for_load_slot(load).await;
                }
                // Newer ones may have been named while it waited for its turn.
                version = self.newest_version(load);
            }
            let report = engine_report::read(&target.start, target.address).await;
            if was_busy && report.as_ref().is_some_and(|report| !report.is_busy) {
                // It has carried out an order, but one for weights that were replaced meanwhile.
                (slot, was_busy) = (None, false);
            }
            if let Some(report) = &report
                && report.weights.get(&load.model).is_some_and(|has| *has >= version)
            {
                self.shared
                    .change_roster(|known| known.set_weights(&target.start, &report.weights));
                log::info!("event=weights_loaded engine={} version={version}", target.start);
                return;
            }
            match report {
                Some(report) if report.is_busy => {
                    was_busy = true;
                    slot.get_or_insert_with(|| LoadSlot::acquire(&self.loads_in_progress));
                    self.mark_loading(&target.start);
                }
                Some(report) if slot.is_none() => {
                    let acquired = LoadSlot::acquire(&self.loads_in_progress);
                    let load = PendingLoad { version, ..load.clone() };
                    match self.order(target, &load, &report, term).await {
                        OrderOutcome::Accepted => {
                            slot = Some(acquired);
                            self.mark_loading(&target.start);
                        }
                        OrderOutcome::Unanswered => self.mark_unanswered(&target.start),
                        OrderOutcome::Refused => {}
                    }
                }
                Some(_) => {}
                // Gone, or cut off: the list tells before long.
                None => return tokio::time::sleep(LOAD_POLL_INTERVAL * 2).await,
            }
            tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        }
        log::warn!(
            "event=weights_not_loaded engine={} version={version} term={term}",
            target.start
        );
    }

    fn is_unanswered(&self, engine: &TargetStart) -> bool {
        self.unanswered.borrow().contains(engine)
    }

    fn newest_version(&self, load: &PendingLoad) -> u64 {
        let view = self.shared.view.borrow();
        view.state.weights.get(&load.model).copied().unwrap_or(load.version)
    }

    /// Whether this start of an engine is still the one that is there.
    fn is_listed(&self, target: &Listed) -> bool {
        self.shared.roster.borrow().roster.get(&target.start).is_some()
    }

    fn may_order(&self, term: Term) -> bool {
        let view = self.shared.view.borrow();
        view.leads && view.term == term && self.shared.caught_up_at.get().is_some()
    }

    async fn order(
        &self,
        target: &Listed,
        load: &PendingLoad,
        report: &EngineReport,
        fencing: u64,
    ) -> OrderOutcome {
        // The report was on its way for a while.
        if !self.may_order(fencing) || !self.is_listed(target) {
            return OrderOutcome::Refused;
        }
        let order = WeightOrder {
            model: load.model.clone(),
            version: load.version,
            running: match self.placed_on(target) {
                0 => RunningPrompts::Finish,
                // It was given prompts in the meantime: what they make under other weights is worth
                // nothing.
                _ if self.is_unanswered(&target.start) => RunningPrompts::Finish,
                _ => RunningPrompts::GoOn,
            },
            holder: self.shared.node,
            fencing,
            orders_accepted: report.orders_accepted,
        };
        let call = Exchange::new(target.address, Method::POST, engines::ORDER_PATH)
            .expecting(&target.start.id)
            .with_json(engines::encode_order(&order));
        let answer = fetch(call, ORDER_TIMEOUT).await;
        let status = answer.as_ref().map(|answer| answer.status);
        log::info!(
            "event=weights_ordered engine={} version={} fencing={fencing} orders_accepted={} \
             running={:?} answer={status:?}",
            target.start,
            load.version,
            report.orders_accepted,
            order.running,
        );
        match status {
            Ok(status) if status.is_success() => OrderOutcome::Accepted,
            Ok(_) => OrderOutcome::Refused,
            Err(_) => OrderOutcome::Unanswered,
        }
    }
}
