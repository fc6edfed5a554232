//! The replicated log: our own consensus, its storage, and the final state that it carries.

pub mod disk;
pub mod driver;
pub mod raft;
pub mod state;
pub mod types;

pub use types::{Entry, Index, Members, Message, Payload, Persist, RoundAck, Snapshot, Term, Vote};
