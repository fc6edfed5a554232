//! A list of targets in pieces: a host that knows none serves from the first pieces on, and goes on where
//! it was when a connection ends in the midst.
//!
//! A whole list in one frame has to arrive within the time after which a silent replica is left; else it
//! begins anew at another replica, and never ends. At 10 Mbit/s that is some 10,000 targets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::frames::{NumberedRoster, RosterName};
use crate::fleet::{Listed, Presence, Roster};
use crate::ids::{BirthMs, ServiceId, TargetId, TargetStart};

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
    /// Names of services, failure domains and models, each once.
    names: Vec<String>,
    targets: Vec<Row>,
}

/// A target of a piece. Names are told by their place among the piece's names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Row {
    id: TargetId,
    born_ms: Option<BirthMs>,
    service: u32,
    address: SocketAddr,
    failure_domain: u32,
    slots: u32,
    presence: Presence,
    weights: Vec<(u32, u64)>,
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
        Piece::new(list.name(), (index, count), &targets[from..to])
    };
    (0..count).map(piece).collect()
}

impl Piece {
    fn new(of: RosterName, (index, count): (u32, u32), targets: &[&Listed]) -> Piece {
        let mut names = Names::default();
        let targets = targets.iter().map(|listed| Row::new(listed, &mut names)).collect();
        Piece { of, index, count, names: names.in_order, targets }
    }

    /// Its targets.
    ///
    /// # Errors
    /// If a name is missing.
    pub fn listed(&self) -> Result<Vec<Listed>, PieceError> {
        self.targets.iter().map(|row| row.listed(&self.names)).collect()
    }
}

impl Row {
    fn new(listed: &Listed, names: &mut Names) -> Row {
        Row {
            id: listed.start.id.clone(),
            born_ms: listed.start.born_ms,
            service: names.place(&listed.service),
            address: listed.address,
            failure_domain: names.place(&listed.failure_domain),
            slots: listed.slots,
            presence: listed.presence,
            weights: listed.weights.iter().map(|(m, version)| (names.place(m), *version)).collect(),
        }
    }

    fn listed(&self, names: &[String]) -> Result<Listed, PieceError> {
        let name = |at: u32| names.get(at as usize).cloned().ok_or(PieceError::Damaged);
        let weights = self.weights.iter().map(|(model, version)| Ok((name(*model)?, *version)));
        Ok(Listed {
            start: TargetStart { id: self.id.clone(), born_ms: self.born_ms },
            service: name(self.service)?,
            address: self.address,
            failure_domain: name(self.failure_domain)?,
            slots: self.slots,
            presence: self.presence,
            weights: weights.collect::<Result<_, PieceError>>()?,
        })
    }
}

/// Names in the order in which they were met.
#[derive(Default)]
struct Names {
    in_order: Vec<String>,
    places: BTreeMap<String, u32>,
}

impl Names {
    fn place(&mut self, name: &str) -> u32 {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = self.in_order.len() as u32;
        self.in_order.push(name.to_string());
        self.places.insert(name.to_string(), place);
        place
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
        let roster = Roster::of_targets(std::mem::take(&mut self.targets));
        let list = NumberedRoster::new(self.of.number, Arc::new(roster));
        match list.name() == self.of {
            true => Ok(Some(list)),
            false => Err(PieceError::Mixed),
        }
    }
}
