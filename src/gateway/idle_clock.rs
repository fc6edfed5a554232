//! When a caller's connection is closed because it brings no request. Pure.

use std::time::Duration;

use crate::clock::BootTime;
use crate::deployment::RequestLimits;

/// Whether a connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleVerdict {
    /// It does, and is to be checked again after this time.
    Open(Duration),
    /// No request has begun in time.
    Idle,
    /// The head of a request is incomplete for too long.
    HeadTooSlow,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// A request is handled, or its response is sent.
    InUse,
    /// No request has begun, as far as is known.
    Idle { since: BootTime, received_bytes: u64 },
    /// A request has begun, as was noticed at this time.
    Head { noticed_at: BootTime },
}

/// Tracks for how long a connection brings no request.
#[derive(Debug)]
pub struct IdleClock(Phase);

impl IdleClock {
    /// Starts with a new connection.
    pub fn new(now: BootTime) -> IdleClock {
        IdleClock(Phase::Idle { since: now, received_bytes: 0 })
    }

    /// Records that the head of a request is complete.
    pub fn request_began(&mut self) {
        self.0 = Phase::InUse;
    }

    /// Records the end of a response. `received_bytes` counts all bytes of the connection.
    pub fn response_ended(&mut self, received_bytes: u64, now: BootTime) {
        self.0 = Phase::Idle { since: now, received_bytes };
    }

    /// Whether the connection stays open.
    pub fn check(
        &mut self,
        received_bytes: u64,
        limits: &RequestLimits,
        now: BootTime,
    ) -> IdleVerdict {
        let time_left = |since: BootTime, limit: Duration| {
            (since + limit).checked_sub(now).filter(|left| !left.is_zero())
        };
        match self.0 {
            Phase::InUse => IdleVerdict::Open(limits.idle_timeout),
            Phase::Idle { since, received_bytes: before } => {
                if let Some(left) = time_left(since, limits.idle_timeout) {
                    return IdleVerdict::Open(left);
                }
                if received_bytes == before {
                    return IdleVerdict::Idle;
                }
                self.0 = Phase::Head { noticed_at: now };
                IdleVerdict::Open(limits.head_timeout)
            }
            Phase::Head { noticed_at } => time_left(noticed_at, limits.head_timeout)
                .map_or(IdleVerdict::HeadTooSlow, IdleVerdict::Open),
        }
    }
}
