//! How fast the engines of a service read, learned from prompts that found an idle engine.

use std::time::Duration;

/// What is assumed of an engine before anything was measured: the slower one of the deployed kinds.
const FIRST_MS_PER_TOKEN: f64 = 1.0 / 92.0;
/// The same for the time that passes before and after reading.
const FIRST_BASE_MS: f64 = 40.0;
/// What is assumed counts as this many measurements.
const FIRST_WEIGHT: f64 = 20.0;
/// Lengths that the assumption stands for, in tokens.
const FIRST_TOKENS: [f64; 2] = [200.0, 6_000.0];
/// Each measurement lowers the weight of earlier ones by this factor: about 400 count.
const DECAY: f64 = 0.9975;
/// A time that is this many times as long as expected is rarely the engine's pace: the engine was not
/// idle after all, or did something else.
const DOUBTFUL_FROM: f64 = 1.6;
/// What such a measurement counts for, and then only as the longest time that is not doubtful. An
/// engine that is slow for good is learned all the same, step by step.
const DOUBTFUL_WEIGHT: f64 = 0.2;
/// Slowest and fastest reading that is believed.
const MS_PER_TOKEN: std::ops::RangeInclusive<f64> = 1.0 / 400.0..=1.0 / 15.0;
/// Shortest and longest time beside reading that is believed.
const BASE_MS: std::ops::RangeInclusive<f64> = 0.0..=250.0;

/// A line through measured times, by tokens that were read (least squares with decay).
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_ms: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        let mut pace =
            Pace { weight: 0.0, tokens: 0.0, ms: 0.0, tokens_squared: 0.0, tokens_ms: 0.0 };
        for tokens in FIRST_TOKENS {
            pace.add(tokens, FIRST_BASE_MS + tokens * FIRST_MS_PER_TOKEN, FIRST_WEIGHT / 2.0);
        }
        pace
    }
}

impl Pace {
    /// Takes the time to the first part of an answer of an engine that was idle.
    pub fn measured(&mut self, read_tokens: u64, took: Duration) {
        let doubtful = (self.reading(read_tokens) + self.base()).mul_f64(DOUBTFUL_FROM);
        let weight = if took > doubtful { DOUBTFUL_WEIGHT } else { 1.0 };
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
        self.add(read_tokens as f64, took.min(doubtful).as_secs_f64() * 1e3, weight);
    }

    /// How long an engine reads.
    pub fn reading(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 * self.ms_per_token() / 1e3)
    }

    /// Time to the first part of an answer beside reading.
    pub fn base(&self) -> Duration {
        let base_ms = (self.ms - self.tokens * self.ms_per_token()) / self.weight;
        Duration::from_secs_f64(base_ms.clamp(*BASE_MS.start(), *BASE_MS.end()) / 1e3)
    }

    fn ms_per_token(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let slope = (self.weight * self.tokens_ms - self.tokens * self.ms) / spread.max(1.0);
        slope.clamp(*MS_PER_TOKEN.start(), *MS_PER_TOKEN.end())
    }

    fn add(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.weight += weight;
        self.tokens += tokens * weight;
        self.ms += ms * weight;
        self.tokens_squared += tokens * tokens * weight;
        self.tokens_ms += tokens * ms * weight;
    }
}
