//! The actor that runs `Swim` on a UDP socket.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use xtra::prelude::*;

use super::swim::{Member, Packet, Swim};
use crate::clock::boot_now;
use crate::ids::NodeId;
use crate::peer::Links;
use crate::peer::auth::{DatagramSigner, DatagramVerifier};
use crate::route::targets::LeavingTarget;

/// Size of the receive buffer; longer datagrams are truncated, and then fail to open.
const DATAGRAM_BYTES: usize = 60_000;

/// The state of membership that is shared with the rest of the node.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Nodes that are not considered dead, this one first.
    pub live: Vec<Member>,
    /// Targets that other nodes reported as leaving, until the reader takes them.
    pub leaving_targets: Vec<LeavingTarget>,
}

#[derive(xtra::Actor)]
pub struct Membership {
    swim: Swim,
    socket: Arc<UdpSocket>,
    signer: DatagramSigner,
    verifier: DatagramVerifier,
    links: Arc<Links>,
    view: Arc<Mutex<MembershipView>>,
}

/// Advances time.
pub struct Tick;

/// A datagram was received.
pub struct Datagram(pub Vec<u8>);

/// This node has noticed that a target is leaving; the other nodes are told.
pub struct AnnounceLeaving(pub LeavingTarget);

impl Membership {
    /// Creates the actor without starting it.
    pub fn new(
        swim: Swim,
        socket: Arc<UdpSocket>,
        signer: DatagramSigner,
        verifier: DatagramVerifier,
        links: Arc<Links>,
        view: Arc<Mutex<MembershipView>>,
    ) -> Membership {
        Membership { swim, socket, signer, verifier, links, view }
    }

    async fn send_all(&mut self, packets: Vec<(NodeId, Packet)>) {
        let addresses: Vec<(NodeId, SocketAddr)> =
            self.swim.members().map(|member| (member.node, member.address)).collect();
        for (to, packet) in packets {
            let address = addresses.iter().find(|(node, _)| *node == to).map(|(_, a)| *a);
            let Some(address) = address.filter(|_| !self.links.is_blocked(to)) else { continue };
            let Ok(body) = postcard::to_stdvec(&packet) else { continue };
            let datagram = self.signer.sign(to, &body);
            // A send error is treated like a lost datagram.
            drop(self.socket.send_to(&datagram, address).await);
        }
    }

    /// Updates the shared view and the addresses of the links.
    fn publish(&mut self) {
        let live = self.swim.live();
        for member in &live[1..] {
            self.links.set_address(member.node, member.address);
        }
        let mut view = self.view.lock();
        for change in membership_changes(&view.live, &live) {
            log::info!("event=membership_changed {change} live={}", live.len());
        }
        view.live = live;
        view.leaving_targets.extend(self.swim.take_leaving_targets());
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
        let Ok((from, body)) = self.verifier.verify(&datagram.0) else { return };
        if self.links.is_blocked(from) {
            return;
        }
        let Ok(packet) = postcard::from_bytes::<Packet>(body) else { return };
        let packets = self.swim.receive(from, packet, boot_now());
        self.send_all(packets).await;
        self.publish();
    }
}

impl Handler<AnnounceLeaving> for Membership {
    type Return = ();

    async fn handle(&mut self, leaving: AnnounceLeaving, _context: &mut Context<Self>) {
        self.swim.announce_leaving(leaving.0);
    }
}

/// Passes received datagrams to the actor until it has stopped.
pub async fn read_datagrams(socket: Arc<UdpSocket>, membership: Address<Membership>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        // Errors here report on an earlier send, for example to a closed port.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        if membership.send(Datagram(buffer[..length].to_vec())).detach().await.is_err() {
            return;
        }
    }
}

/// The nodes that were added or removed, as fields of the log line.
fn membership_changes(before: &[Member], after: &[Member]) -> Vec<String> {
    let ids = |members: &[Member]| -> Vec<NodeId> { members.iter().map(|m| m.node).collect() };
    let (before, after) = (ids(before), ids(after));
    let came = after.iter().filter(|node| !before.contains(node));
    let went = before.iter().filter(|node| !after.contains(node));
    came.map(|node| format!("came={node}")).chain(went.map(|node| format!("went={node}"))).collect()
}
