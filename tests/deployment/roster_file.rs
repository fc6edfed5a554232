//! The roster on a replica's disk.

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

/// Writes a roster as a replica does, and stops the writer as soon as the file exists.
fn write_roster_file(folder: &std::path::Path) {
    let runtime = tokio::runtime::Runtime::new().expect("build the runtime");
    LocalSet::new().block_on(&runtime, async {
        let shared = std::rc::Rc::new(leader_state(1, VersionedRoster::default()));
        let writing = keep_writing(shared.clone(), folder.to_path_buf());
        let file_exists = async {
            tokio::task::yield_now().await;
            shared.observe_roster(sample_roster(3));
            while load(folder, false).number == 0 {
                tokio::time::sleep(ms(5)).await;
            }
        };
        tokio::select! {
            () = writing => panic!("the writer ended"),
            () = file_exists => {}
        }
    });
}

#[test]
fn a_restarted_replica_loads_its_roster() {
    let folder = tempfile::tempdir().expect("create a folder");
    assert_eq!(load(folder.path(), false).number, 0, "there is no file yet");
    write_roster_file(folder.path());
    assert_eq!(load(folder.path(), false).version(), sample_roster(3).version());
}

/// Guards against loading a file that was partly written at a power failure, or that the disk
/// corrupted.
#[test]
fn a_damaged_roster_file_is_ignored() {
    let folder = tempfile::tempdir().expect("create a folder");
    write_roster_file(folder.path());
    let path = folder.path().join("targets");
    let whole = std::fs::read(&path).expect("read the file");
    for damaged in [&whole[..0], &whole[..3], &whole[..whole.len() - 1]] {
        std::fs::write(&path, damaged).expect("write the file");
        assert_eq!(load(folder.path(), false).number, 0, "{} bytes", damaged.len());
    }
    let mut flipped = whole.clone();
    let name =
        whole.windows(3).position(|bytes| bytes == b"i-1").expect("the file contains the id");
    flipped[name + 2] ^= 1;
    std::fs::write(&path, flipped).expect("write the file");
    assert_eq!(load(folder.path(), false).number, 0);
}

/// Guards against a replica that restarts with a roster from before the first read of the target
/// list.
#[test]
fn a_roster_file_without_targets_is_ignored() {
    let folder = tempfile::tempdir().expect("create a folder");
    write_roster_file(folder.path());
    let empty =
        postcard::to_stdvec(&VersionedRoster::new(1, Arc::default())).expect("encode the roster");
    let mut bytes = crc32fast::hash(&empty).to_le_bytes().to_vec();
    bytes.extend_from_slice(&empty);
    std::fs::write(folder.path().join("targets"), bytes).expect("write the file");
    assert_eq!(load(folder.path(), false).number, 0);
}
