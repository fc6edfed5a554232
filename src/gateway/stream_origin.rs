//! The software version at which a stream began that a caller takes up: as this entry remembers it,
//! or as replicas do.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use super::request_record::RequestRecord;
use super::response::Refusal;
use super::routed_request::RoutedRequest;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::frames::{LookupId, StreamLookup};
use crate::deployment::RunPolicy;
use crate::fleet::streams::{StreamKey, StreamOrigin, stream_key};
use crate::ids::{ServiceId, SoftwareVersion};

/// How long replicas are asked for the origin of a stream. Usual answers take a millisecond or two.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// An entry whose last heartbeat is older than this may lack a software version that others know, and
/// may be unable to tell of streams. Covers an election of the replicas' leader.
const MAX_STATE_AGE: Duration = Duration::from_secs(1);

/// Lookups of origins that replicas have not all answered.
#[derive(Debug, Default)]
pub struct StreamLookups {
    pending: BTreeMap<LookupId, PendingLookup>,
    last: LookupId,
}

#[derive(Debug)]
struct PendingLookup {
    stream: StreamKey,
    service: ServiceId,
    /// Number of replicas that don't know the origin.
    unknown_to: usize,
    origin: Option<StreamOrigin>,
}

impl StreamLookups {
    fn begin(&mut self, stream: StreamKey, service: ServiceId) -> LookupId {
        self.last += 1;
        let lookup = PendingLookup { stream, service, unknown_to: 0, origin: None };
        self.pending.insert(self.last, lookup);
        self.last
    }

    /// The pending lookups after one of them.
    pub fn after(&self, id: LookupId) -> impl Iterator<Item = StreamLookup> {
        self.pending.range(id + 1..).map(|(id, lookup)| StreamLookup {
            id: *id,
            stream: lookup.stream,
            service: lookup.service.clone(),
        })
    }

    /// Records the answer of a replica.
    pub fn answered(&mut self, id: LookupId, origin: Option<StreamOrigin>) {
        let Some(lookup) = self.pending.get_mut(&id) else { return };
        match origin {
            Some(origin) => lookup.origin = Some(origin),
            None => lookup.unknown_to += 1,
        }
    }

    fn is_complete(&self, id: LookupId, replicas: usize) -> bool {
        let lookup = self.pending.get(&id);
        lookup.is_none_or(|lookup| lookup.origin.is_some() || lookup.unknown_to >= replicas)
    }
}

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
/// If the version is unknown and must not be guessed.
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
    (routed.service, routed.software) = (origin.service, Some(origin.software));
    Ok(())
}

/// Who knows the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This entry remembers it.
    Entry,
    /// A replica remembers it, or concludes it from what it has not been told.
    Replica,
    /// No replica answered, and all targets of the service have one version.
    SoleVersion,
}

impl OriginSource {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            OriginSource::Entry => "entry",
            OriginSource::Replica => "replica",
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
    if let Some(origin) = ask_replicas(gateway, stream, &routed.service).await {
        return Some((origin, OriginSource::Replica));
    }
    let fleet = gateway.fleet.borrow();
    let versions = fleet.software();
    let is_certain = gateway.is_current() && !versions.is_mixed(&routed.service);
    let software = versions.presumed(&routed.service, boot_now()).filter(|_| is_certain)?.clone();
    let service = routed.service.clone();
    Some((StreamOrigin { service, software }, OriginSource::SoleVersion))
}

async fn ask_replicas(
    gateway: &Rc<Gateway>,
    stream: StreamKey,
    service: &ServiceId,
) -> Option<StreamOrigin> {
    let lookups = &gateway.stream_lookups;
    if lookups.receiver_count() == 0 {
        return None;
    }
    let mut id = LookupId::default();
    lookups.send_modify(|lookups| id = lookups.begin(stream, service.clone()));
    // The number of subscriptions may change meanwhile.
    let is_complete = || lookups.borrow().is_complete(id, lookups.receiver_count());
    gateway.wait_until(LOOKUP_TIMEOUT, is_complete).await;
    let mut found = None;
    lookups.send_if_modified(|lookups| {
        found = lookups.pending.remove(&id).and_then(|lookup| lookup.origin);
        false
    });
    found
}

impl Gateway {
    /// Whether replicas keep this entry up to date, and can be told of streams.
    fn is_current(&self) -> bool {
        self.state_age().is_some_and(|age| age < MAX_STATE_AGE)
    }

    /// Records where a stream began whose first event has arrived, or that it has gone on there.
    pub fn record_stream(&self, routed: &RoutedRequest, software: &SoftwareVersion) {
        if !routed.is_resumable_stream() {
            return;
        }
        let (service, software) = (routed.service.clone(), software.clone());
        // Others need not be told while there is only one version.
        let is_told = !self.has_roster() || self.fleet.borrow().software().is_mixed(&service);
        self.streams.send_if_modified(|known| {
            let origin = StreamOrigin { service, software };
            known.record(routed.stream_key(), origin, boot_now());
            is_told
        });
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
