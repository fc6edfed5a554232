//! The replicated log: Raft consensus, its durable storage, and the replicated state machine.

pub mod disk;
pub mod driver;
pub mod raft;
pub mod state;
pub mod types;

pub use types::{Entry, Index, Members, Message, Payload, Persist, RoundAck, Snapshot, Term, Vote};
