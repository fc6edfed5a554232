//! Tests of what runs on the platform: translation, deployments, the fleet, replicas' decisions, the
//! scheduler on a virtual clock, and an entry before stand-in targets.

mod boundary;
mod budget;
mod documents;
mod ending_prompts;
mod essential;
mod events;
mod explaining;
mod final_refusals;
mod fixtures;
mod foreign_bytes;
mod freshness;
mod gateway;
mod headers;
mod identity;
mod instances;
mod late_updates;
mod leaving;
mod links;
mod load;
mod many_hosts;
mod memory;
mod monotonic_state;
mod orders;
mod placement;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../platform_stand_in/mod.rs"]
mod platform_stand_in;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../soak/system.rs"]
mod processes;
mod reader_election;
mod replicas;
mod restarts;
mod rollout;
mod roster;
mod roster_file;
mod scheduler_service;
mod scheduling;
mod settings;
mod sources;
mod stand_in;
mod starts;
mod state;
mod stores;
mod table;
mod voter_set;
mod weights;
mod weights_alone;
mod weights_in_force;
