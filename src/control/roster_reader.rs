//! Reads the platform's list of targets: the leader does, and another replica when it falls silent.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use rand::RngExt;

use super::frames::ToReplica;
use super::replica::Shared;
use crate::clock::boot_now;
use crate::fleet::Listed;
use crate::net::http::{CallError, Exchange, fetch};
use crate::platform::instances;

/// How often the list is read. It lags by about 800 ms by itself, and a leaving target must get no
/// new work 3 s after it is listed so; each read has a price.
const READ_EVERY: Duration = Duration::from_millis(500);
/// A replica that does not lead reads the list once nobody has for this long.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(1_200);
/// Spreads replicas that take over at the same time.
const TAKE_OVER_SPREAD: Duration = Duration::from_millis(600);
/// Longest time for one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// More pages than this are taken for a mistake.
const MAX_PAGES: usize = 1_000;

/// Reads for as long as the process lives: at once when it starts, since all replicas may have just
/// started and entries wait for the first list, and then when it is this replica's turn.
pub async fn run(shared: Rc<Shared>, own: IpAddr, list: SocketAddr) {
    let mut failing = false;
    loop {
        match read(list).await {
            Ok(targets) => {
                if failing {
                    log::info!("event=target_list_regained list={list}");
                }
                failing = false;
                take(&shared, own, targets);
            }
            Err(error) if !failing => {
                failing = true;
                log::warn!("event=target_list_lost list={list} reason={:?}", error.to_string());
            }
            Err(_) => {}
        }
        turn(&shared).await;
    }
}

/// Waits until this replica should read again.
async fn turn(shared: &Shared) {
    loop {
        let patience = TAKE_OVER_AFTER + TAKE_OVER_SPREAD.mul_f64(rand::rng().random());
        tokio::time::sleep(READ_EVERY).await;
        let age = boot_now().saturating_sub(shared.roster_read_at.get());
        if shared.belief.borrow().leads || age >= patience {
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

async fn read(list: SocketAddr) -> Result<Vec<Listed>, CallError> {
    let mut targets = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let path = instances::page_path(token.as_deref());
        let answer = fetch(Exchange::new(list, Method::GET, &path), PAGE_TIMEOUT).await?;
        if answer.status != StatusCode::OK {
            return Err(format!("the list answers {}", answer.status).into());
        }
        let (page, next) = instances::decode(&answer.body)?;
        targets.extend(page);
        token = next;
        if token.is_none() {
            return Ok(targets);
        }
    }
    Err("the list does not end".into())
}
