//! What replicas apply and answer, and the invariants of the log.

use kumquatpost::ids::NodeId;
use kumquatpost::log::raft::Effects;
use kumquatpost::log::{Index, Payload};

use super::{CLOCK_ROUNDING, Cluster};

impl Cluster {
    /// Applies the committed entries and answers reads.
    pub(super) fn apply(&mut self, id: NodeId, effects: Effects) {
        let replica = self.replicas.get_mut(&id).expect("unknown replica");
        if let Some(snapshot) = effects.restore {
            replica.applied =
                postcard::from_bytes(&snapshot.data).expect("cannot deserialize the snapshot");
            replica.snapshot_applied = snapshot.index;
        }
        for entry in effects.committed {
            let next = replica.applied.last().map_or(1, |last| last.index + 1);
            assert_eq!(entry.index, next, "replica {id} must apply entries without gaps");
            replica.applied.push(entry.clone());
            let committed = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*committed, entry, "a committed entry must not be lost or replaced");
            if let Some((term, command)) = self.pending_proposals.remove(&(id, entry.index))
                && term == entry.term
            {
                assert_eq!(entry.payload, Payload::Command(command.clone().into()));
                self.acknowledged.push((entry.index, command));
                self.acknowledged_at.push(self.now);
            }
        }
        let applied = replica.applied.len();
        for (read, index) in effects.reads {
            let Some(position) =
                self.pending_reads.iter().position(|(r, n, _)| *r == id && *n == read)
            else {
                continue;
            };
            let (_, _, acknowledged_before) = self.pending_reads.remove(position);
            let newest =
                self.acknowledged[..acknowledged_before].iter().map(|(index, _)| *index).max();
            assert!(
                index >= newest.unwrap_or(0),
                "a read must include everything acknowledged before it"
            );
            assert!(
                applied as Index >= newest.unwrap_or(0),
                "the read must not be answered before its index is applied"
            );
            self.reads_answered += 1;
        }
    }

    /// Checks the invariants that hold after every step.
    pub(super) fn check_invariants(&mut self) {
        let mut lease_holders = Vec::new();
        for id in self.ids() {
            let Some(raft) = self.raft(id) else { continue };
            let status = raft.status();
            let now = self.local_time(id);
            if raft.holds_leader_lease(now) {
                lease_holders.push(id);
            }
            if let Some(caught_up_at) = raft.caught_up_at(now) {
                let caught_up_at = caught_up_at
                    .div_f64(self.replicas[&id].clock_rate)
                    .saturating_sub(CLOCK_ROUNDING);
                let before =
                    self.acknowledged_at.partition_point(|answered| *answered < caught_up_at);
                let newest = self.acknowledged[..before].iter().map(|(index, _)| *index).max();
                let commit = status.commit;
                assert!(
                    newest <= Some(commit),
                    "{id} counts as caught up at {caught_up_at:?}: commit {commit}, acknowledged {newest:?}"
                );
            }
            if status.is_leader {
                let other = *self.leaders.entry(status.term).or_insert(id);
                assert_eq!(other, id, "more than one leader in term {}", status.term);
            }
        }
        assert!(
            lease_holders.len() <= 1,
            "several replicas hold a leader lease: {lease_holders:?}"
        );
        for (index, command) in &self.acknowledged {
            let entry = self.committed.get(index).expect("an acknowledged entry is not committed");
            assert_eq!(entry.payload, Payload::Command(command.clone().into()));
        }
    }
}
