//! The stand-in platform: a lagging list of targets, the ledger, and the fault knobs.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use crate::ids::TargetId;
use crate::upstream::api::{Presence, Target, TargetList};

/// The list as it is and as it is shown.
pub struct Platform {
    lag: Duration,
    lists: Mutex<Lists>,
}

struct Lists {
    truth: Vec<Target>,
    /// Versions of the list with the time from which each is shown; never empty.
    shown: VecDeque<(Instant, TargetList)>,
}

impl Platform {
    /// A platform that lists `targets` at once and later changes after `lag`.
    pub fn new(targets: Vec<Target>, lag: Duration) -> Platform {
        let list = TargetList { targets: targets.clone() };
        let shown = VecDeque::from([(Instant::now(), list)]);
        Platform { lag, lists: Mutex::new(Lists { truth: targets, shown }) }
    }

    /// The list as it is shown now.
    pub fn shown(&self) -> TargetList {
        let now = Instant::now();
        let mut lists = self.lists.lock();
        while lists.shown.get(1).is_some_and(|(from, _)| *from <= now) {
            lists.shown.pop_front();
        }
        lists.shown.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Marks a target as leaving.
    pub fn leave(&self, id: &str) {
        self.change(|truth| {
            for target in truth.iter_mut().filter(|target| target.id == id) {
                target.presence = Presence::Leaving;
            }
        });
    }

    /// Takes a target off the list.
    pub fn remove(&self, id: &TargetId) {
        self.change(|truth| truth.retain(|target| target.id != *id));
    }

    /// Lists a target that started again.
    pub fn restarted(&self, target: Target) {
        self.change(|truth| {
            truth.retain(|other| other.id != target.id);
            truth.push(target);
        });
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Target>)) {
        let mut lists = self.lists.lock();
        change(&mut lists.truth);
        let list = TargetList { targets: lists.truth.clone() };
        lists.shown.push_back((Instant::now() + self.lag, list));
    }
}
