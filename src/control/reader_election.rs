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
pub const READ_EVERY: Duration = Duration::from_millis(500);
/// A page that has not come after this time makes another replica read, too. Many times what it takes.
pub const LATE_AFTER: Duration = Duration::from_millis(350);
/// Longest time for one page.
pub const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a replica that does not lead looks whether it must read.
pub const LOOK_EVERY: Duration = Duration::from_millis(50);
/// A replica that does not lead reads the list once nobody has for this long.
const TAKE_OVER_AFTER: Duration = Duration::from_millis(1_200);
/// Spreads replicas that take over at the same time.
const TAKE_OVER_SPREAD: Duration = Duration::from_millis(600);
/// Replicas that were asked read one after another: the next one only if those before it are late, too,
/// since each call has a price, and more of them make a slow list slower.
const ASKED_STEP: Duration = Duration::from_millis(400);

/// What a replica knows of reads of the list, by itself and others.
#[derive(Clone, Copy, Debug)]
pub struct ReaderElection {
    /// When the newest read that is known to have succeeded began: an answer tells nothing later.
    read_at: BootTime,
    /// How long that read took: a list of many pages takes a second.
    lasted: Duration,
    /// When a replica first said that it fails to read, unless one has read since.
    asked_at: Option<BootTime>,
}

impl ReaderElection {
    /// Nothing is known; a replica that has just started waits for others first.
    pub fn new(now: BootTime) -> ReaderElection {
        ReaderElection { read_at: now, lasted: Duration::ZERO, asked_at: None }
    }

    /// When the newest read began.
    pub fn read_at(&self) -> BootTime {
        self.read_at
    }

    /// A read that began then has succeeded.
    pub fn was_read(&mut self, began: BootTime) {
        self.read_at = self.read_at.max(began);
        self.asked_at = self.asked_at.filter(|asked| began < *asked);
    }

    /// The newest read took so long.
    pub fn has_lasted(&mut self, lasted: Duration) {
        self.lasted = lasted;
    }

    /// Another replica fails to read, or is late.
    pub fn was_asked(&mut self, now: BootTime) {
        self.asked_at = self.asked_at.or(Some(now));
    }

    /// When a replica that does not lead reads. Its place among the others is between 0 and 1, and
    /// `before` of them are asked before it; a long list is read every `read_every`.
    pub fn takes_over_at(&self, place: f64, before: usize, read_every: Duration) -> BootTime {
        let patience = TAKE_OVER_AFTER + TAKE_OVER_SPREAD.mul_f64(place);
        // That read, and the next one.
        let reads = self.lasted * 2;
        let silent = self.read_at + reads + patience.max(read_every * 2);
        let asked = self.asked_at.map(|asked| asked + ASKED_STEP * before as u32);
        asked.map_or(silent, |asked| asked.min(silent))
    }
}
