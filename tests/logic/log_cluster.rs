//! A few replicas of the log on a virtual clock, with a network and disks that fail.
//!
//! After every step the world checks what must always hold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatpost::ids::NodeId;
use kumquatpost::log::raft::{Change, Effects, Raft, RaftTiming, Recovered};
use kumquatpost::log::{Entry, Index, Members, Message, Payload, Persist, Term, Vote};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::simulated_disk::Disk;

pub const TIMING: RaftTiming = RaftTiming {
    heartbeat_interval: Duration::from_millis(50),
    election_timeout: Duration::from_millis(300),
};
const STEP: Duration = Duration::from_millis(5);
/// Clocks run at most this much faster or slower: well within what leases allow for.
const DRIFT: f64 = 0.02;

/// Rounding of times that are told by two clocks.
const CLOCK_GRAIN: Duration = Duration::from_micros(1);

/// Replica 1 of three in term 5, with entries 1 to 4 of term 5.
pub fn replica_in_term_5(now: Duration) -> Raft {
    let entries = (1..=4).map(|index| Entry { index, term: 5, payload: Payload::Noop }).collect();
    let vote = Vote { term: 5, ..Vote::default() };
    let recovered = Recovered { vote, entries, ..Recovered::default() };
    Raft::new(1, Members::from_voters([1, 2, 3]), TIMING, recovered, 1, now)
}

/// One replica: its disk always, its process only while it runs.
pub struct Replica {
    pub raft: Option<Raft>,
    disk: Disk,
    /// The members that it assumes before its log tells.
    first_members: Members,
    /// How fast its clock runs.
    rate: f64,
    /// Frozen until then: it takes no step, but its clock runs on.
    frozen_until: Duration,
    /// A save that is under way.
    save: Option<Save>,
    applied: Vec<Entry>,
    snapshot_applied: Index,
}

/// What a disk is writing, and the messages that wait for it.
struct Save {
    ends_at: Duration,
    persist: Persist,
    late: Vec<(NodeId, Message)>,
}

struct Packet {
    at: Duration,
    from: NodeId,
    to: NodeId,
    message: Message,
}

/// What the network and the hosts do wrong.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub loss: f64,
    pub duplicates: f64,
    pub longest_delay: Duration,
    pub crash_while_syncing: f64,
    /// How long each save takes.
    pub save_takes: Duration,
}

pub const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    duplicates: 0.0,
    longest_delay: Duration::from_millis(4),
    crash_while_syncing: 0.0,
    save_takes: Duration::ZERO,
};

pub struct World {
    pub now: Duration,
    pub faults: Faults,
    pub replicas: BTreeMap<NodeId, Replica>,
    pub random: SmallRng,
    packets: Vec<Packet>,
    /// Nodes that can't reach the others: the two sides of a cut.
    cut: BTreeSet<NodeId>,
    /// Everything ever applied anywhere, by index. Nothing in it may ever change.
    pub committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, NodeId>,
    proposals: u64,
    /// Proposals that were answered, with the index at which each must stay.
    pub acknowledged: Vec<(Index, Vec<u8>)>,
    /// When each of them was answered.
    acknowledged_at: Vec<Duration>,
    waiting: BTreeMap<(NodeId, Index), (Term, Vec<u8>)>,
    /// Reads that wait: replica, read, and the commit that the read must not miss.
    reads: Vec<(NodeId, u64, usize)>,
    pub reads_answered: usize,
}

impl World {
    pub fn new(voters: u64, seed: u64) -> World {
        let mut world = World {
            now: Duration::from_secs(1),
            faults: NO_FAULTS,
            replicas: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            packets: Vec::new(),
            cut: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposals: 0,
            acknowledged: Vec::new(),
            acknowledged_at: Vec::new(),
            waiting: BTreeMap::new(),
            reads: Vec::new(),
            reads_answered: 0,
        };
        for id in 1..=voters {
            world.add_with(id, Members::from_voters(1..=voters));
        }
        world
    }

    /// Adds a replica with an empty disk that knows the first members.
    pub fn add(&mut self, id: NodeId) {
        let members = self.replicas.values().next().map(|replica| replica.first_members.clone());
        self.add_with(id, members.expect("there are replicas"));
    }

    /// Adds a replica with an empty disk that knows nobody.
    pub fn join(&mut self, id: NodeId) {
        self.add_with(id, Members::from_voters([]));
    }

    /// Takes a replica away together with its disk.
    pub fn remove(&mut self, id: NodeId) {
        self.crash(id);
        self.replicas.remove(&id);
    }

    /// Whether a replica runs and is not frozen.
    pub fn is_awake(&self, id: NodeId) -> bool {
        let replica = &self.replicas[&id];
        replica.raft.is_some() && replica.frozen_until <= self.now
    }

    /// Whether what one replica sends reaches another.
    pub fn reaches(&self, from: NodeId, to: NodeId) -> bool {
        self.cut.contains(&from) == self.cut.contains(&to)
    }

    fn add_with(&mut self, id: NodeId, first_members: Members) {
        let rate = 1.0 + self.random.random_range(-DRIFT..DRIFT);
        let replica = Replica {
            raft: None,
            disk: Disk::default(),
            first_members,
            rate,
            frozen_until: Duration::ZERO,
            save: None,
            applied: Vec::new(),
            snapshot_applied: 0,
        };
        self.replicas.insert(id, replica);
        self.start(id);
    }

    pub fn ids(&self) -> Vec<NodeId> {
        self.replicas.keys().copied().collect()
    }

    /// The replica's own clock.
    pub fn clock(&self, id: NodeId) -> Duration {
        self.now.mul_f64(self.replicas[&id].rate)
    }

    pub fn raft(&self, id: NodeId) -> Option<&Raft> {
        self.replicas.get(&id)?.raft.as_ref()
    }

    pub fn start(&mut self, id: NodeId) {
        let (seed, now) = (self.random.random(), self.clock(id));
        let replica = self.replicas.get_mut(&id).expect("a replica");
        let members = replica.first_members.clone();
        if replica.raft.is_none() {
            let recovered = replica.disk.recovered.clone();
            replica.applied.clear();
            replica.snapshot_applied = 0;
            replica.raft = Some(Raft::new(id, members, TIMING, recovered, seed, now));
            self.settle(id);
        }
    }

    pub fn crash(&mut self, id: NodeId) {
        let replica = self.replicas.get_mut(&id).expect("a replica");
        replica.raft = None;
        replica.save = None;
        self.waiting.retain(|(replica, _), _| *replica != id);
        self.reads.retain(|(replica, ..)| *replica != id);
    }

    pub fn freeze(&mut self, id: NodeId, time: Duration) {
        let until = self.now + time;
        self.replicas.get_mut(&id).expect("a replica").frozen_until = until;
    }

    /// Crashes a replica and takes synced entries off the end of its log.
    pub fn lose_tail(&mut self, id: NodeId, entries: usize) {
        self.crash(id);
        let recovered = &mut self.replicas.get_mut(&id).expect("a replica").disk.recovered;
        let kept = recovered.entries.len().saturating_sub(entries);
        recovered.has_lost_data |= kept < recovered.entries.len();
        recovered.entries.truncate(kept);
    }

    pub fn cut_off(&mut self, nodes: impl IntoIterator<Item = NodeId>) {
        self.cut = nodes.into_iter().collect();
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// A replica that says it leads, the one with the highest term.
    pub fn leader(&self) -> Option<NodeId> {
        let rafts = self.replicas.iter().filter_map(|(id, r)| Some((*id, r.raft.as_ref()?)));
        let leaders = rafts.filter(|(_, raft)| raft.status().is_leader);
        leaders.max_by_key(|(_, raft)| raft.term()).map(|(id, _)| id)
    }

    /// Proposes something at a replica.
    pub fn propose(&mut self, id: NodeId) {
        self.proposals += 1;
        let command = self.proposals.to_le_bytes().to_vec();
        let Some(raft) = self.replicas.get_mut(&id).and_then(|r| r.raft.as_mut()) else { return };
        if let Ok((term, index)) = raft.propose(command.clone()) {
            self.waiting.insert((id, index), (term, command));
        }
        self.settle(id);
    }

    pub fn read(&mut self, id: NodeId) {
        let seen = self.acknowledged.len();
        let Some(raft) = self.replicas.get_mut(&id).and_then(|r| r.raft.as_mut()) else { return };
        if let Ok(read) = raft.read() {
            self.reads.push((id, read, seen));
        }
        self.settle(id);
    }

    pub fn change(&mut self, id: NodeId, change: Change) -> bool {
        let Some(raft) = self.replicas.get_mut(&id).and_then(|r| r.raft.as_mut()) else {
            return false;
        };
        let accepted = raft.propose_change(change).is_ok();
        self.settle(id);
        accepted
    }

    pub fn compact(&mut self, id: NodeId) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        let Some(raft) = replica.raft.as_mut() else { return };
        let index = raft.applied();
        // The state is the list of all entries up to the index.
        let all: Vec<Entry> = self.committed.range(..=index).map(|(_, e)| e.clone()).collect();
        raft.compact(index, postcard::to_stdvec(&all).expect("entries are written"));
        self.settle(id);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until something is so, for ten seconds at the most.
    pub fn run_until(&mut self, what: &str, mut is_so: impl FnMut(&mut World) -> bool) {
        let end = self.now + Duration::from_secs(10);
        while !is_so(self) {
            assert!(self.now < end, "waited in vain: {what}");
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let due: Vec<Packet> = {
            let now = self.now;
            let (due, later) =
                std::mem::take(&mut self.packets).into_iter().partition(|p| p.at <= now);
            self.packets = later;
            due
        };
        for packet in due {
            self.deliver(packet);
        }
        for id in self.ids() {
            let now = self.clock(id);
            let replica = self.replicas.get_mut(&id).expect("a replica");
            if replica.frozen_until > self.now {
                continue;
            }
            self.end_save(id);
            let replica = self.replicas.get_mut(&id).expect("a replica");
            if let Some(raft) = &mut replica.raft {
                raft.tick(now);
                self.settle(id);
            }
        }
        self.check();
    }

    fn deliver(&mut self, packet: Packet) {
        let Packet { at: _, from, to, message } = packet;
        if self.cut.contains(&from) != self.cut.contains(&to) {
            return;
        }
        let Some(replica) = self.replicas.get(&to) else { return };
        if replica.frozen_until > self.now {
            // It waits in the host's buffers.
            let at = replica.frozen_until + STEP;
            self.packets.push(Packet { at, from, to, message });
            return;
        }
        let now = self.clock(to);
        let replica = self.replicas.get_mut(&to).expect("a replica");
        if let Some(raft) = &mut replica.raft {
            raft.receive(from, message, now);
            self.settle(to);
        }
    }

    fn send(&mut self, from: NodeId, messages: Vec<(NodeId, Message)>) {
        for (to, message) in messages {
            let copies = 1 + usize::from(self.random.random_bool(self.faults.duplicates));
            for _ in 0..copies {
                if self.random.random_bool(self.faults.loss) {
                    continue;
                }
                let delay = self.random.random_range(Duration::ZERO..self.faults.longest_delay);
                let at = self.now + delay;
                self.packets.push(Packet { at, from, to, message: message.clone() });
            }
        }
    }

    /// Does what a replica asks for, as the actor around it does.
    fn settle(&mut self, id: NodeId) {
        loop {
            let now = self.clock(id);
            let Some(raft) = self.replicas.get_mut(&id).and_then(|r| r.raft.as_mut()) else {
                return;
            };
            let mut effects = raft.take_effects(now);
            if effects.is_empty() {
                return;
            }
            self.send(id, std::mem::take(&mut effects.immediate_messages));
            let late = std::mem::take(&mut effects.messages_after_persist);
            if effects.persist.is_empty() {
                self.send(id, late);
            } else if !self.save(id, std::mem::take(&mut effects.persist), late) {
                return;
            }
            self.apply(id, effects);
            self.end_save(id);
        }
    }

    /// Begins a save. Returns whether the replica still runs.
    fn save(&mut self, id: NodeId, persist: Persist, late: Vec<(NodeId, Message)>) -> bool {
        let replica = self.replicas.get_mut(&id).expect("a replica");
        assert!(replica.save.is_none(), "one save at a time");
        if self.random.random_bool(self.faults.crash_while_syncing) {
            let written = self.random.random_range(0..=3 + persist.append.len());
            replica.disk.write(&persist, written);
            self.crash(id);
            return false;
        }
        let ends_at = self.now + self.faults.save_takes;
        replica.save = Some(Save { ends_at, persist, late });
        true
    }

    /// Ends a save if it is time.
    fn end_save(&mut self, id: NodeId) {
        let (now, clock) = (self.now, self.clock(id));
        let replica = self.replicas.get_mut(&id).expect("a replica");
        let Some(Save { persist, late, .. }) = replica.save.take_if(|save| save.ends_at <= now)
        else {
            return;
        };
        replica.disk.write(&persist, usize::MAX);
        if let Some(raft) = &mut replica.raft {
            raft.saved(clock);
            replica.disk.recovered.has_lost_data &= raft.status().recovering;
        }
        self.send(id, late);
    }

    fn apply(&mut self, id: NodeId, effects: Effects) {
        let replica = self.replicas.get_mut(&id).expect("a replica");
        if let Some(snapshot) = effects.restore {
            replica.applied = postcard::from_bytes(&snapshot.data).expect("a snapshot");
            replica.snapshot_applied = snapshot.index;
        }
        for entry in effects.committed {
            let next = replica.applied.last().map_or(1, |last| last.index + 1);
            assert_eq!(entry.index, next, "replica {id} applies without gaps");
            replica.applied.push(entry.clone());
            let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
            assert_eq!(*known, entry, "a committed entry is never lost or replaced");
            if let Some((term, command)) = self.waiting.remove(&(id, entry.index))
                && term == entry.term
            {
                assert_eq!(entry.payload, Payload::Command(command.clone().into()));
                self.acknowledged.push((entry.index, command));
                self.acknowledged_at.push(self.now);
            }
        }
        let applied = replica.applied.len();
        for (read, index) in effects.reads {
            let Some(position) = self.reads.iter().position(|(r, n, _)| *r == id && *n == read)
            else {
                continue;
            };
            let (_, _, seen) = self.reads.remove(position);
            let newest = self.acknowledged[..seen].iter().map(|(index, _)| *index).max();
            assert!(index >= newest.unwrap_or(0), "a read misses nothing acknowledged before it");
            assert!(applied as Index >= newest.unwrap_or(0), "the state is as new as the read");
            self.reads_answered += 1;
        }
    }

    /// What must always hold.
    fn check(&mut self) {
        let mut sure_leaders = Vec::new();
        for id in self.ids() {
            let Some(raft) = self.raft(id) else { continue };
            let status = raft.status();
            let now = self.clock(id);
            if raft.holds_leader_lease(now) {
                sure_leaders.push(id);
            }
            if let Some(at) = raft.caught_up_at(now) {
                let at = at.div_f64(self.replicas[&id].rate).saturating_sub(CLOCK_GRAIN);
                let before = self.acknowledged_at.partition_point(|answered| *answered < at);
                let newest = self.acknowledged[..before].iter().map(|(index, _)| *index).max();
                let commit = status.commit;
                assert!(newest <= Some(commit), "{id} had all at {at:?}, but {newest:?}: {commit}");
            }
            if status.is_leader {
                let other = *self.leaders.entry(status.term).or_insert(id);
                assert_eq!(other, id, "at most one leader in term {}", status.term);
            }
        }
        assert!(sure_leaders.len() <= 1, "two replicas are sure to lead: {sure_leaders:?}");
        for (index, command) in &self.acknowledged {
            let entry = self.committed.get(index).expect("acknowledged is committed");
            assert_eq!(entry.payload, Payload::Command(command.clone().into()));
        }
    }

    /// Stops all faults, starts everything, and checks that the log goes on and all agree.
    pub fn recover(&mut self) {
        self.faults = NO_FAULTS;
        self.heal();
        for id in self.ids() {
            self.start(id);
        }
        let acknowledged = self.acknowledged.len();
        self.run_until("the log goes on", |world| {
            if let Some(leader) = world.leader() {
                world.propose(leader);
            }
            world.acknowledged.len() > acknowledged
        });
        let newest = self.acknowledged.last().expect("something is acknowledged").0;
        self.run_until("all members catch up", |world| {
            let Some(leader) = world.leader() else { return false };
            let Some(members) = world.raft(leader).map(|raft| raft.status().members) else {
                return false;
            };
            members.all().all(|id| world.raft(id).is_some_and(|raft| raft.applied() >= newest))
        });
    }
}
