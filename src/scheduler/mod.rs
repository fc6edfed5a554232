//! Decides for all entries together where prompts run and which contexts are kept in stores.
//!
//! One scheduler, at the leading replica, sees every prompt: it counts what each engine still has to
//! read, follows what is resident in each engine's memory, and owns the contents of the stores. An
//! entry that gets no answer in time decides alone, without the stores. Pure: fed asks, notes and the
//! time.

mod candidate;
pub mod engine;
pub mod engine_cache;
pub mod lateness;
pub mod link;
pub mod messages;
pub mod plan;
pub mod prefill;
pub mod queue;
mod source;
pub mod store;
pub mod weights;

pub use messages::{EndReason, Placement, PlacementEvent, PlacementRequest, TicketId};
pub use plan::{PlacementError, PlacementResult, Scheduler};
pub use queue::WaiterId;
