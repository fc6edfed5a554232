//! Stand-ins of the users' platform on loopback: its list of targets, model engines, plain services
//! and a store of kept KV cache. They keep account of what reaches them, and of what must never
//! happen.

pub mod account;
pub mod http;
pub mod store;
pub mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use account::Account;
use serde_json::{Value, json};
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
    /// Targets by id. An id names one start.
    pub targets: BTreeMap<String, Target>,
    /// What has reached them.
    pub account: Account,
    /// The store of kept KV cache.
    pub store: Store,
    /// The newest version of the model's weights that was named, which new engines have.
    pub named_weights: u64,
    /// Whether orders are neither answered nor carried out before this is over.
    pub holds_orders: bool,
    /// Targets that were given an order.
    pub ordered: BTreeSet<String>,
    /// The list as it was some time ago, newest last: what is shown lags.
    lists: Vec<(Instant, Vec<Value>)>,
}

/// How late the list shows a change.
pub const LIST_LAG: Duration = Duration::from_millis(200);

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

    /// Serves the list of targets until the runtime ends. Returns its address.
    pub async fn serve_list(&self, at: SocketAddr) -> SocketAddr {
        let platform = self.clone();
        http::serve(at, move |request| {
            let platform = platform.clone();
            async move {
                match request.uri().path() {
                    "/instances" => http::json(&platform.lock().shown_list()),
                    _ => http::status(404),
                }
            }
        })
        .await
    }
}

impl Inner {
    /// Records the list as it is now, to be shown later.
    pub fn list_changed(&mut self) {
        let list = self.targets.values().filter_map(Target::listed).collect();
        self.lists.push((Instant::now(), list));
    }

    fn shown_list(&mut self) -> Value {
        let shown = self.lists.iter().rposition(|(at, _)| at.elapsed() >= LIST_LAG);
        if let Some(shown) = shown {
            self.lists.drain(..shown);
        }
        let list = shown.and(self.lists.first()).map(|(_, list)| list.clone()).unwrap_or_default();
        json!({"Instances": list, "NextToken": null})
    }
}
