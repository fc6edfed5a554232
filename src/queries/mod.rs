//! Operators' verbs that only show something.

pub mod capacity;
pub mod check_settings;
pub mod node;
