//! What one entry was told of the list of targets, and what to tell it next.

use std::sync::Arc;

use super::frames::{FollowTargets, ListDetail, News, NumberedRoster, RosterName, encode};
use super::shared::{PieceFrames, Shared};
use crate::fleet::Presence;

/// Tells one entry the list of targets, once the entry has asked for it.
#[derive(Default)]
pub struct ListTeller {
    told: Told,
    detail: ListDetail,
}

/// What the entry was told.
#[derive(Default)]
enum Told {
    /// It has not asked.
    #[default]
    Silent,
    /// It has a later list than this replica, or this replica has none yet.
    Behind(RosterName),
    /// It is being told the whole list, piece by piece.
    Pieces {
        /// The list.
        list: NumberedRoster,
        /// Its pieces.
        frames: PieceFrames,
        /// The next piece.
        next: usize,
    },
    /// It has this list.
    List(NumberedRoster),
}

impl ListTeller {
    /// Takes what the entry asks for: changes alone if what it has is known here.
    pub fn ask(&mut self, request: FollowTargets, shared: &Shared) {
        let FollowTargets { whole, part: (part_of, pieces), detail } = request;
        let named = |name: RosterName| shared.roster_named(name).filter(|list| list.number > 0);
        self.detail = detail;
        self.told = match (named(whole), named(part_of)) {
            (Some(list), _) => Told::List(list),
            (None, Some(list)) => Told::pieces(list, pieces as usize, shared),
            (None, None) => Told::Behind(whole),
        };
    }

    /// Whether there are pieces to send.
    pub fn is_sending(&self) -> bool {
        matches!(self.told, Told::Pieces { .. })
    }

    /// Whether the entry has the list that is known here, or has heard of it.
    pub fn is_up_to_date(&self, shared: &Shared) -> bool {
        matches!(&self.told, Told::List(list) if list.name() == shared.roster.borrow().name())
    }

    /// The next frame for the entry, if there is one now: a piece at a time, so that other news come
    /// between them.
    pub fn next_frame(&mut self, shared: &Shared) -> Option<Arc<[u8]>> {
        if let Told::Behind(name) = &self.told {
            let known = shared.roster.borrow().clone();
            if known.number == 0 || known.name() < *name {
                return None;
            }
            self.told = match known.name() == *name {
                true => Told::List(known),
                false => Told::pieces(known, 0, shared),
            };
        }
        match &mut self.told {
            Told::Pieces { list, frames, next } => {
                let frame = frames.get(*next).cloned();
                *next += 1;
                if *next >= frames.len() {
                    self.told = Told::List(list.clone());
                }
                frame
            }
            Told::List(told) => {
                let known = shared.roster.borrow().clone();
                if known.name() == told.name() {
                    return None;
                }
                let frame = match self.detail {
                    ListDetail::Changes => shared.roster_change(told, &known),
                    ListDetail::Names => name_of(told, &known),
                };
                *told = known;
                Some(frame)
            }
            Told::Silent | Told::Behind(_) => None,
        }
    }
}

impl Told {
    fn pieces(list: NumberedRoster, next: usize, shared: &Shared) -> Told {
        let frames = shared.pieces_of(&list);
        Told::Pieces { list, frames, next }
    }
}

/// Tells that there is a later list, and who leaves by it.
fn name_of(told: &NumberedRoster, known: &NumberedRoster) -> Arc<[u8]> {
    let changed = told.roster.change_to(&known.roster).changed.into_iter();
    let leaving = changed.filter(|listed| listed.presence == Presence::Leaving);
    let leaving = leaving.map(|listed| listed.start).collect();
    encode(&News::RosterNamed { name: known.name(), leaving })
}
