//! The scheduler's model of one engine: its load, prefill backlog and KV cache.

mod reports;

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::engine_cache::{EngineCache, PartKey};
use super::link::Link;
use super::messages::TicketId;
use super::prefill::PrefillEstimator;
use crate::clock::BootTime;
use crate::fleet::brittle::Brittleness;
use crate::fleet::cold::Coldness;
use crate::fleet::rate::{NamedLimit, Pacer};
use crate::fleet::speed::{Measurement, TargetSpeed};
use crate::fleet::{Listed, Presence};
use crate::gateway::metadata::TargetLoad;
use crate::route::health::Health;

/// Connections that break within this time were broken by the same event. Covers the delay until
/// entries report them.
const CRASH_WINDOW: Duration = Duration::from_millis(100);
/// Fraction of a prefill's timing error that is applied to the expected end of the backlog.
const DRIFT_CORRECTION: f64 = 0.5;
/// Running prompts that a new prompt's own work counts for when engines are ordered by load: the prefill
/// of a mean prompt, 25 to 50 ms, is as long as 16 running prompts delay it.
const OWN_WORK_PROMPTS: f64 = 16.0;
/// Part of the longest pause within a stream that is left to the network and the entry, and the most that
/// they take.
const PAUSE_MARGIN: (f64, Duration) = (0.25, Duration::from_millis(200));
/// Shortest prefill whose time is learned from two successive first tokens. Times of reports vary by
/// some milliseconds.
const MIN_MEASURED_PREFILL: Duration = Duration::from_millis(10);

#[derive(Clone, Debug)]
pub struct Engine {
    /// Its latest entry in the roster.
    pub listed: Arc<Listed>,
    /// Latest known version of the weights that it runs.
    pub weight_version: Option<u64>,
    /// Expected contents of its KV cache.
    pub cache: EngineCache,
    pub health: Health,
    /// Capacity of its KV cache.
    pub capacity_tokens: u64,
    /// Link over which it fetches parts and serves other engines.
    pub link: Link,
    /// Expected end of the prefill backlog, assuming that prompts are prefilled one after another.
    prefill_free_at: BootTime,
    speed: TargetSpeed,
    /// The time factor for which the backlog was computed.
    backlog_factor: f64,
    /// How many times as long as on other engines of the service work took here when this was last
    /// determined.
    relative_factor: f64,
    /// When a prefill was last reported to have ended.
    prefill_ended_at: BootTime,
    /// Accumulated correction of expected prefill times.
    drift_ms: f64,
    running: FxHashMap<TicketId, RunningPrompt>,
    /// When a prompt was last placed here.
    placed_at: BootTime,
    /// Number of running streams by the longest pause that the engine may make in them.
    streams: BTreeMap<Duration, u32>,
    /// Output tokens reserved for running prompts.
    reserved_output_tokens: u64,
    reported_load: Option<(u32, BootTime)>,
    pub coldness: Coldness,
    /// When an entry last reported an answer.
    answered_at: Option<BootTime>,
    /// When a connection last broke before the end of an answer.
    connection_lost_at: Option<BootTime>,
    /// The rate limit that its answers name.
    pub named_limit: NamedLimit,
    pub brittleness: Brittleness,
    /// Spaces the prompts placed on it while it is limited.
    pub pacer: Pacer,
}

/// What a prompt demands of an engine.
#[derive(Clone, Debug)]
pub struct PromptLoad {
    /// Cache keys of its parts.
    pub parts: Vec<PartKey>,
    pub prefill_tokens: u64,
    /// Most tokens that it may generate.
    pub output_tokens: u64,
    /// Expected duration of the fetches that precede its prefill.
    pub fetch_time: Duration,
    /// Longest time between two events of its stream that is on time.
    pub max_event_gap: Option<Duration>,
}

impl PromptLoad {
    /// Longest pause that the engine may make in its stream.
    fn longest_pause(&self) -> Option<Duration> {
        let (fraction, most) = PAUSE_MARGIN;
        self.max_event_gap.map(|gap| gap - gap.mul_f64(fraction).min(most))
    }
}

#[derive(Clone, Debug)]
struct RunningPrompt {
    load: PromptLoad,
    since: BootTime,
    /// Expected timing of its prefill; `None` once that has ended.
    prefill: Option<PendingPrefill>,
}

#[derive(Clone, Copy, Debug)]
struct PendingPrefill {
    duration: Duration,
    ends_at: BootTime,
    /// The engine's `drift_ms` when `ends_at` was computed.
    drift_ms: f64,
    begins: PrefillStart,
    /// The engine's figure when the prompt was placed, if it was known.
    figure: Option<f64>,
}

/// What a prompt finds on its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PrefillStart {
    /// Nothing.
    Idle,
    /// Only prompts that have been prefilled, so its prefill begins at once.
    Free,
    /// Prompts that are prefilled before it, or it has to wait for its parts.
    Queued,
}

/// How long the prefill of one prompt took, if the engine did nothing else.
struct MeasuredPrefill {
    tokens: u64,
    took: Duration,
    /// If the prompt was queued, this is the time since the first token of the prompt before it,
    /// otherwise the time to its first token.
    begins: PrefillStart,
    figure: Option<f64>,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(
        listed: Arc<Listed>,
        weight_version: Option<u64>,
        capacity_tokens: u64,
        link_mbps: f64,
    ) -> Engine {
        Engine {
            coldness: Coldness::listed(listed.is_cold),
            listed,
            weight_version,
            cache: EngineCache::new(capacity_tokens),
            health: Health::default(),
            capacity_tokens,
            link: Link::new(link_mbps),
            prefill_free_at: BootTime::ZERO,
            speed: TargetSpeed::default(),
            backlog_factor: 1.0,
            relative_factor: 1.0,
            prefill_ended_at: BootTime::ZERO,
            drift_ms: 0.0,
            running: FxHashMap::default(),
            placed_at: BootTime::ZERO,
            streams: BTreeMap::new(),
            reserved_output_tokens: 0,
            reported_load: None,
            answered_at: None,
            connection_lost_at: None,
            named_limit: NamedLimit::default(),
            brittleness: Brittleness::default(),
            pacer: Pacer::default(),
        }
    }

    pub fn relist(&mut self, listed: Arc<Listed>) {
        self.coldness.set_listed(listed.is_cold);
        let version = listed.weights.values().next().copied();
        self.listed = listed;
        // The roster lags: it may name older weights than the engine has already reported.
        if version > self.weight_version {
            self.set_weights(version);
        }
    }

    /// Takes the engine for leaving until it is listed anew.
    pub fn mark_leaving(&mut self) {
        Arc::make_mut(&mut self.listed).presence = Presence::Leaving;
    }

    /// Sets the weight version. A new version invalidates the cache.
    pub fn set_weights(&mut self, version: Option<u64>) {
        if version.is_some() && self.weight_version != version {
            self.weight_version = version;
            self.cache.clear();
        }
    }

    /// Expected end of the prefill backlog.
    pub fn prefill_free_at(&self) -> BootTime {
        self.prefill_free_at
    }

    /// Time until all placed prompts are prefilled.
    pub fn prefill_backlog(&self, now: BootTime) -> Duration {
        self.prefill_free_at.saturating_sub(now)
    }

    /// Starts a prompt.
    pub fn begin(
        &mut self,
        ticket: TicketId,
        load: PromptLoad,
        estimator: &PrefillEstimator,
        now: BootTime,
    ) {
        self.rescale_backlog(estimator, now);
        let duration =
            estimator.prefill_time(load.prefill_tokens).mul_f64(self.time_factor(estimator, now));
        let begins = self.next_prefill_start(load.fetch_time, now);
        // Earlier prompts are prefilled during the fetch.
        let ends_at = self.prefill_free_at.max(now + load.fetch_time) + duration;
        self.prefill_free_at = self.prefill_free_at.max(now) + duration;
        let drift_ms = self.drift_ms;
        let figure = self.speed.known_figure(&estimator.speed, now);
        let prefill = PendingPrefill { duration, ends_at, drift_ms, begins, figure };
        self.reserved_output_tokens += load.output_tokens;
        self.placed_at = now;
        self.running.insert(ticket, RunningPrompt { load, since: now, prefill: Some(prefill) });
    }

    /// Records the first token of a prompt: its parts are resident, its timing corrects the estimates,
    /// and the load that the engine reports with it is in force.
    pub fn first_token(
        &mut self,
        ticket: TicketId,
        load: Option<TargetLoad>,
        estimator: &mut PrefillEstimator,
        now: BootTime,
    ) {
        // The work until now was done before the report, and the rest is done after it.
        let measured = self.end_prefill(ticket, estimator, now);
        if let Some(load) = load {
            self.observe_load(load, estimator, now);
        }
        if let Some(measured) = measured {
            self.learn(&measured, estimator, now);
        }
        self.rescale_backlog(estimator, now);
        self.update_relative_factor(estimator, now);
    }

    /// Determines its place among engines anew. Must be called once its figure has lost its value.
    pub fn update_relative_factor(&mut self, estimator: &PrefillEstimator, now: BootTime) {
        self.relative_factor = self.time_factor(estimator, now) / estimator.speed.mean();
    }

    /// Whether it is ordered after others with as many running prompts.
    pub fn is_rated_slow(&self) -> bool {
        self.load_level() > self.active_placements()
    }

    /// Number of prompts that an engine of usual speed would run for a new prompt to have the same
    /// prospects there.
    pub fn load_level(&self) -> u32 {
        let level = (f64::from(self.active_placements()) + OWN_WORK_PROMPTS) * self.relative_factor;
        (level - OWN_WORK_PROMPTS).max(0.0).round() as u32
    }

    fn next_prefill_start(&self, fetch_time: Duration, now: BootTime) -> PrefillStart {
        if !fetch_time.is_zero() || self.other_requests(now) >= 0.5 {
            return PrefillStart::Queued;
        }
        match self.running.values().any(|running| running.prefill.is_some()) {
            true => PrefillStart::Queued,
            false if self.running.is_empty() => PrefillStart::Idle,
            false => PrefillStart::Free,
        }
    }

    fn end_prefill(
        &mut self,
        ticket: TicketId,
        estimator: &PrefillEstimator,
        now: BootTime,
    ) -> Option<MeasuredPrefill> {
        let running = self.running.get_mut(&ticket)?;
        let prefill = running.prefill.take()?;
        running.load.parts.iter().for_each(|key| self.cache.mark_computed(*key));
        if let Some(pause) = running.load.longest_pause() {
            *self.streams.entry(pause).or_default() += 1;
        }
        let base_latency = estimator.base_latency().mul_f64(self.backlog_factor);
        // The prefill before it ended earlier than its first token was reported, and the engine may
        // have been idle in between.
        let is_behind_another = running.since + base_latency <= self.prefill_ended_at
            && running.load.fetch_time.is_zero();
        let begins = prefill.begins;
        let began_at = match begins {
            PrefillStart::Queued => self.prefill_ended_at,
            PrefillStart::Idle | PrefillStart::Free => running.since,
        };
        let measured = MeasuredPrefill {
            tokens: running.load.prefill_tokens,
            took: now.saturating_sub(began_at),
            begins,
            figure: prefill.figure,
        };
        self.prefill_ended_at = now;
        let expected_ms = (prefill.ends_at + base_latency).as_secs_f64() * 1e3
            + (self.drift_ms - prefill.drift_ms);
        self.add_drift((now.as_secs_f64() * 1e3 - expected_ms) * DRIFT_CORRECTION, now);
        (begins != PrefillStart::Queued || is_behind_another).then_some(measured)
    }

    fn learn(
        &mut self,
        measured: &MeasuredPrefill,
        estimator: &mut PrefillEstimator,
        now: BootTime,
    ) {
        if self.speed.has_changed_since(measured.figure) {
            return;
        }
        let MeasuredPrefill { tokens, took, begins, .. } = *measured;
        let prefill_time = estimator.prefill_time(tokens);
        let (measurement, expected) = match begins {
            PrefillStart::Idle | PrefillStart::Free => {
                (Measurement::Response, prefill_time + estimator.base_latency())
            }
            PrefillStart::Queued if prefill_time < MIN_MEASURED_PREFILL => return,
            PrefillStart::Queued => (Measurement::Interval, prefill_time),
        };
        let factor = self.time_factor(estimator, now);
        self.speed.observe_work(measurement, expected, took, &mut estimator.speed, now);
        if begins == PrefillStart::Idle {
            estimator.observe(tokens, took.div_f64(factor));
        }
    }

    /// How many times as long as usual for the service work takes here.
    pub fn time_factor(&self, estimator: &PrefillEstimator, now: BootTime) -> f64 {
        self.speed.time_factor(&estimator.speed, now)
    }

    /// Adapts the rest of the backlog to the present time factor.
    fn rescale_backlog(&mut self, estimator: &PrefillEstimator, now: BootTime) {
        let factor = self.time_factor(estimator, now);
        let ratio = factor / self.backlog_factor;
        self.backlog_factor = factor;
        self.prefill_free_at = rescaled_time(self.prefill_free_at, ratio, now);
        for prefill in self.running.values_mut().filter_map(|running| running.prefill.as_mut()) {
            prefill.duration = prefill.duration.mul_f64(ratio);
            // Late prompts keep their expected end, so that their delay is known when they end.
            prefill.ends_at = rescaled_time(prefill.ends_at, ratio, now);
        }
    }

    /// Ends a prompt. Parts that were not prefilled are not resident.
    pub fn end(&mut self, ticket: TicketId, now: BootTime) {
        let Some(running) = self.running.remove(&ticket) else { return };
        self.reserved_output_tokens -= running.load.output_tokens;
        if running.prefill.is_none() {
            running.load.longest_pause().iter().for_each(|pause| self.remove_stream(pause));
        }
        for key in &running.load.parts {
            self.cache.release(*key);
            if running.prefill.is_some() {
                self.cache.discard(*key);
            }
        }
        if let Some(prefill) = running.prefill {
            let remaining = prefill.ends_at.saturating_sub(now).min(prefill.duration);
            self.prefill_free_at = self.prefill_free_at.saturating_sub(remaining).max(now);
        }
    }

    fn remove_stream(&mut self, longest_pause: &Duration) {
        let Some(count) = self.streams.get_mut(longest_pause) else { return };
        *count -= 1;
        if *count == 0 {
            self.streams.remove(longest_pause);
        }
    }

    /// Number of running streams that a pause makes late but a shorter one does not.
    pub fn streams_delayed(&self, shorter: Duration, pause: Duration) -> u32 {
        if pause <= shorter {
            return 0;
        }
        let range = (Bound::Included(shorter), Bound::Excluded(pause));
        self.streams.range(range).map(|(_, count)| count).sum()
    }

    /// Records that a connection broke. Returns whether the engine may have crashed: that breaks all
    /// its connections at once, while a lost answer breaks only one.
    pub fn connection_lost(&mut self, now: BootTime) -> bool {
        let before = self.connection_lost_at.replace(now);
        let is_another = before.is_some_and(|at| now.saturating_sub(at) <= CRASH_WINDOW);
        is_another || self.running.is_empty()
    }

    /// Number of prompts placed here that have not ended.
    pub fn active_placements(&self) -> u32 {
        self.running.len() as u32
    }

    /// KV cache tokens that running prompts use or may still use.
    pub fn committed_tokens(&self) -> u64 {
        self.cache.in_use_tokens() + self.reserved_output_tokens
    }

    /// Time that the prompts placed here which are not known to be prefilled take from now on.
    fn pending_prefill_time(&self) -> Duration {
        let pending = self.running.values().filter_map(|running| running.prefill.as_ref());
        pending.map(|prefill| prefill.duration).sum()
    }

    fn add_drift(&mut self, by_ms: f64, now: BootTime) {
        self.drift_ms += by_ms;
        let by = Duration::from_secs_f64(by_ms.abs() / 1e3);
        self.prefill_free_at = match by_ms >= 0.0 {
            true => {
                // An engine that was silent is late by all of its silence, but has no more work than before.
                let latest = self.prefill_free_at.max(now + self.pending_prefill_time());
                (self.prefill_free_at.max(now) + by).min(latest)
            }
            false => self.prefill_free_at.saturating_sub(by),
        };
    }
}

/// Multiplies the time from `now` to a later time; an earlier time is unchanged.
fn rescaled_time(at: BootTime, ratio: f64, now: BootTime) -> BootTime {
    match at.checked_sub(now) {
        Some(left) => now + left.mul_f64(ratio),
        None => at,
    }
}
