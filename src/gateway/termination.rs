//! Looks whether a target has ended when a run there breaks off.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use super::pool::Connection;
use super::request_record::RequestRecord;
use super::routed_request::RoutedRequest;
use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::ids::TargetStart;
use crate::quarantine::evidence::{BrokenRun, Finding};
use crate::quarantine::share;
use crate::telemetry::metrics::label;

/// A target that still listened is looked at once more after this time: it may close its connections
/// before its address.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(250);
/// A request waits for the first look for this long before it is sent elsewhere. Looking takes a
/// millisecond or two.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// Broken runs that are named in a line of the log.
const MAX_LOGGED_RUNS: usize = 64;

/// A run of a request, sent to a target at `sent_at`, broke off there. Waits until it is known whether the
/// target has ended, for a short time.
pub async fn report_broken_run(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    target: &TargetStart,
    sent_at: BootTime,
    record: &mut RequestRecord,
) {
    let run = BrokenRun { fingerprint: routed.fingerprint(), sent_at, broke_at: boot_now() };
    record.set_fingerprint(run.fingerprint);
    // Who leaves ends as planned.
    if gateway.fleet.borrow().was_told_to_leave(target) {
        return;
    }
    let finding = gateway.broken_runs.borrow_mut().broke_off(target, run);
    match finding {
        Finding::HasEnded => quarantine_runs(gateway, target, &[run], "known"),
        Finding::MustExamine => {
            tokio::task::spawn_local(probe(gateway.clone(), target.clone()));
            wait_for_probe(gateway).await;
        }
        Finding::IsExamined => wait_for_probe(gateway).await,
    }
}

async fn wait_for_probe(gateway: &Gateway) {
    // Whoever is not told in time goes on without.
    let _ = tokio::time::timeout(PROBE_WAIT, gateway.probe_finished.notified()).await;
}

async fn probe(gateway: Rc<Gateway>, target: TargetStart) {
    if is_listening(&gateway, &target).await {
        tokio::time::sleep(SECOND_PROBE_DELAY).await;
        if is_listening(&gateway, &target).await {
            gateway.broken_runs.borrow_mut().listens(&target);
        }
    }
}

/// Whether a target accepts a connection, or at least does not refuse one.
async fn is_listening(gateway: &Gateway, target: &TargetStart) -> bool {
    let address = gateway.fleet.borrow().get(target).map(|state| state.listed.address);
    let refuses = match address {
        Some(address) => match Connection::open(address).await {
            Ok(connection) => {
                gateway.return_connection(target, connection);
                false
            }
            Err(error) => error.kind() == ErrorKind::ConnectionRefused,
        },
        None => false,
    };
    if refuses {
        record_termination(gateway, target, "refuses connections");
    }
    gateway.probe_finished.notify_waiters();
    !refuses
}

/// There is evidence that a target has ended.
pub fn record_termination(gateway: &Gateway, target: &TargetStart, evidence: &str) {
    let runs = gateway.broken_runs.borrow_mut().has_ended(target, boot_now());
    if !runs.is_empty() {
        quarantine_runs(gateway, target, &runs, evidence);
    }
}

/// Takes starts at which runs broke off, and which never said that they leave, for ended once the list names them no
/// more. Call it after each change of the list.
pub fn record_unlisted(gateway: &Gateway) {
    let is_unlisted = |target: &&TargetStart| {
        !gateway.is_listed(target) && !gateway.fleet.borrow().was_told_to_leave(target)
    };
    let terminated: Vec<TargetStart> =
        gateway.broken_runs.borrow().doubted().filter(is_unlisted).cloned().collect();
    terminated.iter().for_each(|target| record_termination(gateway, target, "is listed no more"));
}

fn quarantine_runs(gateway: &Gateway, target: &TargetStart, runs: &[BrokenRun], evidence: &str) {
    let shown: Vec<String> =
        runs.iter().take(MAX_LOGGED_RUNS).map(|run| run.fingerprint.to_string()).collect();
    log::warn!(
        "event=target_ended target={target} evidence={evidence:?} runs={} fingerprints={}",
        runs.len(),
        shown.join(",")
    );
    gateway.metrics.targets_ended.add(1, &[label("evidence", evidence)]);
    share::change(&gateway.quarantine, |known| known.ended_under(runs, target, boot_now()));
}
