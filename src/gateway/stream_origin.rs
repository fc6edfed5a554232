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
use crate::control::frames::{LookupId, OriginAnswer, StreamLookup};
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
    answers: Vec<OriginAnswer>,
}

impl StreamLookups {
    fn begin(&mut self, stream: StreamKey, service: ServiceId) -> LookupId {
        self.last += 1;
        self.pending.insert(self.last, PendingLookup { stream, service, answers: Vec::new() });
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
    pub fn answered(&mut self, id: LookupId, answer: OriginAnswer) {
        if let Some(lookup) = self.pending.get_mut(&id) {
            lookup.answers.push(answer);
        }
    }

    /// Whether replicas have told the origin, or all of them have answered.
    fn is_complete(&self, id: LookupId, replicas: usize) -> bool {
        self.pending.get(&id).is_none_or(|lookup| {
            let is_told = |answer: &OriginAnswer| matches!(answer, OriginAnswer::Told(_));
            lookup.answers.iter().any(is_told) || lookup.answers.len() >= replicas
        })
    }
}

/// What follows from the answers of several replicas. What one was told goes before what another presumes, and no
/// presumption holds that one of them doubts.
pub fn conclude(answers: Vec<OriginAnswer>) -> OriginAnswer {
    let rank = |answer: &OriginAnswer| match answer {
        OriginAnswer::Told(_) => 0,
        OriginAnswer::Uncertain => 1,
        OriginAnswer::Presumed(_) => 2,
        OriginAnswer::Unknown => 3,
    };
    let is_presumed = |answer: &&OriginAnswer| matches!(answer, OriginAnswer::Presumed(_));
    let mut presumed = answers.iter().filter(is_presumed);
    let is_disputed = presumed.next().is_some_and(|first| presumed.any(|other| other != first));
    match answers.into_iter().min_by_key(rank) {
        Some(OriginAnswer::Presumed(_)) if is_disputed => OriginAnswer::Uncertain,
        answer => answer.unwrap_or(OriginAnswer::Unknown),
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
    /// No replica knows, and the service is settled at one version.
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
        OriginAnswer::Told(origin) => return Some((origin, OriginSource::Replica)),
        OriginAnswer::Presumed(origin) => return Some((origin, OriginSource::Presumed)),
        OriginAnswer::Uncertain => return None,
        OriginAnswer::Unknown => {}
    }
    let fleet = gateway.fleet.borrow();
    let settled = fleet.software().settled(&routed.service, boot_now());
    let software = settled.filter(|_| gateway.is_current())?.clone();
    let service = routed.service.clone();
    Some((StreamOrigin { service, software }, OriginSource::SoleVersion))
}

async fn ask_replicas(
    gateway: &Rc<Gateway>,
    stream: StreamKey,
    service: &ServiceId,
) -> OriginAnswer {
    let lookups = &gateway.stream_lookups;
    if lookups.receiver_count() == 0 {
        return OriginAnswer::Unknown;
    }
    let mut id = LookupId::default();
    lookups.send_modify(|lookups| id = lookups.begin(stream, service.clone()));
    // The number of subscriptions may change meanwhile.
    let is_complete = || lookups.borrow().is_complete(id, lookups.receiver_count());
    gateway.wait_until(LOOKUP_TIMEOUT, is_complete).await;
    let mut answers = Vec::new();
    lookups.send_if_modified(|lookups| {
        answers = lookups.pending.remove(&id).map(|lookup| lookup.answers).unwrap_or_default();
        false
    });
    conclude(answers)
}

impl Gateway {
    /// Whether replicas keep this entry up to date, and can be told of streams.
    fn is_current(&self) -> bool {
        self.state_age().is_some_and(|age| age < MAX_STATE_AGE)
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
