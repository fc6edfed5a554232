//! The software versions of the listed targets of each service, those that were listed until recently, and what
//! follows for streams of which nobody was told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::roster::Listed;
use super::streams::STREAM_TTL;
use crate::clock::BootTime;
use crate::ids::{ServiceId, SoftwareVersion};
use crate::telemetry::logs::{joined, or_dash};

/// Longest time by which one process learns of a change of the list before another.
const MAX_LIST_LAG: Duration = Duration::from_secs(5);
/// A service is settled once a version has been its only one for this long. Streams that begin before are told: those
/// of earlier versions must have ended when streams of this one begin untold.
pub const SETTLING_TIME: Duration = STREAM_TTL.saturating_add(MAX_LIST_LAG);
/// Versions that left the list are kept until the next one has settled, also if nothing was listed between them while
/// streams may have been alive.
const HISTORY_TTL: Duration = SETTLING_TIME.saturating_mul(3);

/// The version at which each service is settled; `None` where none is.
pub type SettledVersions = BTreeMap<ServiceId, Option<SoftwareVersion>>;

/// The software versions of all services.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    services: BTreeMap<ServiceId, ServiceSoftware>,
    /// When the first list arrived; zero if nothing was listed before this process started.
    known_since: Option<BootTime>,
}

#[derive(Clone, Debug, Default)]
struct ServiceSoftware {
    /// Number of listed targets of each version, those that leave included.
    listed: BTreeMap<SoftwareVersion, usize>,
    /// Oldest first.
    history: Vec<ListedPeriod>,
    /// All changes since then are part of the history; zero if all are.
    known_since: BootTime,
}

/// A time in which targets of a version were listed.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ListedPeriod {
    software: SoftwareVersion,
    since: BootTime,
    /// `None` while there are any.
    until: Option<BootTime>,
}

/// What a process knows of the versions of a service, for another process. Clocks differ between hosts, so it has
/// ages in place of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldSoftware {
    service: ServiceId,
    periods: Vec<ToldPeriod>,
    /// Age of the oldest change that is certainly contained; `None` if all are.
    known_for: Option<Duration>,
}

/// A time in which targets of a version were listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ToldPeriod {
    software: SoftwareVersion,
    first_listed_ago: Duration,
    last_listed_ago: Duration,
}

impl ListedPeriod {
    /// Whether streams that began in it may still be alive at `at`, if others have begun since.
    fn concerns(&self, at: BootTime) -> bool {
        self.since < at && self.until.is_none_or(|until| at < until + SETTLING_TIME)
    }

    /// Whether it and another one of the same version may be one, as two processes saw it.
    fn may_be(&self, other: &ListedPeriod) -> bool {
        let ends_after = |a: &ListedPeriod, b: &ListedPeriod| {
            a.until.is_none_or(|until| b.since <= until + MAX_LIST_LAG)
        };
        self.software == other.software && ends_after(self, other) && ends_after(other, self)
    }
}

impl ServiceSoftware {
    /// Whether all versions are known that were listed in the settling time before `at`.
    fn is_known(&self, at: BootTime) -> bool {
        self.known_since.is_zero() || self.known_since.saturating_add(SETTLING_TIME) <= at
    }

    /// The version at which the service was settled until `at`; `None` if it was not, or if that is unknown.
    fn settled_until(&self, at: BootTime) -> Option<&SoftwareVersion> {
        let mut concerned = self.history.iter().filter(|period| period.concerns(at));
        let ListedPeriod { software, since, .. } =
            concerned.next().filter(|_| self.is_known(at))?;
        let is_other = |period: &ListedPeriod| period.software != *software;
        let has_replaced = self.history.iter().any(|period| is_other(period) && period.since < at);
        let is_first = self.is_known(*since) && !has_replaced;
        let is_settled = is_first || *since + SETTLING_TIME <= at;
        (is_settled && !concerned.any(is_other)).then_some(software)
    }

    fn settled(&self, now: BootTime) -> Option<&SoftwareVersion> {
        let settled = self.settled_until(now)?;
        self.listed.keys().all(|listed| listed == settled).then_some(settled)
    }

    fn presumed(&self, now: BootTime) -> Option<&SoftwareVersion> {
        self.settled(now).or_else(|| {
            let alive = |since: &BootTime| now.saturating_sub(*since) < STREAM_TTL;
            let begun = self.history.iter().rev().map(|period| period.since);
            begun.filter(alive).find_map(|since| self.settled_until(since))
        })
    }

    /// Completes a change of the listed targets. Returns whether the service was settled before and has another
    /// version now.
    fn changed(&mut self, service: &ServiceId, now: BootTime) -> bool {
        let settled = self.settled_until(now);
        let has_begun =
            settled.is_some_and(|settled| self.listed.keys().any(|other| other != settled));
        if !self.open_periods().eq(self.listed.keys()) {
            let listed = self.listed.iter().map(|(software, count)| format!("{software}:{count}"));
            log::info!(
                "event=software_versions service={service} listed={} settled={}",
                joined(listed),
                or_dash(settled)
            );
            self.update_periods(now);
        }
        self.history.retain(|period| period.until.is_none_or(|until| now < until + HISTORY_TTL));
        has_begun
    }

    /// The versions that were listed until this change.
    fn open_periods(&self) -> impl Iterator<Item = &SoftwareVersion> {
        let open = self.history.iter().filter(|period| period.until.is_none());
        open.map(|period| &period.software).collect::<BTreeSet<_>>().into_iter()
    }

    fn update_periods(&mut self, now: BootTime) {
        let begun: Vec<SoftwareVersion> = {
            let open: BTreeSet<_> = self.open_periods().collect();
            self.listed.keys().filter(|software| !open.contains(software)).cloned().collect()
        };
        let open = self.history.iter_mut().filter(|period| period.until.is_none());
        open.filter(|period| !self.listed.contains_key(&period.software))
            .for_each(|period| period.until = Some(now));
        let begun = begun.into_iter();
        self.history.extend(begun.map(|software| ListedPeriod {
            software,
            since: now,
            until: None,
        }));
    }

    /// Adds what another process knows.
    fn merge(&mut self, told: &ToldSoftware, now: BootTime) {
        let known_since = told.known_for.map_or(BootTime::ZERO, |ago| now.saturating_sub(ago));
        self.known_since = self.known_since.min(known_since);
        for period in &told.periods {
            let told = ListedPeriod {
                software: period.software.clone(),
                since: now.saturating_sub(period.first_listed_ago),
                until: Some(now.saturating_sub(period.last_listed_ago)),
            };
            match self.history.iter_mut().find(|known| known.may_be(&told)) {
                Some(known) => {
                    known.since = known.since.min(told.since);
                    known.until = known.until.max(told.until).filter(|_| known.until.is_some());
                }
                None => self.history.push(told),
            }
        }
        self.history.sort_by_key(|period| period.since);
    }

    fn told(&self, service: &ServiceId, now: BootTime) -> ToldSoftware {
        let age = |at: BootTime| now.saturating_sub(at);
        let periods = self.history.iter().map(|period| ToldPeriod {
            software: period.software.clone(),
            first_listed_ago: age(period.since),
            last_listed_ago: period.until.map_or(Duration::ZERO, age),
        });
        ToldSoftware {
            service: service.clone(),
            periods: periods.collect(),
            known_for: (!self.known_since.is_zero()).then(|| age(self.known_since)),
        }
    }
}

impl SoftwareVersions {
    /// Creates the versions of a deployment that starts for the first time.
    pub fn at_first_start() -> SoftwareVersions {
        SoftwareVersions { services: BTreeMap::new(), known_since: Some(BootTime::ZERO) }
    }

    /// Creates the versions of a process that has just started again, with the settled versions of the one before it.
    /// They may have been listed until now.
    pub fn restored(settled: SettledVersions, now: BootTime) -> SoftwareVersions {
        let services = settled.into_iter().filter_map(|(service, software)| {
            let (since, until) = (BootTime::ZERO, Some(now));
            let history = vec![ListedPeriod { software: software?, since, until }];
            Some((service, ServiceSoftware { history, ..ServiceSoftware::default() }))
        });
        SoftwareVersions { services: services.collect(), known_since: None }
    }

    pub fn add(&mut self, listed: &Listed) {
        if !self.services.contains_key(&listed.service) {
            // No version of the service was listed so far.
            let known_since = self.known_since.unwrap_or(BootTime::MAX);
            let service = ServiceSoftware { known_since, ..ServiceSoftware::default() };
            self.services.insert(listed.service.clone(), service);
        }
        let Some(service) = self.services.get_mut(&listed.service) else { return };
        match service.listed.get_mut(&listed.software) {
            Some(count) => *count += 1,
            None => drop(service.listed.insert(listed.software.clone(), 1)),
        }
    }

    pub fn remove(&mut self, listed: &Listed) {
        let Some(service) = self.services.get_mut(&listed.service) else { return };
        if let Some(count) = service.listed.get_mut(&listed.software) {
            *count -= 1;
        }
        service.listed.retain(|_, count| *count > 0);
    }

    /// Replaces the listed targets. Returns whether settled services have another version now.
    pub fn replace<'a>(&mut self, listed: impl Iterator<Item = &'a Listed>, now: BootTime) -> bool {
        self.services.values_mut().for_each(|service| service.listed.clear());
        listed.for_each(|listed| self.add(listed));
        self.changed(now)
    }

    /// Completes a change of the listed targets. Returns whether settled services have another version now.
    pub fn changed(&mut self, now: BootTime) -> bool {
        let known_since = *self.known_since.get_or_insert(now);
        let mut has_begun = false;
        for (id, service) in &mut self.services {
            service.known_since = service.known_since.min(known_since);
            has_begun |= service.changed(id, now);
        }
        self.services.retain(|_, service| !service.history.is_empty());
        has_begun
    }

    /// What this process knows of the versions of all services.
    pub fn told(&self, now: BootTime) -> Vec<ToldSoftware> {
        self.services.iter().map(|(service, software)| software.told(service, now)).collect()
    }

    /// Replaces what is known of the time before by what another process knows.
    pub fn replace_history(&mut self, told: &[ToldSoftware], now: BootTime) {
        for service in self.services.values_mut() {
            service.history.retain(|period| period.until.is_none());
        }
        self.merge(told, now);
    }

    /// Adds what another process knows.
    pub fn merge(&mut self, told: &[ToldSoftware], now: BootTime) {
        for told in told {
            let service = self.services.entry(told.service.clone()).or_insert_with(|| {
                ServiceSoftware { known_since: BootTime::MAX, ..ServiceSoftware::default() }
            });
            service.merge(told, now);
        }
    }

    /// Whether targets of a service have, or recently had, different versions, so that the version of a stream does
    /// not follow from the list.
    pub fn is_mixed(&self, service: &str, now: BootTime) -> bool {
        let Some(service) = self.services.get(service) else { return false };
        let mut concerned = service.history.iter().filter(|period| period.concerns(now));
        let first = concerned.next();
        concerned.any(|period| first.is_some_and(|first| first.software != period.software))
            || service.listed.len() > 1
    }

    /// The only version of which targets of a service are listed now.
    pub fn sole_listed(&self, service: &str) -> Option<&SoftwareVersion> {
        let mut listed = self.services.get(service)?.listed.keys();
        listed.next().filter(|_| listed.next().is_none())
    }

    /// The version at which a service is settled; `None` if it is not, or if that is unknown.
    pub fn settled(&self, service: &str, now: BootTime) -> Option<&SoftwareVersion> {
        self.services.get(service)?.settled(now)
    }

    /// The version at which a service was settled until `at`.
    pub fn settled_until(&self, service: &str, at: BootTime) -> Option<&SoftwareVersion> {
        self.services.get(service)?.settled_until(at)
    }

    /// The versions at which services are settled.
    pub fn all_settled(&self, now: BootTime) -> SettledVersions {
        let settled = |(id, service): (&ServiceId, &ServiceSoftware)| {
            (id.clone(), service.settled(now).cloned())
        };
        self.services.iter().map(settled).collect()
    }

    /// Whether streams of any service are to be told.
    pub fn any_unsettled(&self, now: BootTime) -> bool {
        self.services.values().any(|service| service.settled(now).is_none())
    }

    /// The version at which a stream began of which processes have not been told. They are told of each stream that
    /// begins while its service is not settled, so it began when the service last was; `None` if that is too long ago
    /// for any stream, or unknown.
    pub fn presumed(&self, service: &str, now: BootTime) -> Option<&SoftwareVersion> {
        self.services.get(service)?.presumed(now)
    }
}
