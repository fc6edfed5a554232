//! Central placement of prompts on engines, and management of the KV cache stores.
//!
//! The leading replica runs one scheduler, which sees every prompt. It tracks each engine's prefill
//! backlog and resident KV cache and decides what the stores hold. An entry that gets no answer in
//! time places the prompt itself, without using the stores. The scheduler does no I/O: it is fed
//! requests, events and the current time.

mod candidate;
pub mod competition;
pub mod engine;
pub mod engine_cache;
pub mod engines;
pub mod lateness;
pub mod link;
pub mod messages;
pub mod placement_rate;
pub mod plan;
pub mod prefill;
pub mod queue;
pub mod return_times;
mod source;
pub mod store;
pub mod weights;

pub use messages::{EndReason, Placement, PlacementEvent, PlacementRequest, TicketId};
pub use plan::{
    CompetitionReport, PassedOverReason, PlacementError, PlacementResult, RefusalReason, Scheduler,
};
pub use queue::WaiterId;
