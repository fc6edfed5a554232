//! The software version at which a stream began that a caller takes up: as this entry remembers it,
//! or as replicas do.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use super::request_record::RequestRecord;
use super::response::Refusal;
use super::routed_request::RoutedRequest;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::frames::{LookupId, OriginAnswer};
use crate::control::stream_lookups::StreamLookups;
use crate::deployment::RunPolicy;
use crate::fleet::streams::{StreamKey, StreamOrigin, stream_key};
use crate::ids::{ServiceId, SoftwareVersion};

/// How long replicas are asked for the origin of a stream. Usual answers take a millisecond or two.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// An entry whose last heartbeat is older than this may lack a software version that others know, and
/// may be unable to tell of streams. Covers an election of the replicas' leader.
const MAX_STATE_AGE: Duration = Duration::from_secs(1);

impl RoutedRequest {
    fn is_resumable_stream(&self) -> bool {
        self.route.policy == RunPolicy::StreamResumable
    }

    /// The key of the stream that the request begins or goes on with.
    fn stream_key(&self) -> StreamKey {
        let metadata = &self.metadata;
        let resumed = metadata.resume_after.as_ref().and(metadata.resumes.as_ref());
        stream_key(self.account.as_ref(), resumed.unwrap_or(&metadata.id))
    }
}

/// Binds a request that takes up a stream to the service and the software version that began it.
///
/// # Errors
/// If the version is unknown and must not be guessed, or no target of it is left.
pub async fn resolve(
    gateway: &Rc<Gateway>,
    routed: &mut RoutedRequest,
    record: &RequestRecord,
) -> Result<(), Refusal> {
    if !routed.is_resumable_stream() || routed.metadata.resume_after.is_none() {
        return Ok(());
    }
    let Some((origin, source)) = find_origin(gateway, routed).await else {
        record.origin_unknown();
        return Err(Refusal::UnknownStream);
    };
    record.origin_found(&origin, source);
    let may_serve = routed.service == origin.service
        || routed.route.split.iter().any(|part| part.service == origin.service && part.weight > 0);
    if !may_serve {
        return Err(Refusal::UnknownStream);
    }
    if is_gone(gateway, &origin) {
        return Err(Refusal::SoftwareGone);
    }
    (routed.service, routed.software) = (origin.service, Some(origin.software));
    Ok(())
}

/// Whether no target of the origin's version is left. Those of evacuated failure domains may come back.
fn is_gone(gateway: &Gateway, origin: &StreamOrigin) -> bool {
    let fleet = gateway.fleet.borrow();
    let mut live = fleet.live(&origin.service);
    gateway.has_roster()
        && fleet.evacuated().count() == 0
        && live.all(|state| state.listed.software != origin.software)
}

/// Who knows the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This entry remembers it.
    Entry,
    /// A replica was told.
    Replica,
    /// Replicas were not told, and would have been if it had begun elsewhere.
    Presumed,
    /// Replicas lack knowledge of earlier streams, but list one version, at which this entry knows the service to be
    /// settled. Without their answer, this entry could be unaware of another version.
    SoleVersion,
}

impl OriginSource {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            OriginSource::Entry => "entry",
            OriginSource::Replica => "replica",
            OriginSource::Presumed => "presumed",
            OriginSource::SoleVersion => "sole_version",
        }
    }
}

async fn find_origin(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
) -> Option<(StreamOrigin, OriginSource)> {
    let stream = routed.stream_key();
    let remembered = gateway.streams.borrow().get(stream, boot_now()).cloned();
    if let Some(origin) = remembered {
        return Some((origin, OriginSource::Entry));
    }
    match ask_replicas(gateway, stream, &routed.service).await {
        OriginAnswer::Told(origin) => Some((origin, OriginSource::Replica)),
        OriginAnswer::Presumed(origin) => Some((origin, OriginSource::Presumed)),
        OriginAnswer::Sole(origin) if gateway.is_settled(&origin) => {
            Some((origin, OriginSource::SoleVersion))
        }
        OriginAnswer::Sole(_) | OriginAnswer::Uncertain | OriginAnswer::Unknown => None,
    }
}

/// A lookup, which ends also if its request is cancelled.
struct Lookup<'g> {
    lookups: &'g watch::Sender<StreamLookups>,
    id: LookupId,
}

impl<'g> Lookup<'g> {
    fn begin(gateway: &'g Gateway, stream: StreamKey, service: &ServiceId) -> Lookup<'g> {
        let lookups = &gateway.stream_lookups;
        let mut id = LookupId::default();
        lookups.send_modify(|lookups| id = lookups.begin(stream, service.clone()));
        Lookup { lookups, id }
    }

    /// Whether nothing more is to be waited for. The number of subscriptions may change.
    fn is_complete(&self) -> bool {
        self.lookups.borrow().is_complete(self.id, self.lookups.receiver_count())
    }

    fn end(&self) -> OriginAnswer {
        let mut answer = OriginAnswer::Unknown;
        self.lookups.send_if_modified(|lookups| {
            answer = lookups.end(self.id);
            false
        });
        answer
    }
}

impl Drop for Lookup<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

async fn ask_replicas(gateway: &Gateway, stream: StreamKey, service: &ServiceId) -> OriginAnswer {
    let lookup = Lookup::begin(gateway, stream, service);
    gateway.wait_until(LOOKUP_TIMEOUT, || lookup.is_complete()).await;
    lookup.end()
}

impl Gateway {
    /// Whether replicas keep this entry up to date, and can be told of streams.
    fn is_current(&self) -> bool {
        self.state_age().is_some_and(|age| age < MAX_STATE_AGE)
    }

    /// Whether the service of a stream is settled at its version.
    fn is_settled(&self, origin: &StreamOrigin) -> bool {
        let fleet = self.fleet.borrow();
        fleet.software().settled(&origin.service, boot_now()) == Some(&origin.software)
    }

    /// Records where a stream began whose first event has arrived, or that it has gone on there. Returns whether
    /// replicas are told.
    pub fn record_stream(&self, routed: &RoutedRequest, software: &SoftwareVersion) -> bool {
        if !routed.is_resumable_stream() {
            return false;
        }
        let (service, software) = (routed.service.clone(), software.clone());
        let now = boot_now();
        let is_settled = self.fleet.borrow().software().settled(&service, now).is_some();
        let is_told = !self.has_roster() || !is_settled;
        self.streams.send_if_modified(|known| {
            known.record(routed.stream_key(), StreamOrigin { service, software }, now);
            is_told
        })
    }

    /// The software version at which a request may run: that of its stream. A stream of which nobody can
    /// be told begins at the version that others presume, unless no target of that version takes work.
    pub fn required_software(&self, routed: &RoutedRequest) -> Option<SoftwareVersion> {
        if routed.software.is_some() || !routed.is_resumable_stream() || self.is_current() {
            return routed.software.clone();
        }
        let fleet = self.fleet.borrow();
        let presumed = fleet.software().presumed(&routed.service, boot_now())?;
        let is_served = fleet.live(&routed.service).any(|state| state.listed.software == *presumed);
        is_served.then(|| presumed.clone())
    }
}
