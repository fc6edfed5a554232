//! The deployment as operators publish it: routes, services, client accounts and request limits.

pub mod document;
pub mod routing_table;
pub mod validate;

pub use document::{
    Account, Deployment, EngineSpec, RequestLimits, Route, RunPolicy, Service, ServiceRole,
    StoreSpec, WeightedService,
};
pub use routing_table::{Rejection, RouteMatch, RoutingTable};
