//! Metrics of entries and replicas, through OpenTelemetry, served as Prometheus text.

use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::metric_registry::MetricRegistry;
use super::metrics::label;
use crate::error::Result;

/// Objectives of the deployments are 0.1 to 0.8 s, callers wait up to 15 s.
const FIRST_CHUNK_BOUNDARIES_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0, 15.0];

/// Instruments of an entry.
pub struct EntryMetrics {
    registry: MetricRegistry,
    /// Requests that ended, by route, ending and reason.
    pub requests: Counter<u64>,
    /// Time to the first part of a relayed answer, by route.
    pub first_chunk_s: Histogram<f64>,
    /// Attempts at targets that brought no answer, by reason.
    pub failed_attempts: Counter<u64>,
    /// Requests that are being answered.
    pub active_requests: Gauge<u64>,
    /// How old what is known of the deployment may be.
    pub state_age_s: Gauge<f64>,
    /// The version of the deployment in force here.
    pub deployment_version: Gauge<u64>,
    /// Prompts that were placed without the scheduler.
    pub fallback_placements: Counter<u64>,
    /// Targets that ended while they ran requests of this entry, by evidence.
    pub target_ends: Counter<u64>,
    /// Requests that are held, since targets have ended under them.
    pub held_requests: Gauge<u64>,
}

/// Instruments of a replica.
pub struct ReplicaMetrics {
    registry: MetricRegistry,
    /// The term of the log.
    pub term: Gauge<u64>,
    /// Whether this replica leads.
    pub is_leader: Gauge<u64>,
    /// The newest deployment that is applied here.
    pub deployment_version: Gauge<u64>,
    /// Entries that are connected to any replica.
    pub connected_entries: Gauge<u64>,
    /// How old the list of targets is.
    pub target_list_age_s: Gauge<f64>,
    /// Prompts that wait for an engine.
    pub queued_prompts: Gauge<u64>,
    /// Operators' calls, by status.
    pub operator_requests: Counter<u64>,
    /// Entries of the platform's list that could not be read, in all lists that were read here.
    pub malformed_entries: Counter<u64>,
    /// Requests that are held, since targets have ended under them.
    pub held_requests: Gauge<u64>,
}

impl EntryMetrics {
    /// Builds the instruments.
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
            active_requests: meter.u64_gauge("kumquatpost_answering").build(),
            state_age_s: meter.f64_gauge("kumquatpost_belief_age").with_unit("s").build(),
            deployment_version: meter.u64_gauge("kumquatpost_deployment_version").build(),
            fallback_placements: meter.u64_counter("kumquatpost_placed_alone").build(),
            target_ends: meter.u64_counter("kumquatpost_targets_ended").build(),
            held_requests: meter.u64_gauge("kumquatpost_requests_held").build(),
            registry,
        })
    }

    /// Records a request that ended.
    pub fn record_request(&self, route: &str, ending: &str, reason: &str) {
        let labels = [label("route", route), label("ending", ending), label("reason", reason)];
        self.requests.add(1, &labels);
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}

impl ReplicaMetrics {
    /// Builds the instruments.
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
            operator_requests: meter.u64_counter("kumquatpost_operator_calls").build(),
            malformed_entries: meter.u64_counter("kumquatpost_target_entries_unreadable").build(),
            held_requests: meter.u64_gauge("kumquatpost_requests_held").build(),
            registry,
        })
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
