//! The entries of the system, as replicas tell them to each other. Each entry is told of a few others,
//! through which it reaches targets if its own path to them fails.

use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::net::IpAddr;

use rustc_hash::FxBuildHasher;
use serde::{Deserialize, Serialize};

use crate::ids::DomainId;

/// Number of entries of its own failure domain that an entry is told of.
const LOCAL_SAMPLE: usize = 4;
/// The same of other failure domains, for when the whole domain has lost its path.
const REMOTE_SAMPLE: usize = 8;

/// Identifies one start of an entry's process.
pub type EntryStart = u64;

/// Entries by failure domain and name.
pub type EntriesByDomain = BTreeMap<DomainId, BTreeMap<String, EntryProcess>>;

/// The process of an entry that is connected to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryProcess {
    pub ip: IpAddr,
    pub start: EntryStart,
}

/// Increases with each change of the known entries.
pub type DirectoryRevision = u64;

/// An entry to which another one may forward requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEntry {
    pub ip: IpAddr,
    pub failure_domain: DomainId,
    pub start: EntryStart,
}

/// All entries that are connected to any replica.
#[derive(Clone, Debug, Default)]
pub struct EntryDirectory {
    entries: EntriesByDomain,
    revision: DirectoryRevision,
}

impl EntryDirectory {
    pub fn revision(&self) -> DirectoryRevision {
        self.revision
    }

    pub fn update(&mut self, entries: EntriesByDomain) {
        if entries != self.entries {
            self.entries = entries;
            self.revision += 1;
        }
    }

    /// The entries that an entry is told of. All replicas choose the same, and a change of other
    /// entries changes it little.
    pub fn sample(&self, name: &str, failure_domain: &DomainId) -> Vec<PeerEntry> {
        let others = self.entries.iter().flat_map(|(domain, entries)| {
            entries.iter().filter(|(other, _)| *other != name).map(move |(other, process)| {
                let rank = FxBuildHasher.hash_one((name, other));
                let EntryProcess { ip, start } = *process;
                (rank, PeerEntry { ip, failure_domain: domain.clone(), start })
            })
        });
        let (local, remote): (Vec<_>, Vec<_>) =
            others.partition(|(_, entry)| entry.failure_domain == *failure_domain);
        let sample = first_ranked(local, LOCAL_SAMPLE);
        sample.chain(first_ranked(remote, REMOTE_SAMPLE)).collect()
    }
}

fn first_ranked(
    mut entries: Vec<(u64, PeerEntry)>,
    count: usize,
) -> impl Iterator<Item = PeerEntry> {
    entries.sort_unstable_by_key(|(rank, entry)| (*rank, entry.ip));
    entries.into_iter().take(count).map(|(_, entry)| entry)
}
