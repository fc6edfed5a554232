//! Whether an entry's deployment is recent enough to reject a request for good. Pure.
//!
//! Replicas push new deployments, and an entry continues with the known one while it receives
//! nothing. Only before it rejects a request for an unknown route or key does it ask a replica to
//! confirm that the deployment is the newest. A confirmation counts from the time of the request
//! for it, since it may have been delayed on its way.

use std::time::Duration;

use crate::clock::BootTime;
use crate::control::frames::ConfirmId;

/// Upper bound on the age of a confirmation that allows a final rejection.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(500);
/// The allowed age is also at most the time in which a deployment must be in force, divided by
/// this. The rest of that time allows for clock drift and for messages on their way.
const IN_FORCE_DIVISOR: u32 = 2;
/// How long to wait for a confirmation. A replica that is up to date answers within milliseconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// Whether the known deployment may reject a request for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may: the deployment is confirmed.
    Confirmed,
    /// A confirmation is pending. Wait until this time, a confirmation or a later deployment.
    Wait(BootTime),
    /// It may not: no replica has confirmed the deployment in time.
    Unconfirmed,
}

/// An unanswered request for a confirmation.
#[derive(Clone, Copy, Debug)]
struct Pending {
    asked_at: BootTime,
    /// Whether the previous request was answered, or this is the first. Otherwise callers don't
    /// wait for the answer.
    is_worth_waiting: bool,
}

/// Tracks the confirmations of an entry's deployment.
#[derive(Debug)]
pub struct Freshness {
    max_age: Duration,
    /// All deployments committed before this time are known. Never decreases.
    as_of: Option<BootTime>,
    /// Id and time of the last request.
    last_request: (ConfirmId, BootTime),
    pending: Option<Pending>,
}

impl Freshness {
    /// Creates a tracker without confirmations. `in_force` is the time in which a deployment must
    /// be in force, if it is limited.
    pub fn new(in_force: Option<Duration>) -> Freshness {
        let max_age = in_force.map_or(MAX_CONFIRMATION_AGE, |in_force| {
            MAX_CONFIRMATION_AGE.min(in_force / IN_FORCE_DIVISOR)
        });
        Freshness { max_age, as_of: None, last_request: (0, BootTime::ZERO), pending: None }
    }

    /// Whether a request for an unknown route or key may be rejected for good.
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

    /// Starts a request for a confirmation. Returns `None` if the deployment is confirmed or a
    /// request is already pending.
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

    /// Records the confirmation of a replica, which was up to date at the latest `age` before it
    /// sent the confirmation.
    pub fn confirmed(&mut self, id: ConfirmId, age: Duration) {
        let (last_request, asked_at) = self.last_request;
        if id == last_request {
            self.as_of = self.as_of.max(asked_at.checked_sub(age));
            self.pending = None;
        }
    }
}
