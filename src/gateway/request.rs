//! One request of a caller, from its head to its answer.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use tokio::time::Instant;

use super::answer::{Answer, Refusal, refuse, whole};
use super::attempt::{Answered, Missed, attempt};
use super::call::Call;
use super::examine;
use super::job::Job;
use super::place::NoChoice;
use super::rank::Rank;
use super::record::{Ended, Record};
use super::relay::{self, EventRelay};
use super::state::{Confirmation, Gateway};
use crate::clock::boot_now;
use crate::deployment::{Rejection, RunPolicy, Table};
use crate::fleet::placement::SelectionError;
use crate::ids::TargetStart;
use crate::platform::headers;

/// A refused caller comes back after this at the least: about what an engine needs for a prompt.
const COME_BACK_AFTER: Duration = Duration::from_millis(200);
/// Refused callers spread their return over this time, so that they don't come as a wave.
const COME_BACK_SPREAD: Duration = Duration::from_millis(600);
/// A request that may be repeated waits this many objectives for the first part of its answer
/// before another target is asked.
const OBJECTIVES_TO_WAIT: u32 = 2;
/// A prompt waits at least this long: asking another engine costs reading it twice, and in a queue
/// that would only make the queue longer. Callers wait for two seconds or more.
const LEAST_PROMPT_WAIT: Duration = Duration::from_millis(1_500);
/// Until an entry knows a deployment and targets after all hosts lost power: an election takes up to
/// a second, and news some ten milliseconds.
const START_TAKES: Duration = Duration::from_millis(1_200);
/// A caller waits for that for at most this part of its time: it may still come back elsewhere.
const START_PART: u32 = 3;
/// Names the cache that accounts without a wall of their own share.
const SHARED_CACHE: &str = "all";

/// Answers a request.
pub async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Answer {
    let begun = boot_now();
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let call = headers::decode_call(&head.uri, &head.headers);
    let mut record = Record::new(&gateway, &call, begun);
    let mut answer = match admit(&gateway, head, call, body, arrived, &mut record).await {
        Ok(job) => serve(&gateway, job, record).await,
        Err((refusal, id)) => refused(refusal, &id, &record),
    };
    if gateway.stopping.get() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Finds the route, takes the body, and works out what all attempts share.
async fn admit(
    gateway: &Gateway,
    head: http::request::Parts,
    call: Call,
    body: Incoming,
    arrived: Instant,
    record: &mut Record,
) -> Result<Job, (Refusal, String)> {
    let patience = patience_at_start(call.deadline);
    gateway.until_deployed(patience).await;
    let table = match table_for(gateway, &call, record).await {
        Ok(table) => table,
        Err(refusal) => return Err((refusal, call.id)),
    };
    let mut job = job(&table, head, call, arrived, record)?;
    let (version, most) = (table.deployment().version, table.deployment().bounds.body_bytes);
    drop(table);
    gateway.until_served(&job.service, patience.saturating_sub(arrived.elapsed())).await;
    job.body = match read_body(body, most).await {
        Ok(body) => body,
        // Its beginning is gone, so that it can't be taken by a later deployment that allows more.
        Err(Refusal::BodyTooLarge) if gateway.confirm(version).await != Confirmation::Newest => {
            return Err((Refusal::Unconfirmed, job.call.id));
        }
        Err(refusal) => return Err((refusal, job.call.id)),
    };
    Ok(job)
}

/// The table by which a request is routed, or refused for good: only by the newest deployment.
async fn table_for(
    gateway: &Gateway,
    call: &Call,
    record: &mut Record,
) -> Result<Rc<Table>, Refusal> {
    loop {
        let table = gateway.table().ok_or(Refusal::NotReady)?;
        let version = table.deployment().version;
        record.looked_up(version);
        if table.find(&call.host, &call.path, call.key.as_deref()).is_ok() {
            return Ok(table);
        }
        match gateway.confirm(version).await {
            Confirmation::Newest => return Ok(table),
            Confirmation::LaterDeployment => {}
            Confirmation::Unknown => return Err(Refusal::Unconfirmed),
        }
    }
}

/// How long a caller is kept waiting by an entry that has just started and knows nothing yet: a
/// refusal would send it to another entry, which may have just started, too.
pub fn patience_at_start(deadline: Option<Duration>) -> Duration {
    deadline.map_or(START_TAKES, |deadline| START_TAKES.min(deadline / START_PART))
}

/// Works out what all attempts share, but for the body.
fn job(
    table: &Table,
    head: http::request::Parts,
    call: Call,
    arrived: Instant,
    record: &mut Record,
) -> Result<Job, (Refusal, String)> {
    let found = match table.find(&call.host, &call.path, call.key.as_deref()) {
        Ok(found) => found,
        Err(Rejection::NoRoute) => return Err((Refusal::NoRoute, call.id)),
        Err(Rejection::UnknownKey) => return Err((Refusal::UnknownKey, call.id)),
    };
    let route = found.route.clone();
    let rank = Rank::of(found.account, &route);
    record.routed(&route.name, rank);
    let mut random = rand::rng();
    let Some(service) = route.pick(random.random()).cloned() else {
        return Err((Refusal::NoTarget, call.id));
    };
    let isolated = found.account.filter(|account| account.is_isolated);
    let most = call.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    Ok(Job {
        method: head.method,
        uri: origin_form(&head.uri),
        headers: head.headers,
        body: Bytes::new(),
        account: found.account.map(|account| account.id.clone()),
        cache_wall: isolated
            .map_or_else(|| SHARED_CACHE.to_string(), |account| format!("only:{}", account.id)),
        rank,
        service,
        arrived,
        ends_at: arrived + most,
        drawn: random.random(),
        fingerprint: OnceCell::new(),
        route,
        call,
    })
}

/// Path and query alone: what a caller sends to a server, not to a proxy.
fn origin_form(uri: &http::Uri) -> http::Uri {
    uri.path_and_query().cloned().map(http::Uri::from).unwrap_or_default()
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, most).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_) => Err(Refusal::Malformed),
    }
}

async fn serve(gateway: &Rc<Gateway>, job: Job, mut record: Record) -> Answer {
    gateway.retries.borrow_mut().record_request(&job.service, boot_now());
    let mut tried: Vec<TargetStart> = Vec::new();
    let mut may_have_run = false;
    let resume_after = job.call.resume_after.clone();
    loop {
        let patience = patience(&job, tried.len());
        let tried_now =
            attempt(gateway, &job, &tried, resume_after.as_deref(), patience, &mut record).await;
        let (missed, target) = match tried_now {
            Ok(answered) => {
                let target = answered.target.clone();
                tried.push(target);
                let wants_another = answered.answer.status().is_server_error()
                    && job.route.policy == RunPolicy::Idempotent;
                if !(wants_another && may_try_again(gateway, &job, &tried)) {
                    return relay_answer(gateway, job, record, tried, answered).await;
                }
                may_have_run = true;
                continue;
            }
            Err(Missed::Unplaced(why)) => {
                let refusal = match (may_have_run, why) {
                    (true, _) => Refusal::Broken,
                    (false, NoChoice::Busy(come_back)) => Refusal::Busy(come_back),
                    (false, NoChoice::NoTarget(SelectionError::OldWeights)) => Refusal::OldWeights,
                    (false, NoChoice::NoTarget(_)) => Refusal::NoTarget,
                };
                return refused(refusal, &job.call.id, &record);
            }
            Err(Missed::Held(left)) => {
                let refusal = if may_have_run { Refusal::Broken } else { Refusal::Held(left) };
                return refused(refusal, &job.call.id, &record);
            }
            Err(Missed::TooLate) => {
                let refusal = if may_have_run { Refusal::TimedOut } else { Refusal::TooLate };
                return refused(refusal, &job.call.id, &record);
            }
            Err(Missed::NotRun(target)) => (Refusal::NoTarget, target),
            Err(Missed::MayHaveRun(target)) => (Refusal::Broken, target),
            Err(Missed::TimedOut(target)) => (Refusal::TimedOut, target),
        };
        tried.push(target);
        may_have_run |= missed != Refusal::NoTarget;
        let refusal = match (may_have_run, missed) {
            (true, Refusal::NoTarget) => Refusal::Broken,
            (_, missed) => missed,
        };
        let may_repeat = !may_have_run || job.route.policy.may_repeat();
        if !may_repeat || !may_try_again(gateway, &job, &tried) {
            return refused(refusal, &job.call.id, &record);
        }
    }
}

/// How long the first of several possible targets is waited for.
fn patience(job: &Job, tried: usize) -> Option<Duration> {
    let has_another = (tried as u32) + 1 < job.route.attempts && job.route.policy.may_repeat();
    let wait = job.route.objective * OBJECTIVES_TO_WAIT;
    let least = if job.call.prompt.is_some() { LEAST_PROMPT_WAIT } else { Duration::ZERO };
    (has_another && !wait.is_zero()).then(|| wait.max(least))
}

fn may_try_again(gateway: &Gateway, job: &Job, tried: &[TargetStart]) -> bool {
    (tried.len() as u32) < job.route.attempts.max(2)
        && Instant::now() < job.ends_at
        && gateway.retries.borrow_mut().try_retry(&job.service, boot_now())
}

async fn relay_answer(
    gateway: &Rc<Gateway>,
    job: Job,
    mut record: Record,
    tried: Vec<TargetStart>,
    answered: Answered,
) -> Answer {
    let status = answered.answer.status();
    let values = headers::for_caller(answered.answer.headers());
    let is_stream = job.route.policy.is_stream() && status == StatusCode::OK;
    let body = if is_stream {
        EventRelay::new(gateway.clone(), job, record, tried, answered).into_body()
    } else if relay::is_short(answered.answer.body()) {
        let Answered { target, answer, outcome, mut connection, at_target, sent_at } = answered;
        match relay::read_whole(answer.into_body(), job.ends_at).await {
            Ok(bytes) => {
                drop(at_target);
                record.first_part();
                record.end(Ended::Relayed(status.as_u16()));
                if status.is_success() {
                    gateway.fleet.borrow_mut().succeeded(&target);
                    gateway.answered_whole(&job);
                }
                connection.set_idle_timeout(outcome.idle_timeout);
                if !outcome.closes {
                    gateway.give_back(&target, connection);
                }
                whole(bytes)
            }
            Err(error) => {
                record.failed(&target, &error.to_string());
                drop((at_target, connection));
                if Instant::now() < job.ends_at {
                    examine::broke_off(gateway, &job, &target, sent_at, &mut record).await;
                }
                return refused(Refusal::Broken, &job.call.id, &record);
            }
        }
    } else {
        relay::raw(gateway.clone(), job, answered, record)
    };
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = values;
    answer
}

fn refused(refusal: Refusal, id: &str, record: &Record) -> Answer {
    let spread = COME_BACK_SPREAD.mul_f64(rand::rng().random());
    let come_back = match refusal {
        Refusal::Busy(come_back) | Refusal::Held(come_back) => come_back,
        // Another entry may know more.
        Refusal::Unconfirmed => Duration::ZERO,
        _ => COME_BACK_AFTER + spread,
    };
    let answer = refuse(refusal, id, come_back);
    record.end(Ended::Refused(answer.status().as_u16(), refusal.name()));
    answer
}
