//! The numbered configuration: what operators decide, and how a patch changes it.

pub mod book;
pub mod document;
pub mod patch;

pub use book::{Book, NumberedConfig, Update};
pub use document::{Account, Config, Kind, Model, Objective, Policy, Prices, Service};
