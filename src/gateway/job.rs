//! What all attempts of one request have in common.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use super::call::Call;
use super::rank::Rank;
use crate::deployment::Route;
use crate::ids::{AccountId, ServiceId};

/// A request as all its attempts see it.
pub struct Job {
    /// What the caller says.
    pub call: Call,
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
    pub cache_wall: String,
    /// How urgent it is.
    pub rank: Rank,
    /// The service that serves it.
    pub service: ServiceId,
    /// When its head was here.
    pub arrived: Instant,
    /// When its time is over.
    pub ends_at: Instant,
    /// Breaks ties between targets.
    pub drawn: u64,
}
