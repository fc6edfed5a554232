//! Starts a replica: opens its log on disk, binds its listeners and spawns its tasks.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use super::frames::RosterVersion;
use super::identity::Identity;
use super::{age_recorder, hold_news, quarantine_file, roster_file, software_file};

use super::links::Links;

use super::news_publisher;
use super::publisher;
use super::quarantine_publisher;
use super::reader_election::ReaderElection;
use super::replica::{Input, Replica, ReplicaInit, Undecided};
use super::roster_reader::{self, TargetListSource};

use super::operator_server::OperatorServer;
use super::rollout::RolloutController;
use super::scheduler_service::SchedulerService;
use super::shared::{ReplicaView, Shared};
use super::state::ControlState;
use super::stream_directory;
use crate::clock::boot_now;
use crate::error::{Error, Result};
use crate::essential_tasks::essential_tasks;
use crate::host::HostSettings;
use crate::http::UsedConnections;
use crate::log::disk::Disk;
use crate::log::driver::Driver;
use crate::log::raft::{Raft, RaftTiming};
use crate::log::{Index, Members};
use crate::net::text_server;
use crate::reload;
use crate::telemetry::deployment_metrics::ReplicaMetrics;

/// The election timeout is far longer than a round trip between replicas and a slow disk sync together.
const RAFT_TIMING: RaftTiming = RaftTiming {
    heartbeat_interval: Duration::from_millis(75),
    election_timeout: Duration::from_millis(300),
};
/// Log entries between snapshots. A log entry can hold a deployment of several hundred kilobytes,
/// and the disk a few hundred megabytes.
const SNAPSHOT_INTERVAL: Index = 256;
/// Inputs queued while the disk is busy.
const QUEUE_LEN: usize = 1_024;
/// How long before the end of the grace period operators' calls in progress are abandoned.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
/// Delay before a failed disk is reopened.
const DISK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Runs a replica until the process is asked to stop.
///
/// # Errors
///
/// If the replica cannot start.
pub async fn run(host: HostSettings) -> Result<()> {
    let folder = host.data_folder.clone().ok_or_else(|| missing_setting("the data folder"))?;
    let operators_address =
        host.operators_address.ok_or_else(|| missing_setting("the operators' address"))?;
    let identity = Identity::open(&folder, &host)?;
    log::info!(
        "event=start role=replica host={} node={} operators={operators_address} metrics={}",
        host.name,
        identity.node,
        SocketAddr::new(host.ip, host.metrics_port)
    );
    let restored_roster = roster_file::load(&folder, host.is_first_start);
    let links =
        Rc::new(Links::new(identity.node, host.ip, host.failure_domain.clone(), host.peer_port));
    let seeds: BTreeSet<IpAddr> = host.seeds.iter().map(|seed| seed.ip()).collect();
    let shared = Rc::new(Shared {
        node: identity.node,
        view: watch::Sender::new(ReplicaView::default()),
        roster: watch::Sender::new(restored_roster),
        earlier_rosters: RefCell::default(),
        roster_pieces: RefCell::new((RosterVersion::default(), Rc::from([]))),
        domains: watch::Sender::new([(host.ip, host.failure_domain.clone())].into()),
        roster_update: RefCell::new((
            RosterVersion::default(),
            RosterVersion::default(),
            Arc::from([]),
        )),
        deployment_update: RefCell::new((0, Arc::from([]))),
        reader_election: Cell::new(ReaderElection::new(boot_now())),
        caught_up_at: Cell::new(None),
        unserved_term: Cell::new(0),
        connected_entries: RefCell::default(),
        entry_directory: RefCell::default(),
        entry_count: Cell::new(None),
        changing: RefCell::default(),
        named_since: RefCell::default(),
        has_weight_ages: Cell::new(false),
        evacuated: RefCell::default(),
        quarantine: watch::Sender::new(quarantine_file::load(&folder, host.is_first_start)),
        hold_news: watch::Sender::default(),
        news: watch::Sender::default(),
        stream_directory: software_file::load(&folder, host.is_first_start),
        links,
        seeds: RefCell::new(seeds),
    });
    shared.stream_directory.observe_roster(shared.roster.borrow().roster.iter(), boot_now());
    let (inputs, receiver) = mpsc::channel(QUEUE_LEN);
    let peers = listen(SocketAddr::new(host.ip, host.peer_port)).await?;
    let (tasks, mut first_exit) = essential_tasks();
    let scheduling = SchedulerService::new(shared.clone(), host.periods.old_weights)
        .with_cross_domain_price(host.cross_domain_price);
    let scheduling = Rc::new(scheduling.with_retry_limit(host.retry_limit()));
    tasks.spawn("scheduling", scheduling.clone().run());
    tasks.spawn("dispatching", scheduling.clone().keep_dispatching());
    tasks.spawn("peers", publisher::accept(peers, scheduling.clone(), inputs.clone()));
    let metrics = Rc::new(ReplicaMetrics::new()?);
    let address = SocketAddr::new(host.ip, host.metrics_port);
    let (metrics_shared, metrics_scheduling) = (shared.clone(), scheduling.clone());
    let metrics_handle = metrics.clone();
    let metrics_text = move || {
        (StatusCode::OK, metrics_text(&metrics_handle, &metrics_shared, &metrics_scheduling))
    };
    tasks.spawn("metrics", text_server::serve(listen(address).await?, metrics_text));
    let operators = Rc::new(OperatorServer {
        shared: shared.clone(),
        known_domains: host.regions.keys().chain([&host.failure_domain]).cloned().collect(),
        reads_target_list: host.target_list.is_some(),
        inputs: inputs.clone(),
        port: operators_address.port(),
        metrics: metrics.clone(),
        used_connections: UsedConnections::default(),
        closing: watch::Sender::new(false),
    });
    tasks.spawn("operators", operators.clone().accept(listen(operators_address).await?));
    if let Some(address) = host.target_list {
        let list = TargetListSource { address, rate_per_s: host.target_list_reads_per_s };
        tasks.spawn(
            "target_list",
            roster_reader::run(shared.clone(), host.ip, list, metrics.clone()),
        );
    }
    tasks.spawn("kept_targets", roster_file::keep_writing(shared.clone(), folder.clone()));
    tasks.spawn("kept_quarantine", quarantine_file::keep_writing(shared.clone(), folder.clone()));
    tasks.spawn("kept_software", software_file::keep_writing(shared.clone(), folder.clone()));
    tasks.spawn("quarantine", quarantine_publisher::keep_publishing(shared.clone(), host.ip));
    tasks.spawn("hold_news", hold_news::keep_publishing(shared.clone()));
    tasks.spawn("news", news_publisher::keep_publishing(shared.clone(), host.ip));
    tasks.spawn("streams", stream_directory::keep_publishing(shared.clone(), host.ip));
    let recording = age_recorder::run(shared.clone(), inputs.clone(), host.periods.old_weights);
    tasks.spawn("weight_ages", recording);
    let order_lease = host.periods.min_order_interval;
    let rollout = Rc::new(RolloutController {
        shared: shared.clone(),
        scheduling: scheduling.clone(),
        inputs,
        order_lease,
        loads_in_progress: Cell::new(0),
        unanswered: RefCell::default(),
        unreachable: RefCell::default(),
    });
    tasks.spawn("ordering", rollout.run());
    let reloaded = reload::watch_settings(host.clone(), |host| {
        shared.seeds.borrow_mut().extend(host.seeds.iter().map(|seed| seed.ip()));
    });
    let shutdown = async {
        crate::commands::wait_for_shutdown_signal().await?;
        operators.finish_calls(host.periods.shutdown_grace.saturating_sub(GRACE_RESERVE)).await;
        Ok(())
    };
    tokio::select! {
        ended = run_replica(&host, &folder, &identity, shared.clone(), receiver) => ended,
        ended = shutdown => ended,
        failed = reloaded => failed,
        error = first_exit.wait() => Err(error),
    }?;
    log::info!("event=stop role=replica host={}", host.name);
    Ok(())
}

/// Updates the gauges and renders all metrics as text.
fn metrics_text(
    metrics: &ReplicaMetrics,
    shared: &Shared,
    scheduling: &SchedulerService,
) -> String {
    let view = shared.view.borrow();
    metrics.term.record(view.term, &[]);
    metrics.is_leader.record(view.leads.into(), &[]);
    let version = view.state.published.as_ref().map_or(0, |published| published.version());
    metrics.deployment_version.record(version, &[]);
    metrics.evacuated_domains.record(shared.evacuated.borrow().count() as u64, &[]);
    if let Some(entries) = shared.entry_count.get() {
        metrics.connected_entries.record(entries.into(), &[]);
    }
    let remembered = shared.stream_directory.streams.borrow().len();
    metrics.remembered_streams.record(remembered as u64, &[]);
    metrics.held_requests.record(shared.quarantine.borrow().held_count(boot_now()) as u64, &[]);
    let age = boot_now().saturating_sub(shared.reader_election.get().read_at());
    metrics.target_list_age_s.record(age.as_secs_f64(), &[]);
    metrics.queued_prompts.record(scheduling.waiting_count() as u64, &[]);
    let competition = scheduling.with_scheduler(|scheduler| scheduler.take_report());
    metrics.record_competition(&competition.unwrap_or_default());
    metrics.text()
}

/// Runs the replica and restarts it from disk after a disk failure.
async fn run_replica(
    host: &HostSettings,
    folder: &Path,
    identity: &Identity,
    shared: Rc<Shared>,
    mut inputs: mpsc::Receiver<Input>,
) -> Result<()> {
    let mut is_first = true;
    loop {
        let opened = Disk::open(&Identity::log_folder(folder));
        let (disk, recovered) = match opened {
            Ok(opened) => opened,
            Err(error) if is_first => return Err(error),
            Err(error) => {
                log::warn!("event=disk_still_fails reason={:?}", error.to_string());
                refuse_inputs(&mut inputs, DISK_RETRY_DELAY).await;
                continue;
            }
        };
        is_first = false;
        let members = Members::from_voters(identity.founders.keys().copied());
        let seed = rand::rng().random();
        let raft = Raft::new(identity.node, members, RAFT_TIMING, recovered, seed, boot_now());
        let init = ReplicaInit {
            driver: Driver::new(raft, disk, SNAPSHOT_INTERVAL),
            state: ControlState::bootstrap(identity.founders.clone()),
            ip: host.ip,
            desired_voters: host.tolerated_losses * 2 + 1,
            disk_limit_bytes: host.disk_limit_bytes,
        };
        Replica::new(shared.clone(), init).run(&mut inputs).await;
        shared.caught_up_at.set(None);
        refuse_inputs(&mut inputs, DISK_RETRY_DELAY).await;
    }
}

/// Refuses calls and discards messages for a while. Queued ones would be outdated once the replica
/// handles them.
async fn refuse_inputs(inputs: &mut mpsc::Receiver<Input>, duration: Duration) {
    let refuse = async {
        while let Some(input) = inputs.recv().await {
            match input {
                Input::Frame { .. } => {}
                // A caller that no longer waits needs no answer.
                Input::Propose(_, sender) | Input::ProposeInTerm(_, _, sender) => {
                    let _ = sender.send(Err(Undecided::NotLeader(None)));
                }
                Input::Read(sender) => drop(sender.send(Err(Undecided::NotLeader(None)))),
            }
        }
        std::future::pending::<()>().await;
    };
    // Always ends by the timeout.
    let _ = tokio::time::timeout(duration, refuse).await;
}

/// Binds a TCP listener.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|source| {
        Error::start(&address.to_string(), source, "choose a free address of this host")
    })
}

fn missing_setting(what: &str) -> Error {
    Error::start(
        "settings",
        format!("{what} is not set"),
        "set it on each host that runs a replica",
    )
}
