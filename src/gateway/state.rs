//! What the tasks of one entry share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::call::ResponseMetadata;
use super::freshness::{Freshness, Verdict};
use super::job::Job;
use super::line_budget::LineBudget;
use super::pool::{Connection, Pool};
use super::scheduler_client::SchedulerClient;
use super::subscriptions::{HeldTargets, Subscriptions};
use crate::clock::{BootTime, boot_now};
use crate::control::frames::{ConfirmId, NumberedRoster, RosterName, Update};
use crate::control::pieces::{Assembly, Piece, PieceError};
use crate::deployment::document::DeploymentVersion;
use crate::deployment::{Deployment, Table};
use crate::fleet::budget::{RetryBudget, RetryLimit};
use crate::fleet::compact::UnknownName;
use crate::fleet::{Dispatch, FleetView, Listed, Presence, RosterChange};
use crate::host::HostSettings;
use crate::ids::TargetStart;
use crate::log::Term;
use crate::quarantine::evidence::BrokenRuns;
use crate::quarantine::{Quarantine, share};
use crate::scheduler::weights::{self, RolloutHistories};
use crate::scheduler::{EndReason, PlacementEvent, TicketId};
use crate::telemetry::roles::EntryMetrics;

/// Entries that are assumed to share the retry budget until a replica tells how many there are.
const ENTRIES_AT_FIRST: u32 = 16;
/// A leader of an earlier term is believed once none of a later one was named for this long: terms
/// begin again only after all replicas have lost their disks.
const EARLIER_TERM_AFTER: Duration = Duration::from_secs(1);

/// A time without a replica's confirmation that is worth a line in the log once it is over: longer than it takes
/// to turn to another replica.
const STALE_LOGGED_AFTER: Duration = Duration::from_secs(1);

/// A change of a list of targets that is not the one that is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("a change of another list of targets than the known one"))]
pub struct OtherRoster;

impl From<UnknownName> for OtherRoster {
    fn from(error: UnknownName) -> OtherRoster {
        log::warn!("event=targets_damaged reason={:?}", error.to_string());
        OtherRoster
    }
}

impl From<PieceError> for OtherRoster {
    fn from(error: PieceError) -> OtherRoster {
        log::warn!("event=targets_damaged reason={:?}", error.to_string());
        OtherRoster
    }
}

/// What is known of a deployment's being the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// A replica has just confirmed it.
    Newest,
    /// A later one has come.
    LaterDeployment,
    /// No replica has confirmed it lately.
    Unknown,
}

/// One entry.
pub struct Gateway {
    /// Its settings.
    pub host: HostSettings,
    /// The newest deployment; `None` until a replica has sent it. Its version never falls.
    table: RefCell<Option<Rc<Table>>>,
    /// The targets.
    pub fleet: RefCell<FleetView>,
    /// What this entry may retry.
    pub retries: RefCell<RetryBudget>,
    /// Requests under which targets have ended.
    pub quarantine: watch::Sender<Quarantine>,
    /// Runs that broke off at targets that may have ended.
    pub broken_runs: RefCell<BrokenRuns>,
    /// Rings when it was looked whether a target listens.
    pub examined: Notify,
    /// Connections to targets.
    pub pool: Pool,
    /// The connection to the scheduler.
    pub scheduler: SchedulerClient,
    /// The host of the replica that leads, as far as is known.
    pub leader: Cell<Option<IpAddr>>,
    /// The term in which it leads, and when it was last named: replicas that are behind name earlier
    /// leaders.
    leader_term: Cell<(Term, BootTime)>,
    /// Rings when another replica leads, or the same one in another term.
    pub leader_changed: Notify,
    /// Hosts of replicas.
    pub replicas: RefCell<BTreeSet<IpAddr>>,
    /// Which replicas are subscribed to.
    pub subscriptions: RefCell<Subscriptions>,
    /// The list of targets.
    roster: RefCell<NumberedRoster>,
    /// A list of which some pieces have arrived.
    assembly: RefCell<Assembly>,
    /// When weights were named.
    pub named_since: RefCell<RolloutHistories>,
    /// When a replica last said that what is known here is current.
    current_at: Cell<Option<BootTime>>,
    /// How recent the deployment that is known here surely is.
    freshness: RefCell<Freshness>,
    /// The last request for a confirmation; 0 if there was none.
    pub confirm_requests: watch::Sender<ConfirmId>,
    /// Rings when a deployment, or targets, are known that were not.
    known: Notify,
    /// Whether the process was asked to end.
    pub stopping: Cell<bool>,
    /// Requests that are being answered.
    pub answering: Cell<usize>,
    /// Its metrics.
    pub metrics: EntryMetrics,
    /// Bounds the lines that are written for requests.
    pub lines: LineBudget,
}

impl Gateway {
    /// An entry that knows nothing yet.
    pub fn new(host: HostSettings, metrics: EntryMetrics) -> Gateway {
        let rule = RetryLimit {
            ratio: host.retry_ratio,
            slack: host.retry_slack,
            window: host.periods.retry_window,
        };
        let replicas = host.seeds.iter().map(|seed| seed.ip()).collect();
        let subscriptions = RefCell::new(Subscriptions::new(host.failure_domain.clone()));
        let freshness = RefCell::new(Freshness::new(host.periods.in_force));
        Gateway {
            host,
            table: RefCell::default(),
            fleet: RefCell::default(),
            retries: RefCell::new(RetryBudget::new(rule, ENTRIES_AT_FIRST)),
            quarantine: watch::Sender::default(),
            broken_runs: RefCell::default(),
            examined: Notify::new(),
            pool: Pool::default(),
            scheduler: SchedulerClient::default(),
            leader: Cell::new(None),
            leader_term: Cell::default(),
            leader_changed: Notify::new(),
            replicas: RefCell::new(replicas),
            subscriptions,
            roster: RefCell::default(),
            assembly: RefCell::default(),
            named_since: RefCell::default(),
            current_at: Cell::new(None),
            freshness,
            confirm_requests: watch::Sender::default(),
            known: Notify::new(),
            stopping: Cell::new(false),
            answering: Cell::new(0),
            metrics,
            lines: LineBudget::default(),
        }
    }

    /// All metrics as text, with what is true now.
    pub fn metrics_text(&self) -> String {
        self.metrics.answering.record(self.answering.get() as u64, &[]);
        let held = self.quarantine.borrow().held_count(boot_now());
        self.metrics.requests_held.record(held as u64, &[]);
        if let Some(age) = self.belief_age() {
            self.metrics.belief_age_s.record(age.as_secs_f64(), &[]);
        }
        if let Some(table) = self.table() {
            self.metrics.deployment_version.record(table.deployment().version, &[]);
        }
        self.metrics.text()
    }

    /// The deployment in force here.
    pub fn table(&self) -> Option<Rc<Table>> {
        self.table.borrow().clone()
    }

    /// Whether new callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.table.borrow().is_some() && self.has_list()
    }

    /// Whether the whole list of targets is known.
    fn has_list(&self) -> bool {
        self.roster.borrow().number > 0
    }

    /// Waits until a deployment is known, for so long at the most. An entry that has just started
    /// learns it within a second if a leader has to be elected first, else at once.
    pub async fn until_deployed(&self, at_most: Duration) {
        self.until(at_most, || self.table.borrow().is_some()).await;
    }

    /// Whether a request that the deployment of this version refuses may be refused for good. Waits for a replica's
    /// confirmation if need be, and for a later deployment with it.
    pub async fn confirm(&self, version: DeploymentVersion) -> Confirmation {
        let request = self.freshness.borrow_mut().request(boot_now());
        if let Some(id) = request {
            self.confirm_requests.send_replace(id);
        }
        let verdict = || self.freshness.borrow().verdict(boot_now());
        let is_later = || self.table().is_some_and(|table| table.deployment().version > version);
        let first = verdict();
        if let Verdict::Wait(until) = first {
            let is_answered = || !matches!(verdict(), Verdict::Wait(_));
            self.until(until.saturating_sub(boot_now()), || is_later() || is_answered()).await;
        }
        match verdict() {
            _ if is_later() => Confirmation::LaterDeployment,
            Verdict::Final => Confirmation::Newest,
            Verdict::Wait(_) | Verdict::Unsure => Confirmation::Unknown,
        }
    }

    /// Waits until a target of a service is known, or the whole list, for so long at the most.
    pub async fn until_served(&self, service: &str, at_most: Duration) {
        let is_served = || self.fleet.borrow().live(service).next().is_some();
        self.until(at_most, || self.has_list() || is_served()).await;
    }

    /// Waits until a target is known, or the whole list, for so long at the most.
    pub async fn until_listed(&self, target: &TargetStart, at_most: Duration) {
        let is_listed = || self.fleet.borrow().get(target).is_some();
        self.until(at_most, || self.has_list() || is_listed()).await;
    }

    async fn until(&self, at_most: Duration, is_known: impl Fn() -> bool) {
        let knowing = async {
            while !is_known() {
                self.known.notified().await;
            }
        };
        // Whoever waited in vain is refused.
        let _ = tokio::time::timeout(at_most, knowing).await;
    }

    /// How old what is known here may be; `None` if nothing is known.
    pub fn belief_age(&self) -> Option<Duration> {
        self.current_at.get().map(|at| boot_now().saturating_sub(at))
    }

    /// The same in milliseconds, -1 if nothing is known.
    pub fn belief_age_ms(&self) -> i64 {
        self.belief_age().map_or(-1, |age| age.as_millis() as i64)
    }

    fn observe_current(&self) {
        if let Some(age) = self.belief_age().filter(|age| *age >= STALE_LOGGED_AFTER) {
            log::info!("event=belief_current again_after_ms={}", age.as_millis());
        }
        self.current_at.set(Some(boot_now()));
    }

    /// The name of the list of targets that is in use.
    pub fn roster_name(&self) -> RosterName {
        self.roster.borrow().name()
    }

    /// Whether a target is on the list that is in use.
    pub fn is_listed(&self, target: &TargetStart) -> bool {
        self.roster.borrow().roster.get(target).is_some()
    }

    /// Listed targets that are leaving.
    pub fn leaving(&self) -> Vec<TargetStart> {
        let roster = &self.roster.borrow().roster;
        let leaving = roster.iter().filter(|listed| listed.presence == Presence::Leaving);
        leaving.map(|listed| listed.start.clone()).collect()
    }

    /// Takes an update of a replica. What is older than what is known changes nothing.
    ///
    /// # Errors
    /// If it is a change of a list of targets that is not the one that is known here: the replica must
    /// tell the whole list.
    pub fn observe(&self, update: Update) -> Result<(), OtherRoster> {
        match update {
            Update::Heartbeat { replicas, entries, leader, term } => {
                self.observe_leader(leader, term);
                self.observe_current();
                if let Some(entries) = entries {
                    self.retries.borrow_mut().set_entries(entries);
                }
                if !replicas.is_empty() {
                    *self.replicas.borrow_mut() = replicas;
                }
            }
            Update::Deployment(deployment) => self.observe_deployment(deployment),
            Update::Confirmed { id, age } => {
                self.freshness.borrow_mut().confirmed(id, age);
                self.known.notify_waiters();
            }
            Update::Weights(named) => {
                weights::observe_ages(&mut self.named_since.borrow_mut(), named, boot_now());
            }
            Update::Quarantine(reports) => {
                share::change(&self.quarantine, |known| known.observe(reports, boot_now()));
            }
            Update::Domains(domains) => self.subscriptions.borrow_mut().observe_domains(domains),
            Update::RosterPiece(piece) => self.observe_piece(&piece)?,
            Update::RosterNamed { leaving, .. } => {
                self.fleet.borrow_mut().mark_leaving(leaving.iter())
            }
            Update::RosterChanged { before, name, changed, gone } => {
                let change = RosterChange { changed: changed.to_listed()?, gone };
                self.observe_leaving(change.changed.iter());
                let known = self.roster.borrow().clone();
                if known.name() >= name {
                    return Ok(());
                }
                if known.name() != before {
                    return Err(OtherRoster);
                }
                let mut roster = known.roster;
                Arc::make_mut(&mut roster).apply(change);
                let changed = NumberedRoster::new(name.number, roster);
                if changed.name() != name {
                    return Err(OtherRoster);
                }
                self.observe_roster(changed);
            }
        }
        Ok(())
    }

    /// How much longer a request must not reach a target, if targets have ended under it.
    pub fn held_for(&self, job: &Job) -> Option<Duration> {
        let known = self.quarantine.borrow();
        if known.is_empty() { None } else { known.held_for(job.fingerprint(), boot_now()) }
    }

    /// A request got a whole answer.
    pub fn answered_whole(&self, job: &Job) {
        let run = job.fingerprint();
        self.quarantine.send_if_modified(|known| known.answered_whole(run, boot_now()));
    }

    /// The host of the replica that leads, and the term in which it does.
    pub fn named_leader(&self) -> Option<(IpAddr, Term)> {
        self.leader.get().map(|leader| (leader, self.leader_term.get().0))
    }

    fn observe_leader(&self, leader: Option<IpAddr>, term: Term) {
        let (known, named_at) = self.leader_term.get();
        let now = boot_now();
        let is_behind = term < known && now < named_at + EARLIER_TERM_AFTER;
        let Some(leader) = leader.filter(|_| !is_behind) else { return };
        let is_other = (self.leader.get(), known) != (Some(leader), term);
        self.leader.set(Some(leader));
        self.leader_term.set((term, now));
        if is_other {
            self.leader_changed.notify_waiters();
        }
    }

    /// Replicas may disagree for a while on which list is the later one, not on who leaves: who does by
    /// any list gets no more work.
    fn observe_leaving<'a>(&self, listed: impl Iterator<Item = &'a Listed>) {
        let leaving = listed.filter(|listed| listed.presence == Presence::Leaving);
        self.fleet.borrow_mut().mark_leaving(leaving.map(|listed| &listed.start));
    }

    /// What this entry holds of the list of targets.
    pub fn held_targets(&self) -> HeldTargets {
        HeldTargets { whole: self.roster_name(), part: self.assembly.borrow().progress() }
    }

    /// Takes a part of a list. An entry that has none serves with the targets of the first parts.
    fn observe_piece(&self, piece: &Piece) -> Result<(), PieceError> {
        if piece.of <= self.roster_name() {
            return Ok(());
        }
        let listed = piece.listed()?;
        if !self.has_list() {
            self.fleet.borrow_mut().add_partial(&listed);
            self.known.notify_waiters();
        }
        self.observe_leaving(listed.iter());
        let whole = self.assembly.borrow_mut().take(piece)?;
        whole.into_iter().for_each(|roster| self.observe_roster(roster));
        Ok(())
    }

    /// Takes a whole list. One that is not later than the known one changes nothing.
    pub fn observe_list(&self, roster: NumberedRoster) {
        self.observe_leaving(roster.roster.iter());
        self.observe_roster(roster);
    }

    fn observe_roster(&self, roster: NumberedRoster) {
        if roster.name() <= self.roster.borrow().name() {
            return;
        }
        self.fleet.borrow_mut().update(&roster.roster);
        *self.roster.borrow_mut() = roster;
        *self.assembly.borrow_mut() = Assembly::default();
        self.subscriptions.borrow_mut().has_list();
        self.known.notify_waiters();
        let listed = &self.roster.borrow().roster;
        self.pool.keep(|target| listed.get(target).is_some());
    }

    /// Keeps a connection for the next request, if the target's start is still the one that is there.
    pub fn give_back(&self, target: &TargetStart, connection: Connection) {
        if self.is_listed(target) {
            self.pool.give_back(target, connection);
        }
    }

    fn observe_deployment(&self, deployment: Arc<Deployment>) {
        let mut table = self.table.borrow_mut();
        let known = table.as_ref().map(|table| table.deployment().version);
        if known.is_none_or(|known| deployment.version > known) {
            log::info!(
                "event=deployment_in_force version={} before={known:?} routes={}",
                deployment.version,
                deployment.routes.len()
            );
            *table = Some(Rc::new(Table::new(deployment)));
            self.known.notify_waiters();
        }
    }
}

/// A request at a target, counted in the fleet and by the scheduler for as long as it lives.
pub struct AtTarget {
    gateway: Rc<Gateway>,
    dispatch: Option<Dispatch>,
    ticket: Option<TicketId>,
    end: EndReason,
}

impl AtTarget {
    /// Counts a request at a target, which the scheduler may have placed there.
    pub fn new(
        gateway: &Rc<Gateway>,
        target: &TargetStart,
        ticket: Option<TicketId>,
        reading_tokens: u64,
    ) -> AtTarget {
        let dispatch = gateway.fleet.borrow_mut().begin(target, reading_tokens);
        AtTarget {
            gateway: gateway.clone(),
            dispatch: Some(dispatch),
            ticket,
            end: EndReason::Cancelled,
        }
    }

    /// Its prompt has been read: the first part of the answer is here.
    pub fn has_read(&mut self, outcome: &ResponseMetadata) {
        let Some(dispatch) = &mut self.dispatch else { return };
        if !self.gateway.fleet.borrow_mut().end_prefill(dispatch) {
            return;
        }
        if let Some(ticket) = self.ticket {
            let (weight_version, load) = (outcome.weight_version, outcome.load);
            self.gateway.scheduler.tell(PlacementEvent::FirstToken {
                ticket,
                weight_version,
                load,
            });
        }
    }

    /// How it ends. Without a word, the caller has left.
    pub fn ends(&mut self, end: EndReason) {
        self.end = end;
    }
}

impl Drop for AtTarget {
    fn drop(&mut self) {
        if let Some(dispatch) = self.dispatch.take() {
            self.gateway.fleet.borrow_mut().end(dispatch);
        }
        if let Some(ticket) = self.ticket {
            self.gateway.scheduler.tell(PlacementEvent::Ended { ticket, end: self.end });
        }
    }
}
