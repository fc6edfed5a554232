//! The node's freshness lease.
//!
//! Nodes renew it with the relay of their failure domain, or with the leader. The relay renews its
//! own lease with the leader.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Node;
use crate::clock::{BootTime, boot_now};
use crate::config::{ConfigHistory, NumberedConfig, Update};
use crate::ids::{ConfigNumber, NodeId};
use crate::lease::{HeldLease, LeaseGrantor};
use crate::peer::message::{PeerRequest, PeerResponse, RenewLease};

/// How long a renewal waits for a grant before another node is tried as well.
const RENEW_PATIENCE: Duration = Duration::from_millis(300);
/// Delay after a failed renewal.
const RENEW_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The duration of a lease, the configuration number that it requires, and the update to it.
pub type LeaseGrant = (Duration, ConfigNumber, Update);

/// The lease and the configuration of a node, and the leases that it granted as a relay.
pub struct Freshness {
    held_lease: HeldLease,
    history: ConfigHistory,
    grantor: LeaseGrantor,
}

/// Why a renewal resulted in no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RenewalError {
    /// There is no answer yet.
    Pending,
    /// The node can't be reached, or did not answer within the duration of a lease.
    Unanswered,
    /// The node is not the leader, or is no relay with a lease of its own.
    Refused,
    /// The granted lease has no duration, or its configuration can't be applied.
    Unusable,
}

impl Freshness {
    /// Creates the state of a node that has just started, without lease and configuration.
    pub fn new(lease: Duration, now: BootTime) -> Freshness {
        Freshness {
            held_lease: HeldLease::default(),
            history: ConfigHistory::default(),
            grantor: LeaseGrantor::new(lease, now),
        }
    }

    /// The configuration, if the lease is valid.
    pub fn in_force(&self, now: BootTime) -> Option<Arc<NumberedConfig>> {
        self.held_lease.is_fresh(now).then(|| self.history.newest().clone())
    }

    /// The newest known configuration number, whether or not it is in force.
    pub fn config_number(&self) -> ConfigNumber {
        self.history.number()
    }

    /// How long to wait for the next lease; zero if there is a valid one, or if none is expected.
    fn lease_wait(&self, lease_duration: Duration, now: BootTime) -> Duration {
        if self.held_lease.is_fresh(now) {
            return Duration::ZERO;
        }
        self.held_lease.renewal_expected_until(lease_duration).saturating_sub(now)
    }

    /// The configuration number of this node, and the number that this node and all nodes with
    /// leases from it have applied.
    fn own_and_acked_numbers(&self, now: BootTime) -> (ConfigNumber, ConfigNumber) {
        let known_number = self.history.number();
        (known_number, self.grantor.min_acked(known_number, now))
    }

    /// Applies a grant in response to the renewal sent at `sent_at`. Returns false if it is not
    /// usable.
    fn apply_grant(
        &mut self,
        sent_at: BootTime,
        duration: Duration,
        number: ConfigNumber,
        update: &Update,
    ) -> bool {
        // The update is applied first: the lease is only valid with the granted number.
        if self.history.apply_update(update).is_err()
            || self.history.number() < number
            || duration.is_zero()
        {
            return false;
        }
        self.held_lease.extend(sent_at, duration);
        true
    }

    /// Grants a lease as a relay; `None` if this node has no valid lease itself.
    fn grant_lease(
        &mut self,
        child: NodeId,
        renew: &RenewLease,
        now: BootTime,
    ) -> Option<LeaseGrant> {
        let remaining = self.held_lease.remaining(now);
        let duration = self.grantor.grant(child, renew.subtree_number, remaining, now);
        let update = || self.history.update_since(renew.known_number);
        (!duration.is_zero()).then(|| (duration, self.history.number(), update()))
    }
}

impl Node {
    /// Renews the lease until the process exits.
    pub(super) async fn run_lease_renewal(self: Arc<Node>) {
        let mut was_fresh = false;
        loop {
            let renewed = self.renew().await;
            let is_fresh = self.in_force().is_some();
            if is_fresh != was_fresh {
                let errors = renewed.as_ref().err().map(|errors| describe_errors(errors));
                let errors = errors.unwrap_or_default();
                let number = self.config_number();
                log::info!("event=freshness fresh={is_fresh} number={number} errors={errors:?}");
                was_fresh = is_fresh;
            }
            self.metrics.config_number.record(self.config_number(), &[]);
            let delay =
                if renewed.is_ok() { self.settings.timing.renew } else { RENEW_RETRY_DELAY };
            tokio::time::sleep(delay).await;
        }
    }

    /// The newest known configuration number, whether or not it is in force.
    pub fn config_number(&self) -> ConfigNumber {
        self.freshness.lock().config_number()
    }

    /// The newest known configuration, whether or not it is in force.
    pub fn newest_config(&self) -> Arc<NumberedConfig> {
        self.freshness.lock().history.newest().clone()
    }

    /// Waits for the next lease if the last one has expired, at most until `deadline`. Returns at once
    /// if no lease is expected soon.
    pub async fn wait_for_lease(&self, deadline: BootTime) {
        let mut renewed = self.lease_renewed.subscribe();
        loop {
            let now = boot_now();
            let wait = self.freshness.lock().lease_wait(self.settings.timing.lease, now);
            let wait = wait.min(deadline.saturating_sub(now));
            if wait.is_zero() {
                return;
            }
            // A timeout is noticed by the next iteration; the sender lives as long as this node.
            let _ = tokio::time::timeout(wait, renewed.changed()).await;
        }
    }

    /// Grants a lease to another node as the relay of the failure domain.
    pub(super) fn grant_as_relay(&self, child: NodeId, renew: &RenewLease) -> PeerResponse {
        let grant = self.freshness.lock().grant_lease(child, renew, boot_now());
        grant.map_or(PeerResponse::Unavailable, |grant| self.grant_answer(grant, renew))
    }

    /// The answer to a renewal, including quarantine reports.
    pub(super) fn grant_answer(
        &self,
        (duration, number, update): LeaseGrant,
        renew: &RenewLease,
    ) -> PeerResponse {
        let (quarantine, quarantine_sent) = self.suspect_reports_since(renew.quarantine_received);
        PeerResponse::Granted {
            lasts_ms: duration.as_millis() as u64,
            number,
            update,
            quarantine,
            quarantine_sent,
        }
    }

    /// Asks for a lease at one node after the other until one is granted.
    ///
    /// # Errors
    /// Why each node granted none so far. A grant that arrives later is still applied.
    async fn renew(self: &Arc<Node>) -> Result<(), Vec<(NodeId, RenewalError)>> {
        let relay = self.lease_relay();
        let by_relay = (relay != self.settings.node_id).then_some((relay, true));
        let by_leader = self.leader_candidates().into_iter().map(|node| (node, false));
        let mut errors = Vec::new();
        for (node, as_relay) in by_relay.into_iter().chain(by_leader) {
            let renewal = tokio::spawn(self.clone().renew_with(node, as_relay));
            let error = match tokio::time::timeout(RENEW_PATIENCE, renewal).await {
                Ok(Ok(Ok(()))) => return Ok(()),
                Ok(Ok(Err(error))) => error,
                Ok(Err(_)) => RenewalError::Unanswered,
                Err(_) => RenewalError::Pending,
            };
            errors.push((node, error));
        }
        Err(errors)
    }

    async fn renew_with(self: Arc<Node>, node: NodeId, as_relay: bool) -> Result<(), RenewalError> {
        // The lease starts before the renewal is sent, so that it expires before the grantor's
        // record of it.
        let sent_at = boot_now();
        let (known_number, subtree_number) = self.freshness.lock().own_and_acked_numbers(sent_at);
        let (quarantine, quarantine_received, sent_revision) = self.quarantine_reports_for(node);
        let renew =
            RenewLease { known_number, subtree_number, as_relay, quarantine, quarantine_received };
        let request = PeerRequest::RenewLease(renew);
        // A grant that takes longer has expired when it arrives.
        let answer = self.links.request(node, request, self.settings.timing.lease).await;
        match answer.map_err(|_| RenewalError::Unanswered)? {
            PeerResponse::Granted { lasts_ms, number, update, quarantine, quarantine_sent } => {
                if !as_relay {
                    self.leader_hint.store(node, Ordering::Relaxed);
                }
                self.apply_quarantine_reports(node, quarantine, quarantine_sent, sent_revision);
                let duration = Duration::from_millis(lasts_ms);
                let is_usable =
                    self.freshness.lock().apply_grant(sent_at, duration, number, &update);
                self.lease_renewed.send_replace(());
                is_usable.then_some(()).ok_or(RenewalError::Unusable)
            }
            PeerResponse::NotLeader(Some(leader)) => {
                self.leader_hint.store(leader, Ordering::Relaxed);
                Err(RenewalError::Refused)
            }
            _ => Err(RenewalError::Refused),
        }
    }

    /// The relay of this failure domain: its live node with the lowest id.
    fn lease_relay(&self) -> NodeId {
        let domain = &self.settings.failure_domain;
        let view = self.membership_view.lock();
        let domain_members = view.live.iter().filter(|member| member.failure_domain == *domain);
        domain_members.map(|member| member.node).min().unwrap_or(self.settings.node_id)
    }
}

fn describe_errors(errors: &[(NodeId, RenewalError)]) -> String {
    let described: Vec<String> =
        errors.iter().map(|(node, error)| format!("{node}:{error:?}")).collect();
    described.join(",")
}
