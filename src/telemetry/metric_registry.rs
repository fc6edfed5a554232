//! The registry of a process's metric instruments, with export as Prometheus text.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::error::{Error, Result};

/// A registry of metric instruments.
pub struct MetricRegistry {
    registry: Registry,
    // The instruments report to the registry only while their provider exists.
    _provider: SdkMeterProvider,
}

impl MetricRegistry {
    /// Creates an empty registry and a meter that builds instruments in it.
    ///
    /// # Errors
    /// `Error::Start` if the exporter can't be built.
    pub fn new() -> Result<(MetricRegistry, Meter)> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|source| Error::start("metrics", source, "report this as a defect"))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("kumquatpost");
        Ok((MetricRegistry { registry, _provider: provider }, meter))
    }

    /// All metrics as Prometheus text.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            log::warn!("event=metrics_encode_failed error={:?}", error.to_string());
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }
}
