//! Authentication between nodes with one shared key.
//!
//! TCP: both sides send a nonce; keys of the two directions are derived from the shared key and
//! both nonces, and each frame's code covers its position, so that nothing can be replayed, moved
//! or dropped unseen. UDP: each datagram names its sender's start and a number that is taken once.

use std::collections::HashMap;
use std::path::Path;

use crate::error::{Error, Result};
use crate::ids::NodeId;

/// Length of a nonce.
pub const NONCE_BYTES: usize = 16;
/// Length of an authentication code.
pub const TAG_BYTES: usize = 16;
/// Fewest bytes of key material.
const MIN_KEY_BYTES: usize = 32;
/// Datagrams that may overtake each other.
const REPLAY_WINDOW: u64 = 64;
/// Sender, receiver, sender's start, number.
const DATAGRAM_HEADER_BYTES: usize = 32;

/// The key that all nodes share.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

/// A code, order or sender is wrong: the bytes must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthError;

impl PeerKey {
    /// Reads the key file: at least 32 bytes, white space at the ends ignored.
    ///
    /// # Errors
    /// `Error::Start` if it can't be read or is too short.
    pub fn read(path: &Path) -> Result<PeerKey> {
        let remedy = "write at least 32 random bytes into the file and give every node the same";
        let bytes =
            std::fs::read(path).map_err(|source| Error::start("key_file", source, remedy))?;
        let material = bytes.trim_ascii();
        if material.len() < MIN_KEY_BYTES {
            let reason = format!("{} bytes are too few", material.len());
            return Err(Error::start("key_file", reason, remedy));
        }
        Ok(PeerKey::from_material(material))
    }

    /// The key of some key material.
    pub fn from_material(material: &[u8]) -> PeerKey {
        PeerKey(blake3::derive_key("kumquatpost 2026 node to node", material))
    }

    /// The keys of a connection: from the side that connects, and towards it.
    pub fn session_keys(
        &self,
        connecting: &[u8; NONCE_BYTES],
        accepting: &[u8; NONCE_BYTES],
        nodes: (NodeId, NodeId),
    ) -> (FrameAuthenticator, FrameAuthenticator) {
        let key = |direction: u8| {
            let mut hasher = blake3::Hasher::new_keyed(&self.0);
            hasher.update(&[direction]).update(connecting).update(accepting);
            hasher.update(&nodes.0.to_le_bytes()).update(&nodes.1.to_le_bytes());
            FrameAuthenticator { key: *hasher.finalize().as_bytes(), next_number: 0 }
        };
        (key(1), key(2))
    }

    fn datagram_tag(&self, bytes: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[3]).update(bytes);
        hasher.finalize()
    }
}

/// One direction of a connection.
#[derive(Clone, Debug)]
pub struct FrameAuthenticator {
    key: [u8; 32],
    /// Number of the next frame.
    next_number: u64,
}

impl FrameAuthenticator {
    /// The code of the next frame.
    pub fn sign(&mut self, body: &[u8]) -> [u8; TAG_BYTES] {
        let hash = self.next_tag(body);
        self.next_number += 1;
        truncate(&hash)
    }

    /// Checks the next frame.
    ///
    /// # Errors
    /// If it is not what the other side sent at this place.
    pub fn verify(&mut self, body: &[u8], tag: &[u8; TAG_BYTES]) -> Result<(), AuthError> {
        if !constant_time_eq(&truncate(&self.next_tag(body)), tag) {
            return Err(AuthError);
        }
        self.next_number += 1;
        Ok(())
    }

    fn next_tag(&self, body: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.next_number.to_le_bytes()).update(&(body.len() as u64).to_le_bytes());
        hasher.update(body);
        hasher.finalize()
    }
}

/// Seals datagrams of one start of a node.
pub struct DatagramSigner {
    key: PeerKey,
    node: NodeId,
    boot: u64,
    next_number: u64,
}

impl DatagramSigner {
    /// `boot` must be greater than at any earlier start of the node.
    pub fn new(key: PeerKey, node: NodeId, boot: u64) -> DatagramSigner {
        DatagramSigner { key, node, boot, next_number: 1 }
    }

    /// A datagram for one node.
    pub fn sign(&mut self, to: NodeId, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(DATAGRAM_HEADER_BYTES + body.len() + TAG_BYTES);
        for number in [self.node, to, self.boot, self.next_number] {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        self.next_number += 1;
        bytes.extend_from_slice(body);
        let tag = truncate(&self.key.datagram_tag(&bytes));
        bytes.extend_from_slice(&tag);
        bytes
    }
}

/// Opens datagrams; each is taken once.
pub struct DatagramVerifier {
    key: PeerKey,
    node: NodeId,
    senders: HashMap<NodeId, ReplayWindow>,
}

#[derive(Default)]
struct ReplayWindow {
    boot: u64,
    highest: u64,
    /// Bit `n`: the number `highest - n` was taken.
    received: u64,
}

impl DatagramVerifier {
    /// Opens datagrams that are for `node`.
    pub fn new(key: PeerKey, node: NodeId) -> DatagramVerifier {
        DatagramVerifier { key, node, senders: HashMap::new() }
    }

    /// The sender and body of a datagram.
    ///
    /// # Errors
    /// If it is damaged, forged, for another node, or was taken before.
    pub fn verify<'b>(&mut self, bytes: &'b [u8]) -> Result<(NodeId, &'b [u8]), AuthError> {
        let Some(length) = bytes.len().checked_sub(TAG_BYTES) else { return Err(AuthError) };
        if length < DATAGRAM_HEADER_BYTES {
            return Err(AuthError);
        }
        let (signed, tag) = bytes.split_at(length);
        if !constant_time_eq(&truncate(&self.key.datagram_tag(signed)), tag) {
            return Err(AuthError);
        }
        let number = |position: usize| {
            let mut field = [0; 8];
            field.copy_from_slice(&signed[position * 8..position * 8 + 8]);
            u64::from_le_bytes(field)
        };
        let from = number(0);
        if number(1) != self.node
            || !self.senders.entry(from).or_default().accept(number(2), number(3))
        {
            return Err(AuthError);
        }
        Ok((from, &signed[DATAGRAM_HEADER_BYTES..]))
    }
}

impl ReplayWindow {
    fn accept(&mut self, boot: u64, number: u64) -> bool {
        if boot < self.boot {
            return false;
        }
        if boot > self.boot {
            *self = ReplayWindow { boot, highest: number, received: 1 };
            return true;
        }
        if number > self.highest {
            let ahead = number - self.highest;
            self.received = if ahead < REPLAY_WINDOW { self.received << ahead | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if behind >= REPLAY_WINDOW || self.received & (1 << behind) != 0 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}

fn truncate(hash: &blake3::Hash) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares in constant time.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differs, (x, y)| differs | (x ^ y)) == 0
}
