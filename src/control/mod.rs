//! Replicas: the replicated state of a deployment, its operators, and news for entries.

pub mod age_recorder;
pub mod forming;
pub mod frames;
pub mod identity;
pub mod kept_targets;
pub mod links;
pub mod list_teller;
pub mod memory_reader;
pub mod news;
pub mod numbered_roster;
pub mod operators;
pub mod ordering;
pub mod pieces;
pub mod reader_election;
pub mod replica;
pub mod report;
pub mod roster_reader;
pub mod run;
mod scheduler_sync;
pub mod scheduling;
pub mod shared;
pub mod state;
pub mod store_reader;
pub mod unreadable;
pub mod weight_ages;
pub mod weights;
