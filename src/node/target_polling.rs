//! Polls the platform's list of targets, the load and cache events of engines, and the reports of
//! stores.

use std::sync::Arc;

use futures::future::join_all;
use tokio::time::MissedTickBehavior;

use super::{Node, run_periodically};
use crate::clock::boot_now;
use crate::membership::actor::AnnounceLeaving;
use crate::route::targets::LeavingTarget;

impl Node {
    /// Periodically fetches the platform's list, and applies other nodes' announcements of leaving
    /// targets.
    pub(super) async fn poll_platform(self: Arc<Node>) {
        let mut etag = String::new();
        let mut interval = tokio::time::interval(self.settings.timing.platform_poll);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            self.fetch_target_list(&mut etag).await;
        }
    }

    /// Periodically fetches the reports of all targets.
    pub(super) async fn poll_targets(self: Arc<Node>) {
        run_periodically(self.settings.timing.load_poll, || async {
            self.fetch_target_reports().await;
            true
        })
        .await;
    }

    async fn fetch_target_list(self: &Arc<Node>, etag: &mut String) {
        let announced = std::mem::take(&mut self.membership_view.lock().leaving_targets);
        let mut newly_leaving = self.router.lock().apply_leaving(&announced);
        match self.client.targets(&self.settings.platform_url, etag).await {
            Ok(Some((list, new_etag))) => {
                newly_leaving.extend(self.router.lock().apply_list(list));
                *etag = new_etag;
            }
            Ok(None) => {}
            // The last list remains in use. Targets that leave or fail are detected by their
            // refusals and their health.
            Err(error) => log::warn!("event=platform_unreadable error={:?}", error.to_string()),
        }
        for leaving in newly_leaving {
            self.announce_leaving(leaving).await;
        }
    }

    async fn announce_leaving(&self, leaving: LeavingTarget) {
        log::info!(
            "event=target_leaving target={} incarnation={}",
            leaving.target,
            leaving.incarnation
        );
        drop(self.membership.send(AnnounceLeaving(leaving)).detach().await);
    }

    async fn fetch_target_reports(self: &Arc<Node>) {
        let nodes = self.membership_view.lock().live.len();
        let (engines, stores) = {
            let mut router = self.router.lock();
            router.set_live_nodes(nodes);
            let engines: Vec<(String, String, u64)> = router
                .view()
                .engines
                .iter()
                .map(|(id, engine)| {
                    (id.clone(), engine.url.clone(), engine.residency.last_event_seq())
                })
                .collect();
            let stores: Vec<(String, String)> =
                router.view().stores.iter().map(|(id, s)| (id.clone(), s.url.clone())).collect();
            (engines, stores)
        };
        let engine_reads = engines
            .iter()
            .map(|(id, url, last_event)| self.fetch_engine_report(id, url, *last_event));
        let store_reads = stores.iter().map(|(id, url)| self.fetch_store_report(id, url));
        tokio::join!(join_all(engine_reads), join_all(store_reads));
        let capacity = self.router.lock().request_capacity(boot_now());
        self.admission.set_capacity(capacity);
    }

    async fn fetch_engine_report(&self, id: &str, url: &str, last_event: u64) {
        let (load, events) =
            tokio::join!(self.client.load(url), self.client.events(url, last_event));
        let now = boot_now();
        let mut router = self.router.lock();
        match load {
            Ok(report) => router.apply_load_report(id, report, now),
            Err(_) => router.record_engine_failure(id, now),
        }
        if let Ok(events) = events {
            router.apply_cache_events(id, &events);
        }
    }

    async fn fetch_store_report(&self, id: &str, url: &str) {
        let report = self.client.store(url).await;
        let now = boot_now();
        match report {
            Ok(report) => self.router.lock().apply_store_report(id, report, now),
            Err(_) => self.router.lock().record_store_failure(id, now),
        }
    }
}
