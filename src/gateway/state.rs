//! State that all tasks of an entry share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::connections::Connections;
use super::entry_roster::RosterMismatch;
use super::freshness::{Freshness, Verdict};
use super::log_limiter::RequestLogLimiter;
use super::peers::Peers;
use super::pool::Pool;
use super::request_record::RequestRecord;
use super::routed_request::RoutedRequest;
use super::scheduler_client::SchedulerClient;
use super::subscription_log::SubscriptionLog;
use super::subscription_policy::Subscriptions;
use crate::clock::{BootTime, boot_now};
use crate::control::entry_directory::EntryStart;
use crate::control::frames::{ConfirmId, Update};
use crate::control::pieces::Assembly;
use crate::control::stream_lookups::StreamLookups;
use crate::deployment::document::DeploymentVersion;
use crate::deployment::{Deployment, RoutingTable};
use crate::fleet::budget::RetryBudget;
use crate::fleet::locality::Locality;
use crate::fleet::news::NewsTable;
use crate::fleet::paths::Paths;
use crate::fleet::rate::IndependentShare;
use crate::fleet::streams::StreamTable;
use crate::fleet::{FleetView, RosterChange};
use crate::host::HostSettings;
use crate::ids::{ServiceId, TargetStart};
use crate::log::Term;
use crate::net::body_memory::BodyMemory;
use crate::quarantine::broken_runs::BrokenRuns;
use crate::quarantine::{Fingerprint, Hold, Quarantine, notify};
use crate::scheduler::weights::{self, RolloutHistories};
use crate::telemetry::deployment_metrics::EntryMetrics;
use crate::telemetry::logs::or_dash;

/// A leader of an earlier term is accepted if no leader of the known term was reported for this
/// long. Terms start over only after all replicas have lost their disks.
const TERM_RESET_AFTER: Duration = Duration::from_secs(1);

/// A gap between heartbeats of at least this length is logged. Longer than a switch to another
/// replica takes.
const LOG_STALE_AFTER: Duration = Duration::from_secs(1);

/// Whether a deployment is known to be the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// A replica has confirmed it recently.
    Newest,
    /// A later deployment has arrived.
    LaterDeployment,
    /// No replica has confirmed it in time.
    Unknown,
}

/// The state of an entry.
pub struct Gateway {
    pub host: HostSettings,
    /// Routing table of the newest known deployment. Its version never decreases.
    table: RefCell<Option<Rc<RoutingTable>>>,
    /// All known targets.
    pub fleet: RefCell<FleetView>,
    /// This entry's share of the retry budget.
    pub retries: RefCell<RetryBudget>,
    /// Requests that repeatedly terminate targets.
    pub quarantine: watch::Sender<Quarantine>,
    /// Version of the newest known deployment; 0 if there is none.
    pub deployment_held: watch::Sender<DeploymentVersion>,
    /// News of targets, as noticed here.
    pub news: watch::Sender<NewsTable>,
    /// Where streams began that this entry has relayed.
    pub streams: watch::Sender<StreamTable>,
    /// Streams that replicas are asked for.
    pub stream_lookups: watch::Sender<StreamLookups>,
    /// Failed runs at targets that may have terminated.
    pub broken_runs: RefCell<BrokenRuns>,
    /// Notified after each probe of whether a target still listens.
    pub probe_finished: Notify,
    /// Open connections of callers and other entries.
    pub connections: Rc<Connections>,
    /// Idle connections to targets.
    pub pool: Pool<TargetStart>,
    /// Idle connections to other entries.
    pub peer_pool: Pool<IpAddr>,
    /// Memory for the bodies of requests and of buffered responses.
    pub body_memory: BodyMemory,
    /// What this entry believes of its own path to targets.
    pub paths: RefCell<Paths>,
    /// Other entries, through which this one reaches targets if its own path to them fails.
    pub peers: RefCell<Peers>,
    /// What leaving this entry's failure domain costs, and which requests leave.
    pub locality: RefCell<Locality>,
    /// The client of the scheduler.
    pub scheduler: SchedulerClient,
    /// Host of the replica that leads, if known.
    pub leader: Cell<Option<IpAddr>>,
    /// Term of that leader, and when it was last reported. Replicas that lag behind report earlier
    /// leaders.
    leader_term: Cell<(Term, BootTime)>,
    /// Notified when the leader or its term changes.
    pub leader_changed: Notify,
    /// Hosts of all replicas.
    pub replicas: RefCell<BTreeSet<IpAddr>>,
    /// Chooses the replicas to subscribe to.
    pub subscriptions: RefCell<Subscriptions>,
    /// Limits the lines about lost subscriptions.
    pub subscription_log: RefCell<SubscriptionLog>,
    /// The number of the complete roster in use; 0 if there is none yet.
    pub(super) roster_number: Cell<u64>,
    /// A roster that has been received in part.
    pub(super) assembly: RefCell<Assembly>,
    /// Weight versions that were announced for each model, and when.
    pub rollouts: RefCell<RolloutHistories>,
    /// When the last heartbeat of a replica arrived.
    last_heartbeat: Cell<Option<BootTime>>,
    /// Whether the known deployment is confirmed to be recent.
    freshness: RefCell<Freshness>,
    /// Id of the last request for a confirmation; 0 if there was none.
    pub confirm_requests: watch::Sender<ConfirmId>,
    /// Identifies this start of the process.
    pub start: EntryStart,
    /// Makes this entry's shares of limited targets independent of those of other entries.
    share_seed: u64,
    /// Notified when a deployment, targets or a confirmation arrive.
    pub(super) state_changed: Notify,
    /// Whether a shutdown has begun.
    pub stopping: Cell<bool>,
    /// Deadline of requests that arrive during a shutdown, so that they are answered before the process ends.
    pub stops_at: Cell<Option<Instant>>,
    /// Number of requests in progress.
    pub active_requests: Cell<usize>,
    /// The metrics of this entry.
    pub metrics: EntryMetrics,
    /// Limits the rate of request log lines.
    pub log_limiter: RequestLogLimiter,
}

impl Gateway {
    /// Creates the state of an entry that has received no updates yet.
    pub fn new(host: HostSettings, metrics: EntryMetrics) -> Gateway {
        let rule = host.retry_limit();
        let replicas = host.seeds.iter().map(|seed| seed.ip()).collect();
        let subscriptions = RefCell::new(Subscriptions::new(host.failure_domain.clone()));
        let freshness = RefCell::new(Freshness::new(host.periods.config_apply_limit));
        let body_memory = BodyMemory::within(host.memory_limit_bytes);
        let connections = Rc::new(Connections::new(host.file_descriptor_limit));
        let (domain, price) = (host.failure_domain.clone(), host.cross_domain_price);
        let locality = RefCell::new(Locality::new(domain, price, rand::random()));
        Gateway {
            host,
            table: RefCell::default(),
            fleet: RefCell::default(),
            retries: RefCell::new(RetryBudget::new(rule, boot_now())),
            quarantine: watch::Sender::default(),
            deployment_held: watch::Sender::default(),
            news: watch::Sender::default(),
            streams: watch::Sender::default(),
            stream_lookups: watch::Sender::default(),
            broken_runs: RefCell::default(),
            probe_finished: Notify::new(),
            connections,
            pool: Pool::default(),
            peer_pool: Pool::default(),
            body_memory,
            paths: RefCell::default(),
            peers: RefCell::default(),
            locality,
            scheduler: SchedulerClient::default(),
            leader: Cell::new(None),
            leader_term: Cell::default(),
            leader_changed: Notify::new(),
            replicas: RefCell::new(replicas),
            subscriptions,
            subscription_log: RefCell::default(),
            roster_number: Cell::new(0),
            assembly: RefCell::default(),
            rollouts: RefCell::default(),
            last_heartbeat: Cell::new(None),
            freshness,
            confirm_requests: watch::Sender::default(),
            start: rand::random(),
            share_seed: rand::random(),
            state_changed: Notify::new(),
            stopping: Cell::new(false),
            stops_at: Cell::new(None),
            active_requests: Cell::new(0),
            metrics,
            log_limiter: RequestLogLimiter::default(),
        }
    }

    /// Updates the gauges and returns all metrics as Prometheus text.
    pub fn metrics_text(&self) -> String {
        self.metrics.active_requests.record(self.active_requests.get() as u64, &[]);
        self.metrics.remembered_streams.record(self.streams.borrow().len() as u64, &[]);
        let held = self.quarantine.borrow().held_count(boot_now());
        self.metrics.held_requests.record(held as u64, &[]);
        let evacuated = self.fleet.borrow().evacuated().count();
        self.metrics.evacuated_domains.record(evacuated as u64, &[]);
        let limited = self.fleet.borrow().limited().count();
        self.metrics.limited_targets.record(limited as u64, &[]);
        self.metrics.lost_paths.record(self.paths.borrow().lost_count() as u64, &[]);
        if let Some(age) = self.state_age() {
            self.metrics.state_age_s.record(age.as_secs_f64(), &[]);
        }
        if let Some(table) = self.table() {
            self.metrics.deployment_version.record(table.deployment().version, &[]);
        }
        self.metrics.text()
    }

    /// Takes a retry from the budget, or asks the leader for one if it is exhausted.
    pub async fn try_retry(&self, service: &ServiceId, record: &RequestRecord) -> bool {
        if self.take_retry(service, record).is_some() {
            return true;
        }
        let is_granted = self.scheduler.request_retry(service).await;
        if is_granted {
            record.retry_granted_by_leader(service);
        }
        is_granted
    }

    /// Takes a retry from the budget and returns when, unless it is exhausted.
    pub fn take_retry(&self, service: &ServiceId, record: &RequestRecord) -> Option<BootTime> {
        let now = boot_now();
        let decision = self.retries.borrow_mut().try_retry(service, now);
        record.retry_decided(service, &decision);
        decision.is_granted.then_some(now)
    }

    /// Gives back a retry that was taken at `taken_at` and not made.
    pub fn return_retry(&self, service: &ServiceId, taken_at: BootTime, record: &RequestRecord) {
        self.retries.borrow_mut().return_retry(service, taken_at);
        record.retry_returned();
    }

    /// The share of this entry in the requests to limited targets.
    pub fn independent_share(&self) -> IndependentShare {
        let entries = self.retries.borrow().entries(boot_now());
        IndependentShare { entries, seed: self.share_seed }
    }

    /// Routing table of the newest known deployment.
    pub fn table(&self) -> Option<Rc<RoutingTable>> {
        self.table.borrow().clone()
    }

    /// Whether the entry is ready for callers.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.table.borrow().is_some() && self.has_roster()
    }

    /// Whether a complete roster has been received.
    pub(super) fn has_roster(&self) -> bool {
        self.roster_number.get() > 0
    }

    /// Waits until a deployment is known, for at most `timeout`. An entry that has just started
    /// receives one at once unless the replicas must elect a leader first.
    pub async fn wait_for_deployment(&self, timeout: Duration) {
        self.wait_until(timeout, || self.table.borrow().is_some()).await;
    }

    /// Checks whether a rejection by the deployment of this version is final. Waits for the
    /// confirmation of a replica, or for a later deployment, if necessary.
    pub async fn confirm(&self, version: DeploymentVersion) -> Confirmation {
        let request = self.freshness.borrow_mut().start_request(boot_now());
        if let Some(id) = request {
            self.confirm_requests.send_replace(id);
        }
        let verdict = || self.freshness.borrow().verdict(boot_now());
        let is_later = || self.table().is_some_and(|table| table.deployment().version > version);
        let first = verdict();
        if let Verdict::Wait(until) = first {
            let is_answered = || !matches!(verdict(), Verdict::Wait(_));
            self.wait_until(until.saturating_sub(boot_now()), || is_later() || is_answered()).await;
        }
        match verdict() {
            _ if is_later() => Confirmation::LaterDeployment,
            Verdict::Confirmed => Confirmation::Newest,
            Verdict::Wait(_) | Verdict::Unconfirmed => Confirmation::Unknown,
        }
    }

    /// Waits until a target of the service or the complete roster is known, for at most `timeout`.
    pub async fn wait_for_service(&self, service: &str, timeout: Duration) {
        let is_served = || self.fleet.borrow().live(service).next().is_some();
        self.wait_until(timeout, || self.has_roster() || is_served()).await;
    }

    /// Waits until the target or the complete roster is known, for at most `timeout`.
    pub async fn wait_for_target(&self, target: &TargetStart, timeout: Duration) {
        let is_listed = || self.fleet.borrow().get(target).is_some();
        self.wait_until(timeout, || self.has_roster() || is_listed()).await;
    }

    /// Waits until something is known, which `state_changed` is notified of, for at most `timeout`.
    pub(super) async fn wait_until(&self, timeout: Duration, is_known: impl Fn() -> bool) {
        let changes = async {
            while !is_known() {
                self.state_changed.notified().await;
            }
        };
        // The caller checks the condition itself and refuses the request if it still fails.
        let _ = tokio::time::timeout(timeout, changes).await;
    }

    /// Time since the last heartbeat of a replica; `None` if there was none.
    pub fn state_age(&self) -> Option<Duration> {
        self.last_heartbeat.get().map(|at| boot_now().saturating_sub(at))
    }

    /// The same in milliseconds, or -1.
    pub fn state_age_ms(&self) -> i64 {
        self.state_age().map_or(-1, |age| age.as_millis() as i64)
    }

    fn observe_heartbeat(&self) {
        if let Some(age) = self.state_age().filter(|age| *age >= LOG_STALE_AFTER) {
            log::info!("event=belief_current again_after_ms={}", age.as_millis());
        }
        self.last_heartbeat.set(Some(boot_now()));
    }

    /// Applies an update from a replica. Updates older than the known state have no effect.
    ///
    /// # Errors
    /// If the update is a change to a roster other than the one held here. The replica must then
    /// send the complete roster.
    pub fn observe(&self, update: Update) -> Result<(), RosterMismatch> {
        match update {
            Update::Heartbeat { replicas, entries, leader, term } => {
                self.observe_leader(leader, term);
                self.observe_heartbeat();
                notify::update_and_notify(&self.quarantine, |known| {
                    known.record_deferred(boot_now())
                });
                if let Some(entries) = entries {
                    self.retries.borrow_mut().observe_entries(entries, boot_now());
                }
                if !replicas.is_empty() {
                    *self.replicas.borrow_mut() = replicas;
                }
            }
            Update::Deployment(deployment) => self.observe_deployment(deployment),
            Update::Confirmed { id, age } => {
                self.freshness.borrow_mut().confirmed(id, age);
                self.state_changed.notify_waiters();
            }
            Update::Weights(named) => {
                weights::observe_ages(&mut self.rollouts.borrow_mut(), named, boot_now());
            }
            Update::Evacuations(record) => {
                self.fleet.borrow_mut().observe_evacuations(&record, boot_now());
            }
            Update::Quarantine(reports) => {
                notify::update_and_notify(&self.quarantine, |known| {
                    known.merge_reports_of_replica(reports, boot_now())
                });
            }
            Update::News(news) => news.iter().for_each(|news| self.observe_news(news)),
            Update::Domains(domains) => self.subscriptions.borrow_mut().observe_domains(domains),
            Update::StreamFound { id, answer } => {
                self.stream_lookups.send_if_modified(|lookups| {
                    lookups.answered(id, answer);
                    false
                });
                self.state_changed.notify_waiters();
            }
            Update::PeerEntries(named) => self.peers.borrow_mut().observe(named),
            Update::RosterPiece(piece) => self.observe_piece(&piece)?,
            Update::RosterVersionOnly { leaving, .. } => {
                self.fleet.borrow_mut().mark_leaving(leaving.iter())
            }
            Update::RosterChanged { before, version, changed, gone } => {
                let change = RosterChange { changed: changed.to_listed()?, gone };
                self.observe_roster_change(before, version, change)?;
            }
        }
        Ok(())
    }

    /// Why a request is quarantined, and for how long; `None` if it is not.
    pub fn hold(&self, routed: &RoutedRequest) -> Option<Hold> {
        let known = self.quarantine.borrow();
        if known.is_empty() { None } else { known.hold(routed.fingerprints(), boot_now()) }
    }

    /// Records that a request succeeded, which clears earlier evidence against it and its parts.
    pub fn record_success(&self, fingerprints: &[Fingerprint], answered_at: BootTime) {
        self.quarantine.send_if_modified(|known| {
            known.record_completions(fingerprints, answered_at, boot_now())
        });
    }

    /// Host and term of the replica that leads.
    pub fn current_leader(&self) -> Option<(IpAddr, Term)> {
        self.leader.get().map(|leader| (leader, self.leader_term.get().0))
    }

    fn observe_leader(&self, leader: Option<IpAddr>, term: Term) {
        let (known, named_at) = self.leader_term.get();
        let now = boot_now();
        let is_stale = term < known && now < named_at + TERM_RESET_AFTER;
        let Some(leader) = leader.filter(|_| !is_stale) else { return };
        let is_other = (self.leader.get(), known) != (Some(leader), term);
        self.leader.set(Some(leader));
        self.leader_term.set((term, now));
        if is_other {
            self.leader_changed.notify_waiters();
        }
    }

    fn observe_deployment(&self, deployment: Arc<Deployment>) {
        let mut table = self.table.borrow_mut();
        let known = table.as_ref().map(|table| table.deployment().version);
        if known.is_none_or(|known| deployment.version > known) {
            log::info!(
                "event=deployment_in_force version={} before={} routes={}",
                deployment.version,
                or_dash(known),
                deployment.routes.len()
            );
            self.fleet.borrow_mut().observe_services(&deployment.services);
            self.deployment_held.send_replace(deployment.version);
            *table = Some(Rc::new(RoutingTable::new(deployment)));
            self.state_changed.notify_waiters();
        }
    }
}
