//! Seeded workloads: contexts that return after long gaps, short requests, and plain calls.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use serde_json::{Value, json};

use crate::prompt::Owner;
use crate::upstream::chat::PromptRequest;

/// Accounts of a workload; a few are large.
pub const ACCOUNTS: usize = 10;
/// Median length of a context in tokens.
const CONTEXT_TOKENS_MEDIAN: f64 = 1_600.0;
const CONTEXT_TOKENS_SPREAD: f64 = 0.5;
const CONTEXT_TOKENS_RANGE: (f64, f64) = (300.0, 6_000.0);
/// Tokens that each return adds.
const TURN_TOKENS: usize = 60;
/// Tokens of a short prompt.
const SHORT_TOKENS: usize = 40;
/// Median gap between two returns of a context if none is named. Days are compressed to seconds:
/// 1 s stands for about 3 hours.
pub const GAP_MEDIAN: Duration = Duration::from_secs(8);
const GAP_SPREAD: f64 = 0.8;
/// Exponent of the contexts' popularity.
const ZIPF: f64 = 0.8;
/// Tokens generated for a long and a short request.
const LONG_ANSWER: u32 = 24;
const SHORT_ANSWER: u32 = 6;

/// The shape of a deployment's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Bagmati Gearworks: long service histories, counters, part orders.
    Gearworks,
    /// Swan Coast: guideline audits, quick checks, templates and downloads.
    Portal,
}

impl Shape {
    /// The shape of this name.
    pub fn parse(name: &str) -> Option<Shape> {
        match name {
            "gearworks" => Some(Shape::Gearworks),
            "portal" => Some(Shape::Portal),
            _ => None,
        }
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Shape::Gearworks => "gearworks",
            Shape::Portal => "portal",
        }
    }

    /// Engines that run the long prompts.
    pub fn long_engines(self) -> usize {
        match self {
            Shape::Gearworks => 12,
            Shape::Portal => 20,
        }
    }

    /// The model of long prompts, the model of short ones.
    fn models(self) -> (&'static str, &'static str) {
        match self {
            Shape::Gearworks => ("mechanic", "counter"),
            Shape::Portal => ("guideline", "portal"),
        }
    }

    /// The kind of long prompts, of returning short ones, and of short ones.
    fn kinds(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Shape::Gearworks => ("diagnosis", "verdict", "counter"),
            Shape::Portal => ("audit", "logo", "colour"),
        }
    }

    /// The plain service that is called, and the kind of the calls.
    fn service(self) -> (&'static str, &'static str) {
        match self {
            Shape::Gearworks => ("part-order", "order"),
            Shape::Portal => ("download", "download"),
        }
    }
}

/// One request of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it is sent, from the start.
    pub at: Duration,
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
        tokens: u32,
    },
    /// A call of a plain service that must not repeat.
    Service {
        /// The service.
        service: &'static str,
    },
}

/// What to generate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// The shape.
    pub shape: Shape,
    /// Requests a second.
    pub rate: f64,
    /// How long, in seconds.
    pub seconds: f64,
    /// About how long a context stays away.
    pub gap: Duration,
    /// Equal seeds give equal workloads.
    pub seed: u64,
}

/// A workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// Its shape.
    pub shape: Shape,
    /// Its requests in the order in which they are sent.
    pub arrivals: Vec<Arrival>,
}

/// The accounts.
pub fn accounts() -> impl Iterator<Item = String> {
    (0..ACCOUNTS).map(|index| format!("member-{index}"))
}

impl Workload {
    /// Generates the requests.
    pub fn generate(plan: &Plan) -> Workload {
        let Plan { shape, rate, seconds, seed, .. } = *plan;
        let mut generator = Generator::new(plan);
        let spacing = exponential(rate);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += spacing.sample(&mut generator.random);
            if at >= seconds {
                break;
            }
            let number = arrivals.len();
            arrivals.push(generator.arrival(at, seed, number));
        }
        Workload { shape, arrivals }
    }
}

impl Call {
    /// The body of a prompt as a client sends it.
    pub fn body(model: &str, text: &str, tokens: u32, stream: bool) -> Value {
        json!({
            "model": model, "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": text}],
            "stream_options": {"include_usage": true},
        })
    }

    /// The text that an engine's template makes of a prompt.
    pub fn prompt_text(model: &str, text: &str) -> String {
        let body = Call::body(model, text, 1, true);
        let request: Result<PromptRequest, _> = serde_json::from_value(body);
        request.map(|request| request.prompt_text()).unwrap_or_default()
    }
}

/// What a prompt of these workloads belongs to.
pub fn owner(account: &str, model: &str) -> Owner {
    Owner {
        account: account.to_string(),
        model: model.to_string(),
        weight_version: "v1".to_string(),
        adapter: String::new(),
    }
}

struct Generator {
    shape: Shape,
    random: SmallRng,
    contexts: Vec<Context>,
    popularity: Zipf<f64>,
    gap: LogNormal<f64>,
    account: Zipf<f64>,
}

/// A service history or guideline set that returns.
struct Context {
    number: usize,
    account: String,
    tokens: usize,
    turns: usize,
    /// Not before this time does it return.
    ready_at: f64,
}

impl Generator {
    fn new(plan: &Plan) -> Generator {
        let mut random = SmallRng::seed_from_u64(plan.seed);
        let gap_s = plan.gap.as_secs_f64();
        // So many that each returns about once a gap.
        let count = (plan.rate * gap_s).ceil().max(8.0) as usize;
        let length = log_normal(CONTEXT_TOKENS_MEDIAN, CONTEXT_TOKENS_SPREAD);
        let account = zipf(ACCOUNTS as f64, 1.0);
        let contexts = (0..count)
            .map(|number| {
                let (least, most) = CONTEXT_TOKENS_RANGE;
                let tokens = length.sample(&mut random).clamp(least, most) as usize;
                let owner = account.sample(&mut random) as usize - 1;
                let account = format!("member-{owner}");
                Context { number, account, tokens, turns: 0, ready_at: 0.0 }
            })
            .collect();
        let popularity = zipf(count as f64, ZIPF);
        let gap = log_normal(gap_s / 2.0, GAP_SPREAD);
        Generator { shape: plan.shape, random, contexts, popularity, gap, account }
    }

    fn arrival(&mut self, at: f64, seed: u64, number: usize) -> Arrival {
        let request_id = format!("w{seed}-{number}");
        let (long, returning, short) = self.shape.kinds();
        let (long_model, short_model) = self.shape.models();
        let dice: f64 = self.random.random();
        let (account, kind, call) = if dice < 0.70 {
            let (account, text) = self.returning_text(at);
            let is_long = dice < 0.45;
            let kind = if is_long { long } else { returning };
            let tokens = if is_long { LONG_ANSWER } else { SHORT_ANSWER };
            (account, kind, Call::Prompt { model: long_model, text, tokens })
        } else if dice < 0.95 {
            let account = self.any_account();
            let text = words(&format!("q{number}"), 0, SHORT_TOKENS);
            (account, short, Call::Prompt { model: short_model, text, tokens: SHORT_ANSWER })
        } else {
            let (service, kind) = self.shape.service();
            (self.any_account(), kind, Call::Service { service })
        };
        Arrival { at: Duration::from_secs_f64(at), account, kind, request_id, call }
    }

    fn any_account(&mut self) -> String {
        format!("member-{}", self.account.sample(&mut self.random) as usize - 1)
    }

    /// The next turn of a context that is due: its history and what is new.
    fn returning_text(&mut self, at: f64) -> (String, String) {
        let drawn = self.popularity.sample(&mut self.random) as usize - 1;
        let count = self.contexts.len();
        // From the drawn one on, the first that is due; if none is, the drawn one comes early.
        let index = (0..count)
            .map(|offset| (drawn + offset) % count)
            .find(|index| self.contexts[*index].ready_at <= at)
            .unwrap_or(drawn);
        let gap = self.gap.sample(&mut self.random);
        let context = &mut self.contexts[index];
        context.ready_at = at + gap;
        context.turns += 1;
        let name = format!("h{}", context.number);
        let tokens = context.tokens + context.turns * TURN_TOKENS;
        (context.account.clone(), words(&name, 0, tokens))
    }
}

/// A deterministic text; a longer one of the same name begins with the shorter.
fn words(name: &str, from: usize, to: usize) -> String {
    let words: Vec<String> = (from..to).map(|index| format!("{name}.{index:x}")).collect();
    words.join(" ")
}

fn exponential(rate: f64) -> Exp<f64> {
    Exp::new(rate.max(1e-6)).unwrap_or_else(|_| unreachable!("the rate is positive"))
}

fn log_normal(median: f64, spread: f64) -> LogNormal<f64> {
    LogNormal::new(median.ln(), spread).unwrap_or_else(|_| unreachable!("the spread is finite"))
}

fn zipf(count: f64, exponent: f64) -> Zipf<f64> {
    Zipf::new(count, exponent).unwrap_or_else(|_| unreachable!("the count is at least 1"))
}
