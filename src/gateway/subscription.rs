//! Subscribes to updates of two replicas at a time, and turns to others when one falls silent.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::examine;
use super::state::Gateway;
use super::subscriptions::Subscription;
use crate::clock::boot_now;
use crate::control::frames::{
    self, Handshake, RosterSubscription, SubscriberRequest, Update, encode,
};
use crate::control::publisher::HEARTBEAT_INTERVAL;
use crate::essential::Essentials;
use crate::net;
use crate::quarantine::Revision;
use crate::scheduler::weights;

/// Replicas that an entry subscribes to at a time: one may be cut off from its leader just when a deployment
/// is published.
const SUBSCRIPTIONS_AT_ONCE: usize = 2;
/// A replica that has sent nothing for this long is left for another one: three heartbeats.
const SILENT: Duration = Duration::from_millis(HEARTBEAT_INTERVAL.as_millis() as u64 * 3);
/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Requests to a replica that wait to be written.
const REQUESTS: usize = 4;
/// Leaving targets that are named in a line of the log.
const LEAVING_LOGGED: usize = 8;
/// Pause between replicas.
const NEXT_AFTER: Duration = Duration::from_millis(50);

/// Subscribes to replicas for as long as the process lives.
pub fn start(gateway: &Rc<Gateway>, tasks: &Essentials) {
    for _ in 0..SUBSCRIPTIONS_AT_ONCE {
        tasks.spawn("subscription", keep_subscribed(gateway.clone()));
    }
}

async fn keep_subscribed(gateway: Rc<Gateway>) {
    let mut last = None;
    loop {
        let begun = {
            let replicas = gateway.replicas.borrow();
            let mut subscriptions = gateway.subscriptions.borrow_mut();
            subscriptions.begin(&replicas, last, boot_now(), &mut rand::rng())
        };
        let mut pause = NEXT_AFTER;
        if let Some(mut subscription) = begun {
            let replica = subscription.replica;
            let ended = subscribe(&gateway, &mut subscription).await;
            gateway.subscriptions.borrow_mut().end(subscription, ended.is_err(), boot_now());
            last = Some(replica);
            match ended {
                Ok(()) => pause = Duration::ZERO,
                Err(error) => {
                    let reason = error.to_string();
                    let age_ms = gateway.belief_age_ms();
                    log::info!(
                        "event=subscription_lost replica={replica} reason={reason:?} age_ms={age_ms}"
                    );
                }
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Takes updates of one replica until it falls silent, or another one is closer.
async fn subscribe(gateway: &Gateway, subscription: &mut Subscription) -> std::io::Result<()> {
    let replica = subscription.replica;
    let to = SocketAddr::new(replica, gateway.host.peer_port);
    let stream = net::connect(to, CONNECT_TIMEOUT, SILENT).await?;
    let (read, mut write) = stream.into_split();
    let (requests, requested) = mpsc::channel(REQUESTS);
    let introduction = Handshake::Entry {
        name: gateway.host.name.clone(),
        failure_domain: gateway.host.failure_domain.clone(),
        deployment: gateway.table().map_or(0, |table| table.deployment().version),
        named: weights::ages(&gateway.named_since.borrow(), boot_now()),
    };
    write.write_all(&encode(&introduction)).await?;
    tokio::select! {
        ended = receive(gateway, subscription, read, requests) => ended,
        ended = send(gateway, write, requested) => ended,
    }
}

/// Sends a replica what is asked of it, and what is known here of requests under which targets end.
async fn send(
    gateway: &Gateway,
    mut write: OwnedWriteHalf,
    mut requested: mpsc::Receiver<RosterSubscription>,
) -> std::io::Result<()> {
    let mut quarantine = gateway.quarantine.subscribe();
    // A replica that has started again knows only what it is sent.
    quarantine.mark_changed();
    let mut sent = Revision::default();
    let mut confirm = gateway.confirm_requests.subscribe();
    // A replica that was just turned to may know what the one before did not.
    if *confirm.borrow() > 0 {
        confirm.mark_changed();
    }
    loop {
        let frame = tokio::select! {
            request = requested.recv() => match request {
                Some(request) => SubscriberRequest::SubscribeRoster(request),
                // The subscription has ended.
                None => return Ok(()),
            },
            changed = confirm.changed() => {
                changed.map_err(std::io::Error::other)?;
                SubscriberRequest::Confirm(*confirm.borrow_and_update())
            }
            changed = quarantine.changed() => {
                changed.map_err(std::io::Error::other)?;
                let known = quarantine.borrow_and_update();
                let reports = known.changed_since(sent, boot_now());
                sent = known.revision();
                if reports.is_empty() {
                    continue;
                }
                SubscriberRequest::Quarantine(reports)
            }
        };
        write.write_all(&encode(&frame)).await?;
    }
}

async fn receive(
    gateway: &Gateway,
    subscription: &mut Subscription,
    read: OwnedReadHalf,
    requests: mpsc::Sender<RosterSubscription>,
) -> std::io::Result<()> {
    let replica = subscription.replica;
    let mut read = BufReader::new(read);
    loop {
        let update: Update = tokio::time::timeout(SILENT, frames::read(&mut read)).await??;
        let is_heartbeat = matches!(update, Update::Heartbeat { .. });
        if let Update::RosterVersionOnly { version, .. } = &update {
            subscription.observe_name(*version, boot_now());
        }
        let known = gateway.roster_name();
        gateway.observe(update).map_err(std::io::Error::other)?;
        if gateway.roster_name() != known {
            examine::compare_with_list(gateway);
            log_roster(gateway, replica);
        }
        // By then the replica has sent where replicas are.
        if is_heartbeat {
            let now = boot_now();
            let replicas = gateway.replicas.borrow().clone();
            if gateway.subscriptions.borrow().should_move(subscription, &replicas, now) {
                return Ok(());
            }
            let held = gateway.held_targets();
            let request =
                gateway.subscriptions.borrow_mut().request(subscription, held, &replicas, now);
            if let Some(request) = request {
                requests.send(request).await.map_err(std::io::Error::other)?;
            }
        }
    }
}

/// Logs which list of targets is in use from now on, and who leaves by it.
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
