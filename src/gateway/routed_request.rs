//! A request after routing.

use std::cell::OnceCell;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::time::Instant;

use super::metadata::{Part, Prompt, RequestMetadata};
use super::priority::Priority;
use crate::deployment::Route;
use crate::fleet::regions::AllowedDomains;
use crate::ids::{AccountId, ServiceId, SoftwareVersion};
use crate::quarantine::Fingerprint;

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Caller,
    /// Another entry, which decides on further attempts.
    Entry,
}

/// A routed request, shared by all its attempts.
pub struct RoutedRequest {
    /// Metadata from the caller's headers.
    pub metadata: RequestMetadata,
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
    /// Cached result of `fingerprints()`.
    pub fingerprints: OnceCell<Vec<Fingerprint>>,
    pub origin: Origin,
}

/// Parts of a prompt, from its beginning, that are considered as the cause of target terminations. Bounds
/// what one request adds to the quarantine.
const MAX_SUSPECT_PARTS: usize = 16;

impl RoutedRequest {
    /// Whether a response with this status is relayed event by event.
    pub fn has_event_stream(&self, status: StatusCode) -> bool {
        self.route.policy.is_stream() && status == StatusCode::OK
    }

    /// Identifies the request across retries by its caller. Must not be called before the body is
    /// complete.
    pub fn fingerprint(&self) -> Fingerprint {
        self.fingerprints()[0]
    }

    /// All that may make a target terminate: the request itself, and after it the parts of its prompt that
    /// other prompts may share. Must not be called before the body is complete.
    pub fn fingerprints(&self) -> &[Fingerprint] {
        self.fingerprints.get_or_init(|| {
            let path = self.uri.path_and_query().map_or("", |path| path.as_str());
            let account = self.account.as_deref();
            let method = self.method.as_str();
            let whole = Fingerprint::of(account, method, &self.metadata.host, path, &self.body);
            let model = self.metadata.prompt.as_ref().map_or("", |prompt| &prompt.model);
            let parts =
                self.suspect_parts().iter().map(|part| Fingerprint::of_part(model, &part.id));
            std::iter::once(whole).chain(parts).collect()
        })
    }

    /// The part of the prompt that has this fingerprint.
    pub fn part_with(&self, fingerprint: Fingerprint) -> Option<&Part> {
        let position = self.fingerprints().iter().skip(1).position(|part| *part == fingerprint)?;
        self.suspect_parts().get(position)
    }

    fn suspect_parts(&self) -> &[Part] {
        let parts = self.metadata.prompt.as_ref().map_or(&[][..], Prompt::non_final_parts);
        &parts[..parts.len().min(MAX_SUSPECT_PARTS)]
    }
}
