//! How recent what an entry knows of the deployment surely is. Pure.
//!
//! Replicas publish changes by themselves, and an entry serves on by what it knows while none does. Only
//! before it says for good that there is no such route or key does it need to be sure. It asks for that then:
//! a confirmation counts from when it was asked for, as what comes may have lain in a socket for long.

use std::time::Duration;

use crate::clock::BootTime;
use crate::control::frames::ConfirmId;

/// What an entry knows counts as recent for this long at the most.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(500);
/// Of the time in which a deployment must be in force: the rest is for clocks, and for what is under way.
const IN_FORCE_DIVISOR: u32 = 2;
/// Replicas answer within some milliseconds if one of them is sure to know all.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// What to do for a request that the known deployment refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be refused for good.
    Confirmed,
    /// A replica is asked: wait until then, or until an answer or another deployment comes.
    Wait(BootTime),
    /// No replica has answered lately.
    Unconfirmed,
}

/// A request for a confirmation that has no answer yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    asked_at: BootTime,
    /// Whether the one before it was answered, or there was none: else it is not worth waiting.
    is_worth_waiting: bool,
}

/// How recent what an entry knows surely is.
#[derive(Debug)]
pub struct Freshness {
    max_age: Duration,
    /// All that was committed before is known here. Never falls.
    as_of: Option<BootTime>,
    /// The last request, and when it was first made.
    last_request: (ConfirmId, BootTime),
    pending: Option<Pending>,
}

impl Freshness {
    /// Nothing is confirmed yet. A deployment must be in force after `in_force`, if anything is promised.
    pub fn new(in_force: Option<Duration>) -> Freshness {
        let max_age = in_force.map_or(MAX_CONFIRMATION_AGE, |in_force| {
            MAX_CONFIRMATION_AGE.min(in_force / IN_FORCE_DIVISOR)
        });
        Freshness { max_age, as_of: None, last_request: (0, BootTime::ZERO), pending: None }
    }

    /// What may be said now of a route or key that is not known.
    pub fn verdict(&self, now: BootTime) -> Verdict {
        let is_recent = |as_of: BootTime| now.saturating_sub(as_of) <= self.max_age;
        if self.as_of.is_some_and(is_recent) {
            return Verdict::Confirmed;
        }
        match self.pending {
            Some(Pending { asked_at, is_worth_waiting: true })
                if now < asked_at + CONFIRM_TIMEOUT =>
            {
                Verdict::Wait(asked_at + CONFIRM_TIMEOUT)
            }
            _ => Verdict::Unconfirmed,
        }
    }

    /// The request to make now, if one is needed: however many callers need it, one at a time.
    pub fn start_request(&mut self, now: BootTime) -> Option<ConfirmId> {
        let is_recent = |as_of: BootTime| now.saturating_sub(as_of) <= self.max_age;
        let is_in_flight = |pending: Pending| now < pending.asked_at + CONFIRM_TIMEOUT;
        if self.as_of.is_some_and(is_recent) || self.pending.is_some_and(is_in_flight) {
            return None;
        }
        let is_worth_waiting = self.pending.is_none();
        self.pending = Some(Pending { asked_at: now, is_worth_waiting });
        self.last_request = (self.last_request.0 + 1, now);
        Some(self.last_request.0)
    }

    /// A replica has confirmed what is known here; it was last sure to have all `age` before it said so.
    pub fn confirmed(&mut self, id: ConfirmId, age: Duration) {
        let (last_request, asked_at) = self.last_request;
        if id == last_request {
            self.as_of = self.as_of.max(asked_at.checked_sub(age));
            self.pending = None;
        }
    }
}
