//! An emulated model engine with continuous batching, a prefix cache, delayed reports and fenced
//! orders.

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
use super::faults::TargetFaults;
use super::ledger::Ledger;
use super::load_samples::LoadSamples;
use super::priority_semaphore::{Permit, PrioritySemaphore};
use super::settings::EngineSettings;
use super::store;
use super::stream::{Completion, CompletionStream, Progress, StreamId, StreamState};
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

/// Interval between the load samples from which delayed load reports are served.
const LOAD_SAMPLE_PERIOD: Duration = Duration::from_millis(20);
/// Number of cache events that can be read.
const MAX_RETAINED_EVENTS: usize = 65_536;
/// Number of completions that can be resumed.
const MAX_RETAINED_COMPLETIONS: usize = 4_096;
/// Delay between accepting a prompt that crashes the engine and the crash.
const CRASH_DELAY: Duration = Duration::from_millis(20);
/// Interval between updates of the progress of a weight load.
const WEIGHT_LOAD_STEP: Duration = Duration::from_millis(10);

/// Number of engines that are loading weights. They share the bandwidth.
#[derive(Default)]
pub struct ActiveWeightLoads {
    count: AtomicU32,
}

pub struct Engine {
    settings: EngineSettings,
    incarnation: Incarnation,
    faults: Arc<TargetFaults>,
    ledger: Arc<Ledger>,
    weight_loads: Arc<ActiveWeightLoads>,
    /// How long a weight load takes while no other engine loads weights.
    weight_load_duration: Duration,
    batch_slots: PrioritySemaphore,
    /// Has one permit: prompts are prefilled one at a time.
    prefill_slot: PrioritySemaphore,
    client: reqwest::Client,
    state: Mutex<State>,
}

struct State {
    cache: PrefixCache,
    /// Cache events, each with the time from which it can be read.
    events: VecDeque<(Instant, CacheEvent)>,
    next_event_seq: u64,
    load_samples: LoadSamples,
    /// Tokens to be prefilled for all accepted requests, estimated when each arrived.
    queued_prefill_tokens: u64,
    /// Number of requests in the batch.
    running: u32,
    /// `None` while weights are loading.
    weight_version: Option<String>,
    highest_fencing_number: u64,
    completions: HashMap<StreamId, Arc<Completion>>,
    /// The keys of `completions`, oldest first.
    completion_order: VecDeque<StreamId>,
}

/// A prompt that was accepted.
struct PromptJob {
    completion: Arc<Completion>,
    chain: Chain,
    /// Number of its tokens in `State::queued_prefill_tokens`.
    queued_tokens: u64,
    priority: u8,
    import: Option<ImportOrder>,
}

impl Engine {
    /// Starts an engine with an empty cache. Must be called within a tokio runtime.
    pub fn start(
        settings: EngineSettings,
        incarnation: Incarnation,
        faults: Arc<TargetFaults>,
        ledger: Arc<Ledger>,
        weight_loads: Arc<ActiveWeightLoads>,
        weight_load_duration: Duration,
    ) -> Arc<Engine> {
        let state = State {
            cache: PrefixCache::new(settings.cache_tokens as usize / BLOCK_TOKENS),
            events: VecDeque::new(),
            next_event_seq: 1,
            load_samples: LoadSamples::new(Duration::from_millis(settings.load_lag_ms)),
            queued_prefill_tokens: 0,
            running: 0,
            weight_version: Some(settings.weight_version.clone()),
            highest_fencing_number: 0,
            completions: HashMap::new(),
            completion_order: VecDeque::new(),
        };
        let engine = Arc::new(Engine {
            batch_slots: PrioritySemaphore::new(settings.max_batch as usize),
            prefill_slot: PrioritySemaphore::new(1),
            settings,
            incarnation,
            faults,
            ledger,
            weight_loads,
            weight_load_duration,
            client: reqwest::Client::new(),
            state: Mutex::new(state),
        });
        tokio::spawn(engine.clone().sample_load());
        engine
    }

    pub async fn handle(self: Arc<Engine>, request: Request) -> Response {
        let segments = request.segments();
        match segments.as_slice() {
            ["v1", "chat", "completions"] => self.start_completion(&request, ApiFormat::Chat),
            ["v1", "completions"] => self.start_completion(&request, ApiFormat::Text),
            ["streams", id] => self.resume(&request, id),
            ["load"] => http::json(StatusCode::OK, &self.load_report()),
            ["kv", "events"] => http::json(StatusCode::OK, &self.events_after(&request)),
            ["kv", "export"] => self.export(&request).await,
            ["cancel"] => self.cancel(&request),
            ["orders"] => self.handle_order(&request),
            _ => http::text(StatusCode::NOT_FOUND, "no such endpoint".into()),
        }
    }

    fn start_completion(self: &Arc<Engine>, request: &Request, format: ApiFormat) -> Response {
        let Ok(prompt) = request.json::<PromptRequest>() else {
            return refuse_not_run(StatusCode::BAD_REQUEST, "the body is not a prompt request");
        };
        let version = request.header(VERSION_HEADER).unwrap_or_default();
        if self.state.lock().weight_version.as_deref() != Some(version) {
            return refuse_not_run(StatusCode::CONFLICT, "another weight version is loaded");
        }
        if self.faults.settings().refuse {
            return refuse_not_run(StatusCode::SERVICE_UNAVAILABLE, "refused by an injected fault");
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
        let completion = Arc::new(Completion {
            answer: Answer::new(&owner, &text, prompt.token_limit().max(1)),
            format,
            progress: watch::Sender::new(Progress::default()),
        });
        self.ledger.record_start(&self.settings.id, &request_id);
        self.retain_completion(&id, &completion);
        if self.faults.settings().dies_on.is_some_and(|pattern| text.contains(&pattern)) {
            let faults = self.faults.clone();
            tokio::spawn(async move {
                tokio::time::sleep(CRASH_DELAY).await;
                faults.crash();
            });
            // The prompt is not run, so that the engine crashes before the first token.
            return self.stream_response(id, completion, 0);
        }
        let queued_tokens = self.add_to_queue(&chain);
        let job =
            PromptJob { completion: completion.clone(), chain, queued_tokens, priority, import };
        tokio::spawn(self.clone().run_prompt(job));
        self.stream_response(id, completion, 0)
    }

    /// Runs a prompt to its end unless it is cancelled, even if the client disconnects.
    async fn run_prompt(self: Arc<Engine>, job: PromptJob) {
        let PromptJob { completion, chain, queued_tokens, priority, import } = job;
        let batch_permit: Permit = self.batch_slots.acquire(priority).await;
        {
            let mut state = self.state.lock();
            state.running += 1;
            state.cache.pin(&chain.keys);
        }
        tokio::time::sleep(Duration::from_millis(self.faults.settings().delay_ms)).await;
        let import_len_tokens = self.import(&chain, import).await;
        let prefill_permit = self.prefill_slot.acquire(priority).await;
        let cancelled = completion.progress.borrow().cancelled;
        let resident_blocks = self.state.lock().cache.resident_blocks(&chain.keys);
        let reused_tokens = (resident_blocks * BLOCK_TOKENS).min(chain.tokens);
        if !cancelled {
            let rate = self.settings.prefill_tokens_per_s as f64;
            let uncached_tokens = (chain.tokens - reused_tokens) as f64;
            tokio::time::sleep(Duration::from_secs_f64(uncached_tokens / rate)).await;
        }
        self.finish_prefill(&chain, queued_tokens);
        drop(prefill_permit);
        let imported_tokens = import_len_tokens.min(reused_tokens);
        self.ledger.update(|counts| {
            counts.prompt_tokens += chain.tokens as u64;
            counts.imported_tokens += imported_tokens as u64;
            counts.resident_tokens += (reused_tokens - imported_tokens) as u64;
        });
        let usage = Usage {
            prompt_tokens: chain.tokens as u64,
            completion_tokens: completion.answer.tokens().into(),
            total_tokens: chain.tokens as u64 + u64::from(completion.answer.tokens()),
            prompt_tokens_details: PromptDetails {
                cached_tokens: reused_tokens as u64,
                imported_tokens: imported_tokens as u64,
            },
        };
        self.decode(&completion, usage).await;
        {
            let mut state = self.state.lock();
            state.running -= 1;
            let changes = state.cache.unpin(&chain.keys);
            self.publish_cache_events(&mut state, changes);
        }
        drop(batch_permit);
    }

    async fn decode(&self, completion: &Completion, usage: Usage) {
        for produced_tokens in 1..=completion.answer.tokens() {
            if produced_tokens > 1 {
                tokio::time::sleep(Duration::from_micros(self.settings.token_us)).await;
            }
            if completion.progress.borrow().cancelled {
                return;
            }
            completion.progress.send_modify(|progress| {
                progress.produced_tokens = produced_tokens;
                progress.usage = usage;
            });
            self.ledger.update(|counts| counts.generated_tokens += 1);
        }
    }

    /// Estimates the tokens to be prefilled for a new request from the current cache contents, and
    /// adds them to the queue. Returns their number.
    fn add_to_queue(&self, chain: &Chain) -> u64 {
        let mut state = self.state.lock();
        let resident_tokens = state.cache.resident_blocks(&chain.keys) * BLOCK_TOKENS;
        let queued_tokens = chain.tokens.saturating_sub(resident_tokens) as u64;
        state.queued_prefill_tokens += queued_tokens;
        queued_tokens
    }

    fn finish_prefill(&self, chain: &Chain, queued_tokens: u64) {
        let mut state = self.state.lock();
        state.queued_prefill_tokens -= queued_tokens;
        let changes = state.cache.insert(&chain.keys);
        self.publish_cache_events(&mut state, changes);
    }

    fn publish_cache_events(&self, state: &mut State, changes: Vec<(CacheChange, BlockKey)>) {
        let visible_at = Instant::now() + Duration::from_millis(self.settings.event_lag_ms);
        for (change, key) in changes {
            let seq = state.next_event_seq;
            state.next_event_seq += 1;
            let loss_one_in = self.settings.event_loss_one_in;
            if loss_one_in > 0 && seq.is_multiple_of(loss_one_in) {
                continue;
            }
            state.events.push_back((visible_at, CacheEvent { seq, change, key }));
        }
        while state.events.len() > MAX_RETAINED_EVENTS {
            state.events.pop_front();
        }
    }

    /// Imports a prefix. Returns its length in tokens, or 0 if nothing was imported.
    async fn import(&self, chain: &Chain, order: Option<ImportOrder>) -> usize {
        let Some(ImportOrder { store_url, object }) = order else { return 0 };
        let blocks = object.blocks as usize;
        // Keys are hashes of the owner and content, so a prefix of another prompt has another key.
        if blocks == 0 || chain.keys.get(blocks - 1) != Some(&object.key) {
            self.ledger.update(|counts| counts.failed_imports += 1);
            return 0;
        }
        if self.state.lock().cache.resident_blocks(&chain.keys) >= blocks {
            return 0;
        }
        match transfer::import_object(&self.client, &store_url, &object).await {
            Some(()) => {
                let mut state = self.state.lock();
                let changes = state.cache.insert(&chain.keys[..blocks]);
                self.publish_cache_events(&mut state, changes);
                blocks * BLOCK_TOKENS
            }
            None => {
                self.ledger.update(|counts| counts.failed_imports += 1);
                0
            }
        }
    }

    async fn export(self: &Arc<Engine>, request: &Request) -> Response {
        let Ok(order) = request.json::<ExportOrder>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not an export order".into());
        };
        if self.state.lock().cache.resident_blocks(&[order.key]) == 0 {
            return http::text(StatusCode::NOT_FOUND, "the prefix is not resident".into());
        }
        let content = store::synthetic_content(order.key, order.blocks);
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
        match transfer::export_object(&self.client, &order, &object, content).await {
            Ok(()) => http::json(StatusCode::OK, &object),
            Err(status) => http::text(status, "the store rejected the object".into()),
        }
    }

    fn retain_completion(&self, id: &str, completion: &Arc<Completion>) {
        let mut state = self.state.lock();
        state.completions.insert(id.to_string(), completion.clone());
        state.completion_order.push_back(id.to_string());
        while state.completion_order.len() > MAX_RETAINED_COMPLETIONS {
            if let Some(oldest) = state.completion_order.pop_front() {
                state.completions.remove(&oldest);
            }
        }
    }

    fn resume(&self, request: &Request, id: &str) -> Response {
        let from_token = request.parameter("from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let completion = self.state.lock().completions.get(id).cloned();
        match completion {
            Some(completion) => self.stream_response(id.to_string(), completion, from_token),
            None => refuse_not_run(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    fn stream_response(
        &self,
        id: StreamId,
        completion: Arc<Completion>,
        from_token: u32,
    ) -> Response {
        let events = CompletionStream {
            // A resumed stream is aborted only if the fault is still set.
            break_at_token: self.faults.take_break_after_tokens().map(|after| from_token + after),
            id: if self.faults.settings().crossed { format!("other-{id}") } else { id },
            model: self.settings.model.clone(),
            next_token: from_token,
            progress: completion.progress.subscribe(),
            completion,
            state: StreamState::Tokens,
        };
        http::stream("text/event-stream", stream::unfold(events, CompletionStream::next_event))
    }

    fn cancel(&self, request: &Request) -> Response {
        let Ok(order) = request.json::<CancelOrder>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not a cancel order".into());
        };
        let id = format!("{}.{}", order.request_id, order.attempt);
        if let Some(completion) = self.state.lock().completions.get(&id) {
            completion.progress.send_modify(|progress| progress.cancelled = true);
        }
        http::json(StatusCode::OK, &json!({"cancelled": id}))
    }

    fn handle_order(self: &Arc<Engine>, request: &Request) -> Response {
        let Ok(order) = request.json::<EngineOrder>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not an engine order".into());
        };
        {
            let mut state = self.state.lock();
            if self.settings.checks_fencing && order.fencing < state.highest_fencing_number {
                let highest = state.highest_fencing_number;
                return http::json(StatusCode::PRECONDITION_FAILED, &json!({"highest": highest}));
            }
            state.highest_fencing_number = state.highest_fencing_number.max(order.fencing);
            if state.weight_version.as_deref() == Some(&order.load_version) {
                return http::json(StatusCode::OK, &json!({"loaded": true}));
            }
            state.weight_version = None;
            state.cache.clear();
        }
        self.ledger.update(|counts| {
            counts.orders.entry(self.settings.id.clone()).or_default().push(order.fencing);
        });
        tokio::spawn(self.clone().load_weights(order.load_version));
        http::json(StatusCode::ACCEPTED, &json!({"loaded": false}))
    }

    async fn load_weights(self: Arc<Engine>, version: String) {
        self.weight_loads.count.fetch_add(1, Ordering::SeqCst);
        let mut progress = Duration::ZERO;
        while progress < self.weight_load_duration {
            tokio::time::sleep(WEIGHT_LOAD_STEP).await;
            progress += WEIGHT_LOAD_STEP / self.weight_loads.count.load(Ordering::SeqCst).max(1);
        }
        self.weight_loads.count.fetch_sub(1, Ordering::SeqCst);
        self.state.lock().weight_version = Some(version);
    }

    fn events_after(&self, request: &Request) -> CacheEvents {
        let after = request.parameter("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let now = Instant::now();
        let state = self.state.lock();
        let events = state
            .events
            .iter()
            .filter(|(visible_at, event)| *visible_at <= now && event.seq > after)
            .map(|(_, event)| event.clone())
            .collect();
        CacheEvents { incarnation: self.incarnation, events }
    }

    fn load_report(&self) -> LoadReport {
        let state = self.state.lock();
        let delayed = state.load_samples.delayed(Instant::now());
        delayed.unwrap_or_else(|| self.current_load(&state))
    }

    fn current_load(&self, state: &State) -> LoadReport {
        LoadReport {
            incarnation: self.incarnation,
            age_ms: 0,
            running: state.running,
            waiting: self.batch_slots.waiting() as u32,
            queued_prefill_tokens: state.queued_prefill_tokens,
            max_batch: self.settings.max_batch as u32,
            prefill_tokens_per_s: self.settings.prefill_tokens_per_s as f64,
            kv_bytes_per_token: self.settings.kv_bytes_per_token,
            weight_version: state.weight_version.clone(),
            reproducible: self.settings.reproducible,
        }
    }

    async fn sample_load(self: Arc<Engine>) {
        loop {
            {
                let mut state = self.state.lock();
                let report = self.current_load(&state);
                state.load_samples.push(report, Instant::now());
            }
            tokio::time::sleep(LOAD_SAMPLE_PERIOD).await;
        }
    }
}

/// Refuses a request, with a header that marks it as not run.
fn refuse_not_run(status: StatusCode, message: &str) -> Response {
    let mut response = http::json(status, &json!({"error": {"message": message}}));
    http::set_header(&mut response, NOT_RUN_HEADER, "true");
    response
}
