//! Splits a roster into pieces and reassembles them. An entry without a roster can serve from the
//! first pieces on, and resumes where it was after a broken connection.
//!
//! A roster sent as one frame would have to arrive before the entry gives up on a silent replica,
//! or the transfer would restart at another replica each time. At 10 Mbit/s that limits a roster to
//! about 10,000 targets.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::versioned_roster::{RosterVersion, VersionedRoster};
use crate::fleet::compact::CompactTargets;
use crate::fleet::{Listed, Roster};
use crate::ids::ServiceId;

/// Targets in a piece: about 8 KB, or 7 ms on a link of 10 Mbit/s.
const PIECE_LEN: usize = 256;
/// More pieces than this, about a million targets, are rejected as corrupt.
const MAX_PIECES: u32 = 4_096;

/// A piece of a roster. All replicas split the same roster in the same way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// The version of the roster.
    pub of: RosterVersion,
    /// The zero-based index of the piece.
    pub index: u32,
    /// The number of pieces; at least one.
    pub count: u32,
    targets: CompactTargets,
}

/// Why pieces cannot be assembled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PieceError {
    /// The piece cannot be decoded, or its index or count is invalid.
    #[snafu(display("a piece of the roster is damaged"))]
    Damaged,
    /// The assembled roster does not have the version that the pieces state.
    #[snafu(display("the pieces do not form the roster that they name"))]
    VersionMismatch,
}

/// Splits a roster. Services with few targets come first, so that most routes can be served before
/// all pieces have arrived.
pub fn split(versioned: &VersionedRoster) -> Vec<Piece> {
    let mut by_service: BTreeMap<&ServiceId, Vec<&Listed>> = BTreeMap::new();
    for listed in versioned.roster.iter() {
        by_service.entry(&listed.service).or_default().push(listed);
    }
    let mut services: Vec<Vec<&Listed>> = by_service.into_values().collect();
    services.sort_by_key(Vec::len);
    let targets: Vec<&Listed> = services.into_iter().flatten().collect();
    let count = targets.len().div_ceil(PIECE_LEN).max(1) as u32;
    let piece = |index: u32| {
        let from = index as usize * PIECE_LEN;
        let to = targets.len().min(from + PIECE_LEN);
        let targets = CompactTargets::from_targets(targets[from..to].iter().copied());
        Piece { of: versioned.version(), index, count, targets }
    };
    (0..count).map(piece).collect()
}

impl Piece {
    /// Decodes the targets of the piece.
    ///
    /// # Errors
    ///
    /// If the piece cannot be decoded.
    pub fn listed(&self) -> Result<Vec<Arc<Listed>>, PieceError> {
        self.targets.to_listed().map_err(|_| PieceError::Damaged)
    }
}

/// The pieces of one roster received so far.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    of: RosterVersion,
    /// The index of the next expected piece.
    next: u32,
    roster: Roster,
}

impl Assembly {
    /// The version of the roster, and the number of pieces received.
    pub fn progress(&self) -> (RosterVersion, u32) {
        (self.of, self.next)
    }

    /// Adds a piece and returns the roster once it is complete. Pieces must come in order; a piece
    /// of another roster starts over with that one.
    ///
    /// # Errors
    ///
    /// If the pieces do not form a valid roster. They are discarded.
    pub fn take(&mut self, piece: &Piece) -> Result<Option<VersionedRoster>, PieceError> {
        if piece.of != self.of {
            *self = Assembly { of: piece.of, ..Assembly::default() };
        }
        if piece.index < self.next {
            return Ok(None);
        }
        let added = self.add(piece);
        if added.is_err() {
            *self = Assembly::default();
        }
        added
    }

    fn add(&mut self, piece: &Piece) -> Result<Option<VersionedRoster>, PieceError> {
        if piece.index != self.next || piece.index >= piece.count || piece.count > MAX_PIECES {
            return Err(PieceError::Damaged);
        }
        self.roster.add(piece.listed()?);
        self.next += 1;
        if self.next < piece.count {
            return Ok(None);
        }
        let roster = std::mem::take(&mut self.roster);
        let versioned = VersionedRoster::new(self.of.number, Arc::new(roster));
        match versioned.version() == self.of {
            true => Ok(Some(versioned)),
            false => Err(PieceError::VersionMismatch),
        }
    }
}
