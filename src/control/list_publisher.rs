//! What one entry was sent of the list of targets, and what to send it next.

use std::sync::Arc;

use super::frames::{FollowTargets, ListDetail, NumberedRoster, RosterName, Update, encode};
use super::shared::{PieceFrames, Shared};
use crate::fleet::Presence;

/// Publishes the list of targets to one entry, once the entry has subscribed to it.
#[derive(Default)]
pub struct ListPublisher {
    sent: Sent,
    detail: ListDetail,
}

/// What the entry was sent.
#[derive(Default)]
enum Sent {
    /// It has not subscribed.
    #[default]
    Silent,
    /// It has a later list than this replica, or this replica has none yet.
    Behind(RosterName),
    /// It is being sent the whole list, piece by piece.
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

impl ListPublisher {
    /// Takes a subscription: changes alone are sent if what the entry has is known here.
    pub fn subscribe(&mut self, request: FollowTargets, shared: &Shared) {
        let FollowTargets { whole, part: (part_of, pieces), detail } = request;
        let named = |name: RosterName| shared.roster_named(name).filter(|list| list.number > 0);
        self.detail = detail;
        self.sent = match (named(whole), named(part_of)) {
            (Some(list), _) => Sent::List(list),
            (None, Some(list)) => Sent::pieces(list, pieces as usize, shared),
            (None, None) => Sent::Behind(whole),
        };
    }

    /// Whether there are pieces to send.
    pub fn is_sending(&self) -> bool {
        matches!(self.sent, Sent::Pieces { .. })
    }

    /// Whether the entry has the list that is known here, or knows its name.
    pub fn is_up_to_date(&self, shared: &Shared) -> bool {
        matches!(&self.sent, Sent::List(list) if list.name() == shared.roster.borrow().name())
    }

    /// The next frame for the entry, if there is one now: a piece at a time, so that other updates come
    /// between them.
    pub fn next_frame(&mut self, shared: &Shared) -> Option<Arc<[u8]>> {
        if let Sent::Behind(name) = &self.sent {
            let known = shared.roster.borrow().clone();
            if known.number == 0 || known.name() < *name {
                return None;
            }
            self.sent = match known.name() == *name {
                true => Sent::List(known),
                false => Sent::pieces(known, 0, shared),
            };
        }
        match &mut self.sent {
            Sent::Pieces { list, frames, next } => {
                let frame = frames.get(*next).cloned();
                *next += 1;
                if *next >= frames.len() {
                    self.sent = Sent::List(list.clone());
                }
                frame
            }
            Sent::List(sent) => {
                let known = shared.roster.borrow().clone();
                if known.name() == sent.name() {
                    return None;
                }
                let frame = match self.detail {
                    ListDetail::Changes => shared.roster_change(sent, &known),
                    ListDetail::Names => name_of(sent, &known),
                };
                *sent = known;
                Some(frame)
            }
            Sent::Silent | Sent::Behind(_) => None,
        }
    }
}

impl Sent {
    fn pieces(list: NumberedRoster, next: usize, shared: &Shared) -> Sent {
        let frames = shared.pieces_of(&list);
        Sent::Pieces { list, frames, next }
    }
}

/// An update that names a later list, and who leaves by it.
fn name_of(sent: &NumberedRoster, known: &NumberedRoster) -> Arc<[u8]> {
    let changed = sent.roster.change_to(&known.roster).changed.into_iter();
    let leaving = changed.filter(|listed| listed.presence == Presence::Leaving);
    let leaving = leaving.map(|listed| listed.start).collect();
    encode(&Update::RosterNamed { name: known.name(), leaving })
}
