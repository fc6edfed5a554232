//! Connections to other replicas: one outgoing connection to each host, for frames one way.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};

use super::frames::{Introduction, encode};
use crate::ids::{DomainId, NodeId};
use crate::net;

/// Frames that wait for a connection. The log sends again what is lost.
const QUEUE_LEN: usize = 64;
/// Longest time to connect: replicas are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failure.
const RECONNECT: Duration = Duration::from_millis(100);
/// A connection whose bytes are not acknowledged for this long is given up.
const UNACKNOWLEDGED: Duration = Duration::from_millis(600);

/// Outgoing connections of one replica.
pub struct Links {
    own_id: NodeId,
    ip: IpAddr,
    failure_domain: DomainId,
    port: u16,
    outgoing: RefCell<HashMap<IpAddr, Outgoing>>,
}

/// The way to one host.
struct Outgoing {
    frames: mpsc::Sender<Arc<[u8]>>,
    /// Rings when the host is heard: it can be connected to now.
    is_up: Rc<Notify>,
}

impl Links {
    /// No connections yet. Replicas listen at the same port on all hosts.
    pub fn new(own_id: NodeId, ip: IpAddr, failure_domain: DomainId, port: u16) -> Links {
        Links { own_id, ip, failure_domain, port, outgoing: RefCell::default() }
    }

    /// Queues a frame for a host. A full queue loses it.
    pub fn send(&self, to: IpAddr, frame: Arc<[u8]>) {
        let mut outgoing = self.outgoing.borrow_mut();
        let link = outgoing.entry(to).or_insert_with(|| {
            let (frames, receiver) = mpsc::channel(QUEUE_LEN);
            let is_up = Rc::new(Notify::new());
            let failure_domain = self.failure_domain.clone();
            let introduction =
                encode(&Introduction::Replica { node: self.own_id, ip: self.ip, failure_domain });
            let address = SocketAddr::new(to, self.port);
            let rings = is_up.clone();
            tokio::task::spawn_local(keep_connected(address, introduction, receiver, rings));
            Outgoing { frames, is_up }
        });
        // Whoever waits for an answer asks again.
        drop(link.frames.try_send(frame));
    }

    /// A host was heard: a try to connect that hangs or waits since it was down is begun anew.
    pub fn heard(&self, host: IpAddr) {
        if let Some(link) = self.outgoing.borrow().get(&host) {
            link.is_up.notify_waiters();
        }
    }
}

async fn keep_connected(
    to: SocketAddr,
    introduction: Arc<[u8]>,
    mut frames: mpsc::Receiver<Arc<[u8]>>,
    is_up: Rc<Notify>,
) {
    while let Some(first) = frames.recv().await {
        let connected = tokio::select! {
            connected = net::connect(to, CONNECT_TIMEOUT, UNACKNOWLEDGED) => connected.ok(),
            () = is_up.notified() => continue,
        };
        match connected {
            Some(stream) => {
                if let Err(error) = write_all(stream, &introduction, first, &mut frames).await {
                    log::info!("event=replica_lost to={to} reason={:?}", error.to_string());
                }
            }
            // Heard meanwhile, it need not be waited for.
            None => drop(tokio::time::timeout(RECONNECT, is_up.notified()).await),
        }
        // What waited is stale by now.
        while frames.try_recv().is_ok() {}
    }
}

async fn write_all(
    mut stream: TcpStream,
    introduction: &[u8],
    first: Arc<[u8]>,
    frames: &mut mpsc::Receiver<Arc<[u8]>>,
) -> std::io::Result<()> {
    stream.write_all(introduction).await?;
    stream.write_all(&first).await?;
    while let Some(frame) = frames.recv().await {
        stream.write_all(&frame).await?;
    }
    Ok(())
}

/// The links of a replica, shared by its tasks.
pub type SharedLinks = Rc<Links>;
