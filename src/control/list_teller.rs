//! What one entry was told of the list of targets, and what to tell it next.

use std::sync::Arc;

use super::frames::{FollowTargets, NumberedRoster, RosterName};
use super::shared::{PieceFrames, Shared};

/// Tells one entry the list of targets, once the entry has asked for it.
#[derive(Default)]
pub enum ListTeller {
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
    Told(NumberedRoster),
}

impl ListTeller {
    /// Takes what the entry asks for: changes alone if what it has is known here.
    pub fn ask(&mut self, request: FollowTargets, shared: &Shared) {
        let FollowTargets { whole, part: (part_of, pieces) } = request;
        let named = |name: RosterName| shared.roster_named(name).filter(|list| list.number > 0);
        *self = match (named(whole), named(part_of)) {
            (Some(list), _) => ListTeller::Told(list),
            (None, Some(list)) => ListTeller::pieces(list, pieces as usize, shared),
            (None, None) => ListTeller::Behind(whole),
        };
    }

    fn pieces(list: NumberedRoster, next: usize, shared: &Shared) -> ListTeller {
        let frames = shared.pieces_of(&list);
        ListTeller::Pieces { list, frames, next }
    }

    /// Whether there are pieces to send.
    pub fn is_sending(&self) -> bool {
        matches!(self, ListTeller::Pieces { .. })
    }

    /// The next frame for the entry, if there is one now: a piece at a time, so that other news come
    /// between them.
    pub fn next_frame(&mut self, shared: &Shared) -> Option<Arc<[u8]>> {
        if let ListTeller::Behind(name) = self {
            let known = shared.roster.borrow().clone();
            if known.number == 0 || known.name() < *name {
                return None;
            }
            *self = match known.name() == *name {
                true => ListTeller::Told(known),
                false => ListTeller::pieces(known, 0, shared),
            };
        }
        match self {
            ListTeller::Pieces { list, frames, next } => {
                let frame = frames.get(*next).cloned();
                *next += 1;
                if *next >= frames.len() {
                    *self = ListTeller::Told(list.clone());
                }
                frame
            }
            ListTeller::Told(told) => {
                let known = shared.roster.borrow().clone();
                if known.name() == told.name() {
                    return None;
                }
                let frame = shared.roster_change(told, &known);
                *told = known;
                Some(frame)
            }
            ListTeller::Silent | ListTeller::Behind(_) => None,
        }
    }
}
