//! Sound targets that fall silent for a while and then go on, beside all other faults: one that writes
//! nothing, and series of paused processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;

use super::Harness;

/// Bounds of the time between two silences of single targets, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..2_000;
/// Bounds of the length of such a silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 1_000..2_000;

/// The silences in progress. A target has one at most.
pub type Silences = Vec<Silence>;

/// A target that is silent.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Listed address of the target.
    pub address: SocketAddr,
    pub extent: Extent,
}

/// What a silent target does not do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// It neither reads nor writes on any connection. New ones are accepted.
    Process,
    /// It writes nothing. If `spares_half` is set, every second connection goes on.
    Writes { spares_half: bool },
}

/// The silences of one connection of a target.
#[derive(Clone)]
pub struct SilentConnection {
    silences: watch::Receiver<Silences>,
    address: SocketAddr,
    number: u64,
}

impl SilentConnection {
    /// `address` is the listed address of the target, and `number` counts its connections.
    pub fn new(
        silences: watch::Receiver<Silences>,
        address: SocketAddr,
        number: u64,
    ) -> SilentConnection {
        SilentConnection { silences, address, number }
    }

    fn extent(&self, silences: &Silences) -> Option<Extent> {
        silences.iter().find(|silence| silence.address == self.address).map(|found| found.extent)
    }

    fn is_paused(&self, silences: &Silences) -> bool {
        self.extent(silences) == Some(Extent::Process)
    }

    fn is_silent(&self, silences: &Silences) -> bool {
        match self.extent(silences) {
            None => false,
            Some(Extent::Writes { spares_half: true }) => self.number.is_multiple_of(2),
            Some(Extent::Process | Extent::Writes { spares_half: false }) => true,
        }
    }

    /// How many of these bytes the target writes before it falls silent; `None` if it is not silent.
    /// Falls silent inside an event on half of the connections, otherwise before it.
    pub fn written_before(&self, bytes: &[u8]) -> Option<usize> {
        let is_silent = self.is_silent(&self.silences.borrow());
        let is_cut = (self.number / 2).is_multiple_of(2) && !bytes.starts_with(b"HTTP/");
        is_silent.then_some(if is_cut { bytes.len() / 2 } else { 0 })
    }

    /// Waits until the target goes on.
    pub async fn goes_on(&self) {
        let mut silences = self.silences.clone();
        let ended = silences.wait_for(|silences| !self.is_silent(silences)).await;
        drop(ended);
    }

    /// Waits until the process of the target is paused.
    pub async fn paused(&self) {
        let mut silences = self.silences.clone();
        if silences.wait_for(|silences| self.is_paused(silences)).await.is_err() {
            std::future::pending().await
        }
    }

    /// Waits until the process of the target is not paused.
    pub async fn resumed(&self) {
        let mut silences = self.silences.clone();
        let ended = silences.wait_for(|silences| !self.is_paused(silences)).await;
        drop(ended);
    }
}

/// Whether a target is silent.
pub fn is_silent(harness: &Harness, address: SocketAddr) -> bool {
    harness.silences.borrow().iter().any(|silence| silence.address == address)
}

/// Whether any process is paused.
pub fn is_any_paused(harness: &Harness) -> bool {
    harness.silences.borrow().iter().any(|silence| silence.extent == Extent::Process)
}

/// Ends the silences of targets.
pub fn end(harness: &Harness, addresses: &[SocketAddr]) {
    harness.silences.send_modify(|silences| {
        silences.retain(|silence| !addresses.contains(&silence.address));
    });
}

/// Silences what one target after the other writes, until the faults end.
pub async fn run(harness: Arc<Harness>, faults_done: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x7369_6c65);
    while !faults_done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let addresses: Vec<SocketAddr> = {
            let platform = harness.platform.lock();
            let listed = platform.targets.values().filter(|target| target.is_listed);
            listed.map(|target| target.listed_address).collect()
        };
        let Some(address) = addresses.choose(&mut random).copied() else { continue };
        let extent = Extent::Writes { spares_half: random.random_ratio(1, 2) };
        let length = Duration::from_millis(random.random_range(SILENCE_MS));
        if is_silent(&harness, address) {
            continue;
        }
        harness.silences.send_modify(|silences| silences.push(Silence { address, extent }));
        tokio::time::sleep(length).await;
        end(&harness, &[address]);
    }
}
