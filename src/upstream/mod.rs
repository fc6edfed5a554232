//! The edges of a node towards targets and the platform: their interfaces and our clients.

pub mod api;
pub mod chat;
pub mod client;
pub mod sse;
