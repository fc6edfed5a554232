//! Hears news from two replicas at a time, and turns to others when one falls silent.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};

use super::news_sources::Hearing;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::control::frames::{self, Introduction, News, encode};
use crate::control::news::CURRENT_EVERY;
use crate::essential::Essentials;
use crate::net;
use crate::scheduler::weights;

/// Replicas that an entry hears at a time: one may be cut off from its leader just when a deployment
/// is published.
const HEARD_AT_ONCE: usize = 2;
/// A replica that has said nothing for this long is left for another one.
const SILENT: Duration = Duration::from_millis(CURRENT_EVERY.as_millis() as u64 * 3);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
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
                    log::info!("event=news_source_lost replica={replica} reason={reason:?}");
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
    let introduction = Introduction::Entry {
        name: gateway.host.name.clone(),
        failure_domain: gateway.host.failure_domain.clone(),
        named: weights::ages(&gateway.named_since.borrow(), boot_now()),
    };
    write.write_all(&encode(&introduction)).await?;
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
                write.write_all(&encode(&request)).await?;
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
