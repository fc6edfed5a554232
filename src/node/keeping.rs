//! Keeps contexts: looks kept copies up, exports after answers, frees, and rebuilds after loss.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Node, every};
use crate::clock::boot_now;
use crate::ids::{BlockKey, NodeId, TargetId};
use crate::peer::message::{PeerRequest, PeerResponse};
use crate::prompt::Chain;
use crate::telemetry::metrics::label;
use crate::upstream::api::ExportOrder;
use crate::whereabouts::{ExportPlan, Kept, Seen, Written, owners};

/// A lookup that is not answered within this time is done without.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(25);
/// Notes to owners may take longer: nobody waits for them.
const NOTE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often copies are freed and ownership is looked at.
const FREE_PERIOD: Duration = Duration::from_millis(500);
/// How often the stores' inventories are read, in free periods.
const INVENTORY_EVERY: u64 = 10;
/// Exports wait while the link to a store is longer behind than this: imports go first.
const EXPORT_BACKLOG: Duration = Duration::from_millis(50);

impl Node {
    /// What stores keep of a prompt. Owners that do not answer in time are done without.
    pub async fn kept_of(
        self: &Arc<Node>,
        chain: &Chain,
    ) -> Vec<(TargetId, crate::upstream::api::StoredObject)> {
        let Some(root) = chain.root() else { return Vec::new() };
        for owner in owners(root, &self.node_places()) {
            let asked =
                self.links.request(owner, PeerRequest::Lookup { root }, LOOKUP_TIMEOUT).await;
            if let Ok(PeerResponse::Kept(kept)) = asked {
                let usable = kept.into_iter().filter(|kept| is_of(chain, kept));
                return usable.map(|kept| (kept.store, kept.object)).collect();
            }
        }
        Vec::new()
    }

    /// Tells the owners that a prompt was answered by an engine, and exports if that is worth it.
    pub fn note_answered(self: &Arc<Node>, chain: &Chain, engine_url: String) {
        let Some(seen) = Seen::of(chain) else { return };
        let node = self.clone();
        tokio::spawn(async move { node.tell_owners(seen, engine_url).await });
    }

    async fn tell_owners(self: Arc<Node>, seen: Seen, engine_url: String) {
        let owners = owners(seen.root, &self.node_places());
        let Some(first) = owners.first() else { return };
        let told = self.links.request(*first, PeerRequest::Seen(seen.clone()), NOTE_TIMEOUT).await;
        let Ok(PeerResponse::Export(Some(plan))) = told else { return };
        let kept = self.export(&plan, &engine_url).await;
        let written =
            Written { root: plan.root, key: plan.position.key, generation: plan.generation, kept };
        self.tell_written(*first, written).await;
    }

    async fn tell_written(self: &Arc<Node>, owner: NodeId, written: Written) {
        // If the owner is gone, its successor finds the copy in the store's inventory.
        drop(self.links.request(owner, PeerRequest::Written(written), NOTE_TIMEOUT).await);
    }

    async fn export(&self, plan: &ExportPlan, engine_url: &str) -> Option<Kept> {
        let store_url = self.export_url(&plan.store)?;
        let order = ExportOrder {
            store_url,
            root: plan.root,
            key: plan.position.key,
            blocks: plan.position.blocks,
            generation: plan.generation,
            owner_epoch: plan.owner_epoch,
        };
        match self.client.export(engine_url, &order).await {
            Ok(object) => {
                self.metrics.link_bytes.add(object.size_bytes, &[label("direction", "export")]);
                Some(Kept { store: plan.store.clone(), object })
            }
            Err(error) => {
                log::debug!("event=export_failed error={:?}", error.to_string());
                None
            }
        }
    }

    /// The URL of a store that can take an export now.
    fn export_url(&self, store: &str) -> Option<String> {
        let now = boot_now();
        let mut router = self.router.lock();
        let view = router.store_mut(store)?;
        let waits = view.transfer_time(0, now)?;
        (view.takes_work && waits < EXPORT_BACKLOG).then(|| view.url.clone())
    }

    /// Stores that take exports and the share of each that is used.
    pub(super) fn store_fills(&self) -> BTreeMap<TargetId, f64> {
        let now = boot_now();
        let router = self.router.lock();
        let stores = router.view().stores.iter();
        stores
            .filter(|(_, store)| store.takes_work && store.health.admits(0, now))
            .map(|(id, store)| (id.clone(), store.fill()))
            .collect()
    }

    /// Frees copies, and rebuilds what is known from the stores' inventories, again and again.
    pub(super) async fn keep_contexts(self: Arc<Node>) {
        let mut periods: u64 = 0;
        every(FREE_PERIOD, || {
            periods += 1;
            let node = self.clone();
            let inventory = periods.is_multiple_of(INVENTORY_EVERY);
            async move {
                // An owner acts only under its own freshness lease, so that one that is cut off
                // falls silent before its successor acts.
                if node.in_force().is_some() {
                    node.free_copies().await;
                    if inventory {
                        node.rebuild().await;
                    }
                }
                true
            }
        })
        .await;
    }

    async fn free_copies(self: &Arc<Node>) {
        let places = self.node_places();
        let me = self.settings.node_id;
        // Only the first owner frees; the second one is ready to take its place.
        let decides = |root: BlockKey| owners(root, &places).first() == Some(&me);
        let orders = self.catalog.lock().tick(&self.store_fills(), decides, boot_now());
        for order in orders {
            let Some(url) = self.store_url(&order.store) else { continue };
            let freed =
                self.client.free(&url, order.key, order.generation, order.owner_epoch).await;
            match freed {
                Ok(()) => self.catalog.lock().freed(&order),
                Err(error) => log::debug!("event=free_failed error={:?}", error.to_string()),
            }
        }
    }

    async fn rebuild(self: &Arc<Node>) {
        let places = self.node_places();
        let me = self.settings.node_id;
        let owns = |root: BlockKey| owners(root, &places).contains(&me);
        self.catalog.lock().hand_over(owns);
        let stores: Vec<(TargetId, String)> = {
            let router = self.router.lock();
            router.view().stores.iter().map(|(id, store)| (id.clone(), store.url.clone())).collect()
        };
        for (store, url) in stores {
            if let Ok(inventory) = self.client.inventory(&url).await {
                self.catalog.lock().rebuild(&store, &inventory.objects, owns, boot_now());
            }
        }
    }

    fn store_url(&self, store: &str) -> Option<String> {
        self.router.lock().view().stores.get(store).map(|view| view.url.clone())
    }
}

/// Whether a kept object is a beginning of this very prompt.
fn is_of(chain: &Chain, kept: &Kept) -> bool {
    let blocks = kept.object.blocks as usize;
    blocks > 0 && chain.keys.get(blocks - 1) == Some(&kept.object.key)
}
