//! What operators see: logs, metrics and the report on service-level burn.

pub mod bounded;
pub mod burn;
pub mod logs;
pub mod metrics;
pub mod registered;
pub mod roles;
