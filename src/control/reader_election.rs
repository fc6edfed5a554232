//! Which replica reads the platform's list of targets, and when. Pure.
//!
//! The leader reads regularly. Another replica does once it is asked to, or once nobody has for long. From
//! the moment at which the list shows that a target leaves until a replica knows it, at most 1.97 s
//! pass, of the 3 s after which that target must get no new work, if one of the first two that are asked
//! reaches the list, and 2.53 s as long as one replica does. Of the former: 0.35 s for an answer that came just
//! too early, 0.5 s to the leader's next call, 0.35 s until it asks others, the rest until one of these has read.

use std::time::Duration;

use crate::clock::BootTime;

/// How often the list is read. It lags by about 800 ms by itself, and a leaving target must get no
/// new work 3 s after it is listed so; each read has a price.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);
/// A page that has not come after this time makes another replica read, too. Many times what it takes.
pub const SLOW_PAGE_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for one page.
pub const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a replica that does not lead looks whether it must read.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A replica that does not lead reads the list once nobody has for this long.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Spreads replicas that take over at the same time.
const TAKEOVER_JITTER: Duration = Duration::from_millis(600);
/// Replicas that were asked read one after another: the next one only if those before it are late, too,
/// since each call has a price, and more of them make a slow list slower.
const REQUEST_STAGGER: Duration = Duration::from_millis(400);

/// What a replica knows of reads of the list, by itself and others.
#[derive(Clone, Copy, Debug)]
pub struct ReaderElection {
    /// When the newest read that is known to have succeeded began: an answer tells nothing later.
    read_at: BootTime,
    /// How long that read took: a list of many pages takes a second.
    last_duration: Duration,
    /// When a replica first said that it fails to read, unless one has read since.
    requested_at: Option<BootTime>,
}

impl ReaderElection {
    /// Nothing is known; a replica that has just started waits for others first.
    pub fn new(now: BootTime) -> ReaderElection {
        ReaderElection { read_at: now, last_duration: Duration::ZERO, requested_at: None }
    }

    /// When the newest read began.
    pub fn read_at(&self) -> BootTime {
        self.read_at
    }

    /// A read that began then has succeeded.
    pub fn record_read(&mut self, began: BootTime) {
        self.read_at = self.read_at.max(began);
        self.requested_at = self.requested_at.filter(|requested| began < *requested);
    }

    /// The newest read took so long.
    pub fn record_duration(&mut self, last_duration: Duration) {
        self.last_duration = last_duration;
    }

    /// Another replica fails to read, or is late.
    pub fn record_request(&mut self, now: BootTime) {
        self.requested_at = self.requested_at.or(Some(now));
    }

    /// When a replica that does not lead reads. Its place among the others is between 0 and 1, and
    /// `before` of them are asked before it; a long list is read every `read_every`.
    pub fn takeover_at(&self, jitter: f64, rank: usize, read_interval: Duration) -> BootTime {
        let idle_timeout = TAKEOVER_TIMEOUT + TAKEOVER_JITTER.mul_f64(jitter);
        // That read, and the next one.
        let read_time = self.last_duration * 2;
        let idle_deadline = self.read_at + read_time + idle_timeout.max(read_interval * 2);
        let requested =
            self.requested_at.map(|requested| requested + REQUEST_STAGGER * rank as u32);
        requested.map_or(idle_deadline, |requested| requested.min(idle_deadline))
    }
}
