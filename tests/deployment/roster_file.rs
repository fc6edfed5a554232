//! The list of targets on a replica's disk.

use std::sync::Arc;

use kumquatpost::control::frames::VersionedRoster;
use kumquatpost::control::roster_file::{keep_writing, load};
use tokio::task::LocalSet;

use crate::fixtures::{address, ms, roster, target};
use crate::scheduler_service::leader_state;

fn sample_roster(number: u64) -> VersionedRoster {
    let targets = [target("i-1", "llm", address(1)), target("i-2", "app", address(2))];
    VersionedRoster::new(number, Arc::new(roster(targets)))
}

/// Writes a list as a replica does that has just read it, and kills that replica.
fn write_roster_file(folder: &std::path::Path) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let shared = std::rc::Rc::new(leader_state(1, VersionedRoster::default()));
        let writing = keep_writing(shared.clone(), folder.to_path_buf());
        let file_exists = async {
            tokio::task::yield_now().await;
            shared.observe_roster(sample_roster(3));
            while load(folder).number == 0 {
                tokio::time::sleep(ms(5)).await;
            }
        };
        tokio::select! {
            () = writing => panic!("it writes for as long as the process lives"),
            () = file_exists => {}
        }
    });
}

#[test]
fn a_restarted_replica_loads_its_roster() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(load(folder.path()).number, 0, "there is none yet");
    write_roster_file(folder.path());
    assert_eq!(load(folder.path()).version(), sample_roster(3).version());
}

/// Power was lost in the midst of a write, or the disk gives back something else.
#[test]
fn a_damaged_roster_file_is_ignored() {
    let folder = tempfile::tempdir().expect("a folder");
    write_roster_file(folder.path());
    let path = folder.path().join("targets");
    let whole = std::fs::read(&path).expect("it is there");
    for damaged in [&whole[..0], &whole[..3], &whole[..whole.len() - 1]] {
        std::fs::write(&path, damaged).expect("it is written");
        assert_eq!(load(folder.path()).number, 0, "{} bytes", damaged.len());
    }
    let mut flipped = whole.clone();
    let name = whole.windows(3).position(|bytes| bytes == b"i-1").expect("a target's id");
    flipped[name + 2] ^= 1;
    std::fs::write(&path, flipped).expect("it is written");
    assert_eq!(load(folder.path()).number, 0);
}

/// What was seen: power was lost, and a replica came back with a list from before the first read.
#[test]
fn a_roster_file_without_targets_is_ignored() {
    let folder = tempfile::tempdir().expect("a folder");
    write_roster_file(folder.path());
    let empty = postcard::to_stdvec(&VersionedRoster::new(1, Arc::default())).expect("bytes");
    let mut bytes = crc32fast::hash(&empty).to_le_bytes().to_vec();
    bytes.extend_from_slice(&empty);
    std::fs::write(folder.path().join("targets"), bytes).expect("it is written");
    assert_eq!(load(folder.path()).number, 0);
}
