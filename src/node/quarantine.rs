//! Quarantine of requests that terminate targets.
//!
//! Nodes exchange reports along the tree of freshness leases. A renewal carries the node's new
//! reports to its grantor, a relay or the leader. The grant carries back the reports of requests
//! under which several targets have terminated.

use std::collections::HashMap;
use std::time::Duration;

use super::Node;
use crate::clock::{BootTime, boot_now};
use crate::ids::{Incarnation, NodeId, TargetId, TargetStart};
use crate::net;
use crate::peer::message::QuarantineCursor;
use crate::quarantine::broken_runs::{BrokenRun, BrokenRuns, TargetCheck};
use crate::quarantine::{Fingerprint, Quarantine, Report, Revision, notify};

/// Timeout of the connection attempt that checks whether a target is still listening.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The quarantine as known to this node, and the state of the exchange with other nodes.
pub struct QuarantineState {
    quarantine: Quarantine,
    broken_runs: BrokenRuns,
    /// Identifies this start of the process. Revisions are only comparable within one start.
    boot: u64,
    grantors: HashMap<NodeId, GrantorState>,
}

/// The state of the exchange with a node that grants, or granted, leases to this one.
#[derive(Clone, Copy, Default)]
struct GrantorState {
    /// The grantor has this node's reports up to this revision.
    reported_revision: Revision,
    /// This node has the grantor's reports up to this revision.
    heard: QuarantineCursor,
}

/// A dispatch that ended without a complete answer.
pub struct BrokenDispatch<'a> {
    pub target: &'a TargetId,
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// The base URL of the target.
    pub url: &'a str,
    /// Identifies the content of the request.
    pub fingerprint: Fingerprint,
    pub sent_at: BootTime,
}

impl QuarantineState {
    /// Creates the state of a node that has just started.
    pub fn new(boot: u64) -> QuarantineState {
        let (quarantine, broken_runs) = (Quarantine::default(), BrokenRuns::default());
        QuarantineState { quarantine, broken_runs, boot, grantors: HashMap::new() }
    }
}

impl Node {
    /// The remaining time for which a request is quarantined, if it is.
    pub fn quarantine_remaining(&self, request: Fingerprint) -> Option<Duration> {
        self.quarantine.lock().quarantine.held_for(request, boot_now())
    }

    /// Records that a request got a complete answer.
    pub fn record_completion(&self, request: Fingerprint) {
        self.quarantine.lock().quarantine.record_completion(request, boot_now());
    }

    /// Records a failed dispatch. Checks whether the target still accepts connections; if not, its
    /// failed runs count against their requests.
    pub async fn report_broken_run(&self, broken: BrokenDispatch<'_>) {
        let BrokenDispatch { target, incarnation, url, fingerprint, sent_at } = broken;
        // Both only identify a start of the target; the value is not used as a time.
        let start = TargetStart { id: target.clone(), born_ms: Some(incarnation as i64) };
        let run = BrokenRun { fingerprint, sent_at, broke_at: boot_now() };
        let check = self.quarantine.lock().broken_runs.record_broken_run(&start, run);
        if check != TargetCheck::TargetEnded && !refuses_connections(url).await {
            self.quarantine.lock().broken_runs.mark_listening(&start);
            return;
        }
        let mut state = self.quarantine.lock();
        let mut runs = state.broken_runs.mark_ended(&start, boot_now());
        if check == TargetCheck::TargetEnded {
            runs.push(run);
        }
        log::warn!("event=target_ended target={start} runs={}", runs.len());
        let merged = state.quarantine.record_target_end(&runs, &start, boot_now());
        notify::log_held(&state.quarantine, &merged.held);
    }

    /// Merges reports of another node.
    pub(super) fn merge_quarantine_reports(&self, reports: Vec<Report>) {
        let quarantine = &mut self.quarantine.lock().quarantine;
        let merged = quarantine.merge_reports(reports, boot_now());
        notify::log_held(quarantine, &merged.held);
    }

    /// What to send to a grantor with a renewal: the new reports, and the revision up to which this
    /// node has the grantor's reports. Also returns the own revision up to which the grantor will
    /// have all reports.
    pub(super) fn quarantine_reports_for(
        &self,
        grantor: NodeId,
    ) -> (Vec<Report>, QuarantineCursor, Revision) {
        let state = self.quarantine.lock();
        let GrantorState { reported_revision, heard } =
            state.grantors.get(&grantor).copied().unwrap_or_default();
        let reports = state.quarantine.reports_since(reported_revision, boot_now());
        (reports, heard, state.quarantine.revision())
    }

    /// Applies the reports that came with a lease.
    pub(super) fn apply_quarantine_reports(
        &self,
        grantor: NodeId,
        reports: Vec<Report>,
        heard: QuarantineCursor,
        sent_revision: Revision,
    ) {
        {
            let mut state = self.quarantine.lock();
            let grantor_state = state.grantors.entry(grantor).or_default();
            // A grantor that has restarted has lost the earlier reports.
            grantor_state.reported_revision =
                if grantor_state.heard.boot == heard.boot { sent_revision } else { 0 };
            grantor_state.heard = heard;
        }
        self.merge_quarantine_reports(reports);
    }

    /// What to send with a lease to a node that has this node's reports up to `heard`.
    pub(super) fn suspect_reports_since(
        &self,
        heard: QuarantineCursor,
    ) -> (Vec<Report>, QuarantineCursor) {
        let state = self.quarantine.lock();
        let is_current_boot = heard.boot == state.boot;
        let since = if is_current_boot { heard.revision } else { Revision::default() };
        let reported = QuarantineCursor { boot: state.boot, revision: state.quarantine.revision() };
        (state.quarantine.suspect_reports_since(since, boot_now()), reported)
    }
}

async fn refuses_connections(url: &str) -> bool {
    let Ok(url) = reqwest::Url::parse(url) else { return false };
    match (url.host_str(), url.port_or_known_default()) {
        (Some(host), Some(port)) => net::refuses_connections(host, port, PROBE_TIMEOUT).await,
        _ => false,
    }
}
