//! Decides when a replica reads the platform's target list. Performs no I/O.
//!
//! The leader reads at regular intervals. Another replica reads when it is asked to, or when nobody
//! has read for a while. A leaving target must get no new work 3 s after the list shows it as
//! leaving. A replica learns of it within 1.97 s if one of the first two replicas that are asked
//! can read the list, and within 2.53 s if any replica can. The 1.97 s consist of 0.35 s for an
//! answer sent just before the change, 0.5 s until the next read by the leader, 0.35 s until the
//! leader asks others, and the time until one of those has read.

use std::time::Duration;

use crate::clock::BootTime;

/// How often the list is read. The list lags by about 800 ms, and a target must get no new work
/// from 3 s after it is listed as leaving. Each request is charged.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);
/// The leader asks other replicas to read when a page takes longer than this, which is many times
/// the usual duration.
pub const SLOW_PAGE_TIMEOUT: Duration = Duration::from_millis(350);
/// Timeout of a request for a page.
pub const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a replica that is not the leader checks whether it should read.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A replica that is not the leader reads when nobody has read for this long.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum random delay added to `TAKEOVER_TIMEOUT`, so that replicas do not take over all at once.
const TAKEOVER_JITTER: Duration = Duration::from_millis(600);
/// Delay between the reads of consecutive replicas on request. A replica reads only if those before
/// it are slow too, since requests are charged and slow down a list under load.
const REQUEST_STAGGER: Duration = Duration::from_millis(400);

/// What a replica knows of the reads of the list by all replicas.
#[derive(Clone, Copy, Debug)]
pub struct ReaderElection {
    /// When the latest successful read began. The read shows no changes made after that.
    read_at: BootTime,
    /// Duration of the latest read. A list with many pages takes about 1 s.
    last_duration: Duration,
    /// When another replica first asked for a read, if no read has begun and succeeded since.
    requested_at: Option<BootTime>,
}

impl ReaderElection {
    /// Starts as if the list was read at `now`, so that a replica that has just started waits for
    /// others first.
    pub fn new(now: BootTime) -> ReaderElection {
        ReaderElection { read_at: now, last_duration: Duration::ZERO, requested_at: None }
    }

    /// When the latest successful read began.
    pub fn read_at(&self) -> BootTime {
        self.read_at
    }

    /// Records a successful read that began at `began`.
    pub fn record_read(&mut self, began: BootTime) {
        self.read_at = self.read_at.max(began);
        self.requested_at = self.requested_at.filter(|requested| began < *requested);
    }

    /// Records the duration of the latest read.
    pub fn record_duration(&mut self, duration: Duration) {
        self.last_duration = duration;
    }

    /// Records that another replica fails to read or gets slow answers.
    pub fn record_request(&mut self, now: BootTime) {
        self.requested_at = self.requested_at.or(Some(now));
    }

    /// When a replica that is not the leader should read. `jitter` is between 0 and 1, `rank` is
    /// the number of replicas that are to read before it on request, and `read_interval` is the
    /// regular interval.
    pub fn takeover_at(&self, jitter: f64, rank: usize, read_interval: Duration) -> BootTime {
        let idle_timeout = TAKEOVER_TIMEOUT + TAKEOVER_JITTER.mul_f64(jitter);
        // Time for the latest read and the next one.
        let read_time = self.last_duration * 2;
        let idle_deadline = self.read_at + read_time + idle_timeout.max(read_interval * 2);
        let requested =
            self.requested_at.map(|requested| requested + REQUEST_STAGGER * rank as u32);
        requested.map_or(idle_deadline, |requested| requested.min(idle_deadline))
    }
}
