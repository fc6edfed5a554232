//! Estimates the prefill time of a service's engines from prompts that found an idle engine, and what
//! their speeds have in common.

use std::time::Duration;

use crate::fleet::speed::ServiceSpeed;

/// Prefill rate of engines whose own rate is not known. The scheduler starts from it and learns the
/// rate of each service; entries that select targets themselves learn none.
pub const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 92.0;
/// Prefill time per token before any measurement.
const INITIAL_MS_PER_TOKEN: f64 = 1.0 / DEFAULT_PREFILL_TOKENS_PER_MS;
/// Time to first token besides prefill, before any measurement.
const INITIAL_BASE_MS: f64 = 40.0;
/// Number of measurements that the initial estimate counts for.
const INITIAL_WEIGHT: f64 = 20.0;
/// Prompt lengths, in tokens, at which the initial estimate is entered as measurements.
const INITIAL_TOKENS: [f64; 2] = [200.0, 6_000.0];
/// Each measurement multiplies the weight of earlier ones by this factor, so about the last 400
/// count.
const DECAY: f64 = 0.9975;
/// A measurement this many times longer than expected is an outlier: most likely the engine was not
/// idle.
const OUTLIER_RATIO: f64 = 1.6;
/// Weight of an outlier, whose time is capped at the outlier threshold. Outliers still count, so
/// that an engine that is permanently slower is learned step by step.
const OUTLIER_WEIGHT: f64 = 0.2;
/// Accepted range of the prefill time per token.
const MS_PER_TOKEN_RANGE: std::ops::RangeInclusive<f64> = 1.0 / 400.0..=1.0 / 15.0;
/// Accepted range of the time to first token besides prefill.
const BASE_MS_RANGE: std::ops::RangeInclusive<f64> = 0.0..=250.0;

/// Linear regression of time to first token on prefilled tokens: least squares with exponential
/// decay. All times are those of an engine that works as usual for the service.
#[derive(Clone, Copy, Debug)]
pub struct PrefillEstimator {
    /// What the engines' speeds have in common.
    pub speed: ServiceSpeed,
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Default for PrefillEstimator {
    fn default() -> PrefillEstimator {
        let mut estimator = PrefillEstimator {
            speed: ServiceSpeed::default(),
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
    /// Adds the time to first token of a prompt on an idle engine, with the engine's time factor
    /// divided out.
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

    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.ms_per_token() / 1e3)
    }

    /// Expected time to first token besides prefill.
    pub fn base_latency(&self) -> Duration {
        let base_ms = (self.ms - self.tokens * self.ms_per_token()) / self.weight;
        Duration::from_secs_f64(base_ms.clamp(*BASE_MS_RANGE.start(), *BASE_MS_RANGE.end()) / 1e3)
    }

    /// Expected time to first token of a prompt that is prefilled at once, on an engine of which
    /// nothing else is known.
    pub fn mean_service_time(&self, tokens: u64) -> Duration {
        (self.prefill_time(tokens) + self.base_latency()).mul_f64(self.speed.mean())
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
