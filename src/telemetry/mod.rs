//! Logs, metrics and the burn rates of service-level objectives.

pub mod burn;
pub mod deployment_metrics;
pub mod logs;
pub mod metric_registry;
pub mod metrics;
pub mod non_blocking_appender;
