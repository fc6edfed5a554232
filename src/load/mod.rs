//! The load generator: sends synthetic workloads to nodes, and checks and summarizes the answers.

pub mod emulated_deployment;
pub mod lower_bound;
pub mod report;
pub mod sender;
pub mod workload;

pub use emulated_deployment::EmulatedDeployment;
pub use report::{Outcome, RequestResult, RunSummary};
pub use sender::{Endpoints, send_all};
pub use workload::{Arrival, Call, Workload, WorkloadParameters, WorkloadProfile};
