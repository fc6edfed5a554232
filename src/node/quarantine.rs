//! Requests under which targets end: kept from them here, and told along the tree of leases.
//!
//! A node tells whoever grants its lease what it has seen, and is told with the lease which requests several
//! targets have ended under: from its failure domain's relay, which has it from the leader. Each step takes
//! one renewal, and costs one message whatever the number of nodes.

use std::collections::HashMap;
use std::time::Duration;

use super::Node;
use crate::clock::{BootTime, boot_now};
use crate::ids::{Incarnation, NodeId, TargetId, TargetStart};
use crate::net;
use crate::peer::message::Heard;
use crate::quarantine::evidence::{BrokenRun, BrokenRuns, Finding};
use crate::quarantine::{Fingerprint, Observed, Quarantine, Report, Revision};

/// Longest time to find out whether a target still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// What this node knows, and whom it has told.
pub struct QuarantineState {
    quarantine: Quarantine,
    broken_runs: BrokenRuns,
    /// This start of the node: its revisions begin anew with each.
    boot: u64,
    grantors: HashMap<NodeId, GrantorState>,
}

/// A node that grants, or granted, this one its lease.
#[derive(Clone, Copy, Default)]
struct GrantorState {
    /// The own revision up to which it was told.
    reported_revision: Revision,
    heard: Heard,
}

/// A run of a request that broke off at a target.
pub struct BrokenDispatch<'a> {
    /// The target.
    pub target: &'a TargetId,
    /// The start of it.
    pub incarnation: Incarnation,
    /// Its base URL.
    pub url: &'a str,
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// When it was sent.
    pub sent_at: BootTime,
}

impl QuarantineState {
    /// Nothing is known yet.
    pub fn new(boot: u64) -> QuarantineState {
        let (quarantine, broken_runs) = (Quarantine::default(), BrokenRuns::default());
        QuarantineState { quarantine, broken_runs, boot, grantors: HashMap::new() }
    }
}

impl Node {
    /// How much longer a request must not reach a target, if targets have ended under it.
    pub fn quarantine_remaining(&self, request: Fingerprint) -> Option<Duration> {
        self.quarantine.lock().quarantine.held_for(request, boot_now())
    }

    /// A request got a whole answer.
    pub fn record_completion(&self, request: Fingerprint) {
        self.quarantine.lock().quarantine.answered_whole(request, boot_now());
    }

    /// A run broke off: finds out whether its target has ended.
    pub async fn report_broken_run(&self, broken: BrokenDispatch<'_>) {
        let BrokenDispatch { target, incarnation, url, fingerprint, sent_at } = broken;
        // Both only name a start.
        let start = TargetStart { id: target.clone(), born_ms: Some(incarnation as i64) };
        let run = BrokenRun { fingerprint, sent_at, broke_at: boot_now() };
        let finding = self.quarantine.lock().broken_runs.broke_off(&start, run);
        if finding != Finding::HasEnded && !refuses_connections(url).await {
            self.quarantine.lock().broken_runs.listens(&start);
            return;
        }
        let observed = {
            let mut state = self.quarantine.lock();
            let mut runs = state.broken_runs.has_ended(&start, boot_now());
            if finding == Finding::HasEnded {
                runs.push(run);
            }
            log::warn!("event=target_ended target={start} runs={}", runs.len());
            state.quarantine.ended_under(&runs, &start, boot_now())
        };
        log_quarantined(&observed);
    }

    /// Takes what another node knows.
    pub(super) fn merge_quarantine_reports(&self, reports: Vec<Report>) {
        let observed = self.quarantine.lock().quarantine.observe(reports, boot_now());
        log_quarantined(&observed);
    }

    /// What to tell a node that grants leases: reports, what it was heard to say, and the revision up to which it
    /// knows all once it has answered.
    pub(super) fn quarantine_reports_for(&self, grantor: NodeId) -> (Vec<Report>, Heard, Revision) {
        let state = self.quarantine.lock();
        let GrantorState { reported_revision, heard } =
            state.grantors.get(&grantor).copied().unwrap_or_default();
        let reports = state.quarantine.changed_since(reported_revision, boot_now());
        (reports, heard, state.quarantine.revision())
    }

    /// Takes what came with a lease.
    pub(super) fn apply_quarantine_reports(
        &self,
        grantor: NodeId,
        reports: Vec<Report>,
        heard: Heard,
        sent_revision: Revision,
    ) {
        {
            let mut state = self.quarantine.lock();
            let grantor_state = state.grantors.entry(grantor).or_default();
            // One that has started again knows only what it was told since.
            grantor_state.reported_revision =
                if grantor_state.heard.boot == heard.boot { sent_revision } else { 0 };
            grantor_state.heard = heard;
        }
        self.merge_quarantine_reports(reports);
    }

    /// What a node is to be told with its lease that has heard so much.
    pub(super) fn suspect_reports_since(&self, heard: Heard) -> (Vec<Report>, Heard) {
        let state = self.quarantine.lock();
        let is_current_boot = heard.boot == state.boot;
        let since = if is_current_boot { heard.revision } else { Revision::default() };
        let reported = Heard { boot: state.boot, revision: state.quarantine.revision() };
        (state.quarantine.suspects_since(since, boot_now()), reported)
    }
}

async fn refuses_connections(url: &str) -> bool {
    let Ok(url) = reqwest::Url::parse(url) else { return false };
    match (url.host_str(), url.port_or_known_default()) {
        (Some(host), Some(port)) => net::refuses_connections(host, port, PROBE_TIMEOUT).await,
        _ => false,
    }
}

fn log_quarantined(observed: &Observed) {
    for fingerprint in &observed.held {
        log::warn!("event=request_held fingerprint={fingerprint}");
    }
}
