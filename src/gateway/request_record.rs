//! Collects what happens to a request and logs it as one line at the end.

use std::cell::{Cell, RefCell};
use std::fmt::{self, Write};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use log::Level;

use super::metadata::{Part, Prompt, RequestMetadata, ResponseMetadata};
use super::priority::Priority;
use super::responder::Responder;
use super::state::Gateway;
use super::stream_origin::OriginSource;
use super::target_selection::{NoTarget, SelectedTarget};
use crate::clock::{BootTime, boot_now};
use crate::deployment::document::DeploymentVersion;
use crate::fleet::budget::RetryDecision;
use crate::fleet::locality::DomainRoute;
use crate::fleet::streams::StreamOrigin;
use crate::ids::{ServiceId, TargetStart};
use crate::quarantine::Fingerprint;
use crate::telemetry::logs::or_dash;
use crate::telemetry::metrics::label;

/// How a request ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// The caller disconnected before the response was complete.
    #[default]
    CallerLeft,
    /// The target's response was relayed completely, with this status.
    Relayed(u16),
    /// The entry itself responded, with this status and reason.
    Refused(u16, &'static str),
    /// The response was cut short while it was relayed.
    BrokenOff,
}

impl Outcome {
    /// Values of the `ending` and `reason` metric labels.
    fn labels(self) -> (&'static str, &'static str) {
        match self {
            Outcome::CallerLeft => ("caller_left", ""),
            Outcome::Relayed(200..=299) => ("relayed", ""),
            Outcome::Relayed(_) => ("relayed", "failure of the target"),
            Outcome::Refused(_, reason) => ("refused", reason),
            Outcome::BrokenOff => ("broken_off", ""),
        }
    }

    fn is_success(self) -> bool {
        matches!(self, Outcome::Relayed(200..=299))
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::CallerLeft => f.write_str("caller_left"),
            Outcome::Relayed(status) => write!(f, "relayed status={status}"),
            Outcome::Refused(status, reason) => {
                write!(f, "refused status={status} reason={reason}")
            }
            Outcome::BrokenOff => f.write_str("broken_off"),
        }
    }
}

/// Who ended a response before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutBy {
    Caller,
    /// The target, or the entry that made the attempt.
    Target,
    Entry,
}

impl CutBy {
    fn name(self) -> &'static str {
        match self {
            CutBy::Caller => "caller",
            CutBy::Target => "target",
            CutBy::Entry => "entry",
        }
    }

    /// The level of the line. Callers that leave are no trouble of this system.
    fn level(self) -> Level {
        match self {
            CutBy::Caller => Level::Info,
            CutBy::Target | CutBy::Entry => Level::Warn,
        }
    }
}

/// What the caller has been sent of the response.
#[derive(Clone, Copy, Debug, Default)]
struct Relayed {
    /// Complete events, if the response is a stream.
    events: usize,
    bytes: usize,
}

/// The record of one request. Dropping it updates the metrics and writes the log line.
pub struct RequestRecord {
    gateway: Rc<Gateway>,
    id: String,
    started_at: BootTime,
    route: String,
    version: DeploymentVersion,
    /// The scheduler level, 0 first.
    priority: u8,
    attempts: RefCell<String>,
    /// The fingerprint, once it has been logged for a failed or quarantined run.
    fingerprint: Cell<Option<Fingerprint>>,
    first_part: Cell<Option<Duration>>,
    relayed: Cell<Relayed>,
    /// When the target, or one that is to replace it, last sent something or was sent the request.
    target_active_at: Cell<Option<BootTime>>,
    /// Since when the target has been silent; `None` if no other one is to replace it.
    silent_since: Cell<Option<BootTime>>,
    /// Who cut the response short, and why.
    cut: RefCell<Option<(CutBy, String)>>,
    outcome: Cell<Outcome>,
}

impl RequestRecord {
    /// Starts the record of a request that has just arrived.
    pub fn new(
        gateway: &Rc<Gateway>,
        metadata: &RequestMetadata,
        started_at: BootTime,
    ) -> RequestRecord {
        gateway.active_requests.set(gateway.active_requests.get() + 1);
        let resumed = metadata.resume_after.as_ref().map(|after| {
            format!(" resumes={} after={after}", metadata.resumes.as_deref().unwrap_or("-"))
        });
        RequestRecord {
            gateway: gateway.clone(),
            id: metadata.id.clone(),
            started_at,
            route: String::new(),
            version: 0,
            priority: 0,
            attempts: RefCell::new(resumed.unwrap_or_default()),
            fingerprint: Cell::default(),
            first_part: Cell::default(),
            relayed: Cell::default(),
            target_active_at: Cell::default(),
            silent_since: Cell::default(),
            cut: RefCell::default(),
            outcome: Cell::new(Outcome::CallerLeft),
        }
    }

    /// Sets the version of the deployment that routes the request.
    pub fn set_version(&mut self, version: DeploymentVersion) {
        self.version = version;
    }

    /// Sets the route and the priority.
    pub fn set_route(&mut self, route: &str, priority: Priority) {
        self.route = route.to_string();
        self.priority = priority.scheduler_level();
    }

    /// Records where the stream began that the request takes up.
    pub fn origin_found(&self, origin: &StreamOrigin, source: OriginSource) {
        let StreamOrigin { service, software } = origin;
        let known_by = source.name();
        self.gateway.metrics.streams_taken_up.add(1, &[label("known_by", known_by)]);
        self.add_step(format_args!(" began_at={software} service={service} known_by={known_by}"));
    }

    /// Records that it is unknown where the stream began that the request takes up.
    pub fn origin_unknown(&self) {
        self.gateway.metrics.streams_taken_up.add(1, &[label("known_by", "nobody")]);
        self.add_step(format_args!(" began_at=-"));
    }

    /// Records the selection of a target.
    pub fn target_selected(&self, selected: &SelectedTarget, is_reused: bool) {
        let at_ms = self.elapsed().as_millis();
        let SelectedTarget { target, software, trace, way, is_prompt, .. } = selected;
        self.gateway.metrics.record_sent(if *is_prompt { "prompt" } else { "plain" }, *way);
        self.add_step(format_args!(
            " at_ms={at_ms} target={target} software={software} {trace} {way} reused={is_reused}"
        ));
        self.target_active_at.set(Some(boot_now()));
    }

    /// Records that the head of a response has arrived, with the load and the rate limit that the
    /// target reports.
    pub fn response_received(&self, response_metadata: &ResponseMetadata) {
        let at_ms = self.elapsed().as_millis();
        self.add_step(format_args!(" answered_ms={at_ms}"));
        self.target_active_at.set(Some(boot_now()));
        if let Some(load) = response_metadata.load {
            self.add_step(format_args!(" running={} waiting={}", load.running, load.waiting));
        }
        if let Some(limit) = response_metadata.rate_limit {
            self.add_step(format_args!(" limit_per_s={}", limit.requests_per_s));
        }
        if let Some(bears) = response_metadata.rejection_limit {
            self.add_step(format_args!(" rejections_per_s={}", bears.requests_per_s));
        }
    }

    /// Records that an attempt at a target failed.
    pub fn attempt_failed(&self, target: &TargetStart, reason: &str) {
        let at_ms = self.elapsed().as_millis();
        self.gateway.metrics.failed_attempts.add(1, &[label("reason", reason)]);
        self.add_step(format_args!(" at_ms={at_ms} failed={target} reason={reason:?}"));
    }

    /// Records that the response of a target, or of another entry, is broken.
    pub fn responder_failed(&self, responder: &Responder, reason: &str) {
        match responder {
            Responder::Target { target, .. } => self.attempt_failed(target, reason),
            Responder::Entry(forwarded) => self.entry_failed(forwarded.ip, reason),
        }
    }

    /// Records that the attempt is made for another entry.
    pub fn for_other_entry(&self) {
        self.add_step(format_args!(" for_other_entry=true"));
    }

    /// Records that another entry is asked to make an attempt.
    pub fn forwarded(&self, ip: IpAddr, is_reused: bool, way: DomainRoute) {
        let at_ms = self.elapsed().as_millis();
        self.gateway.metrics.forwarded_attempts.add(1, &[]);
        self.gateway.metrics.record_sent("relay", way);
        self.add_step(format_args!(" at_ms={at_ms} forwarded_to={ip} {way} reused={is_reused}"));
        self.target_active_at.set(Some(boot_now()));
    }

    /// Records that another entry had no response for a forwarded attempt.
    pub fn entry_failed(&self, ip: IpAddr, reason: &str) {
        let at_ms = self.elapsed().as_millis();
        self.add_step(format_args!(" at_ms={at_ms} entry_failed={ip} reason={reason:?}"));
    }

    /// Records why no target was selected.
    pub fn no_target(&self, why: NoTarget) {
        let at_ms = self.elapsed().as_millis();
        self.add_step(format_args!(" at_ms={at_ms} why={why}"));
    }

    /// Records that a silent target is to be replaced; `None` if another entry has not named it yet. To
    /// be called before the replacement is selected, which counts as activity.
    pub fn silent_target(&self, target: Option<&TargetStart>) {
        let active_at = self.target_active_at.get().unwrap_or(self.started_at);
        let since = self.silent_since.get().unwrap_or(active_at);
        self.silent_since.set(Some(since));
        let at_ms = self.elapsed().as_millis();
        let silent_ms = boot_now().saturating_sub(since).as_millis();
        let target = or_dash(target);
        self.add_step(format_args!(" at_ms={at_ms} silent={target} silent_ms={silent_ms}"));
    }

    /// Records that a replacement is cancelled since the silent target, given here, went on.
    pub fn replacement_cancelled(&self, target: Option<&TargetStart>) {
        self.replacement_ended("cancelled", target);
    }

    /// Records that a replacement, given here, has taken over from the silent target.
    pub fn replacement_took_over(&self, target: Option<&TargetStart>) {
        self.replacement_ended("took_over", target);
    }

    fn replacement_ended(&self, ending: &str, source: Option<&TargetStart>) {
        self.silent_since.take();
        let at_ms = self.elapsed().as_millis();
        let source = or_dash(source);
        self.add_step(format_args!(" at_ms={at_ms} replacement={ending} source={source}"));
    }

    /// Records whether the retry budget allows another attempt.
    pub fn retry_decided(&self, service: &ServiceId, decision: &RetryDecision) {
        let RetryDecision { is_granted, retries, allowed, entries } = decision;
        let verdict = if *is_granted { "granted" } else { "denied" };
        let labels = [label("service", service), label("verdict", verdict)];
        self.gateway.metrics.retries.add(1, &labels);
        self.add_step(format_args!(
            " retry={verdict} retries={retries} allowed={allowed:.1} entries={entries}"
        ));
    }

    /// Records that the leader allows another attempt, which the budget of this entry does not.
    pub fn retry_granted_by_leader(&self, service: &ServiceId) {
        let labels = [label("service", service), label("verdict", "granted_by_leader")];
        self.gateway.metrics.retries.add(1, &labels);
        let at_ms = self.elapsed().as_millis();
        self.add_step(format_args!(" at_ms={at_ms} retry=granted_by_leader"));
    }

    /// Records that a granted retry was not made.
    pub fn retry_returned(&self) {
        let at_ms = self.elapsed().as_millis();
        self.add_step(format_args!(" at_ms={at_ms} retry=returned"));
    }

    /// Sets the fingerprint, by which the log lines of a caller's retries can be found.
    pub fn set_fingerprint(&self, fingerprint: Fingerprint) {
        if self.fingerprint.replace(Some(fingerprint)).is_none() {
            self.add_step(format_args!(" fingerprint={fingerprint}"));
        }
    }

    /// Records the parts of a prompt that other prompts may share, by which the log lines of requests that
    /// broke with one target can be compared.
    pub fn set_shared_parts(&self, prompt: &Prompt) {
        let ids: Vec<&str> = prompt.non_final_parts().iter().map(|part| part.id.as_str()).collect();
        let _ = write!(self.attempts.borrow_mut(), " parts={:?}", ids.join(","));
    }

    /// Records the part of the prompt because of which the request is held.
    pub fn set_held_part(&self, part: &Part) {
        let _ = write!(self.attempts.borrow_mut(), " held_part={:?}", part.id);
    }

    /// Records that the target has sent data.
    pub fn target_active(&self) {
        self.silent_since.take();
        self.target_active_at.set(Some(boot_now()));
    }

    /// Records that a part of the response body is relayed to the caller.
    pub fn part_relayed(&self, events: usize, bytes: usize) {
        if self.first_part.get().is_none() {
            self.first_part.set(Some(self.elapsed()));
        }
        let before = self.relayed.get();
        let (events, bytes) = (before.events + events, before.bytes + bytes);
        self.relayed.set(Relayed { events, bytes });
    }

    /// Records that the response ends before it is complete.
    pub fn broken_off(&self, by: CutBy, reason: &str) {
        self.outcome.set(Outcome::BrokenOff);
        *self.cut.borrow_mut() = Some((by, reason.to_string()));
    }

    /// Sets how the request ended.
    pub fn set_outcome(&self, outcome: Outcome) {
        self.outcome.set(outcome);
    }

    fn add_step(&self, step: std::fmt::Arguments<'_>) {
        // Writing to a string can't fail.
        let _ = self.attempts.borrow_mut().write_fmt(step);
    }

    /// Time since the request arrived.
    pub fn elapsed(&self) -> Duration {
        boot_now().saturating_sub(self.started_at)
    }

    /// Who ended the response before it was complete, and why.
    fn take_cut(&self) -> Option<(CutBy, String)> {
        match self.outcome.get() {
            Outcome::CallerLeft => Some((CutBy::Caller, "it disconnected".to_string())),
            Outcome::BrokenOff => {
                let cut = self.cut.take();
                Some(cut.unwrap_or_else(|| (CutBy::Entry, "unknown".to_string())))
            }
            Outcome::Relayed(_) | Outcome::Refused(..) => None,
        }
    }

    fn log_cut(&self, by: CutBy, reason: &str) {
        let Relayed { events, bytes } = self.relayed.get();
        let silent_ms = self
            .silent_since
            .get()
            .or(self.target_active_at.get())
            .map_or(-1, |active_at| boot_now().saturating_sub(active_at).as_millis() as i64);
        let newest = self.gateway.table().map_or(0, |table| table.deployment().version);
        log::log!(
            by.level(),
            "event=response_cut id={} route={} by={} reason={reason:?} events={events} \
             bytes={bytes} silent_ms={silent_ms} version={} newest_version={newest} took_ms={}",
            self.id,
            self.route,
            by.name(),
            self.version,
            self.elapsed().as_millis(),
        );
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.gateway.active_requests.set(self.gateway.active_requests.get().saturating_sub(1));
        let outcome = self.outcome.get();
        let (ending, reason) = outcome.labels();
        self.gateway.metrics.record_request(&self.route, ending, reason);
        if let Some(first) = self.first_part.get() {
            let route = [label("route", &self.route)];
            self.gateway.metrics.first_chunk_s.record(first.as_secs_f64(), &route);
        }
        let cut = self.take_cut();
        let limiter = &self.gateway.log_limiter;
        let should_log = match &cut {
            Some((CutBy::Target | CutBy::Entry, _)) => limiter.should_log_cut(boot_now()),
            Some((CutBy::Caller, _)) | None => {
                limiter.should_log(&self.id, outcome.is_success(), boot_now())
            }
        };
        if !should_log {
            return;
        }
        let first_ms = self.first_part.get().map_or(-1, |first| first.as_millis() as i64);
        let age_ms = self.gateway.state_age_ms();
        log::info!(
            "event=request id={} route={} rank={} version={} age_ms={age_ms} took_ms={} \
             first_ms={first_ms} ended={}{}",
            self.id,
            self.route,
            self.priority,
            self.version,
            self.elapsed().as_millis(),
            outcome,
            self.attempts.borrow()
        );
        if let Some((by, reason)) = cut {
            self.log_cut(by, &reason);
        }
    }
}
