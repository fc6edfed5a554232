//! Stand-ins of the users' platform on loopback: its list of targets, model engines, plain services
//! and a store of kept KV cache. They keep account of what reaches them, and of what must never
//! happen.

pub mod http;
pub mod job;
pub mod list;
pub mod observations;
pub mod starts;
pub mod store;
pub mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use list::List;
use observations::Observations;
use store::Store;
use target::Target;

/// All that the stand-ins know, shared by their tasks and by whoever checks.
#[derive(Clone, Default)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
}

/// The state.
#[derive(Default)]
pub struct Inner {
    /// Targets by id, each as it last started.
    pub targets: BTreeMap<String, Target>,
    /// Addresses at which engines were listed at some time: whoever fetches from one that has gone finds
    /// nothing.
    pub engine_addresses: BTreeSet<SocketAddr>,
    /// What has reached them.
    pub observations: Observations,
    /// The store of kept KV cache.
    pub store: Store,
    /// The newest version of the model's weights that was named, which new engines have.
    pub named_weights: u64,
    /// Whether orders are neither answered nor carried out before this is over.
    pub holds_orders: bool,
    /// Targets that were given an order.
    pub ordered: BTreeSet<String>,
    /// The list of targets.
    pub list: List,
}

impl Platform {
    /// A platform without targets.
    pub fn new() -> Platform {
        let platform = Platform::default();
        platform.lock().named_weights = 1;
        platform
    }

    /// Looks at or changes the state.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        // A check that failed elsewhere must not hide what others find.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
