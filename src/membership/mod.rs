//! Membership: which nodes live, found by probing each other over UDP.

pub mod actor;
pub mod swim;

pub use swim::{GossipItem, Member, Packet, Status, Swim, SwimTiming};
