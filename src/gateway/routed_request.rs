//! A request after routing.

use std::cell::OnceCell;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use super::metadata::RequestMetadata;
use super::priority::Priority;
use crate::deployment::Route;
use crate::fleet::regions::AllowedDomains;
use crate::ids::{AccountId, ServiceId, SoftwareVersion};
use crate::quarantine::Fingerprint;

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another entry, which decides on further attempts.
    Entry,
}

/// A routed request, shared by all its attempts.
pub struct RoutedRequest {
    /// Metadata from the caller's headers.
    pub metadata: RequestMetadata,
    /// The HTTP method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The route that matches the request.
    pub route: Route,
    /// The account of the caller's key, if any.
    pub account: Option<AccountId>,
    /// The failure domains that it may reach.
    pub allowed_domains: AllowedDomains,
    /// Requests with equal namespaces may share cached prompt parts.
    pub cache_namespace: String,
    /// Its priority among other requests.
    pub priority: Priority,
    /// The service whose targets can run it.
    pub service: ServiceId,
    /// The software version that began the stream, which only targets of that version may go on with.
    /// `None` for other requests, and until a target has sent the first event.
    pub software: Option<SoftwareVersion>,
    /// When the head of the request arrived.
    pub arrived: Instant,
    /// When the caller or the route gives up on it.
    pub deadline: Instant,
    /// Random number that decides between equally good targets.
    pub tie_breaker: u64,
    /// Cached result of `fingerprint()`.
    pub fingerprint: OnceCell<Fingerprint>,
    pub origin: Origin,
}

impl RoutedRequest {
    /// Identifies the request across retries by its caller. Must not be called before the body is
    /// complete.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            let account = self.account.as_deref();
            Fingerprint::of(account, self.method.as_str(), &self.metadata.host, path, &self.body)
        })
    }
}
