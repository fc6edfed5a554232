//! The configuration: the document that operators patch, and its numbered versions.

pub mod document;
pub mod history;
pub mod patch;

pub use document::{Account, Config, Kind, Model, Objective, Policy, Prices, Service};
pub use history::{ConfigHistory, NumberedConfig, Update};
