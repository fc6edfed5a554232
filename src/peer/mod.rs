//! Communication between nodes: authenticated frames over TCP and datagrams over UDP, encoded with postcard.

pub mod auth;
pub mod links;
pub mod message;

pub use auth::PeerKey;
pub use links::{Links, PeerHandler, PeerRequestError};
pub use message::{Frame, PeerRequest, PeerResponse};
