//! Faults of the list and of the targets on it: targets that start again under their ids, entries of
//! other writers, pages that shift, and a list that answers only some replicas. They come in pairs with
//! the other faults.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

use crate::faults::{Faults, any_address};
use crate::platform_stand_in::list::FOREIGN_ENTRIES;
use crate::platform_stand_in::starts::Restart;
use crate::platform_stand_in::store::clock_ms;
use crate::platform_stand_in::target::Fault;
use crate::proxy::{Harm, Proxy};

/// A target that starts again is down for so long at most.
const DOWN_MS: u64 = 2_500;
/// And its entry shows the earlier start for so long at most.
const ENTRY_LAGS_MS: u64 = 2_500;
/// How far the clock of a target may go backwards between two starts.
const CLOCK_BACK_MS: u64 = 3_600_000;
/// How long a target may leave before it starts again.
const LEAVES_FOR_MS: u64 = 3_000;
/// Entries of other writers at a time, places on the list where they stand, and entries on a page.
const FOREIGN_AT_A_TIME: usize = 4;
const PLACES: usize = 9;
const PAGE_ENTRIES: usize = 6;

impl Faults {
    /// Strikes beside another fault.
    pub async fn strike_list(&mut self) {
        let Some(mut random) = self.list_random.take() else { return };
        let lasts = Duration::from_millis(random.random_range(300..3_000));
        match random.random_range(0..12) {
            0..=2 => self.restart_target(&mut random).await,
            3 => self.restart_leaving(&mut random).await,
            4 => self.cut_list_readers(&mut random, lasts),
            5 => self.turn_pages(&mut random, lasts),
            6 => self.set_foreign(&mut random),
            7 => self.delay_orders(&mut random, lasts),
            _ => {}
        }
        self.list_random = Some(random);
    }

    /// What is no fault of the system's surroundings: targets leave and start again, and the list bears
    /// entries of other writers.
    pub async fn plan_list(&mut self) {
        let Some(mut random) = self.list_random.take() else { return };
        match random.random_range(0..12) {
            0 => {
                if let Some(id) = self.any_listed(&mut random) {
                    self.drain(id).await;
                }
            }
            1 => self.restart_target(&mut random).await,
            2 => self.set_foreign(&mut random),
            _ => {}
        }
        self.list_random = Some(random);
    }

    fn any_listed(&self, random: &mut SmallRng) -> Option<String> {
        let ids: Vec<&String> = self.targets.keys().filter(|id| self.is_up(id)).collect();
        ids.choose(random).map(|id| id.to_string())
    }

    /// The list answers only some replicas.
    fn cut_list_readers(&mut self, random: &mut SmallRng, lasts: Duration) {
        let harms = [Harm::Silence, Harm::OneWay, Harm::Reset];
        let harm = *harms.choose(random).expect("there are some");
        for list in self.lists.clone() {
            if random.random_ratio(1, 2) {
                self.set(list, harm, lasts);
            }
        }
    }

    /// The list comes in pages, which shift for a while.
    fn turn_pages(&mut self, random: &mut SmallRng, lasts: Duration) {
        let shift = *[-2, -1, 0, 1, 2].choose(random).expect("there are some");
        let mut platform = self.world.platform.lock();
        platform.list.page_entries = random.random_range(0..PAGE_ENTRIES);
        platform.list.shift = shift;
        drop(platform);
        self.later(lasts, move |world| world.platform.lock().list.shift = 0);
    }

    /// Other writers' entries come and go, some of them under ids of targets.
    fn set_foreign(&mut self, random: &mut SmallRng) {
        let mut foreign = Vec::new();
        for number in 0..random.random_range(0..FOREIGN_AT_A_TIME) {
            let id = match self.any_listed(random) {
                Some(id) if random.random_ratio(1, 3) => id,
                _ => format!("i-foreign-{number}"),
            };
            let kind = FOREIGN_ENTRIES.choose(random).expect("there are some");
            foreign.push((random.random_range(0..PLACES), kind.entry(&id, self.nobody)));
        }
        let mut platform = self.world.platform.lock();
        platform.list.foreign = foreign;
        platform.list_changed();
    }

    /// An engine answers no orders for a while, and carries them out later.
    fn delay_orders(&mut self, random: &mut SmallRng, lasts: Duration) {
        let Some(id) = self.any_listed(random) else { return };
        self.world.set_fault(&id, Fault::LateOrders);
        self.later(lasts, move |world| world.set_fault(&id, Fault::None));
    }

    /// A target starts again under its id, rather one that loads weights.
    async fn restart_target(&mut self, random: &mut SmallRng) {
        let loads = {
            let platform = self.world.platform.lock();
            let loads = |id: &&String| platform.targets[*id].loading.is_some();
            self.targets.keys().find(loads).cloned()
        };
        if let Some(id) = loads.or_else(|| self.any_listed(random)) {
            self.restart(id, random).await;
        }
    }

    /// A target leaves, and starts again under its id instead of another one.
    async fn restart_leaving(&mut self, random: &mut SmallRng) {
        let Some(id) = self.any_listed(random) else { return };
        self.world.platform.drain_target(&id);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..LEAVES_FOR_MS))).await;
        self.restart(id, random).await;
    }

    /// At once or late, at the same address or another one, and with or without a list that lags.
    async fn restart(&mut self, id: String, random: &mut SmallRng) {
        let mut drawn = |most: u64| match random.random_ratio(1, 2) {
            true => 0,
            false => random.random_range(0..most),
        };
        let (down, lags) = (drawn(DOWN_MS), drawn(ENTRY_LAGS_MS));
        let born_ms = clock_ms() + down - drawn(CLOCK_BACK_MS);
        let moves = random.random_ratio(1, 2);
        let (world, known) = (self.world.clone(), self.targets[&id].clone());
        // Nobody else's while it is down.
        known.redirect(any_address());
        let listed = if moves { Proxy::start(any_address()).await } else { known };
        self.targets.insert(id.clone(), listed.clone());
        let restart = Restart {
            down: Duration::from_millis(down),
            listed_address: Some(listed.address),
            born_ms,
            entry_lags: Duration::from_millis(lags),
            ..Restart::at(any_address())
        };
        self.healing.spawn(async move {
            if let Some(address) = world.platform.restart_target(&id, restart).await {
                listed.redirect(address);
            }
        });
    }
}
