//! Checks that after the last fault all available targets get requests and load the requested
//! weights.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Harness;

/// Time limit for all targets to get requests and to load weights.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until all targets have recovered, or records violations after the time limit.
pub async fn check(harness: &Harness) {
    let started = Instant::now();
    let initial = begun_by_start(harness);
    loop {
        let now = begun_by_start(harness);
        let is_idle = |(start, count): &(&(String, u64), &u64)| now.get(*start) == Some(*count);
        let idle: Vec<_> = initial.iter().filter(is_idle).map(|(start, _)| start).collect();
        let outdated = outdated_weights(harness);
        if idle.is_empty() && outdated.is_empty() {
            return;
        }
        if started.elapsed() > RECOVERY_TIMEOUT {
            for (id, start) in idle {
                harness.record_violation(format!(
                    "start {start} of {id} gets no requests although it is available"
                ));
            }
            outdated.into_iter().for_each(|description| harness.record_violation(description));
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Number of requests that each available target start has begun, by id and start number.
fn begun_by_start(harness: &Harness) -> BTreeMap<(String, u64), u64> {
    let platform = harness.platform.lock();
    let accepting = platform.targets.values().filter(|target| {
        target.is_listed && target.leaves_from.is_none() && platform.runs(&target.id, target.start)
    });
    accepting.map(|target| ((target.id.clone(), target.start), target.begun)).collect()
}

/// Describes each available target with older weights than requested.
fn outdated_weights(harness: &Harness) -> Vec<String> {
    let platform = harness.platform.lock();
    let Some(newest) =
        platform.observations.announced_weights.iter().map(|(version, _)| *version).max()
    else {
        return Vec::new();
    };
    let accepting = platform.targets.values().filter(|t| t.is_listed && t.leaves_from.is_none());
    accepting
        .filter(|target| target.weights.is_some_and(|loaded| loaded < newest))
        .map(|target| {
            let (id, start, loaded) = (&target.id, target.start, target.weights);
            format!(
                "start {start} of {id} has weights {loaded:?} long after {newest} was requested"
            )
        })
        .collect()
}
