//! Capacity planning: cost models measured on this machine, and from them the estimated load of each role at
//! the planned scale.

pub mod benchmarks;
pub mod cost_models;
mod measure;
pub mod planned_scale;
pub mod role_loads;

pub use cost_models::{CostModel, CostModels, Point};
pub use planned_scale::PlannedScale;
pub use role_loads::{RoleLoad, role_loads, total_load};
