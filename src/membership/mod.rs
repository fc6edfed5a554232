//! Membership: which nodes are alive, detected by SWIM-like probes over UDP.

pub mod actor;
pub mod swim;

pub use swim::{GossipItem, Member, Packet, Status, Swim, SwimTiming};
