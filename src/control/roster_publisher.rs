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
    Unsubscribed,
    /// The entry has a newer roster than this replica, or this replica has none yet.
    Behind(RosterVersion),
    /// The entry is being sent a whole roster in pieces.
    Pieces {
        roster: VersionedRoster,
        /// The frames of its pieces.
        frames: PieceFrames,
        /// The index of the next piece.
        next: usize,
    },
    /// The entry has this roster.
    Complete(VersionedRoster),
}

impl RosterPublisher {
    /// Handles a subscription. Only changes are sent if the entry's roster is known here.
    pub fn subscribe(&mut self, request: RosterSubscription, shared: &Shared) {
        let RosterSubscription { whole, part: (part_of, pieces), detail } = request;
        let find_roster = |version: RosterVersion| {
            shared.roster_with_version(version).filter(|roster| roster.number > 0)
        };
        self.detail = detail;
        self.sent = match (find_roster(whole), find_roster(part_of)) {
            (Some(roster), _) => Sent::Complete(roster),
            (None, Some(roster)) => Sent::pieces(roster, pieces as usize, shared),
            (None, None) => Sent::Behind(whole),
        };
    }

    /// Whether the entry gets full changes from another replica.
    pub fn is_secondary(&self) -> bool {
        self.detail == RosterDetail::Versions
    }

    /// Whether pieces are left to send.
    pub fn is_sending(&self) -> bool {
        matches!(self.sent, Sent::Pieces { .. })
    }

    /// Whether the entry has the current roster or was sent its version.
    pub fn is_up_to_date(&self, shared: &Shared) -> bool {
        matches!(
            &self.sent,
            Sent::Complete(roster) if roster.version() == shared.roster.borrow().version()
        )
    }

    /// The next frame for the entry, if any. Returns one piece at a time so that other updates can
    /// be sent in between.
    pub fn next_frame(&mut self, shared: &Shared) -> Option<Arc<[u8]>> {
        if let Sent::Behind(version) = &self.sent {
            let current = shared.roster.borrow().clone();
            if current.number == 0 || current.version() < *version {
                return None;
            }
            self.sent = match current.version() == *version {
                true => Sent::Complete(current),
                false => Sent::pieces(current, 0, shared),
            };
        }
        match &mut self.sent {
            Sent::Pieces { roster, frames, next } => {
                let frame = frames.get(*next).cloned();
                *next += 1;
                if *next >= frames.len() {
                    self.sent = Sent::Complete(roster.clone());
                }
                frame
            }
            Sent::Complete(sent) => {
                let current = shared.roster.borrow().clone();
                if current.version() == sent.version() {
                    return None;
                }
                let frame = match self.detail {
                    RosterDetail::Changes => shared.roster_change_frame(sent, &current),
                    RosterDetail::Versions => version_frame(sent, &current),
                };
                *sent = current;
                Some(frame)
            }
            Sent::Unsubscribed | Sent::Behind(_) => None,
        }
    }
}

impl Sent {
    fn pieces(roster: VersionedRoster, next: usize, shared: &Shared) -> Sent {
        let frames = shared.piece_frames(&roster);
        Sent::Pieces { roster, frames, next }
    }
}

/// Encodes the current version and the targets that have begun to leave since `sent`.
fn version_frame(sent: &VersionedRoster, current: &VersionedRoster) -> Arc<[u8]> {
    let changed = sent.roster.change_to(&current.roster).changed.into_iter();
    let leaving = changed.filter(|listed| listed.presence == Presence::Leaving);
    let leaving = leaving.map(|listed| listed.start.clone()).collect();
    encode(&Update::RosterVersionOnly { version: current.version(), leaving })
}
