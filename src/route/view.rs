//! The state of engines and stores as one node sees it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::health::Health;
use super::residency::Residency;
use crate::clock::BootTime;
use crate::ids::{DomainId, Incarnation, ModelId, TargetId};
use crate::upstream::api::{LoadReport, StoreReport};

/// Reports older than this are ignored.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// All input of engine selection except the request.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub engines: BTreeMap<TargetId, EngineView>,
    pub stores: BTreeMap<TargetId, StoreView>,
    /// Number of live nodes including this one; at least 1.
    pub live_nodes: usize,
}

/// An engine as this node sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    pub model: ModelId,
    pub url: String,
    pub failure_domain: DomainId,
    /// The incarnation that this state belongs to.
    pub incarnation: Incarnation,
    /// Whether it accepts new requests.
    pub takes_work: bool,
    /// The last load report and the time at which it was accurate, on this node's clock.
    pub report: Option<(BootTime, LoadReport)>,
    pub health: Health,
    /// Blocks expected to be in its cache.
    pub residency: Residency,
    /// Requests from this node that run there.
    pub running: u32,
    /// Times and prefill tokens of dispatches that the report does not include yet.
    pub unreported: VecDeque<(BootTime, u64)>,
}

/// A store as this node sees it.
#[derive(Clone, Debug)]
pub struct StoreView {
    pub url: String,
    pub failure_domain: DomainId,
    /// Whether it accepts new requests.
    pub takes_work: bool,
    /// The last report and when it was received.
    pub report: Option<(BootTime, StoreReport)>,
    pub health: Health,
    /// Start times and bytes of transfers that began after the report.
    pub unreported: VecDeque<(BootTime, u64)>,
}

impl EngineView {
    /// Creates the state of an engine that has not reported yet.
    pub fn new(
        model: &str,
        url: &str,
        failure_domain: &str,
        incarnation: Incarnation,
    ) -> EngineView {
        EngineView {
            model: model.to_string(),
            url: url.to_string(),
            failure_domain: failure_domain.to_string(),
            incarnation,
            takes_work: true,
            report: None,
            health: Health::default(),
            residency: Residency::default(),
            running: 0,
            unreported: VecDeque::new(),
        }
    }

    /// The last report, unless it is too old.
    pub fn fresh_report(&self, now: BootTime) -> Option<&LoadReport> {
        let (at, report) = self.report.as_ref()?;
        (now.saturating_sub(*at) < MAX_REPORT_AGE).then_some(report)
    }

    /// Records a dispatch by this or another node.
    pub fn record_dispatch(&mut self, prefill_tokens: u64, now: BootTime) {
        // Without reports, for example from a crashed engine, the queue would grow without bound.
        while self.unreported.front().is_some_and(|(sent, _)| *sent + MAX_REPORT_AGE < now) {
            self.unreported.pop_front();
        }
        self.unreported.push_back((now, prefill_tokens));
    }

    /// Applies a report that was accurate at `at`.
    pub fn apply_report(&mut self, report: LoadReport, at: BootTime) {
        while self.unreported.front().is_some_and(|(sent, _)| *sent <= at) {
            self.unreported.pop_front();
        }
        self.report = Some((at, report));
    }

    /// Estimates the prefill tokens queued at the engine: the reported ones and those of later
    /// dispatches, less what it has processed since at its reported rate.
    pub fn queued_tokens(&self, now: BootTime) -> u64 {
        let Some((reported_at, report)) = &self.report else {
            return self.unreported.iter().map(|(_, tokens)| tokens).sum();
        };
        let (mut at, mut queued) = (*reported_at, report.queued_prefill_tokens as f64);
        let mut drain = |queued: f64, until: BootTime| {
            let passed = until.saturating_sub(at).as_secs_f64();
            at = at.max(until);
            (queued - passed * report.prefill_tokens_per_s).max(0.0)
        };
        for (sent_at, tokens) in &self.unreported {
            queued = drain(queued, *sent_at) + *tokens as f64;
        }
        drain(queued, now) as u64
    }

    /// Estimates the requests that run or wait at the engine: the reported ones and later
    /// dispatches.
    pub fn estimated_requests(&self, now: BootTime) -> u32 {
        let reported =
            self.fresh_report(now).map_or(self.running, |report| report.running + report.waiting);
        reported + self.unreported.len() as u32
    }
}

impl StoreView {
    /// Creates the state of a store that has not reported yet.
    pub fn new(url: &str, failure_domain: &str) -> StoreView {
        StoreView {
            url: url.to_string(),
            failure_domain: failure_domain.to_string(),
            takes_work: true,
            report: None,
            health: Health::default(),
            unreported: VecDeque::new(),
        }
    }

    /// Estimates how long a transfer of `bytes` that starts now would take, after the reported
    /// backlog and the transfers that began since. Returns `None` without a fresh report.
    pub fn transfer_time(&self, bytes: u64, now: BootTime) -> Option<Duration> {
        let (reported_at, report) = self.report.as_ref()?;
        let rate = report.link_bytes_per_s;
        if now.saturating_sub(*reported_at) >= MAX_REPORT_AGE || rate <= 0.0 {
            return None;
        }
        let took = |bytes: u64| Duration::from_secs_f64(bytes as f64 / rate);
        let free_at = *reported_at + Duration::from_millis(report.backlog_ms);
        let free_at = self
            .unreported
            .iter()
            .fold(free_at, |free_at, (started_at, bytes)| free_at.max(*started_at) + took(*bytes));
        Some(free_at.saturating_sub(now) + took(bytes))
    }

    /// Records a transfer that starts now.
    pub fn record_transfer(&mut self, bytes: u64, now: BootTime) {
        while self.unreported.front().is_some_and(|(at, _)| *at + MAX_REPORT_AGE < now) {
            self.unreported.pop_front();
        }
        self.unreported.push_back((now, bytes));
    }

    /// Applies a report received at `now`.
    pub fn apply_report(&mut self, report: StoreReport, now: BootTime) {
        self.unreported.clear();
        self.report = Some((now, report));
    }

    /// Fraction of the capacity in use, from 0 to 1; 1 if unknown.
    pub fn used_fraction(&self) -> f64 {
        match &self.report {
            Some((_, report)) if report.capacity_bytes > 0 => {
                report.used_bytes as f64 / report.capacity_bytes as f64
            }
            _ => 1.0,
        }
    }
}
