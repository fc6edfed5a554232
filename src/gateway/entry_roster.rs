//! The roster of an entry: received from replicas in pieces, and then as changes.

use super::pool::Connection;
use super::state::Gateway;
use super::subscription_policy::HeldRoster;
use crate::clock::boot_now;
use crate::control::frames::{RosterVersion, VersionedRoster};
use crate::control::pieces::{Assembly, Piece, PieceError};
use crate::fleet::compact::UnknownName;
use crate::fleet::{Listed, Presence, RosterChange};
use crate::ids::TargetStart;

/// A roster update that does not apply to the roster held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the change does not apply to the known roster"))]
pub struct RosterMismatch;

impl From<UnknownName> for RosterMismatch {
    fn from(error: UnknownName) -> RosterMismatch {
        log::warn!("event=targets_damaged reason={:?}", error.to_string());
        RosterMismatch
    }
}

impl From<PieceError> for RosterMismatch {
    fn from(error: PieceError) -> RosterMismatch {
        log::warn!("event=targets_damaged reason={:?}", error.to_string());
        RosterMismatch
    }
}

impl Gateway {
    /// The name of the complete roster in use.
    pub fn roster_name(&self) -> RosterVersion {
        match self.roster_number.get() {
            0 => RosterVersion::default(),
            number => RosterVersion { number, digest: self.fleet.borrow().listed().digest() },
        }
    }

    /// Whether a target is listed.
    pub fn is_listed(&self, target: &TargetStart) -> bool {
        self.fleet.borrow().listed().get(target).is_some()
    }

    /// Marks targets as leaving if any roster says so, even one that is not the latest: replicas
    /// may disagree for a while about which roster that is.
    fn observe_leaving<'a>(&self, listed: impl Iterator<Item = &'a Listed>) {
        let leaving = listed.filter(|listed| listed.presence == Presence::Leaving);
        self.fleet.borrow_mut().mark_leaving(leaving.map(|listed| &listed.start));
    }

    /// The complete and partial rosters held here.
    pub fn held_roster(&self) -> HeldRoster {
        HeldRoster { whole: self.roster_name(), part: self.assembly.borrow().progress() }
    }

    /// Adds a piece of a roster. Until the first roster is complete, the targets of each piece are
    /// usable at once.
    pub(super) fn observe_piece(&self, piece: &Piece) -> Result<(), PieceError> {
        if piece.of <= self.roster_name() {
            return Ok(());
        }
        let listed = piece.listed()?;
        if !self.has_roster() {
            self.fleet.borrow_mut().add_partial(&listed);
            self.state_changed.notify_waiters();
        }
        self.observe_leaving(listed.iter().map(AsRef::as_ref));
        let whole = self.assembly.borrow_mut().take(piece)?;
        whole.into_iter().for_each(|roster| self.replace_roster(roster));
        Ok(())
    }

    /// Applies a complete roster, which is ignored unless it is later than the known one.
    pub fn observe_roster(&self, roster: VersionedRoster) {
        self.observe_leaving(roster.roster.iter());
        self.replace_roster(roster);
    }

    fn replace_roster(&self, roster: VersionedRoster) {
        if roster.version() <= self.roster_name() {
            return;
        }
        self.fleet.borrow_mut().update(&roster.roster);
        *self.assembly.borrow_mut() = Assembly::default();
        self.subscriptions.borrow_mut().roster_complete();
        self.roster_replaced(roster.number);
    }

    /// Applies the change from the roster `before` to the roster `version`.
    pub(super) fn observe_roster_change(
        &self,
        before: RosterVersion,
        version: RosterVersion,
        change: RosterChange,
    ) -> Result<(), RosterMismatch> {
        self.observe_leaving(change.changed.iter().map(AsRef::as_ref));
        let known = self.roster_name();
        if known >= version {
            return Ok(());
        }
        let digest = self.fleet.borrow().listed().digest_after(&change);
        if known != before || digest != version.digest {
            return Err(RosterMismatch);
        }
        self.fleet.borrow_mut().apply(change);
        self.roster_replaced(version.number);
        Ok(())
    }

    fn roster_replaced(&self, number: u64) {
        self.roster_number.set(number);
        if self.fleet.borrow_mut().software_changed(boot_now()) {
            // Streams that began before are told as well, as they may be taken up elsewhere from now on.
            self.streams.send_modify(|_| {});
        }
        self.state_changed.notify_waiters();
        self.pool.retain(|target| self.is_listed(target));
    }

    /// Returns a connection to the pool if the target is still in the roster.
    pub fn return_connection(&self, target: &TargetStart, connection: Connection) {
        if self.is_listed(target) {
            self.pool.put_idle(target, connection);
        }
    }
}
