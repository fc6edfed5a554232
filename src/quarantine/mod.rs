//! Requests under which targets end ("queries of death"): how they are told from requests that happened
//! to run where a target ended, and how they are kept from ending more of them.
//!
//! All processes keep what they know in a `Quarantine` and tell each other. What is known only grows until it
//! is forgotten, so that it doesn't matter who tells whom, how often, or in which order: no leader is needed,
//! and a process that starts again is told by any other.

pub mod broken_runs;
mod fingerprint;
pub mod notify;
mod state;

pub use fingerprint::Fingerprint;
pub use state::{MergeResult, Quarantine, Report, Revision};
