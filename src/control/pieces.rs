//! A list of targets in pieces: a host that knows none serves from the first pieces on, and goes on where
//! it was when a connection ends in the midst.
//!
//! A whole list in one frame has to arrive within the time after which a silent replica is left; else it
//! begins anew at another replica, and never ends. At 10 Mbit/s that is some 10,000 targets.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::numbered_roster::{NumberedRoster, RosterName};
use crate::fleet::compact::CompactTargets;
use crate::fleet::{Listed, Roster};
use crate::ids::ServiceId;

/// Targets of a piece: some 8 KB, which take a link of 10 Mbit/s some 7 ms.
const PIECE_LEN: usize = 256;
/// More pieces are taken for damage: some million targets.
const MAX_PIECES: u32 = 4_096;

/// A part of a list of targets. The pieces of a list are the same wherever it is known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// The list.
    pub of: RosterName,
    /// Its place among the pieces, from 0.
    pub index: u32,
    /// How many pieces there are; at least one.
    pub count: u32,
    targets: CompactTargets,
}

/// Pieces that make no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PieceError {
    /// A name is missing, or the place is not one of the list's.
    #[snafu(display("a piece of a list of targets is damaged"))]
    Damaged,
    /// All pieces together are another list than they say.
    #[snafu(display("the pieces of a list of targets are of several lists"))]
    Mixed,
}

/// The pieces of a list: targets of services with few targets come first, so that most routes can be
/// served before all has arrived.
pub fn split(list: &NumberedRoster) -> Vec<Piece> {
    let mut by_service: BTreeMap<&ServiceId, Vec<&Listed>> = BTreeMap::new();
    for listed in list.roster.iter() {
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
        Piece { of: list.name(), index, count, targets }
    };
    (0..count).map(piece).collect()
}

impl Piece {
    /// Its targets.
    ///
    /// # Errors
    /// If a name is missing.
    pub fn listed(&self) -> Result<Vec<Listed>, PieceError> {
        self.targets.to_listed().map_err(|_| PieceError::Damaged)
    }
}

/// Pieces of one list that have arrived.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    of: RosterName,
    /// The next piece that is wanted: those before it are here.
    next: u32,
    targets: Vec<Listed>,
}

impl Assembly {
    /// The list, and how many of its pieces have arrived.
    pub fn progress(&self) -> (RosterName, u32) {
        (self.of, self.next)
    }

    /// Takes a piece, and returns the list once that is whole. Pieces come in order; one of another list
    /// begins that list.
    ///
    /// # Errors
    /// If the pieces make no list; they are forgotten then.
    pub fn take(&mut self, piece: &Piece) -> Result<Option<NumberedRoster>, PieceError> {
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

    fn add(&mut self, piece: &Piece) -> Result<Option<NumberedRoster>, PieceError> {
        if piece.index != self.next || piece.index >= piece.count || piece.count > MAX_PIECES {
            return Err(PieceError::Damaged);
        }
        self.targets.extend(piece.listed()?);
        self.next += 1;
        if self.next < piece.count {
            return Ok(None);
        }
        let roster = Roster::from_targets(std::mem::take(&mut self.targets));
        let list = NumberedRoster::new(self.of.number, Arc::new(roster));
        match list.name() == self.of {
            true => Ok(Some(list)),
            false => Err(PieceError::Mixed),
        }
    }
}
