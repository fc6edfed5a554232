//! Durable storage of one replica: a vote file, a snapshot file, and an append-only log file of
//! checksummed records.
//!
//! Incomplete or corrupt records at the end of the log file are truncated when it is opened. A
//! mark file holds the length of the log file at the last sync. If the valid part of the log file
//! is shorter than that, synced data was lost, and the replica must not vote until it has caught up.

use std::fs::{File, OpenOptions};
use std::io::{self, BufReader, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::raft::Recovered;
use super::types::{Entry, Index, Persist, Snapshot, Vote};
use crate::error::{Error, Result};

const VOTE_FILE: &str = "vote";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
const MARK_FILE: &str = "mark";
const LOCK_FILE: &str = "lock";
/// Size of a record's header: body length and CRC-32, 4 bytes each.
const HEADER_BYTES: usize = 8;
/// Size of the mark file: the log length in 8 bytes and the lost-data flag in one.
const MARK_BYTES: usize = 9;
/// A header with a greater length is treated as corrupt.
const MAX_RECORD_BYTES: usize = 256 << 20;

#[derive(Serialize, Deserialize)]
enum Record {
    Append(Entry),
    /// Discards the entries from this index on.
    TruncateFrom(Index),
}

/// The open files of one replica.
pub struct Disk {
    folder: PathBuf,
    log: File,
    mark: File,
    log_bytes: u64,
    /// Whether synced data was lost and the replica has not caught up since.
    has_lost_data: bool,
    // Keeps other processes from opening the same folder.
    _lock: File,
}

impl Disk {
    /// Opens or creates the files in a folder, and reads what they hold.
    ///
    /// # Errors
    /// `Error::Start` if the folder can't be used, is in use by another process, or holds a log
    /// without a valid vote file.
    pub fn open(folder: &Path) -> Result<(Disk, Recovered)> {
        let remedy = "check the folder's owner, mount and free space";
        let failed = |source: io::Error| Error::start("data_folder", source, remedy);
        std::fs::create_dir_all(folder).map_err(failed)?;
        let lock = File::create(folder.join(LOCK_FILE)).map_err(failed)?;
        lock.try_lock().map_err(|_| {
            let reason = format!("{} is in use", folder.display());
            Error::start("data_folder", reason, "stop the other process or name another folder")
        })?;
        remove_drafts(folder).map_err(failed)?;
        let vote = read_record_file::<Vote>(&folder.join(VOTE_FILE)).map_err(failed)?;
        let snapshot = read_record_file::<Snapshot>(&folder.join(SNAPSHOT_FILE)).map_err(failed)?;
        let log_path = folder.join(LOG_FILE);
        let is_new = !log_path.exists();
        let log = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&log_path)
            .map_err(failed)?;
        let mark = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(folder.join(MARK_FILE))
            .map_err(failed)?;
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let StoredLog { entries, valid_bytes } = read_log(&log, snapshot_index).map_err(failed)?;
        let (marked_bytes, marked_lost) = read_mark(&mark);
        let holds_state = snapshot.is_some() || valid_bytes > 0 || marked_bytes > 0;
        let is_vote_missing = vote.is_none() && holds_state;
        if is_vote_missing {
            let reason = format!("{} holds a log but no valid vote", folder.display());
            let remedy = "replace this replica by one with a new node_id and an empty folder";
            return Err(Error::start("data_folder", reason, remedy));
        }
        log.set_len(valid_bytes).map_err(failed)?;
        log.sync_all().map_err(failed)?;
        if is_new {
            sync_folder(folder).map_err(failed)?;
        }
        let has_lost_data = marked_lost || marked_bytes > valid_bytes;
        let recovered =
            Recovered { vote: vote.unwrap_or_default(), has_lost_data, entries, snapshot };
        let folder = folder.to_path_buf();
        let disk = Disk { folder, log, mark, log_bytes: valid_bytes, has_lost_data, _lock: lock };
        disk.write_mark().and_then(|()| disk.mark.sync_data()).map_err(failed)?;
        Ok((disk, recovered))
    }

    /// Makes `persist` durable.
    ///
    /// If it contains a snapshot, `entries_after_snapshot` must hold all entries that follow the snapshot,
    /// including those of `persist`; otherwise it is ignored. After an error the disk must not be written
    /// again, because it is unknown which changes are durable.
    ///
    /// # Errors
    /// I/O errors.
    pub fn save(&mut self, persist: &Persist, entries_after_snapshot: &[Entry]) -> io::Result<()> {
        if let Some(vote) = &persist.vote {
            self.write_record_file(VOTE_FILE, vote)?;
        }
        if let Some(snapshot) = &persist.snapshot {
            self.write_record_file(SNAPSHOT_FILE, snapshot)?;
            return self.rewrite_log(entries_after_snapshot);
        }
        let mut bytes = Vec::new();
        if let Some(index) = persist.truncate_from {
            encode_record(&mut bytes, &Record::TruncateFrom(index))?;
        }
        for entry in &persist.append {
            encode_record(&mut bytes, &Record::Append(entry.clone()))?;
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.log.seek(SeekFrom::Start(self.log_bytes))?;
        self.log.write_all(&bytes)?;
        self.log.sync_data()?;
        self.log_bytes += bytes.len() as u64;
        self.write_mark()
    }

    /// Records that the replica has caught up after a loss of data.
    ///
    /// # Errors
    /// I/O errors.
    pub fn clear_lost_data(&mut self) -> io::Result<()> {
        self.has_lost_data = false;
        self.write_mark()?;
        self.mark.sync_data()
    }

    /// Whether synced data was lost and the replica has not caught up since.
    pub fn has_lost_data(&self) -> bool {
        self.has_lost_data
    }

    /// Length of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Closes the files and releases the lock on the folder.
    pub fn close(self) {}

    /// Replaces the log file by one that holds only `entries_after_snapshot`.
    fn rewrite_log(&mut self, entries_after_snapshot: &[Entry]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for entry in entries_after_snapshot {
            encode_record(&mut bytes, &Record::Append(entry.clone()))?;
        }
        // The mark must be reset first: with the old mark, the shorter log would be taken for a loss of data.
        self.log_bytes = 0;
        self.write_mark()?;
        self.mark.sync_data()?;
        let path = self.folder.join(LOG_FILE);
        replace_file(&self.folder, LOG_FILE, &bytes)?;
        self.log = OpenOptions::new().read(true).write(true).open(path)?;
        self.log_bytes = bytes.len() as u64;
        self.write_mark()
    }

    /// Writes the mark file without syncing it; after a power failure, an older mark may remain.
    fn write_mark(&self) -> io::Result<()> {
        let mut bytes = [0; MARK_BYTES];
        bytes[..8].copy_from_slice(&self.log_bytes.to_le_bytes());
        bytes[8] = self.has_lost_data.into();
        self.mark.write_all_at(&bytes, 0)
    }

    fn write_record_file<T: Serialize>(&self, name: &str, value: &T) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode_record(&mut bytes, value)?;
        replace_file(&self.folder, name, &bytes)
    }
}

/// Removes files that were not complete when a save failed, as on a full disk. They take space that the next save
/// needs.
fn remove_drafts(folder: &Path) -> io::Result<()> {
    for name in [VOTE_FILE, SNAPSHOT_FILE, LOG_FILE] {
        let draft = draft_path(folder, name);
        // What is not a plain file was not written by a save.
        if std::fs::symlink_metadata(&draft).is_ok_and(|draft| draft.is_file()) {
            std::fs::remove_file(draft)?;
        }
    }
    Ok(())
}

fn draft_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.draft"))
}

/// Replaces a file atomically and durably.
fn replace_file(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let temporary = draft_path(folder, name);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&temporary, folder.join(name))?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Appends a record with its header to `bytes`.
fn encode_record<T: Serialize>(bytes: &mut Vec<u8>, record: &T) -> io::Result<()> {
    let body = postcard::to_stdvec(record).map_err(io::Error::other)?;
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(())
}

/// The first record in `bytes` and its encoded length; `None` if it is incomplete or corrupt.
fn decode_record<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..HEADER_BYTES)?.try_into().ok()?);
    if length > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, HEADER_BYTES + length))
}

/// Reads a file that holds one record; `None` if it is missing or invalid.
fn read_record_file<T: DeserializeOwned>(path: &Path) -> io::Result<Option<T>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(decode_record(&bytes).map(|(value, _)| value)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

/// What a log file holds.
struct StoredLog {
    /// The entries that follow the snapshot without a gap.
    entries: Vec<Entry>,
    /// The length of the records up to the first invalid one.
    valid_bytes: u64,
}

/// Reads the records up to the first invalid one. Only one record and the entries that are kept are in memory at
/// a time.
fn read_log(log: &File, snapshot_index: Index) -> io::Result<StoredLog> {
    let total = log.metadata()?.len();
    let mut reader = BufReader::new(log);
    let mut entries: Vec<Entry> = Vec::new();
    let mut valid_bytes = 0;
    while let Some((record, length)) = read_record(&mut reader, total - valid_bytes)? {
        valid_bytes += length as u64;
        match record {
            Record::TruncateFrom(index) => entries.retain(|entry| entry.index < index),
            Record::Append(entry) if entry.index <= snapshot_index => {}
            Record::Append(entry) => entries.push(entry),
        }
    }
    let mut next = snapshot_index + 1;
    entries.retain(|entry| {
        let follows = entry.index == next;
        next += u64::from(follows);
        follows
    });
    Ok(StoredLog { entries, valid_bytes })
}

/// The next record and its encoded length; `None` if the `left` bytes of the file begin with none.
fn read_record(from: &mut impl Read, left: u64) -> io::Result<Option<(Record, usize)>> {
    if left < HEADER_BYTES as u64 {
        return Ok(None);
    }
    let mut bytes = vec![0; HEADER_BYTES];
    from.read_exact(&mut bytes)?;
    let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    if length as u64 > left - HEADER_BYTES as u64 {
        return Ok(None);
    }
    bytes.resize(HEADER_BYTES + length, 0);
    from.read_exact(&mut bytes[HEADER_BYTES..])?;
    Ok(decode_record(&bytes))
}

/// The length of the log file at the last sync, and whether synced data was lost.
fn read_mark(mark: &File) -> (u64, bool) {
    let mut bytes = [0; MARK_BYTES];
    if mark.read_exact_at(&mut bytes, 0).is_err() {
        return (0, false);
    }
    let mut length = [0; 8];
    length.copy_from_slice(&bytes[..8]);
    (u64::from_le_bytes(length), bytes[8] != 0)
}
