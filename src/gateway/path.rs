//! The entry's own path to targets: who was reached, and trials of a lost path.

use std::rc::Rc;

use futures::future::join_all;

use super::pool::Connection;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::fleet::Listed;
use crate::fleet::paths::{TRIAL_INTERVAL, TRIAL_TARGETS};
use crate::ids::{ServiceId, TargetStart};
use crate::scheduler::EndReason;

/// Targets that are connected to, one after the other, before one that refuses connections is taken
/// for ended.
const MAX_WITNESSES: usize = 2;

impl Gateway {
    /// Whether requests to a service had better go through another entry: the path is lost, or most
    /// targets can't be reached from here.
    pub fn lacks_path(&self, service: &str) -> bool {
        if self.paths.borrow().is_lost(service) {
            return true;
        }
        let fleet = self.fleet.borrow();
        let unreachable = fleet.unreachable_count(service);
        unreachable > 0 && unreachable * 2 >= fleet.live_count(service)
    }

    /// Whether the path may be lost, so that a failure tells nothing of this target.
    pub fn is_path_suspect(&self, service: &str, target: &TargetStart) -> bool {
        self.paths.borrow().is_suspect(service, target, boot_now())
    }

    /// Records that a target answered, or accepted a connection.
    pub fn target_reached(&self, service: &str) {
        self.paths.borrow_mut().reached(service);
    }

    /// Records that a target could not be reached, or that its connection broke. Returns whether that
    /// may be the target's own fault.
    pub fn target_unreached(self: &Rc<Gateway>, service: &ServiceId, target: &TargetStart) -> bool {
        let is_suspect = self.is_path_suspect(service, target);
        let now = boot_now();
        if self.paths.borrow_mut().unreached(service, target, now) {
            log::warn!("event=path_lost service={service} last_target={target}");
            // Its connections would only fail one after the other.
            self.pool.retain(|target| self.service_of(target).as_ref() != Some(service));
            tokio::task::spawn_local(try_until_restored(self.clone(), service.clone()));
        }
        !is_suspect
    }

    /// Records that the connection to a target broke before the end of an answer. Returns how the
    /// request ends at the target.
    pub fn connection_broke(
        self: &Rc<Gateway>,
        service: &ServiceId,
        target: &TargetStart,
    ) -> EndReason {
        if self.target_unreached(service, target) {
            self.fleet.borrow_mut().connection_lost(target, boot_now());
            EndReason::ConnectionLost
        } else {
            self.fleet.borrow_mut().path_failed(target, boot_now());
            EndReason::Cancelled
        }
    }

    fn service_of(&self, target: &TargetStart) -> Option<ServiceId> {
        self.fleet.borrow().get(target).map(|state| state.listed.service.clone())
    }

    /// Opens a connection to a target and keeps it for later requests. Returns whether it was reached.
    async fn is_reached(&self, listed: &Listed) -> bool {
        let Ok(connection) = Connection::open(listed.address).await else { return false };
        let settle_time = self.paths.borrow().settle_time(&listed.service);
        tokio::time::sleep(settle_time).await;
        if connection.is_closed() {
            return false;
        }
        self.return_connection(&listed.start, connection);
        true
    }

    /// Whether other targets of the service can be reached, so that this target itself is at fault.
    /// Also true if there is no other target, or all of them are known to have ended.
    pub async fn reaches_others(&self, target: &TargetStart) -> bool {
        let Some(service) = self.service_of(target) else { return true };
        let others: Vec<Listed> = {
            let (fleet, broken_runs) = (self.fleet.borrow(), self.broken_runs.borrow());
            let others = fleet.live_from(&service, rand::random()).map(|state| state.listed);
            let others = others.filter(|other| other.start != *target);
            // The list may name them for some seconds more.
            let running = others.filter(|other| !broken_runs.has_ended(&other.start));
            running.take(MAX_WITNESSES).cloned().collect()
        };
        for other in &others {
            if self.is_reached(other).await {
                return true;
            }
        }
        others.is_empty()
    }
}

/// Tries the path to a service until it is back.
async fn try_until_restored(gateway: Rc<Gateway>, service: ServiceId) {
    loop {
        let targets: Vec<Listed> = {
            let fleet = gateway.fleet.borrow();
            let targets = fleet.live_from(&service, rand::random()).take(TRIAL_TARGETS);
            targets.map(|state| state.listed.clone()).collect()
        };
        let reached = join_all(targets.iter().map(|listed| gateway.is_reached(listed))).await;
        let count = reached.iter().filter(|is_reached| **is_reached).count();
        let restored = gateway.paths.borrow_mut().tried(&service, count, targets.len(), boot_now());
        if let Some(lost_for) = restored {
            // The outage was booked on each target.
            gateway.fleet.borrow_mut().path_restored(&service);
            log::info!("event=path_restored service={service} lost_ms={}", lost_for.as_millis());
            return;
        }
        tokio::time::sleep(TRIAL_INTERVAL).await;
    }
}
