//! Reads the platform's list of targets: the leader does, and another replica when it falls silent.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use rand::RngExt;

use super::frames::ToReplica;
use super::replica::Shared;
use super::unreadable::UnreadableLines;
use crate::clock::boot_now;
use crate::fleet::{Listed, Listing};
use crate::net::http::{CallError, Exchange, fetch};
use crate::platform::instances::{self, Page};
use crate::telemetry::roles::ReplicaMetrics;

/// How often the list is read. It lags by about 800 ms by itself, and a leaving target must get no
/// new work 3 s after it is listed so; each read has a price.
const READ_EVERY: Duration = Duration::from_millis(500);
/// A replica that does not lead reads the list once nobody has for this long.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(1_200);
/// Spreads replicas that take over at the same time.
const TAKE_OVER_SPREAD: Duration = Duration::from_millis(600);
/// A list is read once in this time at the least, however few calls it takes.
const RAREST_READ_S: f64 = 60.0;
/// Readers use at most this part of the calls that the list takes: when a leader changes, two read.
const RATE_PART: f64 = 0.6;
/// A page that was asked for too often is asked for again within this time, so many times.
const PAGE_AGAIN: Duration = Duration::from_millis(250);
const PAGE_TRIES: u32 = 8;
/// Longest time for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
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
    let mut failing = false;
    let mut unreadable = UnreadableLines::default();
    let mut pages = 1;
    loop {
        turn(&shared, list.read_every(pages)).await;
        match read(list.address).await {
            Ok(read) => {
                if failing {
                    log::info!("event=target_list_regained list={}", list.address);
                }
                failing = false;
                pages = read.pages;
                metrics.unreadable_entries.add(read.listing.unreadable_count() as u64, &[]);
                unreadable.note(&read.listing, boot_now());
                take(&shared, own, read.listing.into_targets());
            }
            Err(error) if !failing => {
                failing = true;
                let reason = error.to_string();
                log::warn!("event=target_list_lost list={} reason={reason:?}", list.address);
            }
            Err(_) => {}
        }
    }
}

/// Waits until this replica should read: as soon as it leads, since all replicas may have just started
/// and entries wait for the first list, and then regularly, or once nobody else does.
async fn turn(shared: &Shared, read_every: Duration) {
    let mut belief = shared.belief.subscribe();
    loop {
        let patience = TAKE_OVER_AFTER + TAKE_OVER_SPREAD.mul_f64(rand::rng().random());
        let led = belief.borrow_and_update().leads;
        tokio::select! {
            () = tokio::time::sleep(read_every) => {}
            // The sender lives as long as `shared`.
            _ = belief.wait_for(|belief| belief.leads && !led) => {}
        }
        let age = boot_now().saturating_sub(shared.roster_read_at.get());
        if shared.belief.borrow().leads || age >= patience.max(read_every * 2) {
            return;
        }
    }
}

fn take(shared: &Shared, own: IpAddr, targets: Vec<Listed>) {
    shared.roster_read_at.set(boot_now());
    let changed = shared.change_roster(|known| known.take(targets));
    let roster = shared.roster.borrow().clone();
    let frame = match changed {
        true => {
            log::info!(
                "event=targets_changed number={} count={}",
                roster.number,
                roster.roster.len()
            );
            ToReplica::Roster(roster)
        }
        false => ToReplica::RosterUnchanged(roster.number),
    };
    shared.tell(&shared.belief.borrow().state, own, &frame);
}

/// A whole list.
struct Read {
    listing: Listing,
    pages: usize,
}

async fn read(list: SocketAddr) -> Result<Read, CallError> {
    let mut listing = Listing::default();
    let mut token: Option<String> = None;
    for pages in 1..=MAX_PAGES {
        let page = read_page(list, token.as_deref()).await?;
        page.entries.into_iter().for_each(|entry| listing.add(entry));
        token = page.next;
        if token.is_none() {
            return Ok(Read { listing: listing.finish()?, pages });
        }
    }
    Err("the list does not end".into())
}

/// Reads a page, again after a while if the list has been asked too often.
async fn read_page(list: SocketAddr, token: Option<&str>) -> Result<Page, CallError> {
    let mut tries = 0;
    loop {
        let call = Exchange::new(list, Method::GET, &instances::page_path(token));
        let answer = fetch(call, PAGE_TIMEOUT).await?;
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
