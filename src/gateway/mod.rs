//! The entry of a deployment: an HTTP proxy that relays callers' requests to targets unchanged.

pub mod attempt;
pub mod events;
pub mod freshness;
pub mod in_flight;
pub mod log_limiter;
pub mod metadata;
pub mod path;
pub mod peers;
pub mod pool;
pub mod priority;
pub mod relay;
pub mod request;
pub mod request_record;
pub mod response;
pub mod routed_request;
pub mod run;
pub mod scheduler_client;
pub mod scheduler_connection;
pub mod server;
pub mod state;
pub mod subscription;
pub mod subscription_policy;
pub mod target_selection;
pub mod termination;
