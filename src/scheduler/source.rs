//! Sources of cached parts: stores that hold them completely, and engines that have computed them.

use std::net::SocketAddr;
use std::time::Duration;

use super::engine::Engine;
use super::engine_cache::PartKey;
use super::engines::{EngineNumber, Engines};
use super::link::Link;
use super::messages::PlacementRequest;
use super::store::Store;
use crate::clock::BootTime;
use crate::fleet::Presence;
use crate::fleet::locality::{self, BytePrice};
use crate::fleet::regions::AllowedDomains;

/// Transfers between failure domains take this many times as long.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// Number of engines considered as sources of a part, those with the least busy links first. Each
/// source is evaluated for each candidate engine, and more would rarely be faster.
const MAX_ENGINE_SOURCES: usize = 4;
/// Number of holders of a part among which these are chosen.
const MAX_HOLDERS: usize = 64;

/// A store or engine from which a part can be fetched.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    pub address: SocketAddr,
    failure_domain: &'a str,
    link: &'a Link,
    first_byte: Duration,
    /// Price of transfers between failure domains.
    price: BytePrice,
}

/// Expected timing of a transfer.
#[derive(Clone, Copy, Debug)]
pub struct TransferEstimate {
    /// Time until earlier transfers on the links have ended.
    pub queue_delay: Duration,
    /// Duration of the transfer itself.
    pub duration: Duration,
    /// Delay that the operator would accept to avoid its traffic between failure domains.
    pub price: Duration,
}

impl TransferEstimate {
    /// Time until the transfer has ended.
    pub fn total_time(&self) -> Duration {
        self.queue_delay + self.duration
    }
}

impl<'a> Source<'a> {
    fn store(store: &'a Store, price: BytePrice) -> Source<'a> {
        Source {
            address: store.spec.address,
            failure_domain: &store.spec.failure_domain,
            link: &store.link,
            first_byte: store.spec.first_byte,
            price,
        }
    }

    fn engine(engine: &'a Engine, price: BytePrice) -> Source<'a> {
        Source {
            address: engine.listed.address,
            failure_domain: &engine.listed.failure_domain,
            link: &engine.link,
            first_byte: Duration::ZERO,
            price,
        }
    }

    /// Estimates a transfer to an engine.
    pub fn estimate(&self, size_bytes: f64, to: &Engine, now: BootTime) -> TransferEstimate {
        let to_domain = &to.listed.failure_domain;
        let domain_factor = domain_factor(self.failure_domain, to_domain);
        let queue_delay = self.link.queue_delay(now).max(to.link.queue_delay(now));
        let at_source = self.link.transfer_time(size_bytes, domain_factor, now);
        let transfer = at_source.max(to.link.transfer_time(size_bytes, domain_factor, now));
        let price_ms = match self.failure_domain == to_domain {
            true => 0.0,
            false => self.price.cost_ms(size_bytes),
        };
        let price = Duration::from_secs_f64(price_ms / 1e3);
        TransferEstimate { queue_delay, duration: self.first_byte + transfer, price }
    }
}

/// Sources of a part in the allowed failure domains: all stores that hold it, and some engines from
/// the engine number `from` on.
///
/// Engines serve as sources, too: together their links have many times the bandwidth of the
/// stores', and their caches outlive the loss of a store.
pub fn sources<'a>(
    key: PartKey,
    allowed_domains: &AllowedDomains,
    stores: impl Iterator<Item = &'a Store>,
    engines: &'a Engines,
    from: EngineNumber,
    price: BytePrice,
    now: BootTime,
) -> Vec<Source<'a>> {
    let holders = engines.holders(key, from).take(MAX_HOLDERS);
    let mut holders: Vec<&Engine> = holders
        .filter_map(|number| engines.get(number))
        .filter(|engine| engine.cache.is_computed(key) && is_fetchable(engine))
        .filter(|engine| allowed_domains.contains(&engine.listed.failure_domain))
        .collect();
    holders.sort_by_key(|engine| engine.link.queue_delay(now));
    let engines = holders.into_iter().take(MAX_ENGINE_SOURCES);
    let engines = engines.map(|engine| Source::engine(engine, price));
    let stores = stores.filter(|store| {
        store.is_complete(key) && allowed_domains.contains(&store.spec.failure_domain)
    });
    stores.map(|store| Source::store(store, price)).chain(engines).collect()
}

/// Cost in milliseconds of running a prompt in another failure domain than that of its entry; 0 if it
/// is the same or unknown.
pub fn crossing_cost_ms(request: &PlacementRequest, domain: &str, price: BytePrice) -> f64 {
    let bytes = request.body_bytes as f64 + locality::response_bytes(request.output_tokens);
    locality::crossing_cost_ms(&request.entry_domain, domain, bytes, price)
}

/// Factor on transfer times between two failure domains; 1 within a domain.
pub fn domain_factor(from_domain: &str, to_domain: &str) -> f64 {
    if from_domain == to_domain { 1.0 } else { CROSS_DOMAIN_FACTOR }
}

/// Whether other engines may fetch from an engine. Trying to reach one that is down costs some
/// hundred milliseconds.
fn is_fetchable(engine: &Engine) -> bool {
    engine.listed.presence == Presence::Live && !engine.health.is_unhealthy()
}
