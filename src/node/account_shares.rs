//! Shares of client accounts' limits: requests them from the accounts' owners, and grants them as
//! an owner.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::{Node, run_periodically};
use crate::clock::{BootTime, boot_now};
use crate::ids::{AccountId, BlockKey, NodeId};
use crate::limits::shares::{GrantedShare, ShareAllocator, ShareRequest, base_share};
use crate::peer::message::{PeerRequest, PeerResponse};
use crate::prefix_catalog::{NodeLocation, owners};

/// Timeout of a request for a share, for which a caller's request waits.
const SHARE_REQUEST_TIMEOUT: Duration = Duration::from_millis(25);
/// Minimum interval between requests for more of an account's limit.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which shares in use are renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// A node requests this multiple of its demand, so that it need not ask the owner for each request.
const DEMAND_HEADROOM_FACTOR: u32 = 2;

/// The shares that this node holds, and those that it has granted as an owner.
pub struct AccountShares {
    held: HashMap<AccountId, HeldShare>,
    granted: ShareAllocator,
    /// The live nodes over the duration of a lease, oldest first. They determine previous owners,
    /// whose grants may still be valid.
    location_history: VecDeque<(BootTime, Vec<NodeLocation>)>,
}

#[derive(Clone, Copy)]
struct HeldShare {
    share: u32,
    expires_at: BootTime,
    requested_at: BootTime,
    /// The account's limit over all nodes when the share was requested.
    limit: u32,
}

impl AccountShares {
    /// Creates the state of a node without shares.
    pub fn new(lease: Duration) -> AccountShares {
        AccountShares {
            held: HashMap::new(),
            granted: ShareAllocator::new(lease),
            location_history: VecDeque::new(),
        }
    }

    fn record_locations(&mut self, locations: Vec<NodeLocation>, now: BootTime) {
        if self.location_history.back().is_none_or(|(_, recorded)| *recorded != locations) {
            self.location_history.push_back((now, locations));
        }
        // The newest entry that is older than a lease is kept, since it was valid until the next.
        let lease = self.granted.lease_duration();
        while self.location_history.get(1).is_some_and(|(since, _)| *since + lease <= now) {
            self.location_history.pop_front();
        }
    }

    /// Whether this node has owned the account for at least the duration of a lease.
    fn is_settled_owner(&self, account: &str, own_id: NodeId, now: BootTime) -> bool {
        let root = account_key(account);
        let history_start = self.location_history.front().map_or(now, |(since, _)| *since);
        let always_owner = self
            .location_history
            .iter()
            .all(|(_, recorded)| owners(root, recorded).first() == Some(&own_id));
        // Before a restart, this node may itself have granted leases that are still valid.
        always_owner && history_start + self.granted.lease_duration() <= now
    }
}

impl Node {
    /// Number of requests of an account that this node may run. `limit` is the limit over all
    /// nodes.
    pub async fn account_share(self: &Arc<Node>, account: &str, limit: u32) -> u32 {
        let now = boot_now();
        let demand = self.admission.demand(account) + 1;
        let held = self.account_shares.lock().held.get(account).copied();
        let usable = held.filter(|held| held.expires_at > now);
        let is_enough = usable.is_some_and(|held| held.share >= demand && held.limit == limit);
        let requested_recently =
            held.is_some_and(|held| now < held.requested_at + MIN_REQUEST_INTERVAL);
        if !is_enough && !requested_recently {
            self.request_share(account, limit, demand).await;
        }
        self.usable_share(account, limit)
    }

    fn usable_share(&self, account: &str, limit: u32) -> u32 {
        let now = boot_now();
        let nodes = self.membership_view.lock().live.len() as u32;
        let shares = self.account_shares.lock();
        let usable = shares.held.get(account).filter(|held| held.expires_at > now);
        usable.map_or(base_share(limit, nodes), |held| held.share).min(limit)
    }

    async fn request_share(self: &Arc<Node>, account: &str, limit: u32, demand: u32) {
        let locations = self.node_locations();
        let nodes = locations.len() as u32;
        let Some(owner) = owners(account_key(account), &locations).first().copied() else { return };
        // The lease starts when the request is sent.
        let requested_at = boot_now();
        {
            let mut shares = self.account_shares.lock();
            let empty = HeldShare { share: 0, expires_at: BootTime::ZERO, requested_at, limit };
            shares.held.entry(account.to_string()).or_insert(empty).requested_at = requested_at;
        }
        let demand = demand.saturating_mul(DEMAND_HEADROOM_FACTOR);
        let request = ShareRequest { account: account.to_string(), demand, limit, nodes };
        if let Ok(PeerResponse::Share(GrantedShare { share, lasts })) =
            self.links.request(owner, PeerRequest::Share(request), SHARE_REQUEST_TIMEOUT).await
        {
            let held = HeldShare { share, expires_at: requested_at + lasts, requested_at, limit };
            self.account_shares.lock().held.insert(account.to_string(), held);
            self.admission.set_account_limit(account, share);
        }
    }

    /// Grants a share as the owner of an account. Requires a freshness lease, so that an owner that
    /// is cut off from the other nodes stops before its successor starts.
    pub(super) fn grant_share(&self, node: NodeId, demand: &ShareRequest) -> PeerResponse {
        if self.in_force().is_none() {
            return PeerResponse::Unavailable;
        }
        let now = boot_now();
        let locations = self.node_locations();
        let mut shares = self.account_shares.lock();
        shares.record_locations(locations, now);
        if !shares.is_settled_owner(&demand.account, self.settings.node_id, now) {
            return PeerResponse::Unavailable;
        }
        PeerResponse::Share(shares.granted.grant(node, demand, now))
    }

    /// Periodically renews shares that are in use and removes expired ones.
    pub(super) async fn run_share_renewal(self: Arc<Node>) {
        run_periodically(RENEW_INTERVAL, || async {
            self.renew_shares().await;
            true
        })
        .await;
    }

    async fn renew_shares(self: &Arc<Node>) {
        let now = boot_now();
        let locations = self.node_locations();
        let in_use: Vec<(AccountId, u32)> = {
            let mut shares = self.account_shares.lock();
            shares.record_locations(locations, now);
            shares.granted.remove_expired(now);
            let demand = |account: &str| self.admission.demand(account);
            shares.held.retain(|account, held| held.expires_at > now || demand(account) > 0);
            let held = shares.held.iter();
            held.filter(|(account, _)| demand(account) > 0)
                .map(|(account, held)| (account.clone(), held.limit))
                .collect()
        };
        for (account, limit) in in_use {
            let demand = self.admission.demand(&account);
            self.request_share(&account, limit, demand).await;
            self.admission.set_account_limit(&account, self.usable_share(&account, limit));
        }
    }
}

/// The key that determines the owners of an account.
fn account_key(account: &str) -> BlockKey {
    let mut key = [0; 16];
    key.copy_from_slice(&blake3::hash(account.as_bytes()).as_bytes()[..16]);
    BlockKey::from_le_bytes(key)
}
