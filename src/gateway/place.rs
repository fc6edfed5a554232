//! Where a request goes: prompts by the scheduler's word, everything else by this entry's own.

use std::rc::Rc;
use std::time::Duration;

use super::job::Job;
use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::control::frames::SchedulerError;
use crate::fleet::placement;
use crate::ids::TargetStart;
use crate::scheduler::weights::{MAX_START_DELAY, OldWeightsPolicy, RolloutHistory};
use crate::scheduler::{Placement, PlacementError, PlacementRequest};

/// An entry that has a part of the list of targets waits so long for one that a prompt was placed at: the
/// rest of the list takes a tenth of a second.
const LISTED_WITHIN: Duration = Duration::from_millis(200);

/// A target for one attempt.
pub struct Chosen {
    /// The target.
    pub target: TargetStart,
    /// The scheduler's word, if it is its choice.
    pub placed: Option<Placement>,
    /// The weights that the engine must run.
    pub weight_version: Option<u64>,
    /// What the choice rests on, as key=value pairs.
    pub trace: String,
}

/// Why there is no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// None is known here, or none is sound.
    NoTarget(placement::SelectionError),
    /// None will have room in time. Come back after this time.
    Busy(Duration),
}

/// Chooses a target.
///
/// # Errors
/// If there is none.
pub async fn choose(
    gateway: &Rc<Gateway>,
    job: &Job,
    avoid: &[TargetStart],
) -> Result<Chosen, NoChoice> {
    if let Some(ask) = ask_of(gateway, job, avoid) {
        let answer = gateway.scheduler.ask(ask).await;
        if let Some(Ok(placed)) = &answer {
            gateway.until_listed(&placed.target, LISTED_WITHIN).await;
        }
        match answer {
            Some(Ok(placed)) if gateway.fleet.borrow().get(&placed.target).is_some() => {
                return Ok(by_scheduler(placed));
            }
            Some(Ok(placed)) => gateway.scheduler.give_back(&placed),
            Some(Err(SchedulerError::Placement(PlacementError::Busy(come_back)))) => {
                return Err(NoChoice::Busy(come_back));
            }
            Some(Err(_)) | None => {}
        }
    }
    alone(gateway, job, avoid)
}

fn by_scheduler(placed: Placement) -> Chosen {
    let trace = format!(
        "by=scheduler weights={} running={} ahead_ms={} resident_tokens={} fetched_tokens={} \
         again_nowhere_whole={} again_link_full={} again_link_slow={} expected_ms={} waited_ms={} \
         saves={}",
        placed.weight_version.map_or("-".to_string(), |version| version.to_string()),
        placed.trace.running,
        placed.trace.ahead_ms,
        placed.trace.resident_tokens,
        placed.trace.fetched_tokens,
        placed.trace.recomputed.nowhere_whole_tokens,
        placed.trace.recomputed.link_full_tokens,
        placed.trace.recomputed.link_slow_tokens,
        placed.trace.expected_ms,
        placed.trace.waited_ms,
        placed.save.iter().flatten().count(),
    );
    let weight_version = placed.weight_version;
    Chosen { target: placed.target.clone(), placed: Some(placed), weight_version, trace }
}

fn alone(gateway: &Gateway, job: &Job, avoid: &[TargetStart]) -> Result<Chosen, NoChoice> {
    let ask = placement::Criteria {
        service: &job.service,
        prompt: job.call.prompt.as_ref(),
        cache_namespace: &job.cache_wall,
        tried: avoid,
        tie_breaker: job.drawn,
        named: &gateway.named_since.borrow(),
        old_weights: gateway.host.periods.old_weights,
    };
    let choice = placement::choose(&gateway.fleet.borrow(), &ask, boot_now());
    let choice = choice.map_err(NoChoice::NoTarget)?;
    if job.call.prompt.is_some() {
        gateway.metrics.placed_alone.add(1, &[]);
    }
    let trace = format!(
        "by=entry load={:.1} home={} expected_ms={}{}",
        choice.load,
        choice.affinity_rank,
        choice.expected.as_millis(),
        weights_trace(gateway, job, choice.weight_version),
    );
    let weight_version = choice.weight_version;
    Ok(Chosen { target: choice.target, placed: None, weight_version, trace })
}

/// Whether a prompt may still begin on the weights that it was placed for.
pub fn may_still_begin(gateway: &Gateway, job: &Job, chosen: &Chosen) -> bool {
    let Some(prompt) = &job.call.prompt else { return true };
    let old_weights = gateway.host.periods.old_weights;
    let old_weights = match chosen.placed {
        // Only the scheduler knows from when its own bound counts.
        Some(_) => OldWeightsPolicy { within: None, ..old_weights },
        None => old_weights,
    };
    let named_since = gateway.named_since.borrow();
    let (named, has) = (named_since.get(&prompt.model), chosen.weight_version);
    old_weights.cost_ms(named, has, BootTime::ZERO, boot_now() + MAX_START_DELAY).is_some()
}

/// Which weights the engine must run, the newest named ones, and how long ago the first were named
/// that the engine has missed.
fn weights_trace(gateway: &Gateway, job: &Job, expected: Option<u64>) -> String {
    let Some(prompt) = &job.call.prompt else { return String::new() };
    let named_since = gateway.named_since.borrow();
    let named = named_since.get(&prompt.model);
    let missed_since = named.and_then(|named| named.missed_since(expected));
    let age = missed_since.map(|since| boot_now().saturating_sub(since).as_millis());
    let shown = |number: Option<u128>| number.map_or("-".to_string(), |number| number.to_string());
    format!(
        " weights={} named={} missed_ms={}",
        shown(expected.map(u128::from)),
        shown(named.and_then(RolloutHistory::newest).map(u128::from)),
        shown(age)
    )
}

/// What the scheduler is asked; `None` if the request is no prompt.
fn ask_of(gateway: &Gateway, job: &Job, avoid: &[TargetStart]) -> Option<PlacementRequest> {
    let prompt = job.call.prompt.as_ref()?;
    let now = boot_now();
    let fleet = gateway.fleet.borrow();
    let suspects = fleet
        .live(&job.service)
        .filter(|state| !state.health.admits(state.running, now))
        .map(|state| state.listed.start.clone());
    let mut avoid: Vec<TargetStart> = avoid.iter().cloned().chain(suspects).collect();
    // An entry that is cut off from many engines knows nothing against them.
    if avoid.len() * 2 > fleet.live(&job.service).count() {
        avoid.truncate(job.route.attempts as usize);
    }
    Some(PlacementRequest {
        service: job.service.clone(),
        model: prompt.model.clone(),
        cache_namespace: job.cache_wall.clone(),
        parts: prompt.parts.clone(),
        prompt_tokens: prompt.prompt_tokens,
        output_tokens: prompt.output_tokens,
        priority: job.rank.order(),
        objective: job.route.objective,
        time_left: job.ends_at.saturating_duration_since(tokio::time::Instant::now()),
        elapsed: job.arrived.elapsed(),
        avoid,
    })
}
