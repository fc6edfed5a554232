//! How fast the engines of a service read, learned from prompts that found an idle engine.

use std::time::Duration;

/// What is assumed of an engine before anything was measured: the slower one of the deployed kinds.
const INITIAL_MS_PER_TOKEN: f64 = 1.0 / 92.0;
/// The same for the time that passes before and after reading.
const INITIAL_BASE_MS: f64 = 40.0;
/// What is assumed counts as this many measurements.
const INITIAL_WEIGHT: f64 = 20.0;
/// Lengths that the assumption stands for, in tokens.
const INITIAL_TOKENS: [f64; 2] = [200.0, 6_000.0];
/// Each measurement lowers the weight of earlier ones by this factor: about 400 count.
const DECAY: f64 = 0.9975;
/// A time that is this many times as long as expected is rarely the engine's estimator: the engine was not
/// idle after all, or did something else.
const OUTLIER_RATIO: f64 = 1.6;
/// What such a measurement counts for, and then only as the longest time that is not outlier_from. An
/// engine that is slow for good is learned all the same, step by step.
const OUTLIER_WEIGHT: f64 = 0.2;
/// Slowest and fastest reading that is believed.
const MS_PER_TOKEN_RANGE: std::ops::RangeInclusive<f64> = 1.0 / 400.0..=1.0 / 15.0;
/// Shortest and longest time beside reading that is believed.
const BASE_MS_RANGE: std::ops::RangeInclusive<f64> = 0.0..=250.0;

/// A line through measured times, by tokens that were read (least squares with decay).
#[derive(Clone, Copy, Debug)]
pub struct PrefillEstimator {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Default for PrefillEstimator {
    fn default() -> PrefillEstimator {
        let mut estimator = PrefillEstimator {
            weight: 0.0,
            tokens: 0.0,
            ms: 0.0,
            tokens_squared: 0.0,
            tokens_ms: 0.0,
        };
        for tokens in INITIAL_TOKENS {
            estimator.add(
                tokens,
                INITIAL_BASE_MS + tokens * INITIAL_MS_PER_TOKEN,
                INITIAL_WEIGHT / 2.0,
            );
        }
        estimator
    }
}

impl PrefillEstimator {
    /// Takes the time to the first part of an answer of an engine that was idle.
    pub fn observe(&mut self, prefill_tokens: u64, took: Duration) {
        let outlier_from =
            (self.prefill_time(prefill_tokens) + self.base_latency()).mul_f64(OUTLIER_RATIO);
        let weight = if took > outlier_from { OUTLIER_WEIGHT } else { 1.0 };
        let decay = 1.0 - (1.0 - DECAY) * weight;
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.ms,
            &mut self.tokens_squared,
            &mut self.tokens_ms,
        ] {
            *sum *= decay;
        }
        self.add(prefill_tokens as f64, took.min(outlier_from).as_secs_f64() * 1e3, weight);
    }

    /// How long an engine reads.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.ms_per_token() / 1e3)
    }

    /// Time to the first part of an answer beside reading.
    pub fn base_latency(&self) -> Duration {
        let base_ms = (self.ms - self.tokens * self.ms_per_token()) / self.weight;
        Duration::from_secs_f64(base_ms.clamp(*BASE_MS_RANGE.start(), *BASE_MS_RANGE.end()) / 1e3)
    }

    fn ms_per_token(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let slope = (self.weight * self.tokens_ms - self.tokens * self.ms) / spread.max(1.0);
        slope.clamp(*MS_PER_TOKEN_RANGE.start(), *MS_PER_TOKEN_RANGE.end())
    }

    fn add(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.weight += weight;
        self.tokens += tokens * weight;
        self.ms += ms * weight;
        self.tokens_squared += tokens * tokens * weight;
        self.tokens_ms += tokens * ms * weight;
    }
}
