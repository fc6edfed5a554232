//! The disk of a replica in the log's world.

use kumquatpost::log::Persist;
use kumquatpost::log::raft::Recovered;

#[derive(Clone, Default)]
pub struct Disk {
    /// What a replica that starts finds.
    pub recovered: Recovered,
}

impl Disk {
    /// Writes the changes, or only a part of them if `parts` ends early.
    pub fn write(&mut self, persist: &Persist, parts: usize) {
        let found = &mut self.recovered;
        if let Some(vote) = persist.vote.filter(|_| parts > 0) {
            found.vote = vote;
        }
        if let Some(snapshot) = persist.snapshot.clone().filter(|_| parts > 1) {
            found.entries.retain(|entry| entry.index > snapshot.index);
            found.snapshot = Some(snapshot);
        }
        if let Some(from) = persist.truncate_from.filter(|_| parts > 2) {
            found.entries.retain(|entry| entry.index < from);
        }
        for entry in persist.append.iter().take(parts.saturating_sub(3)) {
            found.entries.push(entry.clone());
        }
    }
}
