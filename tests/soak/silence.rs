//! Sound targets that fall silent for a while and then go on, beside all other faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::sync::watch;

use super::Harness;

/// Bounds of the time between two silences, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..2_000;
/// Bounds of the length of a silence, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 1_000..2_000;

/// A target that writes nothing for a while.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Listed address of the target.
    address: SocketAddr,
    /// Whether every second connection goes on.
    spares_half: bool,
}

/// The silences of one connection of a target.
pub struct SilentConnection {
    silence: watch::Receiver<Option<Silence>>,
    address: SocketAddr,
    number: u64,
}

impl SilentConnection {
    /// `address` is the listed address of the target, and `number` counts its connections.
    pub fn new(
        silence: watch::Receiver<Option<Silence>>,
        address: SocketAddr,
        number: u64,
    ) -> SilentConnection {
        SilentConnection { silence, address, number }
    }

    fn is_silent(&self, silence: Option<Silence>) -> bool {
        let mine = silence.filter(|silence| silence.address == self.address);
        mine.is_some_and(|silence| !silence.spares_half || self.number.is_multiple_of(2))
    }

    /// How many of these bytes the target writes before it falls silent; `None` if it is not silent.
    /// Falls silent inside an event on half of the connections, otherwise before it.
    pub fn written_before(&self, bytes: &[u8]) -> Option<usize> {
        let is_silent = self.is_silent(*self.silence.borrow());
        let is_cut = (self.number / 2).is_multiple_of(2) && !bytes.starts_with(b"HTTP/");
        is_silent.then_some(if is_cut { bytes.len() / 2 } else { 0 })
    }

    /// Waits until the target goes on.
    pub async fn goes_on(&mut self) {
        let mut silence = self.silence.clone();
        let ended = silence.wait_for(|silence| !self.is_silent(*silence)).await;
        drop(ended);
    }
}

/// Silences one target after the other until the faults end.
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
        let spares_half = random.random_ratio(1, 2);
        harness.silence.send_replace(Some(Silence { address, spares_half }));
        tokio::time::sleep(Duration::from_millis(random.random_range(SILENCE_MS))).await;
        harness.silence.send_replace(None);
    }
}
