//! Which new connections an entry takes while they arrive faster than it serves them. Pure.
//!
//! The kernel queues connections that are not yet accepted. If that queue does not become empty for
//! some time, callers wait there for longer than they are willing to, and a request that is read at
//! last serves nobody. Connections are then closed unread, so that their callers turn to other
//! entries at once.

use std::time::Duration;

use crate::clock::BootTime;

/// How long the queue may go on without becoming empty.
const MAX_BACKLOG_TIME: Duration = Duration::from_millis(200);
/// Connections that are taken before other tasks run, so that what is taken is served.
const MAX_TAKEN_IN_TURN: usize = 16;
/// Connections that are accepted before other tasks run, including those that are closed unread.
/// Less than tokio's budget of operations for a task.
const MAX_ACCEPTED_IN_TURN: usize = 96;

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptVerdict {
    /// Serve it.
    Take,
    /// Close it unread.
    Reject,
}

/// Tracks the queue of connections that wait to be accepted.
#[derive(Debug, Default)]
pub struct AcceptQueue {
    /// Since when it has not been empty.
    backlogged_since: Option<BootTime>,
    taken_in_turn: usize,
    accepted_in_turn: usize,
}

impl AcceptQueue {
    /// Records that no connection waits.
    pub fn is_empty(&mut self) {
        *self = AcceptQueue::default();
    }

    /// Decides on a connection that has been accepted.
    pub fn admit(&mut self, now: BootTime) -> AcceptVerdict {
        self.accepted_in_turn += 1;
        let since = *self.backlogged_since.get_or_insert(now);
        if now.saturating_sub(since) > MAX_BACKLOG_TIME {
            return AcceptVerdict::Reject;
        }
        self.taken_in_turn += 1;
        AcceptVerdict::Take
    }

    /// Whether other tasks must run before the next connection is accepted. Starts a new turn then.
    pub fn ends_turn(&mut self) -> bool {
        let ends = self.taken_in_turn >= MAX_TAKEN_IN_TURN
            || self.accepted_in_turn >= MAX_ACCEPTED_IN_TURN;
        if ends {
            (self.taken_in_turn, self.accepted_in_turn) = (0, 0);
        }
        ends
    }
}
