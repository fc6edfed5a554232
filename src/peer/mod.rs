//! Node-to-node traffic: authenticated frames over TCP and datagrams over UDP, in postcard.

pub mod auth;
pub mod links;
pub mod message;

pub use auth::PeerKey;
pub use links::{AskError, Links, PeerHandler};
pub use message::{Answer, Ask, Frame};
