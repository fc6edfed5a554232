//! Emulates the platform and its targets (engines, stores and services) for demos, load tests and
//! integration tests.
//!
//! Each target has its own thread and port, so that it can crash with all its connections without
//! affecting the others.

pub mod answer;
pub mod cache;
pub mod engine;
pub mod faults;
pub mod ledger;
mod load_samples;
pub mod priority_semaphore;
pub mod service;
pub mod settings;
pub mod store;
mod stream;
pub mod supervisor;
pub mod target_list;
mod transfer;

pub use settings::EmulatorSettings;
pub use supervisor::Emulator;
