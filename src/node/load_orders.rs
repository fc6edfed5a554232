//! Sends load orders to engines while this node holds the leader lease of the log.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::clock::boot_now;

use crate::log::Term;
use crate::log::state::{Command, Reply};
use crate::orders::{EngineState, LoadOrder, Planner, TermPlanner};
use crate::replica::LeadingTerm;
use crate::upstream::api::EngineOrder;

/// Interval at which orders are planned.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);

impl Node {
    /// Periodically plans and sends orders.
    pub(super) async fn run_load_orders(self: Arc<Node>) {
        let mut planner = TermPlanner::new(self.settings.timing.election);
        let mut interval = tokio::time::interval(PLAN_INTERVAL);
        loop {
            interval.tick().await;
            if let Some(term) = self.leading_term().await {
                if planner.term() != Some(term) {
                    log::info!("event=load_planning_started term={term}");
                }
                self.send_load_orders(planner.for_term(term, boot_now()), term).await;
            }
        }
    }

    async fn send_load_orders(self: &Arc<Node>, planner: &mut Planner, term: Term) {
        let Some(config) = self.in_force() else { return };
        let planned = planner.plan(&config.config.models, &self.engine_states(), boot_now());
        for LoadOrder { engine, version } in planned {
            let order = self.fenced_order(version.clone()).await;
            // Another replica may have become the leader since the orders were planned.
            let still_leads = self.leading_term().await == Some(term);
            let url = self.engine_url(&engine);
            let (Some(order), true, Some(url)) = (order, still_leads, url) else {
                planner.order_refused(&engine);
                continue;
            };
            let sent = self.client.order(&url, &order).await;
            log::info!(
                "event=engine_ordered target={engine} version={version} fencing={} taken={}",
                order.fencing,
                sent.is_ok(),
            );
            if sent.is_err() {
                planner.order_refused(&engine);
            }
        }
    }

    async fn fenced_order(self: &Arc<Node>, load_version: String) -> Option<EngineOrder> {
        match self.propose(Command::Fence).await {
            Ok(Reply::Fence(fencing)) => Some(EngineOrder { fencing, load_version }),
            _ => None,
        }
    }

    async fn leading_term(&self) -> Option<Term> {
        self.replica.as_ref()?.address.send(LeadingTerm).await.ok().flatten()
    }

    fn engine_states(&self) -> Vec<EngineState> {
        let now = boot_now();
        let router = self.router.lock();
        let states = router.view().engines.iter().filter_map(|(id, engine)| {
            let report = engine.fresh_report(now)?;
            Some(EngineState {
                id: id.clone(),
                model: engine.model.clone(),
                failure_domain: engine.failure_domain.clone(),
                version: report.weight_version.clone(),
                takes_work: engine.takes_work,
                checks_fencing: router.targets().get(id).is_some_and(|t| t.checks_fencing),
            })
        });
        states.collect()
    }

    fn engine_url(&self, engine: &str) -> Option<String> {
        self.router.lock().view().engines.get(engine).map(|engine| engine.url.clone())
    }
}
