//! What an entry believes of its own path to the targets of each service. Pure.
//!
//! An entry that reaches none of several targets, one after the other, takes its own path for lost: its
//! failures then tell nothing of the targets, which may answer other entries. The path is tried by
//! itself until it is back.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::clock::BootTime;
use crate::ids::{ServiceId, TargetStart};

/// Different targets that can't be reached, and none in between that can, before the path is taken
/// for lost.
const MIN_UNREACHED: usize = 2;
/// Targets that are remembered as unreached.
const MAX_UNREACHED: usize = 16;
/// Targets that a trial of the path connects to.
pub const TRIAL_TARGETS: usize = 3;
/// Targets of a trial that must be reached. More than one, as an entry may reach a few targets only.
const TRIAL_SUCCESSES: usize = 2;
/// Pause between the trials of a lost path.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// A trial's connection must stay open for this long: a cut may let connections be established and then
/// reset them.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Each time that a path is lost again soon after it was restored, its trials last longer.
const RELAPSE_FACTOR: u32 = 4;
const MAX_RELAPSES: u32 = 3;
/// A path that was restored longer ago is lost anew.
const RELAPSE_WINDOW: Duration = Duration::from_secs(5);

/// The paths to services at which a target was not reached lately.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    impaired: HashMap<ServiceId, ImpairedPath>,
    restored: HashMap<ServiceId, Restoration>,
}

/// When a path was last restored, and how often it had been lost soon after the time before.
#[derive(Clone, Copy, Debug)]
struct Restoration {
    at: BootTime,
    relapses: u32,
}

#[derive(Clone, Debug, Default)]
struct ImpairedPath {
    /// Targets that were not reached since one was.
    unreached: BTreeSet<TargetStart>,
    lost_since: Option<BootTime>,
}

impl Paths {
    /// Whether the path to a service is lost.
    pub fn is_lost(&self, service: &str) -> bool {
        self.impaired.get(service).is_some_and(|path| path.lost_since.is_some())
    }

    /// Number of services to which the path is lost.
    pub fn lost_count(&self) -> usize {
        self.impaired.values().filter(|path| path.lost_since.is_some()).count()
    }

    /// Whether another target than this one was not reached either, and none since, or the path was
    /// lost lately. What happens to the target then tells nothing of it.
    pub fn is_suspect(&self, service: &str, target: &TargetStart, now: BootTime) -> bool {
        let path = self.impaired.get(service);
        self.was_restored_lately(service, now)
            || path.is_some_and(|path| path.unreached.iter().any(|other| other != target))
    }

    fn was_restored_lately(&self, service: &str, now: BootTime) -> bool {
        let restored = self.restored.get(service);
        restored.is_some_and(|restored| now < restored.at + RELAPSE_WINDOW)
    }

    /// Records that a target was not reached. Returns whether the path is lost from now on.
    pub fn unreached(&mut self, service: &ServiceId, target: &TargetStart, now: BootTime) -> bool {
        let min_unreached = if self.was_restored_lately(service, now) { 1 } else { MIN_UNREACHED };
        let path = self.impaired.entry(service.clone()).or_default();
        if path.unreached.len() < MAX_UNREACHED {
            path.unreached.insert(target.clone());
        }
        let is_newly_lost = path.lost_since.is_none() && path.unreached.len() >= min_unreached;
        if is_newly_lost {
            path.lost_since = Some(now);
        }
        is_newly_lost
    }

    /// Records that a target was reached. A lost path stays lost until a trial succeeds: a
    /// connection that is still open shows little of new ones.
    pub fn reached(&mut self, service: &str) {
        if self.impaired.get(service).is_some_and(|path| path.lost_since.is_none()) {
            self.impaired.remove(service);
        }
    }

    /// Records a trial, which reached `reached` of `tried` targets. Returns for how long the path was
    /// lost if it is back.
    pub fn tried(
        &mut self,
        service: &str,
        reached: usize,
        tried: usize,
        now: BootTime,
    ) -> Option<Duration> {
        if reached == 0 || reached < TRIAL_SUCCESSES.min(tried) {
            return None;
        }
        let lost_since = self.impaired.remove(service)?.lost_since?;
        let relapses = self.relapses(service, lost_since);
        self.restored.insert(service.to_string(), Restoration { at: now, relapses });
        Some(now.saturating_sub(lost_since))
    }

    /// How long the connections of a trial must stay open.
    pub fn settle_time(&self, service: &str) -> Duration {
        let lost_since = self.impaired.get(service).and_then(|path| path.lost_since);
        let relapses = lost_since.map_or(0, |since| self.relapses(service, since));
        SETTLE_TIME * RELAPSE_FACTOR.pow(relapses)
    }

    /// How often a path that is lost since `lost_since` has been lost soon after it was restored.
    fn relapses(&self, service: &str, lost_since: BootTime) -> u32 {
        let restored = self.restored.get(service);
        let recent = restored.filter(|restored| lost_since < restored.at + RELAPSE_WINDOW);
        recent.map_or(0, |restored| MAX_RELAPSES.min(restored.relapses + 1))
    }
}
