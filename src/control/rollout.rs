//! Rolls out weights: the leader orders engines to load the newest named version.

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
use super::state::Command;
use crate::deployment::ServiceRole;
use crate::fleet::Listed;
use crate::ids::{NodeId, ServiceId, TargetStart};
use crate::log::Term;
use crate::net::http::{HttpCall, fetch, shown_status};
use crate::platform::engines;
use crate::telemetry::logs::or_dash;

/// How often the leader looks for engines with outdated weights.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How often an engine is polled while it loads. Each request is charged.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// How long an engine that gets no new prompts may take to finish its running ones before it loads.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(600);
/// How often to check whether an engine has drained or a load slot is free.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a load is abandoned. The engine is then picked again if it still runs outdated
/// weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// How long an engine that has accepted an order may be silent before its load is given up. Covers a few reports
/// that are missed; a load without a bound would hold up the other engines until the list shows that its engine is gone.
const MAX_LOAD_SILENCE: Duration = Duration::from_secs(2);
/// Timeout of an order, which is normally answered within milliseconds. Repeating an order is safe:
/// the engine rejects the second one if it has accepted the first.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// Added to the lease wait, for timers that fire late. A leader whose leadership was not confirmed for this long
/// sends no orders.
const ORDER_LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Sends orders to engines while this replica is the leader.
pub struct RolloutController {
    /// The shared state of the replica.
    pub shared: Rc<Shared>,
    /// Keeps prompts off engines that are about to load.
    pub scheduling: Rc<SchedulerService>,
    /// Accepts commands for the replicated log.
    pub inputs: mpsc::Sender<Input>,
    /// Minimum time between orders of different replicas to one engine.
    pub order_lease: Duration,
    /// Number of engines that are loading.
    pub loads_in_progress: Cell<usize>,
    /// Engines that have not answered an order. They may still carry it out seconds later, and get
    /// prompts until then so that they do not hold up the rollout.
    pub unanswered: RefCell<BTreeSet<TargetStart>>,
    /// Engines that did not answer the last request for their report. The list may still contain
    /// them for a long time.
    pub unreachable: RefCell<BTreeSet<TargetStart>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderOutcome {
    /// The engine has accepted the order.
    Accepted,
    /// The order was not sent, or the engine has rejected it.
    Refused,
    /// The engine has not answered and may carry out the order at any time.
    Unanswered,
}

/// Counts a load as in progress until dropped.
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
            // Acquire the lease at the start of the term, so that the wait for the previous holder
            // is over before there is anything to order.
            if lease_term != Some(term) {
                lease_term = self.acquire_order_lease(term).await;
                continue;
            }
            for load in self.pending_loads() {
                let controller = self.clone();
                // Before the task runs, so that the next iteration does not pick the engine again.
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
        next_loads(
            &roster.roster,
            &view.state.weights,
            &self.shared.changing.borrow(),
            &self.unanswered.borrow(),
            &self.unreachable.borrow(),
            is_engine_service,
        )
    }

    /// Waits until no order of the previous holder of the order lease can still be in flight, and then becomes the
    /// holder.
    ///
    /// The log names the last replica that may have ordered. A holder is recorded only after its wait, so that a
    /// replica that restarts while it waits, and leads again, still finds the holder before it.
    async fn acquire_order_lease(&self, term: Term) -> Option<Term> {
        let holder = self.shared.node;
        let previous = self.recorded_holder().await?;
        if previous.is_some_and(|previous| previous != holder) {
            self.wait_for_order_lease(previous, term).await?;
        }
        let (sender, reply) = oneshot::channel();
        let command = Command::AcquireOrderLease { holder };
        // Nobody else is recorded in this term, so the holder is still the one that was read.
        self.inputs.send(Input::ProposeInTerm(term, command, sender)).await.ok()?;
        reply.await.ok()?.ok()?;
        log::info!("event=orders_lease_acquired holder={holder} fencing={term}");
        Some(term)
    }

    /// The replica that may have sent orders last, as of a read that a quorum has confirmed: this replica may not
    /// have applied all entries yet.
    async fn recorded_holder(&self) -> Option<Option<NodeId>> {
        let (sender, reply) = oneshot::channel();
        self.inputs.send(Input::Read(sender)).await.ok()?;
        Some(reply.await.ok()?.ok()?.order_lease_holder)
    }

    /// Waits out the lease of another holder. Returns `None` once this replica no longer leads `term`: another
    /// one may have ordered by the time it leads again.
    async fn wait_for_order_lease(&self, of: Option<NodeId>, term: Term) -> Option<()> {
        let wait = self.order_lease + ORDER_LEASE_MARGIN;
        log::info!("event=orders_wait previous={} wait_ms={}", or_dash(of), wait.as_millis());
        let until = Instant::now() + wait;
        while Instant::now() < until {
            tokio::time::sleep_until(until.min(Instant::now() + POLL_INTERVAL)).await;
            let view = self.shared.view.borrow();
            if !view.leads || view.term != term {
                return None;
            }
        }
        Some(())
    }

    /// Drains an engine and has it load the newest weights.
    async fn update_weights(&self, load: &PendingLoad, term: Term) {
        self.publish_changing();
        let target = self.shared.roster.borrow().roster.get(&load.engine).cloned();
        let Some(target) = target else { return };
        self.drain(&target).await;
        self.load(&target, load, term).await;
    }

    /// Tells the scheduler which engines get no prompts.
    fn publish_changing(&self) {
        let _ = self.scheduling.with_scheduler(|scheduler| {
            scheduler.observe_changing(&self.shared.changing.borrow());
        });
    }

    /// Lets an engine get prompts again until it carries out the order that it has not answered.
    fn mark_unanswered(&self, engine: &TargetStart) {
        self.unanswered.borrow_mut().insert(engine.clone());
        self.shared.changing.borrow_mut().remove(engine);
        self.publish_changing();
    }

    /// Keeps prompts off an engine that carries out its order.
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
        // Held from the accepted order to the end of the load.
        let mut slot = None;
        let mut was_busy = false;
        let mut reported_at = Instant::now();
        while Instant::now() < deadline && self.may_order(term) && self.is_listed(target) {
            if slot.is_none() {
                // An engine with an unanswered order may start to load at any time and is polled
                // without a wait.
                if !self.is_unanswered(&target.start) {
                    self.wait_for_load_slot(load).await;
                }
                // A newer version may have been named during the wait.
                version = self.newest_version(load);
            }
            let report = self.read_report(target).await;
            if report.is_some() {
                reported_at = Instant::now();
            }
            if was_busy && report.as_ref().is_some_and(|report| !report.is_busy) {
                // The load has ended. Another order is needed if it was for an outdated version.
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
                // It may still load, and another one must not begin.
                None if slot.is_some() && reported_at.elapsed() < MAX_LOAD_SILENCE => {}
                // Gone or unreachable. The roster will show which.
                None => return tokio::time::sleep(LOAD_POLL_INTERVAL * 2).await,
            }
            tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        }
        log::warn!(
            "event=weights_not_loaded engine={} version={version} term={term}",
            target.start
        );
    }

    /// Reads the report of an engine, and records whether it can be reached.
    async fn read_report(&self, target: &Listed) -> Option<EngineReport> {
        let report = engine_report::read(&target.start, target.address).await;
        let mut unreachable = self.unreachable.borrow_mut();
        if report.is_some() {
            unreachable.remove(&target.start);
        } else {
            let roster = self.shared.roster.borrow();
            unreachable.retain(|start| roster.roster.get(start).is_some());
            unreachable.insert(target.start.clone());
        }
        report
    }

    fn is_unanswered(&self, engine: &TargetStart) -> bool {
        self.unanswered.borrow().contains(engine)
    }

    fn newest_version(&self, load: &PendingLoad) -> u64 {
        let view = self.shared.view.borrow();
        view.state.weights.get(&load.model).copied().unwrap_or(load.version)
    }

    /// Whether the roster still contains this start of the engine.
    fn is_listed(&self, target: &Listed) -> bool {
        self.shared.roster.borrow().roster.get(&target.start).is_some()
    }

    /// Whether no other replica can have waited out the lease of this one since its leadership in the term was
    /// last confirmed.
    fn may_order(&self, term: Term) -> bool {
        let view = self.shared.view.borrow();
        let is_confirmed = self.shared.caught_up_age() <= ORDER_LEASE_MARGIN;
        view.leads && view.term == term && is_confirmed
    }

    async fn order(
        &self,
        target: &Listed,
        load: &PendingLoad,
        report: &EngineReport,
        fencing: u64,
    ) -> OrderOutcome {
        // Leadership or the roster may have changed while the report was in flight.
        if !self.may_order(fencing) || !self.is_listed(target) {
            return OrderOutcome::Refused;
        }
        let order = WeightOrder {
            model: load.model.clone(),
            version: load.version,
            running: match self.placed_on(target) {
                0 => RunningPrompts::Finish,
                // The engine was given prompts while its order was unanswered. What they would
                // generate under changed weights is useless.
                _ if self.is_unanswered(&target.start) => RunningPrompts::Finish,
                _ => RunningPrompts::GoOn,
            },
            holder: self.shared.node,
            fencing,
            orders_accepted: report.orders_accepted,
        };
        let call = HttpCall::new(target.address, Method::POST, engines::ORDER_PATH)
            .with_expected_target(&target.start.id)
            .with_json(engines::encode_order(&order));
        let answer = fetch(call, ORDER_TIMEOUT).await;
        let status = answer.as_ref().map(|answer| answer.status);
        log::info!(
            "event=weights_ordered engine={} version={} fencing={fencing} orders_accepted={} \
             running={} answer={}",
            target.start,
            load.version,
            report.orders_accepted,
            order.running.name(),
            shown_status(&status),
        );
        match status {
            Ok(status) if status.is_success() => OrderOutcome::Accepted,
            Ok(_) => OrderOutcome::Refused,
            Err(_) => OrderOutcome::Unanswered,
        }
    }
}
