//! Membership on a virtual network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kumquatpost::ids::NodeId;
use kumquatpost::membership::{Member, Packet, Status, Swim, SwimTiming};
use kumquatpost::route::targets::LeavingTarget;

const TIMING: SwimTiming = SwimTiming { probe_interval: Duration::from_millis(500) };
const STEP: Duration = Duration::from_millis(50);

struct Net {
    now: Duration,
    nodes: BTreeMap<NodeId, Swim>,
    dead: BTreeSet<NodeId>,
    /// Pairs that can't hear each other.
    cut: BTreeSet<(NodeId, NodeId)>,
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

impl Net {
    fn new(count: u64) -> Net {
        let mut net = Net {
            now: Duration::from_secs(1),
            nodes: BTreeMap::new(),
            dead: BTreeSet::new(),
            cut: BTreeSet::new(),
            packets: Vec::new(),
        };
        let seeds: Vec<Member> = (1..=count).map(|id| member(id, 0)).collect();
        for id in 1..=count {
            net.nodes.insert(id, Swim::new(member(id, 1), seeds.clone(), TIMING, id, net.now));
        }
        net
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (from, to, packet) in std::mem::take(&mut self.packets) {
                let unheard = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
                if unheard || self.dead.contains(&to) {
                    continue;
                }
                let out = self.nodes.get_mut(&to).map(|node| node.receive(from, packet, self.now));
                self.packets.extend(out.into_iter().flatten().map(|(next, p)| (to, next, p)));
            }
            for (id, node) in self.nodes.iter_mut().filter(|(id, _)| !self.dead.contains(id)) {
                self.packets.extend(node.tick(self.now).into_iter().map(|(to, p)| (*id, to, p)));
            }
        }
    }

    fn sees(&self, node: NodeId, other: NodeId) -> Option<Status> {
        self.nodes[&node].status(other)
    }

    fn cut_off(&mut self, node: NodeId) {
        self.cut.extend(self.nodes.keys().filter(|id| **id != node).map(|id| (node, *id)));
    }
}

#[test]
fn a_dead_node_is_noticed_by_all_and_the_living_are_not_suspected() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(10));
    assert!(net.nodes.values().all(|node| node.live().len() == 8));
    net.dead.insert(5);
    net.run(Duration::from_secs(20));
    for node in (1..=8).filter(|id| *id != 5) {
        assert_eq!(net.sees(node, 5), Some(Status::Dead), "at {node}");
        assert_eq!(net.nodes[&node].live().len(), 7, "at {node}");
    }
}

#[test]
fn a_node_that_one_other_can_not_hear_is_not_taken_for_dead() {
    let mut net = Net::new(8);
    net.cut.insert((1, 2));
    net.run(Duration::from_secs(60));
    assert!(net.nodes.values().all(|node| node.live().len() == 8), "others probe it instead");
}

#[test]
fn a_cut_off_node_comes_back_when_the_cut_heals() {
    let mut net = Net::new(6);
    net.cut_off(3);
    net.run(Duration::from_secs(60));
    assert_eq!(net.sees(1, 3), Some(Status::Dead));
    assert_eq!(net.nodes[&3].live().len(), 1, "it sees nobody");
    net.cut.clear();
    net.run(Duration::from_secs(40));
    assert!(net.nodes.values().all(|node| node.live().len() == 6));
}

#[test]
fn a_restarted_node_counts_again() {
    let mut net = Net::new(4);
    net.dead.insert(2);
    net.run(Duration::from_secs(20));
    assert_eq!(net.sees(1, 2), Some(Status::Dead));
    net.dead.clear();
    let seeds = (1..=4).map(|id| member(id, 0)).collect();
    net.nodes.insert(2, Swim::new(member(2, 50), seeds, TIMING, 99, net.now));
    net.run(Duration::from_secs(10));
    assert!(net.nodes.values().all(|node| node.live().len() == 4));
}

#[test]
fn news_of_a_leaving_target_reach_everybody_in_seconds() {
    let mut net = Net::new(8);
    net.run(Duration::from_secs(5));
    let leaving = LeavingTarget { target: "engine-1".into(), incarnation: 1 };
    let mut heard = BTreeSet::from([4]);
    net.nodes.get_mut(&4).expect("a node").announce_leaving(leaving.clone());
    for _ in 0..60 {
        net.run(STEP);
        for (id, node) in &mut net.nodes {
            // As the node around it does: what is news goes on.
            if node.take_leaving_targets().contains(&leaving) && heard.insert(*id) {
                node.announce_leaving(leaving.clone());
            }
        }
    }
    assert_eq!(heard.len(), 8, "after three seconds");
}
