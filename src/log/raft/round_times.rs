//! When a follower received each round of its leader. A message that the leader sent after it received the
//! acknowledgement of a round was sent after that time, however long the message itself was delayed.

use std::collections::VecDeque;

use crate::clock::BootTime;

/// Number of rounds that are kept: enough for several seconds of heartbeats.
const MAX_ROUNDS: usize = 64;

/// The last rounds of the current term's leader that this process has acknowledged.
#[derive(Clone, Debug, Default)]
pub(super) struct RoundTimes {
    /// Each round with the time at which it was first received, which is before any acknowledgement of it was sent.
    /// Rounds and times are ascending.
    rounds: VecDeque<(u64, BootTime)>,
    /// The highest round received so far.
    highest: u64,
}

impl RoundTimes {
    /// Records that a round was received at `now`. Duplicate and reordered rounds are ignored.
    pub(super) fn record(&mut self, round: u64, now: BootTime) {
        if round <= self.highest {
            return;
        }
        self.highest = round;
        self.rounds.push_back((round, now));
        if self.rounds.len() > MAX_ROUNDS {
            self.rounds.pop_front();
        }
    }

    /// A lower bound on when a message was sent whose sender had received the acknowledgement of `acked_round`.
    /// Drops the rounds up to it.
    pub(super) fn sent_after(&mut self, acked_round: u64) -> Option<BootTime> {
        let dropped_count = self.rounds.partition_point(|(round, _)| *round <= acked_round);
        self.rounds.drain(..dropped_count).next_back().map(|(_, at)| at)
    }
}
