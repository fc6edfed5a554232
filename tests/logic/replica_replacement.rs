//! Replicas whose disks are lost, one after another and two at once, while others crash, freeze and
//! are cut off: the rules that replace them must never let go of what was acknowledged.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use kumquatpost::control::voter_set::{MembershipStep, PeerActivity};
use kumquatpost::ids::NodeId;
use kumquatpost::log::raft::Change;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::RngExt;

use crate::log_cluster::{Faults, NO_FAULTS, World};

/// Voters: as many as two lost disks need.
const WANTED: usize = 5;
/// How often replicas hear of each other, and the leader takes a step.
const TELL: Duration = Duration::from_millis(100);

/// Hosts whose replicas replace each other.
struct Core {
    world: World,
    /// The replica on each host.
    hosts: BTreeMap<IpAddr, NodeId>,
    presences: BTreeMap<NodeId, PeerActivity>,
    places: BTreeMap<NodeId, IpAddr>,
    led: BTreeMap<NodeId, bool>,
    next_id: NodeId,
}

impl Core {
    fn new(seed: u64) -> Core {
        let world = World::new(WANTED as u64, seed);
        let ip = |id: NodeId| IpAddr::from(Ipv4Addr::new(10, 0, 0, id as u8));
        let ids = world.ids();
        Core {
            world,
            hosts: ids.iter().map(|id| (ip(*id), *id)).collect(),
            presences: BTreeMap::new(),
            places: ids.iter().map(|id| (*id, ip(*id))).collect(),
            led: BTreeMap::new(),
            next_id: 100,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.world.run(TELL.min(end - self.world.now));
            self.tell();
        }
    }

    /// Replicas introduce themselves to each other; the leader takes a step.
    fn tell(&mut self) {
        let hosts: Vec<(IpAddr, NodeId)> = self.hosts.iter().map(|(ip, id)| (*ip, *id)).collect();
        for (_, to) in &hosts {
            if !self.world.is_awake(*to) {
                continue;
            }
            let now = self.world.clock(*to);
            let status = self.world.raft(*to).expect("it is awake").status();
            let activity = self.presences.entry(*to).or_default();
            if status.is_leader && !self.led.get(to).copied().unwrap_or(false) {
                activity.reset(now);
            }
            self.led.insert(*to, status.is_leader);
            for (ip, from) in &hosts {
                if from == to || !self.world.is_awake(*from) || !self.world.reaches(*from, *to) {
                    continue;
                }
                activity.record_contact(*from, now);
                let raft = self.world.raft(*from).expect("it is awake").status();
                let is_member = raft.members.all().any(|id| id == *from);
                if raft.leader.is_none() || !is_member {
                    activity.record_join_request(*from, *ip, now);
                }
            }
            if status.is_leader {
                let step = activity.next_step(*to, &status.members, &self.places, WANTED, now);
                self.take(*to, step);
            }
        }
    }

    fn take(&mut self, leader: NodeId, step: Option<MembershipStep>) {
        let change = match step {
            None => return,
            Some(MembershipStep::SetAddress(node, ip)) => {
                self.places.insert(node, ip);
                return;
            }
            Some(MembershipStep::AddLearner(node)) => Change::AddLearner(node),
            Some(MembershipStep::Promote(node)) => Change::Promote(node),
            Some(MembershipStep::Remove(node)) => Change::Remove(node),
        };
        self.world.change(leader, change);
    }

    /// Voters of the newest members that any replica knows whose disks are gone.
    fn lost(&self) -> usize {
        let rafts = self.world.ids().into_iter().filter_map(|id| self.world.raft(id));
        let Some(newest) = rafts.max_by_key(|raft| raft.applied()) else { return WANTED };
        let members = newest.status().members;
        let gone = members.voters.iter().filter(|id| !self.world.replicas.contains_key(id));
        gone.count() + WANTED.saturating_sub(members.voters.len())
    }

    /// A host loses its disk; a new replica starts there.
    fn wipe(&mut self, host: IpAddr) {
        let lost = self.hosts[&host];
        self.world.remove(lost);
        self.presences.remove(&lost);
        self.next_id += 1;
        self.hosts.insert(host, self.next_id);
        self.world.join(self.next_id);
    }

    fn disturb(&mut self) {
        let ids = self.world.ids();
        let one = ids[self.world.random.random_range(0..ids.len())];
        match self.world.random.random_range(0..12) {
            0 => self.world.crash(one),
            1 => {
                let time = Duration::from_millis(self.world.random.random_range(50..2_500));
                self.world.freeze(one, time);
            }
            2 => self.world.cut_off([one]),
            3 => self.world.cut_off(ids.iter().copied().filter(|id| id % 2 == one % 2)),
            4 | 5 => self.world.heal(),
            6 => self.world.compact(one),
            // Two at most are lost at a time.
            7 if self.lost() < 2 => {
                let hosts: Vec<IpAddr> = self.hosts.keys().copied().collect();
                let drawn = self.world.random.random_range(0..hosts.len());
                self.wipe(hosts[drawn]);
            }
            8 | 9 => ids.iter().for_each(|id| self.world.start(*id)),
            _ => ids.iter().for_each(|id| self.world.propose(*id)),
        }
        let pause = Duration::from_millis(self.world.random.random_range(20..900));
        self.run(pause);
    }

    /// Ends all faults: all hosts vote again, and the log goes on.
    fn recover(&mut self) {
        self.world.faults = NO_FAULTS;
        self.world.heal();
        self.world.ids().into_iter().for_each(|id| self.world.start(id));
        for _ in 0..300 {
            self.run(TELL);
            let Some(leader) = self.world.leader() else { continue };
            let members = self.world.raft(leader).expect("it runs").status().members;
            let is_on_a_host = |id: &NodeId| self.hosts.values().any(|host| host == id);
            if members.voters.len() == WANTED && members.all().all(|id| is_on_a_host(&id)) {
                return self.world.recover();
            }
        }
        panic!("the replicas on all hosts never came to vote");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(2026),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn replicas_that_lose_their_disks_are_replaced_and_nothing_acknowledged_is_lost(
        seed in any::<u64>(),
        loss in 0.0..0.1,
        crashes in 0.0..0.02,
    ) {
        let mut core = Core::new(seed);
        core.world.faults = Faults {
            loss,
            duplicates: 0.05,
            longest_delay: Duration::from_millis(40),
            crash_while_syncing: crashes,
            save_takes: Duration::ZERO,
        };
        for _ in 0..80 {
            core.disturb();
        }
        core.recover();
    }
}
