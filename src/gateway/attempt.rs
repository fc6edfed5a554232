//! One attempt: a request is sent to one target, and the head of its answer awaited.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::call::{Forwarded, KeptParts, ResponseMetadata};
use super::examine;
use super::job::Job;
use super::place::{self, Chosen, NoChoice};
use super::pool::{Connection, Sent};
use super::record::Record;
use super::state::{AtTarget, Gateway};
use crate::clock::{BootTime, boot_now};
use crate::fleet::Fault;
use crate::fleet::placement::SelectionError;
use crate::ids::TargetStart;
use crate::platform::headers;
use crate::scheduler::EndReason;

/// Connections that are tried for one attempt. A target that can't be reached has run nothing.
const CONNECTIONS_TRIED: usize = 4;
/// Below this there is no point in sending a request: it could not be answered in time.
const LEAST_TIME: Duration = Duration::from_millis(10);

/// An answer whose head is here.
pub struct Answered {
    /// The target.
    pub target: TargetStart,
    /// The answer.
    pub answer: Response<Incoming>,
    /// What it says beside its content.
    pub outcome: ResponseMetadata,
    /// The connection, to be given back once the body is whole.
    pub connection: Connection,
    /// Counts the request at the target.
    pub at_target: AtTarget,
    /// When it was sent.
    pub sent_at: BootTime,
}

/// Why an attempt brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Missed {
    /// No target can take it now.
    Unplaced(NoChoice),
    /// The target did not run it.
    NotRun(TargetStart),
    /// It may have run.
    MayHaveRun(TargetStart),
    /// Targets have ended under it: it must reach none for so long.
    Held(Duration),
    /// Its time is over before it was sent.
    TooLate,
    /// Its time is over after it was sent.
    TimedOut(TargetStart),
}

/// Sends a request to the best target.
///
/// # Errors
/// Why there is no answer.
pub async fn attempt(
    gateway: &Rc<Gateway>,
    job: &Job,
    tried: &[TargetStart],
    resume_after: Option<&str>,
    patience: Option<Duration>,
    record: &mut Record,
) -> Result<Answered, Missed> {
    let mut avoid = tried.to_vec();
    for _ in 0..CONNECTIONS_TRIED {
        if let Some(left) = held_for(gateway, job, record) {
            return Err(Missed::Held(left));
        }
        let chosen = place::choose(gateway, job, &avoid).await.map_err(Missed::Unplaced)?;
        let target = chosen.target.clone();
        let reading = job.call.prompt.as_ref().map_or(0, |prompt| prompt.prompt_tokens);
        let ticket = chosen.placed.as_ref().map(|placed| placed.ticket);
        let mut at_target = AtTarget::new(gateway, &target, ticket, reading);
        let Some(mut connection) = connect(gateway, &target, job.ends_at, record).await else {
            at_target.ends(EndReason::Unreachable);
            avoid.push(target);
            continue;
        };
        // The scheduler may hear later than this entry that the target leaves, and connecting takes time.
        if !gateway.fleet.borrow().takes_work(&target) {
            record.failed(&target, "it takes no new work");
            at_target.ends(EndReason::NotRun);
            avoid.push(target);
            continue;
        }
        // Its word may have lain for long at an entry that was starved, and connecting takes time.
        if !place::may_still_begin(gateway, job, &chosen) {
            record.failed(&target, "its weights must be replaced by now");
            at_target.ends(EndReason::NotRun);
            gateway.give_back(&target, connection);
            avoid.push(target);
            continue;
        }
        // It may have waited for its place for long.
        if let Some(left) = held_for(gateway, job, record) {
            at_target.ends(EndReason::NotRun);
            gateway.give_back(&target, connection);
            return Err(Missed::Held(left));
        }
        record.chosen(&chosen, connection.was_used);
        let time_left = job.ends_at.saturating_duration_since(Instant::now());
        if time_left < LEAST_TIME {
            return Err(Missed::TooLate);
        }
        let request = request_for(job, &chosen, time_left, resume_after);
        let give_up_at = patience.map_or(job.ends_at, |p| job.ends_at.min(Instant::now() + p));
        let sent_at = boot_now();
        let sent = timeout_at(give_up_at, connection.send(request)).await;
        let now = boot_now();
        let answer = match sent {
            Ok(Sent::Answered(answer)) => answer,
            Ok(Sent::NotSent(reason)) => {
                record.failed(&target, &reason);
                at_target.ends(EndReason::NotRun);
                continue;
            }
            Ok(Sent::Broken(reason)) => {
                record.failed(&target, &reason);
                at_target.ends(EndReason::Failed);
                drop(at_target);
                gateway.fleet.borrow_mut().failed(&target, Fault::Target, now);
                examine::broke_off(gateway, job, &target, sent_at, record).await;
                return Err(Missed::MayHaveRun(target));
            }
            Err(_) => {
                record.failed(&target, "no answer in time");
                at_target.ends(EndReason::Failed);
                gateway.fleet.borrow_mut().failed(&target, Fault::Target, now);
                return Err(Missed::TimedOut(target));
            }
        };
        let outcome = headers::decode_metadata(answer.headers());
        let answered = Answered { target, answer, outcome, connection, at_target, sent_at };
        return judge(gateway, job, answered, record);
    }
    Err(Missed::Unplaced(NoChoice::NoTarget(SelectionError::NoHealthyTarget)))
}

/// How much longer the request must not reach a target.
fn held_for(gateway: &Gateway, job: &Job, record: &mut Record) -> Option<Duration> {
    let left = gateway.held_for(job)?;
    record.asks(job.fingerprint());
    Some(left)
}

async fn connect(
    gateway: &Gateway,
    target: &TargetStart,
    ends_at: Instant,
    record: &mut Record,
) -> Option<Connection> {
    if let Some(connection) = gateway.pool.reuse(target) {
        return Some(connection);
    }
    let address = gateway.fleet.borrow().get(target)?.listed.address;
    match timeout_at(ends_at, Connection::open(address)).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            record.failed(target, &error.to_string());
            gateway.fleet.borrow_mut().unreachable(target, boot_now());
            if error.kind() == ErrorKind::ConnectionRefused {
                examine::has_ended(gateway, target, "refuses connections");
            }
            None
        }
        Err(_) => None,
    }
}

fn request_for(
    job: &Job,
    chosen: &Chosen,
    time_left: Duration,
    resume_after: Option<&str>,
) -> Request<Full<Bytes>> {
    let placed = chosen.placed.as_ref();
    let salt = || placed.map_or_else(|| job.cache_wall.clone(), |placed| placed.salt.clone());
    let forwarded = Forwarded {
        target: &chosen.target.id,
        account: job.account.as_ref(),
        time_left,
        urgency: job.call.prompt.is_some().then_some(job.rank.for_engine()),
        cache_wall: job.call.prompt.is_some().then(salt),
        resume_after,
        weight_version: chosen.weight_version,
        kept: placed.map(|placed| KeptParts {
            fetch: &placed.fetch,
            save: &placed.save,
            fetch_until_ms: placed.fetch_until_ms,
        }),
    };
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = headers::for_target(&job.headers, &forwarded);
    request
}

/// Tells an answer to this request from refusals and from answers to others.
fn judge(
    gateway: &Gateway,
    job: &Job,
    mut answered: Answered,
    record: &mut Record,
) -> Result<Answered, Missed> {
    let now = boot_now();
    let Answered { target, answer, outcome, at_target, .. } = &mut answered;
    record.answered(outcome);
    if let Some(load) = outcome.load {
        gateway.fleet.borrow_mut().observe_load(target, load, now);
    }
    let is_other = outcome.request_id.as_ref().is_some_and(|id| *id != job.call.id);
    if is_other {
        // The connection carries an answer to an earlier request: nothing on it can be trusted.
        record.failed(target, "answer to another request");
        at_target.ends(EndReason::Failed);
        return Err(Missed::MayHaveRun(answered.target));
    }
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        record.failed(target, "another target or other weights");
        let is_replaced = outcome.answered_by.as_ref().is_some_and(|id| *id != target.id);
        if is_replaced {
            gateway.fleet.borrow_mut().replaced(target);
            examine::has_ended(gateway, target, "another target answers at its address");
            at_target.ends(EndReason::Replaced);
        } else {
            if let Some(prompt) = &job.call.prompt {
                let has = outcome.weight_version;
                gateway.fleet.borrow_mut().refused_weights(target, &prompt.model, has);
            }
            at_target.ends(EndReason::WeightMismatch(outcome.weight_version));
        }
        return Err(Missed::NotRun(answered.target));
    }
    if let (Some(prompt), Some(version)) = (&job.call.prompt, outcome.weight_version) {
        gateway.fleet.borrow_mut().observe_weights(target, &prompt.model, version);
    }
    if outcome.did_not_run {
        record.failed(target, &format!("not run, status {}", answer.status().as_u16()));
        at_target.ends(EndReason::NotRun);
        let Answered { target, connection, outcome, .. } = answered;
        if !outcome.closes {
            gateway.give_back(&target, connection);
        }
        return Err(Missed::NotRun(target));
    }
    if answer.status().is_server_error() {
        at_target.ends(EndReason::Failed);
        gateway.fleet.borrow_mut().failed(target, Fault::Target, now);
    }
    Ok(answered)
}
