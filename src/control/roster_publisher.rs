//! What one entry was sent of the list of targets, and what to send it next.

use std::sync::Arc;

use super::frames::{
    RosterDetail, RosterSubscription, RosterVersion, Update, VersionedRoster, encode,
};
use super::shared::{PieceFrames, Shared};
use crate::fleet::Presence;

/// Publishes the list of targets to one entry, once the entry has subscribed to it.
#[derive(Default)]
pub struct RosterPublisher {
    sent: Sent,
    detail: RosterDetail,
}

/// What the entry was sent.
#[derive(Default)]
enum Sent {
    /// It has not subscribed.
    #[default]
    Silent,
    /// It has a later list than this replica, or this replica has none yet.
    Behind(RosterVersion),
    /// It is being sent the whole list, piece by piece.
    Pieces {
        /// The list.
        list: VersionedRoster,
        /// Its pieces.
        frames: PieceFrames,
        /// The next piece.
        next: usize,
    },
    /// It has this list.
    List(VersionedRoster),
}

impl RosterPublisher {
    /// Takes a subscription: changes alone are sent if what the entry has is known here.
    pub fn subscribe(&mut self, request: RosterSubscription, shared: &Shared) {
        let RosterSubscription { whole, part: (part_of, pieces), detail } = request;
        let find_roster = |version: RosterVersion| {
            shared.roster_with_version(version).filter(|list| list.number > 0)
        };
        self.detail = detail;
        self.sent = match (find_roster(whole), find_roster(part_of)) {
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
        matches!(&self.sent, Sent::List(list) if list.version() == shared.roster.borrow().version())
    }

    /// The next frame for the entry, if there is one now: a piece at a time, so that other updates come
    /// between them.
    pub fn next_frame(&mut self, shared: &Shared) -> Option<Arc<[u8]>> {
        if let Sent::Behind(version) = &self.sent {
            let known = shared.roster.borrow().clone();
            if known.number == 0 || known.version() < *version {
                return None;
            }
            self.sent = match known.version() == *version {
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
                if known.version() == sent.version() {
                    return None;
                }
                let frame = match self.detail {
                    RosterDetail::Changes => shared.roster_change_frame(sent, &known),
                    RosterDetail::Versions => version_frame(sent, &known),
                };
                *sent = known;
                Some(frame)
            }
            Sent::Silent | Sent::Behind(_) => None,
        }
    }
}

impl Sent {
    fn pieces(list: VersionedRoster, next: usize, shared: &Shared) -> Sent {
        let frames = shared.piece_frames(&list);
        Sent::Pieces { list, frames, next }
    }
}

/// An update that names a later list, and who leaves by it.
fn version_frame(sent: &VersionedRoster, known: &VersionedRoster) -> Arc<[u8]> {
    let changed = sent.roster.change_to(&known.roster).changed.into_iter();
    let leaving = changed.filter(|listed| listed.presence == Presence::Leaving);
    let leaving = leaving.map(|listed| listed.start).collect();
    encode(&Update::RosterVersionOnly { version: known.version(), leaving })
}
