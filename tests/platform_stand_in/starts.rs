//! Starts, restarts, draining and crashes of emulated targets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;

use super::list::LIST_LAG;
use super::store::clock_ms;
use super::target::Target;
use super::{Inner, Platform, http};

/// Limit of the wait for the address of a stopped target to be free.
const ADDRESS_RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// How a target restarts under its id.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// Time between the end and the next start.
    pub down: Duration,
    /// The address at which it listens after the restart.
    pub at: SocketAddr,
    /// The address in its list entry, if it is behind a proxy.
    pub listed_address: Option<SocketAddr>,
    /// Its start time by its own clock, which may be before that of the previous start.
    pub born_ms: u64,
    /// How long the list still shows the entry of the previous start.
    pub entry_lags: Duration,
}

impl Restart {
    /// An immediate restart at an address, with a correct clock.
    pub fn at(address: SocketAddr) -> Restart {
        Restart {
            down: Duration::ZERO,
            at: address,
            listed_address: None,
            born_ms: clock_ms(),
            entry_lags: Duration::ZERO,
        }
    }
}

impl Platform {
    /// Starts a target and lists it, at `listed_address` if it is behind a proxy.
    pub async fn start_target(
        &self,
        id: &str,
        service: &str,
        zone: &str,
        at: SocketAddr,
        listed_address: Option<SocketAddr>,
    ) -> SocketAddr {
        let (address, server) = self.serve_target(id, 1, at).await;
        let mut inner = self.lock();
        let weights = (service == "llm").then_some(inner.named_weights);
        let listed_address = listed_address.unwrap_or(address);
        let mut target = Target::new(id, service, zone, address);
        (target.weights, target.server) = (weights, Some(server));
        target.listed_address = listed_address;
        self.start_cold(&inner, &mut target);
        inner.targets.insert(id.to_string(), target);
        inner.list_changed();
        address
    }

    /// Changes the software version of a target that has just started.
    pub fn set_software(&self, id: &str, software: &str) {
        let mut inner = self.lock();
        if let Some(target) = inner.targets.get_mut(id) {
            target.software = software.to_string();
        }
        inner.list_changed();
    }

    /// Makes an engine cold after its start, if engines are, and lists it as warm later.
    fn start_cold(&self, inner: &Inner, target: &mut Target) {
        let Some(cold_start) = inner.cold_start.filter(|_| target.weights.is_some()) else {
            return;
        };
        target.cold_for = cold_start.duration;
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(cold_start.duration).await;
            platform.lock().list_changed();
        });
    }

    async fn serve_target(
        &self,
        id: &str,
        start: u64,
        at: SocketAddr,
    ) -> (SocketAddr, AbortHandle) {
        let (platform, name) = (self.clone(), id.to_string());
        http::start(at, move |request| {
            let (platform, name) = (platform.clone(), name.clone());
            async move { platform.respond_as_target(&name, start, request).await }
        })
        .await
    }

    /// Stops a target and restarts it under its id. It keeps its weights, but neither cache nor
    /// count of orders. Returns its new address, or `None` if the target is unknown or was restarted meanwhile.
    pub async fn restart_target(&self, id: &str, restart: Restart) -> Option<SocketAddr> {
        let earlier = {
            let mut inner = self.lock();
            let target = inner.targets.get_mut(id)?;
            target.end();
            let start = target.start;
            inner.observations.target_ends.push((Instant::now(), id.to_string()));
            start
        };
        let ended_at = Instant::now();
        tokio::time::sleep(restart.down).await;
        let begun = Instant::now();
        while restart.at.port() != 0
            && std::net::TcpListener::bind(restart.at).is_err()
            && begun.elapsed() < ADDRESS_RELEASE_TIMEOUT
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let (address, server) = self.serve_target(id, earlier + 1, restart.at).await;
        let mut inner = self.lock();
        let Some(known) = inner.targets.get(id).filter(|known| known.start == earlier) else {
            server.abort();
            return None;
        };
        let mut target = Target::new(id, &known.service, &known.zone, address);
        target.listed_address = restart.listed_address.unwrap_or(address);
        (target.start, target.born_ms, target.server) =
            (earlier + 1, restart.born_ms, Some(server));
        target.weights = known.weights;
        target.software.clone_from(&known.software);
        target.down_for = ended_at.elapsed();
        self.start_cold(&inner, &mut target);
        let lags_until = Instant::now() + restart.entry_lags;
        target.earlier_entry = known.listed().map(|entry| (entry, lags_until));
        inner.targets.insert(id.to_string(), target);
        inner.list_changed();
        drop(inner);
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(lags_until.into()).await;
            platform.lock().list_changed();
        });
        Some(address)
    }

    /// Stops this start of a target and removes it from the list: its connections are reset and its
    /// address is free.
    pub fn crash_target(&self, id: &str, start: u64) {
        let mut inner = self.lock();
        if let Some(target) = inner.targets.get_mut(id).filter(|target| target.start == start) {
            target.is_listed = false;
            target.end();
            inner.observations.target_ends.push((Instant::now(), id.to_string()));
        }
        inner.list_changed();
    }

    /// Lists a target as draining while it continues to serve. Returns the number of its start.
    pub fn drain_target(&self, id: &str) -> u64 {
        let mut inner = self.lock();
        let start = inner.targets.get_mut(id).map_or(0, |target| {
            let lags_until = target.earlier_entry.as_ref().map(|(_, until)| *until);
            let shown_from = lags_until.unwrap_or_else(Instant::now).max(Instant::now()) + LIST_LAG;
            target.leaves_from.get_or_insert(shown_from);
            target.start
        });
        inner.list_changed();
        start
    }
}

impl Inner {
    /// Whether this start of a target is running.
    pub fn runs(&self, id: &str, start: u64) -> bool {
        let target = self.targets.get(id).filter(|target| target.start == start);
        target.is_some_and(|target| target.server.is_some())
    }
}
