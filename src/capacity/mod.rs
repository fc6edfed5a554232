//! Capacity: slopes measured on this machine, and each role worked out at the two-year size.

pub mod benchmarks;
pub mod cost_models;
pub mod planned_scale;
pub mod role_loads;

pub use cost_models::{CostModel, CostModels, Point};
pub use planned_scale::PlannedScale;
pub use role_loads::{RoleLoad, role_loads, total_load};
