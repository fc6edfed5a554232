//! Faults in series that overlap, drawn from one seed: phases with faults of all kinds, and calm
//! ones in which only planned work goes on.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::World;
use crate::platform_stand_in::target::Fault;
use crate::proxy::{Harm, Proxy};

/// How long faults strike before a calm phase.
const STORM: Duration = Duration::from_secs(10);
/// How long it is calm then: longer than it takes until a deployment must be in force.
const CALM: Duration = Duration::from_secs(16);
/// Longest pause between two faults.
const PAUSE_MS: u64 = 900;
/// Replicas that may be lost at once, and how long one counts as lost once it is back.
const LOST_AT_ONCE: usize = 2;
const CATCHES_UP: Duration = Duration::from_secs(8);
/// A target is gone this long after it began to leave.
const LEAVES_AFTER: Duration = Duration::from_secs(15);
/// Engines and instances of the plain service, each behind a proxy.
const ENGINES: usize = 4;
const INSTANCES: usize = 3;

/// Which faults strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kinds {
    /// All but those of the list and of targets that start again.
    Plain,
    /// All.
    All,
}

/// Draws and applies faults.
pub struct Faults {
    pub(super) world: Arc<World>,
    random: SmallRng,
    /// Draws what befalls the list and the targets on it, if that is wanted: apart from the rest, so
    /// that earlier seeds draw what they drew.
    pub(super) list_random: Option<SmallRng>,
    pub(super) targets: BTreeMap<String, Proxy>,
    /// Before the list, one for each replica.
    pub(super) lists: Vec<Proxy>,
    /// What entries of other writers name.
    pub(super) nobody: SocketAddr,
    starts: u64,
    /// What ends faults that have begun.
    pub(super) healing: JoinSet<()>,
    /// Targets that leave.
    leaving: JoinSet<()>,
    /// Replicas that are lost, until when.
    lost: Vec<(usize, Instant)>,
    /// Faults that struck.
    pub count: u64,
}

impl Faults {
    /// Starts the targets. Nothing is wrong yet.
    pub async fn new(world: Arc<World>, lists: Vec<Proxy>, kinds: Kinds) -> Faults {
        let random = SmallRng::seed_from_u64(world.seed);
        let list_random = SmallRng::seed_from_u64(world.seed ^ 0x6c69_7374);
        let nobody = world.platform.serve_unused_address(any_address()).await;
        let mut faults = Faults {
            world,
            random,
            list_random: (kinds == Kinds::All).then_some(list_random),
            targets: BTreeMap::new(),
            lists,
            nobody,
            starts: 0,
            healing: JoinSet::new(),
            leaving: JoinSet::new(),
            lost: Vec::new(),
            count: 0,
        };
        for _ in 0..ENGINES {
            faults.start_target("llm").await;
        }
        for _ in 0..INSTANCES {
            faults.start_target("app").await;
        }
        faults
    }

    async fn start_target(&mut self, service: &str) {
        self.starts += 1;
        let id = format!("i-{service}-{}", self.starts);
        let zone = format!("hall-{}", self.starts % 3);
        let proxy = Proxy::start(any_address()).await;
        let platform = &self.world.platform;
        let listed = Some(proxy.address);
        let address = platform.start_target(&id, service, &zone, any_address(), listed).await;
        proxy.redirect(address);
        self.targets.insert(id, proxy);
    }

    /// Strikes until the time is over, then heals all.
    pub async fn run(&mut self, lasts: Duration) {
        let end = Instant::now() + lasts;
        while Instant::now() < end {
            let storm_ends = (Instant::now() + STORM).min(end);
            while Instant::now() < storm_ends {
                self.pause().await;
                self.strike().await;
                self.strike_list().await;
            }
            self.heal().await;
            let calm_ends = (Instant::now() + CALM).min(end);
            while Instant::now() < calm_ends {
                self.pause().await;
                self.plan();
                self.plan_list().await;
            }
        }
        self.heal().await;
    }

    async fn pause(&mut self) {
        let pause = Duration::from_millis(self.random.random_range(50..PAUSE_MS));
        tokio::time::sleep(pause).await;
        let wrong = self.world.system().look_after();
        wrong.into_iter().for_each(|what| self.world.violation(what));
        while self.healing.try_join_next().is_some() {}
    }

    /// Planned work: one entry at a time stops, or reads its settings.
    fn plan(&mut self) {
        let entry = self.random.random_range(0..self.world.entries);
        let mut system = self.world.system();
        let all_up = (0..self.world.entries).all(|entry| system.is_up(entry));
        match self.random.random_range(0..4) {
            0 if all_up => system.stop(entry),
            1 if all_up => system.reload(entry),
            _ => {}
        }
    }

    async fn strike(&mut self) {
        self.count += 1;
        let lasts = Duration::from_millis(self.random.random_range(300..3_000));
        match self.random.random_range(0..14) {
            0 | 1 => self.harm_entry(lasts),
            2..=4 => self.harm_replica(lasts),
            5 => self.kill_all_replicas(lasts.min(Duration::from_secs(1))),
            6 => self.replace_target().await,
            7 => self.drain_target().await,
            8 => self.harm_list(lasts),
            9 => self.world.platform.lock().store.restart(),
            10..=11 => self.harm_connections(lasts),
            _ => self.spoil_target(lasts),
        }
    }

    fn harm_entry(&mut self, lasts: Duration) {
        let entry = self.random.random_range(0..self.world.entries);
        let mut system = self.world.system();
        if !system.is_up(entry) {
            return;
        }
        match self.random.random_range(0..4) {
            0 => {
                system.pause(entry);
                drop(system);
                self.later(lasts, move |world| world.system().resume(entry));
            }
            1 => {
                system.kill(entry);
                drop(system);
                self.later(lasts, move |world| world.system().start_again(entry, false));
            }
            2 => system.reload(entry),
            _ => system.stop(entry),
        }
    }

    fn harm_replica(&mut self, lasts: Duration) {
        let replicas = self.world.system().replicas();
        let replica = self.random.random_range(replicas);
        self.lost.retain(|(_, until)| Instant::now() < *until);
        let is_lost = self.lost.iter().any(|(lost, _)| *lost == replica);
        if is_lost || self.lost.len() >= LOST_AT_ONCE {
            return;
        }
        self.lost.push((replica, Instant::now() + lasts + CATCHES_UP));
        let drawn = self.random.random_range(0..4);
        let mut system = self.world.system();
        if drawn == 0 {
            system.pause(replica);
            drop(system);
            self.later(lasts, move |world| world.system().resume(replica));
        } else {
            system.kill(replica);
            drop(system);
            self.later(lasts, move |world| world.system().start_again(replica, drawn == 1));
        }
    }

    /// All replicas end at the same moment and keep their disks.
    fn kill_all_replicas(&mut self, lasts: Duration) {
        self.lost.retain(|(_, until)| Instant::now() < *until);
        if !self.lost.is_empty() {
            return;
        }
        let replicas = self.world.system().replicas();
        for replica in replicas {
            self.world.system().kill(replica);
            self.lost.push((replica, Instant::now() + lasts + CATCHES_UP));
            self.later(lasts, move |world| world.system().start_again(replica, false));
        }
    }

    fn any_target(&mut self) -> Option<String> {
        let ids: Vec<&String> = self.targets.keys().collect();
        let id = ids.choose(&mut self.random).map(|id| id.to_string());
        id.filter(|id| self.is_up(id))
    }

    /// Whether a target runs: one that starts again is down for a while.
    pub(super) fn is_up(&self, id: &str) -> bool {
        let platform = self.world.platform.lock();
        platform.targets.get(id).is_some_and(|target| platform.runs(id, target.start))
    }

    fn harm_connections(&mut self, lasts: Duration) {
        let Some(id) = self.any_target() else { return };
        let harm = match self.random.random_range(0..4) {
            0 => Harm::Delay(Duration::from_millis(self.random.random_range(5..150))),
            1 => Harm::Silence,
            2 => Harm::OneWay,
            _ => Harm::Reset,
        };
        self.set(self.targets[&id].clone(), harm, lasts);
    }

    fn harm_list(&mut self, lasts: Duration) {
        for list in self.lists.clone() {
            self.set(list, Harm::Silence, lasts);
        }
    }

    pub(super) fn set(&mut self, proxy: Proxy, harm: Harm, lasts: Duration) {
        proxy.set(harm);
        self.later(lasts, move |_| proxy.set(Harm::None));
    }

    fn spoil_target(&mut self, lasts: Duration) {
        let Some(id) = self.any_target() else { return };
        let faults = [
            Fault::Full,
            Fault::RespondsWithError,
            Fault::NeverResponds,
            Fault::BreaksOff,
            Fault::WrongRequestId,
        ];
        let fault = *faults.choose(&mut self.random).expect("there are some");
        self.set_fault(&id, fault);
        self.later(lasts, move |world| world.set_fault(&id, Fault::None));
    }

    fn set_fault(&self, id: &str, fault: Fault) {
        self.world.set_fault(id, fault);
    }

    /// A target dies, and another one starts in its place.
    async fn replace_target(&mut self) {
        let Some(id) = self.any_target() else { return };
        self.targets.remove(&id);
        let start = self.world.platform.lock().targets[&id].start;
        self.world.platform.crash_target(&id, start);
        self.start_target(service_of(&id)).await;
    }

    /// A target leaves, and another one starts before it does.
    async fn drain_target(&mut self) {
        if let Some(id) = self.any_target() {
            self.drain(id).await;
        }
    }

    pub(super) async fn drain(&mut self, id: String) {
        self.targets.remove(&id);
        self.start_target(service_of(&id)).await;
        let start = self.world.platform.drain_target(&id);
        // Planned: nothing is wrong meanwhile.
        let world = self.world.clone();
        self.leaving.spawn(async move {
            tokio::time::sleep(LEAVES_AFTER).await;
            world.platform.crash_target(&id, start);
        });
    }

    pub(super) fn later(&mut self, after: Duration, end: impl FnOnce(&World) + Send + 'static) {
        let world = self.world.clone();
        let harm = world.begin_harm();
        self.healing.spawn(async move {
            tokio::time::sleep(after).await;
            end(&world);
            world.end_harm(harm);
        });
    }

    /// Ends what is still to come.
    pub async fn close(mut self) {
        self.healing.shutdown().await;
        self.leaving.shutdown().await;
    }

    async fn heal(&mut self) {
        while self.healing.join_next().await.is_some() {}
    }
}

fn service_of(id: &str) -> &'static str {
    if id.contains("-llm-") { "llm" } else { "app" }
}

/// A free port on loopback.
pub fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
