//! Capacity: slopes measured on this machine, and each role worked out at the two-year size.

pub mod costs;
pub mod roles;
pub mod size;
pub mod slopes;

pub use roles::{Role, roles, total};
pub use size::TwoYears;
pub use slopes::{Point, Slope, Slopes};
