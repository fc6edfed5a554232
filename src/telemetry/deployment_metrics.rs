//! Metrics of entries and replicas.

use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::metric_registry::MetricRegistry;
use super::metrics::label;
use crate::error::Result;
use crate::fleet::locality::DomainRoute;
use crate::scheduler::CompetitionReport;

/// Histogram boundaries, which cover the objectives of deployments, 0.1 to 0.8 s, and the maximum wait of callers, 15 s.
const FIRST_CHUNK_BOUNDARIES_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0, 15.0];

/// Histogram boundaries for factors of work time, 1 being as usual. Hosts were seen to be slowed by up to 2.5.
const WORK_TIME_FACTOR_BOUNDARIES: [f64; 9] = [0.5, 0.75, 0.9, 1.1, 1.5, 2.0, 3.0, 5.0, 10.0];

/// Metric instruments of an entry.
pub struct EntryMetrics {
    registry: MetricRegistry,
    /// Finished requests, by route, ending and reason.
    pub requests: Counter<u64>,
    /// Time to the first chunk of a relayed response, by route.
    pub first_chunk_s: Histogram<f64>,
    /// Failed attempts at targets, by reason.
    pub failed_attempts: Counter<u64>,
    /// Responses of targets that belong to no request of this entry.
    pub foreign_responses: Counter<u64>,
    /// Attempts that other entries were asked to make.
    pub forwarded_attempts: Counter<u64>,
    /// Services to which this entry has lost its path.
    pub lost_paths: Gauge<u64>,
    /// Streams that callers took up, by who knew where they began.
    pub streams_taken_up: Counter<u64>,
    /// Streams of which this process knows where they began.
    pub remembered_streams: Gauge<u64>,
    /// Retries that the budget granted or denied, by service and verdict.
    pub retries: Counter<u64>,
    pub active_requests: Gauge<u64>,
    /// Maximum age of the deployment state that this entry has.
    pub state_age_s: Gauge<f64>,
    /// Version of the deployment in force on this entry.
    pub deployment_version: Gauge<u64>,
    /// Prompts that this entry placed itself, without the scheduler.
    pub fallback_placements: Counter<u64>,
    /// Prompts that this entry refused without the scheduler, since no engine had memory for them.
    pub refused_without_room: Counter<u64>,
    /// Requests that this entry sent to another failure domain, by kind.
    pub sent_away: Counter<u64>,
    /// Bytes of their bodies.
    pub sent_away_bytes: Counter<u64>,
    /// Targets that ended while running requests of this entry, by evidence.
    pub target_ends: Counter<u64>,
    /// Requests held in quarantine because targets have ended while running them.
    pub held_requests: Gauge<u64>,
    /// Evacuated failure domains, as this process knows them.
    pub evacuated_domains: Gauge<u64>,
    /// Targets that name a rate limit, as this process knows them.
    pub limited_targets: Gauge<u64>,
    /// Load headers that changed nothing, by reason.
    pub unreadable_loads: Counter<u64>,
    /// Reported figures of how many times as long as usual work takes on a target's host.
    pub work_time_factor: Histogram<f64>,
}

/// Metric instruments of a replica.
pub struct ReplicaMetrics {
    registry: MetricRegistry,
    /// Current term of the replicated log.
    pub term: Gauge<u64>,
    /// 1 if this replica is the leader, otherwise 0.
    pub is_leader: Gauge<u64>,
    /// Version of the newest deployment applied on this replica.
    pub deployment_version: Gauge<u64>,
    /// Entries connected to any replica.
    pub connected_entries: Gauge<u64>,
    /// Age of the platform's target list.
    pub target_list_age_s: Gauge<f64>,
    /// Prompts queued for an engine.
    pub queued_prompts: Gauge<u64>,
    /// The same by urgency.
    pub queued_by_urgency: Gauge<u64>,
    /// Prompts that the scheduler refused, by reason and urgency.
    pub refused_prompts: Counter<u64>,
    /// Prompts that were placed after they had waited, by urgency.
    pub waited_prompts: Counter<u64>,
    /// Time for which these waited, by urgency.
    pub prompt_wait_ms: Counter<u64>,
    /// Seconds in which engines got no prompt while prompts waited, by reason.
    pub engines_passed_over_s: Counter<u64>,
    /// Requests of operators, by status.
    pub operator_requests: Counter<u64>,
    /// Malformed entries, summed over all reads of the platform's target list by this replica.
    pub malformed_entries: Counter<u64>,
    /// Requests held in quarantine because targets have ended while running them.
    pub held_requests: Gauge<u64>,
    /// Evacuated failure domains, as this process knows them.
    pub evacuated_domains: Gauge<u64>,
    /// Streams of which this process knows where they began.
    pub remembered_streams: Gauge<u64>,
}

impl EntryMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// `Error::Start` if the exporter can't be built.
    pub fn new() -> Result<EntryMetrics> {
        let (registry, meter) = MetricRegistry::new()?;
        Ok(EntryMetrics {
            requests: meter.u64_counter("kumquatpost_requests").build(),
            first_chunk_s: meter
                .f64_histogram("kumquatpost_first_part")
                .with_unit("s")
                .with_boundaries(FIRST_CHUNK_BOUNDARIES_S.to_vec())
                .build(),
            failed_attempts: meter.u64_counter("kumquatpost_attempts_missed").build(),
            foreign_responses: meter.u64_counter("kumquatpost_foreign_answers").build(),
            forwarded_attempts: meter.u64_counter("kumquatpost_attempts_forwarded").build(),
            lost_paths: meter.u64_gauge("kumquatpost_lost_paths").build(),
            streams_taken_up: meter.u64_counter("kumquatpost_streams_taken_up").build(),
            remembered_streams: meter.u64_gauge("kumquatpost_streams_remembered").build(),
            retries: meter.u64_counter("kumquatpost_retries").build(),
            active_requests: meter.u64_gauge("kumquatpost_answering").build(),
            state_age_s: meter.f64_gauge("kumquatpost_belief_age").with_unit("s").build(),
            deployment_version: meter.u64_gauge("kumquatpost_deployment_version").build(),
            fallback_placements: meter.u64_counter("kumquatpost_placed_alone").build(),
            refused_without_room: meter.u64_counter("kumquatpost_refused_without_room").build(),
            sent_away: meter.u64_counter("kumquatpost_sent_away").build(),
            sent_away_bytes: meter
                .u64_counter("kumquatpost_sent_away_size")
                .with_unit("By")
                .build(),
            target_ends: meter.u64_counter("kumquatpost_targets_ended").build(),
            held_requests: meter.u64_gauge("kumquatpost_requests_held").build(),
            evacuated_domains: meter.u64_gauge("kumquatpost_evacuated_domains").build(),
            limited_targets: meter.u64_gauge("kumquatpost_limited_targets").build(),
            unreadable_loads: meter.u64_counter("kumquatpost_loads_unreadable").build(),
            work_time_factor: meter
                .f64_histogram("kumquatpost_work_time_factor")
                .with_boundaries(WORK_TIME_FACTOR_BOUNDARIES.to_vec())
                .build(),
            registry,
        })
    }

    /// Counts a request of a kind that is sent, if it leaves the failure domain.
    pub fn record_sent(&self, kind: &str, way: DomainRoute) {
        if way.is_away {
            let labels = [label("kind", kind)];
            self.sent_away.add(1, &labels);
            self.sent_away_bytes.add(way.body_bytes, &labels);
        }
    }

    /// Counts a finished request.
    pub fn record_request(&self, route: &str, ending: &str, reason: &str) {
        let labels = [label("route", route), label("ending", ending), label("reason", reason)];
        self.requests.add(1, &labels);
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}

impl ReplicaMetrics {
    /// Records what a scheduler reports of the prompts that compete for engines.
    pub fn record_competition(&self, report: &CompetitionReport) {
        let urgency = |priority: &u8| label("urgency", &priority.to_string());
        for (priority, len) in &report.waiting {
            self.queued_by_urgency.record(*len as u64, &[urgency(priority)]);
        }
        for ((reason, priority), count) in &report.refusals {
            let labels = [label("reason", reason.name()), urgency(priority)];
            self.refused_prompts.add(*count, &labels);
        }
        for (priority, (count, time)) in &report.waits {
            self.waited_prompts.add(*count, &[urgency(priority)]);
            self.prompt_wait_ms.add(time.as_millis() as u64, &[urgency(priority)]);
        }
        for (reason, seconds) in &report.passed_over_s {
            self.engines_passed_over_s.add(*seconds, &[label("reason", reason.name())]);
        }
    }

    /// Creates the instruments.
    ///
    /// # Errors
    /// `Error::Start` if the exporter can't be built.
    pub fn new() -> Result<ReplicaMetrics> {
        let (registry, meter) = MetricRegistry::new()?;
        Ok(ReplicaMetrics {
            term: meter.u64_gauge("kumquatpost_term").build(),
            is_leader: meter.u64_gauge("kumquatpost_leads").build(),
            deployment_version: meter.u64_gauge("kumquatpost_deployment_version").build(),
            connected_entries: meter.u64_gauge("kumquatpost_entries").build(),
            target_list_age_s: meter
                .f64_gauge("kumquatpost_target_list_age")
                .with_unit("s")
                .build(),
            queued_prompts: meter.u64_gauge("kumquatpost_prompts_waiting").build(),
            queued_by_urgency: meter.u64_gauge("kumquatpost_prompts_waiting_by_urgency").build(),
            refused_prompts: meter.u64_counter("kumquatpost_prompts_refused").build(),
            waited_prompts: meter.u64_counter("kumquatpost_prompts_waited").build(),
            prompt_wait_ms: meter.u64_counter("kumquatpost_prompt_wait_ms").build(),
            engines_passed_over_s: meter.u64_counter("kumquatpost_engines_passed_over_s").build(),
            operator_requests: meter.u64_counter("kumquatpost_operator_calls").build(),
            malformed_entries: meter.u64_counter("kumquatpost_target_entries_unreadable").build(),
            held_requests: meter.u64_gauge("kumquatpost_requests_held").build(),
            evacuated_domains: meter.u64_gauge("kumquatpost_evacuated_domains").build(),
            remembered_streams: meter.u64_gauge("kumquatpost_streams_remembered").build(),
            registry,
        })
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
