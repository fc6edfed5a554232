//! Hears news from two replicas at a time, and turns to others when one falls silent.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::io::{AsyncWriteExt, BufReader};

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

/// Hosts that subscriptions of this entry use.
type InUse = Rc<RefCell<BTreeSet<IpAddr>>>;

/// Starts to hear news for as long as the process lives.
pub fn start(gateway: &Rc<Gateway>, tasks: &Essentials) {
    let in_use = InUse::default();
    for _ in 0..HEARD_AT_ONCE {
        tasks.spawn("news", keep_hearing(gateway.clone(), in_use.clone()));
    }
}

async fn keep_hearing(gateway: Rc<Gateway>, in_use: InUse) {
    let mut last = None;
    loop {
        let picked = pick(&gateway, &in_use.borrow(), last);
        if let Some(replica) = picked {
            in_use.borrow_mut().insert(replica);
            let heard = hear(&gateway, replica).await;
            in_use.borrow_mut().remove(&replica);
            last = Some(replica);
            if let Err(error) = heard {
                log::info!("event=replica_left replica={replica} reason={:?}", error.to_string());
            }
        }
        tokio::time::sleep(NEXT_AFTER).await;
    }
}

/// A replica that no subscription uses; not the last one, if there is another.
fn pick(gateway: &Gateway, in_use: &BTreeSet<IpAddr>, last: Option<IpAddr>) -> Option<IpAddr> {
    let replicas = gateway.replicas.borrow();
    let free: Vec<IpAddr> = replicas.difference(in_use).copied().collect();
    let others: Vec<IpAddr> = free.iter().copied().filter(|ip| Some(*ip) != last).collect();
    others.choose(&mut rand::rng()).or_else(|| free.first()).copied()
}

async fn hear(gateway: &Gateway, replica: IpAddr) -> std::io::Result<()> {
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
        let known = gateway.roster_name();
        // Heard anew, a replica tells the whole list.
        gateway.take(news).map_err(std::io::Error::other)?;
        if gateway.roster_name() != known {
            log_roster(gateway, replica);
        }
    }
}

/// Tells which list of targets is in use from now on, and who leaves by it.
fn log_roster(gateway: &Gateway, replica: IpAddr) {
    let (name, leaving) = (gateway.roster_name(), gateway.leaving());
    log::info!(
        "event=targets_heard number={} digest={:x} replica={replica} leaving={} first_leaving={:?}",
        name.number,
        name.digest,
        leaving.len(),
        &leaving[..leaving.len().min(LEAVING_LOGGED)]
    );
}
