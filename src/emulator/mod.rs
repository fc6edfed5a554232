//! Small stand-ins for targets and the platform, for demonstration, measurement and tests.
//!
//! Each stand-in listens on a port of its own and runs on a thread of its own, so that one can die
//! with all its connections while the others go on.

pub mod answer;
pub mod cache;
pub mod engine;
pub mod faults;
pub mod host;
pub mod ledger;
pub mod platform;
pub mod priority_semaphore;
pub mod service;
pub mod settings;
pub mod store;
mod stream;
mod transfer;

pub use host::Emulator;
pub use settings::EmulatorSettings;
