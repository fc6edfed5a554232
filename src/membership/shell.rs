//! The actor around `Swim`: a UDP socket and a timer.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use xtra::prelude::*;

use super::swim::{Member, Packet, Swim};
use crate::clock::boot_now;
use crate::ids::NodeId;
use crate::peer::Links;
use crate::peer::auth::{DatagramOpener, DatagramSealer};
use crate::route::targets::LeavingTarget;

/// Largest datagram that is read.
const DATAGRAM_BYTES: usize = 60_000;

/// What the rest of the node sees of membership.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Nodes that are not taken for dead, this one first.
    pub live: Vec<Member>,
    /// Targets that other nodes saw leaving; whoever takes them empties the list.
    pub heard_leaving: Vec<LeavingTarget>,
}

/// The actor.
#[derive(xtra::Actor)]
pub struct Membership {
    swim: Swim,
    socket: Arc<UdpSocket>,
    sealer: DatagramSealer,
    opener: DatagramOpener,
    links: Arc<Links>,
    known: Arc<Mutex<Known>>,
}

/// Time passes.
pub struct Tick;

/// A datagram came.
pub struct Datagram(pub Vec<u8>);

/// This node saw a target leaving.
pub struct TellLeaving(pub LeavingTarget);

impl Membership {
    /// The actor, not started yet.
    pub fn new(
        swim: Swim,
        socket: Arc<UdpSocket>,
        sealer: DatagramSealer,
        opener: DatagramOpener,
        links: Arc<Links>,
        known: Arc<Mutex<Known>>,
    ) -> Membership {
        Membership { swim, socket, sealer, opener, links, known }
    }

    async fn send_all(&mut self, packets: Vec<(NodeId, Packet)>) {
        let addresses: Vec<(NodeId, SocketAddr)> =
            self.swim.members().map(|member| (member.node, member.address)).collect();
        for (to, packet) in packets {
            let address = addresses.iter().find(|(node, _)| *node == to).map(|(_, a)| *a);
            let Some(address) = address.filter(|_| !self.links.is_cut(to)) else { continue };
            let Ok(body) = postcard::to_stdvec(&packet) else { continue };
            let datagram = self.sealer.seal(to, &body);
            // A lost datagram is what the probes are for.
            drop(self.socket.send_to(&datagram, address).await);
        }
    }

    fn publish(&mut self) {
        let live = self.swim.live();
        for member in &live[1..] {
            self.links.set_address(member.node, member.address);
        }
        let mut known = self.known.lock();
        for change in changes(&known.live, &live) {
            log::info!("event=membership_changed {change} live={}", live.len());
        }
        known.live = live;
        known.heard_leaving.extend(self.swim.take_heard_leaving());
    }
}

impl Handler<Tick> for Membership {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self>) {
        let packets = self.swim.tick(boot_now());
        self.send_all(packets).await;
        self.publish();
    }
}

impl Handler<Datagram> for Membership {
    type Return = ();

    async fn handle(&mut self, datagram: Datagram, _context: &mut Context<Self>) {
        let Ok((from, body)) = self.opener.open(&datagram.0) else { return };
        if self.links.is_cut(from) {
            return;
        }
        let Ok(packet) = postcard::from_bytes::<Packet>(body) else { return };
        let packets = self.swim.receive(from, packet, boot_now());
        self.send_all(packets).await;
        self.publish();
    }
}

impl Handler<TellLeaving> for Membership {
    type Return = ();

    async fn handle(&mut self, leaving: TellLeaving, _context: &mut Context<Self>) {
        self.swim.tell_leaving(leaving.0);
    }
}

/// Reads datagrams for as long as the actor lives.
pub async fn read_datagrams(socket: Arc<UdpSocket>, membership: Address<Membership>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        // An error here is an answer to an earlier datagram, for example a closed port.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        if membership.send(Datagram(buffer[..length].to_vec())).detach().await.is_err() {
            return;
        }
    }
}

fn changes(before: &[Member], after: &[Member]) -> Vec<String> {
    let ids = |members: &[Member]| -> Vec<NodeId> { members.iter().map(|m| m.node).collect() };
    let (before, after) = (ids(before), ids(after));
    let came = after.iter().filter(|node| !before.contains(node));
    let went = before.iter().filter(|node| !after.contains(node));
    came.map(|node| format!("came={node}")).chain(went.map(|node| format!("went={node}"))).collect()
}
