//! How an engine would get at a prompt, and what that costs.

use std::net::SocketAddr;
use std::time::Duration;

use super::engine::Engine;
use super::memory::PartKey;
use super::messages::{DecisionTrace, NotFetched, PlacementRequest, ReadAgain};
use super::pace::Pace;
use super::source::{Source, Transfer, sources};
use super::store::{Store, part_key};
use crate::clock::BootTime;
use crate::deployment::EngineSpec;

/// What a prompt that an engine already runs delays the next one, beside what it must still read.
const DELAY_PER_RUNNING_MS: f64 = 2.0;
/// What a request that was not placed here delays the next one: a mean prompt of 3,600 tokens.
const DELAY_PER_OTHER_MS: f64 = 25.0;
/// Reading tokens again that are kept somewhere else costs this much beside the time that it takes:
/// operators weigh work that is thrown away.
const READ_AGAIN_MS_PER_TOKEN: f64 = 0.03;
/// A fetch costs this much for each millisecond that it keeps its links from others, beside its own time:
/// fetches between failure domains keep them twice as long, and where links are full what can't be fetched
/// is read again.
const LINK_TIME_WEIGHT: f64 = 0.5;
/// Running prompts take at most this part of an engine's memory: beyond it they push each other
/// out, and what was read must be read again.
const MEMORY_PART: f64 = 0.9;
/// A fetch that would take longer is not worth waiting for: it would not be started.
const LONGEST_FETCH: Duration = Duration::from_millis(1_000);
/// Nor is one that would take more than this part of the prompt's objective.
const FETCH_PART: f64 = 0.6;

/// A prompt as all engines with the same weights see it: worked out once, looked at for each.
pub struct RequiredPrefix<'a> {
    ask: &'a PlacementRequest,
    /// The text under which its parts are kept. Other weights make other parts.
    pub salt: String,
    /// Its parts.
    pub keys: Vec<PartKey>,
    /// How many parts, from the first on, others share.
    pub shared: usize,
    /// Where each shared part can be fetched from.
    sources: Vec<Vec<Source<'a>>>,
    /// Whether some engine has read each shared part, or reads it: its tokens are thrown away if another
    /// one reads it again.
    was_read: Vec<bool>,
}

/// How an engine would get at a prompt.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// What speaks against it, in milliseconds.
    pub cost_ms: f64,
    /// How long the fetch takes.
    pub fetch_ms: f64,
    /// What follows the fetch until the first part of the answer.
    pub rest_ms: f64,
    /// How long the engine is busy with others.
    pub ahead_ms: f64,
    /// How many parts, from the first on, are probably resident.
    pub resident: usize,
    /// Where parts are fetched from.
    pub fetch: Vec<Option<SocketAddr>>,
    /// What the decision rests on.
    pub trace: DecisionTrace,
}

/// How many parts others share: all but the last, which belongs to the request itself.
pub fn shared_count(ask: &PlacementRequest) -> usize {
    match ask.parts.len() {
        0 | 1 => ask.parts.len(),
        count => count - 1,
    }
}

impl<'a> RequiredPrefix<'a> {
    /// Works out what all engines with these weights have in common. Without `may_fetch`, nothing is
    /// fetched.
    pub fn new(
        ask: &'a PlacementRequest,
        weight_version: Option<u64>,
        stores: impl Iterator<Item = &'a Store> + Clone,
        engines: impl Iterator<Item = &'a Engine> + Clone,
        may_fetch: bool,
        now: BootTime,
    ) -> RequiredPrefix<'a> {
        let salt = format!("{}/{}/{}", ask.wall, ask.model, weight_version.unwrap_or_default());
        let keys: Vec<PartKey> = ask.parts.iter().map(|part| part_key(&salt, &part.id)).collect();
        let shared = shared_count(ask);
        let found = |key: &PartKey| match may_fetch {
            true => sources(*key, stores.clone(), engines.clone(), now),
            false => Vec::new(),
        };
        let was_read = |key: &PartKey| {
            stores.clone().any(|store| store.knows(*key))
                || engines.clone().any(|engine| engine.memory.holds(*key))
        };
        let (sources, was_read) = (
            keys[..shared].iter().map(found).collect(),
            keys[..shared].iter().map(was_read).collect(),
        );
        RequiredPrefix { ask, salt, keys, shared, sources, was_read }
    }

    /// How an engine would get at it; `None` if the engine has no room.
    pub fn candidate(
        &self,
        engine: &Engine,
        traits: &EngineSpec,
        pace: &Pace,
        now: BootTime,
    ) -> Option<Candidate> {
        let ask = self.ask;
        let resident = self.keys.iter().take_while(|key| engine.memory.holds(**key)).count();
        let resident_tokens = ask.parts[..resident].iter().map(|part| part.tokens).sum::<u64>();
        if !has_room(engine, ask.prompt_tokens - resident_tokens.min(ask.prompt_tokens), ask) {
            return None;
        }
        let mut fetch = vec![None; ask.parts.len()];
        let mut fetched_tokens = 0;
        let (mut fetch_ms, mut link_ms): (f64, f64) = (0.0, 0.0);
        for (at, fetched) in fetch.iter_mut().enumerate().take(self.shared) {
            let found = self.nearest(at, engine, traits, now);
            // What is resident is named too: it may have been pushed out without our knowing, and
            // an engine fetches only what it lacks.
            *fetched = found.map(|(store, _)| store);
            match found {
                _ if at < resident => {}
                Some((_, found)) => {
                    fetched_tokens += ask.parts[at].tokens;
                    fetch_ms = fetch_ms.max(millis(found.queue + found.transfer));
                    link_ms += millis(found.transfer);
                }
                // A part is of use only after all before it.
                None => break,
            }
        }
        let again: Vec<usize> = (resident.min(self.shared)..self.shared)
            .filter(|at| fetch[*at].is_none() && self.was_read[*at])
            .collect();
        let (mut read_again, mut again_tokens) = (ReadAgain::default(), 0);
        for at in again {
            let tokens = ask.parts[at].tokens;
            again_tokens += tokens;
            *read_again.reason(self.why_not_fetched(at, engine, now)) += tokens;
        }
        let read_tokens = ask.prompt_tokens.saturating_sub(resident_tokens + fetched_tokens);
        let ahead_ms = millis(engine.reads_for(now))
            + f64::from(engine.placed()) * DELAY_PER_RUNNING_MS
            + engine.others(now) * DELAY_PER_OTHER_MS;
        let rest_ms = millis(pace.reading(read_tokens)) + millis(pace.base());
        let expected_ms = ahead_ms.max(fetch_ms) + rest_ms;
        let cost_ms = expected_ms
            + again_tokens as f64 * READ_AGAIN_MS_PER_TOKEN
            + link_ms * LINK_TIME_WEIGHT;
        let trace = DecisionTrace {
            running: engine.placed(),
            ahead_ms: ahead_ms as u32,
            resident_tokens,
            fetched_tokens,
            read_again,
            expected_ms: expected_ms as u32,
            waited_ms: 0,
        };
        Some(Candidate { cost_ms, fetch_ms, rest_ms, ahead_ms, resident, fetch, trace })
    }

    /// From where a part comes soonest, and how long that takes.
    fn nearest(
        &self,
        at: usize,
        engine: &Engine,
        traits: &EngineSpec,
        now: BootTime,
    ) -> Option<(SocketAddr, Transfer)> {
        let size_bytes = (self.ask.parts[at].tokens * traits.token_bytes) as f64;
        let ways = self
            .sources_for(at, engine)
            .map(|source| (source.address, source.transfer(size_bytes, engine, now)));
        let longest = self.longest_fetch();
        let takes = |transfer: &Transfer| transfer.queue + transfer.transfer;
        ways.filter(|(_, way)| takes(way) <= longest).min_by_key(|(_, way)| takes(way))
    }

    /// Why a part is read again that could be fetched from nowhere in time.
    fn why_not_fetched(&self, at: usize, engine: &Engine, now: BootTime) -> NotFetched {
        let queues =
            self.sources_for(at, engine).map(|source| source.transfer(0.0, engine, now).queue);
        match queues.min() {
            None => NotFetched::NowhereWhole,
            Some(queue) if queue > self.longest_fetch() / 2 => NotFetched::LinkFull,
            Some(_) => NotFetched::LinkSlow,
        }
    }

    fn sources_for<'s>(
        &'s self,
        at: usize,
        engine: &'s Engine,
    ) -> impl Iterator<Item = &'s Source<'a>> {
        // What it holds itself is of no use to it after a part that it lacks.
        self.sources[at].iter().filter(|source| source.address != engine.listed.address)
    }

    fn longest_fetch(&self) -> Duration {
        let most = self.ask.objective.mul_f64(FETCH_PART);
        match self.ask.waited < most {
            true => most.min(LONGEST_FETCH),
            // It can't be on time, or need not be: better late than read again while engines have most
            // to do for others.
            false => LONGEST_FETCH,
        }
    }
}

fn has_room(engine: &Engine, new_tokens: u64, ask: &PlacementRequest) -> bool {
    let room = (engine.capacity_tokens as f64 * MEMORY_PART) as u64;
    let has_slot = engine.listed.slots == 0 || engine.placed() < engine.listed.slots;
    let fits = engine.busy_tokens() + new_tokens + ask.output_tokens <= room;
    // What is too large for any engine's rest gets an engine of its own.
    has_slot && (fits || engine.placed() == 0)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
