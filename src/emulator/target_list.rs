//! The platform's target list, which shows changes with a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::ids::TargetId;
use crate::upstream::api::{Presence, Target, TargetList};

/// A target list whose changes become visible after a delay.
pub struct DelayedTargetList {
    lag: Duration,
    versions: Mutex<ListVersions>,
}

struct ListVersions {
    /// The list with all changes, visible or not.
    current: Vec<Target>,
    /// The visible version and later ones, each with the time at which it becomes visible. Never
    /// empty.
    published: VecDeque<(Instant, TargetList)>,
}

impl DelayedTargetList {
    /// Creates a list of `targets`, which are visible at once. Changes become visible after `lag`.
    pub fn new(targets: Vec<Target>, lag: Duration) -> DelayedTargetList {
        let list = TargetList { targets: targets.clone() };
        let published = VecDeque::from([(Instant::now(), list)]);
        DelayedTargetList {
            lag,
            versions: Mutex::new(ListVersions { current: targets, published }),
        }
    }

    /// Returns the version that is visible now.
    pub fn visible(&self) -> TargetList {
        let now = Instant::now();
        let mut versions = self.versions.lock();
        while versions.published.get(1).is_some_and(|(visible_from, _)| *visible_from <= now) {
            versions.published.pop_front();
        }
        versions.published.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    pub fn mark_leaving(&self, id: &str) {
        self.update(|current| {
            for target in current.iter_mut().filter(|target| target.id == id) {
                target.presence = Presence::Leaving;
            }
        });
    }

    pub fn remove(&self, id: &TargetId) {
        self.update(|current| current.retain(|target| target.id != *id));
    }

    /// Replaces the entry of a restarted target, or adds it.
    pub fn replace(&self, target: Target) {
        self.update(|current| {
            current.retain(|other| other.id != target.id);
            current.push(target);
        });
    }

    fn update(&self, change: impl FnOnce(&mut Vec<Target>)) {
        let mut versions = self.versions.lock();
        change(&mut versions.current);
        let list = TargetList { targets: versions.current.clone() };
        versions.published.push_back((Instant::now() + self.lag, list));
    }
}
