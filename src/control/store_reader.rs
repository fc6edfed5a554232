//! Follows what one store holds, while this replica schedules.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};

use super::scheduling::Scheduling;
use crate::clock::boot_now;
use crate::log::Term;
use crate::net::http::{CallError, HttpCall, Session};
use crate::platform::stores;

/// How long a call for events may wait for some. Shorter waits are priced as health checks.
const WAIT: Duration = Duration::from_millis(400);
/// Longest time for an answer beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between calls, so that several events come in one answer.
const PAUSE: Duration = Duration::from_millis(40);
/// Pause after a failure.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// A few events never arrive, so the whole inventory is read again this often.
const INVENTORY_EVERY: Duration = Duration::from_secs(10);

/// Runs until this replica schedules no more in that term.
pub async fn run(scheduling: Rc<Scheduling>, store: SocketAddr, term: Term) {
    let mut told = None;
    while scheduling.is_active(term) {
        let followed = follow(&scheduling, store, term).await;
        let Err(error) = followed else {
            told = None;
            continue;
        };
        // Whatever a store that stays lost does, one line tells it.
        let kind = std::mem::discriminant(&error);
        if told != Some(kind) || matches!(error, Lost::Gap) {
            log::warn!("event=store_lost store={store} reason={:?}", error.to_string());
        }
        told = Some(kind);
        scheduling.lost_store(store);
        tokio::time::sleep(RETRY_AFTER).await;
    }
}

/// Why a store is not followed any more.
#[derive(Debug, snafu::Snafu)]
enum Lost {
    #[snafu(display("can't be reached: {source}"))]
    Unreachable { source: CallError },
    #[snafu(display("it answers {status}"))]
    Refused { status: StatusCode },
    #[snafu(display("can't be understood: {source}"))]
    Unreadable { source: serde_json::Error },
    #[snafu(display("it has started anew or lost events"))]
    Gap,
}

/// Reads the inventory, and then events until the inventory is due again.
async fn follow(scheduling: &Scheduling, store: SocketAddr, term: Term) -> Result<(), Lost> {
    let mut session = Session::new(store);
    let list = HttpCall::new(store, Method::GET, stores::LIST_PATH);
    let text = answer_of(&mut session, list).await?;
    let (inventory, clock_ms) =
        stores::decode_list(&text).map_err(|source| Lost::Unreadable { source })?;
    let (start, mut next) = (inventory.start, inventory.next);
    log::info!(
        "event=store_inventory_read store={store} start={start:?} whole={}",
        inventory.whole.len()
    );
    scheduling.until_sure(term).await;
    let now = boot_now();
    let _ = scheduling.with(|scheduler| {
        clock_ms.into_iter().for_each(|ms| scheduler.read_clock(ms, now));
        scheduler.observe_inventory(store, inventory, now);
    });
    let due = tokio::time::Instant::now() + INVENTORY_EVERY;
    while scheduling.is_active(term) && tokio::time::Instant::now() < due {
        let call = HttpCall::new(store, Method::GET, &stores::events_path(next))
            .with_header(stores::WAIT_HEADER, &WAIT.as_millis().to_string());
        let text = answer_of(&mut session, call).await?;
        let page = stores::decode_events(&text).map_err(|source| Lost::Unreadable { source })?;
        if page.has_gap || !page.start.may_be(&start) {
            return Err(Lost::Gap);
        }
        next = page.next;
        scheduling.until_sure(term).await;
        let now = boot_now();
        let _ = scheduling.with(|scheduler| {
            page.clock_ms.into_iter().for_each(|ms| scheduler.read_clock(ms, now));
            scheduler.observe_events(store, page.events, now);
        });
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}

async fn answer_of(session: &mut Session, call: HttpCall) -> Result<bytes::Bytes, Lost> {
    let answer = session.fetch(call, WAIT + ANSWER_TIMEOUT).await;
    let answer = answer.map_err(|source| Lost::Unreachable { source })?;
    match answer.status {
        StatusCode::OK => Ok(answer.body),
        status => Err(Lost::Refused { status }),
    }
}
