//! What it costs to leave a failure domain, and which requests of an entry leave its own. Pure.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::time::Duration;

use super::ring::mix;
use crate::clock::BootTime;
use crate::ids::{DomainId, ServiceId};

/// Round trip added by a link between two domains, until it has been measured: the difference between
/// one-way latencies of 1.4 ms and 0.2 ms, both ways.
pub const ADDED_ROUND_TRIP_MS: f64 = 2.4;
/// Lowest added round trip. Traffic between domains costs money even if it is as fast, so home is
/// preferred if both are equally good.
const MIN_ADDED_ROUND_TRIP_MS: f64 = 1.0;
/// Connections to a domain whose opening times are kept.
const OPENING_SAMPLES: usize = 16;
/// Openings of connections to a domain needed for an estimate. The shortest of a few is close to the
/// round trip; single ones wait for the processor.
const MIN_OPENING_SAMPLES: usize = 4;
/// A gain of at least this is taken by each request at once: less than a place in the queue of a plain service after
/// the added round trip, also for the most hesitant entry. Smaller ones are within the error of old load reports. In the simulation of
/// `tests/deployment/locality.rs`, 30 ms gave longer waits, and no bound gave more traffic.
const CLEAR_GAIN_MS: f64 = 10.0;
/// The share of requests that leave for a smaller gain changes by one step in a period.
pub const SHARE_STEP: f64 = 0.125;
/// Load reports are renewed about twice a second by each entry and target, so a shorter period would
/// judge the same reports again.
const SHARE_PERIOD: Duration = Duration::from_millis(400);
/// The share rises if the mean gain of a period exceeds the first figure, falls if it is less than the
/// second, and is kept in between.
const RISE_GAIN_MS: f64 = 3.0;
const FALL_GAIN_MS: f64 = 0.0;
/// Entries differ by up to this fraction in the length of their periods and in the gains that they
/// take for clear.
const ENTRY_SPREAD: f64 = 0.2;

/// Delay that an operator accepts to save a megabyte of traffic between failure domains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BytePrice {
    /// At most `MAX_MS_PER_MB`.
    ms_per_mb: u32,
}

impl BytePrice {
    /// Highest price: a kilobyte is then worth a tenth of a second, more than any objective allows for
    /// a request body.
    pub const MAX_MS_PER_MB: u32 = 100_000;

    /// `None` if the price is out of range.
    pub fn new(ms_per_mb: u32) -> Option<BytePrice> {
        (ms_per_mb <= BytePrice::MAX_MS_PER_MB).then_some(BytePrice { ms_per_mb })
    }

    pub fn cost_ms(self, bytes: f64) -> f64 {
        f64::from(self.ms_per_mb) * bytes / 1e6
    }
}

/// Expected size of a token in the stream of a response, with the framing of its event.
const RESPONSE_BYTES_PER_TOKEN: f64 = 16.0;

/// Expected size of the response to a prompt.
pub fn response_bytes(output_tokens: u64) -> f64 {
    output_tokens as f64 * RESPONSE_BYTES_PER_TOKEN
}

/// Whether a message from one failure domain to another leaves the first. An unknown domain, which is
/// empty, is taken for the same one.
pub fn crosses(from: &str, to: &str) -> bool {
    !from.is_empty() && !to.is_empty() && from != to
}

/// Cost in milliseconds of sending a request between two failure domains whose round trip has not been
/// measured. `bytes` counts the request and its response.
pub fn crossing_cost_ms(from: &str, to: &str, bytes: f64, price: BytePrice) -> f64 {
    match crosses(from, to) {
        true => ADDED_ROUND_TRIP_MS + price.cost_ms(bytes),
        false => 0.0,
    }
}

/// The way of one request to the failure domain of its target, or of the entry that forwards it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DomainRoute {
    pub is_away: bool,
    /// Cost in milliseconds of leaving the entry's domain; 0 at home.
    pub cost_ms: f64,
    pub body_bytes: u64,
}

/// For the log.
impl fmt::Display for DomainRoute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let domain = if self.is_away { "away" } else { "home" };
        write!(f, "domain={domain} away_cost_ms={:.1}", self.cost_ms)
    }
}

/// What an entry knows of the other failure domains, and how many of its requests to each plain service
/// leave its own.
#[derive(Clone, Debug)]
pub struct Locality {
    own_domain: DomainId,
    price: BytePrice,
    /// Makes thresholds and periods differ between entries; from 1 - `ENTRY_SPREAD` to
    /// 1 + `ENTRY_SPREAD`.
    entry_factor: f64,
    /// Times in milliseconds in which the last connections to each domain opened.
    openings: BTreeMap<DomainId, VecDeque<f64>>,
    shares: HashMap<ServiceId, AwayShare>,
}

/// The share of a service's requests that leave the domain for a small gain.
#[derive(Clone, Copy, Debug)]
struct AwayShare {
    share: f64,
    period_ends: BootTime,
    /// Sum and number of the gains of this period.
    gains_ms: f64,
    requests: u32,
}

impl Locality {
    /// `seed` distinguishes the entry from others.
    pub fn new(own_domain: DomainId, price: BytePrice, seed: u64) -> Locality {
        let draw = unit_interval(mix(seed));
        Locality {
            own_domain,
            price,
            entry_factor: 1.0 + ENTRY_SPREAD * (2.0 * draw - 1.0),
            openings: BTreeMap::new(),
            shares: HashMap::new(),
        }
    }

    /// Whether a target of this domain is away from this entry.
    pub fn is_away(&self, domain: &str) -> bool {
        crosses(&self.own_domain, domain)
    }

    /// Cost in milliseconds of a request to a domain, `bytes` of request and response together; 0 in the
    /// entry's own domain.
    pub fn cost_ms(&self, domain: &str, bytes: f64) -> f64 {
        match self.is_away(domain) {
            true => self.added_round_trip_ms(domain) + self.price.cost_ms(bytes),
            false => 0.0,
        }
    }

    /// Records how long a connection to a process in a domain took to open.
    pub fn observe_opening(&mut self, domain: &DomainId, took: Duration) {
        let openings = self.openings.entry(domain.clone()).or_default();
        if openings.len() == OPENING_SAMPLES {
            openings.pop_front();
        }
        openings.push_back(took.as_secs_f64() * 1e3);
    }

    /// How much longer a round trip to a domain takes than one within the entry's own.
    fn added_round_trip_ms(&self, domain: &str) -> f64 {
        match (self.round_trip_ms(domain), self.round_trip_ms(&self.own_domain)) {
            (Some(away), Some(home)) => (away - home).max(MIN_ADDED_ROUND_TRIP_MS),
            _ => ADDED_ROUND_TRIP_MS,
        }
    }

    /// No connection opens faster than a round trip, so the shortest time is the closest.
    fn round_trip_ms(&self, domain: &str) -> Option<f64> {
        let openings = self.openings.get(domain)?;
        let is_known = openings.len() >= MIN_OPENING_SAMPLES;
        openings.iter().copied().reduce(f64::min).filter(|_| is_known)
    }

    /// Whether a request to a plain service leaves the domain, if it is expected to be answered sooner
    /// by `gain_ms` then, all costs included. `random` is a random number of the request.
    pub fn leaves(&self, service: &str, gain_ms: f64, random: u64) -> bool {
        let is_clear = gain_ms >= CLEAR_GAIN_MS * self.entry_factor;
        is_clear || gain_ms > 0.0 && unit_interval(mix(!random)) < self.share(service)
    }

    /// The share of the requests to a service that leave the domain for a small gain.
    pub fn share(&self, service: &str) -> f64 {
        self.shares.get(service).map_or(0.0, |known| known.share)
    }

    /// Records the gain that leaving would have brought, or brought, to a request.
    pub fn record_gain(&mut self, service: &ServiceId, gain_ms: f64, now: BootTime) {
        let period = SHARE_PERIOD.mul_f64(self.entry_factor);
        let known = self.shares.entry(service.clone()).or_insert(AwayShare {
            share: 0.0,
            period_ends: now + period,
            gains_ms: 0.0,
            requests: 0,
        });
        if now >= known.period_ends {
            let mean_ms = known.gains_ms / f64::from(known.requests.max(1));
            if mean_ms > RISE_GAIN_MS {
                known.share = (known.share + SHARE_STEP).min(1.0);
            } else if mean_ms < FALL_GAIN_MS {
                known.share = (known.share - SHARE_STEP).max(0.0);
            }
            *known = AwayShare { period_ends: now + period, gains_ms: 0.0, requests: 0, ..*known };
        }
        // One request that would wait very long must not outweigh all others.
        known.gains_ms += gain_ms.clamp(-CLEAR_GAIN_MS, CLEAR_GAIN_MS);
        known.requests += 1;
    }
}

/// Maps a random number to [0, 1).
fn unit_interval(random: u64) -> f64 {
    (random >> 11) as f64 / (1_u64 << 53) as f64
}
