//! Carries out what a replica's state machine asks for: sends, makes durable, hands out.

use std::time::Duration;

use super::disk::Disk;
use super::raft::{Effects, Raft, ReadId};
use super::types::{Entry, Index, Message, Persist, Snapshot};
use crate::clock::boot_now;
use crate::ids::NodeId;

/// A save that took this long is logged: about a heartbeat of the log.
const SLOW_SAVE: Duration = Duration::from_millis(100);

/// A replica's state machine with its disk.
pub struct Driver {
    /// The state machine. Call `settle` after feeding it.
    pub raft: Raft,
    /// `None` only while a save is under way, or after the disk has failed.
    disk: Option<Disk>,
    /// Entries after which a snapshot replaces them.
    snapshot_every: Index,
}

/// What is to be done with the state that the log carries, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Replace it by this.
    Restore(Snapshot),
    /// Apply this.
    Apply(Entry),
    /// Answer this read from it.
    Read(ReadId),
}

impl Driver {
    /// A replica as it starts.
    pub fn new(raft: Raft, disk: Disk, snapshot_every: Index) -> Driver {
        Driver { raft, disk: Some(disk), snapshot_every }
    }

    /// Makes all that is due happen. Messages leave through `send`; those that promise something
    /// leave only once it is durable.
    pub async fn settle(&mut self, send: impl Fn(NodeId, Message)) -> Vec<Output> {
        let mut outputs = Vec::new();
        loop {
            let effects = self.raft.take_effects(boot_now());
            if effects.is_empty() {
                return outputs;
            }
            let Effects { early, persist, late, restore, committed, reads } = effects;
            early.into_iter().for_each(|(to, message)| send(to, message));
            if !persist.is_empty() && !self.save(persist).await {
                return outputs;
            }
            late.into_iter().for_each(|(to, message)| send(to, message));
            outputs.extend(restore.map(Output::Restore));
            outputs.extend(committed.into_iter().map(Output::Apply));
            outputs.extend(reads.into_iter().map(|(read, _)| Output::Read(read)));
        }
    }

    /// Replaces applied entries by the state at their end, once there are many.
    pub fn compact(&mut self, state: impl FnOnce() -> Vec<u8>) {
        if self.raft.applied() >= self.raft.snapshot_index() + self.snapshot_every {
            self.raft.compact(self.raft.applied(), state());
        }
    }

    /// Returns false if the disk has failed: this replica takes no part any more then.
    async fn save(&mut self, persist: Persist) -> bool {
        let Some(mut disk) = self.disk.take() else { return false };
        let begun = boot_now();
        let kept = if persist.snapshot.is_some() { self.raft.kept_entries() } else { Vec::new() };
        let last = self.raft.last_index();
        let saved = tokio::task::spawn_blocking(move || {
            let result = disk.save(&persist, &kept);
            (disk, result)
        });
        let failure = match saved.await {
            Ok((disk, Ok(()))) => {
                self.disk = Some(disk);
                let took = boot_now().saturating_sub(begun);
                if took >= SLOW_SAVE {
                    log::warn!("event=disk_slow took_ms={}", took.as_millis());
                }
                self.raft.persisted(last);
                self.note_recovery();
                return true;
            }
            Ok((_, Err(error))) => error.to_string(),
            Err(error) => error.to_string(),
        };
        log::error!(
            "event=disk_failed reason={failure:?} effect=\"votes and acknowledges no more\" \
             remedy=\"mend or replace the disk, then restart\""
        );
        self.raft.disk_failed();
        false
    }

    fn note_recovery(&mut self) {
        let recovering = self.raft.status().recovering;
        if let Some(disk) = self.disk.as_mut().filter(|disk| disk.has_lost() && !recovering) {
            match disk.caught_up() {
                Ok(()) => log::info!("event=replica_caught_up"),
                Err(error) => log::warn!("event=mark_failed reason={:?}", error.to_string()),
            }
        }
    }
}
