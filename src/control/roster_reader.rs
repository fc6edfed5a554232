//! Polls the platform's target list and updates the roster. The leader reads; other replicas take
//! over when it does not.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use rand::RngExt;

use super::frames::{ReplicaFrame, VersionedRoster};
use super::reader_election::{PAGE_TIMEOUT, POLL_INTERVAL, READ_INTERVAL, SLOW_PAGE_TIMEOUT};
use super::shared::Shared;
use super::state::Published;
use super::unreadable_log::UnreadableEntryLog;
use crate::clock::{BootTime, boot_now};
use crate::deployment::document::DeploymentVersion;
use crate::fleet::compact::CompactTargets;
use crate::fleet::{Listed, Listing, RosterChange};
use crate::ids::{ServiceId, TargetStart};
use crate::net::http::{CallError, HttpCall, HttpResponse, fetch};
use crate::platform::instances::{self, Page};
use crate::telemetry::deployment_metrics::ReplicaMetrics;
use crate::telemetry::logs::joined;

/// Upper limit of the interval between reads, however low the allowed rate is.
const MAX_READ_INTERVAL_S: f64 = 60.0;
/// Share of the allowed rate that one reader uses. Two replicas read for a while when the leader
/// changes.
const RATE_SHARE: f64 = 0.6;
/// A page refused with status 429 is requested again after a random delay of up to
/// `PAGE_RETRY_DELAY`, at most `MAX_PAGE_RETRIES` times.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_PAGE_RETRIES: u32 = 8;
/// A list with more pages than this is rejected.
const MAX_PAGES: usize = 1_000;
/// Largest number of targets of unnamed services that are logged.
const MAX_LOGGED_UNNAMED: usize = 3;

/// The address of the target list and its rate limit.
#[derive(Clone, Copy, Debug)]
pub struct TargetListSource {
    pub address: SocketAddr,
    /// Requests per second allowed from all hosts together; 0 if no limit is known.
    pub rate_per_s: f64,
}

impl TargetListSource {
    /// The interval between reads of a list with this many pages.
    pub fn read_interval(&self, pages: usize) -> Duration {
        if self.rate_per_s <= 0.0 {
            return READ_INTERVAL;
        }
        let by_rate_s = pages as f64 / (self.rate_per_s * RATE_SHARE);
        READ_INTERVAL.max(Duration::from_secs_f64(by_rate_s.min(MAX_READ_INTERVAL_S)))
    }
}

/// Reads the list for as long as the process lives, whenever this replica should.
pub async fn run(
    shared: Rc<Shared>,
    own_ip: IpAddr,
    list: TargetListSource,
    metrics: Rc<ReplicaMetrics>,
) {
    let next_request_at = Cell::default();
    Reader { shared, own_ip, list: list.address, metrics, next_request_at }.run(list).await;
}

/// Reads the target list at one replica.
struct Reader {
    shared: Rc<Shared>,
    own_ip: IpAddr,
    list: SocketAddr,
    metrics: Rc<ReplicaMetrics>,
    /// Other replicas are asked to read at most once per failed read.
    next_request_at: Cell<BootTime>,
}

impl Reader {
    async fn run(&self, list: TargetListSource) {
        let mut failing = false;
        let mut unreadable = UnreadableEntryLog::default();
        let mut pages = 1;
        let mut last_own_read = None;
        loop {
            wait_for_turn(&self.shared, self.own_ip, list.read_interval(pages)).await;
            if last_own_read != Some(self.shared.reader_election.get().read_at()) {
                log_reader_change(&self.shared);
            }
            let began = boot_now();
            match self.read().await {
                Ok(read) => {
                    if failing {
                        log::info!("event=target_list_regained list={}", self.list);
                    }
                    failing = false;
                    pages = read.pages;
                    let count = read.listing.unreadable_count() as u64;
                    self.metrics.malformed_entries.add(count, &[]);
                    unreadable.log_if_changed(&read.listing, boot_now());
                    self.record_targets(read.listing.into_targets(), began);
                    last_own_read = Some(self.shared.reader_election.get().read_at());
                }
                Err(error) => {
                    self.request_reads();
                    if !failing {
                        let reason = error.to_string();
                        log::warn!("event=target_list_lost list={} reason={reason:?}", self.list);
                    }
                    failing = true;
                }
            }
        }
    }

    /// Asks the other replicas to read. The list may be unreachable from this host only, and
    /// leaving targets must be known everywhere in time.
    fn request_reads(&self) {
        let now = boot_now();
        let view = self.shared.view.borrow();
        // Replicas that read on request do not ask again: the requests would keep all of them
        // reading for as long as the list is slow.
        if !view.leads || now < self.next_request_at.get() {
            return;
        }
        self.next_request_at.set(now + READ_INTERVAL);
        let state = &view.state;
        self.shared.broadcast(state, self.own_ip, &ReplicaFrame::TargetListReadFailed);
    }

    fn record_targets(&self, targets: Vec<Listed>, began: BootTime) {
        self.shared.note_read(began);
        let published = self.shared.view.borrow().state.published.clone();
        let is_named = |service: &ServiceId| {
            published.as_ref().is_some_and(|known| known.deployment.services.contains_key(service))
        };
        let before = self.shared.roster.borrow().clone();
        let changed = self
            .shared
            .change_roster(|known| known.update(known.without_unnamed(targets, is_named)));
        let roster = self.shared.roster.borrow().clone();
        let version = roster.version();
        let state = &self.shared.view.borrow().state;
        if changed {
            log_roster(&roster, published.as_ref().map_or(0, Published::version), is_named);
            self.shared.broadcast(state, self.own_ip, &roster_change(&before, &roster));
        }
        let age = boot_now().saturating_sub(began);
        self.shared.broadcast(state, self.own_ip, &ReplicaFrame::TargetListRead { version, age });
    }

    async fn read(&self) -> Result<TargetList, CallError> {
        let mut listing = Listing::default();
        let mut token: Option<String> = None;
        for pages in 1..=MAX_PAGES {
            let page = self.read_page(token.as_deref()).await?;
            page.entries.into_iter().for_each(|entry| listing.add(entry));
            token = page.next;
            if token.is_none() {
                return Ok(TargetList { listing: listing.finish()?, pages });
            }
        }
        Err("the target list has too many pages".into())
    }

    /// Reads a page, and retries if the rate limit was exceeded.
    async fn read_page(&self, token: Option<&str>) -> Result<Page, CallError> {
        let mut retries = 0;
        loop {
            let answer = self.fetch_page(token).await?;
            match answer.status {
                StatusCode::OK => return Ok(instances::decode(&answer.body)?),
                StatusCode::TOO_MANY_REQUESTS if retries < MAX_PAGE_RETRIES => {
                    retries += 1;
                    tokio::time::sleep(PAGE_RETRY_DELAY.mul_f64(rand::rng().random())).await;
                }
                status => return Err(format!("the target list answered {status}").into()),
            }
        }
    }

    /// Requests a page, and asks the other replicas to read if the answer is slow.
    async fn fetch_page(&self, token: Option<&str>) -> Result<HttpResponse, CallError> {
        let call = HttpCall::new(self.list, Method::GET, &instances::page_path(token))
            .with_long_response();
        let mut fetching = pin!(fetch(call, PAGE_TIMEOUT));
        match tokio::time::timeout(SLOW_PAGE_TIMEOUT, &mut fetching).await {
            Ok(answer) => answer,
            Err(_) => {
                self.request_reads();
                fetching.await
            }
        }
    }
}

/// The frame that updates a replica from the roster `before` to `now`.
fn roster_change(before: &VersionedRoster, now: &VersionedRoster) -> ReplicaFrame {
    let RosterChange { changed, gone } = before.roster.change_to(&now.roster);
    ReplicaFrame::RosterChanged {
        before: before.version(),
        version: now.version(),
        changed: CompactTargets::from_targets(changed.iter().map(AsRef::as_ref)),
        gone,
        remembered: before.roster.history_change_to(&now.roster),
    }
}

/// Waits until this replica should read. A new leader reads at once, since entries wait for a first
/// roster after all replicas have restarted. After that the leader reads at regular intervals;
/// other replicas read when asked to, or when nobody has read for a while.
async fn wait_for_turn(shared: &Shared, own_ip: IpAddr, read_interval: Duration) {
    let mut view = shared.view.subscribe();
    let led = view.borrow_and_update().leads;
    tokio::select! {
        () = tokio::time::sleep(read_interval) => {}
        // Never fails: `shared` holds the sender.
        _ = view.wait_for(|view| view.leads && !led) => {}
    }
    let jitter = rand::rng().random();
    while !shared.view.borrow().leads
        && boot_now()
            < shared.reader_election.get().takeover_at(
                jitter,
                request_rank(shared, own_ip),
                read_interval,
            )
    {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            _ = view.wait_for(|view| view.leads) => {}
        }
    }
}

/// This replica's position in the order in which replicas that are not the leader read on request.
fn request_rank(shared: &Shared, own_ip: IpAddr) -> usize {
    let view = shared.view.borrow();
    let others = view.state.replica_addresses.values().filter(|ip| Some(**ip) != view.leader);
    others.filter(|ip| **ip < own_ip).count()
}

/// Logs the targets that are listed from now on. Those of a service that the deployment does not name
/// get no work.
fn log_roster(
    roster: &VersionedRoster,
    deployment: DeploymentVersion,
    is_named: impl Fn(&ServiceId) -> bool,
) {
    let unnamed: Vec<&TargetStart> = roster
        .roster
        .iter()
        .filter(|listed| !is_named(&listed.service))
        .map(|listed| &listed.start)
        .collect();
    log::info!(
        "event=targets_changed number={} count={} deployment={deployment} unnamed={} \
         first_unnamed={}",
        roster.number,
        roster.roster.len(),
        unnamed.len(),
        joined(unnamed.iter().take(MAX_LOGGED_UNNAMED))
    );
}

/// Logs that this replica reads the list after another one did.
fn log_reader_change(shared: &Shared) {
    let unread = boot_now().saturating_sub(shared.reader_election.get().read_at());
    log::info!(
        "event=target_list_reader_changed leads={} unread_ms={} number={}",
        shared.view.borrow().leads,
        unread.as_millis(),
        shared.roster.borrow().number
    );
}

/// A complete target list.
struct TargetList {
    listing: Listing,
    pages: usize,
}
