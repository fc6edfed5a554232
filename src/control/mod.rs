//! Replicas: consensus on the control state, the operator API, the weight rollout, the scheduler of
//! the leader, and updates for entries.

pub mod age_recorder;
pub mod checksummed_file;
pub mod deployment_schedule;
pub mod engine_cache_reader;
pub mod engine_report;
pub mod entry_directory;
pub mod frames;
pub mod hold_news;
pub mod identity;
pub mod links;
pub mod news_publisher;
pub mod operator_server;
pub mod pieces;
pub mod publisher;
pub mod quarantine_file;
pub mod quarantine_publisher;
pub mod reader_election;
pub mod replica;
pub mod rollout;
pub mod rollout_plan;
pub mod roster_file;
pub mod roster_publisher;
pub mod roster_reader;
pub mod run;
pub mod scheduler_service;
mod scheduler_sync;
pub mod shared;
pub mod software_file;
pub mod state;
pub mod store_reader;
pub mod stream_directory;
pub mod stream_lookups;
pub mod unreadable_log;
pub mod versioned_roster;
pub mod voter_set;
pub mod weight_ages;
