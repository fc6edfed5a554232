//! Reads what engines hold in memory, for a scheduler that has just begun: without it, contexts that
//! are resident somewhere would be read again elsewhere.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use http::{Method, StatusCode};

use super::scheduling::Scheduling;
use crate::clock::boot_now;
use crate::ids::TargetStart;
use crate::log::Term;
use crate::net::http::{CallError, HttpCall, fetch};
use crate::platform::stores::{self, Events};

/// How long a call for events may wait for some. Shorter waits are priced as health checks.
const WAIT: Duration = Duration::from_millis(200);
/// Longest time for an answer of some thousand events.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Engines that are read at a time. Each answer is up to some hundred kilobytes.
const AT_A_TIME: usize = 6;

/// What has not been read after this time is not read: the scheduler has other things to do, and of
/// thousands of engines each holds little that matters.
const READS_FOR: Duration = Duration::from_millis(1_500);

/// Reads the events that engines still have.
pub async fn run(scheduling: Rc<Scheduling>, engines: Vec<(TargetStart, SocketAddr)>, term: Term) {
    let count = engines.len();
    let scheduling = &scheduling;
    let reading = futures::stream::iter(engines).map(|(engine, address)| async move {
        match read(&engine, address).await {
            Ok(page) => {
                scheduling.until_sure(term).await;
                let now = boot_now();
                let recalled = scheduling.with(|scheduler| {
                    // Stores tell it with their next events, which may be long in coming.
                    page.clock_ms.into_iter().for_each(|ms| scheduler.read_clock(ms, now));
                    scheduler.recall(&engine, page.events)
                });
                recalled.unwrap_or_default()
            }
            Err(error) => {
                let reason = error.to_string();
                log::warn!("event=engine_cache_unread engine={engine} reason={reason:?}");
                0
            }
        }
    });
    let (read, parts) = reading
        .buffer_unordered(AT_A_TIME)
        .take_until(tokio::time::sleep(READS_FOR))
        .fold((0, 0), |(read, sum), parts| async move { (read + 1, sum + parts) })
        .await;
    let _ = scheduling.with(|scheduler| scheduler.memories_read());
    log::info!("event=engine_caches_read engines={read} of={count} parts={parts}");
}

async fn read(engine: &TargetStart, address: SocketAddr) -> Result<Events, CallError> {
    let call = HttpCall::new(address, Method::GET, &stores::events_path(0))
        .with_header(stores::WAIT_HEADER, &WAIT.as_millis().to_string());
    let answer = fetch(call, TIMEOUT).await?;
    match answer.status {
        StatusCode::OK => {
            let page = stores::decode_events(&answer.body)?;
            match engine.may_match_birth(page.start.born_ms) {
                true => Ok(page),
                false => {
                    Err(format!("another start answers, born {:?}", page.start.born_ms).into())
                }
            }
        }
        status => Err(format!("the engine answers {status}").into()),
    }
}
