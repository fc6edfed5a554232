//! Seeded workloads: contexts that return after long gaps, short requests, and plain calls.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use serde_json::{Value, json};

use crate::edge::chat::PromptRequest;
use crate::prompt::Owner;

/// Accounts of a workload; a few are large.
pub const ACCOUNTS: usize = 10;
/// Median length of a context in tokens.
const CONTEXT_TOKENS_MEDIAN: f64 = 1_600.0;
const CONTEXT_TOKENS_SIGMA: f64 = 0.5;
const CONTEXT_TOKENS_RANGE: (f64, f64) = (300.0, 6_000.0);
/// Tokens that each return adds.
const TURN_TOKENS: usize = 60;
/// Tokens of a short prompt.
const SHORT_PROMPT_TOKENS: usize = 40;
/// Median gap between two returns of a context if none is named. Days are compressed to seconds:
/// 1 s stands for about 3 hours.
pub const DEFAULT_RETURN_GAP: Duration = Duration::from_secs(8);
const READY_DELAY_SIGMA: f64 = 0.8;
/// Exponent of the contexts' popularity.
const CONTEXT_POPULARITY_EXPONENT: f64 = 0.8;
/// Tokens generated for a long and a short request.
const LONG_ANSWER_TOKENS: u32 = 24;
const SHORT_ANSWER_TOKENS: u32 = 6;

/// The profile of a deployment's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadProfile {
    /// Bagmati Gearworks: long service histories, counters, part orders.
    Gearworks,
    /// Swan Coast: guideline audits, quick checks, templates and downloads.
    Portal,
}

impl WorkloadProfile {
    /// The profile of this name.
    pub fn parse(name: &str) -> Option<WorkloadProfile> {
        match name {
            "gearworks" => Some(WorkloadProfile::Gearworks),
            "portal" => Some(WorkloadProfile::Portal),
            _ => None,
        }
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            WorkloadProfile::Gearworks => "gearworks",
            WorkloadProfile::Portal => "portal",
        }
    }

    /// Engines that run the long prompts.
    pub fn long_prompt_engines(self) -> usize {
        match self {
            WorkloadProfile::Gearworks => 12,
            WorkloadProfile::Portal => 20,
        }
    }

    /// The model of long prompts, the model of short ones.
    fn models(self) -> (&'static str, &'static str) {
        match self {
            WorkloadProfile::Gearworks => ("mechanic", "counter"),
            WorkloadProfile::Portal => ("guideline", "portal"),
        }
    }

    /// The kind of long prompts, of returning short ones, and of short ones.
    fn kinds(self) -> (&'static str, &'static str, &'static str) {
        match self {
            WorkloadProfile::Gearworks => ("diagnosis", "verdict", "counter"),
            WorkloadProfile::Portal => ("audit", "logo", "colour"),
        }
    }

    /// The plain service that is called, and the kind of the calls.
    fn service(self) -> (&'static str, &'static str) {
        match self {
            WorkloadProfile::Gearworks => ("part-order", "order"),
            WorkloadProfile::Portal => ("download", "download"),
        }
    }
}

/// One request of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent, from the start.
    pub send_offset: Duration,
    /// Its account.
    pub account: String,
    /// Its kind.
    pub kind: &'static str,
    /// Its id.
    pub request_id: String,
    /// What is sent.
    pub call: Call,
}

/// What is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// A prompt.
    Prompt {
        /// The model.
        model: &'static str,
        /// The text of its only message.
        text: String,
        /// Tokens to generate.
        answer_tokens: u32,
    },
    /// A call of a plain service that must not repeat.
    Service {
        /// The service.
        service: &'static str,
    },
}

/// What to generate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkloadParameters {
    /// The profile.
    pub profile: WorkloadProfile,
    /// Requests a second.
    pub requests_per_s: f64,
    /// How long, in seconds.
    pub seconds: f64,
    /// About how long a context stays away.
    pub return_gap: Duration,
    /// Equal seeds give equal workloads.
    pub seed: u64,
}

/// A workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Its profile.
    pub profile: WorkloadProfile,
    /// Its requests in the order in which they are sent.
    pub arrivals: Vec<Arrival>,
}

/// The accounts.
pub fn account_ids() -> impl Iterator<Item = String> {
    (0..ACCOUNTS).map(|index| format!("member-{index}"))
}

impl Workload {
    /// Generates the requests.
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
    /// The body of a prompt as a client sends it.
    pub fn prompt_body(model: &str, text: &str, answer_tokens: u32, stream: bool) -> Value {
        json!({
            "model": model, "stream": stream, "max_tokens": answer_tokens,
            "messages": [{"role": "user", "content": text}],
            "stream_options": {"include_usage": true},
        })
    }

    /// The text that an engine's template makes of a prompt.
    pub fn prompt_text(model: &str, text: &str) -> String {
        let body = Call::prompt_body(model, text, 1, true);
        let request: Result<PromptRequest, _> = serde_json::from_value(body);
        request.map(|request| request.prompt_text()).unwrap_or_default()
    }
}

/// What a prompt of these workloads belongs to.
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

/// A service history or guideline set that returns.
struct Context {
    number: usize,
    account: String,
    initial_tokens: usize,
    turns: usize,
    /// Not before this time does it return.
    ready_at_s: f64,
}

impl ArrivalGenerator {
    fn new(parameters: &WorkloadParameters) -> ArrivalGenerator {
        let mut rng = SmallRng::seed_from_u64(parameters.seed);
        let gap_s = parameters.return_gap.as_secs_f64();
        // So many that each returns about once a gap.
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
        let (long_kind, short_return_kind, short_kind) = self.profile.kinds();
        let (long_model, short_model) = self.profile.models();
        let draw: f64 = self.rng.random();
        let (account, kind, call) = if draw < 0.70 {
            let (account, text) = self.next_turn(at_s);
            let is_long = draw < 0.45;
            let kind = if is_long { long_kind } else { short_return_kind };
            let answer_tokens = if is_long { LONG_ANSWER_TOKENS } else { SHORT_ANSWER_TOKENS };
            (account, kind, Call::Prompt { model: long_model, text, answer_tokens })
        } else if draw < 0.95 {
            let account = self.sample_account();
            let text = synthetic_text(&format!("q{number}"), 0, SHORT_PROMPT_TOKENS);
            (
                account,
                short_kind,
                Call::Prompt { model: short_model, text, answer_tokens: SHORT_ANSWER_TOKENS },
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

    /// The next turn of a context that is due: its history and what is new.
    fn next_turn(&mut self, at_s: f64) -> (String, String) {
        let drawn_index = self.context_popularity.sample(&mut self.rng) as usize - 1;
        let count = self.contexts.len();
        // From the drawn one on, the first that is due; if none is, the drawn one comes early.
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

/// A deterministic text; a longer one of the same name begins with the shorter.
fn synthetic_text(name: &str, from: usize, to: usize) -> String {
    let words: Vec<String> = (from..to).map(|index| format!("{name}.{index:x}")).collect();
    words.join(" ")
}

fn exponential(rate: f64) -> Exp<f64> {
    Exp::new(rate.max(1e-6)).unwrap_or_else(|_| unreachable!("the rate is positive"))
}

fn log_normal(median: f64, sigma: f64) -> LogNormal<f64> {
    LogNormal::new(median.ln(), sigma).unwrap_or_else(|_| unreachable!("the spread is finite"))
}

fn zipf(count: f64, exponent: f64) -> Zipf<f64> {
    Zipf::new(count, exponent).unwrap_or_else(|_| unreachable!("the count is at least 1"))
}
