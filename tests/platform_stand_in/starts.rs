//! Targets that start, start again under their ids, leave and end.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::task::AbortHandle;

use super::list::LIST_LAG;
use super::store::clock_ms;
use super::target::Target;
use super::{Inner, Platform, http};

/// How long it may take until the address of a target that has ended is free.
const ADDRESS_RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// How a target starts again under its id.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// How long it is down.
    pub down: Duration,
    /// Where it listens then.
    pub at: SocketAddr,
    /// Where its entry says so, if a proxy stands before it.
    pub listed_address: Option<SocketAddr>,
    /// When it started, by a clock of its own. It may be earlier than that of the start before.
    pub born_ms: u64,
    /// How long its entry shows the earlier start still.
    pub entry_lags: Duration,
}

impl Restart {
    /// At once, at an address, with a right clock.
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
    /// Starts a target and lists it, at an address that a proxy may stand before.
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
        inner.targets.insert(id.to_string(), target);
        inner.list_changed();
        address
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

    /// A target ends at once and starts again under its id. It knows nothing of before, but has the
    /// weights that it had. Returns its address.
    pub async fn restart_target(&self, id: &str, restart: Restart) -> Option<SocketAddr> {
        let earlier = {
            let mut inner = self.lock();
            let target = inner.targets.get_mut(id)?;
            target.end();
            target.start
        };
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

    /// Ends a start of a target at once: its connections are reset and its address is free.
    pub fn crash_target(&self, id: &str, start: u64) {
        let mut inner = self.lock();
        if let Some(target) = inner.targets.get_mut(id).filter(|target| target.start == start) {
            target.is_listed = false;
            target.end();
        }
        inner.list_changed();
    }

    /// A target says on the list that it leaves, and serves on. Returns which start of it does.
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
    /// Whether a start of a target runs.
    pub fn runs(&self, id: &str, start: u64) -> bool {
        let target = self.targets.get(id).filter(|target| target.start == start);
        target.is_some_and(|target| target.server.is_some())
    }
}
