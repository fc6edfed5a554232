//! Gives orders to engines while this replica leads.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::replica::Input;
use super::report;
use super::scheduling::Scheduling;
use super::shared::Shared;
use super::state::{Command, Reply};
use super::weights::{
    EngineReport, Lagging, RunningPrompts, WeightOrder, loads_at_once, next_loads,
};
use crate::deployment::ServiceRole;
use crate::fleet::Listed;
use crate::ids::{ServiceId, TargetStart};
use crate::log::Term;
use crate::net::http::{HttpCall, fetch};
use crate::platform::engines;

/// How often the leader looks for engines that lag.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// How often an engine that loads is asked whether it is done. Loads take 270 ms and more, and each
/// question has a price.
const ASK_EVERY: Duration = Duration::from_millis(150);
/// How long an engine that gets no new prompts may take to finish those that it runs. Streams last
/// up to two seconds, most less than one.
const DRAIN_AT_MOST: Duration = Duration::from_millis(600);
/// How often it is looked whether an engine has finished, or another may load.
const DRAIN_LOOK_EVERY: Duration = Duration::from_millis(20);
/// An engine that has not loaded after this time is looked at anew.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// An order is answered within milliseconds. One without an answer is given again: it is void if the
/// first one was taken after all, or is carried out late.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);
/// A bit more than the period that two holders must keep apart, for timers that fire late.
const APART_MARGIN: Duration = Duration::from_millis(400);

/// What orders need to know.
pub struct Ordering {
    /// The replica's state.
    pub shared: Rc<Shared>,
    /// Places prompts, but not on engines that are about to load.
    pub scheduling: Rc<Scheduling>,
    /// Takes commands.
    pub inputs: mpsc::Sender<Input>,
    /// Orders of two holders to one engine must be at least this far apart.
    pub apart: Duration,
    /// Engines that load.
    pub loading: Cell<usize>,
    /// Engines that have not answered their order. They may carry it out seconds later, and get prompts
    /// until they do: else all others would wait for them.
    pub awaited: RefCell<BTreeSet<TargetStart>>,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ordered {
    /// The engine carries it out, or has.
    Taken,
    /// The engine does not carry it out.
    Refused,
    /// It may be carried out, now or seconds later.
    Unanswered,
}

/// One of the engines that load, until it is dropped.
struct Loading<'o>(&'o Cell<usize>);

impl<'o> Loading<'o> {
    fn begin(loading: &'o Cell<usize>) -> Loading<'o> {
        loading.set(loading.get() + 1);
        Loading(loading)
    }
}

impl Drop for Loading<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Ordering {
    /// Runs for as long as the process lives.
    pub async fn run(self: Rc<Ordering>) {
        let mut right = None;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let (leads, term) = {
                let belief = self.shared.belief.borrow();
                (belief.leads, belief.term)
            };
            if !leads {
                continue;
            }
            // Taken as soon as it leads: the wait for an earlier holder is over by the time that
            // there is something to order.
            if right != Some(term) {
                right = self.acquire_orders_lease(term).await;
                continue;
            }
            for lagging in self.next() {
                let ordering = self.clone();
                // Before the task runs, so that the next look does not find it again.
                ordering.shared.changing.borrow_mut().insert(lagging.engine.clone());
                tokio::task::spawn_local(async move {
                    ordering.bring_up(&lagging, term).await;
                    ordering.shared.changing.borrow_mut().remove(&lagging.engine);
                    ordering.awaited.borrow_mut().remove(&lagging.engine);
                });
            }
        }
    }

    fn next(&self) -> Vec<Lagging> {
        let belief = self.shared.belief.borrow();
        let roster = self.shared.roster.borrow();
        let services = belief.state.published.as_ref().map(|known| &known.deployment.services);
        let is_of_engines = |service: &ServiceId| {
            let service = services.and_then(|services| services.get(service));
            service.is_some_and(|service| matches!(service.role, ServiceRole::Engines(_)))
        };
        let (changing, awaited) = (self.shared.changing.borrow(), self.awaited.borrow());
        next_loads(&roster.roster, &belief.state.weights, &changing, &awaited, is_of_engines)
    }

    /// Becomes the only holder, and waits until no order of an earlier one can be under way.
    async fn acquire_orders_lease(&self, term: Term) -> Option<Term> {
        let holder = self.shared.node;
        let (sender, decided) = oneshot::channel();
        let command = Command::TakeOrders { holder };
        self.inputs.send(Input::Propose(command, sender)).await.ok()?;
        let Ok(Ok(Reply::Orders { previous })) = decided.await else { return None };
        if previous.is_some_and(|previous| previous != holder) {
            log::info!(
                "event=orders_wait previous={previous:?} wait_ms={}",
                self.apart.as_millis()
            );
            tokio::time::sleep(self.apart + APART_MARGIN).await;
        }
        log::info!("event=orders_lease_acquired holder={holder} fencing={term}");
        Some(term)
    }

    /// Has an engine load the newest weights, with as little as possible of what it runs disturbed.
    async fn bring_up(&self, lagging: &Lagging, term: Term) {
        self.publish_changing();
        let target = self.shared.roster.borrow().roster.get(&lagging.engine).cloned();
        let Some(target) = target else { return };
        self.drain(&target).await;
        self.load(&target, lagging, term).await;
    }

    /// Has the scheduler know at once which engines get no prompts.
    fn publish_changing(&self) {
        let _ = self.scheduling.with(|scheduler| {
            scheduler.observe_changing(&self.shared.changing.borrow());
        });
    }

    /// The engine has not answered its order: it gets prompts again until it carries it out.
    fn awaits(&self, engine: &TargetStart) {
        self.awaited.borrow_mut().insert(engine.clone());
        self.shared.changing.borrow_mut().remove(engine);
        self.publish_changing();
    }

    /// The engine carries out its order.
    fn begins(&self, engine: &TargetStart) {
        self.shared.changing.borrow_mut().insert(engine.clone());
        self.awaited.borrow_mut().remove(engine);
        self.publish_changing();
    }

    /// Waits until another engine of the model may load.
    async fn until_may_load(&self, lagging: &Lagging) {
        while self.loading.get() >= self.loads_at_once(lagging) {
            tokio::time::sleep(DRAIN_LOOK_EVERY).await;
        }
    }

    fn loads_at_once(&self, lagging: &Lagging) -> usize {
        loads_at_once(&self.shared.roster.borrow().roster, &lagging.model)
    }

    async fn drain(&self, target: &Listed) {
        let give_up = Instant::now() + DRAIN_AT_MOST;
        while Instant::now() < give_up && self.placed_on(target) > 0 {
            tokio::time::sleep(DRAIN_LOOK_EVERY).await;
        }
    }

    fn placed_on(&self, target: &Listed) -> u32 {
        self.scheduling.with(|scheduler| scheduler.placed_on(&target.start)).unwrap_or_default()
    }

    async fn load(&self, target: &Listed, lagging: &Lagging, term: Term) {
        let give_up = Instant::now() + LOAD_TIMEOUT;
        let mut version = lagging.version;
        // Held from the order that the engine takes to the end of the load.
        let mut loading = None;
        let mut was_busy = false;
        while Instant::now() < give_up && self.may_order(term) && self.is_listed(target) {
            if loading.is_none() {
                // One that is awaited may begin at any time, and is looked at until then.
                if !self.is_awaited(&target.start) {
                    self.until_may_load(lagging).await;
                }
                // Newer ones may have been named while it waited for its turn.
                version = self.newest(lagging);
            }
            let report = report::read(&target.start, target.address).await;
            if was_busy && report.as_ref().is_some_and(|report| !report.is_busy) {
                // It has carried out an order, but one for weights that were replaced meanwhile.
                (loading, was_busy) = (None, false);
            }
            if let Some(report) = &report
                && report.weights.get(&lagging.model).is_some_and(|has| *has >= version)
            {
                self.shared
                    .change_roster(|known| known.set_weights(&target.start, &report.weights));
                log::info!("event=weights_loaded engine={} version={version}", target.start);
                return;
            }
            match report {
                Some(report) if report.is_busy => {
                    was_busy = true;
                    loading.get_or_insert_with(|| Loading::begin(&self.loading));
                    self.begins(&target.start);
                }
                Some(report) if loading.is_none() => {
                    let begun = Loading::begin(&self.loading);
                    let lagging = Lagging { version, ..lagging.clone() };
                    match self.order(target, &lagging, &report, term).await {
                        Ordered::Taken => {
                            loading = Some(begun);
                            self.begins(&target.start);
                        }
                        Ordered::Unanswered => self.awaits(&target.start),
                        Ordered::Refused => {}
                    }
                }
                Some(_) => {}
                // Gone, or cut off: the list tells before long.
                None => return tokio::time::sleep(ASK_EVERY * 2).await,
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
        log::warn!(
            "event=weights_not_loaded engine={} version={version} term={term}",
            target.start
        );
    }

    fn is_awaited(&self, engine: &TargetStart) -> bool {
        self.awaited.borrow().contains(engine)
    }

    fn newest(&self, lagging: &Lagging) -> u64 {
        let belief = self.shared.belief.borrow();
        belief.state.weights.get(&lagging.model).copied().unwrap_or(lagging.version)
    }

    /// Whether this start of an engine is still the one that is there.
    fn is_listed(&self, target: &Listed) -> bool {
        self.shared.roster.borrow().roster.get(&target.start).is_some()
    }

    fn may_order(&self, term: Term) -> bool {
        let belief = self.shared.belief.borrow();
        belief.leads && belief.term == term && self.shared.caught_up_at.get().is_some()
    }

    async fn order(
        &self,
        target: &Listed,
        lagging: &Lagging,
        report: &EngineReport,
        fencing: u64,
    ) -> Ordered {
        // The report was on its way for a while.
        if !self.may_order(fencing) || !self.is_listed(target) {
            return Ordered::Refused;
        }
        let order = WeightOrder {
            model: lagging.model.clone(),
            version: lagging.version,
            running: match self.placed_on(target) {
                0 => RunningPrompts::Finish,
                // It was given prompts in the meantime: what they make under other weights is worth
                // nothing.
                _ if self.is_awaited(&target.start) => RunningPrompts::Finish,
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
             running={:?} answer={status:?}",
            target.start,
            lagging.version,
            report.orders_accepted,
            order.running,
        );
        match status {
            Ok(status) if status.is_success() => Ordered::Taken,
            Ok(_) => Ordered::Refused,
            Err(_) => Ordered::Unanswered,
        }
    }
}
