//! Subscribes to the updates of replicas, and replaces replicas that fall silent.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::state::Gateway;
use super::subscription_log::SubscriptionReturn;
use super::subscription_policy::Subscription;
use super::termination;
use crate::clock::{BootTime, boot_now};
use crate::control::entry_directory::EntryProcess;
use crate::control::frames::{
    self, Handshake, RosterSubscription, SubscriberRequest, Update, encode,
};
use crate::control::publisher::HEARTBEAT_INTERVAL;
use crate::essential_tasks::EssentialTasks;
use crate::net;
use crate::quarantine::Revision;
use crate::scheduler::weights;
use crate::telemetry::logs::joined;

/// Number of concurrent subscriptions. With one, a new deployment would be delayed if its replica
/// were cut off from the leader at that time.
const SUBSCRIPTIONS_AT_ONCE: usize = 2;
/// A subscription without updates for this long, which is three heartbeats, is ended.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(HEARTBEAT_INTERVAL.as_millis() as u64 * 3);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Capacity of the queue of requests to a replica.
const REQUEST_QUEUE_LEN: usize = 4;
/// Number of leaving targets that are named in a log line.
const MAX_LOGGED_LEAVING: usize = 8;
/// Delay before the next subscription after one has failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Starts the tasks that maintain the subscriptions.
pub fn start(gateway: &Rc<Gateway>, tasks: &EssentialTasks) {
    for _ in 0..SUBSCRIPTIONS_AT_ONCE {
        tasks.spawn("subscription", keep_subscribed(gateway.clone()));
    }
}

async fn keep_subscribed(gateway: Rc<Gateway>) {
    let mut last = None;
    loop {
        let subscription = {
            let replicas = gateway.replicas.borrow();
            let mut subscriptions = gateway.subscriptions.borrow_mut();
            subscriptions.begin(&replicas, last, boot_now(), &mut rand::rng())
        };
        let mut pause = RECONNECT_DELAY;
        if let Some(mut subscription) = subscription {
            let replica = subscription.replica;
            let ended = subscribe(&gateway, &mut subscription).await;
            gateway.subscriptions.borrow_mut().end(subscription, ended.is_err(), boot_now());
            last = Some(replica);
            match ended {
                Ok(()) => pause = Duration::ZERO,
                Err(error) => log_loss(&gateway, replica, &error.to_string()),
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Receives updates of one replica until it fails, falls silent, or a local replica is available.
async fn subscribe(gateway: &Gateway, subscription: &mut Subscription) -> std::io::Result<()> {
    let replica = subscription.replica;
    let to = SocketAddr::new(replica, gateway.host.peer_port);
    let stream = net::connect(to, CONNECT_TIMEOUT, SILENCE_TIMEOUT).await?;
    let (read, mut write) = stream.into_split();
    let (requests, requested) = mpsc::channel(REQUEST_QUEUE_LEN);
    let introduction = Handshake::Entry {
        name: gateway.host.name.clone(),
        process: EntryProcess { ip: gateway.host.ip, start: gateway.start },
        failure_domain: gateway.host.failure_domain.clone(),
        deployment: gateway.table().map_or(0, |table| table.deployment().version),
        named: weights::ages(&gateway.rollouts.borrow(), boot_now()),
    };
    write.write_all(&encode(&introduction)).await?;
    tokio::select! {
        ended = receive(gateway, subscription, read, requests) => ended,
        ended = send(gateway, write, requested) => ended,
    }
}

/// Sends requests, and news of the quarantine and of targets, to a replica.
async fn send(
    gateway: &Gateway,
    mut write: OwnedWriteHalf,
    mut requested: mpsc::Receiver<RosterSubscription>,
) -> std::io::Result<()> {
    let mut quarantine = gateway.quarantine.subscribe();
    // A restarted replica may have lost its quarantine, so it gets all reports at first.
    quarantine.mark_changed();
    let mut sent = Revision::default();
    let mut news = gateway.news.subscribe();
    let mut news_sent = 0;
    // The handshake has told the version known so far.
    let mut held = gateway.deployment_held.subscribe();
    news.mark_changed();
    let mut confirm = gateway.confirm_requests.subscribe();
    // Repeats the last request for a confirmation, as the previous replica may not have answered.
    if *confirm.borrow() > 0 {
        confirm.mark_changed();
    }
    let mut streams = gateway.streams.subscribe();
    streams.mark_changed();
    let mut streams_sent = 0;
    let mut lookups = gateway.stream_lookups.subscribe();
    lookups.mark_changed();
    let mut last_lookup = 0;
    loop {
        let frame = tokio::select! {
            request = requested.recv() => match request {
                Some(request) => SubscriberRequest::SubscribeRoster(request),
                // The receiving half has ended.
                None => return Ok(()),
            },
            changed = confirm.changed() => {
                changed.map_err(std::io::Error::other)?;
                SubscriberRequest::Confirm(*confirm.borrow_and_update())
            }
            changed = held.changed() => {
                changed.map_err(std::io::Error::other)?;
                SubscriberRequest::DeploymentHeld(*held.borrow_and_update())
            }
            changed = news.changed() => {
                changed.map_err(std::io::Error::other)?;
                let known = news.borrow_and_update();
                let unsent = known.since(news_sent, boot_now());
                news_sent = known.revision();
                if unsent.is_empty() {
                    continue;
                }
                SubscriberRequest::News(unsent)
            }
            changed = streams.changed() => {
                changed.map_err(std::io::Error::other)?;
                let known = streams.borrow_and_update();
                // Streams of settled services are told once there is another version.
                let is_settled = !gateway.fleet.borrow().software().any_unsettled(boot_now());
                if gateway.has_roster() && is_settled {
                    continue;
                }
                let unsent = known.since(streams_sent);
                streams_sent = known.revision();
                if unsent.is_empty() {
                    continue;
                }
                SubscriberRequest::Streams(unsent)
            }
            changed = lookups.changed() => {
                changed.map_err(std::io::Error::other)?;
                let next = lookups.borrow_and_update().after(last_lookup).next();
                let Some(lookup) = next else { continue };
                last_lookup = lookup.id;
                // There may be more of them.
                lookups.mark_changed();
                SubscriberRequest::FindStream(lookup)
            }
            changed = quarantine.changed() => {
                changed.map_err(std::io::Error::other)?;
                let known = quarantine.borrow_and_update();
                let reports = match sent {
                    0 => known.reports_since(sent, boot_now()),
                    _ => known.news_since(sent, boot_now()),
                };
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
        let update: Update =
            tokio::time::timeout(SILENCE_TIMEOUT, frames::read(&mut read)).await??;
        let is_heartbeat = matches!(update, Update::Heartbeat { .. });
        if let Update::RosterVersionOnly { version, .. } = &update {
            subscription.observe_name(*version, boot_now());
        }
        let known = gateway.roster_name();
        gateway.observe(update).map_err(std::io::Error::other)?;
        if gateway.roster_name() != known {
            termination::record_unlisted(gateway);
            log_roster(gateway, replica);
        }
        // Replicas send their failure domains before the first heartbeat.
        if is_heartbeat {
            let now = boot_now();
            log_return(gateway, replica, now);
            let replicas = gateway.replicas.borrow().clone();
            if gateway.subscriptions.borrow().should_switch(subscription, &replicas, now) {
                return Ok(());
            }
            let held = gateway.held_roster();
            let request =
                gateway.subscriptions.borrow_mut().request(subscription, held, &replicas, now);
            if let Some(request) = request {
                requests.send(request).await.map_err(std::io::Error::other)?;
            }
        }
    }
}

fn log_loss(gateway: &Gateway, replica: IpAddr, reason: &str) {
    let mut log = gateway.subscription_log.borrow_mut();
    log.retain(&gateway.replicas.borrow());
    let Some(losses) = log.lost(replica, reason, boot_now()) else { return };
    log::info!(
        "event=subscription_lost replica={replica} reason={reason:?} losses={losses} age_ms={}",
        gateway.state_age_ms()
    );
}

fn log_return(gateway: &Gateway, replica: IpAddr, now: BootTime) {
    let ended = gateway.subscription_log.borrow_mut().confirmed(replica, now);
    let Some(SubscriptionReturn { lost_for, unlogged_losses }) = ended else { return };
    log::info!(
        "event=subscription_restored replica={replica} lost_ms={} losses={unlogged_losses}",
        lost_for.as_millis()
    );
}

/// Logs the roster that is now in use and the targets that are leaving.
fn log_roster(gateway: &Gateway, replica: IpAddr) {
    let name = gateway.roster_name();
    let fleet = gateway.fleet.borrow();
    let leaving = fleet.listed_leaving();
    let first_leaving = joined(leaving.iter().take(MAX_LOGGED_LEAVING));
    log::info!(
        "event=targets_updated number={} digest={:x} replica={replica} leaving={} \
         first_leaving={first_leaving}",
        name.number,
        name.digest,
        leaving.len(),
    );
}
