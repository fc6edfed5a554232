//! Tests of the platform deployment: decoding of platform documents, deployments, the fleet, replicas, the
//! scheduler on a virtual clock, and an entry in front of stand-in targets.

mod asking;
mod boundary;
mod budget;
mod diagnostics;
mod documents;
mod ending_prompts;
mod essential_tasks;
mod events;
mod final_refusals;
mod fixtures;
mod forming;
mod freshness;
mod gateway;
mod headers;
mod identity;
mod instances;
mod kept_targets;
mod late_news;
mod leaving;
mod links;
mod load;
mod many_hosts;
mod memory;
mod orders;
mod placement;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../platform_stand_in/mod.rs"]
mod platform_stand_in;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/system.rs"]
mod processes;
mod reading;
mod replicas;
mod restarts;
mod rollout;
mod roster;
mod scheduling;
mod settings;
mod sources;
mod stand_in;
mod starts;
mod state;
mod stores;
mod table;
mod told_once;
mod untrusted_input;
mod weights;
mod weights_alone;
mod weights_in_force;
