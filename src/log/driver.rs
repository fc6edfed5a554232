//! Carries out what a replica's state machine asks for: sends, makes durable, hands out.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot::error::TryRecvError;
use tokio::sync::{Notify, oneshot};

use super::disk::Disk;
use super::raft::{Effects, Raft, ReadId};
use super::types::{Entry, Index, Message, Persist, Snapshot};
use crate::clock::{BootTime, boot_now};
use crate::ids::NodeId;

/// A save that took this long is logged: about a heartbeat of the log.
const SLOW_SAVE_THRESHOLD: Duration = Duration::from_millis(100);

/// A replica's state machine with its disk.
pub struct Driver {
    /// The state machine. Call `settle` after feeding it.
    pub raft: Raft,
    /// `None` only while a save is under way, or after the disk has failed.
    disk: Option<Disk>,
    save: Option<Save>,
    save_ended: Arc<Notify>,
    /// Entries after which a snapshot replaces them.
    snapshot_interval: Index,
}

/// A save that is under way, on a thread of its own.
struct Save {
    started_at: BootTime,
    /// Messages that promise what it makes durable.
    messages_after_persist: Vec<(NodeId, Message)>,
    completion: oneshot::Receiver<(Disk, io::Result<()>)>,
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
    pub fn new(raft: Raft, disk: Disk, snapshot_interval: Index) -> Driver {
        let save_ended = Arc::default();
        Driver { raft, disk: Some(disk), save: None, save_ended, snapshot_interval }
    }

    /// Rings when a save has ended: call `settle` then.
    pub fn save_ended(&self) -> Arc<Notify> {
        self.save_ended.clone()
    }

    /// Makes all that is due happen, without waiting for the disk: a leader that falls silent while it writes is
    /// replaced, and a follower that does is of no use to entries. Messages leave through `send`; those that promise
    /// something leave only once it is durable.
    pub fn process_effects(&mut self, send: impl Fn(NodeId, Message)) -> Vec<Output> {
        self.poll_save().into_iter().for_each(|(to, message)| send(to, message));
        let mut outputs = Vec::new();
        loop {
            let effects = self.raft.take_effects(boot_now());
            if effects.is_empty() {
                return outputs;
            }
            let Effects {
                immediate_messages,
                persist,
                messages_after_persist,
                restore,
                committed,
                reads,
            } = effects;
            immediate_messages.into_iter().for_each(|(to, message)| send(to, message));
            if persist.is_empty() {
                messages_after_persist.into_iter().for_each(|(to, message)| send(to, message));
            } else {
                self.begin_save(persist, messages_after_persist);
            }
            outputs.extend(restore.map(Output::Restore));
            outputs.extend(committed.into_iter().map(Output::Apply));
            outputs.extend(reads.into_iter().map(|(read, _)| Output::Read(read)));
        }
    }

    /// Replaces applied entries by the state at their end, once there are many.
    pub fn compact(&mut self, state: impl FnOnce() -> Vec<u8>) {
        if self.raft.applied() >= self.raft.snapshot_index() + self.snapshot_interval {
            self.raft.compact(self.raft.applied(), state());
        }
    }

    fn begin_save(&mut self, persist: Persist, messages_after_persist: Vec<(NodeId, Message)>) {
        let Some(mut disk) = self.disk.take() else { return };
        let entries_after_snapshot = if persist.snapshot.is_some() {
            self.raft.entries_after_snapshot()
        } else {
            Vec::new()
        };
        let (sender, completion) = oneshot::channel();
        let save_ended = self.save_ended.clone();
        self.save = Some(Save { started_at: boot_now(), messages_after_persist, completion });
        tokio::task::spawn_blocking(move || {
            let result = disk.save(&persist, &entries_after_snapshot);
            // The replica may have ended meanwhile.
            let _ = sender.send((disk, result));
            save_ended.notify_one();
        });
    }

    /// Takes note of a save that has ended, and returns the messages that waited for it.
    fn poll_save(&mut self) -> Vec<(NodeId, Message)> {
        let Some(mut save) = self.save.take() else { return Vec::new() };
        let failure = match save.completion.try_recv() {
            Err(TryRecvError::Empty) => {
                self.save = Some(save);
                return Vec::new();
            }
            Ok((disk, Ok(()))) => {
                self.disk = Some(disk);
                self.finish_save(save.started_at);
                return save.messages_after_persist;
            }
            Ok((_, Err(error))) => error.to_string(),
            Err(error @ TryRecvError::Closed) => error.to_string(),
        };
        log::error!(
            "event=disk_failed reason={failure:?} effect=\"votes and acknowledges no more\" \
             remedy=\"mend or replace the disk, then restart\""
        );
        self.raft.disk_failed();
        Vec::new()
    }

    fn finish_save(&mut self, started_at: BootTime) {
        let now = boot_now();
        let took = now.saturating_sub(started_at);
        if took >= SLOW_SAVE_THRESHOLD {
            log::warn!("event=disk_slow took_ms={}", took.as_millis());
        }
        self.raft.saved(now);
        self.clear_lost_data_once_recovered();
    }

    fn clear_lost_data_once_recovered(&mut self) {
        let recovering = self.raft.status().recovering;
        if let Some(disk) = self.disk.as_mut().filter(|disk| disk.has_lost_data() && !recovering) {
            match disk.clear_lost_data() {
                Ok(()) => log::info!("event=replica_caught_up"),
                Err(error) => log::warn!("event=mark_failed reason={:?}", error.to_string()),
            }
        }
    }
}
