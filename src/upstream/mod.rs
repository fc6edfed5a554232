//! Interfaces of targets and the platform, and the client for them.

pub mod api;
pub mod chat;
pub mod client;
pub mod sse;
