//! The replicated log: our own consensus, its storage, and the final state that it carries.

pub mod disk;
pub mod driver;
pub mod raft;
pub mod state;
pub mod types;

pub use types::{Answered, Entry, Index, Members, Message, Payload, Persist, Snapshot, Term, Vote};
