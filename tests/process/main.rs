//! End-to-end tests that run the binary as separate processes on loopback.

mod api;
mod ending_prompts;
mod failures;
mod interface;
mod requests;
mod serving;
mod shutdown;
mod silent_engines;
mod status;
mod testenv;
