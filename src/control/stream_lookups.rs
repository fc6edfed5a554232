//! Where streams began, as an entry asks several replicas. Pure.

use std::collections::BTreeMap;

use super::frames::{LookupId, OriginAnswer, StreamLookup};
use crate::fleet::streams::StreamKey;
use crate::ids::ServiceId;

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
    /// Begins a lookup. It must be ended.
    pub fn begin(&mut self, stream: StreamKey, service: ServiceId) -> LookupId {
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

    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Whether replicas have told the origin, or all of them have answered. There may be none for a moment.
    pub fn is_complete(&self, id: LookupId, replicas: usize) -> bool {
        self.pending.get(&id).is_none_or(|lookup| {
            let is_told = |answer: &OriginAnswer| matches!(answer, OriginAnswer::Told(_));
            lookup.answers.iter().any(is_told) || lookup.answers.len() >= replicas.max(1)
        })
    }

    /// Ends a lookup. Returns what follows from the answers.
    pub fn end(&mut self, id: LookupId) -> OriginAnswer {
        conclude(self.pending.remove(&id).map(|lookup| lookup.answers).unwrap_or_default())
    }
}

/// What follows from the answers of several replicas. What one was told goes before what another presumes, and no
/// presumption holds that one of them doubts or disputes.
pub fn conclude(answers: Vec<OriginAnswer>) -> OriginAnswer {
    let rank = |answer: &OriginAnswer| match answer {
        OriginAnswer::Told(_) => 0,
        OriginAnswer::Uncertain => 1,
        OriginAnswer::Presumed(_) => 2,
        OriginAnswer::Sole(_) => 3,
        OriginAnswer::Unknown => 4,
    };
    let Some(best) = answers.iter().min_by_key(|answer| rank(answer)) else {
        return OriginAnswer::Unknown;
    };
    let is_disputed = answers.iter().any(|other| rank(other) == rank(best) && other != best);
    match best {
        OriginAnswer::Presumed(_) | OriginAnswer::Sole(_) if is_disputed => OriginAnswer::Uncertain,
        best => best.clone(),
    }
}
