//! Metrics of a node.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

use super::metric_registry::MetricRegistry;
use crate::error::Result;

/// Histogram boundaries; 1.8 s is the objective for the 95th percentile.
const FIRST_TOKEN_BOUNDARIES_S: [f64; 13] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 5.0, 20.0];
/// Histogram boundaries; 18 s is the limit until a configuration is in force.
const IN_FORCE_BOUNDARIES_S: [f64; 9] = [0.5, 1.0, 2.0, 3.0, 4.0, 6.0, 10.0, 18.0, 60.0];

/// The metric instruments of one node. Names and units are listed in docs/OPERATIONS.md.
pub struct NodeMetrics {
    registry: MetricRegistry,
    /// Finished requests, by kind, account and result code.
    pub requests: Counter<u64>,
    /// Time to first token in seconds, by kind.
    pub first_token_s: Histogram<f64>,
    /// Prompt tokens of answered requests.
    pub prompt_tokens: Counter<u64>,
    /// Prompt tokens whose KV cache was resident or imported, so that they were not recomputed.
    pub reused_tokens: Counter<u64>,
    /// KV cache bytes transferred to and from stores, by direction.
    pub link_bytes: Counter<u64>,
    /// Number of the configuration in force on this node.
    pub config_number: Gauge<u64>,
    /// Time from the acceptance of a configuration until it is in force on all nodes, in seconds.
    pub in_force_s: Histogram<f64>,
    /// Dispatches to targets, by target and outcome.
    pub dispatches: Counter<u64>,
}

impl NodeMetrics {
    /// Creates the instruments.
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

pub fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_string())
}
