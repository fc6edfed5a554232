//! Decides when a replica sends an entry the newest deployment.
//!
//! An entry subscribes to two replicas, so that it gets a deployment in time if one of them is cut
//! off. A deployment is large, and the second replica is mostly in another failure domain, so that
//! one holds it back until the entry should have it.

use std::time::Duration;

use crate::clock::BootTime;
use crate::deployment::document::DeploymentVersion;

/// How long a deployment is held back by a replica from which the entry gets no full changes. It
/// is sent with the next heartbeat after that.
const SECONDARY_DELAY: Duration = Duration::from_millis(100);

/// The deployments that one entry has, and what is held back from it.
#[derive(Debug, Default)]
pub struct DeploymentSchedule {
    /// The version that the entry has or was sent; 0 if none.
    held: DeploymentVersion,
    newer_since: Option<BootTime>,
}

impl DeploymentSchedule {
    /// Starts with the version that the entry has; 0 if it has none.
    pub fn new(held: DeploymentVersion) -> DeploymentSchedule {
        DeploymentSchedule { held, newer_since: None }
    }

    /// The version that the entry has or was sent; 0 if none.
    pub fn held(&self) -> DeploymentVersion {
        self.held
    }

    /// Records that the entry has a deployment, from whichever replica.
    pub fn observe_held(&mut self, version: DeploymentVersion) {
        self.held = self.held.max(version);
        self.newer_since = None;
    }

    /// Whether to send the newest deployment now. An entry without any, or one that waits for the
    /// confirmation that it was sent, gets it at once.
    pub fn should_send(
        &mut self,
        newest: DeploymentVersion,
        is_secondary: bool,
        awaits_confirmation: bool,
        now: BootTime,
    ) -> bool {
        if newest <= self.held {
            return false;
        }
        if is_secondary && self.held > 0 && !awaits_confirmation {
            let since = *self.newer_since.get_or_insert(now);
            return now >= since + SECONDARY_DELAY;
        }
        true
    }
}
