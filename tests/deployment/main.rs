//! Tests of the platform deployment: decoding of platform documents, deployments, the fleet, replicas, the
//! scheduler on a virtual clock, and an entry in front of stand-in targets.

mod boundary;
mod brittle_targets;
mod budget;
mod changes_under_load;
mod cold;
mod concentrated_connections;
mod crashing_parts;
mod cut_entries;
mod diagnostics;
mod documents;
mod early_breaks;
mod ending_prompts;
mod essential_tasks;
mod evacuation;
mod events;
mod final_refusals;
mod fixtures;
mod fleet_size;
mod forwarding;
mod freshness;
mod gateway;
mod gateway_responses;
mod headers;
mod identity;
mod idle_connections;
mod instances;
mod kept_connections;
mod last_answers;
mod late_updates;
mod leaving;
mod links;
mod load;
mod lost_paths;
mod many_hosts;
mod memory;
mod monotonic_state;
mod orders;
mod peer_entries;
mod placement;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../platform_stand_in/mod.rs"]
mod platform_stand_in;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/system.rs"]
mod processes;
mod quarantine_file;
mod rate_limits;
mod reader_election;
mod regions;
mod replicas;
mod restarts;
mod rollout;
mod roster;
mod roster_file;
mod scheduler_service;
mod scheduling;
mod settings;
mod silent_targets;
mod slow_readers;
mod software_placement;
mod software_versions;
mod sources;
mod stand_in;
mod starts;
mod state;
mod stores;
mod stream_origins;
mod table;
mod unframed_answers;
mod untrusted_input;
mod voter_set;
mod weights;
mod weights_alone;
mod weights_in_force;
