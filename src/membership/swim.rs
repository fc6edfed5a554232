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
use crate::route::targets::LeavingTarget;

/// Nodes asked to probe one that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Items that travel in one packet.
const ITEMS_PER_PACKET: usize = 8;
/// An item travels this often, times the logarithm of the number of nodes.
const SPREAD_FACTOR: u32 = 3;
/// A suspect that does not refute within this many probe periods is dead, at the least.
const SUSPECT_PERIODS: u32 = 4;
/// Every so many periods a dead node is probed too, so that a healed cut is noticed.
const DEAD_PROBE_EVERY: u64 = 4;

/// Counts a node's starts and refutations; a higher number is newer.
pub type NodeIncarnation = u64;

/// Periods of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwimTiming {
    /// How often a node probes another one.
    pub probe: Duration,
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
pub enum Item {
    /// Of a node.
    Member(Member),
    /// Of a target that leaves.
    Leaving(LeavingTarget),
}

/// A packet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// What it asks or answers.
    pub body: Body,
    /// News.
    pub items: Vec<Item>,
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
    PingFor {
        /// Names the probe.
        probe: u64,
        /// The node to ask.
        target: NodeId,
    },
}

/// What one node knows of all others.
#[derive(Clone, Debug)]
pub struct Swim {
    me: Member,
    timing: SwimTiming,
    random: SmallRng,
    members: BTreeMap<NodeId, Known>,
    /// Nodes still to be probed in this round, in random order.
    round: Vec<NodeId>,
    probe: Option<Probe>,
    next_probe: u64,
    periods: u64,
    period_ends: BootTime,
    /// Probes made for others: our number, who asked, and its number.
    relayed: Vec<(u64, NodeId, u64)>,
    /// News with the number of packets that still carry each.
    spreading: Vec<(Item, u32)>,
    heard_leaving: Vec<LeavingTarget>,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    /// When a suspect is taken for dead.
    dead_at: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    target: NodeId,
    /// When others are asked to probe it.
    indirect_at: BootTime,
    asked_others: bool,
}

impl Swim {
    /// A node that has just started and knows `seeds`, which count as alive until they don't
    /// answer. `me.incarnation` must be greater than at any earlier start.
    pub fn new(
        me: Member,
        seeds: Vec<Member>,
        timing: SwimTiming,
        seed: u64,
        now: BootTime,
    ) -> Swim {
        let me_id = me.node;
        let known = |member: Member| (member.node, Known { member, dead_at: BootTime::ZERO });
        let members = seeds.into_iter().filter(|seed| seed.node != me_id).map(known).collect();
        let mut swim = Swim {
            me: me.clone(),
            timing,
            random: SmallRng::seed_from_u64(seed),
            members,
            round: Vec::new(),
            probe: None,
            next_probe: 1,
            periods: 0,
            period_ends: now,
            relayed: Vec::new(),
            spreading: Vec::new(),
            heard_leaving: Vec::new(),
        };
        swim.spread(Item::Member(me));
        swim
    }

    /// All nodes that are not taken for dead, this one first.
    pub fn live(&self) -> Vec<Member> {
        let others = self.members.values().map(|known| &known.member);
        let live = others.filter(|member| member.status != Status::Dead);
        std::iter::once(&self.me).chain(live).cloned().collect()
    }

    /// All other nodes that are known, dead ones too.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|known| &known.member)
    }

    /// What is thought of a node.
    pub fn status(&self, node: NodeId) -> Option<Status> {
        if node == self.me.node {
            return Some(Status::Alive);
        }
        self.members.get(&node).map(|known| known.member.status)
    }

    /// Spreads the news that a target leaves.
    pub fn tell_leaving(&mut self, leaving: LeavingTarget) {
        self.spread(Item::Leaving(leaving));
    }

    /// Targets that other nodes saw leaving, since the last call.
    pub fn take_heard_leaving(&mut self) -> Vec<LeavingTarget> {
        std::mem::take(&mut self.heard_leaving)
    }

    /// Lets time pass. Returns packets to send.
    pub fn tick(&mut self, now: BootTime) -> Vec<(NodeId, Packet)> {
        let mut out = Vec::new();
        self.bury_suspects(now);
        if let Some(probe) = self.probe
            && now >= probe.indirect_at
            && !probe.asked_others
        {
            self.probe = Some(Probe { asked_others: true, ..probe });
            let body = Body::PingFor { probe: probe.number, target: probe.target };
            for helper in self.helpers(probe.target) {
                out.push((helper, self.packet(body)));
            }
        }
        if now >= self.period_ends {
            if let Some(probe) = self.probe.take() {
                self.suspect(probe.target, now);
            }
            self.period_ends = now + self.timing.probe;
            self.periods += 1;
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
                Item::Member(member) => self.learn(member, now),
                Item::Leaving(leaving) => self.learn_leaving(leaving),
            }
        }
        match packet.body {
            Body::Ping { probe } => {
                let mut out = vec![(from, self.packet(Body::Ack { probe }))];
                out.extend(self.tell_if_suspected(from));
                out
            }
            Body::Ack { probe } => self.on_ack(from, probe),
            Body::PingFor { probe, target } => {
                let number = self.take_number();
                self.relayed.push((number, from, probe));
                // Requests of which no answer came are forgotten, oldest first.
                if self.relayed.len() > 64 {
                    self.relayed.remove(0);
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
        let Some(position) = self.relayed.iter().position(|(number, ..)| *number == probe) else {
            return Vec::new();
        };
        let (_, asker, number) = self.relayed.remove(position);
        if asker == from {
            return Vec::new();
        }
        vec![(asker, self.packet(Body::Ack { probe: number }))]
    }

    /// A node that others suspect must hear of it soon, so that it can refute.
    fn tell_if_suspected(&mut self, node: NodeId) -> Option<(NodeId, Packet)> {
        let member = &self.members.get(&node)?.member;
        if member.status == Status::Alive {
            return None;
        }
        let item = Item::Member(member.clone());
        let probe = self.take_number();
        let mut packet = self.packet(Body::Ping { probe });
        packet.items.insert(0, item);
        Some((node, packet))
    }

    fn start_probe(&mut self, now: BootTime) -> Option<(NodeId, Packet)> {
        let target = self.next_target()?;
        let number = self.take_number();
        let indirect_at = now + self.timing.probe / 3;
        let is_dead = self.status(target) == Some(Status::Dead);
        self.probe =
            (!is_dead).then_some(Probe { number, target, indirect_at, asked_others: false });
        let mut packet = self.packet(Body::Ping { probe: number });
        if is_dead && let Some(known) = self.members.get(&target) {
            // It learns that it is taken for dead, and refutes.
            packet.items.insert(0, Item::Member(known.member.clone()));
        }
        Some((target, packet))
    }

    fn next_target(&mut self) -> Option<NodeId> {
        if self.periods.is_multiple_of(DEAD_PROBE_EVERY) {
            let dead = self.ids(|status| status == Status::Dead);
            if !dead.is_empty() {
                return dead.get(self.random.random_range(0..dead.len())).copied();
            }
        }
        while let Some(target) = self.round.pop() {
            if self.status(target).is_some_and(|status| status != Status::Dead) {
                return Some(target);
            }
        }
        self.round = self.ids(|status| status != Status::Dead);
        self.round.shuffle(&mut self.random);
        self.round.pop()
    }

    fn helpers(&mut self, except: NodeId) -> Vec<NodeId> {
        let mut alive = self.ids(|status| status == Status::Alive);
        alive.retain(|node| *node != except);
        alive.shuffle(&mut self.random);
        alive.truncate(INDIRECT_PROBES);
        alive
    }

    fn ids(&self, wanted: impl Fn(Status) -> bool) -> Vec<NodeId> {
        let known = self.members.values().filter(|known| wanted(known.member.status));
        known.map(|known| known.member.node).collect()
    }

    fn suspect(&mut self, node: NodeId, now: BootTime) {
        let Some(known) = self.members.get(&node) else { return };
        if known.member.status == Status::Alive {
            let member = Member { status: Status::Suspect, ..known.member.clone() };
            self.learn(member, now);
        }
    }

    fn bury_suspects(&mut self, now: BootTime) {
        let late: Vec<Member> = self
            .members
            .values()
            .filter(|known| known.member.status == Status::Suspect && known.dead_at <= now)
            .map(|known| Member { status: Status::Dead, ..known.member.clone() })
            .collect();
        for member in late {
            self.learn(member, now);
        }
    }

    fn learn(&mut self, news: Member, now: BootTime) {
        if news.node == self.me.node {
            self.refute(&news);
            return;
        }
        let suspicion = self.timing.probe * SUSPECT_PERIODS * self.logarithm();
        let is_new = match self.members.get(&news.node) {
            None => true,
            Some(known) => {
                let old = (known.member.incarnation, known.member.status);
                (news.incarnation, news.status) > old
            }
        };
        if is_new {
            let known = Known { member: news.clone(), dead_at: now + suspicion };
            self.members.insert(news.node, known);
            self.spread(Item::Member(news));
        }
    }

    fn refute(&mut self, news: &Member) {
        let outdated = news.status != Status::Alive && news.incarnation >= self.me.incarnation;
        if outdated {
            self.me.incarnation = news.incarnation + 1;
            self.spread(Item::Member(self.me.clone()));
        }
    }

    fn learn_leaving(&mut self, leaving: LeavingTarget) {
        let known = self.spreading.iter().any(|(item, _)| *item == Item::Leaving(leaving.clone()));
        if !known {
            self.heard_leaving.push(leaving);
        }
    }

    fn spread(&mut self, item: Item) {
        let about = |item: &Item| match item {
            Item::Member(member) => Some(member.node),
            Item::Leaving(_) => None,
        };
        let node = about(&item);
        self.spreading.retain(|(other, _)| node.is_none() || about(other) != node);
        let times = SPREAD_FACTOR * self.logarithm();
        self.spreading.push((item, times));
    }

    /// A packet with the news that travelled least.
    fn packet(&mut self, body: Body) -> Packet {
        self.spreading.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        let mut items = Vec::new();
        for (item, left) in self.spreading.iter_mut().take(ITEMS_PER_PACKET) {
            items.push(item.clone());
            *left -= 1;
        }
        self.spreading.retain(|(_, left)| *left > 0);
        // This node's own existence always travels: a node that restarted learns of it so.
        if items.is_empty() {
            items.push(Item::Member(self.me.clone()));
        }
        Packet { body, items }
    }

    fn take_number(&mut self) -> u64 {
        self.next_probe += 1;
        self.next_probe
    }

    fn logarithm(&self) -> u32 {
        (self.members.len() as u32 + 2).ilog2().max(1)
    }
}
