//! Connections to other replicas. Each replica keeps one outgoing connection per host, which
//! carries frames in one direction only.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

use super::frames::{Handshake, encode};
use crate::ids::{DomainId, NodeId};
use crate::net;

/// Frames queued for a connection. Further frames are dropped; Raft retransmits.
const QUEUE_LEN: usize = 64;
/// Bytes queued for a connection, so that four slow peers together stay far below the memory of a replica. A longer
/// frame is queued alone.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Connection timeout. Replicas are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A connection whose data is not acknowledged for this long is closed.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(600);

/// The outgoing connections of a replica.
pub struct Links {
    own_id: NodeId,
    ip: IpAddr,
    failure_domain: DomainId,
    port: u16,
    outgoing: RefCell<HashMap<IpAddr, OutgoingLink>>,
}

/// The connection to one host.
struct OutgoingLink {
    frames: mpsc::Sender<QueuedFrame>,
    /// The bytes of all frames that are queued or being written.
    queued_bytes: Rc<Cell<usize>>,
    /// Notified when the host has connected to this one and is therefore reachable.
    reachable: Rc<Notify>,
}

/// A frame that counts towards the bytes of its connection until it is written or dropped.
struct QueuedFrame {
    bytes: Arc<[u8]>,
    queued_bytes: Rc<Cell<usize>>,
}

impl QueuedFrame {
    /// Returns `None` if too many bytes are queued already.
    fn new(bytes: Arc<[u8]>, queued_bytes: &Rc<Cell<usize>>) -> Option<QueuedFrame> {
        let before = queued_bytes.get();
        let fits = before == 0 || before + bytes.len() <= MAX_QUEUED_BYTES;
        fits.then(|| {
            queued_bytes.set(before + bytes.len());
            QueuedFrame { bytes, queued_bytes: queued_bytes.clone() }
        })
    }
}

impl Drop for QueuedFrame {
    fn drop(&mut self) {
        self.queued_bytes.set(self.queued_bytes.get() - self.bytes.len());
    }
}

impl Links {
    /// Creates the links without connecting. All replicas listen on the same port.
    pub fn new(own_id: NodeId, ip: IpAddr, failure_domain: DomainId, port: u16) -> Links {
        Links { own_id, ip, failure_domain, port, outgoing: RefCell::default() }
    }

    /// Queues a frame for a host. The frame is dropped if the queue is full, in frames or in bytes.
    pub fn send(&self, to: IpAddr, frame: Arc<[u8]>) {
        let mut outgoing = self.outgoing.borrow_mut();
        let link = outgoing.entry(to).or_insert_with(|| {
            let (frames, receiver) = mpsc::channel(QUEUE_LEN);
            let reachable = Rc::new(Notify::new());
            let failure_domain = self.failure_domain.clone();
            let handshake =
                encode(&Handshake::Replica { node: self.own_id, ip: self.ip, failure_domain });
            let address = SocketAddr::new(to, self.port);
            let notify = reachable.clone();
            tokio::task::spawn_local(keep_connected(address, handshake, receiver, notify));
            OutgoingLink { frames, queued_bytes: Rc::default(), reachable }
        });
        // Senders that need an answer retry.
        if let Some(frame) = QueuedFrame::new(frame, &link.queued_bytes) {
            drop(link.frames.try_send(frame));
        }
    }

    /// Retries a pending connection attempt at once, since the host has just connected to this one.
    pub fn host_reachable(&self, host: IpAddr) {
        if let Some(link) = self.outgoing.borrow().get(&host) {
            link.reachable.notify_waiters();
        }
    }
}

async fn keep_connected(
    to: SocketAddr,
    handshake: Arc<[u8]>,
    mut frames: mpsc::Receiver<QueuedFrame>,
    reachable: Rc<Notify>,
) {
    while let Some(first) = frames.recv().await {
        let connected = tokio::select! {
            connected = net::connect(to, CONNECT_TIMEOUT, UNACKED_TIMEOUT) => connected.ok(),
            () = reachable.notified() => continue,
        };
        match connected {
            Some(stream) => {
                if let Err(error) = write_all(stream, &handshake, first, &mut frames).await {
                    log::info!("event=replica_lost to={to} reason={:?}", error.to_string());
                }
            }
            // Wait less if the host becomes reachable.
            None => drop(tokio::time::timeout(RECONNECT_DELAY, reachable.notified()).await),
        }
        // Frames queued in the meantime are outdated.
        while frames.try_recv().is_ok() {}
    }
}

async fn write_all(
    mut stream: TcpStream,
    handshake: &[u8],
    first: QueuedFrame,
    frames: &mut mpsc::Receiver<QueuedFrame>,
) -> std::io::Result<()> {
    stream.write_all(handshake).await?;
    stream.write_all(&first.bytes).await?;
    drop(first);
    while let Some(frame) = frames.recv().await {
        stream.write_all(&frame.bytes).await?;
    }
    Ok(())
}

/// The links of a replica, shared by its tasks.
pub type SharedLinks = Rc<Links>;
