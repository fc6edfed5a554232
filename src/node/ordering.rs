//! Sends orders to engines while this node surely leads the log.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use crate::clock::boot_now;
use crate::log::Term;
use crate::log::state::{Command, Reply};
use crate::orders::{EngineState, Planned, Planner};
use crate::replica::Leads;
use crate::upstream::api::EngineOrder;

/// How often orders are planned.
const PLAN_PERIOD: Duration = Duration::from_millis(300);

impl Node {
    /// Plans and sends orders, again and again.
    pub(super) async fn keep_ordering(self: Arc<Node>) {
        let mut planner: Option<(Term, Planner)> = None;
        let mut interval = tokio::time::interval(PLAN_PERIOD);
        loop {
            interval.tick().await;
            let Some(term) = self.leading_term().await else {
                planner = None;
                continue;
            };
            if planner.as_ref().is_none_or(|(planned_term, _)| *planned_term != term) {
                planner = Some((term, Planner::new(self.settings.timing.election, boot_now())));
            }
            if let Some((_, planner)) = &mut planner {
                self.order(planner, term).await;
            }
        }
    }

    async fn order(self: &Arc<Node>, planner: &mut Planner, term: Term) {
        let Some(config) = self.in_force() else { return };
        let planned = planner.plan(&config.config.models, &self.engine_states(), boot_now());
        for Planned { engine, version } in planned {
            let order = self.fenced(version.clone()).await;
            // Asked again: time has passed since the plan was made.
            let still_leads = self.leading_term().await == Some(term);
            let url = self.engine_url(&engine);
            let (Some(order), true, Some(url)) = (order, still_leads, url) else {
                planner.refused(&engine);
                continue;
            };
            let sent = self.client.order(&url, &order).await;
            log::info!(
                "event=engine_ordered target={engine} version={version} fencing={} taken={}",
                order.fencing,
                sent.is_ok(),
            );
            if sent.is_err() {
                planner.refused(&engine);
            }
        }
    }

    async fn fenced(self: &Arc<Node>, load_version: String) -> Option<EngineOrder> {
        match self.decide(Command::Fence).await {
            Ok(Reply::Fence(fencing)) => Some(EngineOrder { fencing, load_version }),
            _ => None,
        }
    }

    async fn leading_term(&self) -> Option<Term> {
        self.replica.as_ref()?.address.send(Leads).await.ok().flatten()
    }

    fn engine_states(&self) -> Vec<EngineState> {
        let now = boot_now();
        let router = self.router.lock();
        let known = router.view().engines.iter().filter_map(|(id, engine)| {
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
        known.collect()
    }

    fn engine_url(&self, engine: &str) -> Option<String> {
        self.router.lock().view().engines.get(engine).map(|engine| engine.url.clone())
    }
}
