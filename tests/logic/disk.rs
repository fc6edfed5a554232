//! The replica's files: what survives, and what is noticed.

use std::path::Path;

use kumquatpost::log::disk::Disk;
use kumquatpost::log::raft::Recovered;
use kumquatpost::log::{Entry, Members, Payload, Persist, Snapshot, Vote};
use tempfile::TempDir;

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8; 20].into()) }
}

fn persist(entries: Vec<Entry>) -> Persist {
    Persist { append: entries, ..Persist::default() }
}

const VOTE: Vote = Vote { term: 3, voted_for: Some(2), acknowledged_leader: Some(4) };

/// Opens a folder, writes a vote and entries 1 to `count`, and closes it.
fn write_log(folder: &Path, count: u64) {
    let (mut disk, _) = Disk::open(folder).expect("it opens");
    disk.save(&Persist { vote: Some(VOTE), ..Persist::default() }, &[]).expect("saved");
    for index in 1..=count {
        disk.save(&persist(vec![entry(index, 3)]), &[]).expect("saved");
    }
    disk.close();
}

fn recover(folder: &Path) -> Recovered {
    let (disk, recovered) = Disk::open(folder).expect("it opens");
    disk.close();
    recovered
}

#[test]
fn saved_state_is_recovered() {
    let folder = TempDir::new().expect("a folder");
    write_log(folder.path(), 5);
    let (mut disk, recovered) = Disk::open(folder.path()).expect("it opens");
    assert_eq!(recovered.vote, VOTE);
    assert_eq!(recovered.entries, (1..=5).map(|i| entry(i, 3)).collect::<Vec<_>>());
    assert!(!recovered.has_lost_data);
    let change =
        Persist { truncate_from: Some(4), append: vec![entry(4, 9)], ..Persist::default() };
    disk.save(&change, &[]).expect("saved");
    disk.close();
    let entries = recover(folder.path()).entries;
    assert_eq!(entries.last(), Some(&entry(4, 9)));
    assert_eq!(entries.len(), 4);
}

#[test]
fn a_log_truncated_at_any_byte_is_detected_and_its_valid_prefix_is_kept() {
    let original = TempDir::new().expect("a folder");
    write_log(original.path(), 4);
    let bytes = std::fs::read(original.path().join("log")).expect("the log");
    for length in 0..bytes.len() {
        let folder = TempDir::new().expect("a folder");
        write_log(folder.path(), 4);
        std::fs::write(folder.path().join("log"), &bytes[..length]).expect("cut");
        let recovered = recover(folder.path());
        assert!(recovered.has_lost_data, "cut to {length} of {}", bytes.len());
        let kept = recovered.entries.len();
        assert_eq!(recovered.entries, (1..=kept as u64).map(|i| entry(i, 3)).collect::<Vec<_>>());
        assert!(recover(folder.path()).has_lost_data, "still so after another start");
    }
}

#[test]
fn lost_data_stays_recorded_until_the_replica_has_caught_up() {
    let folder = TempDir::new().expect("a folder");
    write_log(folder.path(), 4);
    let log = folder.path().join("log");
    let length = std::fs::metadata(&log).expect("the log").len();
    std::fs::OpenOptions::new()
        .write(true)
        .open(&log)
        .expect("the log")
        .set_len(length - 1)
        .expect("cut");
    let (mut disk, recovered) = Disk::open(folder.path()).expect("it opens");
    assert!(recovered.has_lost_data);
    disk.save(&persist(vec![entry(4, 4), entry(5, 4)]), &[]).expect("saved");
    disk.close();
    let (mut disk, recovered) = Disk::open(folder.path()).expect("it opens");
    assert!(recovered.has_lost_data, "more was written, but it has not caught up");
    disk.clear_lost_data().expect("recorded");
    disk.close();
    assert!(!recover(folder.path()).has_lost_data);
}

#[test]
fn a_torn_write_after_the_last_sync_is_not_lost_data() {
    let folder = TempDir::new().expect("a folder");
    write_log(folder.path(), 2);
    let log = folder.path().join("log");
    let mut bytes = std::fs::read(&log).expect("the log");
    bytes.extend_from_slice(&[40, 0, 0, 0, 1, 2, 3]);
    std::fs::write(&log, bytes).expect("torn");
    let recovered = recover(folder.path());
    assert!(!recovered.has_lost_data);
    assert_eq!(recovered.entries.len(), 2);
}

#[test]
fn a_flipped_bit_ends_the_valid_prefix() {
    let folder = TempDir::new().expect("a folder");
    write_log(folder.path(), 3);
    let log = folder.path().join("log");
    let mut bytes = std::fs::read(&log).expect("the log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&log, bytes).expect("damaged");
    let recovered = recover(folder.path());
    assert!(recovered.has_lost_data);
    assert!(recovered.entries.len() < 3);
}

#[test]
fn a_log_without_its_vote_is_refused_and_the_error_names_the_remedy() {
    for damage in ["removed", "emptied", "log emptied too"] {
        let folder = TempDir::new().expect("a folder");
        write_log(folder.path(), 3);
        let vote = folder.path().join("vote");
        match damage {
            "removed" => std::fs::remove_file(&vote).expect("removed"),
            "emptied" => std::fs::write(&vote, "").expect("emptied"),
            _ => {
                std::fs::write(&vote, "").expect("emptied");
                std::fs::write(folder.path().join("log"), "").expect("emptied");
            }
        }
        let error = Disk::open(folder.path()).err().expect(damage).to_string();
        assert!(error.contains("new node_id and an empty folder"), "{damage}: {error}");
    }
}

#[test]
fn a_folder_is_locked_against_a_second_process() {
    let folder = TempDir::new().expect("a folder");
    let (_disk, _) = Disk::open(folder.path()).expect("it opens");
    assert!(Disk::open(folder.path()).is_err());
}

#[test]
fn a_snapshot_replaces_the_entries_that_it_contains() {
    let folder = TempDir::new().expect("a folder");
    write_log(folder.path(), 6);
    let (mut disk, _) = Disk::open(folder.path()).expect("it opens");
    let snapshot =
        Snapshot { index: 4, term: 3, members: Members::from_voters([1]), data: vec![7].into() };
    let change = Persist { snapshot: Some(snapshot.clone()), ..Persist::default() };
    disk.save(&change, &[entry(5, 3), entry(6, 3)]).expect("saved");
    disk.save(&persist(vec![entry(7, 3)]), &[]).expect("saved");
    disk.close();
    let recovered = recover(folder.path());
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.entries, vec![entry(5, 3), entry(6, 3), entry(7, 3)]);
    assert!(!recovered.has_lost_data);
}
