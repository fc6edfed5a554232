//! The numbered configuration: what operators decide, and how a patch changes it.

pub mod document;
pub mod history;
pub mod patch;

pub use document::{Account, Config, Kind, Model, Objective, Policy, Prices, Service};
pub use history::{ConfigHistory, NumberedConfig, Update};
