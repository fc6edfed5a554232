//! Which of a leader's rounds a follower has answered, and when: a message that was sent after an answer was read
//! is news as of that answer, however long it has been under way itself.

use std::collections::VecDeque;

use crate::clock::BootTime;

/// Rounds that are remembered: some seconds of heartbeats.
const MAX_ROUNDS: usize = 64;

/// Rounds of the leader of one term that this process has answered, the last ones.
#[derive(Clone, Debug, Default)]
pub(super) struct RoundTimes {
    /// Each round with the time at which it first came, which is before any answer left. Rounds and times rise.
    rounds: VecDeque<(u64, BootTime)>,
    /// The highest round that ever came.
    highest: u64,
}

impl RoundTimes {
    /// A round has come at `now`, and is answered. One that comes again, or late, counts no more.
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

    /// A time before which a message was surely not sent, if its sender had read the answer to `answered`.
    pub(super) fn sent_after(&mut self, acked_round: u64) -> Option<BootTime> {
        let known = self.rounds.partition_point(|(round, _)| *round <= acked_round);
        self.rounds.drain(..known).next_back().map(|(_, at)| at)
    }
}
