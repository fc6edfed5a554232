//! The operator: publishes deployments and weight versions, reads deployments back, and checks
//! which version entries use.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::callers::{ACCOUNTS, open_connection};
use crate::evacuation::Evacuations;
use crate::silence;
use crate::system::REPLICAS;
use crate::{COLD_START, Harness};

/// Time until all entries use an acknowledged deployment. Exceeds the limit of the deployment, as
/// processes may be delayed on a busy machine.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
/// After this time from the acknowledgement of a deployment, no entry may permanently refuse its
/// routes and keys, even during faults.
const ACCEPTED_WITHIN: Duration = Duration::from_secs(2);
/// Time limit for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// First request number of `check_refusal`, to keep request ids distinct.
const REFUSAL_BASE: u64 = 2_000_000;
/// Operations while targets are paused, for each one in the same time otherwise.
const PAUSED_CHANGES: u32 = 3;
/// Time limit for the system to recover after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(40);

/// Deployments that the operator has published.
#[derive(Default)]
pub struct Published {
    /// Sent versions and their documents.
    sent: Vec<(u64, Value)>,
    /// The newest acknowledged version, and the time of its acknowledgement.
    acknowledged: Option<(u64, Instant)>,
}

/// Timeouts of the routes, in turn. None is below the callers' deadline.
const ROUTE_TIMEOUTS_MS: [u64; 4] = [4_000, 4_003, 6_000, 9_000];
/// Idle timeouts, in turn. Callers pause for less.
const IDLE_TIMEOUTS_MS: [u64; 3] = [15_000, 4_000, 1_500];
/// Connections that each target accepts, in turn.
const MAX_CONNECTIONS: [u64; 2] = [100, 80];

/// A deployment with a route for each kind of request, and with a route and a key that are unique
/// to the version. Timeouts, weights, priorities and limits differ between versions.
fn document(version: u64, store: &str) -> Value {
    let timeout_ms = in_turn(&ROUTE_TIMEOUTS_MS, version);
    let idle_timeout_ms = in_turn(&IDLE_TIMEOUTS_MS, version);
    let max_connections = in_turn(&MAX_CONNECTIONS, version);
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        // No target provides the second service, which gets no share.
        let split = json!([{"Service": service, "Weight": 1 + version % 90},
                           {"Service": "spare", "Weight": 0}]);
        json!({"Name": name, "Host": "shop.example", "PathPrefix": format!("/{name}/"),
               "Kind": kind, "TimeoutMs": timeout_ms, "SloMs": 400, "Priority": 1, "Split": split,
               "Attempts": 2, "Public": false, "Sticky": kind == "stream",
               "Resumable": resumable, "GapTargetMs": 300})
    };
    let mut tenants: Vec<Value> = ACCOUNTS
        .iter()
        .map(|(name, key)| {
            let isolated = *name == crate::platform_stand_in::target::ISOLATED_ACCOUNT;
            json!({"Name": name, "ApiKeys": [key], "Isolated": isolated,
                   "Priority": version % 3})
        })
        .collect();
    tenants.push(json!({"Name": "changing", "ApiKeys": [version_key(version)]}));
    json!({"Version": version,
           "Routes": [route("unsafe", "unsafe", "app", false), route("safe", "safe", "app", false),
                      route("stream", "stream", "llm", false),
                      route("resumable", "stream", "llm", true),
                      route(&version_route(version), "safe", "app", false)],
           "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConns": max_connections},
                        {"Name": "spare", "HealthPath": "/healthz", "MaxConns": max_connections},
                        {"Name": "llm", "HealthPath": "/healthz", "MaxConns": max_connections,
                         "ColdStartS": COLD_START.duration.as_secs_f64(),
                         "ColdPerS": COLD_START.requests_per_s,
                         "Engine": {"Slots": 16, "KvCapacity": 60_000, "KvTokenBytes": 1000,
                                    "LinkMbps": 1_000_000.0, "Models": [{"Name": "m"}]}},
                        {"Name": "store", "KvStoreAddr": store, "Zone": "hall-0", "Managed": true,
                         "KvCapacity": 30_000, "LinkMbps": 1_000_000.0, "first_ms": 0.5}],
           "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                      "IdleTimeoutMs": idle_timeout_ms},
           "Tenants": tenants})
}

fn in_turn(values: &[u64], version: u64) -> u64 {
    values[version as usize % values.len()]
}

fn version_route(version: u64) -> String {
    format!("only-{version}")
}

fn version_key(version: u64) -> String {
    format!("key-of-{version}")
}

/// Performs random operations until `stop` is set.
pub async fn run(harness: Arc<Harness>, stop: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x6f70);
    let mut evacuation_random = SmallRng::seed_from_u64(harness.seed ^ 0x6576);
    let mut evacuations = Evacuations::default();
    let mut version = harness.published().newest();
    while !stop.load(Ordering::Relaxed) {
        let interval = Duration::from_millis(random.random_range(50..900));
        // Changes come in series while targets are silent.
        let divisor = if silence::is_any_paused(&harness) { PAUSED_CHANGES } else { 1 };
        tokio::time::sleep(interval / divisor).await;
        match random.random_range(0..10) {
            0..=3 => {
                version += random.random_range(1..4);
                publish(&harness, version).await;
            }
            4 => send_stale(&harness, version, &mut random).await,
            5 => send_invalid(&harness, version + 1, &mut random).await,
            6 if random.random_ratio(1, 2) => set_weights_version(&harness).await,
            7 => evacuations.next(&harness, &mut evacuation_random).await,
            _ => read_back(&harness, random.random_range(0..REPLICAS)).await,
        }
    }
    evacuations.check_and_restore(&harness).await;
}

/// Sends a version to the replicas in turn. Returns whether one has acknowledged it.
pub async fn publish(harness: &Harness, version: u64) -> bool {
    let document = document(version, &harness.store.to_string());
    harness.published().sent.push((version, document.clone()));
    for _ in 0..4 {
        for replica in 0..REPLICAS {
            let answer = call(harness, replica, "PUT", "/config", Some(&document)).await;
            match answer {
                Some((200, _)) => {
                    let mut published = harness.published();
                    let newest = published.acknowledged.map_or(0, |(newest, _)| newest);
                    if version > newest {
                        published.acknowledged = Some((version, Instant::now()));
                    }
                    return true;
                }
                Some((status @ 400..=499, text)) if status != 408 && status != 429 => {
                    harness.record_violation(format!(
                        "version {version} was rejected: {status} {text}"
                    ));
                    return false;
                }
                _ => {}
            }
        }
    }
    false
}

async fn send_stale(harness: &Harness, newest: u64, random: &mut SmallRng) {
    let Some(stale_version) = newest.checked_sub(random.random_range(0..3)).filter(|v| *v > 0)
    else {
        return;
    };
    let mut other = document(stale_version, &harness.store.to_string());
    other["Note"] = json!("other content under a number that was used");
    // A version above the acknowledged one could still be accepted.
    if !harness.published().is_acknowledged(stale_version) {
        return;
    }
    call(harness, random.random_range(0..REPLICAS), "PUT", "/config", Some(&other)).await;
}

async fn send_invalid(harness: &Harness, version: u64, random: &mut SmallRng) {
    let mut invalid = document(version, &harness.store.to_string());
    match random.random_range(0..4) {
        0 => invalid["Routes"][0]["Split"][0]["Service"] = json!("nobody"),
        1 => invalid["Routes"][1]["PathPrefix"] = invalid["Routes"][0]["PathPrefix"].clone(),
        2 => invalid["Routes"][0]["TimeoutMs"] = json!(0),
        _ => invalid["Tenants"][1]["ApiKeys"] = invalid["Tenants"][0]["ApiKeys"].clone(),
    }
    let replica = random.random_range(0..REPLICAS);
    if let Some((200, _)) = call(harness, replica, "PUT", "/config", Some(&invalid)).await {
        harness.record_violation(format!("an invalid deployment was acknowledged: {invalid}"));
    }
}

async fn set_weights_version(harness: &Harness) {
    let version = {
        let mut platform = harness.platform.lock();
        platform.named_weights += 1;
        platform.named_weights
    };
    let body = json!({"Model": "m", "Version": version});
    for _ in 0..4 {
        for replica in 0..REPLICAS {
            let answer = call(harness, replica, "POST", "/version-put", Some(&body)).await;
            if answer.is_some_and(|(status, _)| status == 200) {
                let mut platform = harness.platform.lock();
                return platform.observations.announced_weights.push((version, Instant::now()));
            }
        }
    }
}

/// Reads the deployment from a replica. It must be one that was sent, and no older than the one
/// acknowledged before the read.
async fn read_back(harness: &Harness, replica: usize) {
    let before = harness.published().acknowledged.map_or(0, |(version, _)| version);
    let Some((200, text)) = call(harness, replica, "GET", "/config", None).await else { return };
    let read: Value = serde_json::from_str(&text).unwrap_or_default();
    let version = read["Version"].as_u64().unwrap_or(0);
    if version < before {
        harness.record_violation(format!(
            "replica-{replica} returned version {version} after {before} was acknowledged"
        ));
    }
    if !harness
        .published()
        .sent
        .iter()
        .any(|(sent, document)| *sent == version && *document == read)
    {
        harness.record_violation(format!(
            "replica-{replica} returned a deployment that was not sent: {text}"
        ));
    }
}

/// Requests version-specific routes from entries until `stop` is set, to check which version they
/// use.
pub async fn probe_entries(harness: Arc<Harness>, stop: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x7072);
    let mut seen: Vec<(u32, u64)> = vec![(0, 0); harness.entries];
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let entry = random.random_range(0..harness.entries);
        let (version, acknowledged) = {
            let published = harness.published();
            let Some((newest, at)) = published.acknowledged else { continue };
            let age = random.random_range(0..3);
            let sent = published.sent.iter().map(|(version, _)| *version).rev();
            (sent.clone().nth(age).unwrap_or(newest), (newest, at))
        };
        let (address, start, asked_at) = {
            let system = harness.system();
            (system.caller_address(entry), system.processes[entry].starts, Instant::now())
        };
        count += 1;
        check_refusal(&harness, entry, address, count).await;
        let Some(status) = status_of(address, &version_route(version), ACCOUNTS[0].1, count).await
        else {
            continue;
        };
        if !(200..300).contains(&status) && status != 404 {
            continue;
        }
        let is_undisturbed = !harness.had_fault_since(asked_at - IN_FORCE_TIMEOUT)
            && harness.system().disturbances_since(entry, asked_at - IN_FORCE_TIMEOUT).is_empty()
            && harness.system().processes[entry].starts == start;
        let (newest, at) = acknowledged;
        harness.version_checks.fetch_add(u64::from(is_undisturbed), Ordering::Relaxed);
        let is_due = is_undisturbed && asked_at.saturating_duration_since(at) > IN_FORCE_TIMEOUT;
        if is_due && status != 404 && version < newest {
            harness.record_violation(format!(
                "entry-{entry} still uses {version} long after {newest} was acknowledged"
            ));
        }
        if is_due && status == 404 && version == newest && harness.published().is_newest(newest) {
            harness.record_violation(format!(
                "entry-{entry} does not use {newest} after {IN_FORCE_TIMEOUT:?}"
            ));
        }
        if status != 404 {
            let (seen_start, seen_version) = &mut seen[entry];
            if *seen_start == start && version < *seen_version {
                harness.record_violation(format!(
                    "entry-{entry} went back from {seen_version} to {version}"
                ));
            }
            if *seen_start != start || version > *seen_version {
                (*seen_start, *seen_version) = (start, version);
            }
        }
    }
}

/// Checks that an entry does not permanently refuse the route or the key of the newest
/// acknowledged deployment.
async fn check_refusal(harness: &Harness, entry: usize, address: std::net::SocketAddr, count: u64) {
    let Some((newest, at)) = harness.published().acknowledged else { return };
    if at.elapsed() <= ACCEPTED_WITHIN {
        return;
    }
    let (route, key) = match count % 2 {
        0 => (version_route(newest), ACCOUNTS[0].1.to_string()),
        _ => ("safe".to_string(), version_key(newest)),
    };
    let Some(status) = status_of(address, &route, &key, REFUSAL_BASE + count).await else { return };
    harness.refusal_checks.fetch_add(1, Ordering::Relaxed);
    let is_final = [401, 403, 404].contains(&status);
    if is_final && harness.published().is_newest(newest) {
        let after = at.elapsed();
        harness.record_violation(format!(
            "entry-{entry} permanently refused {route} with {key}: {status}, {after:?} after {newest} was acknowledged"
        ));
    }
}

async fn status_of(
    address: std::net::SocketAddr,
    route: &str,
    key: &str,
    count: u64,
) -> Option<u16> {
    let request = Request::builder()
        .uri(format!("/{route}/"))
        .header("host", "shop.example")
        .header("x-request-id", format!("safe-probe-{count}"))
        .header("x-deadline-ms", 2_000)
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(Bytes::new()))
        .expect("valid headers");
    let mut sender = open_connection(address).await?;
    let answer =
        tokio::time::timeout(CALL_TIMEOUT, sender.send_request(request)).await.ok()?.ok()?;
    Some(answer.status().as_u16())
}

/// Checks that the system accepts a deployment, that all entries serve it, and that replicas
/// return it.
pub async fn check_recovery(harness: &Harness) {
    let started = Instant::now();
    let version = harness.published().newest() + 1;
    while !publish(harness, version).await {
        if started.elapsed() > RECOVERY_TIMEOUT {
            return harness.record_violation(
                "no replica accepts a deployment after the last fault".to_string(),
            );
        }
    }
    for entry in 0..harness.entries {
        let address = harness.system().caller_address(entry);
        let mut count = 0;
        while status_of(address, &version_route(version), ACCOUNTS[0].1, 1_000_000 + count).await
            != Some(200)
        {
            count += 1;
            // An entry may not have been restarted after a planned stop.
            let failures = harness.system().restart_exited();
            failures.into_iter().for_each(|description| harness.record_violation(description));
            tokio::time::sleep(Duration::from_millis(100)).await;
            if started.elapsed() > RECOVERY_TIMEOUT {
                return harness.record_violation(format!(
                    "entry-{entry} does not serve after the last fault"
                ));
            }
        }
    }
    for replica in 0..REPLICAS {
        read_back(harness, replica).await;
    }
}

pub async fn call(
    harness: &Harness,
    replica: usize,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Option<(u16, String)> {
    let address = {
        let system = harness.system();
        system.operator_address(system.replicas().start + replica)
    };
    let calling = async {
        let (mut to, mut path) = (address, path.to_string());
        // Followers redirect to the leader.
        for _ in 0..3 {
            let request = Request::builder()
                .method(method)
                .uri(&path)
                .header("host", to.to_string())
                .body(Full::new(Bytes::from(body.map(Value::to_string).unwrap_or_default())))
                .expect("a valid request");
            let answer = open_connection(to).await?.send_request(request).await.ok()?;
            if answer.status() != 307 {
                let status = answer.status().as_u16();
                let body = answer.into_body().collect().await.ok()?.to_bytes();
                return Some((status, String::from_utf8_lossy(&body).into_owned()));
            }
            let location = answer.headers().get("location")?.to_str().ok()?;
            let (host, rest) = location.strip_prefix("http://")?.split_once('/')?;
            (to, path) = (host.parse().ok()?, format!("/{rest}"));
        }
        None
    };
    tokio::time::timeout(CALL_TIMEOUT, calling).await.ok()?
}

impl Published {
    /// The highest version sent.
    pub fn newest(&self) -> u64 {
        self.sent.iter().map(|(version, _)| *version).max().unwrap_or(0)
    }

    fn is_newest(&self, version: u64) -> bool {
        self.newest() == version
    }

    /// Whether a version has been acknowledged after a time.
    pub fn has_new_since(&self, since: Instant) -> bool {
        self.acknowledged.is_some_and(|(_, at)| at >= since)
    }

    /// Whether this version or a newer one has been acknowledged.
    fn is_acknowledged(&self, version: u64) -> bool {
        self.acknowledged.is_some_and(|(newest, _)| newest >= version)
    }
}
