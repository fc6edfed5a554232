//! SWIM-like membership as a state machine: probes, indirect probes, suspicion, refutation.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::{DomainId, NodeId};
use crate::route::targets::Leaving;

/// Nodes asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Items that travel in one packet.
const MAX_ITEMS_PER_PACKET: usize = 8;
/// An item travels this often, times the logarithm of the number of nodes.
const RETRANSMIT_FACTOR: u32 = 3;
/// A suspect that does not refute within this many probe periods is dead, at the least.
const SUSPICION_FACTOR: u32 = 4;
/// Every so many periods a dead node is probed too, so that a healed cut is noticed.
const DEAD_PROBE_INTERVAL_PERIODS: u64 = 4;

/// Counts a node's starts and refutations; a higher number is newer.
pub type NodeIncarnation = u64;

/// Periods of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimTiming {
    /// How often a node probes another one.
    pub probe_interval: Duration,
}

/// What is thought of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer; it may still refute that.
    Suspect,
    /// It is taken for dead.
    Dead,
}

/// A node as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Where it is reached over TCP and UDP.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// What `status` is about.
    pub incarnation: NodeIncarnation,
    /// What is thought of it.
    pub status: Status,
}

/// News that travel with probes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipItem {
    /// Of a node.
    Member(Member),
    /// Of a target that leaves.
    Leaving(Leaving),
}

/// A packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// What it asks or answers.
    pub body: Body,
    /// News.
    pub items: Vec<GossipItem>,
}

/// What a packet asks or answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Do you live?
    Ping {
        /// Names the probe.
        probe: u64,
    },
    /// I do.
    Ack {
        /// The probe.
        probe: u64,
    },
    /// Please ask that node for me.
    PingRequest {
        /// Names the probe.
        probe: u64,
        /// The node to ask.
        target: NodeId,
    },
}

/// What one node knows of all others.
#[derive(Clone, Debug)]
pub struct Swim {
    local: Member,
    timing: SwimTiming,
    random: SmallRng,
    members: BTreeMap<NodeId, MemberState>,
    /// Nodes still to be probed in this round, in random order.
    probe_order: Vec<NodeId>,
    probe: Option<Probe>,
    last_probe_number: u64,
    period_count: u64,
    period_ends_at: BootTime,
    /// Probes made for others: our number, who asked, and its number.
    relayed_probes: Vec<(u64, NodeId, u64)>,
    /// News with the number of packets that still carry each.
    gossip_queue: Vec<(GossipItem, u32)>,
    leaving_targets: Vec<Leaving>,
}

#[derive(Clone, Debug)]
struct MemberState {
    member: Member,
    /// When a suspect is taken for dead.
    suspicion_ends_at: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    target: NodeId,
    /// When others are asked to probe it.
    indirect_at: BootTime,
    sent_indirect: bool,
}

impl Swim {
    /// A node that has just started and knows `seeds`, which count as alive until they don't
    /// answer. `me.incarnation` must be greater than at any earlier start.
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

    /// All nodes that are not taken for dead, this one first.
    pub fn live(&self) -> Vec<Member> {
        let others = self.members.values().map(|known| &known.member);
        let live = others.filter(|member| member.status != Status::Dead);
        std::iter::once(&self.local).chain(live).cloned().collect()
    }

    /// All other nodes that are known, dead ones too.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// What is thought of a node.
    pub fn status(&self, node: NodeId) -> Option<Status> {
        if node == self.local.node {
            return Some(Status::Alive);
        }
        self.members.get(&node).map(|known| known.member.status)
    }

    /// Spreads the news that a target leaves.
    pub fn announce_leaving(&mut self, leaving: Leaving) {
        self.enqueue_gossip(GossipItem::Leaving(leaving));
    }

    /// Targets that other nodes saw leaving, since the last call.
    pub fn take_leaving_targets(&mut self) -> Vec<Leaving> {
        std::mem::take(&mut self.leaving_targets)
    }

    /// Lets time pass. Returns packets to send.
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

    /// Takes a packet. Returns packets to send.
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
                // Requests of which no answer came are forgotten, oldest first.
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

    /// A node that others suspect must hear of it soon, so that it can refute.
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
            // It learns that it is taken for dead, and refutes.
            packet.items.insert(0, GossipItem::Member(known.member.clone()));
        }
        Some((target, packet))
    }

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

    fn refute(&mut self, update: &Member) {
        let must_refute =
            update.status != Status::Alive && update.incarnation >= self.local.incarnation;
        if must_refute {
            self.local.incarnation = update.incarnation + 1;
            self.enqueue_gossip(GossipItem::Member(self.local.clone()));
        }
    }

    fn apply_leaving(&mut self, leaving: Leaving) {
        let known =
            self.gossip_queue.iter().any(|(item, _)| *item == GossipItem::Leaving(leaving.clone()));
        if !known {
            self.leaving_targets.push(leaving);
        }
    }

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

    /// A packet with the news that travelled least.
    fn packet(&mut self, body: Body) -> Packet {
        self.gossip_queue.sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        let mut items = Vec::new();
        for (item, remaining) in self.gossip_queue.iter_mut().take(MAX_ITEMS_PER_PACKET) {
            items.push(item.clone());
            *remaining -= 1;
        }
        self.gossip_queue.retain(|(_, remaining)| *remaining > 0);
        // This node's own existence always travels: a node that restarted learns of it so.
        if items.is_empty() {
            items.push(GossipItem::Member(self.local.clone()));
        }
        Packet { body, items }
    }

    fn take_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }

    fn log2_node_count(&self) -> u32 {
        (self.members.len() as u32 + 2).ilog2().max(1)
    }
}
