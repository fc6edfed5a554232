//! The targets behind this system: their list, load and health.

pub mod brittle;
pub mod budget;
pub mod cold;
pub mod compact;
pub mod evacuation;
pub mod listing;
pub mod locality;
pub mod memory_share;
pub mod news;
pub mod paths;
pub mod placement;
pub mod rate;
pub mod regions;
pub mod retry_reserve;
pub mod ring;
pub mod roster;
pub mod software;
pub mod speed;
pub mod streams;
pub mod target_table;
mod usage;
pub mod view;

pub use listing::{Listing, UnreadableEntry};
pub use roster::{Listed, Presence, Roster, RosterChange, RosterHistory};
pub use target_table::TargetTable;
pub use view::{Dispatch, FailureCause, FleetView, TargetState};
