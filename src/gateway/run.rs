//! Starts an entry and shuts it down gracefully.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use tokio::sync::watch;
use tokio::time::Instant;

use super::routed_request::Origin;
use super::state::Gateway;
use super::{scheduler_connection, server, subscription};
use crate::control::run::listen;
use crate::error::{Error, Result};
use crate::essential_tasks::essential_tasks;
use crate::host::HostSettings;
use crate::net::text_server;
use crate::reload;
use crate::telemetry::deployment_metrics::EntryMetrics;

/// How long an entry still accepts callers after it reports that it is not ready. The load balancer
/// checks readiness once a second and removes an entry after two failed checks.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period the remaining connections are abandoned.
const GRACE_RESERVE: Duration = Duration::from_millis(400);
/// How long before that the time of requests is over which arrive during a shutdown. Covers the answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(250);
/// How often a shutdown checks whether all connections are closed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often expired idle connections to targets are closed.
const POOL_CLEAN_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the entry until the process receives a termination signal, then shuts it down gracefully.
///
/// # Errors
/// If the entry can't start, signals can't be handled, or an essential task ends.
pub async fn run(host: HostSettings) -> Result<()> {
    let callers_address = host.callers_address.ok_or_else(|| missing("callers' address"))?;
    let readiness_address = host.readiness_address.ok_or_else(|| missing("readiness address"))?;
    log::info!(
        "event=start role=entry host={} callers={callers_address} metrics={}",
        host.name,
        SocketAddr::new(host.ip, host.metrics_port)
    );
    let gateway = Rc::new(Gateway::new(host, EntryMetrics::new()?));
    let (closing, closed) = watch::channel(false);
    let (tasks, mut first_exit) = essential_tasks();
    subscription::start(&gateway, &tasks);
    tasks.spawn("scheduler_connection", scheduler_connection::keep_connected(gateway.clone()));
    let ready = listen(readiness_address).await?;
    let readiness_gateway = gateway.clone();
    let readiness = move || match readiness_gateway.is_ready() {
        true => (StatusCode::OK, "ready".to_string()),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready".to_string()),
    };
    tasks.spawn("readiness", text_server::serve(ready, readiness));
    let metrics_gateway = gateway.clone();
    let metrics = listen(SocketAddr::new(gateway.host.ip, gateway.host.metrics_port)).await?;
    let metrics_text = move || (StatusCode::OK, metrics_gateway.metrics_text());
    tasks.spawn("metrics", text_server::serve(metrics, metrics_text));
    let callers = listen(callers_address).await?;
    // Not an essential task: it ends by itself when a shutdown closes the listener.
    tokio::task::spawn_local(server::accept(
        gateway.clone(),
        Origin::Caller,
        callers,
        closed.clone(),
    ));
    let peers = listen(SocketAddr::new(gateway.host.ip, gateway.host.peer_port)).await?;
    tasks.spawn("entries", server::accept(gateway.clone(), Origin::Entry, peers, closed));
    tasks.spawn("clean", close_expired_connections(gateway.clone()));
    let reloaded = reload::watch_settings(gateway.host.clone(), |host| {
        gateway.replicas.borrow_mut().extend(host.seeds.iter().map(|seed| seed.ip()));
    });
    tokio::select! {
        ended = crate::commands::wait_for_shutdown_signal() => ended?,
        failed = reloaded => failed?,
        error = first_exit.wait() => return Err(error),
    }
    shut_down(&gateway, &closing).await;
    Ok(())
}

async fn close_expired_connections(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(POOL_CLEAN_INTERVAL).await;
        gateway.pool.retain(|_| true);
        gateway.peer_pool.retain(|_| true);
    }
}

async fn shut_down(gateway: &Gateway, closing: &watch::Sender<bool>) {
    let started_at = Instant::now();
    log::info!(
        "event=stopping answering={} open={}",
        gateway.active_requests.get(),
        gateway.connections.open_count()
    );
    let grace = gateway.host.periods.shutdown_grace.saturating_sub(GRACE_RESERVE).max(DRAIN_NOTICE);
    gateway.stops_at.set(Some(started_at + grace.saturating_sub(ANSWER_RESERVE)));
    gateway.stopping.set(true);
    tokio::time::sleep(DRAIN_NOTICE).await;
    closing.send_replace(true);
    while gateway.connections.open_count() > 0 && started_at.elapsed() < grace {
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    log::info!(
        "event=stop answering={} open={}",
        gateway.active_requests.get(),
        gateway.connections.open_count()
    );
}

fn missing(what: &str) -> Error {
    Error::start("settings", format!("{what} is missing"), "give it to a host that runs an entry")
}
