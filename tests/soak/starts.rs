//! After the last fault, each start that takes work gets some, and has the weights that were named.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::World;

/// Longest time until each start has got work and has loaded weights.
const WITHIN: Duration = Duration::from_secs(20);

/// Waits until it is so, or records what is not.
pub async fn check(world: &World) {
    let begun = Instant::now();
    let at_first = requests_begun(world);
    loop {
        let now = requests_begun(world);
        let gets_none = |(start, count): &(&(String, u64), &u64)| now.get(*start) == Some(*count);
        let idle: Vec<_> = at_first.iter().filter(gets_none).map(|(start, _)| start).collect();
        let old = on_old_weights(world);
        if idle.is_empty() && old.is_empty() {
            return;
        }
        if begun.elapsed() > WITHIN {
            for (id, start) in idle {
                world.violation(format!("start {start} of {id} gets no work though it takes some"));
            }
            old.into_iter().for_each(|what| world.violation(what));
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Requests that each start which takes work has begun.
fn requests_begun(world: &World) -> BTreeMap<(String, u64), u64> {
    let platform = world.platform.lock();
    let taking = platform.targets.values().filter(|target| {
        target.is_listed && target.leaves_from.is_none() && platform.runs(&target.id, target.start)
    });
    taking.map(|target| ((target.id.clone(), target.start), target.begun)).collect()
}

fn on_old_weights(world: &World) -> Vec<String> {
    let platform = world.platform.lock();
    let Some(named) =
        platform.observations.announced_weights.iter().map(|(version, _)| *version).max()
    else {
        return Vec::new();
    };
    let taking = platform.targets.values().filter(|t| t.is_listed && t.leaves_from.is_none());
    taking
        .filter(|target| target.weights.is_some_and(|has| has < named))
        .map(|target| {
            let (id, start, has) = (&target.id, target.start, target.weights);
            format!("start {start} of {id} has {has:?} long after {named} was named")
        })
        .collect()
}
