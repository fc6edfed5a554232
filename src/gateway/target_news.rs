//! News of targets, as this entry notices them and tells the other entries and the scheduler, and as it
//! is told of them.

use std::time::Duration;

use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::fleet::news::{TargetEvent, TargetNews};
use crate::fleet::rate::RateLimit;
use crate::gateway::metadata::ResponseMetadata;
use crate::ids::TargetStart;
use crate::scheduler::PlacementEvent;
use crate::telemetry::logs::or_dash;
use crate::telemetry::metrics::label;

impl Gateway {
    /// Applies news from another process.
    pub fn observe_news(&self, news: &TargetNews) {
        let at = boot_now().saturating_sub(news.age);
        match news.event {
            TargetEvent::MayHaveRestarted => {
                self.fleet.borrow_mut().may_have_restarted(&news.target, at)
            }
            TargetEvent::RateLimit(limit) => {
                self.fleet.borrow_mut().told_limit(&news.target, limit, at)
            }
            TargetEvent::Brittle(bears) => {
                self.fleet.borrow_mut().told_brittleness(&news.target, bears, at)
            }
            TargetEvent::Rejected { held } => {
                self.fleet.borrow_mut().told_rejection(&news.target, held, at)
            }
        }
    }

    /// Records the load that a response reports. A load that can't be read or that another target
    /// reports is counted and removed.
    pub fn observe_load(
        &self,
        target: &TargetStart,
        response_metadata: &mut ResponseMetadata,
        now: BootTime,
    ) {
        let is_of_other = response_metadata.answered_by.as_ref().is_some_and(|id| *id != target.id);
        let reported = response_metadata.load.take();
        response_metadata.load = reported.filter(|_| !is_of_other);
        if let Some(percent) = response_metadata.load.and_then(|load| load.work_time_percent) {
            self.metrics.work_time_factor.record(f64::from(percent) / 100.0, &[]);
        }
        match response_metadata.load {
            Some(load) => self.fleet.borrow_mut().observe_load(target, load, now),
            None if response_metadata.is_load_unreadable => {
                self.metrics.unreadable_loads.add(1, &[label("reason", "unreadable")]);
            }
            None if reported.is_some() => {
                self.metrics.unreadable_loads.add(1, &[label("reason", "other_target")]);
            }
            None => {}
        }
    }

    /// Records the rate limit that an answer to a request sent at `sent_at` names, and tells the
    /// other entries and the scheduler.
    pub fn observe_limit(&self, target: &TargetStart, named: Option<RateLimit>, sent_at: BootTime) {
        let now = boot_now();
        let is_change = self.fleet.borrow_mut().observe_limit(target, named, sent_at, now);
        if named.is_none() && !is_change {
            return;
        }
        let limit = self.fleet.borrow().get(target).and_then(|state| state.named_limit());
        // News also if it is unchanged, which keeps it for entries and replicas that start later.
        let event = TargetEvent::RateLimit(limit);
        self.news.send_if_modified(|known| known.observe(target, event, now, now));
        if is_change {
            let limit_per_s = or_dash(limit.map(|limit| limit.requests_per_s));
            log::info!("event=limit_changed target={target} limit_per_s={limit_per_s}");
            self.report(target, event, Duration::ZERO);
        }
    }

    /// Records the rejections that a target bears by an answer to a request sent at `sent_at`, and tells
    /// the other entries and the scheduler.
    pub fn observe_brittleness(
        &self,
        target: &TargetStart,
        bears: Option<RateLimit>,
        sent_at: BootTime,
    ) {
        let now = boot_now();
        let is_change = self.fleet.borrow_mut().observe_brittleness(target, bears, sent_at, now);
        if bears.is_none() && !is_change {
            return;
        }
        let event = TargetEvent::Brittle(bears);
        // News also if it is unchanged, which keeps it for entries and replicas that start later.
        self.news.send_if_modified(|known| known.observe(target, event, now, now));
        if is_change {
            let bears_per_s = or_dash(bears.map(|bears| bears.requests_per_s));
            log::info!("event=brittleness_changed target={target} bears_per_s={bears_per_s}");
            self.report(target, event, Duration::ZERO);
        }
    }

    /// Records that a target rejected a request for want of room, and tells the other entries and the
    /// scheduler if it is brittle.
    pub fn observe_rejection(&self, target: &TargetStart) {
        let now = boot_now();
        let Some(held) = self.fleet.borrow_mut().rejected(target, now) else { return };
        log::info!("event=brittle_target_rejected target={target} held={held}");
        let event = TargetEvent::Rejected { held };
        self.news.send_if_modified(|known| known.observe(target, event, now, now));
        self.report(target, event, Duration::ZERO);
    }

    /// Tells a scheduler that has just been connected to of the targets that limit their rate or are
    /// brittle.
    pub fn report_limits(&self) {
        let now = boot_now();
        let fleet = self.fleet.borrow();
        for (target, limit, observed_at) in fleet.limited() {
            let age = now.saturating_sub(observed_at);
            self.report(target, TargetEvent::RateLimit(Some(limit)), age);
        }
        for (target, bears, observed_at) in fleet.brittle() {
            let age = now.saturating_sub(observed_at);
            self.report(target, TargetEvent::Brittle(Some(bears)), age);
        }
    }

    fn report(&self, target: &TargetStart, event: TargetEvent, age: Duration) {
        let news = TargetNews { target: target.clone(), event, age };
        self.scheduler.send_event(PlacementEvent::News(news));
    }

    /// Records, here and at the scheduler, that a target may have restarted since it was last used.
    pub fn idle_connections_lost(&self, target: &TargetStart) {
        if !self.fleet.borrow_mut().idle_connections_lost(target, boot_now()) {
            return;
        }
        log::info!("event=idle_connections_lost target={target}");
        self.announce_restart(target);
        let event = PlacementEvent::IdleConnectionsLost { target: target.clone() };
        self.scheduler.send_event(event);
    }

    /// Records that a target refuses connections, so that its process has ended.
    pub fn connection_refused(&self, target: &TargetStart) {
        if self.fleet.borrow().is_paced_when_cold(target) {
            self.announce_restart(target);
        }
    }

    /// Tells the other entries that a target may have restarted.
    fn announce_restart(&self, target: &TargetStart) {
        let now = boot_now();
        let event = TargetEvent::MayHaveRestarted;
        self.news.send_if_modified(|known| known.observe(target, event, now, now));
    }
}
