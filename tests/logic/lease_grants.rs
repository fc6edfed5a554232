//! Freshness leases that a leader grants while its heartbeats are answered late.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use kumquatpost::clock::boot_now;
use kumquatpost::ids::NodeId;
use kumquatpost::log::disk::Disk;
use kumquatpost::log::raft::{Raft, RaftTiming};
use kumquatpost::log::state::State;
use kumquatpost::log::{Members, Message};
use kumquatpost::node::freshness::LeaseGrant;
use kumquatpost::peer::message::{Dispatched, PeerRequest, PeerResponse};
use kumquatpost::peer::{Links, PeerHandler, PeerKey};
use kumquatpost::replica::{GrantLease, PeerMessage, Replica, SaveEnded, Tick};
use kumquatpost::telemetry::metrics::NodeMetrics;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use xtra::prelude::*;

/// The leader lease lasts slightly less, and a leader without contact steps down after twice this.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Outlasts the leader lease, but not the leader.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(2_600);
const LEASE_DURATION: Duration = Duration::from_secs(30);
const TICK_INTERVAL: Duration = Duration::from_millis(10);
const LEADER: NodeId = 1;
const FOLLOWER: NodeId = 2;

/// Delivers messages of the log to a replica after a delay.
struct DelayedDelivery {
    replica: Address<Replica>,
    delay_ms: Arc<AtomicU64>,
}

impl PeerHandler for DelayedDelivery {
    fn handle_log_message(&self, from: NodeId, message: Message) {
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::Relaxed));
        let replica = self.replica.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // Fails only when the test ends.
            let _ = replica.send(PeerMessage(from, message)).await;
        });
    }

    fn handle_dispatched(&self, _dispatched: &Dispatched) {}

    fn handle_request(
        self: Arc<Self>,
        _from: NodeId,
        _request: PeerRequest,
    ) -> BoxFuture<'static, PeerResponse> {
        async { PeerResponse::Unavailable }.boxed()
    }
}

struct Started {
    replica: Address<Replica>,
    /// Delay of messages to this replica.
    delay_ms: Arc<AtomicU64>,
    _folder: TempDir,
}

async fn start_replica(id: NodeId, listener: TcpListener, peer: (NodeId, SocketAddr)) -> Started {
    let folder = TempDir::new().expect("a temporary folder");
    let (disk, recovered) = Disk::open(folder.path()).expect("the disk can be opened");
    let timing = RaftTiming {
        heartbeat_interval: Duration::from_millis(50),
        election_timeout: ELECTION_TIMEOUT,
    };
    let members = Members::from_voters([LEADER, FOLLOWER]);
    let raft = Raft::new(id, members, timing, recovered, id, boot_now());
    let links = Links::new(id, PeerKey::from_material(b"k"), [peer].into());
    let metrics = Arc::new(NodeMetrics::new().expect("metrics can be registered"));
    let (actor, _status) =
        Replica::new(raft, disk, State::new(1_000), links.clone(), metrics, LEASE_DURATION);
    let save_ended = actor.save_ended();
    let replica = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let delay_ms = Arc::new(AtomicU64::new(0));
    links.set_handler(Arc::new(DelayedDelivery {
        replica: replica.clone(),
        delay_ms: delay_ms.clone(),
    }));
    tokio::spawn(links.accept(listener));
    let saved = replica.clone();
    tokio::spawn(async move {
        loop {
            save_ended.notified().await;
            if saved.send(SaveEnded).await.is_err() {
                return;
            }
        }
    });
    Started { replica, delay_ms, _folder: folder }
}

async fn request_lease(leader: &Address<Replica>) -> Option<LeaseGrant> {
    let (sender, receiver) = oneshot::channel();
    let grant = GrantLease { child: 7, known_number: 0, acked: 0, sender };
    leader.send(grant).await.expect("the replica runs");
    receiver.await.ok()?.ok()
}

/// Guards against a leader that refuses leases because its heartbeats are answered late, although a
/// quorum answers them.
#[tokio::test]
async fn a_leader_grants_leases_once_a_quorum_has_confirmed_it_however_late() {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let (first, second) = (bind().await.expect("a port"), bind().await.expect("a port"));
    let address = |listener: &TcpListener| listener.local_addr().expect("a local address");
    let (first_address, second_address) = (address(&first), address(&second));
    let leader = start_replica(LEADER, first, (FOLLOWER, second_address)).await;
    // Without ticks it never campaigns.
    let follower = start_replica(FOLLOWER, second, (LEADER, first_address)).await;
    let ticked = leader.replica.clone();
    tokio::spawn(async move {
        while ticked.send(Tick).await.is_ok() {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    });
    while request_lease(&leader.replica).await.is_none() {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    let delay_ms = LATE_ANSWER_DELAY.as_millis() as u64;
    follower.delay_ms.store(delay_ms, Ordering::Relaxed);
    tokio::time::sleep(LATE_ANSWER_DELAY + ELECTION_TIMEOUT / 4).await;
    for _ in 0..3 {
        let (duration, ..) = request_lease(&leader.replica).await.expect("a lease");
        assert_eq!(duration, LEASE_DURATION);
    }
}
