//! Records the runs of requests at targets and violations of guarantees.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::store::clock_ms;

/// Requests whose ids have this prefix may run more than once.
pub const REPEATABLE_ID_PREFIX: &str = "safe-";
/// Streams whose ids have this prefix may be resumed at another target.
pub const RESUMABLE_ID_PREFIX: &str = "resumable-";

/// One run of a request at a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// The id of the target.
    pub target: String,
    /// The start of the target.
    pub start: u64,
    /// When the run began.
    pub started_at: Instant,
    /// The client account in the request.
    pub tenant: String,
    /// The version of the target's software.
    pub software: String,
    /// The last event of an earlier run after which the stream resumes; 0 for a new stream.
    pub resumed_after: u64,
    /// The caller's attempt that brought the first event, if the caller resumes a stream.
    pub resumes: Option<String>,
    /// The stamp in the response.
    pub stamp: String,
    /// How the run ended.
    pub end: RunEnd,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run has not ended.
    Running,
    /// The response was complete.
    Complete,
    /// The client disconnected, or the target broke off the response.
    Aborted(Instant),
}

/// Everything that the emulated platform records.
#[derive(Default)]
pub struct Observations {
    /// Runs of each request, by its id.
    pub runs: HashMap<String, Vec<Run>>,
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// Number of orders that targets have accepted.
    pub orders: u64,
    /// Events that came later than the deployment allows.
    pub late: Vec<LateEvent>,
    /// Announced versions of weights, each with the time of the acknowledgement.
    pub announced_weights: Vec<(u64, Instant)>,
    /// Requests that crash targets, by body.
    pub crashing_requests: BTreeMap<String, CrashingRequest>,
    /// Requests with a part that crashes targets, by the id of that part.
    pub crashing_parts: BTreeMap<String, CrashingRequest>,
    /// Evacuated zones, each with the time of the acknowledgement.
    pub evacuated: BTreeMap<String, Instant>,
    /// When starts of targets ended, with the ids of the targets.
    pub target_ends: Vec<(Instant, String)>,
    /// Descriptions of seconds in which a cold engine got more requests than it bears.
    pub cold_bursts: Vec<(Instant, String)>,
    /// Descriptions of windows in which a target got more requests than the limit that it named.
    pub limit_excesses: Vec<(Instant, String)>,
    /// The stamp of each answer that callers got, by request.
    pub answered: HashMap<String, String>,
    /// Requests that brittle targets have turned away.
    pub rejections: u64,
    /// Brittle targets that have turned away too many requests.
    pub overruns: Vec<(Instant, String)>,
    stamps: u64,
}

/// What crashes targets.
#[derive(Clone, Debug)]
pub enum CrashCause {
    /// A request with this body.
    Body(String),
    /// Any request with this part.
    Part(String),
}

/// The history of a request, or of all requests with a part, that crashes targets.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequest {
    /// When it was received by targets.
    pub reached: Vec<Instant>,
    /// When it crashed targets.
    pub ended: Vec<Instant>,
}

/// Crashes after which a request must be held.
const MAX_CRASHES_BEFORE_HOLD: usize = 3;
/// Crashes after which all requests with a part must be held.
const MAX_CRASHES_BEFORE_PART_HOLD: usize = 5;
/// Sends that are tolerated after all hosts should hold the request.
const MAX_LATE_SENDS: usize = 3;

impl CrashingRequest {
    /// Describes the violation if the request reached targets too often after `known_within` of the
    /// crash that makes it held. Counts only times that `counts` accepts.
    pub fn reached_too_often(
        &self,
        known_within: Duration,
        counts: impl Fn(Instant) -> bool,
    ) -> Option<String> {
        self.reached_too_often_after(MAX_CRASHES_BEFORE_HOLD, known_within, counts)
    }

    /// The same for requests with a part that crashes targets.
    pub fn part_reached_too_often(
        &self,
        known_within: Duration,
        counts: impl Fn(Instant) -> bool,
    ) -> Option<String> {
        self.reached_too_often_after(MAX_CRASHES_BEFORE_PART_HOLD, known_within, counts)
    }

    fn reached_too_often_after(
        &self,
        crashes: usize,
        known_within: Duration,
        counts: impl Fn(Instant) -> bool,
    ) -> Option<String> {
        let known = *self.ended.get(crashes - 1)? + known_within;
        let late = self.reached.iter().filter(|at| **at > known && counts(**at)).count();
        let ended = self.ended.len();
        let what = || format!("sent {late} more times, {ended} crashes in total");
        (late > MAX_LATE_SENDS).then(what)
    }
}

/// An event that came late. This is a violation beyond [`Guarantee::allowed`], unless there was a fault
/// in the meantime.
#[derive(Clone, Debug)]
pub struct LateEvent {
    /// The guarantee that applies.
    pub guarantee: Guarantee,
    /// Description of the event.
    pub what: String,
    /// Its delay.
    pub late: Duration,
    /// Start of the span in which a fault excuses the delay.
    pub from: Instant,
    /// End of the span: the time of the event.
    pub to: Instant,
}

/// A guarantee with a time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guarantee {
    /// A leaving target receives no new requests.
    Leaving,
    /// Prompts start on announced weights.
    Weights,
    /// Nothing is sent to an evacuated zone.
    Evacuation,
}

impl Guarantee {
    /// The limit in the soak test's deployment.
    pub fn bound(self) -> Duration {
        match self {
            Guarantee::Leaving => Duration::from_secs(3),
            Guarantee::Weights => Duration::from_secs(6),
            Guarantee::Evacuation => Duration::from_secs(1),
        }
    }

    /// The limit that the soak test checks, with time for scheduling delays on a busy machine.
    pub fn allowed(self) -> Duration {
        match self {
            Guarantee::Leaving => Duration::from_secs(5),
            Guarantee::Weights => Duration::from_secs(10),
            Guarantee::Evacuation => Duration::from_secs(5),
        }
    }
}

/// A leaving target receives no new requests after this time, regardless of faults.
const LEAVING_HARD_LIMIT: Duration = Duration::from_secs(8);

impl Observations {
    /// Records a violated guarantee.
    pub fn violation(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Records that a request reached a leaving target. It counts from when it may have been sent.
    pub fn record_leaving_target(
        &mut self,
        request: &str,
        target: &str,
        from: Instant,
        sent_from: Instant,
    ) {
        let late = sent_from.saturating_duration_since(from);
        let read = from.elapsed();
        let what = format!(
            "{request} reaches {target} {late:?} after it started to drain, read after {read:?}"
        );
        match late {
            late if late > LEAVING_HARD_LIMIT => self.violations.push(what),
            late => self.record_late(Guarantee::Leaving, what, late),
        }
    }

    /// Records a prompt that starts on outdated weights.
    pub fn record_weights_of_run(&mut self, request: &str, target: &str, weights: u64) {
        let newer = self.announced_weights.iter().find(|(version, _)| *version > weights);
        let Some((version, late)) = newer.map(|(version, at)| (*version, at.elapsed())) else {
            return;
        };
        let what = format!(
            "{request} starts at {target} on weights {weights}, {late:?} after {version} was announced"
        );
        self.record_late(Guarantee::Weights, what, late);
    }

    /// Records that a request reached a target of a zone that may be evacuated.
    pub fn record_zone(&mut self, request: &str, target: &str, zone: &str) {
        let Some(late) = self.evacuated.get(zone).map(Instant::elapsed) else { return };
        let what = format!("{request} reaches {target} {late:?} after {zone} was evacuated");
        self.record_late(Guarantee::Evacuation, what, late);
    }

    /// Records that a cold engine got more requests within a second than it bears.
    pub fn record_cold_burst(
        &mut self,
        target: &str,
        requests: usize,
        age: Duration,
        down_for: Duration,
    ) {
        let what = format!(
            "{target} is cold and got {requests} requests within a second, {age:?} after its start, \
             before which it was down for {down_for:?}, at {} of its clock",
            clock_ms()
        );
        self.cold_bursts.push((Instant::now(), what));
    }

    fn record_late(&mut self, guarantee: Guarantee, what: String, late: Duration) {
        if late > guarantee.bound() {
            let to = Instant::now();
            let from = to - late.min(guarantee.allowed());
            self.late.push(LateEvent { guarantee, what, late, from, to });
        }
    }

    /// Records that a target received a request that crashes targets.
    pub fn record_crashing_send(&mut self, cause: &CrashCause) {
        self.history_of(cause).reached.push(Instant::now());
    }

    /// Records that a request crashed a target.
    pub fn record_crash(&mut self, cause: &CrashCause) {
        self.history_of(cause).ended.push(Instant::now());
    }

    fn history_of(&mut self, cause: &CrashCause) -> &mut CrashingRequest {
        match cause {
            CrashCause::Body(body) => self.crashing_requests.entry(body.clone()).or_default(),
            CrashCause::Part(part) => self.crashing_parts.entry(part.clone()).or_default(),
        }
    }

    /// A unique response stamp.
    pub fn next_stamp(&mut self) -> String {
        self.stamps += 1;
        format!("stamp-{}", self.stamps)
    }

    /// Records a run, which is a violation if the request must not run again.
    pub fn record_start(&mut self, request: &str, run: Run) {
        let runs = self.runs.entry(request.to_string()).or_default();
        let may_repeat =
            request.starts_with(REPEATABLE_ID_PREFIX) || request.starts_with(RESUMABLE_ID_PREFIX);
        if !may_repeat && !runs.is_empty() {
            self.violations.push(format!("{request} runs again: {runs:?}, then {run:?}"));
        }
        runs.push(run);
    }

    /// Describes streams that went on at another software version than the one that began them.
    pub fn mixed_streams(&self) -> Vec<String> {
        let resumed = self.runs.iter().flat_map(|(request, runs)| {
            let later = runs.iter().filter(|run| run.resumed_after > 0);
            later.map(move |run| (request, run))
        });
        let mixed = resumed.filter_map(|(request, run)| {
            let stream = run.resumes.as_deref().unwrap_or(request);
            let began_at = self.began_at(stream)?;
            (began_at != run.software).then(|| {
                format!(
                    "{stream} began at software {began_at} and goes on as {request} at {} of {}, after event {}",
                    run.target, run.software, run.resumed_after
                )
            })
        });
        mixed.collect()
    }

    /// The software version that began a stream. A target that is silent may run it beside the one that
    /// was asked in its place, so that the caller's answer tells which one it was. Without an answer, it
    /// was the last run from the beginning.
    fn began_at(&self, stream: &str) -> Option<&str> {
        let runs = self.runs_of(stream);
        let answered = self.answered.get(stream);
        let answering = runs.iter().find(|run| Some(&run.stamp) == answered);
        let last = runs.iter().rfind(|run| run.resumed_after == 0);
        answering.or(last).map(|run| run.software.as_str())
    }

    /// Records the end of a run, unless it has ended already.
    pub fn record_end(&mut self, request: &str, stamp: &str, end: RunEnd) {
        let runs = self.runs.get_mut(request).into_iter().flatten();
        for run in runs.filter(|run| run.stamp == stamp && run.end == RunEnd::Running) {
            run.end = end;
        }
    }

    /// The runs of a request, oldest first.
    pub fn runs_of(&self, request: &str) -> &[Run] {
        self.runs.get(request).map_or(&[], Vec::as_slice)
    }
}
