//! News of targets, which processes tell each other through the replicas: the platform's list does
//! not show them, or lags.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rate::RateLimit;
use crate::clock::BootTime;
use crate::ids::TargetStart;

/// News of restarts are kept for this long, which is longer than the list lags.
const RESTART_TTL: Duration = Duration::from_secs(5);
/// All news of a target within this time are of the same restart. Covers the delay until entries
/// notice it.
const SAME_RESTART_WINDOW: Duration = Duration::from_millis(200);
/// A rate limit is kept for this long, for processes that start meanwhile.
const LIMIT_TTL: Duration = Duration::from_secs(60);
/// A rate limit that is still named after this time is sent again, so that it is kept.
const LIMIT_REPEAT_WINDOW: Duration = Duration::from_secs(30);

/// A rejection by a brittle target is kept for this long, after which it gets requests as before.
const REJECTION_TTL: Duration = Duration::from_secs(2);
/// Rejections within this time are one news.
const SAME_REJECTION_WINDOW: Duration = Duration::from_millis(50);

/// Increases with each news.
pub type NewsRevision = u64;

/// What happened to a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetEvent {
    /// It may have restarted. Entries that place requests themselves must know, since a cold target
    /// bears a low rate from all of them together.
    MayHaveRestarted,
    /// It names another rate limit, or none any more.
    RateLimit(Option<RateLimit>),
    /// It is brittle, with another rate of rejections that it bears, or no longer brittle.
    Brittle(Option<RateLimit>),
    /// It is brittle and has rejected a request while it held this many others.
    Rejected { held: u32 },
}

/// Events of a kind replace each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Restart,
    RateLimit,
    Brittle,
    Rejection,
}

/// An event of a target, as sent to another process. Clocks differ between hosts, so the age is sent
/// instead of the time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetNews {
    pub target: TargetStart,
    pub event: TargetEvent,
    /// Time since it was noticed.
    pub age: Duration,
}

/// The latest events of targets.
#[derive(Clone, Debug, Default)]
pub struct NewsTable {
    latest: BTreeMap<(TargetStart, EventKind), Noticed>,
    revision: NewsRevision,
}

#[derive(Clone, Copy, Debug)]
struct Noticed {
    event: TargetEvent,
    at: BootTime,
    revision: NewsRevision,
}

impl TargetEvent {
    fn kind(self) -> EventKind {
        match self {
            TargetEvent::MayHaveRestarted => EventKind::Restart,
            TargetEvent::RateLimit(_) => EventKind::RateLimit,
            TargetEvent::Brittle(_) => EventKind::Brittle,
            TargetEvent::Rejected { .. } => EventKind::Rejection,
        }
    }

    /// Whether it tells the same as another event of its kind.
    fn is_same(self, other: TargetEvent) -> bool {
        match (self, other) {
            (TargetEvent::Rejected { .. }, TargetEvent::Rejected { .. }) => true,
            _ => self == other,
        }
    }

    /// How long it is kept.
    fn ttl(self) -> Duration {
        match self {
            TargetEvent::MayHaveRestarted => RESTART_TTL,
            TargetEvent::RateLimit(_) | TargetEvent::Brittle(_) => LIMIT_TTL,
            TargetEvent::Rejected { .. } => REJECTION_TTL,
        }
    }

    /// Within this time the same event is no news.
    fn repeat_window(self) -> Duration {
        match self {
            TargetEvent::MayHaveRestarted => SAME_RESTART_WINDOW,
            TargetEvent::RateLimit(_) | TargetEvent::Brittle(_) => LIMIT_REPEAT_WINDOW,
            TargetEvent::Rejected { .. } => SAME_REJECTION_WINDOW,
        }
    }
}

impl Noticed {
    /// Whether an event of the same kind at `at` is no news after this one.
    fn covers(&self, event: TargetEvent, at: BootTime) -> bool {
        let is_repeated = event.is_same(self.event) && at < self.at + event.repeat_window();
        is_repeated || at <= self.at
    }

    fn is_expired(&self, now: BootTime) -> bool {
        now.saturating_sub(self.at) >= self.event.ttl()
    }
}

impl NewsTable {
    pub fn revision(&self) -> NewsRevision {
        self.revision
    }

    /// Records an event at `at`. Returns whether that is news.
    pub fn observe(
        &mut self,
        target: &TargetStart,
        event: TargetEvent,
        at: BootTime,
        now: BootTime,
    ) -> bool {
        self.latest.retain(|_, noticed| !noticed.is_expired(now));
        let key = (target.clone(), event.kind());
        let is_known = self.latest.get(&key).is_some_and(|known| known.covers(event, at));
        let noticed = Noticed { event, at, revision: self.revision + 1 };
        if is_known || noticed.is_expired(now) {
            return false;
        }
        self.revision += 1;
        self.latest.insert(key, noticed);
        true
    }

    /// Records news from another process. Returns whether any of them is news here.
    pub fn merge(&mut self, news: &[TargetNews], now: BootTime) -> bool {
        let mut is_news = false;
        for TargetNews { target, event, age } in news {
            is_news |= self.observe(target, *event, now.saturating_sub(*age), now);
        }
        is_news
    }

    /// The news after a revision.
    pub fn since(&self, revision: NewsRevision, now: BootTime) -> Vec<TargetNews> {
        let is_sent = |noticed: &Noticed| noticed.revision > revision && !noticed.is_expired(now);
        let news = self.latest.iter().filter(|(_, noticed)| is_sent(noticed));
        let news = news.map(|((target, _), noticed)| TargetNews {
            target: target.clone(),
            event: noticed.event,
            age: now.saturating_sub(noticed.at),
        });
        news.collect()
    }
}
