//! What operators see: logs, metrics and the report on service-level burn.

pub mod burn;
pub mod deployment_metrics;
pub mod logs;
pub mod metric_registry;
pub mod metrics;
pub mod non_blocking_appender;
