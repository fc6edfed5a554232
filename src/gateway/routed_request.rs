//! What all attempts of one request have in common.

use std::cell::OnceCell;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use super::metadata::RequestMetadata;
use super::priority::Priority;
use crate::deployment::Route;
use crate::ids::{AccountId, ServiceId};
use crate::quarantine::Fingerprint;

/// A request as all its attempts see it.
pub struct RoutedRequest {
    /// What the caller says.
    pub metadata: RequestMetadata,
    /// The method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Route,
    /// Its account.
    pub account: Option<AccountId>,
    /// Names those who may share kept cache with it.
    pub cache_scope: String,
    /// How urgent it is.
    pub priority: Priority,
    /// The service that serves it.
    pub service: ServiceId,
    /// When its head was here.
    pub arrived: Instant,
    /// When its time is over.
    pub deadline: Instant,
    /// Breaks ties between targets.
    pub tie_breaker: u64,
    /// What it asks, once somebody wants to know.
    pub fingerprint: OnceCell<Fingerprint>,
}

impl RoutedRequest {
    /// Names what it asks, whichever of the caller's attempts it is. Only once the body is here.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            let account = self.account.as_deref();
            Fingerprint::of(account, self.method.as_str(), &self.metadata.host, path, &self.body)
        })
    }
}
