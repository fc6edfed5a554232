//! Detects whether a target has terminated when a run there fails, and reports the runs to the
//! quarantine.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use super::pool::Connection;
use super::request_record::RequestRecord;
use super::routed_request::RoutedRequest;
use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::ids::TargetStart;

use crate::quarantine::broken_runs::{BrokenRun, BrokenRuns, TargetCheck};
use crate::quarantine::{Fingerprint, notify};
use crate::telemetry::metrics::label;

/// Delay before a target that accepted a connection is probed again. A terminating process may
/// close its connections before its listener.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(250);
/// How long a request waits for the result of a probe before it is retried elsewhere.
const PROBE_WAIT: Duration = Duration::from_millis(50);
/// Evidence that a target has ended.
const REFUSES_CONNECTIONS: &str = "refuses connections";
/// Evidence for runs that end after their target was found to have ended.
const KNOWN_TO_HAVE_ENDED: &str = "known";
/// Number of runs whose fingerprints are logged for a terminated target.
const MAX_LOGGED_RUNS: usize = 64;

/// Records that a run, sent to a target at `sent_at`, failed there. Probes the target and waits
/// shortly for the result, so that a retry takes a new quarantine into account.
pub async fn report_broken_run(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    target: &TargetStart,
    sent_at: BootTime,
    record: &RequestRecord,
) {
    record.set_fingerprint(routed.fingerprint());
    if let Some(prompt) = &routed.metadata.prompt {
        record.set_shared_parts(prompt);
    }
    // The termination of a leaving target is planned.
    if gateway.fleet.borrow().is_known_to_leave(target) {
        return;
    }
    let runs = runs_of(routed, sent_at);
    let check = record_all(gateway, &runs, |known, run| known.record_broken_run(target, run));
    match check {
        TargetCheck::TargetEnded => quarantine_runs(gateway, target, &runs, KNOWN_TO_HAVE_ENDED),
        TargetCheck::StartCheck => {
            tokio::task::spawn_local(probe(gateway.clone(), target.clone()));
            wait_for_probe(gateway).await;
        }
        TargetCheck::CheckInProgress => wait_for_probe(gateway).await,
    }
}

/// Takes an answer that ended with its connection as complete once its target has outlived it.
pub fn check_answer(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    target: &TargetStart,
    sent_at: BootTime,
) {
    if gateway.fleet.borrow().is_known_to_leave(target) {
        return;
    }
    let runs = runs_of(routed, sent_at);
    let check = record_all(gateway, &runs, |known, run| known.record_unproven_answer(target, run));
    match check {
        TargetCheck::TargetEnded => quarantine_runs(gateway, target, &runs, KNOWN_TO_HAVE_ENDED),
        TargetCheck::StartCheck => {
            tokio::task::spawn_local(probe(gateway.clone(), target.clone()));
        }
        TargetCheck::CheckInProgress => {}
    }
}

/// The run of a request and of each part of its prompt, which ends now.
fn runs_of(routed: &RoutedRequest, sent_at: BootTime) -> Vec<BrokenRun> {
    let broke_at = boot_now();
    let run =
        |fingerprint: &Fingerprint| BrokenRun { fingerprint: *fingerprint, sent_at, broke_at };
    routed.fingerprints().iter().map(run).collect()
}

/// Records the runs of one request, and returns what the first one requires.
fn record_all(
    gateway: &Gateway,
    runs: &[BrokenRun],
    record: impl Fn(&mut BrokenRuns, BrokenRun) -> TargetCheck,
) -> TargetCheck {
    let mut known = gateway.broken_runs.borrow_mut();
    let checks: Vec<TargetCheck> = runs.iter().map(|run| record(&mut known, *run)).collect();
    checks.into_iter().next().unwrap_or(TargetCheck::CheckInProgress)
}

async fn wait_for_probe(gateway: &Gateway) {
    // The request proceeds without the result after the timeout.
    let _ = tokio::time::timeout(PROBE_WAIT, gateway.probe_finished.notified()).await;
}

/// The result of connecting to a target.
enum Probed {
    Accepted(Connection),
    Refused,
    /// The target did not answer, or is listed no more.
    Unknown,
}

/// Checks whether a target still listens, until no answer waits for this any more.
async fn probe(gateway: Rc<Gateway>, target: TargetStart) {
    loop {
        match probe_twice(&gateway, &target).await {
            Probed::Accepted(connection) => gateway.return_connection(&target, connection),
            // Without effect if the refusal has shown that the target has ended.
            Probed::Refused | Probed::Unknown => {
                return gateway.broken_runs.borrow_mut().mark_unreachable(&target);
            }
        }
        let listening = gateway.broken_runs.borrow_mut().mark_listening(&target);
        for answered in listening.completed {
            gateway.record_success(&[answered.fingerprint], answered.broke_at);
        }
        if !listening.needs_check {
            return;
        }
    }
}

async fn probe_twice(gateway: &Gateway, target: &TargetStart) -> Probed {
    let first = probe_once(gateway, target).await;
    if matches!(first, Probed::Refused) {
        return first;
    }
    tokio::time::sleep(SECOND_PROBE_DELAY).await;
    match first {
        // The process that accepted it still runs.
        Probed::Accepted(connection) if !connection.is_closed() => Probed::Accepted(connection),
        // Another process may have started at the address since.
        _ => match probe_once(gateway, target).await {
            Probed::Accepted(connection) => {
                gateway.return_connection(target, connection);
                Probed::Unknown
            }
            probed => probed,
        },
    }
}

async fn probe_once(gateway: &Gateway, target: &TargetStart) -> Probed {
    let address = gateway.fleet.borrow().get(target).map(|state| state.listed.address);
    let probed = match address {
        Some(address) => match Connection::open(address).await {
            Ok(connection) => Probed::Accepted(connection),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => Probed::Refused,
            Err(_) => Probed::Unknown,
        },
        None => Probed::Unknown,
    };
    if matches!(probed, Probed::Refused) {
        observe_refusal(gateway, target).await;
    }
    gateway.probe_finished.notify_waiters();
    probed
}

/// Records that a target refuses connections, so that its process has ended, unless this entry reaches
/// no other target either.
pub async fn observe_refusal(gateway: &Gateway, target: &TargetStart) {
    if gateway.reaches_others(target).await {
        gateway.connection_refused(target);
        record_termination(gateway, target, REFUSES_CONNECTIONS);
    }
}

/// Records evidence that a target has terminated, and reports its failed runs to the quarantine.
pub fn record_termination(gateway: &Gateway, target: &TargetStart, evidence: &str) {
    let runs = gateway.broken_runs.borrow_mut().mark_ended(target, boot_now());
    if !runs.is_empty() {
        quarantine_runs(gateway, target, &runs, evidence);
    }
}

/// Records the termination of targets with failed runs that are no longer in the roster although
/// they were never leaving. To be called after each change of the roster.
pub fn record_unlisted(gateway: &Gateway) {
    let is_unlisted = |target: &&TargetStart| {
        !gateway.is_listed(target) && !gateway.fleet.borrow().is_known_to_leave(target)
    };
    let terminated: Vec<TargetStart> =
        gateway.broken_runs.borrow().unresolved_targets().filter(is_unlisted).cloned().collect();
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
    gateway.metrics.target_ends.add(1, &[label("evidence", evidence)]);
    notify::update_and_notify(&gateway.quarantine, |known| {
        known.observe_target_end(runs, target, boot_now())
    });
}
