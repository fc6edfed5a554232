//! Looks whether a target has ended when a run there breaks off.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use super::job::Job;
use super::pool::Connection;
use super::record::Record;
use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::ids::TargetStart;
use crate::quarantine::evidence::{BrokenRun, Finding};
use crate::quarantine::share;
use crate::telemetry::metrics::label;

/// A target that still listened is looked at once more after this time: it may close its connections
/// before its address.
const AGAIN_AFTER: Duration = Duration::from_millis(250);
/// A request waits for the first look for this long before it is sent elsewhere. Looking takes a
/// millisecond or two.
const WAITS_FOR: Duration = Duration::from_millis(50);
/// Broken runs that are named in a line of the log.
const RUNS_LOGGED: usize = 64;

/// A run of a request, sent to a target at `sent_at`, broke off there. Waits until it is known whether the
/// target has ended, for a short time.
pub async fn broke_off(
    gateway: &Rc<Gateway>,
    job: &Job,
    target: &TargetStart,
    sent_at: BootTime,
    record: &mut Record,
) {
    let run = BrokenRun { fingerprint: job.fingerprint(), sent_at, broke_at: boot_now() };
    record.asks(run.fingerprint);
    // Who leaves ends as planned.
    if gateway.fleet.borrow().is_known_to_leave(target) {
        return;
    }
    let finding = gateway.broken_runs.borrow_mut().broke_off(target, run);
    match finding {
        Finding::HasEnded => ended_under(gateway, target, &[run], "known"),
        Finding::MustExamine => {
            tokio::task::spawn_local(examine(gateway.clone(), target.clone()));
            wait(gateway).await;
        }
        Finding::IsExamined => wait(gateway).await,
    }
}

async fn wait(gateway: &Gateway) {
    // Whoever is not told in time goes on without.
    let _ = tokio::time::timeout(WAITS_FOR, gateway.examined.notified()).await;
}

async fn examine(gateway: Rc<Gateway>, target: TargetStart) {
    if listens(&gateway, &target).await {
        tokio::time::sleep(AGAIN_AFTER).await;
        if listens(&gateway, &target).await {
            gateway.broken_runs.borrow_mut().listens(&target);
        }
    }
}

/// Whether a target accepts a connection, or at least does not refuse one.
async fn listens(gateway: &Gateway, target: &TargetStart) -> bool {
    let address = gateway.fleet.borrow().get(target).map(|state| state.listed.address);
    let refuses = match address {
        Some(address) => match Connection::open(address).await {
            Ok(connection) => {
                gateway.give_back(target, connection);
                false
            }
            Err(error) => error.kind() == ErrorKind::ConnectionRefused,
        },
        None => false,
    };
    if refuses {
        has_ended(gateway, target, "refuses connections");
    }
    gateway.examined.notify_waiters();
    !refuses
}

/// There is evidence that a target has ended.
pub fn has_ended(gateway: &Gateway, target: &TargetStart, evidence: &str) {
    let runs = gateway.broken_runs.borrow_mut().has_ended(target, boot_now());
    if !runs.is_empty() {
        ended_under(gateway, target, &runs, evidence);
    }
}

/// Takes starts at which runs broke off, and which never said that they leave, for ended once the list names them no
/// more. Call it after each change of the list.
pub fn compare_with_list(gateway: &Gateway) {
    let gone = |target: &&TargetStart| {
        !gateway.is_listed(target) && !gateway.fleet.borrow().is_known_to_leave(target)
    };
    let ended: Vec<TargetStart> =
        gateway.broken_runs.borrow().doubted().filter(gone).cloned().collect();
    ended.iter().for_each(|target| has_ended(gateway, target, "is listed no more"));
}

fn ended_under(gateway: &Gateway, target: &TargetStart, runs: &[BrokenRun], evidence: &str) {
    let shown: Vec<String> =
        runs.iter().take(RUNS_LOGGED).map(|run| run.fingerprint.to_string()).collect();
    log::warn!(
        "event=target_ended target={target} evidence={evidence:?} runs={} fingerprints={}",
        runs.len(),
        shown.join(",")
    );
    gateway.metrics.targets_ended.add(1, &[label("evidence", evidence)]);
    share::change(&gateway.quarantine, |known| known.ended_under(runs, target, boot_now()));
}
