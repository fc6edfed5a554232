//! Executes the effects of the Raft state machine: sends messages, writes to disk, and returns the entries to apply.

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

/// Saves that take at least this long are logged.
const SLOW_SAVE_THRESHOLD: Duration = Duration::from_millis(100);

/// The Raft state machine of one replica together with its disk.
pub struct Driver {
    /// The Raft state machine. Call `process_effects` after each input.
    pub raft: Raft,
    /// `None` while a save is running, and after the disk has failed.
    disk: Option<Disk>,
    save: Option<Save>,
    save_ended: Arc<Notify>,
    /// Number of applied entries after which the log is compacted into a snapshot, if they are short.
    snapshot_interval: Index,
}

/// A save that is running on a blocking thread.
struct Save {
    started_at: BootTime,
    /// Messages that must not be sent before the save has completed.
    messages_after_persist: Vec<(NodeId, Message)>,
    completion: oneshot::Receiver<(Disk, io::Result<()>)>,
}

/// An operation on the replicated state. Outputs must be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Replace the state by this snapshot.
    Restore(Snapshot),
    /// Apply this committed entry.
    Apply(Entry),
    /// Answer this read from the state.
    Read(ReadId),
}

impl Driver {
    /// Creates the driver of a replica that is starting. The log is compacted every `snapshot_interval` entries,
    /// or sooner if they are long.
    pub fn new(raft: Raft, disk: Disk, snapshot_interval: Index) -> Driver {
        let save_ended = Arc::default();
        Driver { raft, disk: Some(disk), save: None, save_ended, snapshot_interval }
    }

    /// Notified when a save has completed; call `process_effects` then.
    pub fn save_ended(&self) -> Arc<Notify> {
        self.save_ended.clone()
    }

    /// Executes all pending effects and returns the operations on the replicated state.
    ///
    /// Saves run in the background: a leader that stopped sending heartbeats during a write would be replaced, and a
    /// follower would stop serving. Messages that depend on a save are sent once it has completed.
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

    /// Compacts the log into a snapshot of `state` if enough was applied since the last one.
    pub fn compact(&mut self, state: impl FnOnce() -> Vec<u8>) {
        if self.raft.needs_compaction(self.snapshot_interval) {
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
            // The receiver is gone if the replica has been dropped.
            let _ = sender.send((disk, result));
            save_ended.notify_one();
        });
    }

    /// Processes the result of a completed save, and returns the messages that may be sent now.
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
            "event=disk_failed reason={failure:?} \
             effect=\"no longer votes or acknowledges entries\" \
             remedy=\"repair or replace the disk, then restart\""
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
