//! Where a request goes: prompts by the scheduler's word, everything else by this entry's own.

use std::rc::Rc;

use super::attempt::Job;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::fleet::placement::{self, Unplaced};
use crate::ids::TargetId;
use crate::scheduler::{Ask, Placed};

/// A target for one attempt.
pub struct Chosen {
    /// The target.
    pub target: TargetId,
    /// The scheduler's word, if it is its choice.
    pub placed: Option<Placed>,
    /// What the choice rests on, as key=value pairs.
    pub grounds: String,
}

/// Chooses a target.
///
/// # Errors
/// If there is none.
pub async fn choose(
    gateway: &Rc<Gateway>,
    job: &Job,
    avoid: &[TargetId],
) -> Result<Chosen, Unplaced> {
    if let Some(ask) = ask_of(gateway, job, avoid)
        && let Some(Ok(placed)) = gateway.asking.ask(ask).await
    {
        let is_known = gateway.fleet.borrow().get(&placed.target).is_some();
        if is_known {
            return Ok(by_scheduler(placed));
        }
    }
    alone(gateway, job, avoid)
}

fn by_scheduler(placed: Placed) -> Chosen {
    let grounds = format!(
        "by=scheduler running={} ahead_tokens={} resident_tokens={} fetched_tokens={} \
         expected_ms={} saves={}",
        placed.grounds.running,
        placed.grounds.ahead_tokens,
        placed.grounds.resident_tokens,
        placed.grounds.fetched_tokens,
        placed.grounds.expected_ms,
        placed.save.iter().flatten().count(),
    );
    Chosen { target: placed.target.clone(), placed: Some(placed), grounds }
}

fn alone(gateway: &Gateway, job: &Job, avoid: &[TargetId]) -> Result<Chosen, Unplaced> {
    let ask = placement::Ask {
        service: &job.service,
        prompt: job.call.prompt.as_ref(),
        cache_wall: &job.cache_wall,
        tried: avoid,
        drawn: job.drawn,
    };
    let choice = placement::choose(&gateway.fleet.borrow(), &ask, boot_now())?;
    let grounds = format!(
        "by=entry load={:.1} home={} expected_ms={}",
        choice.load,
        choice.home,
        choice.expected.as_millis()
    );
    Ok(Chosen { target: choice.target, placed: None, grounds })
}

/// What the scheduler is asked; `None` if the request is no prompt.
fn ask_of(gateway: &Gateway, job: &Job, avoid: &[TargetId]) -> Option<Ask> {
    let prompt = job.call.prompt.as_ref()?;
    let now = boot_now();
    let fleet = gateway.fleet.borrow();
    let suspects = fleet
        .live(&job.service)
        .filter(|state| !state.health.admits(state.running, now))
        .map(|state| state.listed.id.clone());
    let mut avoid: Vec<TargetId> = avoid.iter().cloned().chain(suspects).collect();
    // An entry that is cut off from many engines knows nothing against them.
    if avoid.len() * 2 > fleet.live(&job.service).count() {
        avoid.truncate(job.route.attempts as usize);
    }
    Some(Ask {
        service: job.service.clone(),
        model: prompt.model.clone(),
        wall: job.cache_wall.clone(),
        parts: prompt.parts.clone(),
        prompt_tokens: prompt.prompt_tokens,
        output_tokens: prompt.output_tokens,
        objective: job.route.objective,
        time_left: job.ends_at.saturating_duration_since(tokio::time::Instant::now()),
        avoid,
    })
}
