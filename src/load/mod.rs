//! The load tool: seeded workloads of the two deployments' shape, sent to nodes and checked.

pub mod bound;
pub mod deployment;
pub mod report;
pub mod sender;
pub mod workload;

pub use deployment::Deployment;
pub use report::{Figures, Outcome, Sample};
pub use sender::{Target, send_all};
pub use workload::{Arrival, Call, Plan, Shape, Workload};
