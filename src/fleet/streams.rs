//! Where resumable streams began, which processes remember and tell each other: a stream goes on only
//! at the software version that began it, whichever entry its caller turns to.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::{AccountId, ServiceId, SoftwareVersion};

/// A stream is remembered for this long after its first event: the longest timeouts of a stream and of
/// the attempt that takes it up.
pub const STREAM_TTL: Duration = Duration::from_secs(30);
/// Number of streams that are remembered, which take about 8 MB.
const MAX_STREAMS: usize = 100_000;

/// Identifies a stream by its account and the caller's attempt that brought its first event.
pub type StreamKey = u64;
/// Increases with each stream that is recorded.
pub type StreamRevision = u64;

/// The key of the stream whose first event came with this attempt.
pub fn stream_key(account: Option<&AccountId>, request_id: &str) -> StreamKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(account.map_or("", String::as_str).as_bytes());
    hasher.update(&[0]);
    hasher.update(request_id.as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *hasher.finalize().as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamOrigin {
    pub service: ServiceId,
    pub software: SoftwareVersion,
}

/// Streams with the same origin, for another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsOfOrigin {
    pub origin: StreamOrigin,
    pub streams: Vec<StreamKey>,
}

/// The streams that a process remembers.
#[derive(Clone, Debug, Default)]
pub struct StreamTable {
    by_key: FxHashMap<StreamKey, Remembered>,
    /// The origins of these streams, each stored once.
    origins: BTreeSet<Arc<StreamOrigin>>,
    /// In the order in which they were remembered. Streams that were remembered again since are
    /// contained more than once.
    oldest_first: VecDeque<(BootTime, StreamKey)>,
    /// Recorded streams, with increasing revisions.
    recorded: VecDeque<(StreamRevision, StreamKey)>,
    revision: StreamRevision,
    /// When the last of the streams was remembered that were forgotten for want of room.
    dropped: Option<BootTime>,
}

#[derive(Clone, Debug)]
struct Remembered {
    origin: Arc<StreamOrigin>,
    at: BootTime,
}

impl StreamTable {
    /// Records a stream, of which other processes are to be told.
    pub fn record(&mut self, stream: StreamKey, origin: StreamOrigin, now: BootTime) {
        self.remember(stream, origin, now);
        self.revision += 1;
        self.recorded.push_back((self.revision, stream));
    }

    /// Records streams of which another process has told this one, to pass them on.
    pub fn record_all(&mut self, told: &[StreamsOfOrigin], now: BootTime) {
        for StreamsOfOrigin { origin, streams } in told {
            streams.iter().for_each(|stream| self.record(*stream, origin.clone(), now));
        }
    }

    /// Remembers streams that need not be passed on.
    pub fn remember_all(&mut self, told: &[StreamsOfOrigin], now: BootTime) {
        for StreamsOfOrigin { origin, streams } in told {
            streams.iter().for_each(|stream| self.remember(*stream, origin.clone(), now));
        }
    }

    fn remember(&mut self, stream: StreamKey, origin: StreamOrigin, now: BootTime) {
        self.expire(now);
        let origin = match self.origins.get(&origin) {
            Some(known) => known.clone(),
            None => {
                let origin = Arc::new(origin);
                self.origins.insert(origin.clone());
                origin
            }
        };
        self.by_key.insert(stream, Remembered { origin, at: now });
        self.oldest_first.push_back((now, stream));
    }

    fn expire(&mut self, now: BootTime) {
        while let Some((at, stream)) = self.oldest_first.front().copied() {
            let is_expired = now.saturating_sub(at) >= STREAM_TTL;
            if !is_expired && self.oldest_first.len() < MAX_STREAMS {
                break;
            }
            self.oldest_first.pop_front();
            if !is_expired {
                self.dropped = Some(at);
            }
            if self.by_key.get(&stream).is_some_and(|remembered| remembered.at == at) {
                self.by_key.remove(&stream);
            }
        }
        while let Some((_, stream)) = self.recorded.front()
            && !self.by_key.contains_key(stream)
        {
            self.recorded.pop_front();
        }
        if self.by_key.is_empty() {
            self.origins.clear();
        }
    }

    /// Where a stream began.
    pub fn get(&self, stream: StreamKey, now: BootTime) -> Option<&StreamOrigin> {
        let remembered = self.by_key.get(&stream)?;
        let is_expired = now.saturating_sub(remembered.at) >= STREAM_TTL;
        (!is_expired).then_some(remembered.origin.as_ref())
    }

    /// Whether streams that may be alive were forgotten for want of room.
    pub fn has_dropped(&self, now: BootTime) -> bool {
        self.dropped.is_some_and(|at| now.saturating_sub(at) < STREAM_TTL)
    }

    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    pub fn revision(&self) -> StreamRevision {
        self.revision
    }

    /// The streams that were recorded after a revision.
    pub fn since(&self, revision: StreamRevision) -> Vec<StreamsOfOrigin> {
        let unsent = self.recorded.iter().rev().take_while(|(recorded, _)| *recorded > revision);
        self.by_origin(unsent.map(|(_, stream)| *stream))
    }

    pub fn all(&self) -> Vec<StreamsOfOrigin> {
        self.by_origin(self.by_key.keys().copied())
    }

    fn by_origin(&self, streams: impl Iterator<Item = StreamKey>) -> Vec<StreamsOfOrigin> {
        let mut told: Vec<StreamsOfOrigin> = Vec::new();
        for stream in streams {
            let Some(remembered) = self.by_key.get(&stream) else { continue };
            let origin = remembered.origin.as_ref();
            match told.iter_mut().find(|told| told.origin == *origin) {
                Some(told) => told.streams.push(stream),
                None => {
                    told.push(StreamsOfOrigin { origin: origin.clone(), streams: vec![stream] })
                }
            }
        }
        told
    }
}
