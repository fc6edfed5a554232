//! The membership protocol on a virtual clock and network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kumquatpost::ids::NodeId;
use kumquatpost::membership::{Member, Packet, Status, Swim, SwimTiming};
use kumquatpost::route::targets::LeavingTarget;

const TIMING: SwimTiming = SwimTiming { probe_interval: Duration::from_millis(500) };
const STEP: Duration = Duration::from_millis(50);

struct Network {
    now: Duration,
    nodes: BTreeMap<NodeId, Swim>,
    dead: BTreeSet<NodeId>,
    /// Pairs of nodes between which no packets are delivered, in either direction.
    blocked_pairs: BTreeSet<(NodeId, NodeId)>,
    packets: Vec<(NodeId, NodeId, Packet)>,
}

fn member(node: NodeId, incarnation: u64) -> Member {
    Member {
        node,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, node as u16)),
        failure_domain: "patan".into(),
        incarnation,
        status: Status::Alive,
    }
}

impl Network {
    fn new(count: u64) -> Network {
        let mut network = Network {
            now: Duration::from_secs(1),
            nodes: BTreeMap::new(),
            dead: BTreeSet::new(),
            blocked_pairs: BTreeSet::new(),
            packets: Vec::new(),
        };
        let seeds: Vec<Member> = (1..=count).map(|id| member(id, 0)).collect();
        for id in 1..=count {
            network
                .nodes
                .insert(id, Swim::new(member(id, 1), seeds.clone(), TIMING, id, network.now));
        }
        network
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for (from, to, packet) in std::mem::take(&mut self.packets) {
                let is_blocked = self.blocked_pairs.contains(&(from, to))
                    || self.blocked_pairs.contains(&(to, from));
                if is_blocked || self.dead.contains(&to) {
                    continue;
                }
                let replies =
                    self.nodes.get_mut(&to).map(|node| node.receive(from, packet, self.now));
                self.packets.extend(replies.into_iter().flatten().map(|(next, p)| (to, next, p)));
            }
            for (id, node) in self.nodes.iter_mut().filter(|(id, _)| !self.dead.contains(id)) {
                self.packets.extend(node.tick(self.now).into_iter().map(|(to, p)| (*id, to, p)));
            }
        }
    }

    fn status_at(&self, node: NodeId, other: NodeId) -> Option<Status> {
        self.nodes[&node].status(other)
    }

    fn isolate(&mut self, node: NodeId) {
        self.blocked_pairs
            .extend(self.nodes.keys().filter(|id| **id != node).map(|id| (node, *id)));
    }
}

#[test]
fn a_dead_node_is_detected_by_all_and_live_nodes_stay_live() {
    let mut network = Network::new(8);
    network.run_for(Duration::from_secs(10));
    assert!(network.nodes.values().all(|node| node.live().len() == 8));
    network.dead.insert(5);
    network.run_for(Duration::from_secs(20));
    for node in (1..=8).filter(|id| *id != 5) {
        assert_eq!(network.status_at(node, 5), Some(Status::Dead), "at {node}");
        assert_eq!(network.nodes[&node].live().len(), 7, "at {node}");
    }
}

#[test]
fn a_node_that_one_other_cannot_reach_is_not_declared_dead() {
    let mut network = Network::new(8);
    network.blocked_pairs.insert((1, 2));
    network.run_for(Duration::from_secs(60));
    assert!(
        network.nodes.values().all(|node| node.live().len() == 8),
        "other nodes must probe it indirectly"
    );
}

#[test]
fn an_isolated_node_rejoins_when_the_partition_heals() {
    let mut network = Network::new(6);
    network.isolate(3);
    network.run_for(Duration::from_secs(60));
    assert_eq!(network.status_at(1, 3), Some(Status::Dead));
    assert_eq!(network.nodes[&3].live().len(), 1, "only itself is live");
    network.blocked_pairs.clear();
    network.run_for(Duration::from_secs(40));
    assert!(network.nodes.values().all(|node| node.live().len() == 6));
}

#[test]
fn a_restarted_node_is_live_again() {
    let mut network = Network::new(4);
    network.dead.insert(2);
    network.run_for(Duration::from_secs(20));
    assert_eq!(network.status_at(1, 2), Some(Status::Dead));
    network.dead.clear();
    let seeds = (1..=4).map(|id| member(id, 0)).collect();
    network.nodes.insert(2, Swim::new(member(2, 50), seeds, TIMING, 99, network.now));
    network.run_for(Duration::from_secs(10));
    assert!(network.nodes.values().all(|node| node.live().len() == 4));
}

#[test]
fn a_leaving_target_is_known_to_all_nodes_within_three_seconds() {
    let mut network = Network::new(8);
    network.run_for(Duration::from_secs(5));
    let leaving = LeavingTarget { target: "engine-1".into(), incarnation: 1 };
    let mut informed_nodes = BTreeSet::from([4]);
    network.nodes.get_mut(&4).expect("unknown node").announce_leaving(leaving.clone());
    for _ in 0..60 {
        network.run_for(STEP);
        for (id, node) in &mut network.nodes {
            // A node announces what it learned for the first time.
            if node.take_leaving_targets().contains(&leaving) && informed_nodes.insert(*id) {
                node.announce_leaving(leaving.clone());
            }
        }
    }
    assert_eq!(informed_nodes.len(), 8, "nodes informed after three seconds");
}
