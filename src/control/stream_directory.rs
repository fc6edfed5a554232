//! What a replica knows of the software versions at which streams began.
//!
//! Entries tell two replicas of each stream that begins while its service is not settled at one version, and these
//! tell the others, so that it is known after its entry and the leader were lost.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

use tokio::sync::watch;

use super::frames::{OriginAnswer, ReplicaFrame, StreamLookup};
use super::shared::Shared;
use crate::clock::BootTime;
use crate::fleet::Listed;
use crate::fleet::software::{SettledVersions, SoftwareVersions, ToldSoftware};
use crate::fleet::streams::{STREAM_TTL, StreamOrigin, StreamTable, StreamsOfOrigin};
use crate::ids::SoftwareVersion;

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
        let software = match is_first_start {
            true => SoftwareVersions::at_first_start(),
            false => SoftwareVersions::default(),
        };
        StreamDirectory {
            streams: watch::Sender::default(),
            software: RefCell::new(software),
            started_at: now,
            was_told: Cell::new(is_first_start),
        }
    }

    /// Creates the directory of a replica that has started again, with the settled versions that it has kept.
    pub fn restored(settled: SettledVersions, now: BootTime) -> StreamDirectory {
        let software = RefCell::new(SoftwareVersions::restored(settled, now));
        StreamDirectory { software, ..StreamDirectory::new(false, now) }
    }

    pub fn observe_roster<'a>(&self, listed: impl Iterator<Item = &'a Listed>, now: BootTime) {
        self.software.borrow_mut().replace(listed, now);
    }

    /// The versions at which services are settled.
    pub fn settled(&self, now: BootTime) -> SettledVersions {
        self.software.borrow().all_settled(now)
    }

    /// What this replica knows, for another one that asks.
    pub fn tell_all(&self, now: BootTime) -> ReplicaFrame {
        ReplicaFrame::AllStreams {
            streams: self.streams.borrow().all(),
            software: self.told_software(now),
            is_complete: self.is_complete(now),
        }
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

    /// What this replica knows of software versions, for another one.
    pub fn told_software(&self, now: BootTime) -> Vec<ToldSoftware> {
        self.software.borrow().told(now)
    }

    /// Records the software versions that another replica knows. One that is complete knows more than what was kept
    /// over a restart, and one that is not may have been down for long.
    pub fn observe_software(&self, told: &[ToldSoftware], is_complete: bool, now: BootTime) {
        let mut software = self.software.borrow_mut();
        match (is_complete, self.is_complete(now)) {
            (true, false) => software.replace_history(told, now),
            (true, true) | (false, false) => software.merge(told, now),
            (false, true) => {}
        }
    }

    /// Records that another replica has told all streams.
    pub fn told_all(&self) {
        self.was_told.set(true);
    }

    /// Whether this replica has been told of every stream that any replica knows.
    pub fn is_complete(&self, now: BootTime) -> bool {
        self.was_told.get() || now.saturating_sub(self.started_at) >= STREAM_TTL
    }

    /// Where a stream began. `is_current` tells whether this replica has a recent roster.
    pub fn find(&self, lookup: &StreamLookup, is_current: bool, now: BootTime) -> OriginAnswer {
        let streams = self.streams.borrow();
        if let Some(origin) = streams.get(lookup.stream, now) {
            return OriginAnswer::Told(origin.clone());
        }
        let (software, service) = (self.software.borrow(), &lookup.service);
        // Streams that were told and are not known here began while the service was not settled.
        let lacks_streams = match self.is_complete(now) {
            true => streams.has_dropped(now) && software.settled(service, now).is_none(),
            false => software.settled_until(service, self.started_at).is_none(),
        };
        let origin = |software: &SoftwareVersion| StreamOrigin {
            service: service.clone(),
            software: software.clone(),
        };
        if !is_current {
            return OriginAnswer::Unknown;
        }
        if !lacks_streams && let Some(presumed) = software.presumed(service, now) {
            return OriginAnswer::Presumed(origin(presumed));
        }
        if !lacks_streams && software.is_mixed(service, now) {
            return OriginAnswer::Uncertain;
        }
        let sole = software.sole_listed(service);
        sole.map_or(OriginAnswer::Unknown, |sole| OriginAnswer::Sole(origin(sole)))
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
