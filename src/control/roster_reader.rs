//! Reads the platform's list of targets: the leader does, and another replica when it falls silent.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use rand::RngExt;

use super::frames::{NumberedRoster, ToReplica};
use super::reader_election::{LATE_AFTER, LOOK_EVERY, PAGE_TIMEOUT, READ_EVERY};
use super::shared::Shared;
use super::unreadable::UnreadableLines;
use crate::clock::{BootTime, boot_now};
use crate::fleet::compact::CompactTargets;
use crate::fleet::{Listed, Listing, RosterChange};
use crate::ids::ServiceId;
use crate::net::http::{CallError, HttpCall, HttpResponse, fetch};
use crate::platform::instances::{self, Page};
use crate::telemetry::roles::ReplicaMetrics;

/// A list is read once in this time at the least, however few calls it takes.
const RAREST_READ_S: f64 = 60.0;
/// Readers use at most this part of the calls that the list takes: when a leader changes, two read.
const RATE_PART: f64 = 0.6;
/// A page that was asked for too often is asked for again within this time, so many times.
const PAGE_AGAIN: Duration = Duration::from_millis(250);
const PAGE_TRIES: u32 = 8;
/// More pages than this are taken for a mistake.
const MAX_PAGES: usize = 1_000;

/// Where the list is, and how often it may be asked.
#[derive(Clone, Copy, Debug)]
pub struct ListAddress {
    /// The address.
    pub address: SocketAddr,
    /// Calls a second that it takes from all hosts together.
    pub rate_per_s: f64,
}

impl ListAddress {
    /// How often a list of so many pages may be read.
    pub fn read_every(&self, pages: usize) -> Duration {
        if self.rate_per_s <= 0.0 {
            return READ_EVERY;
        }
        let by_rate_s = pages as f64 / (self.rate_per_s * RATE_PART);
        READ_EVERY.max(Duration::from_secs_f64(by_rate_s.min(RAREST_READ_S)))
    }
}

/// Reads for as long as the process lives, whenever it is this replica's turn.
pub async fn run(shared: Rc<Shared>, own: IpAddr, list: ListAddress, metrics: Rc<ReplicaMetrics>) {
    let asks_again_at = Cell::default();
    Reader { shared, own, list: list.address, metrics, asks_again_at }.run(list).await;
}

/// The list's reader at one replica.
struct Reader {
    shared: Rc<Shared>,
    own: IpAddr,
    list: SocketAddr,
    metrics: Rc<ReplicaMetrics>,
    /// Others are asked to read once for each read here that fails.
    asks_again_at: Cell<BootTime>,
}

impl Reader {
    async fn run(&self, list: ListAddress) {
        let mut failing = false;
        let mut unreadable = UnreadableLines::default();
        let mut pages = 1;
        let mut last_own = None;
        loop {
            wait_for_turn(&self.shared, self.own, list.read_every(pages)).await;
            if last_own != Some(self.shared.reading.get().read_at()) {
                log_turn(&self.shared);
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
                    self.metrics.unreadable_entries.add(count, &[]);
                    unreadable.note(&read.listing, boot_now());
                    self.take(read.listing.into_targets(), began);
                    last_own = Some(self.shared.reading.get().read_at());
                }
                Err(error) => {
                    self.ask_others();
                    if !failing {
                        let reason = error.to_string();
                        log::warn!("event=target_list_lost list={} reason={reason:?}", self.list);
                    }
                    failing = true;
                }
            }
        }
    }

    /// Has other replicas read at once: the list may be out of this one's reach alone, and what leaves
    /// must be known everywhere in time.
    fn ask_others(&self) {
        let now = boot_now();
        let belief = self.shared.belief.borrow();
        // Others who read were asked with all the rest, or come one after another: asked once more, all
        // of them would go on reading for as long as the list is slow.
        if !belief.leads || now < self.asks_again_at.get() {
            return;
        }
        self.asks_again_at.set(now + READ_EVERY);
        let state = &belief.state;
        self.shared.broadcast(state, self.own, &ToReplica::RosterUnread);
    }

    fn take(&self, targets: Vec<Listed>, began: BootTime) {
        self.shared.note_read(began);
        let published = self.shared.belief.borrow().state.published.clone();
        let is_named = |service: &ServiceId| {
            published.as_ref().is_some_and(|known| known.deployment.services.contains_key(service))
        };
        let before = self.shared.roster.borrow().clone();
        let changed =
            self.shared.change_roster(|known| known.take(known.without_unnamed(targets, is_named)));
        let roster = self.shared.roster.borrow().clone();
        let name = roster.name();
        let state = &self.shared.belief.borrow().state;
        if changed {
            let (number, count) = (roster.number, roster.roster.len());
            log::info!("event=targets_changed number={number} count={count}");
            self.shared.broadcast(state, self.own, &change_between(&before, &roster));
        }
        let age = boot_now().saturating_sub(began);
        self.shared.broadcast(state, self.own, &ToReplica::RosterRead { name, age });
    }

    async fn read(&self) -> Result<Read, CallError> {
        let mut listing = Listing::default();
        let mut token: Option<String> = None;
        for pages in 1..=MAX_PAGES {
            let page = self.read_page(token.as_deref()).await?;
            page.entries.into_iter().for_each(|entry| listing.add(entry));
            token = page.next;
            if token.is_none() {
                return Ok(Read { listing: listing.finish()?, pages });
            }
        }
        Err("the list does not end".into())
    }

    /// Reads a page, again after a while if the list has been asked too often.
    async fn read_page(&self, token: Option<&str>) -> Result<Page, CallError> {
        let mut tries = 0;
        loop {
            let answer = self.fetch_page(token).await?;
            match answer.status {
                StatusCode::OK => return Ok(instances::decode(&answer.body)?),
                StatusCode::TOO_MANY_REQUESTS if tries < PAGE_TRIES => {
                    tries += 1;
                    tokio::time::sleep(PAGE_AGAIN.mul_f64(rand::rng().random())).await;
                }
                status => return Err(format!("the list answers {status}").into()),
            }
        }
    }

    /// Fetches a page, and has others read if it takes long.
    async fn fetch_page(&self, token: Option<&str>) -> Result<HttpResponse, CallError> {
        let call = HttpCall::new(self.list, Method::GET, &instances::page_path(token));
        let mut fetching = pin!(fetch(call, PAGE_TIMEOUT));
        match tokio::time::timeout(LATE_AFTER, &mut fetching).await {
            Ok(answer) => answer,
            Err(_) => {
                self.ask_others();
                fetching.await
            }
        }
    }
}

/// What tells another replica that has one list of the next one.
fn change_between(before: &NumberedRoster, now: &NumberedRoster) -> ToReplica {
    let RosterChange { changed, gone } = before.roster.change_to(&now.roster);
    ToReplica::RosterChanged {
        before: before.name(),
        name: now.name(),
        changed: CompactTargets::of(changed.iter()),
        gone,
        remembered: before.roster.remembered_by(&now.roster),
    }
}

/// Waits until this replica should read: as soon as it leads, since all replicas may have just started
/// and entries wait for the first list, and then regularly, or once another one fails to or nobody does.
async fn wait_for_turn(shared: &Shared, own: IpAddr, read_every: Duration) {
    let mut belief = shared.belief.subscribe();
    let led = belief.borrow_and_update().leads;
    tokio::select! {
        () = tokio::time::sleep(read_every) => {}
        // The sender lives as long as `shared`.
        _ = belief.wait_for(|belief| belief.leads && !led) => {}
    }
    let place = rand::rng().random();
    while !shared.belief.borrow().leads
        && boot_now()
            < shared.reading.get().takes_over_at(place, asked_before(shared, own), read_every)
    {
        tokio::select! {
            () = tokio::time::sleep(LOOK_EVERY) => {}
            _ = belief.wait_for(|belief| belief.leads) => {}
        }
    }
}

/// How many replicas that don't lead are asked to read before this one.
fn asked_before(shared: &Shared, own: IpAddr) -> usize {
    let belief = shared.belief.borrow();
    let others = belief.state.places.values().filter(|ip| Some(**ip) != belief.leader);
    others.filter(|ip| **ip < own).count()
}

/// Tells that this replica reads the list, which another one did before.
fn log_turn(shared: &Shared) {
    let unread = boot_now().saturating_sub(shared.reading.get().read_at());
    log::info!(
        "event=target_list_reader_changed leads={} unread_ms={} number={}",
        shared.belief.borrow().leads,
        unread.as_millis(),
        shared.roster.borrow().number
    );
}

/// A whole list.
struct Read {
    listing: Listing,
    pages: usize,
}
