//! Metrics through OpenTelemetry, shown as Prometheus text.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::metric_registry::MetricRegistry;
use crate::error::Result;

/// 1.8 s is the users' limit for 95 in 100.
const FIRST_TOKEN_BOUNDARIES_S: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5.0, 20.0];
/// 18 s is the users' limit.
const IN_FORCE_BOUNDARIES_S: [f64; 9] = [0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 10.0, 18.0, 60.0];

/// The instruments of one node. Names and units are listed in docs/OPERATIONS.md.
pub struct NodeMetrics {
    registry: MetricRegistry,
    /// Requests answered, by kind, account and result code.
    pub requests: Counter<u64>,
    /// Time to first token in seconds, by kind.
    pub first_token_s: Histogram<f64>,
    /// Prompt tokens of answered requests.
    pub prompt_tokens: Counter<u64>,
    /// Prompt tokens that an engine found resident or imported, so did not recompute.
    pub reused_tokens: Counter<u64>,
    /// Bytes of KV cache moved over links to and from stores, by direction.
    pub link_bytes: Counter<u64>,
    /// The configuration number in force on this node.
    pub config_number: Gauge<u64>,
    /// Seconds from the acceptance of a configuration until it was in force everywhere.
    pub in_force_s: Histogram<f64>,
    /// Dispatches to targets, by target and outcome.
    pub dispatches: Counter<u64>,
}

impl NodeMetrics {
    /// Builds the instruments.
    ///
    /// # Errors
    /// `Error::Start` if the exporter can't be built.
    pub fn new() -> Result<NodeMetrics> {
        let (registry, meter) = MetricRegistry::new()?;
        Ok(NodeMetrics {
            requests: meter.u64_counter("kumquatpost_requests").build(),
            first_token_s: meter
                .f64_histogram("kumquatpost_first_token")
                .with_unit("s")
                .with_boundaries(FIRST_TOKEN_BOUNDARIES_S.to_vec())
                .build(),
            prompt_tokens: meter.u64_counter("kumquatpost_prompt_tokens").build(),
            reused_tokens: meter.u64_counter("kumquatpost_reused_tokens").build(),
            link_bytes: meter.u64_counter("kumquatpost_link").with_unit("By").build(),
            config_number: meter.u64_gauge("kumquatpost_config_number").build(),
            in_force_s: meter
                .f64_histogram("kumquatpost_config_in_force")
                .with_unit("s")
                .with_boundaries(IN_FORCE_BOUNDARIES_S.to_vec())
                .build(),
            dispatches: meter.u64_counter("kumquatpost_dispatches").build(),
            registry,
        })
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}

/// A label of a metric.
pub fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_string())
}
