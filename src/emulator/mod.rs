//! Small stand-ins for targets and the platform, for demonstration, measurement and tests.
//!
//! Each stand-in listens on a port of its own and runs on a thread of its own, so that one can die
//! with all its connections while the others go on.

pub mod answer;
pub mod cache;
pub mod engine;
pub mod faults;
pub mod ledger;
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
