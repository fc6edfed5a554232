//! An emulated store of KV cache objects: a memory tier and a disk tier behind a link of limited
//! bandwidth.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::json;
use warp::http::{Method, StatusCode};

use super::faults::TargetFaults;
use super::ledger::Ledger;
use super::settings::StoreSettings;

use crate::http::{self, Request, Response};
use crate::ids::{BlockKey, Incarnation};
use crate::upstream::api::{BeginWrite, CommitWrite, Inventory, StoreReport, StoredObject};

/// Size of the synthetic content of a block. Transfer times are computed from the real size.
const SYNTHETIC_BYTES_PER_BLOCK: usize = 16;

pub struct Store {
    settings: StoreSettings,
    incarnation: Incarnation,
    faults: Arc<TargetFaults>,
    ledger: Arc<Ledger>,
    state: Mutex<State>,
}

struct State {
    objects: BTreeMap<BlockKey, ObjectEntry>,
    /// Total size of the objects, committed or not.
    used_bytes: u64,
    /// When the link has finished all transfers.
    link_free_at: Instant,
    next_use_tick: u64,
    /// Highest owner epoch seen for each key. Requests with a lower epoch are refused.
    owner_epochs: BTreeMap<BlockKey, u64>,
}

/// An object that is being or has been written.
struct ObjectEntry {
    metadata: StoredObject,
    content: Vec<u8>,
    committed: bool,
    last_use_tick: u64,
}

/// Returns the URL of one generation of an object.
pub fn object_url(store_url: &str, key: BlockKey, generation: u64) -> String {
    format!("{store_url}/objects/{key:032x}/{generation}")
}

/// Returns the synthetic content of a prefix.
pub fn synthetic_content(key: BlockKey, blocks: u32) -> Vec<u8> {
    let mut bytes = vec![0; blocks as usize * SYNTHETIC_BYTES_PER_BLOCK];
    blake3::Hasher::new().update(&key.to_le_bytes()).finalize_xof().fill(&mut bytes);
    bytes
}

impl Store {
    pub fn start(
        settings: StoreSettings,
        incarnation: Incarnation,
        faults: Arc<TargetFaults>,
        ledger: Arc<Ledger>,
    ) -> Arc<Store> {
        let state = State {
            objects: BTreeMap::new(),
            used_bytes: 0,
            link_free_at: Instant::now(),
            next_use_tick: 0,
            owner_epochs: BTreeMap::new(),
        };
        Arc::new(Store { settings, incarnation, faults, ledger, state: Mutex::new(state) })
    }

    pub async fn handle(self: Arc<Store>, request: Request) -> Response {
        let segments = request.segments();
        match (request.method.clone(), segments.as_slice()) {
            (Method::POST, ["objects"]) => self.begin_write(&request),
            (method, ["objects", key, generation]) => {
                let (Ok(key), Ok(generation)) =
                    (BlockKey::from_str_radix(key, 16), generation.parse())
                else {
                    return http::text(
                        StatusCode::BAD_REQUEST,
                        "the key or the generation is invalid".into(),
                    );
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
                    return http::text(
                        StatusCode::BAD_REQUEST,
                        "the key or the generation is invalid".into(),
                    );
                };
                self.commit(&request, key, generation)
            }
            (Method::GET, ["inventory"]) => http::json(StatusCode::OK, &self.inventory()),
            (Method::GET, ["load"]) => http::json(StatusCode::OK, &self.load_report()),
            _ => http::text(StatusCode::NOT_FOUND, "no such endpoint".into()),
        }
    }

    fn begin_write(&self, request: &Request) -> Response {
        let Ok(BeginWrite { object, owner_epoch }) = request.json::<BeginWrite>() else {
            return http::text(
                StatusCode::BAD_REQUEST,
                "the body is not a begin-write request".into(),
            );
        };
        let mut state = self.state.lock();
        if state.owner_epochs.get(&object.key).is_some_and(|epoch| *epoch > owner_epoch) {
            return http::text(StatusCode::PRECONDITION_FAILED, "the owner epoch is stale".into());
        }
        let is_full = state.used_bytes + object.size_bytes > self.settings.capacity_bytes;
        if is_full || self.faults.settings().full {
            return http::text(StatusCode::INSUFFICIENT_STORAGE, "the store is full".into());
        }
        // Each generation has one writer, so that its content is never a mix of two writes.
        let already_written = state.objects.get(&object.key).is_some_and(|present| {
            present.metadata.generation >= object.generation || present.committed
        });
        if already_written {
            return http::text(StatusCode::CONFLICT, "the object already exists".into());
        }
        let size_bytes = object.size_bytes;
        state.owner_epochs.insert(object.key, owner_epoch);
        let new_object = ObjectEntry {
            metadata: object.clone(),
            content: Vec::new(),
            committed: false,
            last_use_tick: 0,
        };
        if let Some(replaced) = state.objects.insert(object.key, new_object) {
            state.used_bytes -= replaced.metadata.size_bytes;
        }
        state.used_bytes += size_bytes;
        http::json(StatusCode::CREATED, &json!({"writing": true}))
    }

    async fn put(&self, request: &Request, key: BlockKey, generation: u64) -> Response {
        let Some(size_bytes) = self.touch_object(key, generation, false) else {
            return http::text(StatusCode::CONFLICT, "this generation is not being written".into());
        };
        self.reserve_link_and_wait(size_bytes, Duration::ZERO).await;
        let mut state = self.state.lock();
        match state.objects.get_mut(&key).filter(|object| object.metadata.generation == generation)
        {
            Some(object) if !object.committed => {
                object.content = request.bytes().to_vec();
                self.ledger.update(|counts| counts.export_bytes += size_bytes);
                http::json(StatusCode::OK, &json!({"written": true}))
            }
            _ => http::text(StatusCode::CONFLICT, "this generation is not being written".into()),
        }
    }

    fn commit(&self, request: &Request, key: BlockKey, generation: u64) -> Response {
        let Ok(CommitWrite { checksum }) = request.json::<CommitWrite>() else {
            return http::text(StatusCode::BAD_REQUEST, "the body is not a commit request".into());
        };
        let mut state = self.state.lock();
        let tick = state.next_use_tick;
        state.next_use_tick += 1;
        match state.objects.get_mut(&key).filter(|object| object.metadata.generation == generation)
        {
            Some(object) if crc32fast::hash(&object.content) == checksum => {
                object.committed = true;
                object.metadata.checksum = checksum;
                object.last_use_tick = tick;
                http::json(StatusCode::OK, &object.metadata)
            }
            _ => http::text(
                StatusCode::CONFLICT,
                "the generation does not exist or its checksum does not match".into(),
            ),
        }
    }

    async fn get(&self, key: BlockKey, generation: u64) -> Response {
        let Some(size_bytes) = self.touch_object(key, generation, true) else {
            return http::text(StatusCode::NOT_FOUND, "this generation is not committed".into());
        };
        let is_on_disk = self.is_on_disk(key);
        let disk_time_s = size_bytes as f64 / self.settings.disk_bytes_per_s as f64;
        let disk_delay =
            if is_on_disk { Duration::from_secs_f64(disk_time_s) } else { Duration::ZERO };
        self.reserve_link_and_wait(size_bytes, disk_delay).await;
        let state = self.state.lock();
        let object = state.objects.get(&key);
        // The object may have been deleted during the transfer.
        match object.filter(|object| object.metadata.generation == generation && object.committed) {
            Some(object) => {
                self.ledger.update(|counts| counts.import_bytes += size_bytes);
                let mut content = object.content.clone();
                if self.faults.settings().damage {
                    content.truncate(content.len() / 2);
                }
                http::body(StatusCode::OK, "application/octet-stream", content)
            }
            None => {
                http::text(StatusCode::NOT_FOUND, "the object was deleted during the read".into())
            }
        }
    }

    fn delete(&self, request: &Request, key: BlockKey, generation: u64) -> Response {
        let epoch = request.parameter("epoch").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.state.lock();
        if state.owner_epochs.get(&key).is_some_and(|highest| *highest > epoch) {
            return http::text(StatusCode::PRECONDITION_FAILED, "the owner epoch is stale".into());
        }
        state.owner_epochs.insert(key, epoch);
        if state.objects.get(&key).is_some_and(|object| object.metadata.generation == generation)
            && let Some(object) = state.objects.remove(&key)
        {
            state.used_bytes -= object.metadata.size_bytes;
        }
        http::json(StatusCode::OK, &json!({"freed": true}))
    }

    /// Marks an object as used and returns its size. Returns `None` if there is no object with this
    /// generation and state.
    fn touch_object(&self, key: BlockKey, generation: u64, expect_committed: bool) -> Option<u64> {
        let mut state = self.state.lock();
        let tick = state.next_use_tick;
        state.next_use_tick += 1;
        let object = state.objects.get_mut(&key)?;
        if object.metadata.generation != generation || object.committed != expect_committed {
            return None;
        }
        object.last_use_tick = tick;
        Some(object.metadata.size_bytes)
    }

    /// Returns whether an object is on disk because more recently used ones fill the memory tier.
    fn is_on_disk(&self, key: BlockKey) -> bool {
        let state = self.state.lock();
        let Some(object) = state.objects.get(&key) else { return false };
        let newer_bytes: u64 = state
            .objects
            .values()
            .filter(|other| other.last_use_tick > object.last_use_tick)
            .map(|other| other.metadata.size_bytes)
            .sum();
        newer_bytes + object.metadata.size_bytes > self.settings.memory_bytes
    }

    /// Reserves the link for a transfer, after those already reserved. Waits until the transfer and
    /// the disk access are complete.
    async fn reserve_link_and_wait(&self, size_bytes: u64, disk_delay: Duration) {
        let completed_at = {
            let mut state = self.state.lock();
            let slowdown = self.faults.settings().link_slower.max(1.0);
            let link_time_s = size_bytes as f64 * slowdown / self.settings.link_bytes_per_s as f64;
            let start = state.link_free_at.max(Instant::now());
            state.link_free_at = start + Duration::from_secs_f64(link_time_s);
            state.link_free_at + disk_delay
        };
        tokio::time::sleep_until(completed_at.into()).await;
    }

    fn inventory(&self) -> Inventory {
        let state = self.state.lock();
        let committed = state.objects.values().filter(|object| object.committed);
        Inventory { objects: committed.map(|object| object.metadata.clone()).collect() }
    }

    fn load_report(&self) -> StoreReport {
        let state = self.state.lock();
        let backlog = state.link_free_at.saturating_duration_since(Instant::now());
        let slowdown = self.faults.settings().link_slower.max(1.0);
        StoreReport {
            incarnation: self.incarnation,
            used_bytes: state.used_bytes,
            capacity_bytes: self.settings.capacity_bytes,
            link_bytes_per_s: self.settings.link_bytes_per_s as f64 / slowdown,
            backlog_ms: backlog.as_millis() as u64,
        }
    }
}
