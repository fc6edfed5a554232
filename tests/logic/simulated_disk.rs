//! The disk of a replica in the simulated cluster.

use kumquatpost::log::Persist;
use kumquatpost::log::raft::Recovered;

#[derive(Clone, Default)]
pub struct SimulatedDisk {
    /// The state that a replica recovers when it starts.
    pub recovered: Recovered,
}

impl SimulatedDisk {
    /// Writes the vote, snapshot, truncation and appended entries in this order, up to `max_parts` of
    /// them: the write is torn if the process crashes.
    pub fn write(&mut self, persist: &Persist, max_parts: usize) {
        let recovered = &mut self.recovered;
        if let Some(vote) = persist.vote.filter(|_| max_parts > 0) {
            recovered.vote = vote;
        }
        if let Some(snapshot) = persist.snapshot.clone().filter(|_| max_parts > 1) {
            recovered.entries.retain(|entry| entry.index > snapshot.index);
            recovered.snapshot = Some(snapshot);
        }
        if let Some(from) = persist.truncate_from.filter(|_| max_parts > 2) {
            recovered.entries.retain(|entry| entry.index < from);
        }
        for entry in persist.append.iter().take(max_parts.saturating_sub(3)) {
            recovered.entries.push(entry.clone());
        }
    }
}
