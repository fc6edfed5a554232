//! What has reached the targets, and what must not have.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Requests whose ids begin so may run more than once.
pub const REPEATABLE_ID_PREFIX: &str = "safe-";
/// Streams whose ids begin so may go on at another target.
pub const RESUMABLE_ID_PREFIX: &str = "resumable-";

/// One run of a request at a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// The target's id.
    pub target: String,
    /// Which of its starts that was.
    pub start: u64,
    /// When it began.
    pub begun: Instant,
    /// The account that it was said to be of.
    pub tenant: String,
    /// The event after which it was to go on.
    pub resumed_after: u64,
    /// The stamp of its answer.
    pub stamp: String,
    /// How it ended.
    pub end: RunEnd,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It goes on.
    Running,
    /// With a whole answer.
    Whole,
    /// The caller's side closed, or the target broke off.
    Left(Instant),
}

/// The account.
#[derive(Default)]
pub struct Observations {
    /// Runs of each request, by its id.
    pub runs: HashMap<String, Vec<Run>>,
    /// What must never happen and did.
    pub violations: Vec<String>,
    /// Orders that targets have taken.
    pub orders: u64,
    /// What came later than a deployment allows.
    pub late: Vec<Late>,
    /// Versions of weights that were acknowledged, and when.
    pub named: Vec<(u64, Instant)>,
    /// Requests under which targets end, by body.
    pub ending: BTreeMap<String, CrashingRequest>,
    stamps: u64,
}

/// What a request has done under which targets end.
#[derive(Clone, Debug, Default)]
pub struct CrashingRequest {
    /// When it reached targets.
    pub reached: Vec<Instant>,
    /// When targets ended under it.
    pub ended: Vec<Instant>,
}

/// Targets may end under one request until it is known for what it is.
const MAX_CRASHES_BEFORE_HOLD: usize = 3;
/// It may reach so many more after that and the time until all hosts know.
const MAX_LATE_SENDS: usize = 3;

impl CrashingRequest {
    /// What is wrong, if it reached targets too often once all had this time to know it for what it is, and
    /// at times that count.
    pub fn reached_too_often(
        &self,
        known_within: Duration,
        counts: impl Fn(Instant) -> bool,
    ) -> Option<String> {
        let known = *self.ended.get(MAX_CRASHES_BEFORE_HOLD - 1)? + known_within;
        let late = self.reached.iter().filter(|at| **at > known && counts(**at)).count();
        let ended = self.ended.len();
        let what = || format!("sent {late} times more, {ended} targets ended in all");
        (late > MAX_LATE_SENDS).then(what)
    }
}

/// Something that came late. It must not come later than is allowed, unless something was wrong
/// meanwhile.
#[derive(Clone, Debug)]
pub struct Late {
    /// Which promise it is about.
    pub promise: Promise,
    /// What it is.
    pub what: String,
    /// How late it came.
    pub late: Duration,
    /// The span in which something may have been wrong.
    pub from: Instant,
    /// Its end, when it came.
    pub to: Instant,
}

/// What is promised within a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// A target that leaves gets no new requests.
    Leaving,
    /// Prompts begin on named weights.
    Weights,
}

impl Promise {
    /// What the soak's deployment allows.
    pub fn bound(self) -> Duration {
        match self {
            Promise::Leaving => Duration::from_secs(3),
            Promise::Weights => Duration::from_secs(6),
        }
    }

    /// What the soak allows: a busy machine may keep a process waiting for a while.
    pub fn allowed(self) -> Duration {
        match self {
            Promise::Leaving => Duration::from_secs(5),
            Promise::Weights => Duration::from_secs(10),
        }
    }
}

/// A leaving target gets no new requests after this time whatever is wrong.
const LEAVING_HARD_LIMIT: Duration = Duration::from_secs(8);

impl Observations {
    /// Records something that must never happen.
    pub fn violation(&mut self, what: String) {
        self.violations.push(what);
    }

    /// A request reaches a target that leaves.
    pub fn record_leaving_target(&mut self, request: &str, target: &str, from: Instant) {
        let late = from.elapsed();
        let what = format!("{request} reaches {target} {late:?} after it began to leave");
        match late {
            late if late > LEAVING_HARD_LIMIT => self.violations.push(what),
            late => self.record_late(Promise::Leaving, what, late),
        }
    }

    /// A prompt begins on weights.
    pub fn record_weights_of_run(&mut self, request: &str, target: &str, weights: u64) {
        let newer = self.named.iter().find(|(version, _)| *version > weights);
        let Some((version, late)) = newer.map(|(version, at)| (*version, at.elapsed())) else {
            return;
        };
        let what = format!(
            "{request} begins at {target} on weights {weights}, {late:?} after {version} was named"
        );
        self.record_late(Promise::Weights, what, late);
    }

    fn record_late(&mut self, promise: Promise, what: String, late: Duration) {
        if late > promise.bound() {
            let to = Instant::now();
            let from = to - late.min(promise.allowed());
            self.late.push(Late { promise, what, late, from, to });
        }
    }

    /// A request under which targets end reaches one.
    pub fn record_crashing_send(&mut self, body: &str) {
        self.ending.entry(body.to_string()).or_default().reached.push(Instant::now());
    }

    /// A target ended under a request.
    pub fn record_crash(&mut self, body: &str) {
        self.ending.entry(body.to_string()).or_default().ended.push(Instant::now());
    }

    /// A stamp that no other run has.
    pub fn next_stamp(&mut self) -> String {
        self.stamps += 1;
        format!("stamp-{}", self.stamps)
    }

    /// Records that a run began.
    pub fn record_start(&mut self, request: &str, run: Run) {
        let runs = self.runs.entry(request.to_string()).or_default();
        let may_repeat =
            request.starts_with(REPEATABLE_ID_PREFIX) || request.starts_with(RESUMABLE_ID_PREFIX);
        if !may_repeat && !runs.is_empty() {
            self.violations.push(format!("{request} runs again: {runs:?}, then {run:?}"));
        }
        runs.push(run);
    }

    /// Records how a run ended.
    pub fn record_end(&mut self, request: &str, stamp: &str, end: RunEnd) {
        let runs = self.runs.get_mut(request).into_iter().flatten();
        for run in runs.filter(|run| run.stamp == stamp && run.end == RunEnd::Running) {
            run.end = end;
        }
    }

    /// Runs of a request.
    pub fn runs_of(&self, request: &str) -> &[Run] {
        self.runs.get(request).map_or(&[], Vec::as_slice)
    }
}
