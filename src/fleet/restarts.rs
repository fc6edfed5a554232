//! News of targets that may have restarted. Entries that place requests themselves tell each other
//! through the replicas: a cold target bears a low rate from all of them together, and the
//! platform's list lags behind restarts.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;
use crate::ids::TargetStart;

/// News are kept for this long, which is longer than the list lags.
const TTL: Duration = Duration::from_secs(5);
/// All news of a target within this time are of the same restart. Covers the delay until entries
/// notice it.
const SAME_RESTART_WINDOW: Duration = Duration::from_millis(200);

/// Increases with each news.
pub type RestartRevision = u64;

/// A target that may have restarted, as sent to another process. Clocks differ between hosts, so the
/// age is sent instead of the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PossibleRestart {
    pub target: TargetStart,
    /// Time since it was noticed.
    pub age: Duration,
}

/// Targets that may have restarted within the last seconds.
#[derive(Clone, Debug, Default)]
pub struct RestartNews {
    latest: BTreeMap<TargetStart, Noticed>,
    revision: RestartRevision,
}

#[derive(Clone, Copy, Debug)]
struct Noticed {
    at: BootTime,
    revision: RestartRevision,
}

impl RestartNews {
    pub fn revision(&self) -> RestartRevision {
        self.revision
    }

    /// Records that a target may have restarted at `at`. Returns whether that is news.
    pub fn observe(&mut self, target: &TargetStart, at: BootTime, now: BootTime) -> bool {
        self.latest.retain(|_, noticed| now.saturating_sub(noticed.at) < TTL);
        let is_known =
            self.latest.get(target).is_some_and(|noticed| at < noticed.at + SAME_RESTART_WINDOW);
        if is_known || now.saturating_sub(at) >= TTL {
            return false;
        }
        self.revision += 1;
        self.latest.insert(target.clone(), Noticed { at, revision: self.revision });
        true
    }

    /// Records news from another process. Returns whether any of them is news here.
    pub fn merge(&mut self, restarts: &[PossibleRestart], now: BootTime) -> bool {
        let mut is_news = false;
        for restart in restarts {
            is_news |= self.observe(&restart.target, now.saturating_sub(restart.age), now);
        }
        is_news
    }

    /// The news after a revision.
    pub fn since(&self, revision: RestartRevision, now: BootTime) -> Vec<PossibleRestart> {
        let is_sent =
            |noticed: &Noticed| noticed.revision > revision && now.saturating_sub(noticed.at) < TTL;
        let news = self.latest.iter().filter(|(_, noticed)| is_sent(noticed));
        let restart = |(target, noticed): (&TargetStart, &Noticed)| PossibleRestart {
            target: target.clone(),
            age: now.saturating_sub(noticed.at),
        };
        news.map(restart).collect()
    }
}
