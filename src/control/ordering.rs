//! Gives orders to engines while this replica leads.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use tokio::sync::{mpsc, oneshot};

use super::replica::{Input, Shared};
use super::state::{Command, Reply};
use super::weights::{EngineReport, Lagging, RunningPrompts, WeightOrder, next_loads};
use crate::fleet::Listed;
use crate::ids::TargetId;
use crate::log::Term;
use crate::net::http::{Exchange, fetch};
use crate::platform::engines;

/// How often the leader looks for engines that lag.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How often an engine that loads is asked whether it is done.
const ASK_EVERY: Duration = Duration::from_millis(250);
/// An engine that has not loaded after this time is looked at anew.
const LOAD_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest time for one call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// A bit more than the period that two holders must keep apart, for timers that fire late.
const APART_MARGIN: Duration = Duration::from_millis(400);

/// What orders need to know.
pub struct Ordering {
    /// The replica's state.
    pub shared: Rc<Shared>,
    /// Takes commands.
    pub inputs: mpsc::Sender<Input>,
    /// Orders of two holders to one engine must be at least this far apart.
    pub apart: Duration,
}

impl Ordering {
    /// Runs for as long as the process lives.
    pub async fn run(self: Rc<Ordering>) {
        let under_way = Rc::new(RefCell::new(BTreeSet::new()));
        let mut right = None;
        loop {
            tokio::time::sleep(LOOK_EVERY).await;
            let (leads, term) = {
                let belief = self.shared.belief.borrow();
                (belief.leads, belief.term)
            };
            if !leads || !self.is_behind(&under_way.borrow()) {
                continue;
            }
            if right != Some(term) {
                right = self.take_right(term).await;
                continue;
            }
            for lagging in self.next(&under_way.borrow()) {
                under_way.borrow_mut().insert(lagging.engine.clone());
                let (ordering, under_way) = (self.clone(), under_way.clone());
                tokio::task::spawn_local(async move {
                    ordering.load(&lagging, term).await;
                    under_way.borrow_mut().remove(&lagging.engine);
                });
            }
        }
    }

    fn next(&self, under_way: &BTreeSet<TargetId>) -> Vec<Lagging> {
        let belief = self.shared.belief.borrow();
        let roster = self.shared.roster.borrow();
        next_loads(&roster.roster, &belief.state.weights, under_way)
    }

    fn is_behind(&self, under_way: &BTreeSet<TargetId>) -> bool {
        !self.next(under_way).is_empty()
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

    async fn load(&self, lagging: &Lagging, term: Term) {
        let target = self.shared.roster.borrow().roster.get(&lagging.engine).cloned();
        let Some(target) = target else { return };
        let give_up = tokio::time::Instant::now() + LOAD_TIMEOUT;
        let mut was_ordered = false;
        while tokio::time::Instant::now() < give_up && self.may_order(term) {
            let report = self.report(&target).await;
            if let Some(report) = &report
                && report.weights.get(&lagging.model).is_some_and(|has| *has >= lagging.version)
            {
                self.shared.change_roster(|known| known.set_weights(&target.id, &report.weights));
                log::info!("event=weights_loaded engine={} version={}", target.id, lagging.version);
                return;
            }
            match report {
                Some(report) if !report.is_busy && !was_ordered => {
                    was_ordered = self.order(&target, lagging, &report, term).await;
                }
                Some(_) => {}
                // Gone, or cut off: the list tells before long.
                None => return tokio::time::sleep(ASK_EVERY * 2).await,
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }

    fn may_order(&self, term: Term) -> bool {
        let belief = self.shared.belief.borrow();
        belief.leads && belief.term == term && self.shared.caught_up_at.get().is_some()
    }

    async fn report(&self, target: &Listed) -> Option<EngineReport> {
        let call = Exchange::new(target.address, Method::GET, engines::REPORT_PATH);
        let answer = fetch(call, CALL_TIMEOUT).await.ok()?;
        match engines::decode_report(&answer.body) {
            Ok(report) if answer.status == StatusCode::OK => Some(report),
            Ok(_) => None,
            Err(error) => {
                log::warn!("event=report_unreadable engine={} reason={error}", target.id);
                None
            }
        }
    }

    /// Returns whether the engine may have taken the order.
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
            // What is generated under weights that changed is worth nothing to a caller.
            running: RunningPrompts::Finish,
            holder: self.shared.node,
            fencing,
            orders_accepted: report.orders_accepted,
        };
        let call = Exchange::new(target.address, Method::POST, engines::ORDER_PATH)
            .expecting(&target.id)
            .with_json(engines::encode_order(&order));
        let answer = fetch(call, CALL_TIMEOUT).await;
        let status = answer.as_ref().map(|answer| answer.status);
        log::info!(
            "event=weights_ordered engine={} version={} fencing={fencing} orders_accepted={} \
             answer={status:?}",
            target.id,
            lagging.version,
            report.orders_accepted,
        );
        !matches!(status, Ok(StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED))
    }
}
