//! Decides which losses of subscriptions are logged. Pure.
//!
//! While a replica can't be reached, a subscription to it fails many times a second.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

use crate::clock::BootTime;

/// Shortest time between two lines about losses of one replica.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a loss that lasts for the same reason is logged again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// The losses of subscriptions to replicas, and what was logged of them.
#[derive(Debug, Default)]
pub struct SubscriptionLog {
    replicas: BTreeMap<IpAddr, Losses>,
}

#[derive(Debug)]
struct Losses {
    /// Since when the replica has not confirmed anything; `None` once it is subscribed to again.
    lost_at: Option<BootTime>,
    /// The last line, if any.
    logged: Option<LoggedLoss>,
    /// Number of losses since the last line.
    unlogged: u32,
    /// Whether a loss was logged since the last return.
    is_return_due: bool,
}

#[derive(Debug)]
struct LoggedLoss {
    at: BootTime,
    reason: String,
}

/// The end of a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriptionReturn {
    pub lost_for: Duration,
    /// Number of losses since the last line about the replica.
    pub unlogged_losses: u32,
}

impl SubscriptionLog {
    /// Records a loss. If it is to be logged, returns the number of losses since the last line, with
    /// this one.
    pub fn lost(&mut self, replica: IpAddr, reason: &str, now: BootTime) -> Option<u32> {
        let losses = self.replicas.entry(replica).or_insert(Losses {
            lost_at: None,
            logged: None,
            unlogged: 0,
            is_return_due: false,
        });
        let is_repeated = losses.is_return_due
            && losses.logged.as_ref().is_some_and(|logged| logged.reason == reason);
        let interval = if is_repeated { REPEAT_INTERVAL } else { MIN_LOG_INTERVAL };
        losses.lost_at.get_or_insert(now);
        losses.unlogged = losses.unlogged.saturating_add(1);
        if losses.logged.as_ref().is_some_and(|logged| now < logged.at + interval) {
            return None;
        }
        losses.logged = Some(LoggedLoss { at: now, reason: reason.to_string() });
        losses.is_return_due = true;
        Some(std::mem::take(&mut losses.unlogged))
    }

    /// Records that a replica has confirmed what it sent. Returns the loss that ends by that, if it
    /// was logged.
    pub fn confirmed(&mut self, replica: IpAddr, now: BootTime) -> Option<SubscriptionReturn> {
        let losses = self.replicas.get_mut(&replica)?;
        let lost_at = losses.lost_at.take()?;
        if !std::mem::take(&mut losses.is_return_due) {
            return None;
        }
        let lost_for = now.saturating_sub(lost_at);
        Some(SubscriptionReturn { lost_for, unlogged_losses: std::mem::take(&mut losses.unlogged) })
    }

    /// Forgets replicas that are no longer known.
    pub fn retain(&mut self, known: &BTreeSet<IpAddr>) {
        self.replicas.retain(|replica, _| known.contains(replica));
    }
}
