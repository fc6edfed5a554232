//! What a replica knows of the software versions at which streams began.
//!
//! Entries tell two replicas of each stream that begins while versions are mixed, and these tell the
//! others, so that it is known after its entry and the leader were lost.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

use tokio::sync::watch;

use super::frames::{ReplicaFrame, StreamLookup};
use super::shared::Shared;
use crate::clock::BootTime;
use crate::fleet::Listed;
use crate::fleet::software::SoftwareVersions;
use crate::fleet::streams::{STREAM_TTL, StreamOrigin, StreamTable, StreamsOfOrigin};

/// The streams and software versions that a replica knows.
pub struct StreamDirectory {
    pub streams: watch::Sender<StreamTable>,
    software: RefCell<SoftwareVersions>,
    started_at: BootTime,
    /// Whether there was no stream before this process started, or a replica that knows all has told
    /// this one.
    was_told: Cell<bool>,
}

impl StreamDirectory {
    /// Creates the directory of a replica that has just started, at the first start of the deployment
    /// or later.
    pub fn new(is_first_start: bool, now: BootTime) -> StreamDirectory {
        StreamDirectory {
            streams: watch::Sender::default(),
            software: RefCell::default(),
            started_at: now,
            was_told: Cell::new(is_first_start),
        }
    }

    pub fn observe_roster<'a>(&self, listed: impl Iterator<Item = &'a Listed>, now: BootTime) {
        self.software.borrow_mut().replace(listed, now);
    }

    /// Records streams that an entry tells, for all replicas.
    pub fn told_by_entry(&self, told: &[StreamsOfOrigin], now: BootTime) {
        self.streams.send_modify(|known| known.record_all(told, now));
    }

    /// Records streams that another replica tells.
    pub fn told_by_replica(&self, told: &[StreamsOfOrigin], now: BootTime) {
        self.streams.send_if_modified(|known| {
            known.remember_all(told, now);
            false
        });
    }

    /// Records that another replica has told all streams.
    pub fn told_all(&self) {
        self.was_told.set(true);
    }

    /// Whether this replica has been told of every stream that any replica knows.
    pub fn is_complete(&self, now: BootTime) -> bool {
        self.was_told.get() || now.saturating_sub(self.started_at) >= STREAM_TTL
    }

    /// Where a stream began; `None` if that is not certain. `is_current` tells whether this replica has
    /// a recent roster.
    pub fn find(
        &self,
        lookup: &StreamLookup,
        is_current: bool,
        now: BootTime,
    ) -> Option<StreamOrigin> {
        if let Some(origin) = self.streams.borrow().get(lookup.stream, now) {
            return Some(origin.clone());
        }
        if !is_current || !self.is_complete(now) {
            return None;
        }
        let software = self.software.borrow().presumed(&lookup.service, now)?.clone();
        Some(StreamOrigin { service: lookup.service.clone(), software })
    }
}

/// Tells the other replicas of streams that entries tell, for as long as the process lives.
pub async fn keep_publishing(shared: Rc<Shared>, own_ip: IpAddr) {
    let mut changes = shared.stream_directory.streams.subscribe();
    let mut sent = 0;
    // `changed` fails only once `shared` is dropped.
    while changes.changed().await.is_ok() {
        let unsent = {
            let known = changes.borrow_and_update();
            let unsent = known.since(sent);
            sent = known.revision();
            unsent
        };
        if !unsent.is_empty() {
            let view = shared.view.borrow();
            shared.broadcast(&view.state, own_ip, &ReplicaFrame::Streams(unsent));
        }
    }
}
