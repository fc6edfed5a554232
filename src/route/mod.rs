//! Routing: engine selection, target health and retry limits.
//!
//! The code here does no I/O and is passed the current time. `crate::node` polls reports and sends
//! requests.

pub mod decide;
pub mod health;
pub mod residency;
pub mod retry;
pub mod router;
pub mod targets;
pub mod view;

pub use decide::{Decision, Import, RouteRequest, decide};
pub use health::Health;
pub use residency::Residency;
pub use retry::RetryBudget;
pub use router::{Dispatch, DispatchOutcome, NoEngine, Router};
pub use targets::Targets;
pub use view::{EngineView, StoreView, View};
