//! Hears news from two replicas at a time, and turns to others when one falls silent.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::news_sources::Hearing;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::frames::{self, FollowTargets, FromListener, Introduction, News, encode};
use crate::control::news::CURRENT_EVERY;
use crate::essential::Essentials;
use crate::net;
use crate::quarantine::Revision;
use crate::scheduler::weights;

/// Replicas that an entry hears at a time: one may be cut off from its leader just when a deployment
/// is published.
const HEARD_AT_ONCE: usize = 2;
/// A replica that has said nothing for this long is left for another one.
const SILENT: Duration = Duration::from_millis(CURRENT_EVERY.as_millis() as u64 * 3);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Requests to a replica that wait to be written.
const REQUESTS: usize = 4;
/// Leaving targets that are named in a line of the log.
const LEAVING_LOGGED: usize = 8;
/// Pause between replicas.
const NEXT_AFTER: Duration = Duration::from_millis(50);

/// Starts to hear news for as long as the process lives.
pub fn start(gateway: &Rc<Gateway>, tasks: &Essentials) {
    for _ in 0..HEARD_AT_ONCE {
        tasks.spawn("news", keep_hearing(gateway.clone()));
    }
}

async fn keep_hearing(gateway: Rc<Gateway>) {
    let mut last = None;
    loop {
        let begun = {
            let replicas = gateway.replicas.borrow();
            let mut sources = gateway.sources.borrow_mut();
            sources.begin(&replicas, last, boot_now(), &mut rand::rng())
        };
        let mut pause = NEXT_AFTER;
        if let Some(mut hearing) = begun {
            let replica = hearing.replica;
            let heard = hear(&gateway, &mut hearing).await;
            gateway.sources.borrow_mut().end(hearing, heard.is_err(), boot_now());
            last = Some(replica);
            match heard {
                Ok(()) => pause = Duration::ZERO,
                Err(error) => {
                    let reason = error.to_string();
                    let age_ms = gateway.belief_age_ms();
                    log::info!(
                        "event=news_source_lost replica={replica} reason={reason:?} age_ms={age_ms}"
                    );
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Hears one replica until it falls silent, or another one is closer.
async fn hear(gateway: &Gateway, hearing: &mut Hearing) -> std::io::Result<()> {
    let replica = hearing.replica;
    let to = SocketAddr::new(replica, gateway.host.peer_port);
    let stream = net::connect(to, CONNECT_TIMEOUT, SILENT).await?;
    let (read, mut write) = stream.into_split();
    let (requests, requested) = mpsc::channel(REQUESTS);
    let introduction = Introduction::Entry {
        name: gateway.host.name.clone(),
        failure_domain: gateway.host.failure_domain.clone(),
        deployment: gateway.table().map_or(0, |table| table.deployment().version),
        named: weights::ages(&gateway.named_since.borrow(), boot_now()),
    };
    write.write_all(&encode(&introduction)).await?;
    tokio::select! {
        heard = listen(gateway, hearing, read, requests) => heard,
        told = tell(gateway, write, requested) => told,
    }
}

/// Tells a replica what is asked of it, and what is known here of requests under which targets end.
async fn tell(
    gateway: &Gateway,
    mut write: OwnedWriteHalf,
    mut requested: mpsc::Receiver<FollowTargets>,
) -> std::io::Result<()> {
    let mut quarantine = gateway.quarantine.subscribe();
    // A replica that has started again knows only what it is told.
    quarantine.mark_changed();
    let mut told = Revision::default();
    let mut confirm = gateway.confirm_requests.subscribe();
    // A replica that was just turned to may know what the one before did not.
    if *confirm.borrow() > 0 {
        confirm.mark_changed();
    }
    loop {
        let frame = tokio::select! {
            request = requested.recv() => match request {
                Some(request) => FromListener::FollowTargets(request),
                // Nobody listens any more.
                None => return Ok(()),
            },
            changed = confirm.changed() => {
                changed.map_err(std::io::Error::other)?;
                FromListener::Confirm(*confirm.borrow_and_update())
            }
            changed = quarantine.changed() => {
                changed.map_err(std::io::Error::other)?;
                let known = quarantine.borrow_and_update();
                let reports = known.changed_since(told, boot_now());
                told = known.revision();
                if reports.is_empty() {
                    continue;
                }
                FromListener::Quarantine(reports)
            }
        };
        write.write_all(&encode(&frame)).await?;
    }
}

async fn listen(
    gateway: &Gateway,
    hearing: &mut Hearing,
    read: OwnedReadHalf,
    requests: mpsc::Sender<FollowTargets>,
) -> std::io::Result<()> {
    let replica = hearing.replica;
    let mut read = BufReader::new(read);
    loop {
        let news: News = tokio::time::timeout(SILENT, frames::read(&mut read)).await??;
        let is_regular = matches!(news, News::Current { .. });
        if let News::RosterNamed { name, .. } = &news {
            hearing.told_name(*name, boot_now());
        }
        let known = gateway.roster_name();
        gateway.observe(news).map_err(std::io::Error::other)?;
        if gateway.roster_name() != known {
            log_roster(gateway, replica);
        }
        // By then the replica has said where replicas are.
        if is_regular {
            let now = boot_now();
            let replicas = gateway.replicas.borrow().clone();
            if gateway.sources.borrow().should_move(hearing, &replicas, now) {
                return Ok(());
            }
            let held = gateway.held_targets();
            let request = gateway.sources.borrow_mut().request(hearing, held, &replicas, now);
            if let Some(request) = request {
                requests.send(request).await.map_err(std::io::Error::other)?;
            }
        }
    }
}

/// Tells which list of targets is in use from now on, and who leaves by it.
fn log_roster(gateway: &Gateway, replica: IpAddr) {
    let (name, leaving) = (gateway.roster_name(), gateway.leaving());
    log::info!(
        "event=targets_updated number={} digest={:x} replica={replica} leaving={} first_leaving={:?}",
        name.number,
        name.digest,
        leaving.len(),
        &leaving[..leaving.len().min(LEAVING_LOGGED)]
    );
}
