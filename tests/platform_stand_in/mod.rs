//! In-process emulation of the users' platform on loopback: its list of targets, model engines, plain
//! services and a store of KV cache. It records requests and violations of guarantees.

pub mod brittle;
pub mod http;
pub mod job;
pub mod limits;
pub mod list;
pub mod observations;
pub mod pauses;
pub mod requests;
pub mod starts;
pub mod store;
pub mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use list::List;
use observations::Observations;
use store::Store;
use target::Target;

/// State shared by the emulated servers and the tests that inspect it.
#[derive(Clone, Default)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
pub struct Inner {
    /// The latest start of each target, by target id.
    pub targets: BTreeMap<String, Target>,
    /// Addresses at which engines are or were listed. A fetch from an engine that is gone finds nothing.
    pub engine_addresses: BTreeSet<SocketAddr>,
    /// Requests that have reached targets, and violations.
    pub observations: Observations,
    pub store: Store,
    /// The newest announced version of the model's weights, which new engines run.
    pub named_weights: u64,
    /// Orders are neither answered nor executed while this is set.
    pub holds_orders: bool,
    /// Ids of targets that have received an order.
    pub ordered: BTreeSet<String>,
    pub list: List,
    /// What engines bear after a start; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
}

/// What an engine bears after a start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    pub duration: Duration,
    pub requests_per_s: f64,
}

impl ColdStart {
    /// Requests within a second from which on a cold engine crashes.
    pub fn max_per_s(&self) -> usize {
        (self.requests_per_s * 1.5) as usize + 5
    }
}

impl Platform {
    /// A platform without targets.
    pub fn new() -> Platform {
        let platform = Platform::default();
        platform.lock().named_weights = 1;
        platform
    }

    /// Locks the state, also if a thread panicked while holding the lock.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        // The failure of one check must not hide the results of the others.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
