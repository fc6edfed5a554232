//! Checks the quarantine: a caller repeats requests that terminate their targets. Entries must
//! hold these requests, and only these.

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
use crate::platform_stand_in::target::CRASHING_BODY_PREFIX;

/// Message of an entry in the refusal of a held request.
pub const HELD_MESSAGE: &[u8] = b"targets have ended under this request";
/// Longest pause between two requests.
const MAX_PAUSE_MS: u64 = 6_000;
/// Longest pause between two attempts of a request.
const MAX_RETRY_PAUSE_MS: u64 = 500;
/// Exclusive upper bound of the attempts per request.
const TRY_LIMIT: u32 = 40;
/// Time limit for an attempt.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time until all connected entries hold a request. Exceeds the limit of the deployment, as
/// terminations behind a proxy are visible only in the target list, and processes may be delayed
/// on a busy machine.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(10);
/// At most one in this many other requests may be held. All callers of an account and route send
/// the same prompt, so it runs on every target that terminates, and may be blamed until the target
/// list shows all terminations.
const MAX_HELD_ONE_IN: u64 = 100;
/// Time after a fault until entries are connected again.
const RECONNECT_TIME: Duration = Duration::from_secs(5);

/// Sends requests that terminate their targets until `stop` is set.
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

/// Request id prefix, from which the stand-ins tell whether a request may run more than once.
fn request_id_prefix(path: &str) -> &'static str {
    match path {
        "/resumable/" => crate::platform_stand_in::observations::RESUMABLE_ID_PREFIX,
        "/safe/" => crate::platform_stand_in::observations::REPEATABLE_ID_PREFIX,
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
    let mut body = CRASHING_BODY_PREFIX.to_vec();
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

/// Records requests that reached targets too often outside fault periods, and a high ratio of
/// other requests that were held.
pub fn check(harness: &Harness) {
    let request_counts = &harness.request_counts;
    let (sent, held) =
        (request_counts.sent.load(Ordering::Relaxed), request_counts.held.load(Ordering::Relaxed));
    if held * MAX_HELD_ONE_IN > sent {
        harness.record_violation(format!(
            "{held} of {sent} requests were held although they terminate no target"
        ));
    }
    let histories = harness.platform.lock().observations.crashing_requests.clone();
    let is_counted = |at: Instant| !harness.had_fault_between(at - RECONNECT_TIME, at);
    for (body, history) in histories {
        if let Some(description) = history.reached_too_often(PROPAGATION_TIMEOUT, is_counted) {
            harness.record_violation(format!("{body:?}: {description}"));
        }
    }
}
