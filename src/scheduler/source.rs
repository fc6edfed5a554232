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
const OTHER_DOMAIN: f64 = 2.0;
/// Of the engines that hold a part, this many are looked at, those whose links are free soonest: more
/// would rarely be sooner, and each is looked at for each engine that may take the prompt.
const ENGINES_AT_MOST: usize = 4;

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
pub struct Transfer {
    /// How long it waits for others.
    pub queue: Duration,
    /// How long it takes then.
    pub transfer: Duration,
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
    pub fn transfer(&self, size_bytes: f64, to: &Engine, now: BootTime) -> Transfer {
        let distance = distance(self.failure_domain, &to.listed.failure_domain);
        let queue = self.link.queue(now).max(to.link.queue(now));
        let at_source = self.link.transfer(size_bytes, distance, now);
        let transfer = at_source.max(to.link.transfer(size_bytes, distance, now));
        Transfer { queue, transfer: self.first_byte + transfer }
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
    let mut having: Vec<&Engine> =
        engines.filter(|engine| engine.cache.is_computed(key) && is_fetchable(engine)).collect();
    having.sort_by_key(|engine| engine.link.queue(now));
    let engines = having.into_iter().take(ENGINES_AT_MOST).map(Source::engine);
    stores.filter(|store| store.is_whole(key)).map(Source::store).chain(engines).collect()
}

/// How many times as long a transfer takes as within a failure domain.
pub fn distance(from_domain: &str, to_domain: &str) -> f64 {
    if from_domain == to_domain { 1.0 } else { OTHER_DOMAIN }
}

/// Whether other engines may fetch from an engine: one that can't be reached costs them some hundred
/// milliseconds.
fn is_fetchable(engine: &Engine) -> bool {
    engine.listed.presence == Presence::Live && !engine.health.is_suspect()
}
