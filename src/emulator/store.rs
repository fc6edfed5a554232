//! A stand-in store of kept KV cache: a memory and a disk tier behind a limited link.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::json;
use warp::http::{Method, StatusCode};

use super::knobs::Faults;
use super::ledger::Ledger;
use super::settings::StoreSettings;
use crate::http::{self, Request, Response};
use crate::ids::{BlockKey, Incarnation};
use crate::upstream::api::{BeginWrite, CommitWrite, Inventory, StoreReport, StoredObject};

/// Bytes of stand-in content for each block; the link is charged for the real size.
const CONTENT_BYTES_PER_BLOCK: usize = 16;

/// A stand-in store.
pub struct Store {
    settings: StoreSettings,
    incarnation: Incarnation,
    faults: Arc<Faults>,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
}

struct State {
    objects: BTreeMap<BlockKey, Object>,
    used_bytes: u64,
    /// When the link is free again.
    link_free: Instant,
    next_use: u64,
    /// Highest epoch of an owner seen for each key; lower ones may not free it.
    epochs: BTreeMap<BlockKey, u64>,
}

struct Object {
    kept: StoredObject,
    content: Vec<u8>,
    committed: bool,
    last_use: u64,
}

/// The URL of one writing of an object.
pub fn object_url(store_url: &str, key: BlockKey, generation: u64) -> String {
    format!("{store_url}/objects/{key:032x}/{generation}")
}

/// The stand-in content of a prefix.
pub fn content(key: BlockKey, blocks: u32) -> Vec<u8> {
    let mut bytes = vec![0; blocks as usize * CONTENT_BYTES_PER_BLOCK];
    blake3::Hasher::new().update(&key.to_le_bytes()).finalize_xof().fill(&mut bytes);
    bytes
}

impl Store {
    /// An empty store.
    pub fn start(
        settings: StoreSettings,
        incarnation: Incarnation,
        faults: Arc<Faults>,
        ledger: Arc<Ledger>,
    ) -> Arc<Store> {
        let state = State {
            objects: BTreeMap::new(),
            used_bytes: 0,
            link_free: Instant::now(),
            next_use: 0,
            epochs: BTreeMap::new(),
        };
        Arc::new(Store { settings, incarnation, faults, ledger, state: Mutex::new(state) })
    }

    /// Answers one HTTP request.
    pub async fn handle(self: Arc<Store>, request: Request) -> Response {
        let segments = request.segments();
        match (request.method.clone(), segments.as_slice()) {
            (Method::POST, ["objects"]) => self.begin(&request),
            (method, ["objects", key, generation]) => {
                let (Ok(key), Ok(generation)) =
                    (BlockKey::from_str_radix(key, 16), generation.parse())
                else {
                    return http::text(StatusCode::BAD_REQUEST, "not a key".into());
                };
                match method {
                    Method::PUT => self.put(&request, key, generation).await,
                    Method::GET => self.get(key, generation).await,
                    Method::DELETE => self.delete(&request, key, generation),
                    _ => http::text(StatusCode::METHOD_NOT_ALLOWED, "PUT, GET, DELETE".into()),
                }
            }
            (Method::POST, ["objects", key, generation, "commit"]) => {
                let (Ok(key), Ok(generation)) =
                    (BlockKey::from_str_radix(key, 16), generation.parse())
                else {
                    return http::text(StatusCode::BAD_REQUEST, "not a key".into());
                };
                self.commit(&request, key, generation)
            }
            (Method::GET, ["inventory"]) => http::json(StatusCode::OK, &self.inventory()),
            (Method::GET, ["load"]) => http::json(StatusCode::OK, &self.report()),
            _ => http::text(StatusCode::NOT_FOUND, "no such interface".into()),
        }
    }

    fn begin(&self, request: &Request) -> Response {
        let Ok(BeginWrite { object, owner_epoch }) = request.json::<BeginWrite>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not a begin order".into());
        };
        let mut state = self.state.lock();
        if state.epochs.get(&object.key).is_some_and(|epoch| *epoch > owner_epoch) {
            return http::text(StatusCode::PRECONDITION_FAILED, "an old owner epoch".into());
        }
        let full = state.used_bytes + object.size_bytes > self.settings.capacity_bytes;
        if full || self.faults.get().full {
            return http::text(StatusCode::INSUFFICIENT_STORAGE, "the store is full".into());
        }
        // A generation is written once: a second writer of it would mix two contents.
        let taken = state.objects.get(&object.key).is_some_and(|present| {
            present.kept.generation >= object.generation || present.committed
        });
        if taken {
            return http::text(StatusCode::CONFLICT, "the key is there already".into());
        }
        let size = object.size_bytes;
        state.epochs.insert(object.key, owner_epoch);
        let new =
            Object { kept: object.clone(), content: Vec::new(), committed: false, last_use: 0 };
        if let Some(replaced) = state.objects.insert(object.key, new) {
            state.used_bytes -= replaced.kept.size_bytes;
        }
        state.used_bytes += size;
        http::json(StatusCode::CREATED, &json!({"writing": true}))
    }

    async fn put(&self, request: &Request, key: BlockKey, generation: u64) -> Response {
        let Some(size) = self.size_of(key, generation, false) else {
            return http::text(StatusCode::CONFLICT, "this generation is not being written".into());
        };
        self.transfer(size, Duration::ZERO).await;
        let mut state = self.state.lock();
        match state.objects.get_mut(&key).filter(|object| object.kept.generation == generation) {
            Some(object) if !object.committed => {
                object.content = request.bytes().to_vec();
                self.ledger.record(|counts| counts.export_bytes += size);
                http::json(StatusCode::OK, &json!({"written": true}))
            }
            _ => http::text(StatusCode::CONFLICT, "this generation is not being written".into()),
        }
    }

    fn commit(&self, request: &Request, key: BlockKey, generation: u64) -> Response {
        let Ok(CommitWrite { checksum }) = request.json::<CommitWrite>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not a commit".into());
        };
        let mut state = self.state.lock();
        let tick = state.next_use;
        state.next_use += 1;
        match state.objects.get_mut(&key).filter(|object| object.kept.generation == generation) {
            Some(object) if crc32fast::hash(&object.content) == checksum => {
                object.committed = true;
                object.kept.checksum = checksum;
                object.last_use = tick;
                http::json(StatusCode::OK, &object.kept)
            }
            _ => http::text(StatusCode::CONFLICT, "the content is not whole".into()),
        }
    }

    async fn get(&self, key: BlockKey, generation: u64) -> Response {
        let Some(size) = self.size_of(key, generation, true) else {
            return http::text(StatusCode::NOT_FOUND, "not committed in this generation".into());
        };
        let from_disk = self.is_on_disk(key);
        let disk_s = size as f64 / self.settings.disk_bytes_per_s as f64;
        let disk = if from_disk { Duration::from_secs_f64(disk_s) } else { Duration::ZERO };
        self.transfer(size, disk).await;
        let state = self.state.lock();
        let object = state.objects.get(&key);
        // Checked again after the transfer: it may have been freed meanwhile.
        match object.filter(|object| object.kept.generation == generation && object.committed) {
            Some(object) => {
                self.ledger.record(|counts| counts.import_bytes += size);
                let mut content = object.content.clone();
                if self.faults.get().damage {
                    content.truncate(content.len() / 2);
                }
                http::body(StatusCode::OK, "application/octet-stream", content)
            }
            None => http::text(StatusCode::NOT_FOUND, "freed during the read".into()),
        }
    }

    fn delete(&self, request: &Request, key: BlockKey, generation: u64) -> Response {
        let epoch = request.parameter("epoch").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock();
        if state.epochs.get(&key).is_some_and(|highest| *highest > epoch) {
            return http::text(StatusCode::PRECONDITION_FAILED, "an old owner epoch".into());
        }
        state.epochs.insert(key, epoch);
        if state.objects.get(&key).is_some_and(|object| object.kept.generation == generation)
            && let Some(object) = state.objects.remove(&key)
        {
            state.used_bytes -= object.kept.size_bytes;
        }
        http::json(StatusCode::OK, &json!({"freed": true}))
    }

    fn size_of(&self, key: BlockKey, generation: u64, committed: bool) -> Option<u64> {
        let mut state = self.state.lock();
        let tick = state.next_use;
        state.next_use += 1;
        let object = state.objects.get_mut(&key)?;
        if object.kept.generation != generation || object.committed != committed {
            return None;
        }
        object.last_use = tick;
        Some(object.kept.size_bytes)
    }

    /// Whether newer objects fill the memory tier, so that this one lies on disk.
    fn is_on_disk(&self, key: BlockKey) -> bool {
        let state = self.state.lock();
        let Some(object) = state.objects.get(&key) else { return false };
        let newer: u64 = state
            .objects
            .values()
            .filter(|other| other.last_use > object.last_use)
            .map(|other| other.kept.size_bytes)
            .sum();
        newer + object.kept.size_bytes > self.settings.memory_bytes
    }

    /// Waits for the link and uses it for `size` bytes.
    async fn transfer(&self, size: u64, disk: Duration) {
        let done = {
            let mut state = self.state.lock();
            let slower = self.faults.get().link_slower.max(1.0);
            let took = size as f64 * slower / self.settings.link_bytes_per_s as f64;
            let start = state.link_free.max(Instant::now());
            state.link_free = start + Duration::from_secs_f64(took);
            state.link_free + disk
        };
        tokio::time::sleep_until(done.into()).await;
    }

    fn inventory(&self) -> Inventory {
        let state = self.state.lock();
        let committed = state.objects.values().filter(|object| object.committed);
        Inventory { objects: committed.map(|object| object.kept.clone()).collect() }
    }

    fn report(&self) -> StoreReport {
        let state = self.state.lock();
        let backlog = state.link_free.saturating_duration_since(Instant::now());
        let slower = self.faults.get().link_slower.max(1.0);
        StoreReport {
            incarnation: self.incarnation,
            used_bytes: state.used_bytes,
            capacity_bytes: self.settings.capacity_bytes,
            link_bytes_per_s: self.settings.link_bytes_per_s as f64 / slower,
            backlog_ms: backlog.as_millis() as u64,
        }
    }
}
