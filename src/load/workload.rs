//! Synthetic workloads: prompts whose contexts return after long gaps, short prompts, and calls of
//! services.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use serde_json::{Value, json};

use crate::prompt::Owner;
use crate::upstream::chat::PromptRequest;

/// Number of accounts. Their popularity follows a Zipf distribution.
pub const ACCOUNTS: usize = 10;
/// Parameters of the log-normal distribution of the initial length of a context in tokens.
const CONTEXT_TOKENS_MEDIAN: f64 = 1_600.0;
const CONTEXT_TOKENS_SIGMA: f64 = 0.5;
/// Bounds of the initial length of a context in tokens.
const CONTEXT_TOKENS_RANGE: (f64, f64) = (300.0, 6_000.0);
/// Number of tokens that each turn adds to a context.
const TURN_TOKENS: usize = 60;
/// Length of a short prompt in tokens.
const SHORT_PROMPT_TOKENS: usize = 40;
/// Default of `WorkloadParameters::return_gap`. Time is compressed: 1 s represents about 3 hours.
pub const DEFAULT_RETURN_GAP: Duration = Duration::from_secs(8);
/// Sigma of the log-normal distribution of the delay before a context may return.
const READY_DELAY_SIGMA: f64 = 0.8;
/// Exponent of the Zipf distribution of the popularity of contexts.
const CONTEXT_POPULARITY_EXPONENT: f64 = 0.8;
/// Length of a long answer in tokens.
const LONG_ANSWER_TOKENS: u32 = 24;
/// Length of a short answer in tokens.
const SHORT_ANSWER_TOKENS: u32 = 6;

/// The mix of requests that a workload models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadProfile {
    /// Bagmati Gearworks: prompts with long service histories, counter questions and part orders.
    Gearworks,
    /// Swan Coast: audits and checks against guidelines, colour checks and downloads.
    Portal,
}

impl WorkloadProfile {
    /// Returns the profile with this name.
    pub fn parse(name: &str) -> Option<WorkloadProfile> {
        match name {
            "gearworks" => Some(WorkloadProfile::Gearworks),
            "portal" => Some(WorkloadProfile::Portal),
            _ => None,
        }
    }

    /// Returns the name of the profile.
    pub fn name(self) -> &'static str {
        match self {
            WorkloadProfile::Gearworks => "gearworks",
            WorkloadProfile::Portal => "portal",
        }
    }

    /// Returns the number of engines for the model of returning prompts.
    pub fn returning_prompt_engines(self) -> usize {
        match self {
            WorkloadProfile::Gearworks => 12,
            WorkloadProfile::Portal => 20,
        }
    }

    /// Returns the models of returning and of short prompts.
    fn models(self) -> (&'static str, &'static str) {
        match self {
            WorkloadProfile::Gearworks => ("mechanic", "counter"),
            WorkloadProfile::Portal => ("guideline", "portal"),
        }
    }

    /// Returns the kinds of returning prompts with a long answer, of returning prompts with a short
    /// answer, and of short prompts.
    fn kinds(self) -> (&'static str, &'static str, &'static str) {
        match self {
            WorkloadProfile::Gearworks => ("diagnosis", "verdict", "counter"),
            WorkloadProfile::Portal => ("audit", "logo", "colour"),
        }
    }

    /// Returns the service that is called and the kind of its calls.
    fn service(self) -> (&'static str, &'static str) {
        match self {
            WorkloadProfile::Gearworks => ("part-order", "order"),
            WorkloadProfile::Portal => ("download", "download"),
        }
    }
}

/// A request of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time from the start of the workload at which the request is sent.
    pub send_offset: Duration,
    pub account: String,
    pub kind: &'static str,
    pub request_id: String,
    pub call: Call,
}

/// The content of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A chat completion with one message.
    Prompt {
        model: &'static str,
        text: String,
        /// Number of tokens to generate.
        answer_tokens: u32,
    },
    /// A call of a service that must not run more than once.
    Service { service: &'static str },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkloadParameters {
    pub profile: WorkloadProfile,
    /// Mean request rate.
    pub requests_per_s: f64,
    /// Duration of the workload in seconds.
    pub seconds: f64,
    /// Approximate time between two turns of a context.
    pub return_gap: Duration,
    /// Workloads with equal parameters and seeds are equal.
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    pub profile: WorkloadProfile,
    /// The requests in the order in which they are sent.
    pub arrivals: Vec<Arrival>,
}

/// Returns the ids of all accounts.
pub fn account_ids() -> impl Iterator<Item = String> {
    (0..ACCOUNTS).map(|index| format!("member-{index}"))
}

impl Workload {
    pub fn generate(parameters: &WorkloadParameters) -> Workload {
        let WorkloadParameters { profile, requests_per_s, seconds, seed, .. } = *parameters;
        let mut generator = ArrivalGenerator::new(parameters);
        let spacing = exponential(requests_per_s);
        let mut arrivals = Vec::new();
        let mut at_s = 0.0;
        loop {
            at_s += spacing.sample(&mut generator.rng);
            if at_s >= seconds {
                break;
            }
            let number = arrivals.len();
            arrivals.push(generator.arrival(at_s, seed, number));
        }
        Workload { profile, arrivals }
    }
}

impl Call {
    /// Returns the body of a chat completion request.
    pub fn prompt_body(model: &str, text: &str, answer_tokens: u32, stream: bool) -> Value {
        json!({
            "model": model, "stream": stream, "max_tokens": answer_tokens,
            "messages": [{"role": "user", "content": text}],
            "stream_options": {"include_usage": true},
        })
    }

    /// Returns the prompt text after an engine has applied its chat template.
    pub fn prompt_text(model: &str, text: &str) -> String {
        let body = Call::prompt_body(model, text, 1, true);
        let request: Result<PromptRequest, _> = serde_json::from_value(body);
        request.map(|request| request.prompt_text()).unwrap_or_default()
    }
}

/// Returns the owner of the blocks of a prompt.
pub fn prompt_owner(account: &str, model: &str) -> Owner {
    Owner {
        account: account.to_string(),
        model: model.to_string(),
        weight_version: "v1".to_string(),
        adapter: String::new(),
    }
}

struct ArrivalGenerator {
    profile: WorkloadProfile,
    rng: SmallRng,
    contexts: Vec<Context>,
    context_popularity: Zipf<f64>,
    ready_delay: LogNormal<f64>,
    account_popularity: Zipf<f64>,
}

/// A conversation that is continued after gaps.
struct Context {
    number: usize,
    account: String,
    initial_tokens: usize,
    turns: usize,
    /// Earliest time of the next turn.
    ready_at_s: f64,
}

impl ArrivalGenerator {
    fn new(parameters: &WorkloadParameters) -> ArrivalGenerator {
        let mut rng = SmallRng::seed_from_u64(parameters.seed);
        let gap_s = parameters.return_gap.as_secs_f64();
        // With this number of contexts, each returns about once per gap.
        let count = (parameters.requests_per_s * gap_s).ceil().max(8.0) as usize;
        let context_tokens = log_normal(CONTEXT_TOKENS_MEDIAN, CONTEXT_TOKENS_SIGMA);
        let account_popularity = zipf(ACCOUNTS as f64, 1.0);
        let contexts = (0..count)
            .map(|number| {
                let (min, max) = CONTEXT_TOKENS_RANGE;
                let initial_tokens = context_tokens.sample(&mut rng).clamp(min, max) as usize;
                let account_index = account_popularity.sample(&mut rng) as usize - 1;
                let account = format!("member-{account_index}");
                Context { number, account, initial_tokens, turns: 0, ready_at_s: 0.0 }
            })
            .collect();
        let context_popularity = zipf(count as f64, CONTEXT_POPULARITY_EXPONENT);
        let ready_delay = log_normal(gap_s / 2.0, READY_DELAY_SIGMA);
        ArrivalGenerator {
            profile: parameters.profile,
            rng,
            contexts,
            context_popularity,
            ready_delay,
            account_popularity,
        }
    }

    fn arrival(&mut self, at_s: f64, seed: u64, number: usize) -> Arrival {
        let request_id = format!("w{seed}-{number}");
        let (long_answer_kind, short_answer_kind, short_prompt_kind) = self.profile.kinds();
        let (returning_model, short_prompt_model) = self.profile.models();
        let draw: f64 = self.rng.random();
        let (account, kind, call) = if draw < 0.70 {
            let (account, text) = self.next_turn(at_s);
            let has_long_answer = draw < 0.45;
            let kind = if has_long_answer { long_answer_kind } else { short_answer_kind };
            let answer_tokens =
                if has_long_answer { LONG_ANSWER_TOKENS } else { SHORT_ANSWER_TOKENS };
            (account, kind, Call::Prompt { model: returning_model, text, answer_tokens })
        } else if draw < 0.95 {
            let account = self.sample_account();
            let text = synthetic_text(&format!("q{number}"), 0, SHORT_PROMPT_TOKENS);
            (
                account,
                short_prompt_kind,
                Call::Prompt {
                    model: short_prompt_model,
                    text,
                    answer_tokens: SHORT_ANSWER_TOKENS,
                },
            )
        } else {
            let (service, kind) = self.profile.service();
            (self.sample_account(), kind, Call::Service { service })
        };
        Arrival { send_offset: Duration::from_secs_f64(at_s), account, kind, request_id, call }
    }

    fn sample_account(&mut self) -> String {
        format!("member-{}", self.account_popularity.sample(&mut self.rng) as usize - 1)
    }

    /// Takes a turn of a context that may return. Returns its account and the text of the context.
    fn next_turn(&mut self, at_s: f64) -> (String, String) {
        let drawn_index = self.context_popularity.sample(&mut self.rng) as usize - 1;
        let count = self.contexts.len();
        // The first context from the drawn one on that may return, or the drawn one if none may.
        let index = (0..count)
            .map(|offset| (drawn_index + offset) % count)
            .find(|index| self.contexts[*index].ready_at_s <= at_s)
            .unwrap_or(drawn_index);
        let ready_delay_s = self.ready_delay.sample(&mut self.rng);
        let context = &mut self.contexts[index];
        context.ready_at_s = at_s + ready_delay_s;
        context.turns += 1;
        let name = format!("h{}", context.number);
        let tokens = context.initial_tokens + context.turns * TURN_TOKENS;
        (context.account.clone(), synthetic_text(&name, 0, tokens))
    }
}

/// Returns words `from..to` of the text with this name. If `name` and `from` are equal, a shorter
/// text is a prefix of a longer one.
fn synthetic_text(name: &str, from: usize, to: usize) -> String {
    let words: Vec<String> = (from..to).map(|index| format!("{name}.{index:x}")).collect();
    words.join(" ")
}

fn exponential(rate: f64) -> Exp<f64> {
    Exp::new(rate.max(1e-6)).unwrap_or_else(|_| unreachable!("the rate is positive"))
}

fn log_normal(median: f64, sigma: f64) -> LogNormal<f64> {
    LogNormal::new(median.ln(), sigma).unwrap_or_else(|_| unreachable!("sigma is finite"))
}

fn zipf(count: f64, exponent: f64) -> Zipf<f64> {
    Zipf::new(count, exponent).unwrap_or_else(|_| unreachable!("the count is at least 1"))
}
