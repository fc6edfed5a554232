//! The connection to the scheduler at the leading replica.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;

use super::scheduler_client::Reply;
use super::state::Gateway;
use crate::control::frames::{self, Handshake, SchedulerReply, encode};
use crate::log::Term;
use crate::net;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection whose bytes are not acknowledged for this long is given up.
const UNACKNOWLEDGED: Duration = Duration::from_millis(500);
/// Frames that wait for the connection.
const QUEUE_LEN: usize = 512;
/// Pause before a leader that could not be reached is tried again.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// Keeps connected to the replica that leads, for as long as the process lives.
pub async fn keep_connected(gateway: Rc<Gateway>) {
    loop {
        let Some(named) = gateway.named_leader() else {
            let _ = tokio::time::timeout(TRY_AGAIN_AFTER, gateway.leader_changed.notified()).await;
            continue;
        };
        let ended = connected(&gateway, named).await;
        gateway.scheduler.detach();
        let reason = ended.err().map(|error| error.to_string());
        log::info!("event=scheduler_disconnected replica={} reason={reason:?}", named.0);
        // A leader that is not reached is tried again after a pause; another one at once.
        let _ = tokio::time::timeout(TRY_AGAIN_AFTER, is_replaced(&gateway, named)).await;
    }
}

async fn connected(gateway: &Rc<Gateway>, named: (IpAddr, Term)) -> std::io::Result<()> {
    let to = SocketAddr::new(named.0, gateway.host.peer_port);
    let stream = net::connect(to, CONNECT_TIMEOUT, UNACKNOWLEDGED).await?;
    let (read, mut write) = stream.into_split();
    let introduction = Handshake::SchedulerClient { name: gateway.host.name.clone() };
    write.write_all(&encode(&introduction)).await?;
    let (sender, mut outgoing) = mpsc::channel::<Arc<[u8]>>(QUEUE_LEN);
    gateway.scheduler.attach(sender);
    log::info!("event=scheduler_connected replica={} term={}", named.0, named.1);
    let writing = async {
        while let Some(frame) = outgoing.recv().await {
            write.write_all(&frame).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    tokio::select! {
        ended = writing => ended,
        ended = dispatch_answers(gateway, read) => ended,
        () = is_replaced(gateway, named) => Ok(()),
    }
}

async fn dispatch_answers(gateway: &Gateway, read: OwnedReadHalf) -> std::io::Result<()> {
    let mut read = BufReader::new(read);
    loop {
        let (number, reply) = match frames::read(&mut read).await? {
            SchedulerReply::Queued(number) => (number, Reply::Queued),
            SchedulerReply::Placed(number, answer) => (number, Reply::Placed(Box::new(answer))),
        };
        gateway.scheduler.deliver(number, reply);
    }
}

/// Ends once another replica leads, or the same one in another term.
async fn is_replaced(gateway: &Gateway, named: (IpAddr, Term)) {
    while gateway.named_leader() == Some(named) {
        // A change that comes just before is seen after the pause.
        let _ = tokio::time::timeout(TRY_AGAIN_AFTER, gateway.leader_changed.notified()).await;
    }
}
