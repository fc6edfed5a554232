//! How targets run requests: checks, the use of cached parts, crashes and responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ::http::{HeaderValue, Request};
use hyper::body::Incoming;

use super::http::{self, HttpResponse, header};
use super::job::{Job, expected_body};
use super::observations::{CrashCause, Run, RunEnd};
use super::starts::Restart;
use super::store::PartName;
use super::target::{
    CRASHING_BODY_PREFIX, CRASHING_PART_PREFIX, EVENT_INTERVAL, Fault, ISOLATED_ACCOUNT,
    PartOrigin, Target,
};
use super::{Inner, Platform};

/// Time until a crashed target restarts.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1_200);

/// A part of a prompt with its number of tokens and the address to fetch it from or save it to.
type LocatedPart = ((PartName, u64), SocketAddr);

impl Platform {
    pub(super) async fn run(&self, id: &str, request: Request<Incoming>) -> HttpResponse {
        let began = self.lock().begin(self, id, &request);
        let (job, fault) = match began {
            Ok(began) => began,
            Err(refused) => {
                // A connection with an unread body is reset, and the refusal may be lost with it.
                http::read_body(request).await;
                return *refused;
            }
        };
        let crashing_part = crashing_part(&request);
        // Reads the body to its end, as it may come in chunks.
        let Some(body) = http::read_body(request).await else {
            job.end(RunEnd::Aborted(Instant::now()));
            return http::status(400);
        };
        job.transfer_parts().await;
        let crashing_body = || {
            let body = String::from_utf8_lossy(&body).into_owned();
            body.as_bytes().starts_with(CRASHING_BODY_PREFIX).then_some(CrashCause::Body(body))
        };
        if let Some(cause) = crashing_part.map(CrashCause::Part).or_else(crashing_body) {
            self.crash_during(&job, cause);
            return match job.is_stream {
                true => job.into_event_stream(false),
                false => std::future::pending().await,
            };
        }
        match fault {
            Fault::NeverResponds => std::future::pending().await,
            Fault::RespondsWithError => {
                job.end(RunEnd::Complete);
                job.add_response_headers(http::with_body(500, "injected failure"))
            }
            _ if job.is_stream => job.into_event_stream(fault == Fault::BreaksOff),
            _ => {
                tokio::time::sleep(EVENT_INTERVAL).await;
                job.end(RunEnd::Complete);
                let mut answer =
                    job.add_response_headers(http::with_body(200, expected_body(&job.request)));
                if fault == Fault::WrongRequestId {
                    let other = HeaderValue::from_static("another-request");
                    answer.headers_mut().insert("x-request-id", other);
                }
                answer
            }
        }
    }

    /// Crashes the target shortly after the response head of a stream, and restarts it later.
    fn crash_during(&self, job: &Job, cause: CrashCause) {
        let (id, start) = (job.target.clone(), job.start);
        self.lock().observations.record_crashing_send(&cause);
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(EVENT_INTERVAL / 2).await;
            let addresses = {
                let mut inner = platform.lock();
                if !inner.runs(&id, start) {
                    return;
                }
                inner.observations.record_crash(&cause);
                inner.targets.get(&id).map(|target| (target.address, target.listed_address))
            };
            let Some((address, listed_address)) = addresses else { return };
            let (down, listed_address) = (CRASH_DOWNTIME, Some(listed_address));
            let restart = Restart { down, listed_address, ..Restart::at(address) };
            platform.restart_target(&id, restart).await;
        });
    }
}

impl Inner {
    /// Starts a request, or returns the response that refuses it.
    fn begin(
        &mut self,
        platform: &Platform,
        id: &str,
        request: &Request<Incoming>,
    ) -> Result<(Job, Fault), Box<HttpResponse>> {
        let text = |name: &str| header(request, name).unwrap_or_default().to_string();
        let number = |name: &str| text(name).parse::<u64>().ok();
        let name = text("x-request-id");
        let Some(target) = self.targets.get_mut(id) else { return Err(not_run(503)) };
        if text("x-expect-instance") != id {
            return Err(not_run(421));
        }
        if target.loading.is_some() || target.is_full() || target.has_woken_full() {
            return Err(not_run(503));
        }
        if self.is_out_of_room(id) {
            return Err(not_run(503));
        }
        let Some(target) = self.targets.get_mut(id) else { return Err(not_run(503)) };
        let expected = number("x-expect-version");
        if expected.is_some_and(|version| Some(version) != target.weights) {
            return Err(not_run(421));
        }
        let (weights, fault, start) = (target.weights, target.fault, target.start);
        target.running += 1;
        target.begun += 1;
        let cold_arrivals = target.record_cold_arrival();
        let (age, down_for) = (target.started_at.elapsed(), target.down_for);
        let (zone, software) = (target.zone.clone(), target.software.clone());
        let sent_from = target.sent_from();
        if let Some(from) = target.leaves_from {
            self.observations.record_leaving_target(&name, id, from, sent_from);
        }
        self.observations.record_zone(&name, id, &zone);
        if self.cold_start.is_some_and(|cold| cold_arrivals > cold.max_per_s()) {
            self.observations.record_cold_burst(id, cold_arrivals, age, down_for);
        }
        if let Some(weights) = weights {
            self.observations.record_weights_of_run(&name, id, weights);
        }
        if request.headers().contains_key("authorization") {
            self.observations
                .violation(format!("{name} forwards the API key of its caller to {id}"));
        }
        let tenant = text("x-tenant");
        let parts = parts_of(&text("x-cache-salt"), &text("x-prompt-prefix"));
        let origin = PartOrigin { tenant: tenant.clone(), weights: weights.unwrap_or_default() };
        self.read(id, &name, &parts, &origin);
        let chosen = |header: &str| {
            let texts: Vec<String> = text(header).split(',').map(str::to_string).collect();
            let named = parts.iter().zip(texts);
            let named = named.filter_map(|(part, address)| Some((part, address.parse().ok()?)));
            named.map(|(part, address)| (part.clone(), address)).collect::<Vec<LocatedPart>>()
        };
        let (fetches, saves) = (chosen("x-kv-fetch"), chosen("x-kv-save"));
        for ((part, tokens), _) in &saves {
            self.store.begin_save(part, *tokens, &origin);
        }
        let engines = self.targets.values().filter(|target| target.weights.is_some());
        self.engine_addresses.extend(engines.map(|target| target.listed_address));
        let (from_engines, from_store): (Vec<_>, Vec<_>) =
            fetches.into_iter().partition(|(_, at)| self.engine_addresses.contains(at));
        for ((part, _), _) in &from_store {
            self.check_origin(&name, self.store.origin(part), &origin);
        }
        // An engine sends what it has of a prompt, which may be nothing or only a prefix.
        for ((part, _), address) in &from_engines {
            let source = self.engine_at(*address);
            let kept = source.and_then(|source| source.resident.get(part));
            let kept = kept.map(|(origin, _)| origin.clone());
            self.check_origin(&name, kept, &origin);
        }
        let stamp = self.observations.next_stamp();
        let made = number("last-event-id").unwrap_or(0);
        self.observations.record_start(
            &name,
            Run {
                target: id.to_string(),
                start,
                started_at: Instant::now(),
                tenant,
                software,
                resumed_after: made,
                resumes: header(request, "resumes").map(str::to_string),
                stamp: stamp.clone(),
                end: RunEnd::Running,
            },
        );
        let counts = text("x-token-count");
        let job = Job {
            platform: platform.clone(),
            target: id.to_string(),
            start,
            request: name,
            stamp,
            is_stream: weights.is_some(),
            events: (made, counts.split_once(',').and_then(|(_, n)| n.parse().ok()).unwrap_or(0)),
            weights,
            fetches: from_store.into_iter().map(|((part, _), _)| part).collect(),
            until_ms: number("x-kv-until").unwrap_or(u64::MAX),
            saves: saves.into_iter().map(|((part, _), _)| part).collect(),
        };
        Ok((job, fault))
    }

    /// The engine with this address in the list.
    fn engine_at(&self, address: SocketAddr) -> Option<&Target> {
        let mut targets = self.targets.values();
        targets.find(|target| target.listed_address == address && target.weights.is_some())
    }

    /// Computes parts into the cache of an engine, or uses those that are resident.
    fn read(&mut self, id: &str, name: &str, parts: &[(PartName, u64)], origin: &PartOrigin) {
        for (part, tokens) in parts {
            let Some(target) = self.targets.get_mut(id) else { return };
            let resident = target.resident.get(part).map(|(origin, _)| origin.clone());
            if resident.is_none() {
                target.resident.insert(part.clone(), (origin.clone(), *tokens));
                target.push_event("+", part, *tokens);
            }
            self.check_origin(name, resident, origin);
        }
    }

    fn check_origin(&mut self, name: &str, kept: Option<PartOrigin>, user: &PartOrigin) {
        let Some(kept) = kept else { return };
        if kept.weights != user.weights {
            self.observations
                .violation(format!("{name} on weights {user:?} uses a part of {kept:?}"));
        }
        let is_isolated =
            [&kept.tenant, &user.tenant].into_iter().any(|tenant| *tenant == ISOLATED_ACCOUNT);
        if is_isolated && kept.tenant != user.tenant {
            self.observations.violation(format!("{name} of {user:?} uses a part of {kept:?}"));
        }
    }
}

fn not_run(code: u16) -> Box<HttpResponse> {
    let mut answer = http::status(code);
    answer.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    Box::new(answer)
}

/// The part, other than the last, under which a target crashes.
fn crashing_part(request: &Request<Incoming>) -> Option<String> {
    let prefix = header(request, "x-prompt-prefix")?;
    let mut ids: Vec<&str> =
        prefix.split(',').filter_map(|part| Some(part.split_once(':')?.0)).collect();
    ids.pop();
    ids.into_iter().find(|id| id.starts_with(CRASHING_PART_PREFIX)).map(str::to_string)
}

/// Parses the parts of a prompt with their numbers of tokens.
fn parts_of(salt: &str, prefix: &str) -> Vec<(PartName, u64)> {
    let part = |text: &str| {
        let (id, tokens) = text.split_once(':')?;
        Some(((salt.to_string(), id.to_string()), tokens.parse().ok()?))
    };
    prefix.split(',').filter_map(part).collect()
}
