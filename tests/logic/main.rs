//! Tests of the decisions on a virtual clock: tables of faults and seeded random schedules.

mod admission;
mod auth;
mod broken_runs;
mod burn;
mod catalog;
mod claims;
mod configuration;
mod decide;
mod disk;
mod leading;
mod lease;
mod links;
mod log_disk;
mod log_schedules;
mod log_world;
mod orders;
mod quarantine;
mod relay;
mod replacing;
mod replicas;
mod restarting;
mod shares;
mod slow_disks;
mod swim;
mod targets;
mod votes;
