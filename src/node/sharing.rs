//! Shares of accounts' limits: asks their owners for them, and grants them as an owner.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::{Node, every};
use crate::clock::{BootTime, boot_now};
use crate::ids::{AccountId, BlockKey, NodeId};
use crate::limits::shares::{Demand, Share, Shares, base};
use crate::peer::message::{PeerRequest, PeerResponse};
use crate::whereabouts::{NodePlace, owners};

/// A request waits no longer than this for a share.
const ASK_TIMEOUT: Duration = Duration::from_millis(25);
/// An owner is asked no more often than this for an account whose share is used up.
const ASK_PAUSE: Duration = Duration::from_millis(100);
/// How often shares in use are renewed.
const RENEW_PERIOD: Duration = Duration::from_secs(1);
/// A node asks for this many times its demand, so that it need not ask for each request.
const HEADROOM: u32 = 2;

/// Shares that this node holds and those that it granted as an owner.
pub struct Sharing {
    held: HashMap<AccountId, Held>,
    granted: Shares,
    /// Live nodes as they were known within the last lease, oldest first. An account that another
    /// node owned by one of these may have leases of that owner outstanding.
    places: VecDeque<(BootTime, Vec<NodePlace>)>,
}

#[derive(Clone, Copy)]
struct Held {
    share: u32,
    ends: BootTime,
    asked_at: BootTime,
    /// The account's limit over all nodes when it was asked for.
    limit: u32,
}

impl Sharing {
    /// Nothing held, nothing granted.
    pub fn new(lease: Duration) -> Sharing {
        Sharing { held: HashMap::new(), granted: Shares::new(lease), places: VecDeque::new() }
    }

    fn note_places(&mut self, places: Vec<NodePlace>, now: BootTime) {
        if self.places.back().is_none_or(|(_, known)| *known != places) {
            self.places.push_back((now, places));
        }
        // The one before the oldest change within a lease still counts.
        let lease = self.granted.lease();
        while self.places.get(1).is_some_and(|(since, _)| *since + lease <= now) {
            self.places.pop_front();
        }
    }

    /// Whether `me` has owned the account for a whole lease.
    fn is_settled_owner(&self, account: &str, me: NodeId, now: BootTime) -> bool {
        let root = account_root(account);
        let started = self.places.front().map_or(now, |(since, _)| *since);
        let always = self.places.iter().all(|(_, known)| owners(root, known).first() == Some(&me));
        // At this node's start, an earlier start of it may have granted leases.
        always && started + self.granted.lease() <= now
    }
}

impl Node {
    /// Requests of an account that this node may run now; `limit` is for all nodes together.
    pub async fn share_of(self: &Arc<Node>, account: &str, limit: u32) -> u32 {
        let now = boot_now();
        let demand = self.places.demand(account) + 1;
        let held = self.sharing.lock().held.get(account).copied();
        let usable = held.filter(|held| held.ends > now);
        let is_enough = usable.is_some_and(|held| held.share >= demand && held.limit == limit);
        let asked_just_now = held.is_some_and(|held| now < held.asked_at + ASK_PAUSE);
        if !is_enough && !asked_just_now {
            self.ask_for_share(account, limit, demand).await;
        }
        self.usable_share(account, limit)
    }

    fn usable_share(&self, account: &str, limit: u32) -> u32 {
        let now = boot_now();
        let nodes = self.known.lock().live.len() as u32;
        let sharing = self.sharing.lock();
        let usable = sharing.held.get(account).filter(|held| held.ends > now);
        usable.map_or(base(limit, nodes), |held| held.share).min(limit)
    }

    async fn ask_for_share(self: &Arc<Node>, account: &str, limit: u32, demand: u32) {
        let places = self.node_places();
        let nodes = places.len() as u32;
        let Some(owner) = owners(account_root(account), &places).first().copied() else { return };
        // The lease counts from here.
        let asked_at = boot_now();
        {
            let mut sharing = self.sharing.lock();
            let nothing = Held { share: 0, ends: BootTime::ZERO, asked_at, limit };
            sharing.held.entry(account.to_string()).or_insert(nothing).asked_at = asked_at;
        }
        let demand = demand.saturating_mul(HEADROOM);
        let ask = Demand { account: account.to_string(), demand, limit, nodes };
        if let Ok(PeerResponse::Share(Share { share, lasts })) =
            self.links.request(owner, PeerRequest::Share(ask), ASK_TIMEOUT).await
        {
            let held = Held { share, ends: asked_at + lasts, asked_at, limit };
            self.sharing.lock().held.insert(account.to_string(), held);
            self.places.set_account_limit(account, share);
        }
    }

    /// Grants a share as an owner, under this node's own freshness lease.
    pub(super) fn grant_share(&self, node: NodeId, demand: &Demand) -> PeerResponse {
        if self.in_force().is_none() {
            return PeerResponse::Unavailable;
        }
        let now = boot_now();
        let places = self.node_places();
        let mut sharing = self.sharing.lock();
        sharing.note_places(places, now);
        if !sharing.is_settled_owner(&demand.account, self.settings.node_id, now) {
            return PeerResponse::Unavailable;
        }
        PeerResponse::Share(sharing.granted.ask(node, demand, now))
    }

    /// Renews shares that are in use, and forgets the others, again and again.
    pub(super) async fn keep_shares(self: Arc<Node>) {
        every(RENEW_PERIOD, || async {
            self.renew_shares().await;
            true
        })
        .await;
    }

    async fn renew_shares(self: &Arc<Node>) {
        let now = boot_now();
        let places = self.node_places();
        let in_use: Vec<(AccountId, u32)> = {
            let mut sharing = self.sharing.lock();
            sharing.note_places(places, now);
            sharing.granted.forget(now);
            let demand = |account: &str| self.places.demand(account);
            sharing.held.retain(|account, held| held.ends > now || demand(account) > 0);
            let held = sharing.held.iter();
            held.filter(|(account, _)| demand(account) > 0)
                .map(|(account, held)| (account.clone(), held.limit))
                .collect()
        };
        for (account, limit) in in_use {
            let demand = self.places.demand(&account);
            self.ask_for_share(&account, limit, demand).await;
            self.places.set_account_limit(&account, self.usable_share(&account, limit));
        }
    }
}

/// Accounts are owned like contexts, by a hash of their name.
fn account_root(account: &str) -> BlockKey {
    let mut key = [0; 16];
    key.copy_from_slice(&blake3::hash(account.as_bytes()).as_bytes()[..16]);
    BlockKey::from_le_bytes(key)
}
