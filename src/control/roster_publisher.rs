//! Tracks which roster an entry holds and produces the next frame for it.

use std::sync::Arc;

use super::frames::{
    RosterDetail, RosterSubscription, RosterVersion, Update, VersionedRoster, encode,
};
use super::shared::{PieceFrames, Shared};
use crate::fleet::Presence;

/// Publishes the roster to one entry, once that entry has subscribed.
#[derive(Default)]
pub struct RosterPublisher {
    sent: Sent,
    detail: RosterDetail,
}

/// What the entry was sent.
#[derive(Default)]
enum Sent {
    /// The entry has not subscribed.
    #[default]
    Silent,
    /// The entry has a newer roster than this replica, or this replica has none yet.
    Behind(RosterVersion),
    /// The entry is being sent a whole roster in pieces.
    Pieces {
        /// The roster.
        list: VersionedRoster,
        /// The frames of its pieces.
        frames: PieceFrames,
        /// The index of the next piece.
        next: usize,
    },
    /// The entry has this roster.
    List(VersionedRoster),
}

impl RosterPublisher {
    /// Handles a subscription. Only changes are sent if the entry's roster is known here.
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

    /// Whether pieces are left to send.
    pub fn is_sending(&self) -> bool {
        matches!(self.sent, Sent::Pieces { .. })
    }

    /// Whether the entry has the current roster or was sent its version.
    pub fn is_up_to_date(&self, shared: &Shared) -> bool {
        matches!(&self.sent, Sent::List(list) if list.version() == shared.roster.borrow().version())
    }

    /// The next frame for the entry, if any. Returns one piece at a time so that other updates can
    /// be sent in between.
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

/// Encodes the current version and the targets that have begun to leave since `sent`.
fn version_frame(sent: &VersionedRoster, known: &VersionedRoster) -> Arc<[u8]> {
    let changed = sent.roster.change_to(&known.roster).changed.into_iter();
    let leaving = changed.filter(|listed| listed.presence == Presence::Leaving);
    let leaving = leaving.map(|listed| listed.start).collect();
    encode(&Update::RosterVersionOnly { version: known.version(), leaving })
}
