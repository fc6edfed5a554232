//! Authentication between nodes with one shared key.
//!
//! TCP: both sides send a nonce, and a key for each direction is derived from the shared key and both
//! nonces. The tag of each frame covers its sequence number, so replayed, reordered and dropped frames are
//! detected. UDP: each datagram carries its sender's boot number and a sequence number, and is accepted once.

use std::collections::HashMap;
use std::path::Path;

use crate::error::{Error, Result};
use crate::ids::NodeId;

pub const NONCE_BYTES: usize = 16;
/// Length of an authentication tag.
pub const TAG_BYTES: usize = 16;
/// Minimum length of the key material.
const MIN_KEY_BYTES: usize = 32;
/// Number of recent sequence numbers of a sender within which datagrams may arrive out of
/// order. At most 64, the width of the bitmap.
const REPLAY_WINDOW: u64 = 64;
/// Sender, receiver, boot number and sequence number, 8 bytes each.
const DATAGRAM_HEADER_BYTES: usize = 32;

/// The key shared by all nodes.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

/// A frame or datagram is forged, corrupt, replayed or out of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuthError;

impl PeerKey {
    /// Reads the key file. Leading and trailing white space is ignored.
    ///
    /// # Errors
    /// `Error::Start` if the file can't be read or has less than 32 bytes.
    pub fn read(path: &Path) -> Result<PeerKey> {
        let remedy = "write at least 32 random bytes into the file and copy it to every node";
        let bytes =
            std::fs::read(path).map_err(|source| Error::start("key_file", source, remedy))?;
        let material = bytes.trim_ascii();
        if material.len() < MIN_KEY_BYTES {
            let reason = format!("{} bytes are too short for a key", material.len());
            return Err(Error::start("key_file", reason, remedy));
        }
        Ok(PeerKey::from_material(material))
    }

    /// Derives the key from key material.
    pub fn from_material(material: &[u8]) -> PeerKey {
        PeerKey(blake3::derive_key("kumquatpost 2026 node to node", material))
    }

    /// Derives the keys of a connection between the nodes `(connecting_nonce, accepting_nonce)`: for frames from the
    /// connecting side, and for frames to it.
    pub fn session_keys(
        &self,
        connecting_nonce: &[u8; NONCE_BYTES],
        accepting_nonce: &[u8; NONCE_BYTES],
        nodes: (NodeId, NodeId),
    ) -> (FrameAuthenticator, FrameAuthenticator) {
        let key = |direction: u8| {
            let mut hasher = blake3::Hasher::new_keyed(&self.0);
            hasher.update(&[direction]).update(connecting_nonce).update(accepting_nonce);
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

/// Signs or verifies the frames of one direction of a connection.
#[derive(Clone, Debug)]
pub struct FrameAuthenticator {
    key: [u8; 32],
    /// Sequence number of the next frame.
    next_number: u64,
}

impl FrameAuthenticator {
    /// Returns the tag of the next frame.
    pub fn sign(&mut self, body: &[u8]) -> [u8; TAG_BYTES] {
        let hash = self.next_tag(body);
        self.next_number += 1;
        truncate(&hash)
    }

    /// Verifies the tag of the next frame.
    ///
    /// # Errors
    /// If the peer did not send this frame at this position.
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

/// Signs the datagrams that a node sends between its start and its end.
pub struct DatagramSigner {
    key: PeerKey,
    node: NodeId,
    boot: u64,
    next_number: u64,
}

impl DatagramSigner {
    /// `boot` must be greater than at all earlier starts of the node.
    pub fn new(key: PeerKey, node: NodeId, boot: u64) -> DatagramSigner {
        DatagramSigner { key, node, boot, next_number: 1 }
    }

    /// Returns a signed datagram for node `to`.
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

/// Verifies received datagrams and accepts each only once.
pub struct DatagramVerifier {
    key: PeerKey,
    node: NodeId,
    senders: HashMap<NodeId, ReplayWindow>,
}

/// The sequence numbers that were received from one sender.
#[derive(Default)]
struct ReplayWindow {
    boot: u64,
    highest: u64,
    /// Bit `n` is set if the number `highest - n` was received.
    received: u64,
}

impl DatagramVerifier {
    /// Accepts datagrams that are addressed to `node`.
    pub fn new(key: PeerKey, node: NodeId) -> DatagramVerifier {
        DatagramVerifier { key, node, senders: HashMap::new() }
    }

    /// Returns the sender and the body of a datagram.
    ///
    /// # Errors
    /// If the datagram is corrupt, forged, addressed to another node, a replay or too old.
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
    /// Records a number. Returns false if it is a replay or too old.
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

fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |differs, (x, y)| differs | (x ^ y)) == 0
}
