//! Keeps the node's freshness lease: renews it through the relay of its failure domain, or with
//! the leader itself; and grants leases to others when this node is the relay.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Node;
use crate::clock::{BootTime, boot_now};
use crate::config::{ConfigHistory, NumberedConfig, Update};
use crate::ids::{ConfigNumber, NodeId};
use crate::lease::{Grantor, Holder};
use crate::peer::message::{PeerRequest, PeerResponse, RenewLease};

/// A renewal that is not answered within this time is sent elsewhere.
const RENEW_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause between attempts while the lease is close to its end.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a lease lasts, the number under which it is granted, and how the asker gets there.
pub type Grant = (Duration, ConfigNumber, Update);

/// A node's lease, its configuration, and the leases that it granted as a relay.
pub struct Fresh {
    holder: Holder,
    history: ConfigHistory,
    grantor: Grantor,
}

impl Fresh {
    /// A node that has just started: no lease, no configuration.
    pub fn new(lease: Duration, now: BootTime) -> Fresh {
        Fresh {
            holder: Holder::default(),
            history: ConfigHistory::default(),
            grantor: Grantor::new(lease, now),
        }
    }

    /// The configuration, if the lease holds.
    pub fn in_force(&self, now: BootTime) -> Option<Arc<NumberedConfig>> {
        self.holder.is_fresh(now).then(|| self.history.newest().clone())
    }

    /// The number known here, in force or not.
    pub fn number(&self) -> ConfigNumber {
        self.history.number()
    }

    /// The number that this node has, and the one that all nodes below it have.
    fn numbers(&self, now: BootTime) -> (ConfigNumber, ConfigNumber) {
        let known_number = self.history.number();
        (known_number, self.grantor.floor(known_number, now))
    }

    /// Takes a grant that answers the renewal sent at `sent_at`. False if it can't be used.
    fn take(
        &mut self,
        sent_at: BootTime,
        lasts: Duration,
        number: ConfigNumber,
        update: &Update,
    ) -> bool {
        // First the number, then the lease: a lease under an older number would be a lie.
        if self.history.apply_update(update).is_err()
            || self.history.number() < number
            || lasts.is_zero()
        {
            return false;
        }
        self.holder.granted(sent_at, lasts);
        true
    }

    /// Grants a lease as a relay; `None` if this node itself has none.
    fn grant(&mut self, child: NodeId, renew: &RenewLease, now: BootTime) -> Option<Grant> {
        let remaining = self.holder.remaining(now);
        let lasts = self.grantor.grant(child, renew.subtree_number, remaining, now);
        let update = || self.history.update_since(renew.known_number);
        (!lasts.is_zero()).then(|| (lasts, self.history.number(), update()))
    }
}

impl Node {
    /// Renews the lease for as long as the process lives.
    pub(super) async fn keep_fresh(self: Arc<Node>) {
        let mut was_fresh = false;
        loop {
            let renewed = self.renew().await;
            let is_fresh = self.in_force().is_some();
            if is_fresh != was_fresh {
                log::info!("event=freshness fresh={is_fresh} number={}", self.number());
                was_fresh = is_fresh;
            }
            self.metrics.config_number.record(self.number(), &[]);
            let pause = if renewed { self.settings.timing.renew } else { RETRY_PAUSE };
            tokio::time::sleep(pause).await;
        }
    }

    /// The configuration number known here.
    pub fn number(&self) -> ConfigNumber {
        self.fresh.lock().number()
    }

    /// Grants a lease to another node as the relay of its failure domain.
    pub(super) fn grant_as_relay(&self, child: NodeId, renew: &RenewLease) -> PeerResponse {
        let grant = self.fresh.lock().grant(child, renew, boot_now());
        grant.map_or(PeerResponse::Unavailable, |grant| self.granted(grant, renew))
    }

    /// The answer to a renewal, with what else the asker is to know.
    pub(super) fn granted(
        &self,
        (lasts, number, update): Grant,
        renew: &RenewLease,
    ) -> PeerResponse {
        let (quarantine, quarantine_sent) = self.quarantine_news(renew.quarantine_received);
        PeerResponse::Granted {
            lasts_ms: lasts.as_millis() as u64,
            number,
            update,
            quarantine,
            quarantine_sent,
        }
    }

    async fn renew(self: &Arc<Node>) -> bool {
        let relay = self.relay();
        if relay != self.settings.node_id && self.renew_with(relay, true).await {
            return true;
        }
        for node in self.leader_candidates() {
            if self.renew_with(node, false).await {
                return true;
            }
        }
        false
    }

    async fn renew_with(self: &Arc<Node>, node: NodeId, as_relay: bool) -> bool {
        // The lease counts from here, before anything has left this node.
        let sent_at = boot_now();
        let (known_number, subtree_number) = self.fresh.lock().numbers(sent_at);
        let (quarantine, quarantine_received, telling) = self.quarantine_for(node);
        let renew =
            RenewLease { known_number, subtree_number, as_relay, quarantine, quarantine_received };
        match self.links.request(node, PeerRequest::RenewLease(renew), RENEW_TIMEOUT).await {
            Ok(PeerResponse::Granted { lasts_ms, number, update, quarantine, quarantine_sent }) => {
                if !as_relay {
                    self.leader_hint.store(node, Ordering::Relaxed);
                }
                self.hear_quarantine(node, quarantine, quarantine_sent, telling);
                let lasts = Duration::from_millis(lasts_ms);
                self.fresh.lock().take(sent_at, lasts, number, &update)
            }
            Ok(PeerResponse::NotLeader(Some(leader))) => {
                self.leader_hint.store(leader, Ordering::Relaxed);
                false
            }
            _ => false,
        }
    }

    /// The live node of this failure domain with the lowest id renews for all others in it.
    fn relay(&self) -> NodeId {
        let domain = &self.settings.failure_domain;
        let known = self.known.lock();
        let here = known.live.iter().filter(|member| member.failure_domain == *domain);
        here.map(|member| member.node).min().unwrap_or(self.settings.node_id)
    }
}
