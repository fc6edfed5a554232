//! The targets in front of which this system runs: who is there, how busy, how sound.

pub mod budget;
pub mod compact;
pub mod listing;
pub mod placement;
pub mod roster;
pub mod view;

pub use listing::{Listing, UnreadableEntry};
pub use roster::{Listed, Presence, Roster, RosterChange, RosterHistory};
pub use view::{Dispatch, Fault, FleetView, TargetState};
