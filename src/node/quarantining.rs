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
use crate::peer::message::QuarantineCursor;
use crate::quarantine::evidence::{BrokenRun, BrokenRuns, Finding};
use crate::quarantine::{Fingerprint, Observed, Quarantine, Report, Revision};

/// Longest time to find out whether a target still listens.
const EXAMINE_TIMEOUT: Duration = Duration::from_millis(250);

/// What this node knows, and whom it has told.
pub struct Quarantining {
    known: Quarantine,
    broken: BrokenRuns,
    /// This start of the node: its revisions begin anew with each.
    boot: u64,
    grantors: HashMap<NodeId, Grantor>,
}

/// A node that grants, or granted, this one its lease.
#[derive(Clone, Copy, Default)]
struct Grantor {
    /// The own revision up to which it was told.
    told: Revision,
    heard: QuarantineCursor,
}

/// A run of a request that broke off at a target.
pub struct BrokenAt<'a> {
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

impl Quarantining {
    /// Nothing is known yet.
    pub fn new(boot: u64) -> Quarantining {
        let (known, broken) = (Quarantine::default(), BrokenRuns::default());
        Quarantining { known, broken, boot, grantors: HashMap::new() }
    }
}

impl Node {
    /// How much longer a request must not reach a target, if targets have ended under it.
    pub fn held_for(&self, request: Fingerprint) -> Option<Duration> {
        self.quarantining.lock().known.held_for(request, boot_now())
    }

    /// A request got a whole answer.
    pub fn answered_whole(&self, request: Fingerprint) {
        self.quarantining.lock().known.answered_whole(request, boot_now());
    }

    /// A run broke off: finds out whether its target has ended.
    pub async fn examine(&self, broken: BrokenAt<'_>) {
        let BrokenAt { target, incarnation, url, fingerprint, sent_at } = broken;
        // Both only name a start.
        let start = TargetStart { id: target.clone(), born_ms: Some(incarnation as i64) };
        let run = BrokenRun { fingerprint, sent_at, broke_at: boot_now() };
        let finding = self.quarantining.lock().broken.broke_off(&start, run);
        if finding != Finding::HasEnded && !refuses_connections(url).await {
            self.quarantining.lock().broken.listens(&start);
            return;
        }
        let observed = {
            let mut quarantining = self.quarantining.lock();
            let mut runs = quarantining.broken.has_ended(&start, boot_now());
            if finding == Finding::HasEnded {
                runs.push(run);
            }
            log::warn!("event=target_ended target={start} runs={}", runs.len());
            quarantining.known.ended_under(&runs, &start, boot_now())
        };
        log_held(&observed);
    }

    /// Takes what another node knows.
    pub(super) fn observe_quarantine(&self, reports: Vec<Report>) {
        let observed = self.quarantining.lock().known.observe(reports, boot_now());
        log_held(&observed);
    }

    /// What to tell a node that grants leases: news, what it was heard to say, and the revision up to which it
    /// knows all once it has answered.
    pub(super) fn quarantine_for(
        &self,
        grantor: NodeId,
    ) -> (Vec<Report>, QuarantineCursor, Revision) {
        let quarantining = self.quarantining.lock();
        let Grantor { told, heard } =
            quarantining.grantors.get(&grantor).copied().unwrap_or_default();
        let news = quarantining.known.changed_since(told, boot_now());
        (news, heard, quarantining.known.revision())
    }

    /// Takes what came with a lease.
    pub(super) fn hear_quarantine(
        &self,
        grantor: NodeId,
        reports: Vec<Report>,
        heard: QuarantineCursor,
        telling: Revision,
    ) {
        {
            let mut quarantining = self.quarantining.lock();
            let known = quarantining.grantors.entry(grantor).or_default();
            // One that has started again knows only what it was told since.
            known.told = if known.heard.boot == heard.boot { telling } else { 0 };
            known.heard = heard;
        }
        self.observe_quarantine(reports);
    }

    /// What a node is to be told with its lease that has heard so much.
    pub(super) fn quarantine_news(
        &self,
        heard: QuarantineCursor,
    ) -> (Vec<Report>, QuarantineCursor) {
        let quarantining = self.quarantining.lock();
        let is_of_this_start = heard.boot == quarantining.boot;
        let since = if is_of_this_start { heard.revision } else { Revision::default() };
        let told =
            QuarantineCursor { boot: quarantining.boot, revision: quarantining.known.revision() };
        (quarantining.known.suspects_since(since, boot_now()), told)
    }
}

async fn refuses_connections(url: &str) -> bool {
    let Ok(url) = reqwest::Url::parse(url) else { return false };
    match (url.host_str(), url.port_or_known_default()) {
        (Some(host), Some(port)) => net::refuses_connections(host, port, EXAMINE_TIMEOUT).await,
        _ => false,
    }
}

fn log_held(observed: &Observed) {
    for fingerprint in &observed.held {
        log::warn!("event=request_held fingerprint={fingerprint}");
    }
}
