//! Faults of the target list and of listed targets: restarts under the same id, foreign list
//! entries, shifted pages, and lists that only some replicas can read. Each is drawn together with
//! another fault.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::faults::FaultInjector;
use crate::platform_stand_in::list::FOREIGN_ENTRIES;
use crate::platform_stand_in::starts::Restart;
use crate::platform_stand_in::store::clock_ms;
use crate::platform_stand_in::target::Fault;
use crate::proxy::NetworkFault;

/// Longest downtime of a restarting target.
const MAX_DOWN_MS: u64 = 2_500;
/// Longest time for which the list shows the previous start of a target.
const MAX_ENTRY_LAG_MS: u64 = 2_500;
/// Largest backward step of a target's clock between two starts.
const MAX_CLOCK_BACK_MS: u64 = 3_600_000;
/// Longest time for which a target drains before it restarts.
const MAX_LEAVING_MS: u64 = 3_000;
/// Exclusive upper bound of the number of foreign list entries.
const FOREIGN_ENTRY_LIMIT: usize = 4;
/// Exclusive upper bound of the list positions of foreign entries.
const LIST_POSITIONS: usize = 9;
/// Exclusive upper bound of the number of entries on a page; 0 disables paging.
const PAGE_SIZE_LIMIT: usize = 6;

impl FaultInjector {
    /// Injects a random list fault, or none.
    pub async fn inject_list_fault(&mut self) {
        let Some(mut random) = self.list_random.take() else { return };
        let duration = Duration::from_millis(random.random_range(300..3_000));
        match random.random_range(0..12) {
            0..=2 => self.restart_target(&mut random).await,
            3 => self.restart_draining_target(&mut random).await,
            4 => self.isolate_list_readers(&mut random, duration),
            5 => self.shift_pages(&mut random, duration),
            6 => self.set_foreign_entries(&mut random),
            7 => self.delay_orders(&mut random, duration),
            _ => {}
        }
        self.list_random = Some(random);
    }

    /// Applies a random change that counts as planned, or none: a drain, a restart, or foreign
    /// entries.
    pub async fn change_list(&mut self) {
        let Some(mut random) = self.list_random.take() else { return };
        match random.random_range(0..12) {
            0 => {
                if let Some(id) = self.pick_running_target(&mut random) {
                    self.drain(id).await;
                }
            }
            1 => self.restart_target(&mut random).await,
            2 => self.set_foreign_entries(&mut random),
            _ => {}
        }
        self.list_random = Some(random);
    }

    fn pick_running_target(&self, random: &mut SmallRng) -> Option<String> {
        let ids: Vec<&String> = self.targets.keys().filter(|id| self.is_up(id)).collect();
        ids.choose(random).map(|id| id.to_string())
    }

    /// Cuts off random replicas from the list.
    fn isolate_list_readers(&mut self, random: &mut SmallRng, duration: Duration) {
        let network_faults =
            [NetworkFault::Stall, NetworkFault::StallTowardsCaller, NetworkFault::Reset];
        let network_fault = *network_faults.choose(random).expect("the choices are not empty");
        for proxy in self.list_proxies.clone() {
            if random.random_ratio(1, 2) {
                self.apply_network_fault(proxy, network_fault, duration);
            }
        }
    }

    /// Sets a random page size, and shifts pages for a while.
    fn shift_pages(&mut self, random: &mut SmallRng, duration: Duration) {
        let shift = *[-2, -1, 0, 1, 2].choose(random).expect("the choices are not empty");
        let mut platform = self.harness.platform.lock();
        platform.list.page_entries = random.random_range(0..PAGE_SIZE_LIMIT);
        platform.list.shift = shift;
        drop(platform);
        self.clear_after(duration, move |harness| harness.platform.lock().list.shift = 0);
    }

    /// Replaces the foreign entries of the list. Some have ids of targets.
    fn set_foreign_entries(&mut self, random: &mut SmallRng) {
        let mut foreign = Vec::new();
        for number in 0..random.random_range(0..FOREIGN_ENTRY_LIMIT) {
            let id = match self.pick_running_target(random) {
                Some(id) if random.random_ratio(1, 3) => id,
                _ => format!("i-foreign-{number}"),
            };
            let kind = FOREIGN_ENTRIES.choose(random).expect("the choices are not empty");
            foreign.push((
                random.random_range(0..LIST_POSITIONS),
                kind.entry(&id, self.foreign_address),
            ));
        }
        let mut platform = self.harness.platform.lock();
        platform.list.foreign = foreign;
        platform.list_changed();
    }

    /// Makes a target leave orders unanswered for a while and execute them late.
    fn delay_orders(&mut self, random: &mut SmallRng, duration: Duration) {
        let Some(id) = self.pick_running_target(random) else { return };
        self.harness.set_fault(&id, Fault::LateOrders);
        self.clear_after(duration, move |harness| harness.set_fault(&id, Fault::None));
    }

    /// Restarts a target under the same id, preferably one that is loading weights.
    async fn restart_target(&mut self, random: &mut SmallRng) {
        let loading = {
            let platform = self.harness.platform.lock();
            let loading = |id: &&String| platform.targets[*id].loading.is_some();
            self.targets.keys().find(loading).cloned()
        };
        if let Some(id) = loading.or_else(|| self.pick_running_target(random)) {
            self.restart(id, random).await;
        }
    }

    /// Drains a target, then restarts it under the same id.
    async fn restart_draining_target(&mut self, random: &mut SmallRng) {
        let Some(id) = self.pick_running_target(random) else { return };
        self.harness.platform.drain_target(&id);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_LEAVING_MS))).await;
        self.restart(id, random).await;
    }

    /// Restarts a target with a random downtime, address, clock and list lag.
    async fn restart(&mut self, id: String, random: &mut SmallRng) {
        let mut zero_or_random = |most: u64| match random.random_ratio(1, 2) {
            true => 0,
            false => random.random_range(0..most),
        };
        let (down, entry_lag) = (zero_or_random(MAX_DOWN_MS), zero_or_random(MAX_ENTRY_LAG_MS));
        let born_ms = clock_ms() + down - zero_or_random(MAX_CLOCK_BACK_MS);
        let changes_address = random.random_ratio(1, 2);
        let (harness, current_proxy) = (self.harness.clone(), self.targets[&id].clone());
        let any_address = harness.any_stand_in_address;
        // Another process may take the old port while the target is down.
        current_proxy.redirect(any_address);
        let listed = if changes_address { self.start_proxy().await } else { current_proxy.clone() };
        self.targets.insert(id.clone(), listed.clone());
        let restart = Restart {
            down: Duration::from_millis(down),
            listed_address: Some(listed.address),
            born_ms,
            entry_lags: Duration::from_millis(entry_lag),
            ..Restart::at(any_address)
        };
        self.clearing.spawn(async move {
            if let Some(address) = harness.platform.restart_target(&id, restart).await {
                return listed.redirect(address);
            }
            // It crashed meanwhile and has restarted after that.
            if let Some(target) = harness.platform.lock().targets.get(&id) {
                current_proxy.redirect(target.address);
                listed.redirect(target.address);
            }
        });
    }
}
