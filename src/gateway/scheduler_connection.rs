//! The connection to the scheduler, which runs on the leader of the replicas.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;

use super::scheduler_client::Reply;
use super::state::Gateway;
use crate::control::entry_directory::EntryProcess;
use crate::control::frames::{self, Handshake, SchedulerReply, encode};
use crate::log::Term;
use crate::net;
use crate::telemetry::logs::or_dash;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// A connection whose sent bytes are not acknowledged for this long is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(500);
/// Capacity of the queue of outgoing frames.
const QUEUE_LEN: usize = 512;
/// Delay before the same leader is connected to again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Maintains a connection to the leader for the lifetime of the process.
pub async fn keep_connected(gateway: Rc<Gateway>) {
    loop {
        let Some(leader) = gateway.current_leader() else {
            let _ = tokio::time::timeout(RECONNECT_DELAY, gateway.leader_changed.notified()).await;
            continue;
        };
        let ended = run_connection(&gateway, leader).await;
        gateway.scheduler.detach();
        let reason = or_dash(ended.err().map(|error| format!("{:?}", error.to_string())));
        log::info!("event=scheduler_disconnected replica={} reason={reason}", leader.0);
        // Waits before reconnecting to the same leader, but not if the leader has changed.
        let _ = tokio::time::timeout(RECONNECT_DELAY, until_leader_changes(&gateway, leader)).await;
    }
}

async fn run_connection(gateway: &Rc<Gateway>, leader: (IpAddr, Term)) -> std::io::Result<()> {
    let to = SocketAddr::new(leader.0, gateway.host.peer_port);
    let stream = net::connect(to, CONNECT_TIMEOUT, UNACKNOWLEDGED_TIMEOUT).await?;
    let (read, mut write) = stream.into_split();
    let introduction = Handshake::SchedulerClient {
        name: gateway.host.name.clone(),
        process: EntryProcess { ip: gateway.host.ip, start: gateway.start },
    };
    write.write_all(&encode(&introduction)).await?;
    let (sender, mut outgoing) = mpsc::channel::<Arc<[u8]>>(QUEUE_LEN);
    gateway.scheduler.attach(sender);
    gateway.report_limits();
    log::info!("event=scheduler_connected replica={} term={}", leader.0, leader.1);
    let writing = async {
        while let Some(frame) = outgoing.recv().await {
            write.write_all(&frame).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    tokio::select! {
        ended = writing => ended,
        ended = deliver_replies(gateway, read) => ended,
        () = until_leader_changes(gateway, leader) => Ok(()),
    }
}

async fn deliver_replies(gateway: &Gateway, read: OwnedReadHalf) -> std::io::Result<()> {
    let mut read = BufReader::new(read);
    loop {
        match frames::read(&mut read).await? {
            SchedulerReply::Queued(number) => gateway.scheduler.deliver(number, Reply::Queued),
            SchedulerReply::Placed(number, answer) => {
                gateway.scheduler.deliver(number, Reply::Placed(Box::new(answer)));
            }
            SchedulerReply::Retry(number, is_granted) => {
                gateway.scheduler.deliver_retry(number, is_granted);
            }
        }
    }
}

/// Waits until the leader or its term changes.
async fn until_leader_changes(gateway: &Gateway, leader: (IpAddr, Term)) {
    while gateway.current_leader() == Some(leader) {
        // The timeout covers a change just before `notified` was called.
        let _ = tokio::time::timeout(RECONNECT_DELAY, gateway.leader_changed.notified()).await;
    }
}
