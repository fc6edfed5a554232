//! The results of a load test.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::emulator::ledger::Counts;
use crate::upstream::chat::Usage;

/// The result of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestResult {
    /// Time from the start of the test at which the request was scheduled.
    pub send_offset: Duration,
    pub kind: &'static str,
    pub request_id: String,
    /// Whether the request must not run more than once.
    pub non_repeatable: bool,
    pub outcome: Outcome,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A correct and complete answer.
    Answered {
        /// Time to the first token of a prompt, or to the complete answer of a service.
        first_token: Duration,
        /// Zero for services.
        usage: Usage,
    },
    /// A response with an error status.
    Refused {
        /// The error code, or `none`.
        code: String,
        /// Whether the response stated that the request was not run.
        not_run: bool,
        /// Whether the response had a `retry-after` header.
        retry_after: bool,
    },
    /// A complete answer with unexpected content, which is given.
    Wrong(String),
    /// An answer that was incomplete or unreadable, with details.
    Broken(String),
    /// No response, or no complete answer in time.
    Lost,
}

/// The summary of a load test.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunSummary {
    pub sent: u64,
    /// Requests with a correct and complete answer.
    pub answered: u64,
    /// Number of refusals by error code.
    pub refused: BTreeMap<String, u64>,
    /// Complete answers with unexpected content. Must always be 0.
    pub wrong: u64,
    /// Answers that were incomplete or unreadable.
    pub broken: u64,
    /// Requests without a response or without a complete answer in time. Must always be 0.
    pub lost: u64,
    /// Requests that ran more than once but must not. Must always be 0.
    pub doubled: u64,
    /// Requests that ran although their refusal stated `not_run`. Must always be 0.
    pub false_not_run: u64,
    /// Time to first token by kind of request, and of all prompts under the key `prompts`.
    pub first_token: BTreeMap<String, Percentiles>,
    /// Fraction of prompt tokens that were computed, according to the engines.
    pub recomputed_share: f64,
    /// Bytes transferred from stores to engines.
    pub import_bytes: u64,
    /// Bytes transferred from engines to stores.
    pub export_bytes: u64,
    pub failed_imports: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of durations.
    pub count: u64,
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
}

impl Percentiles {
    /// Computes the percentiles of `values`.
    pub fn of(values: impl IntoIterator<Item = Duration>) -> Percentiles {
        // Cannot fail: 3 significant digits are supported.
        let Ok(mut histogram) = Histogram::<u64>::new(3) else { return Percentiles::default() };
        for value in values {
            let recorded = histogram.record(value.as_micros() as u64);
            debug_assert!(recorded.is_ok(), "a resizable histogram accepts all values");
        }
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles { count: histogram.len(), p50_ms: at(0.50), p95_ms: at(0.95), p99_ms: at(0.99) }
    }
}

impl RunSummary {
    /// Summarizes the results. `before` and `after` are the emulator's counters at the start and at
    /// the end of the test.
    pub fn of(results: &[RequestResult], before: &Counts, after: &Counts) -> RunSummary {
        let mut summary = RunSummary { sent: results.len() as u64, ..RunSummary::default() };
        let mut times: BTreeMap<String, Vec<Duration>> = BTreeMap::new();
        for result in results {
            match &result.outcome {
                Outcome::Answered { first_token, usage } => {
                    summary.answered += 1;
                    times.entry(result.kind.to_string()).or_default().push(*first_token);
                    if usage.prompt_tokens > 0 {
                        times.entry("prompts".to_string()).or_default().push(*first_token);
                    }
                }
                Outcome::Refused { code, .. } => {
                    *summary.refused.entry(code.clone()).or_default() += 1;
                }
                Outcome::Wrong(_) => summary.wrong += 1,
                Outcome::Broken(_) => summary.broken += 1,
                Outcome::Lost => summary.lost += 1,
            }
        }
        summary.first_token =
            times.into_iter().map(|(kind, times)| (kind, Percentiles::of(times))).collect();
        summary.add_counter_deltas(before, after);
        summary.count_violations(results, before, after);
        summary
    }

    /// Returns whether no answer was wrong or lost, no request ran more often than it may, and no
    /// refusal falsely stated that the request was not run. Incomplete answers are accepted.
    pub fn is_correct(&self) -> bool {
        self.wrong + self.lost + self.doubled + self.false_not_run == 0
    }

    /// Formats the summary as a human-readable table.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{:<12} {:>7} {:>9} {:>9} {:>9}",
            "kind", "count", "p50 ms", "p95 ms", "p99 ms"
        )];
        for (kind, percentiles) in &self.first_token {
            lines.push(format!(
                "{kind:<12} {:>7} {:>9.1} {:>9.1} {:>9.1}",
                percentiles.count, percentiles.p50_ms, percentiles.p95_ms, percentiles.p99_ms
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

    fn add_counter_deltas(&mut self, before: &Counts, after: &Counts) {
        let prompt_tokens = after.prompt_tokens - before.prompt_tokens;
        let reused_tokens = after.resident_tokens + after.imported_tokens
            - before.resident_tokens
            - before.imported_tokens;
        if prompt_tokens > 0 {
            self.recomputed_share = 1.0 - reused_tokens as f64 / prompt_tokens as f64;
        }
        self.import_bytes = after.import_bytes - before.import_bytes;
        self.export_bytes = after.export_bytes - before.export_bytes;
        self.failed_imports = after.failed_imports - before.failed_imports;
    }

    fn count_violations(&mut self, results: &[RequestResult], before: &Counts, after: &Counts) {
        let mut runs: HashMap<&str, u32> = HashMap::new();
        for (id, count) in &after.runs {
            let earlier = before.runs.get(id).copied().unwrap_or(0);
            // For prompts, the id of a run is the request id, `~` and a random suffix.
            let request_id = id.split('~').next().unwrap_or(id);
            *runs.entry(request_id).or_default() += count - earlier;
        }
        let runs_of =
            |result: &RequestResult| runs.get(result.request_id.as_str()).copied().unwrap_or(0);
        let doubled = results.iter().filter(|result| result.non_repeatable && runs_of(result) > 1);
        self.doubled = doubled.count() as u64;
        let claims_not_run =
            |outcome: &Outcome| matches!(outcome, Outcome::Refused { not_run: true, .. });
        let false_claims =
            results.iter().filter(|result| claims_not_run(&result.outcome) && runs_of(result) > 0);
        self.false_not_run = false_claims.count() as u64;
    }
}
