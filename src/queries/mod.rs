//! Operators' verbs that only show something.

pub mod burn;
pub mod capacity;
pub mod check_settings;
pub mod operator_client;
pub mod request;
