//! What a run of the load tool showed.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::emulator::ledger::Counts;
use crate::upstream::chat::Usage;

/// One request and how it ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// When it was sent, from the start.
    pub at: Duration,
    /// Its kind.
    pub kind: &'static str,
    /// Its id.
    pub request_id: String,
    /// Whether it must not repeat.
    pub once: bool,
    /// How it ended.
    pub outcome: Outcome,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// With its own whole answer.
    Answered {
        /// Time to first token, or to the whole answer of a plain call.
        first_token: Duration,
        /// Its tokens.
        usage: Usage,
    },
    /// With a refusal.
    Refused {
        /// Why.
        code: String,
        /// Whether it was told that nothing was run.
        not_run: bool,
        /// Whether it was told when to come back.
        retry_after: bool,
    },
    /// With something that is not its answer.
    Wrong(String),
    /// With a part of an answer and no end mark.
    Broken(String),
    /// With nothing.
    Lost,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Requests sent.
    pub sent: u64,
    /// Requests with their own whole answer.
    pub answered: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Answers that were wrong, broken off, or never came. Must be 0 while nothing fails.
    pub wrong: u64,
    /// Answers that broke off with an error.
    pub broken: u64,
    /// Requests without any answer.
    pub lost: u64,
    /// Requests that must not repeat and ran more than once. Must always be 0.
    pub doubled: u64,
    /// Refusals that said `not_run` of a request that ran. Must always be 0.
    pub false_not_run: u64,
    /// Time to first token by kind, and of all prompts under `prompts`.
    pub first_token: BTreeMap<String, Percentiles>,
    /// Share of prompt tokens that were computed, of 1, as the engines counted.
    pub recomputed_share: f64,
    /// Bytes moved from stores to engines.
    pub import_bytes: u64,
    /// Bytes moved from engines to stores.
    pub export_bytes: u64,
    /// Imports that failed.
    pub failed_imports: u64,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Half are no higher.
    pub p50_ms: f64,
    /// 95 of 100 are no higher.
    pub p95_ms: f64,
    /// 99 of 100 are no higher.
    pub p99_ms: f64,
}

impl Percentiles {
    /// Percentiles of some durations.
    pub fn of(values: impl IntoIterator<Item = Duration>) -> Percentiles {
        // Cannot fail: three digits are in the accepted range.
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Percentiles::default() };
        for value in values {
            let recorded = histogram.record(value.as_micros() as u64);
            debug_assert!(recorded.is_ok(), "the histogram grows with its values");
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles { count: histogram.len(), p50_ms: at(0.50), p95_ms: at(0.95), p99_ms: at(0.99) }
    }
}

impl Figures {
    /// Figures of all samples. `before` and `after` are the emulator's counts around the run.
    pub fn of(samples: &[Sample], before: &Counts, after: &Counts) -> Figures {
        let mut figures = Figures { sent: samples.len() as u64, ..Figures::default() };
        let mut times: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        for sample in samples {
            match &sample.outcome {
                Outcome::Answered { first_token, usage } => {
                    figures.answered += 1;
                    times.entry(sample.kind.to_string()).or_default().push(*first_token);
                    if usage.prompt_tokens > 0 {
                        times.entry("prompts".to_string()).or_default().push(*first_token);
                    }
                }
                Outcome::Refused { code, .. } => {
                    *figures.refused.entry(code.clone()).or_default() += 1;
                }
                Outcome::Wrong(_) => figures.wrong += 1,
                Outcome::Broken(_) => figures.broken += 1,
                Outcome::Lost => figures.lost += 1,
            }
        }
        figures.first_token =
            times.into_iter().map(|(kind, times)| (kind, Percentiles::of(times))).collect();
        figures.take_counts(before, after);
        figures.take_runs(samples, before, after);
        figures
    }

    /// Whether each request got its own whole answer or a refusal, none twice.
    pub fn is_safe(&self) -> bool {
        self.wrong + self.lost + self.doubled + self.false_not_run == 0
    }

    /// A table for people.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<12} {:>7} {:>9} {:>9} {:>9}",
            "kind", "count", "p50 ms", "p95 ms", "p99 ms"
        )];
        for (kind, p) in &self.first_token {
            lines.push(format!(
                "{kind:<12} {:>7} {:>9.1} {:>9.1} {:>9.1}",
                p.count, p.p50_ms, p.p95_ms, p.p99_ms
            ));
        }
        lines.push(format!("share of context recomputed: {:.1} %", self.recomputed_share * 100.0));
        let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
        lines.push(format!(
            "link use: {:.0} MiB imported, {:.0} MiB exported, {} failed imports",
            mib(self.import_bytes),
            mib(self.export_bytes),
            self.failed_imports
        ));
        lines.push(format!(
            "sent {}, answered {}, refused {:?}, broken {}, wrong {}, lost {}, doubled {}",
            self.sent,
            self.answered,
            self.refused,
            self.broken,
            self.wrong,
            self.lost,
            self.doubled
        ));
        lines.join("\n")
    }

    fn take_counts(&mut self, before: &Counts, after: &Counts) {
        let prompt = after.prompt_tokens - before.prompt_tokens;
        let reused = after.resident_tokens + after.imported_tokens
            - before.resident_tokens
            - before.imported_tokens;
        if prompt > 0 {
            self.recomputed_share = 1.0 - reused as f64 / prompt as f64;
        }
        self.import_bytes = after.import_bytes - before.import_bytes;
        self.export_bytes = after.export_bytes - before.export_bytes;
        self.failed_imports = after.failed_imports - before.failed_imports;
    }

    fn take_runs(&mut self, samples: &[Sample], before: &Counts, after: &Counts) {
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for (id, count) in &after.runs {
            let earlier = before.runs.get(id).copied().unwrap_or(0);
            // A prompt's run is named by the request id and a drawn part.
            let request_id = id.split('~').next().unwrap_or(id);
            *runs.entry(request_id).or_default() += count - earlier;
        }
        let runs_of = |sample: &Sample| runs.get(sample.request_id.as_str()).copied().unwrap_or(0);
        let doubled = samples.iter().filter(|sample| sample.once && runs_of(sample) > 1);
        self.doubled = doubled.count() as u64;
        let claims_not_run =
            |outcome: &Outcome| matches!(outcome, Outcome::Refused { not_run: true, .. });
        let false_claims =
            samples.iter().filter(|sample| claims_not_run(&sample.outcome) && runs_of(sample) > 0);
        self.false_not_run = false_claims.count() as u64;
    }
}
