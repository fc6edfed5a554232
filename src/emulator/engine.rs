//! A stand-in model engine: continuous batching, a prefix cache, lagging reports, fenced orders.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use futures::stream;
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::watch;
use warp::http::StatusCode;

use super::answer::Answer;
use super::cache::PrefixCache;
use super::gate::{Gate, Pass};
use super::knobs::Faults;
use super::ledger::Ledger;
use super::settings::EngineSettings;
use super::store;
use super::stream::{Generation, Parts, Progress, Step, StreamId};
use super::transfer;
use crate::http::{self, Request, Response};
use crate::ids::{BlockKey, Incarnation};
use crate::prompt::{BLOCK_TOKENS, Chain, Owner};
use crate::upstream::api::{
    ATTEMPT_HEADER, CacheChange, CacheEvent, CacheEvents, CancelOrder, EngineOrder, ExportOrder,
    ImportOrder, LoadReport, NOT_RUN_HEADER, OWNER_HEADER, PRIORITY_HEADER, REQUEST_HEADER,
    StoredObject, VERSION_HEADER,
};
use crate::upstream::chat::{ApiFormat, PromptDetails, PromptRequest, Usage};

/// How often a load sample is taken for the lagging report.
const SAMPLE_PERIOD: Duration = Duration::from_millis(20);
/// Events that are kept for readers.
const EVENTS_KEPT: usize = 65_536;
/// Finished or broken answers that can still be resumed.
const ANSWERS_KEPT: usize = 4_096;
/// From the begin of a prompt on which it dies until it does.
const DIES_AFTER: Duration = Duration::from_millis(20);
/// Weight loading progresses in steps of this length.
const LOAD_STEP: Duration = Duration::from_millis(10);

/// Engines of one process that load weights at the moment: they share one rate.
#[derive(Default)]
pub struct WeightStore {
    loading: AtomicU32,
}

/// A stand-in engine.
pub struct Engine {
    settings: EngineSettings,
    incarnation: Incarnation,
    faults: Arc<Faults>,
    ledger: Arc<Ledger>,
    weights: Arc<WeightStore>,
    weight_load: Duration,
    batch: Gate,
    prefill: Gate,
    client: reqwest::Client,
    state: Mutex<State>,
}

struct State {
    cache: PrefixCache,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    samples: VecDeque<(Instant, LoadReport)>,
    queued_tokens: u64,
    running: u32,
    weight_version: Option<String>,
    highest_fencing: u64,
    answers: HashMap<StreamId, Arc<Generation>>,
    answer_order: VecDeque<StreamId>,
}

/// A request on its way through the engine.
struct Work {
    generation: Arc<Generation>,
    chain: Chain,
    /// Tokens that it counts in the queue.
    queued: u64,
    priority: u8,
    import: Option<ImportOrder>,
}

impl Engine {
    /// Starts an engine with empty memory. Must be called inside a tokio runtime.
    pub fn start(
        settings: EngineSettings,
        incarnation: Incarnation,
        faults: Arc<Faults>,
        ledger: Arc<Ledger>,
        weights: Arc<WeightStore>,
        weight_load: Duration,
    ) -> Arc<Engine> {
        let state = State {
            cache: PrefixCache::new(settings.cache_tokens as usize / BLOCK_TOKENS),
            events: VecDeque::new(),
            next_event: 1,
            samples: VecDeque::new(),
            queued_tokens: 0,
            running: 0,
            weight_version: Some(settings.weight_version.clone()),
            highest_fencing: 0,
            answers: HashMap::new(),
            answer_order: VecDeque::new(),
        };
        let engine = Arc::new(Engine {
            batch: Gate::new(settings.max_batch as usize),
            prefill: Gate::new(1),
            settings,
            incarnation,
            faults,
            ledger,
            weights,
            weight_load,
            client: reqwest::Client::new(),
            state: Mutex::new(state),
        });
        tokio::spawn(engine.clone().sample());
        engine
    }

    /// Answers one HTTP request.
    pub async fn handle(self: Arc<Engine>, request: Request) -> Response {
        let segments = request.segments();
        match segments.as_slice() {
            ["v1", "chat", "completions"] => self.generate(&request, ApiFormat::Chat),
            ["v1", "completions"] => self.generate(&request, ApiFormat::Text),
            ["streams", id] => self.resume(&request, id),
            ["load"] => http::json(StatusCode::OK, &self.load()),
            ["kv", "events"] => http::json(StatusCode::OK, &self.events_after(&request)),
            ["kv", "export"] => self.export(&request).await,
            ["cancel"] => self.cancel(&request),
            ["orders"] => self.order(&request),
            _ => http::text(StatusCode::NOT_FOUND, "no such interface".into()),
        }
    }

    fn generate(self: &Arc<Engine>, request: &Request, format: ApiFormat) -> Response {
        let Ok(prompt) = request.json::<PromptRequest>() else {
            return refusal(StatusCode::BAD_REQUEST, "the body is not a prompt request");
        };
        let version = request.header(VERSION_HEADER).unwrap_or_default();
        if self.state.lock().weight_version.as_deref() != Some(version) {
            return refusal(StatusCode::CONFLICT, "another weight version is loaded");
        }
        if self.faults.get().refuse {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, "refused on demand");
        }
        let owner = Owner {
            account: request.header(OWNER_HEADER).unwrap_or_default().to_string(),
            model: self.settings.model.clone(),
            weight_version: version.to_string(),
            adapter: String::new(),
        };
        let text = prompt.prompt_text();
        let chain = Chain::new(&owner, &text);
        let request_id = request.header(REQUEST_HEADER).unwrap_or("none").to_string();
        let id = format!("{request_id}.{}", request.header(ATTEMPT_HEADER).unwrap_or("1"));
        let priority =
            request.header(PRIORITY_HEADER).and_then(|text| text.parse().ok()).unwrap_or(7);
        let import = request
            .json::<serde_json::Value>()
            .ok()
            .and_then(|body| serde_json::from_value(body.get("kv_import")?.clone()).ok());
        let generation = Arc::new(Generation {
            answer: Answer::new(&owner, &text, prompt.token_limit().max(1)),
            format,
            progress: watch::Sender::new(Progress::default()),
        });
        self.ledger.started(&self.settings.id, &request_id);
        self.keep(&id, &generation);
        if self.faults.get().dies_on.is_some_and(|fatal| text.contains(&fatal)) {
            let faults = self.faults.clone();
            tokio::spawn(async move {
                tokio::time::sleep(DIES_AFTER).await;
                faults.die();
            });
            // It never gets to its first token.
            return self.stream(id, generation, 0);
        }
        let queued = self.queue(&chain);
        let work = Work { generation: generation.clone(), chain, queued, priority, import };
        tokio::spawn(self.clone().run(work));
        self.stream(id, generation, 0)
    }

    /// Generates one answer to its end, whether or not somebody listens, unless it is cancelled.
    async fn run(self: Arc<Engine>, work: Work) {
        let Work { generation, chain, queued, priority, import } = work;
        let place: Pass = self.batch.enter(priority).await;
        {
            let mut state = self.state.lock();
            state.running += 1;
            state.cache.hold(&chain.keys);
        }
        tokio::time::sleep(Duration::from_millis(self.faults.get().delay_ms)).await;
        let imported = self.import(&chain, import).await;
        let lane = self.prefill.enter(priority).await;
        let cancelled = generation.progress.borrow().cancelled;
        let resident = self.state.lock().cache.resident(&chain.keys);
        let reused = (resident * BLOCK_TOKENS).min(chain.tokens);
        if !cancelled {
            let rate = self.settings.prefill_tokens_per_s as f64;
            let rest = (chain.tokens - reused) as f64;
            tokio::time::sleep(Duration::from_secs_f64(rest / rate)).await;
        }
        self.prefilled(&chain, queued);
        drop(lane);
        let imported_tokens = imported.min(reused);
        self.ledger.record(|counts| {
            counts.prompt_tokens += chain.tokens as u64;
            counts.imported_tokens += imported_tokens as u64;
            counts.resident_tokens += (reused - imported_tokens) as u64;
        });
        let usage = Usage {
            prompt_tokens: chain.tokens as u64,
            completion_tokens: generation.answer.tokens().into(),
            total_tokens: chain.tokens as u64 + u64::from(generation.answer.tokens()),
            prompt_tokens_details: PromptDetails {
                cached_tokens: reused as u64,
                imported_tokens: imported_tokens as u64,
            },
        };
        self.decode(&generation, usage).await;
        {
            let mut state = self.state.lock();
            state.running -= 1;
            let changes = state.cache.release(&chain.keys);
            self.publish(&mut state, changes);
        }
        drop(place);
    }

    async fn decode(&self, generation: &Generation, usage: Usage) {
        for produced in 1..=generation.answer.tokens() {
            if produced > 1 {
                tokio::time::sleep(Duration::from_micros(self.settings.token_us)).await;
            }
            if generation.progress.borrow().cancelled {
                return;
            }
            generation.progress.send_modify(|progress| {
                progress.produced = produced;
                progress.usage = usage;
            });
            self.ledger.record(|counts| counts.generated_tokens += 1);
        }
    }

    /// Counts the tokens that must be prefilled as far as is known on arrival.
    fn queue(&self, chain: &Chain) -> u64 {
        let mut state = self.state.lock();
        let resident = state.cache.resident(&chain.keys) * BLOCK_TOKENS;
        let queued = chain.tokens.saturating_sub(resident) as u64;
        state.queued_tokens += queued;
        queued
    }

    fn prefilled(&self, chain: &Chain, queued: u64) {
        let mut state = self.state.lock();
        state.queued_tokens -= queued;
        let changes = state.cache.store(&chain.keys);
        self.publish(&mut state, changes);
    }

    fn publish(&self, state: &mut State, changes: Vec<(CacheChange, BlockKey)>) {
        let due = Instant::now() + Duration::from_millis(self.settings.event_lag_ms);
        for (change, key) in changes {
            let seq = state.next_event;
            state.next_event += 1;
            let loss = self.settings.event_loss_one_in;
            if loss > 0 && seq.is_multiple_of(loss) {
                continue;
            }
            state.events.push_back((due, CacheEvent { seq, change, key }));
        }
        while state.events.len() > EVENTS_KEPT {
            state.events.pop_front();
        }
    }

    /// Imports a prefix and returns its length in tokens; 0 if it could not be had whole.
    async fn import(&self, chain: &Chain, order: Option<ImportOrder>) -> usize {
        let Some(ImportOrder { store_url, object }) = order else { return 0 };
        let blocks = object.blocks as usize;
        // The key proves owner and content: a foreign or shorter chain can't have it.
        if blocks == 0 || chain.keys.get(blocks - 1) != Some(&object.key) {
            self.ledger.record(|counts| counts.failed_imports += 1);
            return 0;
        }
        if self.state.lock().cache.resident(&chain.keys) >= blocks {
            return 0;
        }
        match transfer::fetch(&self.client, &store_url, &object).await {
            Some(()) => {
                let mut state = self.state.lock();
                let changes = state.cache.store(&chain.keys[..blocks]);
                self.publish(&mut state, changes);
                blocks * BLOCK_TOKENS
            }
            None => {
                self.ledger.record(|counts| counts.failed_imports += 1);
                0
            }
        }
    }

    async fn export(self: &Arc<Engine>, request: &Request) -> Response {
        let Ok(order) = request.json::<ExportOrder>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not an export order".into());
        };
        if self.state.lock().cache.resident(&[order.key]) == 0 {
            return http::text(StatusCode::NOT_FOUND, "the prefix is not resident".into());
        }
        let content = store::content(order.key, order.blocks);
        let object = StoredObject {
            root: order.root,
            key: order.key,
            generation: order.generation,
            blocks: order.blocks,
            size_bytes: u64::from(order.blocks)
                * BLOCK_TOKENS as u64
                * self.settings.kv_bytes_per_token,
            checksum: crc32fast::hash(&content),
        };
        match transfer::send(&self.client, &order, &object, content).await {
            Ok(()) => http::json(StatusCode::OK, &object),
            Err(status) => http::text(status, "the store did not take it".into()),
        }
    }

    fn keep(&self, id: &str, generation: &Arc<Generation>) {
        let mut state = self.state.lock();
        state.answers.insert(id.to_string(), generation.clone());
        state.answer_order.push_back(id.to_string());
        while state.answer_order.len() > ANSWERS_KEPT {
            if let Some(oldest) = state.answer_order.pop_front() {
                state.answers.remove(&oldest);
            }
        }
    }

    fn resume(&self, request: &Request, id: &str) -> Response {
        let from = request.parameter("from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let generation = self.state.lock().answers.get(id).cloned();
        match generation {
            Some(generation) => self.stream(id.to_string(), generation, from),
            None => refusal(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    fn stream(&self, id: StreamId, generation: Arc<Generation>, from: u32) -> Response {
        let parts = Parts {
            // A resumed stream breaks only if the fault is still set.
            break_at: self.faults.take_break().map(|after| from + after),
            id: if self.faults.get().crossed { format!("other-{id}") } else { id },
            model: self.settings.model.clone(),
            next: from,
            receiver: generation.progress.subscribe(),
            generation,
            step: Step::Tokens,
        };
        http::stream("text/event-stream", stream::unfold(parts, Parts::next))
    }

    fn cancel(&self, request: &Request) -> Response {
        let Ok(order) = request.json::<CancelOrder>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not a cancel order".into());
        };
        let id = format!("{}.{}", order.request_id, order.attempt);
        if let Some(generation) = self.state.lock().answers.get(&id) {
            generation.progress.send_modify(|progress| progress.cancelled = true);
        }
        http::json(StatusCode::OK, &json!({"cancelled": id}))
    }

    fn order(self: &Arc<Engine>, request: &Request) -> Response {
        let Ok(order) = request.json::<EngineOrder>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not an order".into());
        };
        {
            let mut state = self.state.lock();
            if self.settings.checks_fencing && order.fencing < state.highest_fencing {
                let highest = state.highest_fencing;
                return http::json(StatusCode::PRECONDITION_FAILED, &json!({"highest": highest}));
            }
            state.highest_fencing = state.highest_fencing.max(order.fencing);
            if state.weight_version.as_deref() == Some(&order.load_version) {
                return http::json(StatusCode::OK, &json!({"loaded": true}));
            }
            state.weight_version = None;
            state.cache.clear();
        }
        self.ledger.record(|counts| {
            counts.orders.entry(self.settings.id.clone()).or_default().push(order.fencing);
        });
        tokio::spawn(self.clone().load_weights(order.load_version));
        http::json(StatusCode::ACCEPTED, &json!({"loaded": false}))
    }

    async fn load_weights(self: Arc<Engine>, version: String) {
        self.weights.loading.fetch_add(1, Ordering::SeqCst);
        let mut done = Duration::ZERO;
        while done < self.weight_load {
            tokio::time::sleep(LOAD_STEP).await;
            done += LOAD_STEP / self.weights.loading.load(Ordering::SeqCst).max(1);
        }
        self.weights.loading.fetch_sub(1, Ordering::SeqCst);
        self.state.lock().weight_version = Some(version);
    }

    fn events_after(&self, request: &Request) -> CacheEvents {
        let after = request.parameter("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let now = Instant::now();
        let state = self.state.lock();
        let events = state
            .events
            .iter()
            .filter(|(due, event)| *due <= now && event.seq > after)
            .map(|(_, event)| event.clone())
            .collect();
        CacheEvents { incarnation: self.incarnation, events }
    }

    fn load(&self) -> LoadReport {
        let now = Instant::now();
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let state = self.state.lock();
        let sample = state.samples.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        match sample.or(state.samples.front()) {
            Some((at, report)) => {
                let age_ms = now.duration_since(*at).as_millis() as u64;
                LoadReport { age_ms, ..report.clone() }
            }
            None => self.report(&state),
        }
    }

    fn report(&self, state: &State) -> LoadReport {
        LoadReport {
            incarnation: self.incarnation,
            age_ms: 0,
            running: state.running,
            waiting: self.batch.waiting() as u32,
            queued_prefill_tokens: state.queued_tokens,
            max_batch: self.settings.max_batch as u32,
            prefill_tokens_per_s: self.settings.prefill_tokens_per_s as f64,
            kv_bytes_per_token: self.settings.kv_bytes_per_token,
            weight_version: state.weight_version.clone(),
            reproducible: self.settings.reproducible,
        }
    }

    async fn sample(self: Arc<Engine>) {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        loop {
            {
                let now = Instant::now();
                let mut state = self.state.lock();
                let report = self.report(&state);
                state.samples.push_back((now, report));
                // One sample older than the lag stays, as the one that is shown.
                while state.samples.get(1).is_some_and(|(at, _)| now.duration_since(*at) > lag) {
                    state.samples.pop_front();
                }
            }
            tokio::time::sleep(SAMPLE_PERIOD).await;
        }
    }
}

/// A refusal that proves that nothing was run.
fn refusal(status: StatusCode, message: &str) -> Response {
    let mut response = http::json(status, &json!({"error": {"message": message}}));
    http::set_header(&mut response, NOT_RUN_HEADER, "true");
    response
}
