//! Where a kept part can be fetched from: stores that have it whole, and engines that have read it.

use std::net::SocketAddr;
use std::time::Duration;

use super::engine::Engine;
use super::engine_cache::PartKey;
use super::link::Link;
use super::store::Store;
use crate::clock::BootTime;
use crate::fleet::Presence;

/// A transfer takes this many times as long between failure domains.
const CROSS_DOMAIN_FACTOR: f64 = 2.0;
/// Of the engines that hold a part, this many are looked at, those whose links are free soonest: more
/// would rarely be sooner, and each is looked at for each engine that may take the prompt.
const MAX_ENGINE_SOURCES: usize = 4;

/// A place from which a part can be fetched.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Its address.
    pub address: SocketAddr,
    failure_domain: &'a str,
    link: &'a Link,
    first_byte: Duration,
}

/// How long a transfer takes.
#[derive(Clone, Copy, Debug)]
pub struct TransferEstimate {
    /// How long it waits for others.
    pub queue_delay: Duration,
    /// How long it takes then.
    pub duration: Duration,
}

impl<'a> Source<'a> {
    fn store(store: &'a Store) -> Source<'a> {
        Source {
            address: store.traits.address,
            failure_domain: &store.traits.failure_domain,
            link: &store.link,
            first_byte: store.traits.first_byte,
        }
    }

    fn engine(engine: &'a Engine) -> Source<'a> {
        Source {
            address: engine.listed.address,
            failure_domain: &engine.listed.failure_domain,
            link: &engine.link,
            first_byte: Duration::ZERO,
        }
    }

    /// How long a transfer to an engine takes.
    pub fn estimate(&self, size_bytes: f64, to: &Engine, now: BootTime) -> TransferEstimate {
        let domain_factor = domain_factor(self.failure_domain, &to.listed.failure_domain);
        let queue_delay = self.link.queue_delay(now).max(to.link.queue_delay(now));
        let at_source = self.link.transfer_time(size_bytes, domain_factor, now);
        let transfer = at_source.max(to.link.transfer_time(size_bytes, domain_factor, now));
        TransferEstimate { queue_delay, duration: self.first_byte + transfer }
    }
}

/// All places from which a part can be fetched.
///
/// Engines are used as well as stores: their links together carry many times what the stores' links do,
/// and their memories outlive the loss of a store.
pub fn sources<'a>(
    key: PartKey,
    stores: impl Iterator<Item = &'a Store>,
    engines: impl Iterator<Item = &'a Engine>,
    now: BootTime,
) -> Vec<Source<'a>> {
    let mut holders: Vec<&Engine> =
        engines.filter(|engine| engine.cache.is_computed(key) && is_fetchable(engine)).collect();
    holders.sort_by_key(|engine| engine.link.queue_delay(now));
    let engines = holders.into_iter().take(MAX_ENGINE_SOURCES).map(Source::engine);
    stores.filter(|store| store.is_complete(key)).map(Source::store).chain(engines).collect()
}

/// How many times as long a transfer takes as within a failure domain.
pub fn domain_factor(from_domain: &str, to_domain: &str) -> f64 {
    if from_domain == to_domain { 1.0 } else { CROSS_DOMAIN_FACTOR }
}

/// Whether other engines may fetch from an engine: one that can't be reached costs them some hundred
/// milliseconds.
fn is_fetchable(engine: &Engine) -> bool {
    engine.listed.presence == Presence::Live && !engine.health.is_suspect()
}
