//! Read-only commands for operators.

pub mod burn;
pub mod capacity;
pub mod check_settings;
pub mod config_check;
pub mod operator_client;
pub mod request;
