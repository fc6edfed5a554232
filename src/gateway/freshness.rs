//! How recent what an entry knows of the deployment surely is. Pure.
//!
//! Replicas publish changes by themselves, and an entry serves on by what it knows while none does. Only
//! before it says for good that there is no such route or key does it need to be sure. It asks for that then:
//! a confirmation counts from when it was asked for, as what comes may have lain in a socket for long.

use std::time::Duration;

use crate::clock::BootTime;
use crate::control::frames::ConfirmId;

/// What an entry knows counts as recent for this long at the most.
const RECENT_FOR: Duration = Duration::from_millis(500);
/// Of the time in which a deployment must be in force: the rest is for clocks, and for what is under way.
const RECENT_PART: u32 = 2;
/// Replicas answer within some milliseconds if one of them is sure to know all.
const ANSWERED_WITHIN: Duration = Duration::from_millis(150);

/// What to do for a request that the known deployment refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be refused for good.
    Final,
    /// A replica is asked: wait until then, or until an answer or another deployment comes.
    Wait(BootTime),
    /// No replica has answered lately.
    Unsure,
}

/// A request for a confirmation that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    asked_at: BootTime,
    /// Whether the one before it was answered, or there was none: else it is not worth waiting.
    is_promising: bool,
}

/// How recent what an entry knows surely is.
#[derive(Debug)]
pub struct Freshness {
    recent_for: Duration,
    /// All that was committed before is known here. Never falls.
    as_of: Option<BootTime>,
    /// The last request, and when it was first made.
    last: (ConfirmId, BootTime),
    pending: Option<Pending>,
}

impl Freshness {
    /// Nothing is confirmed yet. A deployment must be in force after `in_force`, if anything is promised.
    pub fn new(in_force: Option<Duration>) -> Freshness {
        let recent_for = in_force.map_or(RECENT_FOR, |most| RECENT_FOR.min(most / RECENT_PART));
        Freshness { recent_for, as_of: None, last: (0, BootTime::ZERO), pending: None }
    }

    /// What may be said now of a route or key that is not known.
    pub fn verdict(&self, now: BootTime) -> Verdict {
        let is_recent = |as_of: BootTime| now.saturating_sub(as_of) <= self.recent_for;
        if self.as_of.is_some_and(is_recent) {
            return Verdict::Final;
        }
        match self.pending {
            Some(Pending { asked_at, is_promising: true }) if now < asked_at + ANSWERED_WITHIN => {
                Verdict::Wait(asked_at + ANSWERED_WITHIN)
            }
            _ => Verdict::Unsure,
        }
    }

    /// The request to make now, if one is needed: however many callers need it, one at a time.
    pub fn request(&mut self, now: BootTime) -> Option<ConfirmId> {
        let is_recent = |as_of: BootTime| now.saturating_sub(as_of) <= self.recent_for;
        let is_asked = |pending: Pending| now < pending.asked_at + ANSWERED_WITHIN;
        if self.as_of.is_some_and(is_recent) || self.pending.is_some_and(is_asked) {
            return None;
        }
        let is_promising = self.pending.is_none();
        self.pending = Some(Pending { asked_at: now, is_promising });
        self.last = (self.last.0 + 1, now);
        Some(self.last.0)
    }

    /// A replica has confirmed what is known here; it was last sure to have all `age` before it said so.
    pub fn confirmed(&mut self, id: ConfirmId, age: Duration) {
        let (last, asked_at) = self.last;
        if id == last {
            self.as_of = self.as_of.max(asked_at.checked_sub(age));
            self.pending = None;
        }
    }
}
