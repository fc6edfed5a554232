//! Gives orders to engines while this replica leads.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::replica::{Input, Shared};
use super::report;
use super::scheduling::Scheduling;
use super::state::{Command, Reply};
use super::weights::{
    EngineReport, Lagging, RunningPrompts, WeightOrder, loads_at_once, next_loads,
};
use crate::fleet::Listed;
use crate::log::Term;
use crate::net::http::{Exchange, fetch};
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
                right = self.take_right(term).await;
                continue;
            }
            for lagging in self.next() {
                let ordering = self.clone();
                // Before the task runs, so that the next look does not find it again.
                ordering.shared.changing.borrow_mut().insert(lagging.engine.clone());
                tokio::task::spawn_local(async move {
                    ordering.bring_up(&lagging, term).await;
                    ordering.shared.changing.borrow_mut().remove(&lagging.engine);
                });
            }
        }
    }

    fn next(&self) -> Vec<Lagging> {
        let belief = self.shared.belief.borrow();
        let roster = self.shared.roster.borrow();
        next_loads(&roster.roster, &belief.state.weights, &self.shared.changing.borrow())
    }

    /// Becomes the only holder, and waits until no order of an earlier one can be under way.
    async fn take_right(&self, term: Term) -> Option<Term> {
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
        log::info!("event=orders_taken holder={holder} fencing={term}");
        Some(term)
    }

    /// Has an engine load the newest weights, with as little as possible of what it runs disturbed.
    async fn bring_up(&self, lagging: &Lagging, term: Term) {
        let _ = self.scheduling.with(|scheduler| {
            scheduler.take_changing(&self.shared.changing.borrow());
        });
        let target = self.shared.roster.borrow().roster.get(&lagging.engine).cloned();
        let Some(target) = target else { return };
        self.drain(&target).await;
        self.load(&target, lagging, term).await;
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
        self.scheduling.with(|scheduler| scheduler.placed_on(&target.id)).unwrap_or_default()
    }

    async fn load(&self, target: &Listed, lagging: &Lagging, term: Term) {
        let give_up = Instant::now() + LOAD_TIMEOUT;
        let mut version = lagging.version;
        // Held from the order that the engine takes to the end of the load.
        let mut loading = None;
        while Instant::now() < give_up && self.may_order(term) {
            if loading.is_none() {
                self.until_may_load(lagging).await;
                // Newer ones may have been named while it waited for its turn.
                version = self.newest(lagging);
            }
            let report = report::read(&target.id, target.address).await;
            if let Some(report) = &report
                && report.weights.get(&lagging.model).is_some_and(|has| *has >= version)
            {
                self.shared.change_roster(|known| known.set_weights(&target.id, &report.weights));
                log::info!("event=weights_loaded engine={} version={version}", target.id);
                return;
            }
            match report {
                Some(report) if !report.is_busy && loading.is_none() => {
                    let begun = Loading::begin(&self.loading);
                    let lagging = Lagging { version, ..lagging.clone() };
                    if self.order(target, &lagging, &report, term).await {
                        loading = Some(begun);
                    }
                }
                Some(_) => {}
                // Gone, or cut off: the list tells before long.
                None => return tokio::time::sleep(ASK_EVERY * 2).await,
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
        log::warn!("event=weights_not_loaded engine={} version={version} term={term}", target.id);
    }

    fn newest(&self, lagging: &Lagging) -> u64 {
        let belief = self.shared.belief.borrow();
        belief.state.weights.get(&lagging.model).copied().unwrap_or(lagging.version)
    }

    fn may_order(&self, term: Term) -> bool {
        let belief = self.shared.belief.borrow();
        belief.leads && belief.term == term && self.shared.caught_up_at.get().is_some()
    }

    /// Returns whether the engine has surely taken the order.
    async fn order(
        &self,
        target: &Listed,
        lagging: &Lagging,
        report: &EngineReport,
        fencing: u64,
    ) -> bool {
        if !self.may_order(fencing) {
            return false;
        }
        let order = WeightOrder {
            model: lagging.model.clone(),
            version: lagging.version,
            running: match self.placed_on(target) {
                0 => RunningPrompts::Finish,
                _ => RunningPrompts::GoOn,
            },
            holder: self.shared.node,
            fencing,
            orders_accepted: report.orders_accepted,
        };
        let call = Exchange::new(target.address, Method::POST, engines::ORDER_PATH)
            .expecting(&target.id)
            .with_json(engines::encode_order(&order));
        let answer = fetch(call, ORDER_TIMEOUT).await;
        let status = answer.as_ref().map(|answer| answer.status);
        log::info!(
            "event=weights_ordered engine={} version={} fencing={fencing} orders_accepted={} \
             running={:?} answer={status:?}",
            target.id,
            lagging.version,
            report.orders_accepted,
            order.running,
        );
        status.is_ok_and(|status| status.is_success())
    }
}
