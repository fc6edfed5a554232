//! SWIM-like membership as a state machine without I/O: probes, indirect probes, suspicion, refutation and gossip.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::{DomainId, NodeId};
use crate::route::targets::LeavingTarget;

/// Number of nodes that are asked to probe a node that did not acknowledge a ping.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of queued gossip items in one packet.
const MAX_ITEMS_PER_PACKET: usize = 8;
/// An item is sent this many times, multiplied by log2 of the number of nodes.
const RETRANSMIT_FACTOR: u32 = 3;
/// A suspect that does not refute within this many probe intervals, multiplied by log2 of the number of nodes, is
/// considered dead.
const SUSPICION_FACTOR: u32 = 4;
/// Every so many probe periods a dead node is probed, so that the end of a network partition is noticed.
const DEAD_PROBE_INTERVAL_PERIODS: u64 = 4;

/// Increases with each start and refutation of a node; reports with a higher number are newer.
pub type NodeIncarnation = u64;

/// Timing of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimTiming {
    /// Interval between a node's probes.
    pub probe_interval: Duration,
}

/// The status of a node. Of two reports with the same incarnation, the one with the greater status wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It acknowledges pings.
    Alive,
    /// It did not acknowledge a ping, and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
}

/// What nodes tell each other about a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub node: NodeId,
    /// Its address for TCP and UDP.
    pub address: SocketAddr,
    pub failure_domain: DomainId,
    /// The incarnation that `status` refers to.
    pub incarnation: NodeIncarnation,
    pub status: Status,
}

/// Information that is spread in the packets of probes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipItem {
    /// The status of a node.
    Member(Member),
    /// A target that is leaving.
    Leaving(LeavingTarget),
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    pub body: Body,
    /// The gossip items that are sent along.
    pub items: Vec<GossipItem>,
}

/// The request or reply in a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an `Ack`.
    Ping {
        /// The sender's number for the probe.
        probe: u64,
    },
    /// Reply to `Ping`, also passed on to the sender of a `PingRequest`.
    Ack {
        /// The number from the `Ping` or `PingRequest`.
        probe: u64,
    },
    /// Asks the receiver to ping another node and to pass on its `Ack`.
    PingRequest {
        /// The sender's number for the probe.
        probe: u64,
        target: NodeId,
    },
}

/// The membership state machine of one node.
#[derive(Clone, Debug)]
pub struct Swim {
    local: Member,
    timing: SwimTiming,
    random: SmallRng,
    members: BTreeMap<NodeId, MemberState>,
    /// Nodes that are still to be probed in this round, in random order.
    probe_order: Vec<NodeId>,
    probe: Option<Probe>,
    last_probe_number: u64,
    period_count: u64,
    period_ends_at: BootTime,
    /// Probes on behalf of other nodes: this node's number, the requesting node, and its number.
    relayed_probes: Vec<(u64, NodeId, u64)>,
    /// Gossip items, each with the number of times that it is still to be sent.
    gossip_queue: Vec<(GossipItem, u32)>,
    leaving_targets: Vec<LeavingTarget>,
}

#[derive(Clone, Debug)]
struct MemberState {
    member: Member,
    /// When the node is considered dead if it is still a suspect.
    suspicion_ends_at: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    target: NodeId,
    /// When other nodes are asked to probe the target.
    indirect_at: BootTime,
    sent_indirect: bool,
}

impl Swim {
    /// Creates the state of a node that is starting. The `seeds` are considered alive until a probe of them fails.
    /// `local.incarnation` must be greater than at any earlier start.
    pub fn new(
        local: Member,
        seeds: Vec<Member>,
        timing: SwimTiming,
        seed: u64,
        now: BootTime,
    ) -> Swim {
        let local_id = local.node;
        let known = |member: Member| {
            (member.node, MemberState { member, suspicion_ends_at: BootTime::ZERO })
        };
        let members = seeds.into_iter().filter(|seed| seed.node != local_id).map(known).collect();
        let mut swim = Swim {
            local: local.clone(),
            timing,
            random: SmallRng::seed_from_u64(seed),
            members,
            probe_order: Vec::new(),
            probe: None,
            last_probe_number: 1,
            period_count: 0,
            period_ends_at: now,
            relayed_probes: Vec::new(),
            gossip_queue: Vec::new(),
            leaving_targets: Vec::new(),
        };
        swim.enqueue_gossip(GossipItem::Member(local));
        swim
    }

    /// All nodes that are not considered dead, this one first.
    pub fn live(&self) -> Vec<Member> {
        let others = self.members.values().map(|known| &known.member);
        let live = others.filter(|member| member.status != Status::Dead);
        std::iter::once(&self.local).chain(live).cloned().collect()
    }

    /// All other known nodes, including dead ones.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// The status of a node; `None` if it is unknown.
    pub fn status(&self, node: NodeId) -> Option<Status> {
        if node == self.local.node {
            return Some(Status::Alive);
        }
        self.members.get(&node).map(|known| known.member.status)
    }

    /// Tells the other nodes that a target is leaving.
    pub fn announce_leaving(&mut self, leaving: LeavingTarget) {
        self.enqueue_gossip(GossipItem::Leaving(leaving));
    }

    /// Takes the targets that other nodes have reported as leaving since the last call.
    pub fn take_leaving_targets(&mut self) -> Vec<LeavingTarget> {
        std::mem::take(&mut self.leaving_targets)
    }

    /// Advances time. Returns packets to send.
    pub fn tick(&mut self, now: BootTime) -> Vec<(NodeId, Packet)> {
        let mut out = Vec::new();
        self.expire_suspects(now);
        if let Some(probe) = self.probe
            && now >= probe.indirect_at
            && !probe.sent_indirect
        {
            self.probe = Some(Probe { sent_indirect: true, ..probe });
            let body = Body::PingRequest { probe: probe.number, target: probe.target };
            for prober in self.pick_indirect_probers(probe.target) {
                out.push((prober, self.packet(body)));
            }
        }
        if now >= self.period_ends_at {
            if let Some(probe) = self.probe.take() {
                self.suspect(probe.target, now);
            }
            self.period_ends_at = now + self.timing.probe_interval;
            self.period_count += 1;
            out.extend(self.start_probe(now));
        }
        out
    }

    /// Processes a packet. Returns packets to send.
    pub fn receive(
        &mut self,
        from: NodeId,
        packet: Packet,
        now: BootTime,
    ) -> Vec<(NodeId, Packet)> {
        for item in packet.items {
            match item {
                GossipItem::Member(member) => self.apply_member_update(member, now),
                GossipItem::Leaving(leaving) => self.apply_leaving(leaving),
            }
        }
        match packet.body {
            Body::Ping { probe } => {
                let mut out = vec![(from, self.packet(Body::Ack { probe }))];
                out.extend(self.notify_if_suspected(from));
                out
            }
            Body::Ack { probe } => self.on_ack(from, probe),
            Body::PingRequest { probe, target } => {
                let number = self.take_probe_number();
                self.relayed_probes.push((number, from, probe));
                // The oldest requests are dropped; their targets have most likely not replied.
                if self.relayed_probes.len() > 64 {
                    self.relayed_probes.remove(0);
                }
                vec![(target, self.packet(Body::Ping { probe: number }))]
            }
        }
    }

    fn on_ack(&mut self, from: NodeId, probe: u64) -> Vec<(NodeId, Packet)> {
        if self.probe.is_some_and(|current| current.number == probe) {
            self.probe = None;
            return Vec::new();
        }
        let Some(position) = self.relayed_probes.iter().position(|(number, ..)| *number == probe)
        else {
            return Vec::new();
        };
        let (_, requester, number) = self.relayed_probes.remove(position);
        if requester == from {
            return Vec::new();
        }
        vec![(requester, self.packet(Body::Ack { probe: number }))]
    }

    /// A packet that tells a node that it is considered suspect or dead, so that it can refute that.
    fn notify_if_suspected(&mut self, node: NodeId) -> Option<(NodeId, Packet)> {
        let member = &self.members.get(&node)?.member;
        if member.status == Status::Alive {
            return None;
        }
        let item = GossipItem::Member(member.clone());
        let probe = self.take_probe_number();
        let mut packet = self.packet(Body::Ping { probe });
        packet.items.insert(0, item);
        Some((node, packet))
    }

    fn start_probe(&mut self, now: BootTime) -> Option<(NodeId, Packet)> {
        let target = self.next_target()?;
        let number = self.take_probe_number();
        let indirect_at = now + self.timing.probe_interval / 3;
        let is_dead = self.status(target) == Some(Status::Dead);
        self.probe =
            (!is_dead).then_some(Probe { number, target, indirect_at, sent_indirect: false });
        let mut packet = self.packet(Body::Ping { probe: number });
        if is_dead && let Some(known) = self.members.get(&target) {
            // Tells the node that it is considered dead, so that it can refute that.
            packet.items.insert(0, GossipItem::Member(known.member.clone()));
        }
        Some((target, packet))
    }

    /// The next node to probe; `None` if there is no other node.
    fn next_target(&mut self) -> Option<NodeId> {
        if self.period_count.is_multiple_of(DEAD_PROBE_INTERVAL_PERIODS) {
            let dead = self.nodes_with_status(|status| status == Status::Dead);
            if !dead.is_empty() {
                return dead.get(self.random.random_range(0..dead.len())).copied();
            }
        }
        while let Some(target) = self.probe_order.pop() {
            if self.status(target).is_some_and(|status| status != Status::Dead) {
                return Some(target);
            }
        }
        self.probe_order = self.nodes_with_status(|status| status != Status::Dead);
        self.probe_order.shuffle(&mut self.random);
        self.probe_order.pop()
    }

    /// Random live nodes to send a `PingRequest` to.
    fn pick_indirect_probers(&mut self, except: NodeId) -> Vec<NodeId> {
        let mut alive = self.nodes_with_status(|status| status == Status::Alive);
        alive.retain(|node| *node != except);
        alive.shuffle(&mut self.random);
        alive.truncate(INDIRECT_PROBES);
        alive
    }

    fn nodes_with_status(&self, wanted: impl Fn(Status) -> bool) -> Vec<NodeId> {
        let known = self.members.values().filter(|known| wanted(known.member.status));
        known.map(|known| known.member.node).collect()
    }

    fn suspect(&mut self, node: NodeId, now: BootTime) {
        let Some(known) = self.members.get(&node) else { return };
        if known.member.status == Status::Alive {
            let member = Member { status: Status::Suspect, ..known.member.clone() };
            self.apply_member_update(member, now);
        }
    }

    fn expire_suspects(&mut self, now: BootTime) {
        let expired: Vec<Member> = self
            .members
            .values()
            .filter(|known| {
                known.member.status == Status::Suspect && known.suspicion_ends_at <= now
            })
            .map(|known| Member { status: Status::Dead, ..known.member.clone() })
            .collect();
        for member in expired {
            self.apply_member_update(member, now);
        }
    }

    /// Applies a report about a node if it is newer than what is known, and spreads it.
    fn apply_member_update(&mut self, update: Member, now: BootTime) {
        if update.node == self.local.node {
            self.refute(&update);
            return;
        }
        let suspicion = self.timing.probe_interval * SUSPICION_FACTOR * self.log2_node_count();
        let is_new = match self.members.get(&update.node) {
            None => true,
            Some(known) => {
                let old = (known.member.incarnation, known.member.status);
                (update.incarnation, update.status) > old
            }
        };
        if is_new {
            let known = MemberState { member: update.clone(), suspicion_ends_at: now + suspicion };
            self.members.insert(update.node, known);
            self.enqueue_gossip(GossipItem::Member(update));
        }
    }

    /// Refutes a report that this node is suspect or dead, with a higher incarnation.
    fn refute(&mut self, update: &Member) {
        let must_refute =
            update.status != Status::Alive && update.incarnation >= self.local.incarnation;
        if must_refute {
            self.local.incarnation = update.incarnation + 1;
            self.enqueue_gossip(GossipItem::Member(self.local.clone()));
        }
    }

    fn apply_leaving(&mut self, leaving: LeavingTarget) {
        let known =
            self.gossip_queue.iter().any(|(item, _)| *item == GossipItem::Leaving(leaving.clone()));
        if !known {
            self.leaving_targets.push(leaving);
        }
    }

    /// Queues an item; an item about a node replaces a queued one about the same node.
    fn enqueue_gossip(&mut self, item: GossipItem) {
        let about = |item: &GossipItem| match item {
            GossipItem::Member(member) => Some(member.node),
            GossipItem::Leaving(_) => None,
        };
        let node = about(&item);
        self.gossip_queue.retain(|(other, _)| node.is_none() || about(other) != node);
        let transmissions = RETRANSMIT_FACTOR * self.log2_node_count();
        self.gossip_queue.push((item, transmissions));
    }

    /// Creates a packet with the queued items that are still to be sent most often.
    fn packet(&mut self, body: Body) -> Packet {
        self.gossip_queue.sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        let mut items = Vec::new();
        for (item, remaining) in self.gossip_queue.iter_mut().take(MAX_ITEMS_PER_PACKET) {
            items.push(item.clone());
            *remaining -= 1;
        }
        self.gossip_queue.retain(|(_, remaining)| *remaining > 0);
        // With nothing queued, the packet still announces this node, so that restarted nodes learn of it.
        if items.is_empty() {
            items.push(GossipItem::Member(self.local.clone()));
        }
        Packet { body, items }
    }

    fn take_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }

    /// The logarithm of the number of nodes, at least 1.
    fn log2_node_count(&self) -> u32 {
        (self.members.len() as u32 + 2).ilog2().max(1)
    }
}
