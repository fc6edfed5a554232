//! Tracks the contents of one store while this replica schedules.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};

use super::scheduler_service::SchedulerService;
use crate::clock::boot_now;
use crate::log::Term;
use crate::net::http::{CallError, HttpCall, Session};
use crate::platform::stores;
use crate::telemetry::logs::or_dash;

/// How long the store may hold a request open until it has events. Shorter waits are charged as
/// health checks.
const EVENT_WAIT: Duration = Duration::from_millis(400);
/// Time allowed for an answer in addition to `EVENT_WAIT`.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between requests, so that events are batched.
const POLL_PAUSE: Duration = Duration::from_millis(40);
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// How often the whole inventory is read again, since events can get lost.
const INVENTORY_INTERVAL: Duration = Duration::from_secs(10);

/// Tracks the store until this replica no longer schedules in the term.
pub async fn run(scheduling: Rc<SchedulerService>, store: SocketAddr, term: Term) {
    let mut last_logged = None;
    while scheduling.is_active(term) {
        let followed = follow(&scheduling, store, term).await;
        let Err(error) = followed else {
            last_logged = None;
            continue;
        };
        // Logs a repeated failure of the same kind only once.
        let kind = std::mem::discriminant(&error);
        if last_logged != Some(kind) || matches!(error, FollowError::Gap) {
            log::warn!("event=store_lost store={store} reason={:?}", error.to_string());
        }
        last_logged = Some(kind);
        scheduling.lost_store(store);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Why tracking a store has failed.
#[derive(Debug, snafu::Snafu)]
enum FollowError {
    #[snafu(display("the store cannot be reached: {source}"))]
    Unreachable { source: CallError },
    #[snafu(display("the store answered {status}"))]
    Refused { status: StatusCode },
    #[snafu(display("the answer cannot be decoded: {source}"))]
    Unreadable { source: serde_json::Error },
    #[snafu(display("the store was restarted or events were lost"))]
    Gap,
}

/// Reads the inventory, and then events until the inventory is due again.
async fn follow(
    scheduling: &SchedulerService,
    store: SocketAddr,
    term: Term,
) -> Result<(), FollowError> {
    let mut session = Session::new(store);
    let list = HttpCall::new(store, Method::GET, stores::LIST_PATH).with_long_response();
    let text = fetch_body(&mut session, list).await?;
    let (inventory, clock_ms) =
        stores::decode_list(&text).map_err(|source| FollowError::Unreadable { source })?;
    let (start, mut next) = (inventory.start, inventory.next_event);
    log::info!(
        "event=store_inventory_read store={store} epoch={} born_ms={} whole={}",
        start.epoch,
        or_dash(start.born_ms),
        inventory.complete.len()
    );
    scheduling.wait_for_leadership(term).await;
    let now = boot_now();
    let _ = scheduling.with_scheduler(|scheduler| {
        clock_ms.into_iter().for_each(|ms| scheduler.read_clock(ms, now));
        scheduler.observe_inventory(store, inventory, now);
    });
    let due = tokio::time::Instant::now() + INVENTORY_INTERVAL;
    while scheduling.is_active(term) && tokio::time::Instant::now() < due {
        let call = HttpCall::new(store, Method::GET, &stores::events_path(next))
            .with_long_response()
            .with_header(stores::WAIT_HEADER, &EVENT_WAIT.as_millis().to_string());
        let text = fetch_body(&mut session, call).await?;
        let page =
            stores::decode_events(&text).map_err(|source| FollowError::Unreadable { source })?;
        if page.has_gap || !page.start.may_equal(&start) {
            return Err(FollowError::Gap);
        }
        next = page.next;
        scheduling.wait_for_leadership(term).await;
        let now = boot_now();
        let _ = scheduling.with_scheduler(|scheduler| {
            page.clock_ms.into_iter().for_each(|ms| scheduler.read_clock(ms, now));
            scheduler.observe_events(store, page.events, now);
        });
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Ok(())
}

async fn fetch_body(session: &mut Session, call: HttpCall) -> Result<bytes::Bytes, FollowError> {
    let answer = session.fetch(call, EVENT_WAIT + ANSWER_TIMEOUT).await;
    let answer = answer.map_err(|source| FollowError::Unreachable { source })?;
    match answer.status {
        StatusCode::OK => Ok(answer.body),
        status => Err(FollowError::Refused { status }),
    }
}
