//! A node: starts its components and background tasks, and shuts them down gracefully.

pub mod account_shares;
pub mod admission;
pub mod freshness;
pub mod leader_client;
pub mod load_orders;
pub mod peer_requests;
pub mod quarantine;
pub mod stored_prefixes;
pub mod target_polling;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use xtra::prelude::*;

use crate::claims::ClaimToken;
use crate::clock::{boot_now, unix_ms};
use crate::config::NumberedConfig;

use crate::error::{Error, Result};
use crate::http::{self, ShutdownPhase, UsedConnections};
use crate::http_api;
use crate::ids::NodeId;
use crate::log::Members;
use crate::log::disk::Disk;
use crate::log::raft::{Raft, RaftTiming};
use crate::log::state::State;
use crate::membership::actor::{Membership, MembershipView};
use crate::membership::{Member, Status, Swim, SwimTiming, actor};
use crate::peer::auth::{DatagramSigner, DatagramVerifier};
use crate::peer::{Links, PeerKey};
use crate::prefix_catalog::{Catalog, NodeLocation};
use crate::replica::{self, Replica, ReplicaStatus};
use crate::route::Router;
use crate::settings::Settings;
use crate::telemetry::burn::BurnCounter;
use crate::telemetry::metrics::NodeMetrics;
use crate::upstream::client::TargetClient;
use freshness::Freshness;

use account_shares::AccountShares;
use admission::AdmissionController;
use quarantine::QuarantineState;

/// Interval between ticks of the replica and membership actors.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a shutdown checks for remaining requests.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The components and shared state of a node.
///
/// Invariant: a task that holds one of the mutexes locks no other one, so that tasks can't deadlock.
pub struct Node {
    pub settings: Settings,
    pub metrics: Arc<NodeMetrics>,
    /// The HTTP client for targets and the platform.
    pub client: TargetClient,
    /// Connections to other nodes.
    pub links: Arc<Links>,
    pub router: Mutex<Router>,
    /// Locations of stored prefixes for the contexts that this node owns.
    pub catalog: Mutex<Catalog>,
    pub admission: AdmissionController,
    /// Good and bad requests for the service-level objectives.
    pub burn: Mutex<BurnCounter>,
    account_shares: Mutex<AccountShares>,
    quarantine: Mutex<QuarantineState>,
    freshness: Mutex<Freshness>,
    /// Notifies of each grant of a lease.
    lease_renewed: watch::Sender<()>,
    membership_view: Arc<Mutex<MembershipView>>,
    membership: Address<Membership>,
    replica: Option<ReplicaHandle>,
    /// The last known leader; 0 if unknown.
    leader_hint: AtomicU64,
    /// Identifies this start of the process: its time in milliseconds since the Unix epoch.
    boot: u64,
    claim_count: AtomicU64,
    shutdown_phase: watch::Sender<ShutdownPhase>,
    /// Connections of callers and operators.
    used_connections: UsedConnections,
}

struct ReplicaHandle {
    address: Address<Replica>,
    status: watch::Receiver<ReplicaStatus>,
}

/// The addresses on which a running node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddresses {
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// `Error::Start` if a component can't start, for example because a port is in use.
    pub async fn start(settings: Settings) -> Result<(Arc<Node>, ListenAddresses)> {
        let key = PeerKey::read(&settings.key_file)?;
        let boot = unix_ms();
        let now = boot_now();
        let peer_listener = bind_listener("peer_address", settings.peer_address).await?;
        let callers = bind_listener("callers_address", settings.callers_address).await?;
        let operators = bind_listener("operators_address", settings.operators_address).await?;
        let addresses: HashMap<NodeId, SocketAddr> =
            settings.nodes.iter().map(|node| (node.node_id, node.peer_address)).collect();
        let links = Links::new(settings.node_id, key.clone(), addresses);
        let metrics = Arc::new(NodeMetrics::new()?);
        let membership_view = Arc::new(Mutex::new(MembershipView::default()));
        let membership = start_membership(&settings, key, boot, &links, &membership_view).await?;
        let replica = start_replica(&settings, &links, &metrics)?;
        let node = Arc::new(Node {
            metrics,
            client: TargetClient::new(settings.timing.connect)?,
            router: Mutex::new(Router::new(settings.node_id, settings.bounds.watched_engines)),
            catalog: Mutex::new(Catalog::new(settings.bounds.context_entries, boot)),
            admission: AdmissionController::new(settings.bounds.queue_len),
            burn: Mutex::new(BurnCounter::default()),
            account_shares: Mutex::new(AccountShares::new(settings.timing.lease)),
            quarantine: Mutex::new(QuarantineState::new(boot)),
            freshness: Mutex::new(Freshness::new(settings.timing.lease, now)),
            lease_renewed: watch::Sender::new(()),
            membership_view,
            membership,
            replica,
            leader_hint: AtomicU64::new(0),
            boot,
            claim_count: AtomicU64::new(0),
            shutdown_phase: watch::Sender::new(ShutdownPhase::Serving),
            used_connections: UsedConnections::default(),
            links: links.clone(),
            settings,
        });
        links.set_handler(node.clone());
        tokio::spawn(links.accept(peer_listener));
        node.spawn_background_tasks();
        let listen_addresses = ListenAddresses {
            callers: local_address("callers_address", &callers)?,
            operators: local_address("operators_address", &operators)?,
        };
        node.serve_http(callers, operators);
        log::info!(
            "event=started node={} callers={} operators={}",
            node.settings.node_id,
            listen_addresses.callers,
            listen_addresses.operators,
        );
        Ok((node, listen_addresses))
    }

    /// Shuts down gracefully: admits no new requests and waits up to `timing.shutdown_ms` until the
    /// others have ended and all responses are sent. Returns the number of requests that were aborted
    /// or whose responses were cut off.
    pub async fn shut_down(self: Arc<Node>) -> usize {
        self.shutdown_phase.send_replace(ShutdownPhase::Refusing);
        log::info!("event=shutdown_started running={}", self.admission.running());
        let deadline = boot_now() + self.settings.timing.shutdown;
        while self.admission.running() + self.admission.waiting() > 0 && boot_now() < deadline {
            tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
        // A request ends before its response is completely sent; its connection closes after that.
        self.shutdown_phase.send_replace(ShutdownPhase::Closing);
        self.used_connections.wait_until_closed(deadline).await;
        let unfinished = self.admission.running() + self.admission.waiting();
        // Requests that have not ended have a connection, too, unless their callers have left.
        let cut_off = unfinished.max(self.used_connections.count());
        log::info!("event=shutdown_ended cut_off={cut_off} unfinished={unfinished}");
        cut_off
    }

    /// Whether the node is shutting down.
    pub fn is_stopping(&self) -> bool {
        *self.shutdown_phase.borrow() >= ShutdownPhase::Refusing
    }

    /// Waits until the node is shutting down.
    pub async fn until_stopping(&self) {
        let mut phase = self.shutdown_phase.subscribe();
        // Never fails, since the sender lives as long as this node.
        let _ = phase.wait_for(|phase| *phase >= ShutdownPhase::Refusing).await;
    }

    /// The configuration in force; `None` without a valid freshness lease.
    pub fn in_force(&self) -> Option<Arc<NumberedConfig>> {
        self.freshness.lock().in_force(boot_now())
    }

    /// Whether the node can serve requests: it has a freshness lease and a configuration, knows a
    /// target, and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let has_targets = self.router.lock().targets().iter().next().is_some();
        !self.is_stopping() && has_targets && self.in_force().is_some_and(|c| c.number > 0)
    }

    /// Returns a unique token for a claim.
    pub fn next_claim_token(&self) -> ClaimToken {
        let count = self.claim_count.fetch_add(1, Ordering::Relaxed);
        ClaimToken { node: self.settings.node_id, boot: self.boot, count }
    }

    /// Nodes that are not considered dead, this one first.
    pub fn live_members(&self) -> Vec<Member> {
        self.membership_view.lock().live.clone()
    }

    /// The failure domains of the live nodes.
    pub fn node_locations(&self) -> Vec<NodeLocation> {
        let location = |member: &Member| NodeLocation {
            node: member.node,
            failure_domain: member.failure_domain.clone(),
        };
        self.membership_view.lock().live.iter().map(location).collect()
    }

    /// The status of this node's replica, if it has one.
    pub fn replica_status(&self) -> Option<ReplicaStatus> {
        self.replica.as_ref().map(|replica| replica.status.borrow().clone())
    }

    fn spawn_background_tasks(self: &Arc<Node>) {
        tokio::spawn(self.clone().run_lease_renewal());
        tokio::spawn(self.clone().poll_platform());
        tokio::spawn(self.clone().poll_targets());
        tokio::spawn(self.clone().run_context_maintenance());
        tokio::spawn(self.clone().run_queue_expiry());
        tokio::spawn(self.clone().run_load_orders());
        tokio::spawn(self.clone().run_share_renewal());
        if self.settings.first_config.is_some() {
            tokio::spawn(self.clone().propose_first_config());
        }
    }

    fn serve_http(self: &Arc<Node>, callers: TcpListener, operators: TcpListener) {
        let node = self.clone();
        self.spawn_server(callers, move |request| http_api::callers::handle(node.clone(), request));
        let node = self.clone();
        self.spawn_server(operators, move |request| {
            http_api::operators::handle(node.clone(), request)
        });
    }

    fn spawn_server<H, F>(&self, listener: TcpListener, handler: H)
    where
        H: Fn(http::Request) -> F + Send + Sync + 'static,
        F: Future<Output = http::Response> + Send + 'static,
    {
        let body_limit = self.settings.bounds.body_bytes;
        let (used, phase) = (self.used_connections.clone(), self.shutdown_phase.subscribe());
        tokio::spawn(http::serve(listener, body_limit, handler, used, phase));
    }
}

async fn bind_listener(part: &str, address: SocketAddr) -> Result<TcpListener> {
    let remedy = "name a free address of this host";
    TcpListener::bind(address).await.map_err(|source| Error::start(part, source, remedy))
}

fn local_address(part: &str, listener: &TcpListener) -> Result<SocketAddr> {
    listener.local_addr().map_err(|source| Error::start(part, source, "report this as a defect"))
}

async fn start_membership(
    settings: &Settings,
    key: PeerKey,
    boot: u64,
    links: &Arc<Links>,
    membership_view: &Arc<Mutex<MembershipView>>,
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
    let own_member =
        member(settings.node_id, settings.peer_address, &settings.failure_domain, boot);
    let seeds = settings
        .nodes
        .iter()
        .map(|node| member(node.node_id, node.peer_address, &node.failure_domain, 0))
        .collect();
    let timing = SwimTiming { probe_interval: settings.timing.probe };
    let swim = Swim::new(own_member, seeds, timing, rand::rng().random(), boot_now());
    membership_view.lock().live = swim.live();
    let signer = DatagramSigner::new(key.clone(), settings.node_id, boot);
    let verifier = DatagramVerifier::new(key, settings.node_id);
    let actor = Membership::new(
        swim,
        socket.clone(),
        signer,
        verifier,
        links.clone(),
        membership_view.clone(),
    );
    let address = xtra::spawn_tokio(actor, Mailbox::unbounded());
    tokio::spawn(actor::read_datagrams(socket, address.clone()));
    let tick_address = address.clone();
    tokio::spawn(run_periodically(TICK_INTERVAL, move || {
        let address = tick_address.clone();
        async move { address.send(actor::Tick).await.is_ok() }
    }));
    Ok(address)
}

fn start_replica(
    settings: &Settings,
    links: &Arc<Links>,
    metrics: &Arc<NodeMetrics>,
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
    let tick_address = address.clone();
    tokio::spawn(run_periodically(TICK_INTERVAL, move || {
        let address = tick_address.clone();
        async move { address.send(replica::Tick).await.is_ok() }
    }));
    let save_address = address.clone();
    tokio::spawn(async move {
        loop {
            save_ended.notified().await;
            if save_address.send(replica::SaveEnded).await.is_err() {
                return;
            }
        }
    });
    Ok(Some(ReplicaHandle { address, status }))
}

/// Calls `work` at a fixed interval until it returns false.
async fn run_periodically<F, W>(period: Duration, mut work: W)
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
