//! Reads the cache contents of all engines when a scheduler starts. Otherwise contexts that are
//! resident on an engine would be computed again on another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use http::{Method, StatusCode};

use super::scheduler_service::SchedulerService;
use crate::clock::boot_now;
use crate::ids::TargetStart;
use crate::log::Term;
use crate::net::http::{CallError, HttpCall, fetch};
use crate::platform::stores::{self, Events};
use crate::telemetry::logs::or_dash;

/// How long the engine may hold a request open until it has events. Shorter waits are charged as
/// health checks.
const EVENT_WAIT: Duration = Duration::from_millis(200);
/// Timeout of a request. An answer can contain several thousand events.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of engines read concurrently. An answer takes up to several hundred kilobytes.
const MAX_CONCURRENT_READS: usize = 6;

/// Time limit for reading all engines. Prompts wait for about half of it. After that the reads
/// compete with placements, and among thousands of engines a single one matters little.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Reads the events that the engines still retain and passes them to the scheduler.
pub async fn run(
    scheduling: Rc<SchedulerService>,
    engines: Vec<(TargetStart, SocketAddr)>,
    term: Term,
) {
    let count = engines.len();
    let scheduling = &scheduling;
    let reading = futures::stream::iter(engines).map(|(engine, address)| async move {
        match read(&engine, address).await {
            Ok(page) => {
                scheduling.wait_for_leadership(term).await;
                let now = boot_now();
                let recalled = scheduling.with_scheduler(|scheduler| {
                    // Later events from stores carry the clock too, but may be a long time off.
                    page.clock_ms.into_iter().for_each(|ms| scheduler.read_clock(ms, now));
                    scheduler.observe_cache_events(&engine, page.events)
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
        .buffer_unordered(MAX_CONCURRENT_READS)
        .take_until(tokio::time::sleep(TOTAL_TIMEOUT))
        .fold((0, 0), |(read, sum), parts| async move { (read + 1, sum + parts) })
        .await;
    let _ = scheduling.with_scheduler(|scheduler| scheduler.set_engine_caches_known());
    log::info!("event=engine_caches_read engines={read} of={count} parts={parts}");
}

async fn read(engine: &TargetStart, address: SocketAddr) -> Result<Events, CallError> {
    let call = HttpCall::new(address, Method::GET, &stores::events_path(0))
        .with_long_response()
        .with_header(stores::WAIT_HEADER, &EVENT_WAIT.as_millis().to_string());
    let answer = fetch(call, READ_TIMEOUT).await?;
    match answer.status {
        StatusCode::OK => {
            let page = stores::decode_events(&answer.body)?;
            match engine.may_match_birth(page.start.born_ms) {
                true => Ok(page),
                false => Err(format!(
                    "another start of the engine answered, born {}",
                    or_dash(page.start.born_ms)
                )
                .into()),
            }
        }
        status => Err(format!("the engine answered {status}").into()),
    }
}
