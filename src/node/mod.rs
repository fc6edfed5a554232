//! One node: assembles the parts, and shuts them down gracefully.

pub mod answering;
pub mod decisions;
pub mod freshness;
pub mod keeping;
pub mod ordering;
pub mod places;
pub mod quarantining;
pub mod sharing;
pub mod watching;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use xtra::prelude::*;

use crate::claims::ClaimToken;
use crate::clock::{boot_now, unix_ms};
use crate::config::NumberedConfig;
use crate::entry;
use crate::error::{Error, Result};
use crate::http;
use crate::ids::NodeId;
use crate::log::Members;
use crate::log::disk::Disk;
use crate::log::raft::{Raft, RaftTiming};
use crate::log::state::State;
use crate::membership::actor::{Membership, MembershipView};
use crate::membership::{Member, Status, Swim, SwimTiming, actor};
use crate::peer::auth::{DatagramSigner, DatagramVerifier};
use crate::peer::{Links, PeerKey};
use crate::replica::{self, Replica, ReplicaStatus};
use crate::route::Router;
use crate::settings::Settings;
use crate::telemetry::burn::Burn;
use crate::telemetry::metrics::Metrics;
use crate::upstream::client::TargetClient;
use crate::whereabouts::{Catalog, NodePlace};
use freshness::Fresh;
use places::Places;
use quarantining::Quarantining;
use sharing::Sharing;

/// How often timers of the log and of membership are looked at.
const TICK: Duration = Duration::from_millis(10);
/// How often a shutdown looks whether the last request has ended.
const SHUTDOWN_CHECK: Duration = Duration::from_millis(20);

/// One node.
pub struct Node {
    /// Its settings.
    pub settings: Settings,
    /// Its metrics.
    pub metrics: Arc<Metrics>,
    /// Its client of targets and the platform.
    pub client: TargetClient,
    /// Its connections to other nodes.
    pub links: Arc<Links>,
    /// Routing state.
    pub router: Mutex<Router>,
    /// Kept copies of the contexts that this node owns.
    pub catalog: Mutex<Catalog>,
    /// Requests that run and wait.
    pub places: Places,
    /// Counts against the service levels.
    pub burn: Mutex<Burn>,
    sharing: Mutex<Sharing>,
    quarantining: Mutex<Quarantining>,
    fresh: Mutex<Fresh>,
    known: Arc<Mutex<MembershipView>>,
    membership: Address<Membership>,
    replica: Option<ReplicaHandle>,
    /// The replica that led when last heard of; 0 for none.
    leader_hint: AtomicU64,
    /// Tells this start of the node from others.
    boot: u64,
    claims: AtomicU64,
    stopping: AtomicBool,
    stopped: watch::Sender<bool>,
}

struct ReplicaHandle {
    address: Address<Replica>,
    status: watch::Receiver<ReplicaStatus>,
}

/// Where a running node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listening {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' HTTP.
    pub operators: SocketAddr,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// `Error::Start` if a part can't start, for example since a port is taken.
    pub async fn start(settings: Settings) -> Result<(Arc<Node>, Listening)> {
        let key = PeerKey::read(&settings.key_file)?;
        let boot = unix_ms();
        let now = boot_now();
        let peer_listener = bind("peer_address", settings.peer_address).await?;
        let callers = bind("callers_address", settings.callers_address).await?;
        let operators = bind("operators_address", settings.operators_address).await?;
        let addresses: HashMap<NodeId, SocketAddr> =
            settings.nodes.iter().map(|node| (node.node_id, node.peer_address)).collect();
        let links = Links::new(settings.node_id, key.clone(), addresses);
        let metrics = Arc::new(Metrics::new()?);
        let known = Arc::new(Mutex::new(MembershipView::default()));
        let membership = start_membership(&settings, key, boot, &links, &known).await?;
        let replica = start_replica(&settings, &links, &metrics)?;
        let node = Arc::new(Node {
            metrics,
            client: TargetClient::new(settings.timing.connect)?,
            router: Mutex::new(Router::new(settings.node_id, settings.bounds.watched_engines)),
            catalog: Mutex::new(Catalog::new(settings.bounds.context_entries, boot)),
            places: Places::new(settings.bounds.queue_len),
            burn: Mutex::new(Burn::default()),
            sharing: Mutex::new(Sharing::new(settings.timing.lease)),
            quarantining: Mutex::new(Quarantining::new(boot)),
            fresh: Mutex::new(Fresh::new(settings.timing.lease, now)),
            known,
            membership,
            replica,
            leader_hint: AtomicU64::new(0),
            boot,
            claims: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            stopped: watch::Sender::new(false),
            links: links.clone(),
            settings,
        });
        links.set_handler(node.clone());
        tokio::spawn(links.accept(peer_listener));
        node.spawn_loops();
        let listening = Listening {
            callers: local("callers_address", &callers)?,
            operators: local("operators_address", &operators)?,
        };
        node.serve_http(callers, operators);
        log::info!(
            "event=started node={} callers={} operators={}",
            node.settings.node_id,
            listening.callers,
            listening.operators,
        );
        Ok((node, listening))
    }

    /// Shuts down gracefully: admits nothing new, lets running requests end, bounded by
    /// `timing.shutdown_ms`. Returns how many requests were cut off.
    pub async fn close(self: Arc<Node>) -> usize {
        self.stopping.store(true, Ordering::SeqCst);
        log::info!("event=shutdown_started running={}", self.places.running());
        let end = boot_now() + self.settings.timing.shutdown;
        while self.places.running() + self.places.waiting() > 0 && boot_now() < end {
            tokio::time::sleep(SHUTDOWN_CHECK).await;
        }
        let cut_off = self.places.running() + self.places.waiting();
        self.stopped.send_replace(true);
        // The last bytes of ended answers are still on their way out of the HTTP server.
        tokio::time::sleep(SHUTDOWN_CHECK).await;
        log::info!("event=shutdown_ended cut_off={cut_off}");
        cut_off
    }

    /// Whether the node is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// The configuration that may be used now; `None` if the node is not fresh.
    pub fn in_force(&self) -> Option<Arc<NumberedConfig>> {
        self.fresh.lock().in_force(boot_now())
    }

    /// Whether requests are admitted: fresh, not stopping, and some target is known.
    pub fn is_ready(&self) -> bool {
        let has_targets = self.router.lock().targets().iter().next().is_some();
        !self.is_stopping() && has_targets && self.in_force().is_some_and(|c| c.number > 0)
    }

    /// A new token for a claim.
    pub fn claim_token(&self) -> ClaimToken {
        let count = self.claims.fetch_add(1, Ordering::Relaxed);
        ClaimToken { node: self.settings.node_id, boot: self.boot, count }
    }

    /// Nodes that are not taken for dead, this one first.
    pub fn live(&self) -> Vec<Member> {
        self.known.lock().live.clone()
    }

    /// Live nodes and their failure domains.
    pub fn node_places(&self) -> Vec<NodePlace> {
        let place = |member: &Member| NodePlace {
            node: member.node,
            failure_domain: member.failure_domain.clone(),
        };
        self.known.lock().live.iter().map(place).collect()
    }

    /// Status of this node's replica, if it has one.
    pub fn replica_status(&self) -> Option<ReplicaStatus> {
        self.replica.as_ref().map(|replica| replica.status.borrow().clone())
    }

    fn spawn_loops(self: &Arc<Node>) {
        tokio::spawn(self.clone().keep_fresh());
        tokio::spawn(self.clone().watch_platform());
        tokio::spawn(self.clone().watch_targets());
        tokio::spawn(self.clone().keep_contexts());
        tokio::spawn(self.clone().expire_waiting());
        tokio::spawn(self.clone().keep_ordering());
        tokio::spawn(self.clone().keep_shares());
        if self.settings.first_config.is_some() {
            tokio::spawn(self.clone().propose_first_config());
        }
    }

    fn serve_http(self: &Arc<Node>, callers: TcpListener, operators: TcpListener) {
        let body_bytes = self.settings.bounds.body_bytes;
        let node = self.clone();
        let handler = move |request| entry::callers::handle(node.clone(), request);
        tokio::spawn(http::serve(callers, body_bytes, handler, self.until_stopped()));
        let node = self.clone();
        let handler = move |request| entry::operators::handle(node.clone(), request);
        tokio::spawn(http::serve(operators, body_bytes, handler, self.until_stopped()));
    }

    fn until_stopped(&self) -> impl Future<Output = ()> + Send + 'static {
        let mut stopped = self.stopped.subscribe();
        async move {
            // An error means that the node is gone, which is as good.
            let _ = stopped.wait_for(|stopped| *stopped).await;
        }
    }
}

async fn bind(part: &str, address: SocketAddr) -> Result<TcpListener> {
    let remedy = "name a free address of this host";
    TcpListener::bind(address).await.map_err(|source| Error::start(part, source, remedy))
}

fn local(part: &str, listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|source| Error::start(part, source, "report this as a defect"))
}

async fn start_membership(
    settings: &Settings,
    key: PeerKey,
    boot: u64,
    links: &Arc<Links>,
    known: &Arc<Mutex<MembershipView>>,
) -> Result<Address<Membership>> {
    let remedy = "name a free address of this host";
    let socket = UdpSocket::bind(settings.peer_address)
        .await
        .map_err(|source| Error::start("peer_address", source, remedy))?;
    let socket = Arc::new(socket);
    let member = |node_id, address, failure_domain: &str, incarnation| Member {
        node: node_id,
        address,
        failure_domain: failure_domain.to_string(),
        incarnation,
        status: Status::Alive,
    };
    let me = member(settings.node_id, settings.peer_address, &settings.failure_domain, boot);
    let seeds = settings
        .nodes
        .iter()
        .map(|node| member(node.node_id, node.peer_address, &node.failure_domain, 0))
        .collect();
    let timing = SwimTiming { probe_interval: settings.timing.probe };
    let swim = Swim::new(me, seeds, timing, rand::rng().random(), boot_now());
    known.lock().live = swim.live();
    let signer = DatagramSigner::new(key.clone(), settings.node_id, boot);
    let verifier = DatagramVerifier::new(key, settings.node_id);
    let actor =
        Membership::new(swim, socket.clone(), signer, verifier, links.clone(), known.clone());
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    tokio::spawn(actor::read_datagrams(socket, address.clone()));
    let ticking = address.clone();
    tokio::spawn(every(TICK, move || {
        let address = ticking.clone();
        async move { address.send(actor::Tick).await.is_ok() }
    }));
    Ok(address)
}

fn start_replica(
    settings: &Settings,
    links: &Arc<Links>,
    metrics: &Arc<Metrics>,
) -> Result<Option<ReplicaHandle>> {
    let Some(folder) = &settings.data_folder else { return Ok(None) };
    let (disk, recovered) = Disk::open(folder)?;
    if recovered.has_lost_data {
        log::warn!("event=replica_lost_bytes effect=\"does not vote until it has caught up\"");
    }
    let timing = RaftTiming {
        heartbeat_interval: settings.timing.heartbeat,
        election_timeout: settings.timing.election,
    };
    let members = Members::from_voters(settings.replicas());
    let seed = rand::rng().random();
    let raft = Raft::new(settings.node_id, members, timing, recovered, seed, boot_now());
    let state = State::new(settings.timing.claim_retention.as_millis() as u64);
    let (actor, status) =
        Replica::new(raft, disk, state, links.clone(), metrics.clone(), settings.timing.lease);
    let save_ended = actor.save_ended();
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let ticking = address.clone();
    tokio::spawn(every(TICK, move || {
        let address = ticking.clone();
        async move { address.send(replica::Tick).await.is_ok() }
    }));
    let saving = address.clone();
    tokio::spawn(async move {
        loop {
            save_ended.notified().await;
            if saving.send(replica::SaveEnded).await.is_err() {
                return;
            }
        }
    });
    Ok(Some(ReplicaHandle { address, status }))
}

/// Does something at a period until it returns false.
async fn every<F, W>(period: Duration, mut work: W)
where
    W: FnMut() -> F,
    F: Future<Output = bool>,
{
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !work().await {
            return;
        }
    }
}
