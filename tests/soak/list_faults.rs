//! Faults of the list and of the targets on it: targets that start again under their ids, entries of
//! other writers, pages that shift, and a list that answers only some replicas. They come in pairs with
//! the other faults.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::faults::{FaultInjector, any_loopback_address};
use crate::platform_stand_in::list::FOREIGN;
use crate::platform_stand_in::starts::Restart;
use crate::platform_stand_in::store::clock_ms;
use crate::platform_stand_in::target::Fault;
use crate::proxy::{NetworkFault, Proxy};

/// A target that starts again is down for so long at most.
const MAX_DOWN_MS: u64 = 2_500;
/// And its entry shows the earlier start for so long at most.
const MAX_ENTRY_LAG_MS: u64 = 2_500;
/// How far the clock of a target may go backwards between two starts.
const MAX_CLOCK_BACK_MS: u64 = 3_600_000;
/// How long a target may leave before it starts again.
const MAX_LEAVING_MS: u64 = 3_000;
/// Entries of other writers at a time, places on the list where they stand, and entries on a page.
const FOREIGN_ENTRY_LIMIT: usize = 4;
const LIST_POSITIONS: usize = 9;
const PAGE_SIZE_LIMIT: usize = 6;

impl FaultInjector {
    /// Strikes beside another fault.
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

    /// What is no fault of the system's surroundings: targets leave and start again, and the list bears
    /// entries of other writers.
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

    /// The list answers only some replicas.
    fn isolate_list_readers(&mut self, random: &mut SmallRng, duration: Duration) {
        let network_faults =
            [NetworkFault::Stall, NetworkFault::StallTowardsCaller, NetworkFault::Reset];
        let network_fault = *network_faults.choose(random).expect("there are some");
        for list in self.lists.clone() {
            if random.random_ratio(1, 2) {
                self.apply_network_fault(list, network_fault, duration);
            }
        }
    }

    /// The list comes in pages, which shift for a while.
    fn shift_pages(&mut self, random: &mut SmallRng, duration: Duration) {
        let shift = *[-2, -1, 0, 1, 2].choose(random).expect("there are some");
        let mut platform = self.harness.platform.lock();
        platform.list.page_entries = random.random_range(0..PAGE_SIZE_LIMIT);
        platform.list.shift = shift;
        drop(platform);
        self.clear_after(duration, move |harness| harness.platform.lock().list.shift = 0);
    }

    /// Other writers' entries come and go, some of them under ids of targets.
    fn set_foreign_entries(&mut self, random: &mut SmallRng) {
        let mut foreign = Vec::new();
        for number in 0..random.random_range(0..FOREIGN_ENTRY_LIMIT) {
            let id = match self.pick_running_target(random) {
                Some(id) if random.random_ratio(1, 3) => id,
                _ => format!("i-foreign-{number}"),
            };
            let kind = FOREIGN.choose(random).expect("there are some");
            foreign.push((
                random.random_range(0..LIST_POSITIONS),
                kind.entry(&id, self.foreign_address),
            ));
        }
        let mut platform = self.harness.platform.lock();
        platform.list.foreign = foreign;
        platform.list_changed();
    }

    /// An engine answers no orders for a while, and carries them out later.
    fn delay_orders(&mut self, random: &mut SmallRng, duration: Duration) {
        let Some(id) = self.pick_running_target(random) else { return };
        self.harness.set_fault(&id, Fault::LateOrders);
        self.clear_after(duration, move |harness| harness.set_fault(&id, Fault::None));
    }

    /// A target starts again under its id, rather one that loads weights.
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

    /// A target leaves, and starts again under its id instead of another one.
    async fn restart_draining_target(&mut self, random: &mut SmallRng) {
        let Some(id) = self.pick_running_target(random) else { return };
        self.harness.platform.drain_target(&id);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_LEAVING_MS))).await;
        self.restart(id, random).await;
    }

    /// At once or late, at the same address or another one, and with or without a list that lags.
    async fn restart(&mut self, id: String, random: &mut SmallRng) {
        let mut zero_or_random = |most: u64| match random.random_ratio(1, 2) {
            true => 0,
            false => random.random_range(0..most),
        };
        let (down, entry_lag) = (zero_or_random(MAX_DOWN_MS), zero_or_random(MAX_ENTRY_LAG_MS));
        let born_ms = clock_ms() + down - zero_or_random(MAX_CLOCK_BACK_MS);
        let changes_address = random.random_ratio(1, 2);
        let (harness, current_proxy) = (self.harness.clone(), self.targets[&id].clone());
        // Nobody else's while it is down.
        current_proxy.redirect(any_loopback_address());
        let listed = if changes_address {
            Proxy::start(any_loopback_address()).await
        } else {
            current_proxy
        };
        self.targets.insert(id.clone(), listed.clone());
        let restart = Restart {
            down: Duration::from_millis(down),
            listed_address: Some(listed.address),
            born_ms,
            entry_lags: Duration::from_millis(entry_lag),
            ..Restart::at(any_loopback_address())
        };
        self.clearing.spawn(async move {
            if let Some(address) = harness.platform.restart_target(&id, restart).await {
                listed.redirect(address);
            }
        });
    }
}
