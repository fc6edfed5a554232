//! Stored prefixes of contexts: lookup before a prompt, export after an answer, freeing, and
//! recovery from the stores' inventories.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::{Node, run_periodically};
use crate::clock::boot_now;

use crate::ids::{BlockKey, NodeId, TargetId};
use crate::peer::message::{PeerRequest, PeerResponse};
use crate::prefix_catalog::{AnsweredPrompt, ExportOutcome, ExportPlan, PrefixLocation, owners};
use crate::prompt::Chain;
use crate::telemetry::metrics::label;
use crate::upstream::api::ExportOrder;

/// Timeout of a lookup. The prompt proceeds without stored prefixes afterwards.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(25);
/// Timeout of reports to owners, for which no request waits.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which copies are freed.
const FREE_INTERVAL: Duration = Duration::from_millis(500);
/// The stores' inventories are read once in this many free intervals.
const FREE_INTERVALS_PER_INVENTORY: u64 = 10;
/// Exports are skipped while the link to a store has a longer backlog, to give priority to imports.
const MAX_EXPORT_BACKLOG: Duration = Duration::from_millis(50);

impl Node {
    /// The stored prefixes of a prompt. Empty if no owner of the context answers in time.
    pub async fn stored_prefixes(
        self: &Arc<Node>,
        chain: &Chain,
    ) -> Vec<(TargetId, crate::upstream::api::StoredObject)> {
        let Some(root) = chain.root() else { return Vec::new() };
        for owner in owners(root, &self.node_locations()) {
            let answer =
                self.links.request(owner, PeerRequest::Lookup { root }, LOOKUP_TIMEOUT).await;
            if let Ok(PeerResponse::Kept(kept)) = answer {
                let usable = kept.into_iter().filter(|kept| is_prefix_of(chain, kept));
                return usable.map(|kept| (kept.store, kept.object)).collect();
            }
        }
        Vec::new()
    }

    /// Reports an answered prompt to the owner of its context, and exports the prefix that the
    /// owner selects, if any.
    pub fn report_answered(self: &Arc<Node>, chain: &Chain, engine_url: String) {
        let Some(seen) = AnsweredPrompt::from_chain(chain) else { return };
        let node = self.clone();
        tokio::spawn(async move { node.report_to_owner(seen, engine_url).await });
    }

    async fn report_to_owner(self: Arc<Node>, seen: AnsweredPrompt, engine_url: String) {
        let owners = owners(seen.root, &self.node_locations());
        let Some(first) = owners.first() else { return };
        let answer =
            self.links.request(*first, PeerRequest::Seen(seen.clone()), REPORT_TIMEOUT).await;
        let Ok(PeerResponse::Export(Some(plan))) = answer else { return };
        let kept = self.export_prefix(&plan, &engine_url).await;
        let written = ExportOutcome {
            root: plan.root,
            key: plan.position.key,
            generation: plan.generation,
            kept,
        };
        self.report_export(*first, written).await;
    }

    async fn report_export(self: &Arc<Node>, owner: NodeId, written: ExportOutcome) {
        // Best effort: an owner that misses the report finds the copy in the store's inventory.
        drop(self.links.request(owner, PeerRequest::Written(written), REPORT_TIMEOUT).await);
    }

    async fn export_prefix(&self, plan: &ExportPlan, engine_url: &str) -> Option<PrefixLocation> {
        let store_url = self.export_store_url(&plan.store)?;
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
                Some(PrefixLocation { store: plan.store.clone(), object })
            }
            Err(error) => {
                log::debug!("event=export_failed error={:?}", error.to_string());
                None
            }
        }
    }

    /// The URL of a store, if it can accept an export now.
    fn export_store_url(&self, store: &str) -> Option<String> {
        let now = boot_now();
        let mut router = self.router.lock();
        let view = router.store_mut(store)?;
        let backlog = view.transfer_time(0, now)?;
        (view.takes_work && backlog < MAX_EXPORT_BACKLOG).then(|| view.url.clone())
    }

    /// The used fraction of each store that accepts exports.
    pub(super) fn store_used_fractions(&self) -> BTreeMap<TargetId, f64> {
        let now = boot_now();
        let router = self.router.lock();
        let stores = router.view().stores.iter();
        stores
            .filter(|(_, store)| store.takes_work && store.health.admits(0, now))
            .map(|(id, store)| (id.clone(), store.used_fraction()))
            .collect()
    }

    /// Periodically frees copies and updates the catalog from the stores' inventories.
    pub(super) async fn run_context_maintenance(self: Arc<Node>) {
        let mut rounds: u64 = 0;
        run_periodically(FREE_INTERVAL, || {
            rounds += 1;
            let node = self.clone();
            let is_inventory_due = rounds.is_multiple_of(FREE_INTERVALS_PER_INVENTORY);
            async move {
                // Requires a freshness lease, so that an owner that is cut off from the other nodes
                // stops before its successor starts.
                if node.in_force().is_some() {
                    node.free_copies().await;
                    if is_inventory_due {
                        node.rebuild_catalog().await;
                    }
                }
                true
            }
        })
        .await;
    }

    async fn free_copies(self: &Arc<Node>) {
        let locations = self.node_locations();
        let own_id = self.settings.node_id;
        // Only the first owner frees copies. The second owner is the standby.
        let is_first_owner = |root: BlockKey| owners(root, &locations).first() == Some(&own_id);
        let used = self.store_used_fractions();
        let orders = self.catalog.lock().free_orders(&used, is_first_owner, boot_now());
        for order in orders {
            let Some(url) = self.store_url(&order.store) else { continue };
            let freed =
                self.client.free(&url, order.key, order.generation, order.owner_epoch).await;
            match freed {
                Ok(()) => self.catalog.lock().record_freed(&order),
                Err(error) => log::debug!("event=free_failed error={:?}", error.to_string()),
            }
        }
    }

    async fn rebuild_catalog(self: &Arc<Node>) {
        let locations = self.node_locations();
        let own_id = self.settings.node_id;
        let owns = |root: BlockKey| owners(root, &locations).contains(&own_id);
        self.catalog.lock().remove_unowned(owns);
        let stores: Vec<(TargetId, String)> = {
            let router = self.router.lock();
            router.view().stores.iter().map(|(id, store)| (id.clone(), store.url.clone())).collect()
        };
        for (store, url) in stores {
            if let Ok(inventory) = self.client.inventory(&url).await {
                self.catalog.lock().apply_inventory(&store, &inventory.objects, owns, boot_now());
            }
        }
    }

    fn store_url(&self, store: &str) -> Option<String> {
        self.router.lock().view().stores.get(store).map(|view| view.url.clone())
    }
}

/// Whether a stored object is a prefix of this prompt.
fn is_prefix_of(chain: &Chain, kept: &PrefixLocation) -> bool {
    let blocks = kept.object.blocks as usize;
    blocks > 0 && chain.keys.get(blocks - 1) == Some(&kept.object.key)
}
