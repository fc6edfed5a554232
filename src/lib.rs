//! kumquatpost: a serving system for language-model prompts that return after long gaps.
//!
//! Decisions are state machines without I/O, fed `(message, now)`; thin shells around them do the
//! I/O. README.md says what it does, docs/design/ why it is built this way.

pub mod capacity;
pub mod claims;

pub mod cli;
pub mod clock;
pub mod commands;
pub mod config;
pub mod control;
pub mod deployment;
pub mod emulator;
pub mod entry;
pub mod error;
pub mod essential;
pub mod fleet;
pub mod gateway;
pub mod host;
pub mod http;
pub mod ids;
pub mod json_reader;
pub mod lease;
pub mod limits;
pub mod load;
pub mod log;
pub mod membership;
pub mod net;
pub mod node;
pub mod orders;
pub mod peer;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod prompt;
pub mod quarantine;
pub mod queries;
pub mod reload;
pub mod replica;
pub mod route;
pub mod scheduler;
pub mod settings;
pub mod telemetry;
pub mod upstream;
pub mod whereabouts;
