//! What a node knows of engines and stores when it decides.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::health::Health;
use super::residency::Residency;
use crate::clock::BootTime;
use crate::ids::{DomainId, Incarnation, ModelId, TargetId};
use crate::upstream::api::{LoadReport, StoreReport};

/// A load report older than this says nothing any more.
pub const REPORT_VALID: Duration = Duration::from_secs(3);

/// Everything that a decision reads.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Engines by id.
    pub engines: BTreeMap<TargetId, EngineView>,
    /// Stores by id.
    pub stores: BTreeMap<TargetId, StoreView>,
    /// Live nodes, this one among them; at least 1.
    pub nodes: usize,
}

/// One engine as this node sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Its model.
    pub model: ModelId,
    /// Its base URL.
    pub url: String,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// The start of it that this view is of.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Its last load report and when that was true, on this node's clock.
    pub report: Option<(BootTime, LoadReport)>,
    /// Health as this node sees it.
    pub health: Health,
    /// What is believed to be in its cache.
    pub residency: Residency,
    /// This node's requests that run there.
    pub running: u32,
    /// Times and prefill tokens of this node's dispatches that the report can't know of yet.
    pub unreported: VecDeque<(BootTime, u64)>,
}

/// One store as this node sees it.
#[derive(Clone, Debug)]
pub struct StoreView {
    /// Its base URL.
    pub url: String,
    /// Its failure domain.
    pub failure_domain: DomainId,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// Its last report and when it was read.
    pub report: Option<(BootTime, StoreReport)>,
    /// Health as this node sees it.
    pub health: Health,
    /// Times and bytes of transfers that started after the report.
    pub unreported: VecDeque<(BootTime, u64)>,
}

impl EngineView {
    /// A new engine of which nothing is known yet.
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

    /// The report, if it is young enough to mean anything.
    pub fn fresh_report(&self, now: BootTime) -> Option<&LoadReport> {
        let (at, report) = self.report.as_ref()?;
        (now.saturating_sub(*at) < REPORT_VALID).then_some(report)
    }

    /// Records a dispatch by this or another node, of so many tokens to prefill.
    pub fn note_dispatch(&mut self, prefill_tokens: u64, now: BootTime) {
        // Without reports, for example of a dead engine, only the last few seconds count.
        while self.unreported.front().is_some_and(|(sent, _)| *sent + REPORT_VALID < now) {
            self.unreported.pop_front();
        }
        self.unreported.push_back((now, prefill_tokens));
    }

    /// Takes a report that was true at `at`.
    pub fn take_report(&mut self, report: LoadReport, at: BootTime) {
        while self.unreported.front().is_some_and(|(sent, _)| *sent <= at) {
            self.unreported.pop_front();
        }
        self.report = Some((at, report));
    }

    /// Prefill tokens waiting there: the reported ones and the later dispatches, less what the
    /// engine has prefilled since at its rate.
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

    /// Requests running or waiting there: the reported ones and this node's later ones.
    pub fn requests(&self, now: BootTime) -> u32 {
        let reported =
            self.fresh_report(now).map_or(self.running, |report| report.running + report.waiting);
        reported + self.unreported.len() as u32
    }
}

impl StoreView {
    /// A new store of which nothing is known yet.
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

    /// How long a transfer of `bytes` that starts now would take; `None` if that is unknown. The
    /// link works off what waits for it, the reported backlog and the later transfers.
    pub fn transfer_time(&self, bytes: u64, now: BootTime) -> Option<Duration> {
        let (reported_at, report) = self.report.as_ref()?;
        let rate = report.link_bytes_per_s;
        if now.saturating_sub(*reported_at) >= REPORT_VALID || rate <= 0.0 {
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
    pub fn note_transfer(&mut self, bytes: u64, now: BootTime) {
        while self.unreported.front().is_some_and(|(at, _)| *at + REPORT_VALID < now) {
            self.unreported.pop_front();
        }
        self.unreported.push_back((now, bytes));
    }

    /// Takes a report that was read at `now`.
    pub fn take_report(&mut self, report: StoreReport, now: BootTime) {
        self.unreported.clear();
        self.report = Some((now, report));
    }

    /// Share of its capacity that is used, of 1; 1 if unknown.
    pub fn fill(&self) -> f64 {
        match &self.report {
            Some((_, report)) if report.capacity_bytes > 0 => {
                report.used_bytes as f64 / report.capacity_bytes as f64
            }
            _ => 1.0,
        }
    }
}
