//! Injects overlapping faults drawn from the seed. Fault phases alternate with calm phases that
//! have planned operations only.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::Harness;
use crate::platform_stand_in::target::Fault;
use crate::proxy::{NetworkFault, Proxy, TargetFaults};

/// Duration of a fault phase.
const FAULT_PHASE: Duration = Duration::from_secs(10);
/// Duration of a calm phase; longer than the time until a deployment must be in force.
const CALM_PHASE: Duration = Duration::from_secs(16);
/// Longest pause between two faults or planned operations.
const MAX_PAUSE_MS: u64 = 900;
/// Largest number of replicas that faults of single replicas may keep lost at the same time.
const MAX_LOST_REPLICAS: usize = 2;
/// How long a replica counts as lost after its restart.
const CATCH_UP_TIME: Duration = Duration::from_secs(8);
/// Time from the start of a drain to the termination of the target.
const DRAIN_TIME: Duration = Duration::from_secs(15);
/// Software versions of targets, in turn.
const SOFTWARE_VERSIONS: [&str; 2] = ["v1", "v2"];
/// Number of model engines.
const ENGINES: usize = 4;
/// Number of instances of the plain service.
const INSTANCES: usize = 3;

/// Kinds of faults to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSet {
    /// All except faults of the target list and target restarts.
    Plain,
    /// All faults.
    All,
}

/// Draws and injects faults.
pub struct FaultInjector {
    pub(super) harness: Arc<Harness>,
    random: SmallRng,
    /// Random source of list faults, if enabled. It is separate so that the other faults of a seed
    /// do not depend on it.
    pub(super) list_random: Option<SmallRng>,
    pub(super) targets: BTreeMap<String, Proxy>,
    /// Proxies of the target list, one per replica.
    pub(super) list_proxies: Vec<Proxy>,
    /// Target address in foreign list entries.
    pub(super) foreign_address: SocketAddr,
    started_targets: u64,
    /// Tasks that clear active faults.
    pub(super) clearing: JoinSet<()>,
    /// Tasks that terminate draining targets.
    draining: JoinSet<()>,
    /// Lost replicas, and until when each counts as lost.
    lost_replicas: Vec<(usize, Instant)>,
    /// Number of drawn faults.
    pub count: u64,
}

impl FaultInjector {
    /// Starts the targets, without faults.
    pub async fn new(
        harness: Arc<Harness>,
        list_proxies: Vec<Proxy>,
        fault_set: FaultSet,
    ) -> FaultInjector {
        let random = SmallRng::seed_from_u64(harness.seed);
        let list_random = SmallRng::seed_from_u64(harness.seed ^ 0x6c69_7374);
        let foreign_address =
            harness.platform.serve_unused_address(harness.any_stand_in_address).await;
        let mut injector = FaultInjector {
            harness,
            random,
            list_random: (fault_set == FaultSet::All).then_some(list_random),
            targets: BTreeMap::new(),
            list_proxies,
            foreign_address,
            started_targets: 0,
            clearing: JoinSet::new(),
            draining: JoinSet::new(),
            lost_replicas: Vec::new(),
            count: 0,
        };
        for _ in 0..ENGINES {
            injector.start_target("llm").await;
        }
        for _ in 0..INSTANCES {
            injector.start_target("app").await;
        }
        injector
    }

    async fn start_target(&mut self, service: &str) {
        self.started_targets += 1;
        let id = format!("i-{service}-{}", self.started_targets);
        let zone = format!("hall-{}", self.started_targets % 3);
        let any_address = self.harness.any_stand_in_address;
        let proxy = self.start_proxy().await;
        let platform = &self.harness.platform;
        let listed = Some(proxy.address);
        let address = platform.start_target(&id, service, &zone, any_address, listed).await;
        let software = SOFTWARE_VERSIONS[self.started_targets as usize % SOFTWARE_VERSIONS.len()];
        platform.set_software(&id, software);
        proxy.redirect(address);
        self.targets.insert(id, proxy);
    }

    /// Starts a proxy for a target.
    pub(super) async fn start_proxy(&self) -> Proxy {
        let any_address = self.harness.any_stand_in_address;
        let faults = TargetFaults {
            cut_off: self.harness.cut_off.subscribe(),
            silences: self.harness.silences.subscribe(),
        };
        Proxy::start(any_address, any_address, Some(faults)).await
    }

    /// Injects faults for this time, then waits until all are cleared.
    pub async fn run(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            let fault_phase_end = (Instant::now() + FAULT_PHASE).min(end);
            while Instant::now() < fault_phase_end {
                self.wait_between_faults().await;
                self.inject_fault().await;
                self.inject_list_fault().await;
            }
            self.wait_until_cleared().await;
            let calm_phase_end = (Instant::now() + CALM_PHASE).min(end);
            while Instant::now() < calm_phase_end {
                self.wait_between_faults().await;
                self.run_planned_operation();
                self.change_list().await;
            }
        }
        self.wait_until_cleared().await;
    }

    async fn wait_between_faults(&mut self) {
        let pause = Duration::from_millis(self.random.random_range(50..MAX_PAUSE_MS));
        tokio::time::sleep(pause).await;
        let failures = self.harness.system().restart_exited();
        failures.into_iter().for_each(|description| self.harness.record_violation(description));
        while self.clearing.try_join_next().is_some() {}
    }

    /// Stops or reloads a random entry if all entries are up.
    fn run_planned_operation(&mut self) {
        let entry = self.random.random_range(0..self.harness.entries);
        let mut system = self.harness.system();
        let all_up = (0..self.harness.entries).all(|entry| system.is_up(entry));
        match self.random.random_range(0..4) {
            0 if all_up => system.stop(entry),
            1 if all_up => system.reload(entry),
            _ => {}
        }
    }

    async fn inject_fault(&mut self) {
        self.count += 1;
        let duration = Duration::from_millis(self.random.random_range(300..3_000));
        match self.random.random_range(0..14) {
            0 | 1 => self.inject_entry_fault(duration),
            2..=4 => self.inject_replica_fault(duration),
            5 => self.kill_all_replicas(duration.min(Duration::from_secs(1))),
            6 => self.replace_target().await,
            7 => self.drain_target().await,
            8 => self.stall_list(duration),
            9 => self.harness.platform.lock().store.restart(),
            10..=11 => self.inject_network_fault(duration),
            _ => self.inject_target_fault(duration),
        }
    }

    fn inject_entry_fault(&mut self, duration: Duration) {
        let entry = self.random.random_range(0..self.harness.entries);
        let mut system = self.harness.system();
        if !system.is_up(entry) {
            return;
        }
        match self.random.random_range(0..4) {
            0 => {
                system.pause(entry);
                drop(system);
                self.clear_after(duration, move |harness| harness.system().resume(entry));
            }
            1 => {
                system.kill(entry);
                drop(system);
                self.clear_after(duration, move |harness| harness.system().restart(entry, false));
            }
            2 => system.reload(entry),
            _ => system.stop(entry),
        }
    }

    fn inject_replica_fault(&mut self, duration: Duration) {
        let replicas = self.harness.system().replicas();
        let replica = self.random.random_range(replicas);
        self.lost_replicas.retain(|(_, until)| Instant::now() < *until);
        let is_lost = self.lost_replicas.iter().any(|(lost, _)| *lost == replica);
        if is_lost || self.lost_replicas.len() >= MAX_LOST_REPLICAS {
            return;
        }
        self.lost_replicas.push((replica, Instant::now() + duration + CATCH_UP_TIME));
        let choice = self.random.random_range(0..4);
        let mut system = self.harness.system();
        if choice == 0 {
            system.pause(replica);
            drop(system);
            self.clear_after(duration, move |harness| harness.system().resume(replica));
        } else {
            system.kill(replica);
            drop(system);
            self.clear_after(duration, move |harness| {
                harness.system().restart(replica, choice == 1)
            });
        }
    }

    /// Kills all replicas at the same time. They keep their disks.
    fn kill_all_replicas(&mut self, duration: Duration) {
        self.lost_replicas.retain(|(_, until)| Instant::now() < *until);
        if !self.lost_replicas.is_empty() {
            return;
        }
        let replicas = self.harness.system().replicas();
        for replica in replicas {
            self.harness.system().kill(replica);
            self.lost_replicas.push((replica, Instant::now() + duration + CATCH_UP_TIME));
            self.clear_after(duration, move |harness| harness.system().restart(replica, false));
        }
    }

    fn pick_target(&mut self) -> Option<String> {
        let ids: Vec<&String> = self.targets.keys().collect();
        let id = ids.choose(&mut self.random).map(|id| id.to_string());
        id.filter(|id| self.is_up(id))
    }

    /// Whether a target runs; it does not while it restarts.
    pub(super) fn is_up(&self, id: &str) -> bool {
        let platform = self.harness.platform.lock();
        platform.targets.get(id).is_some_and(|target| platform.runs(id, target.start))
    }

    fn inject_network_fault(&mut self, duration: Duration) {
        let Some(id) = self.pick_target() else { return };
        let network_fault = match self.random.random_range(0..4) {
            0 => NetworkFault::Delay(Duration::from_millis(self.random.random_range(5..150))),
            1 => NetworkFault::Stall,
            2 => NetworkFault::StallTowardsCaller,
            _ => NetworkFault::Reset,
        };
        self.apply_network_fault(self.targets[&id].clone(), network_fault, duration);
    }

    fn stall_list(&mut self, duration: Duration) {
        for proxy in self.list_proxies.clone() {
            self.apply_network_fault(proxy, NetworkFault::Stall, duration);
        }
    }

    pub(super) fn apply_network_fault(
        &mut self,
        proxy: Proxy,
        network_fault: NetworkFault,
        duration: Duration,
    ) {
        proxy.set_fault(network_fault);
        self.clear_after(duration, move |_| proxy.set_fault(NetworkFault::None));
    }

    fn inject_target_fault(&mut self, duration: Duration) {
        let Some(id) = self.pick_target() else { return };
        let faults = [
            Fault::Full,
            Fault::RespondsWithError,
            Fault::NeverResponds,
            Fault::BreaksOff,
            Fault::WrongRequestId,
        ];
        let fault = *faults.choose(&mut self.random).expect("the choices are not empty");
        self.set_fault(&id, fault);
        self.clear_after(duration, move |harness| harness.set_fault(&id, Fault::None));
    }

    fn set_fault(&self, id: &str, fault: Fault) {
        self.harness.set_fault(id, fault);
    }

    /// Crashes a target and starts a replacement.
    async fn replace_target(&mut self) {
        let Some(id) = self.pick_target() else { return };
        self.targets.remove(&id);
        let start = self.harness.platform.lock().targets[&id].start;
        self.harness.platform.crash_target(&id, start);
        self.start_target(service_of(&id)).await;
    }

    /// Drains a target and starts a replacement.
    async fn drain_target(&mut self) {
        if let Some(id) = self.pick_target() {
            self.drain(id).await;
        }
    }

    pub(super) async fn drain(&mut self, id: String) {
        self.targets.remove(&id);
        self.start_target(service_of(&id)).await;
        let start = self.harness.platform.drain_target(&id);
        // Draining is a planned operation, so no fault period is recorded.
        let harness = self.harness.clone();
        self.draining.spawn(async move {
            tokio::time::sleep(DRAIN_TIME).await;
            harness.platform.crash_target(&id, start);
        });
    }

    /// Starts a fault period, and after a delay clears the fault and ends the period.
    pub(super) fn clear_after(
        &mut self,
        after: Duration,
        end: impl FnOnce(&Harness) + Send + 'static,
    ) {
        let harness = self.harness.clone();
        let fault_index = harness.begin_fault();
        self.clearing.spawn(async move {
            tokio::time::sleep(after).await;
            end(&harness);
            harness.end_fault(fault_index);
        });
    }

    /// Aborts all background tasks.
    pub async fn close(mut self) {
        self.clearing.shutdown().await;
        self.draining.shutdown().await;
    }

    async fn wait_until_cleared(&mut self) {
        while self.clearing.join_next().await.is_some() {}
    }
}

fn service_of(id: &str) -> &'static str {
    if id.contains("-llm-") { "llm" } else { "app" }
}
