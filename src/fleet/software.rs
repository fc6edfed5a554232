//! The software versions of the listed targets of each service, and when they began to differ.

use std::collections::BTreeMap;
use std::time::Duration;

use super::roster::Listed;
use super::streams::STREAM_TTL;
use crate::clock::BootTime;
use crate::ids::{ServiceId, SoftwareVersion};

/// The software versions of all services.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    services: BTreeMap<ServiceId, ServiceSoftware>,
}

#[derive(Clone, Debug, Default)]
struct ServiceSoftware {
    /// Number of listed targets of each version, those that leave included.
    counts: BTreeMap<SoftwareVersion, usize>,
    /// The version that was last the only one.
    sole: Option<SoftwareVersion>,
    /// Since when there has been more than one version.
    mixed_since: Option<BootTime>,
}

impl SoftwareVersions {
    pub fn add(&mut self, listed: &Listed) {
        if !self.services.contains_key(&listed.service) {
            self.services.insert(listed.service.clone(), ServiceSoftware::default());
        }
        let Some(service) = self.services.get_mut(&listed.service) else { return };
        match service.counts.get_mut(&listed.software) {
            Some(count) => *count += 1,
            None => drop(service.counts.insert(listed.software.clone(), 1)),
        }
    }

    pub fn remove(&mut self, listed: &Listed) {
        let Some(service) = self.services.get_mut(&listed.service) else { return };
        if let Some(count) = service.counts.get_mut(&listed.software) {
            *count -= 1;
        }
        service.counts.retain(|_, count| *count > 0);
    }

    /// Replaces the listed targets.
    pub fn replace<'a>(&mut self, listed: impl Iterator<Item = &'a Listed>, now: BootTime) {
        self.services.values_mut().for_each(|service| service.counts.clear());
        listed.for_each(|listed| self.add(listed));
        self.changed(now);
    }

    /// Completes a change of the listed targets. Returns whether the versions of a service began to
    /// differ.
    pub fn changed(&mut self, now: BootTime) -> bool {
        let mut has_begun = false;
        for service in self.services.values_mut() {
            match service.counts.len() {
                0 => {}
                1 => {
                    service.sole = service.counts.keys().next().cloned();
                    service.mixed_since = None;
                }
                _ => {
                    has_begun |= service.mixed_since.is_none();
                    service.mixed_since.get_or_insert(now);
                }
            }
        }
        has_begun
    }

    /// Whether targets of a service have different versions.
    pub fn is_mixed(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.counts.len() > 1)
    }

    /// Whether that holds for any service.
    pub fn any_mixed(&self) -> bool {
        self.services.values().any(|service| service.counts.len() > 1)
    }

    /// The version at which a stream began of which processes have not been told. They are told of each
    /// stream that begins while versions are mixed, so it began before that; `None` if that is too long
    /// ago for any stream, or unknown.
    pub fn presumed(&self, service: &str, now: BootTime) -> Option<&SoftwareVersion> {
        let service = self.services.get(service)?;
        let mixed_for =
            service.mixed_since.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        service.sole.as_ref().filter(|_| mixed_for < STREAM_TTL)
    }
}
