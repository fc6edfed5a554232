//! Chooses the entries through which this one reaches targets while its own path to them fails. Pure.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

use crate::clock::BootTime;
use crate::control::entry_directory::{EntryStart, PeerEntry};
use crate::fleet::regions::AllowedDomains;
use crate::ids::{DomainId, ServiceId};
use crate::route::health::{FailureCause, Health};

/// An entry that reaches no target of a service either is not asked for that service for this long.
const NO_PATH_PAUSE: Duration = Duration::from_secs(1);
/// An entry that takes no requests, since it stops, is not asked for this long. Covers the time until
/// its process has ended: one that is asked just then may break the connection after it was sent a
/// request.
const STOPPING_PAUSE: Duration = Duration::from_secs(10);

/// Cost in milliseconds of each request of this entry that another one forwards already, which shares
/// the processor of that host: some tenths of a millisecond of work at a tenth of a core.
const COST_PER_FORWARDED_MS: f64 = 5.0;

/// The entries that replicas name, as this entry knows them.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<IpAddr, Peer>,
}

#[derive(Debug, Default)]
struct Peer {
    failure_domain: DomainId,
    /// The start of its process to which the rest applies; `None` until it is named.
    start: Option<EntryStart>,
    /// Requests of this entry that it forwards.
    running: u32,
    health: Health,
    /// Services that it does not reach either, and until when it is not asked for them.
    without_path: BTreeMap<ServiceId, BootTime>,
    /// Until when it is not asked, since it stops.
    stopping_until: Option<BootTime>,
}

impl Peers {
    /// Applies the entries that a replica names. What is known of an earlier start of an entry no longer
    /// applies.
    pub fn observe(&mut self, named: Vec<PeerEntry>) {
        let ips: BTreeSet<IpAddr> = named.iter().map(|entry| entry.ip).collect();
        self.known.retain(|ip, peer| ips.contains(ip) || peer.running > 0);
        for entry in named {
            let peer = self.known.entry(entry.ip).or_default();
            if peer.start != Some(entry.start) {
                *peer = Peer { running: peer.running, start: Some(entry.start), ..Peer::default() };
            }
            peer.failure_domain = entry.failure_domain;
        }
    }

    /// The entry to ask for a request to a service: the one with the lowest cost by the requests of this
    /// entry that it forwards and by `crossing_ms`, the cost in milliseconds of sending the request to a
    /// failure domain. `None` if all were tried, can't be reached or have no path themselves.
    pub fn choose(
        &self,
        service: &str,
        allowed_domains: &AllowedDomains,
        tried: &[IpAddr],
        tie_breaker: u64,
        crossing_ms: impl Fn(&DomainId) -> f64,
        now: BootTime,
    ) -> Option<IpAddr> {
        let may_forward = |(ip, peer): &(&IpAddr, &Peer)| {
            !tried.contains(ip)
                && allowed_domains.contains(&peer.failure_domain)
                && peer.health.admits(peer.running, now)
                && peer.stopping_until.is_none_or(|until| now >= until)
                && peer.without_path.get(service).is_none_or(|until| now >= *until)
        };
        let candidates: Vec<_> = self.known.iter().filter(may_forward).collect();
        let first = tie_breaker as usize % candidates.len().max(1);
        let (after, before) = (&candidates[first..], &candidates[..first]);
        let ordered = after.iter().chain(before);
        let cost_ms = |peer: &Peer| {
            f64::from(peer.running) * COST_PER_FORWARDED_MS + crossing_ms(&peer.failure_domain)
        };
        let best = ordered.min_by(|(_, a), (_, b)| cost_ms(a).total_cmp(&cost_ms(b)))?;
        Some(*best.0)
    }

    /// The failure domain of an entry; `None` if it is unknown.
    pub fn domain(&self, ip: IpAddr) -> Option<&DomainId> {
        self.known.get(&ip).map(|peer| &peer.failure_domain)
    }

    /// Records that a request is sent to an entry. It must be returned with `end`.
    pub fn begin(&mut self, ip: IpAddr) {
        self.update(ip, |peer| peer.running += 1);
    }

    pub fn end(&mut self, ip: IpAddr) {
        self.update(ip, |peer| peer.running = peer.running.saturating_sub(1));
    }

    /// Records that an entry answered.
    pub fn succeeded(&mut self, ip: IpAddr) {
        self.update(ip, |peer| {
            peer.health.record_reached();
            peer.health.record_success();
        });
    }

    /// Records that an entry takes no requests, since it stops.
    pub fn stopping(&mut self, ip: IpAddr, now: BootTime) {
        self.update(ip, |peer| peer.stopping_until = Some(now + STOPPING_PAUSE));
    }

    /// Records that an entry can't be reached.
    pub fn unreachable(&mut self, ip: IpAddr, now: BootTime) {
        self.update(ip, |peer| peer.health.record_unreachable(now));
    }

    /// Records that an entry did not answer, or broke off.
    pub fn failed(&mut self, ip: IpAddr, now: BootTime) {
        self.update(ip, |peer| peer.health.record_failure(FailureCause::Target, now));
    }

    /// Records that an entry reaches no target of a service.
    pub fn has_no_path(&mut self, ip: IpAddr, service: &ServiceId, now: BootTime) {
        self.update(ip, |peer| {
            peer.without_path.insert(service.clone(), now + NO_PATH_PAUSE);
        });
    }

    fn update(&mut self, ip: IpAddr, change: impl FnOnce(&mut Peer)) {
        if let Some(peer) = self.known.get_mut(&ip) {
            change(peer);
        }
    }
}
