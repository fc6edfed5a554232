//! Checks that a request that an entry has read gets a whole answer or a truthful refusal, unless a
//! fault explains why it does not. Silence is no such fault, not even that of all targets.

use std::fmt::{Display, Formatter};
use std::time::{Duration, Instant};

use crate::Harness;
use crate::callers::{DEADLINE, DeferredCheck};
use crate::system::Disturbance;

/// A disturbance or fault that ended this long before a request still counts for it.
const FAULT_MARGIN: Duration = Duration::from_secs(1);
/// Requests may be sent to a target that ended this long ago, as long as the list shows its last start.
const LISTED_AFTER_END: Duration = Duration::from_secs(5);
/// Entries that have sent a request to another target as well know of an end after this time.
const END_NOTICED_WITHIN: Duration = Duration::from_secs(2);
/// Entries may answer this long before the deadline that it was reached.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// How and when a request was sent.
pub struct Sent<'a> {
    pub request_id: &'a str,
    pub service: &'static str,
    pub entry: usize,
    pub at: Instant,
}

/// What a caller got in place of a whole answer or a refusal.
#[derive(Clone, Copy)]
pub enum Failure<'a> {
    /// The connection failed before the head of an answer, with this error.
    NoAnswer(&'a str),
    /// An answer that is not whole, after this number of bytes.
    Truncated(usize),
    /// An answer that does not say whether the request has run.
    Status(u16),
}

/// A failure that nothing explains that happened at its time.
pub struct UnexplainedFailure {
    request_id: String,
    description: String,
    /// Whether an entry was cut off from targets meanwhile.
    is_during_cut: bool,
    /// Targets that ended meanwhile. They explain it if it was sent to one of them.
    ended_targets: Vec<String>,
}

impl Display for Failure<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::NoAnswer(error) => write!(formatter, "no answer ({error})"),
            Failure::Truncated(bytes) => write!(formatter, "an answer cut after {bytes} bytes"),
            Failure::Status(status) => write!(formatter, "status {status}"),
        }
    }
}

/// Records a failure that no fault explains.
pub fn check(harness: &Harness, sent: &Sent<'_>, failure: Failure<'_>) {
    let disturbances = harness.system().disturbances_since(sent.entry, sent.at - FAULT_MARGIN);
    if is_beside_fault(harness, sent, &disturbances) {
        return;
    }
    let is_cut_or_late =
        || is_deadline_reached(sent) || cuts_since(harness, sent).contains(&sent.entry);
    let is_explained = match failure {
        Failure::NoAnswer(_) if has_run(harness, sent) => has_target_of_run_ended(harness, sent),
        // Idle connections are kept longer than callers pause, so that only a stop closes them.
        Failure::NoAnswer(_) => disturbances.contains(&Disturbance::Stop),
        // What has begun was run by a target that is known.
        Failure::Truncated(_) => is_cut_or_late() || has_target_of_run_ended(harness, sent),
        Failure::Status(_) => is_cut_or_late() || has_target_of_run_ended(harness, sent),
    };
    if !is_explained {
        let (id, entry, after) = (sent.request_id, sent.entry, sent.at.elapsed());
        let runs = harness.platform.lock().observations.runs_of(id).to_vec();
        let what = format!("{id} at entry-{entry}: {failure} after {after:?}, {disturbances:?}");
        harness.defer_check(DeferredCheck::WholeAnswer(UnexplainedFailure {
            request_id: id.to_string(),
            description: format!("{what}, runs {runs:?}, {}", common_pauses(harness, sent)),
            is_during_cut: !cuts_since(harness, sent).is_empty(),
            ended_targets: match failure {
                Failure::Status(_) => ended_targets(harness, sent),
                Failure::NoAnswer(_) | Failure::Truncated(_) => Vec::new(),
            },
        }));
    }
}

/// Whether a prompt was in progress while all engines were paused, and no fault excuses its failure.
pub fn is_judged_in_common_pause(harness: &Harness, sent: &Sent<'_>) -> bool {
    let disturbances = harness.system().disturbances_since(sent.entry, sent.at - FAULT_MARGIN);
    sent.service == "llm"
        && !harness.pauses().common_between(sent.at, Instant::now()).is_empty()
        && !is_beside_fault(harness, sent, &disturbances)
}

fn is_beside_fault(harness: &Harness, sent: &Sent<'_>, disturbances: &[Disturbance]) -> bool {
    disturbances.contains(&Disturbance::Unplanned)
        || harness.had_fault_since(sent.at - FAULT_MARGIN)
}

/// When all engines were paused, from the time on when the request was sent.
fn common_pauses(harness: &Harness, sent: &Sent<'_>) -> String {
    let common = harness.pauses().common_between(sent.at, Instant::now());
    let since = |at: Instant| at.saturating_duration_since(sent.at);
    let times = common.into_iter().map(|(from, until)| (since(from), since(until)));
    format!("all engines paused at {:?}", times.collect::<Vec<_>>())
}

/// Records a failure, unless another entry made an attempt and may have been cut off from targets.
pub fn report(harness: &Harness, failure: &UnexplainedFailure) {
    let lines = harness.system().entry_log_lines(&format!(" id={} ", failure.request_id));
    let was_forwarded = lines.iter().any(|line| line.contains("forwarded_to="));
    if was_forwarded && failure.is_during_cut {
        return;
    }
    let was_sent_to = |id: &String| {
        let target = format!(" target={id}/");
        lines.is_empty() || lines.iter().any(|line| line.contains(&target))
    };
    if failure.ended_targets.iter().any(was_sent_to) {
        return;
    }
    let description = format!("{}\n  {}", failure.description, lines.join("\n  "));
    harness.record_failed_check(crate::WHOLE_ANSWERS_CHECK, description);
}

fn has_run(harness: &Harness, sent: &Sent<'_>) -> bool {
    !harness.platform.lock().observations.runs_of(sent.request_id).is_empty()
}

/// Whether a target that ran it has ended.
fn has_target_of_run_ended(harness: &Harness, sent: &Sent<'_>) -> bool {
    let platform = harness.platform.lock();
    let runs = platform.observations.runs_of(sent.request_id);
    runs.iter().any(|run| !platform.runs(&run.target, run.start))
}

/// The targets of its service that have ended and to which it may have been sent.
fn ended_targets(harness: &Harness, sent: &Sent<'_>) -> Vec<String> {
    let platform = harness.platform.lock();
    let runs = platform.observations.runs_of(sent.request_id);
    let time = if runs.is_empty() { LISTED_AFTER_END } else { END_NOTICED_WITHIN };
    let serves = |id: &str| platform.targets.get(id).is_some_and(|t| t.service == sent.service);
    let ends = platform.observations.target_ends.iter();
    let ends = ends.filter(|(at, id)| serves(id) && *at > sent.at - time);
    ends.map(|(_, id)| id.clone()).collect()
}

fn is_deadline_reached(sent: &Sent<'_>) -> bool {
    sent.at.elapsed() + DEADLINE_MARGIN >= DEADLINE
}

/// The entries whose connections to targets were reset meanwhile.
fn cuts_since(harness: &Harness, sent: &Sent<'_>) -> Vec<usize> {
    let cuts = harness.cuts.lock().expect("the lock is not poisoned");
    let since = sent.at - FAULT_MARGIN;
    let overlapping = cuts.iter().filter(|cut| cut.until.is_none_or(|until| until > since));
    overlapping.map(|cut| cut.entry).collect()
}
