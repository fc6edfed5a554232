//! Requests under which targets end: one caller repeats each at any entry, for a while. They must be known for
//! what they are, and nothing else may be taken for one.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::Harness;
use crate::callers::{ACCOUNTS, open_connection};
use crate::platform_stand_in::target::ENDS_TARGETS;

/// What entries say to those that are held.
pub const HELD_MESSAGE: &[u8] = b"targets have ended under this request";
/// Longest pause between two such requests, and between two tries of one.
const MAX_PAUSE_MS: u64 = 6_000;
const MAX_RETRY_PAUSE_MS: u64 = 500;
/// How often its caller tries one at the most.
const TRY_LIMIT: u32 = 40;
/// How long a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// All entries that are in touch know one after this time. Longer than deployments ask for: ends of targets
/// behind proxies show on the list alone, and a busy machine may keep a process waiting for a while.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Fewer than one in so many other requests may be held. All of one account and route ask the same here, so
/// each runs wherever a target ends; where several do and the list tells it of some only, one that ran there is
/// blamed until it tells the rest.
const MAX_HELD_ONE_IN: u64 = 100;
/// What was wrong for so long before counts as wrong still.
const RECONNECT_TIME: Duration = Duration::from_secs(5);

/// Sends such requests until it is told to end.
pub async fn run(harness: Arc<Harness>, stop: Arc<AtomicBool>) {
    let mut random = SmallRng::seed_from_u64(harness.seed ^ 0x656e_6473);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_PAUSE_MS))).await;
        number += 1;
        let path = ["/stream/", "/stream/", "/resumable/", "/safe/", "/unsafe/"]
            [random.random_range(0..5)];
        let (_, key) = ACCOUNTS[random.random_range(0..ACCOUNTS.len())];
        for attempt in 0..random.random_range(3..TRY_LIMIT) {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let request_id = format!("{}ends-{number}-{attempt}", request_id_prefix(path));
            let _ = tokio::time::timeout(
                ANSWER_TIMEOUT,
                send(&harness, path, key, &request_id, number, &mut random),
            )
            .await;
            tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_RETRY_PAUSE_MS)))
                .await;
        }
    }
}

/// How ids of requests begin that may run more than once.
fn request_id_prefix(path: &str) -> &'static str {
    match path {
        "/resumable/" => crate::platform_stand_in::account::RESUMABLE,
        "/safe/" => crate::platform_stand_in::account::REPEATABLE,
        _ => "once-",
    }
}

async fn send(
    harness: &Harness,
    path: &str,
    key: &str,
    request_id: &str,
    number: u64,
    random: &mut SmallRng,
) -> Option<()> {
    let address = {
        let system = harness.system();
        system.caller_address(random.random_range(0..system.entries()))
    };
    let mut connection = open_connection(address).await?;
    let mut body = ENDS_TARGETS.to_vec();
    body.extend_from_slice(format!(" {number}").as_bytes());
    let mut builder = Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "shop.example")
        .header("x-request-id", request_id)
        .header("x-deadline-ms", ANSWER_TIMEOUT.as_millis() as u64)
        .header("authorization", format!("Bearer {key}"));
    if path == "/stream/" || path == "/resumable/" {
        builder = builder
            .header("x-model", "m")
            .header("x-token-count", "1200,9")
            .header("x-prompt-prefix", format!("e{number}:1000,{request_id}:200"));
    }
    let message = builder.body(Full::new(Bytes::from(body))).expect("valid headers");
    let answer = connection.send_request(message).await.ok()?;
    answer.into_body().collect().await.ok().map(drop)
}

/// Records those that reached targets too often while nothing was wrong, and whether others were taken for
/// them.
pub fn check(harness: &Harness) {
    let request_counts = &harness.request_counts;
    let (sent, held) =
        (request_counts.sent.load(Ordering::Relaxed), request_counts.held.load(Ordering::Relaxed));
    if held * MAX_HELD_ONE_IN > sent {
        harness
            .record_violation(format!("{held} of {sent} held, though no target ends under them"));
    }
    let histories = harness.platform.lock().account.ending.clone();
    let is_counted = |at: Instant| !harness.had_fault_between(at - RECONNECT_TIME, at);
    for (body, history) in histories {
        if let Some(description) = history.reached_too_often(PROPAGATION_TIMEOUT, is_counted) {
            harness.record_violation(format!("{body:?}: {description}"));
        }
    }
}
