//! kumquatpost: a serving system for language-model prompts that return after long gaps.
//!
//! Decision logic is in state machines without I/O that get messages and the current time as parameters; thin
//! layers around them perform the I/O. See README.md for an overview and docs/design/ for the design.

pub mod capacity;
pub mod claims;
pub mod cli;
pub mod clock;
pub mod commands;
pub mod config;
pub mod config_check;
pub mod control;
pub mod deployment;
pub mod emulator;
pub mod error;
pub mod essential_tasks;
pub mod fleet;
pub mod gateway;
pub mod host;
pub mod http;
pub mod http_api;
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
pub mod prefix_catalog;
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
