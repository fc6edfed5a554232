//! The operator: publishes deployments, names weights, reads back, and checks what is in force.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use crate::World;
use crate::callers::{ACCOUNTS, open};
use crate::system::REPLICAS;

/// An acknowledged deployment is in force everywhere after this time. Longer than deployments ask
/// for: a busy machine may keep a process waiting for a while.
const IN_FORCE: Duration = Duration::from_secs(10);
/// A route or key is not refused for good later than this after its deployment was acknowledged: as deployments ask
/// for, and by every entry, whatever befalls it.
const NOT_REFUSED_AFTER: Duration = Duration::from_secs(2);
/// Longest wait for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The first of the numbers that tell these requests from others.
const REFUSALS_FROM: u64 = 2_000_000;
/// Longest wait for the system to be whole again after its last fault.
const RECOVERS_WITHIN: Duration = Duration::from_secs(40);

/// What the operator knows.
#[derive(Default)]
pub struct Published {
    /// Versions that were sent, with their documents.
    sent: Vec<(u64, Value)>,
    /// The newest version that was acknowledged, and when.
    acknowledged: Option<(u64, Instant)>,
}

/// Routes for each kind, and a route and a key that only this version has.
fn document(version: u64, store: &str) -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool| {
        json!({"Name": name, "Host": "shop.example", "PathPrefix": format!("/{name}/"),
               "Kind": kind, "TimeoutMs": 4000, "SloMs": 400, "Priority": 1, "Service": service,
               "Attempts": 2, "Public": false, "Sticky": kind == "stream",
               "Resumable": resumable, "GapTargetMs": 300})
    };
    let mut tenants: Vec<Value> = ACCOUNTS
        .iter()
        .map(|(name, key)| {
            let isolated = *name == crate::platform_stand_in::target::ISOLATED_ACCOUNT;
            json!({"Name": name, "ApiKeys": [key], "Isolated": isolated})
        })
        .collect();
    tenants.push(json!({"Name": "changing", "ApiKeys": [key_of(version)]}));
    json!({"Version": version,
           "Routes": [route("unsafe", "unsafe", "app", false), route("safe", "safe", "app", false),
                      route("stream", "stream", "llm", false),
                      route("resumable", "stream", "llm", true),
                      route(&only(version), "safe", "app", false)],
           "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConns": 100},
                        {"Name": "llm", "HealthPath": "/healthz", "MaxConns": 100,
                         "Engine": {"Slots": 16, "KvCapacity": 60_000, "KvTokenBytes": 1000,
                                    "LinkMbps": 1_000_000.0, "Models": [{"Name": "m"}]}},
                        {"Name": "store", "KvStoreAddr": store, "Zone": "hall-0", "Managed": true,
                         "KvCapacity": 30_000, "LinkMbps": 1_000_000.0, "first_ms": 0.5}],
           "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                      "IdleTimeoutMs": 15000},
           "Tenants": tenants})
}

fn only(version: u64) -> String {
    format!("only-{version}")
}

fn key_of(version: u64) -> String {
    format!("key-of-{version}")
}

/// Makes changes until it is told to end.
pub async fn run(world: Arc<World>, ending: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(world.seed ^ 0x6f70);
    let mut version = world.published().newest();
    while !ending.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(50..900))).await;
        match random.random_range(0..10) {
            0..=3 => {
                version += random.random_range(1..4);
                publish(&world, version).await;
            }
            4 => send_older(&world, version, &mut random).await,
            5 => send_invalid(&world, version + 1, &mut random).await,
            6 if random.random_ratio(1, 2) => name_weights(&world).await,
            _ => read_back(&world, random.random_range(0..REPLICAS)).await,
        }
    }
}

/// Sends a version until a replica acknowledges it, or for some seconds.
pub async fn publish(world: &World, version: u64) -> bool {
    let document = document(version, &world.store.to_string());
    world.published().sent.push((version, document.clone()));
    for _ in 0..4 {
        for replica in 0..REPLICAS {
            let answer = call(world, replica, "PUT", "/config", Some(&document)).await;
            match answer {
                Some((200, _)) => {
                    let mut published = world.published();
                    let newest = published.acknowledged.map_or(0, |(newest, _)| newest);
                    if version > newest {
                        published.acknowledged = Some((version, Instant::now()));
                    }
                    return true;
                }
                Some((status @ 400..=499, text)) if status != 408 && status != 429 => {
                    world.violation(format!("version {version} is refused: {status} {text}"));
                    return false;
                }
                _ => {}
            }
        }
    }
    false
}

async fn send_older(world: &World, newest: u64, random: &mut SmallRng) {
    let Some(older) = newest.checked_sub(random.random_range(0..3)).filter(|v| *v > 0) else {
        return;
    };
    let mut other = document(older, &world.store.to_string());
    other["Note"] = json!("other content under a number that was used");
    // Only one that was sent before: its number is taken, or was passed by.
    if !world.published().is_passed(older) {
        return;
    }
    call(world, random.random_range(0..REPLICAS), "PUT", "/config", Some(&other)).await;
}

async fn send_invalid(world: &World, version: u64, random: &mut SmallRng) {
    let mut invalid = document(version, &world.store.to_string());
    match random.random_range(0..4) {
        0 => invalid["Routes"][0]["Service"] = json!("nobody"),
        1 => invalid["Routes"][1]["PathPrefix"] = invalid["Routes"][0]["PathPrefix"].clone(),
        2 => invalid["Routes"][0]["TimeoutMs"] = json!(0),
        _ => invalid["Tenants"][1]["ApiKeys"] = invalid["Tenants"][0]["ApiKeys"].clone(),
    }
    let replica = random.random_range(0..REPLICAS);
    if let Some((200, _)) = call(world, replica, "PUT", "/config", Some(&invalid)).await {
        world.violation(format!("an invalid deployment is acknowledged: {invalid}"));
    }
}

async fn name_weights(world: &World) {
    let version = {
        let mut platform = world.platform.lock();
        platform.named_weights += 1;
        platform.named_weights
    };
    let body = json!({"Model": "m", "Version": version});
    for _ in 0..4 {
        for replica in 0..REPLICAS {
            let answer = call(world, replica, "POST", "/version-put", Some(&body)).await;
            if answer.is_some_and(|(status, _)| status == 200) {
                let mut platform = world.platform.lock();
                return platform.observations.announced_weights.push((version, Instant::now()));
            }
        }
    }
}

/// A read is never older than what was acknowledged before it was sent.
async fn read_back(world: &World, replica: usize) {
    let before = world.published().acknowledged.map_or(0, |(version, _)| version);
    let Some((200, text)) = call(world, replica, "GET", "/config", None).await else { return };
    let read: Value = serde_json::from_str(&text).unwrap_or_default();
    let version = read["Version"].as_u64().unwrap_or(0);
    if version < before {
        world.violation(format!(
            "replica-{replica} shows {version} after {before} was acknowledged"
        ));
    }
    if !world.published().sent.iter().any(|(sent, document)| *sent == version && *document == read)
    {
        world.violation(format!("replica-{replica} shows what was not sent: {text}"));
    }
}

/// Asks entries for routes that only some versions have, until it is told to end.
pub async fn probe(world: Arc<World>, ending: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(world.seed ^ 0x7072);
    let mut seen: Vec<(u32, u64)> = vec![(0, 0); world.entries];
    let mut count = 0;
    while !ending.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let entry = random.random_range(0..world.entries);
        let (version, acknowledged) = {
            let published = world.published();
            let Some((newest, at)) = published.acknowledged else { continue };
            let back = random.random_range(0..3);
            let sent = published.sent.iter().map(|(version, _)| *version).rev();
            (sent.clone().nth(back).unwrap_or(newest), (newest, at))
        };
        let (address, start, asked_at) = {
            let system = world.system();
            (system.callers(entry), system.processes[entry].starts, Instant::now())
        };
        count += 1;
        check_refusal(&world, entry, address, count).await;
        let Some(status) = ask(address, &only(version), ACCOUNTS[0].1, count).await else {
            continue;
        };
        if !(200..300).contains(&status) && status != 404 {
            continue;
        }
        let is_calm = !world.is_harmed(asked_at - IN_FORCE)
            && world.system().disturbed_since(entry, asked_at - IN_FORCE).is_empty()
            && world.system().processes[entry].starts == start;
        let (newest, at) = acknowledged;
        world.judged.fetch_add(u64::from(is_calm), Ordering::Relaxed);
        let is_due = is_calm && asked_at.saturating_duration_since(at) > IN_FORCE;
        if is_due && status != 404 && version < newest {
            world.violation(format!("entry-{entry} obeys {version} long after {newest}"));
        }
        if is_due && status == 404 && version == newest && world.published().is_newest(newest) {
            world.violation(format!("entry-{entry} does not know {newest} after {IN_FORCE:?}"));
        }
        if status != 404 {
            let (seen_start, seen_version) = &mut seen[entry];
            if *seen_start == start && version < *seen_version {
                world.violation(format!("entry-{entry} obeys {version} after {seen_version}"));
            }
            if *seen_start != start || version > *seen_version {
                (*seen_start, *seen_version) = (start, version);
            }
        }
    }
}

/// Asks an entry for what only the newest deployment allows, a route or a key by turns.
async fn check_refusal(world: &World, entry: usize, address: std::net::SocketAddr, count: u64) {
    let Some((newest, at)) = world.published().acknowledged else { return };
    if at.elapsed() <= NOT_REFUSED_AFTER {
        return;
    }
    let (route, key) = match count % 2 {
        0 => (only(newest), ACCOUNTS[0].1.to_string()),
        _ => ("safe".to_string(), key_of(newest)),
    };
    let Some(status) = ask(address, &route, &key, REFUSALS_FROM + count).await else { return };
    world.finals.fetch_add(1, Ordering::Relaxed);
    let is_final = [401, 403, 404].contains(&status);
    if is_final && world.published().is_newest(newest) {
        let after = at.elapsed();
        world.violation(format!(
            "entry-{entry} refuses {route} with {key} for good: {status}, {after:?} after {newest}"
        ));
    }
}

async fn ask(address: std::net::SocketAddr, route: &str, key: &str, count: u64) -> Option<u16> {
    let request = Request::builder()
        .uri(format!("/{route}/"))
        .header("host", "shop.example")
        .header("x-request-id", format!("safe-probe-{count}"))
        .header("x-deadline-ms", 2_000)
        .header("authorization", format!("Bearer {key}"))
        .body(Full::new(Bytes::new()))
        .expect("valid headers");
    let mut sender = open(address).await?;
    let answer =
        tokio::time::timeout(CALL_TIMEOUT, sender.send_request(request)).await.ok()?.ok()?;
    Some(answer.status().as_u16())
}

/// After the last fault: a request is answered by each entry, a change is taken, and read back.
pub async fn check_recovery(world: &World) {
    let begun = Instant::now();
    let version = world.published().newest() + 1;
    while !publish(world, version).await {
        if begun.elapsed() > RECOVERS_WITHIN {
            return world.violation("no change is taken after the last fault".to_string());
        }
    }
    for entry in 0..world.entries {
        let address = world.system().callers(entry);
        let mut count = 0;
        while ask(address, &only(version), ACCOUNTS[0].1, 1_000_000 + count).await != Some(200) {
            count += 1;
            // One that was stopped by plan may have to be started still.
            let wrong = world.system().look_after();
            wrong.into_iter().for_each(|what| world.violation(what));
            tokio::time::sleep(Duration::from_millis(100)).await;
            if begun.elapsed() > RECOVERS_WITHIN {
                return world
                    .violation(format!("entry-{entry} does not serve after the last fault"));
            }
        }
    }
    for replica in 0..REPLICAS {
        read_back(world, replica).await;
    }
}

async fn call(
    world: &World,
    replica: usize,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Option<(u16, String)> {
    let address = {
        let system = world.system();
        system.operators(system.replicas().start + replica)
    };
    let calling = async {
        let mut to = address;
        // A replica that does not lead names the one that does.
        for _ in 0..3 {
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header("host", to.to_string())
                .body(Full::new(Bytes::from(body.map(Value::to_string).unwrap_or_default())))
                .expect("a valid request");
            let answer = open(to).await?.send_request(request).await.ok()?;
            let location = answer.headers().get("location").and_then(|l| l.to_str().ok());
            match location.and_then(|l| l.strip_prefix("http://")?.split('/').next()?.parse().ok())
            {
                Some(other) if answer.status() == 307 => to = other,
                _ => {
                    let status = answer.status().as_u16();
                    let body = answer.into_body().collect().await.ok()?.to_bytes();
                    return Some((status, String::from_utf8_lossy(&body).into_owned()));
                }
            }
        }
        None
    };
    tokio::time::timeout(CALL_TIMEOUT, calling).await.ok()?
}

impl Published {
    /// The highest version that was sent.
    pub fn newest(&self) -> u64 {
        self.sent.iter().map(|(version, _)| *version).max().unwrap_or(0)
    }

    fn is_newest(&self, version: u64) -> bool {
        self.newest() == version
    }

    /// Whether a version was acknowledged, or a later one.
    fn is_passed(&self, version: u64) -> bool {
        self.acknowledged.is_some_and(|(newest, _)| newest >= version)
    }
}
