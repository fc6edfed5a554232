//! Selects targets: prompts are placed by the scheduler if it is available, others by the entry.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use super::routed_request::RoutedRequest;
use super::state::Gateway;
use crate::clock::{BootTime, boot_now};
use crate::control::frames::SchedulerError;
use crate::fleet::Listed;
use crate::fleet::locality::DomainRoute;
use crate::fleet::placement::{self, Choice, SelectionError};
use crate::fleet::rate::IndependentShare;
use crate::ids::{SoftwareVersion, TargetStart};
use crate::scheduler::weights::{MAX_START_DELAY, OldWeightsPolicy, RolloutHistory};
use crate::scheduler::{Placement, PlacementError, PlacementRequest};

/// How long to wait for a placed prompt's target to appear in a roster that has only been received
/// in part.
const LISTED_TIMEOUT: Duration = Duration::from_millis(200);

/// The target of one attempt.
pub struct SelectedTarget {
    pub target: TargetStart,
    /// The version of its software.
    pub software: SoftwareVersion,
    /// The placement, if the scheduler selected the target.
    pub placed: Option<Placement>,
    /// The weights that the engine must run.
    pub weight_version: Option<u64>,
    pub is_prompt: bool,
    /// Its way to the target's failure domain.
    pub way: DomainRoute,
    /// The reasons for the selection as key=value pairs, for the log.
    pub trace: String,
}

/// Why no target was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoTarget {
    /// The entry's own selection found no suitable target.
    Selection(placement::SelectionError),
    /// No target will have capacity in time. The caller may retry after this time.
    Busy(Duration),
    /// All targets limit their rate. The caller may retry after this time.
    Limited(Duration),
}

impl fmt::Display for NoTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoTarget::Selection(error) => write!(f, "{error} by=entry"),
            NoTarget::Busy(retry_after) => {
                write!(f, "busy retry_after_ms={}", retry_after.as_millis())
            }
            NoTarget::Limited(retry_after) => {
                write!(f, "limited retry_after_ms={}", retry_after.as_millis())
            }
        }
    }
}

/// Selects a target that is not in `avoid`.
///
/// # Errors
/// If there is none.
pub async fn select_target(
    gateway: &Rc<Gateway>,
    routed: &RoutedRequest,
    avoid: &[TargetStart],
) -> Result<SelectedTarget, NoTarget> {
    let software = gateway.required_software(routed);
    if let Some(request) = placement_request(gateway, routed, software.clone(), avoid) {
        let outcome = gateway.scheduler.place(request).await;
        if let Some(Ok(placed)) = &outcome {
            gateway.wait_for_target(&placed.target, LISTED_TIMEOUT).await;
        }
        match outcome {
            Some(Ok(placed)) => match listed_target(gateway, &placed.target) {
                Some(listed) => {
                    let way = gateway.route_to(&listed.failure_domain, routed);
                    return Ok(from_placement(placed, listed.software, way));
                }
                None => gateway.scheduler.return_placement(&placed),
            },
            Some(Err(SchedulerError::Placement(PlacementError::Busy(retry_after)))) => {
                return Err(NoTarget::Busy(retry_after));
            }
            Some(Err(SchedulerError::Placement(PlacementError::Limited(retry_after)))) => {
                return Err(NoTarget::Limited(retry_after));
            }
            Some(Err(_)) | None => {}
        }
    }
    select_locally(gateway, routed, software.as_deref(), avoid)
}

/// The listing of a target; `None` if it is unknown.
fn listed_target(gateway: &Gateway, target: &TargetStart) -> Option<Listed> {
    gateway.fleet.borrow().get(target).map(|state| state.listed.clone())
}

/// Expected size of a request's body and its response.
pub fn expected_bytes(routed: &RoutedRequest) -> f64 {
    placement::expected_bytes(routed.metadata.prompt.as_ref(), routed.body.len() as u64)
}

impl Gateway {
    /// The way of a request to a failure domain.
    pub fn route_to(&self, domain: &str, routed: &RoutedRequest) -> DomainRoute {
        let locality = self.locality.borrow();
        DomainRoute {
            is_away: locality.is_away(domain),
            cost_ms: locality.cost_ms(domain, expected_bytes(routed)),
            body_bytes: routed.body.len() as u64,
        }
    }
}

fn from_placement(
    placed: Placement,
    software: SoftwareVersion,
    way: DomainRoute,
) -> SelectedTarget {
    let trace = format!(
        "by=scheduler weights={} running={} ahead_ms={} speed_factor={:.2} late_streams={} \
         resident_tokens={} fetched_tokens={} \
         again_nowhere_whole={} again_link_full={} again_link_slow={} expected_ms={} waited_ms={} \
         examined={} saves={}",
        placed.weight_version.map_or("-".to_string(), |version| version.to_string()),
        placed.trace.running,
        placed.trace.ahead_ms,
        placed.trace.speed_factor,
        placed.trace.late_streams,
        placed.trace.resident_tokens,
        placed.trace.fetched_tokens,
        placed.trace.recomputed.nowhere_whole_tokens,
        placed.trace.recomputed.link_full_tokens,
        placed.trace.recomputed.link_slow_tokens,
        placed.trace.expected_ms,
        placed.trace.waited_ms,
        placed.trace.examined,
        placed.save.iter().flatten().count(),
    );
    let weight_version = placed.weight_version;
    let target = placed.target.clone();
    let placed = Some(placed);
    SelectedTarget { target, software, placed, weight_version, is_prompt: true, way, trace }
}

fn select_locally(
    gateway: &Gateway,
    routed: &RoutedRequest,
    software: Option<&str>,
    avoid: &[TargetStart],
) -> Result<SelectedTarget, NoTarget> {
    let share = gateway.independent_share();
    let now = boot_now();
    let choice = choose_locally(gateway, routed, software, avoid, &share, now);
    let choice = choice.map_err(|error| match error {
        SelectionError::NoRoom(retry_after) => {
            gateway.metrics.refused_without_room.add(1, &[]);
            NoTarget::Busy(retry_after)
        }
        error => NoTarget::Selection(error),
    })?;
    if let Some(gain_ms) = choice.away_gain_ms {
        gateway.locality.borrow_mut().record_gain(&routed.service, gain_ms, now);
    }
    gateway.fleet.borrow_mut().record_independent(&choice.target, &share, now);
    if routed.metadata.prompt.is_some() {
        gateway.metrics.fallback_placements.add(1, &[]);
    }
    let trace = format!(
        "by=entry load={:.1} affinity_rank={} examined={} expected_ms={} free_tokens={}{}",
        choice.load,
        choice.affinity_rank,
        choice.examined,
        choice.expected.as_millis(),
        choice.free_tokens.map_or("-".to_string(), |tokens| format!("{tokens:.0}")),
        weights_trace(gateway, routed, choice.weight_version),
    );
    let weight_version = choice.weight_version;
    let is_prompt = routed.metadata.prompt.is_some();
    let listed = listed_target(gateway, &choice.target);
    let (software, domain) =
        listed.map(|listed| (listed.software, listed.failure_domain)).unwrap_or_default();
    let way = gateway.route_to(&domain, routed);
    let target = choice.target;
    Ok(SelectedTarget { target, software, placed: None, weight_version, is_prompt, way, trace })
}

fn choose_locally(
    gateway: &Gateway,
    routed: &RoutedRequest,
    software: Option<&str>,
    avoid: &[TargetStart],
    share: &IndependentShare,
    now: BootTime,
) -> Result<Choice, SelectionError> {
    let criteria = placement::Criteria {
        service: &routed.service,
        prompt: routed.metadata.prompt.as_ref(),
        cache_namespace: &routed.cache_namespace,
        tried: avoid,
        software,
        tie_breaker: routed.tie_breaker,
        named: &gateway.rollouts.borrow(),
        old_weights: gateway.host.periods.old_weights,
        share,
        allowed_domains: &routed.allowed_domains,
        locality: &gateway.locality.borrow(),
        body_bytes: routed.body.len() as u64,
    };
    placement::choose(&gateway.fleet.borrow(), &criteria, now)
}

/// Whether a prompt may still start on the weights for which its target was selected.
pub fn may_start_on_weights(
    gateway: &Gateway,
    routed: &RoutedRequest,
    selected: &SelectedTarget,
) -> bool {
    let Some(prompt) = &routed.metadata.prompt else { return true };
    let old_weights = gateway.host.periods.old_weights;
    let old_weights = match selected.placed {
        // This bound starts when the scheduler does, which the entry does not know.
        Some(_) => OldWeightsPolicy { within: None, ..old_weights },
        None => old_weights,
    };
    let rollouts = gateway.rollouts.borrow();
    let (history, has) = (rollouts.get(&prompt.model), selected.weight_version);
    old_weights.cost_ms(history, has, BootTime::ZERO, boot_now() + MAX_START_DELAY).is_some()
}

/// Describes the selected and the newest announced weights, and how long ago the first version was
/// announced that the engine lacks.
fn weights_trace(gateway: &Gateway, routed: &RoutedRequest, expected: Option<u64>) -> String {
    let Some(prompt) = &routed.metadata.prompt else { return String::new() };
    let rollouts = gateway.rollouts.borrow();
    let history = rollouts.get(&prompt.model);
    let missed_since = history.and_then(|history| history.missed_since(expected));
    let age = missed_since.map(|since| boot_now().saturating_sub(since).as_millis());
    let shown = |number: Option<u128>| number.map_or("-".to_string(), |number| number.to_string());
    format!(
        " weights={} named={} missed_ms={}",
        shown(expected.map(u128::from)),
        shown(history.and_then(RolloutHistory::newest).map(u128::from)),
        shown(age)
    )
}

/// Builds the placement request; `None` if the request is not a prompt.
fn placement_request(
    gateway: &Gateway,
    routed: &RoutedRequest,
    software: Option<SoftwareVersion>,
    avoid: &[TargetStart],
) -> Option<PlacementRequest> {
    let prompt = routed.metadata.prompt.as_ref()?;
    let now = boot_now();
    let fleet = gateway.fleet.borrow();
    let rejecting = fleet.rejecting(&routed.service, now);
    let mut avoid: Vec<TargetStart> = avoid.iter().chain(rejecting).cloned().collect();
    // If most targets seem unhealthy, the cause is probably this entry's own network.
    if avoid.len() * 2 > fleet.live_count(&routed.service) {
        avoid.truncate(routed.route.attempts as usize);
    }
    Some(PlacementRequest {
        service: routed.service.clone(),
        model: prompt.model.clone(),
        cache_namespace: routed.cache_namespace.clone(),
        parts: prompt.parts.clone(),
        prompt_tokens: prompt.prompt_tokens,
        output_tokens: prompt.output_tokens,
        priority: routed.priority.scheduler_level(),
        objective: routed.route.objective,
        time_left: routed.deadline.saturating_duration_since(tokio::time::Instant::now()),
        elapsed: routed.arrived.elapsed(),
        avoid,
        allowed_domains: routed.allowed_domains.clone(),
        software,
        account: routed.account.clone(),
        entry_domain: gateway.host.failure_domain.clone(),
        max_event_gap: routed.route.max_event_gap,
        body_bytes: routed.body.len() as u64,
    })
}
