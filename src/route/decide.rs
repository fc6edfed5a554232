//! Engine selection: which engine runs a request, and whether it imports a stored prefix first.

use std::time::Duration;

use super::view::{EngineView, View};
use crate::clock::BootTime;
use crate::config::{Policy, Prices};

use crate::ids::{TargetId, WeightVersion};
use crate::prompt::{BLOCK_TOKENS, Chain};
use crate::upstream::api::StoredObject;

/// Engines whose costs differ by no more than this are tied; the request number picks one of them.
const COST_TIE_TOLERANCE: Duration = Duration::from_micros(500);
/// Time for which a request occupies a batch slot, in the estimate of queueing delays.
const BATCH_SLOT_HOLD_TIME: Duration = Duration::from_millis(100);
/// Used while an engine has no fresh report of its prefill rate.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;

const MEBIBYTE: f64 = 1_048_576.0;
const KILOTOKEN: f64 = 1_000.0;

/// The properties of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    pub model: &'a str,
    /// Only engines that have loaded this version are eligible.
    pub weight_version: &'a WeightVersion,
    /// Block keys of the prompt.
    pub chain: &'a Chain,
    /// Prefixes of the prompt that are held in stores, each with its store.
    pub stored_prefixes: &'a [(TargetId, StoredObject)],
    /// Engines that already failed this request.
    pub excluded_engines: &'a [TargetId],
    /// Differs from one request to the next; picks one of several tied engines.
    pub request_number: u64,
}

/// The result of engine selection.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    pub engine: TargetId,
    /// The prefix to import before the prefill, if that lowers the cost.
    pub import: Option<Import>,
    /// Leading prompt blocks expected to be in the engine's cache.
    pub resident_blocks: usize,
    /// Expected number of tokens to prefill.
    pub prefill_tokens: u64,
    /// Estimated.
    pub time_to_first_token: Duration,
}

/// An import of a prefix from a store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Import {
    pub store: TargetId,
    pub object: StoredObject,
}

/// Chooses an engine by the given policy. Returns `None` if no engine is eligible.
pub fn decide(
    policy: Policy,
    prices: &Prices,
    view: &View,
    request: &RouteRequest<'_>,
    now: BootTime,
) -> Option<Decision> {
    let candidates: Vec<(&TargetId, &EngineView)> =
        view.engines.iter().filter(|(id, engine)| is_eligible(id, engine, request, now)).collect();
    let chosen = match policy {
        Policy::RoundRobin => {
            let position = request.request_number as usize % candidates.len().max(1);
            candidates.get(position).copied()
        }
        Policy::LeastLoad => {
            least_cost(&candidates, request.request_number, |_, engine| estimated_wait(engine, now))
        }
        Policy::PrefixSticky => {
            let root = request.chain.root().unwrap_or(u128::from(request.request_number));
            candidates.iter().copied().max_by_key(|(id, _)| rendezvous_weight(root, id))
        }
        Policy::Cost => return cheapest(&candidates, prices, view, request, now),
    };
    let (id, engine) = chosen?;
    Some(plan_for_engine(id, engine, None, request, now).into_decision())
}

fn is_eligible(
    id: &TargetId,
    engine: &EngineView,
    request: &RouteRequest<'_>,
    now: BootTime,
) -> bool {
    engine.takes_work
        && engine.model == request.model
        && !request.excluded_engines.contains(id)
        && engine.health.admits(engine.running, now)
        && engine.fresh_report(now).is_some_and(|report| {
            report.weight_version.as_ref() == Some(request.weight_version)
                && report.incarnation == engine.incarnation
        })
}

/// One way to run a request, on one engine and with or without an import, and its cost.
struct EnginePlan<'p> {
    engine: &'p TargetId,
    import: Option<&'p UsableImport>,
    resident_blocks: usize,
    prefill_tokens: f64,
    time_to_first_token_s: f64,
    cost_s: f64,
}

impl EnginePlan<'_> {
    fn into_decision(self) -> Decision {
        Decision {
            engine: self.engine.clone(),
            import: self.import.map(|import| import.import.clone()),
            resident_blocks: self.resident_blocks,
            prefill_tokens: self.prefill_tokens.round() as u64,
            time_to_first_token: Duration::from_secs_f64(self.time_to_first_token_s),
        }
    }
}

fn cheapest(
    candidates: &[(&TargetId, &EngineView)],
    prices: &Prices,
    view: &View,
    request: &RouteRequest<'_>,
    now: BootTime,
) -> Option<Decision> {
    let imports = usable_imports(view, request, now);
    let mut plans: Vec<EnginePlan> = Vec::with_capacity(candidates.len());
    for (id, engine) in candidates {
        let mut best =
            with_resource_prices(plan_for_engine(id, engine, None, request, now), prices);
        for import in &imports {
            let other = with_resource_prices(
                plan_for_engine(id, engine, Some(import), request, now),
                prices,
            );
            if other.cost_s < best.cost_s {
                best = other;
            }
        }
        plans.push(best);
    }
    let least = plans.iter().map(|plan| plan.cost_s).min_by(f64::total_cmp)?;
    let limit = least + COST_TIE_TOLERANCE.as_secs_f64();
    let tied: Vec<EnginePlan> = plans.into_iter().filter(|plan| plan.cost_s <= limit).collect();
    let index = request.request_number as usize % tied.len().max(1);
    tied.into_iter().nth(index).map(EnginePlan::into_decision)
}

/// An import that is possible now, with the expected duration of its transfer.
struct UsableImport {
    import: Import,
    transfer: Duration,
}

fn usable_imports(view: &View, request: &RouteRequest<'_>, now: BootTime) -> Vec<UsableImport> {
    let mut usable = Vec::new();
    for (store_id, object) in request.stored_prefixes {
        let blocks = object.blocks as usize;
        // The object may belong to another prompt: import it only if its key is in this chain.
        if blocks == 0 || request.chain.keys.get(blocks - 1) != Some(&object.key) {
            continue;
        }
        let Some(store) = view.stores.get(store_id) else { continue };
        if !store.health.admits(0, now) {
            continue;
        }
        let Some(transfer) = store.transfer_time(object.size_bytes, now) else { continue };
        let import = Import { store: store_id.clone(), object: object.clone() };
        usable.push(UsableImport { import, transfer });
    }
    usable
}

fn plan_for_engine<'p>(
    id: &'p TargetId,
    engine: &EngineView,
    import: Option<&'p UsableImport>,
    request: &RouteRequest<'_>,
    now: BootTime,
) -> EnginePlan<'p> {
    let resident = engine.residency.resident_blocks(&request.chain.keys);
    let expected_resident = resident as f64 * engine.residency.confidence();
    let imported = import.map_or(0, |import| import.import.object.blocks as usize);
    let reused_blocks = expected_resident.max(imported as f64);
    let reused = (reused_blocks * BLOCK_TOKENS as f64).min(request.chain.tokens as f64);
    let prefill_tokens = request.chain.tokens as f64 - reused;
    let rate = engine
        .fresh_report(now)
        .map_or(DEFAULT_PREFILL_TOKENS_PER_S, |report| report.prefill_tokens_per_s)
        .max(1.0);
    let transfer = import.map_or(Duration::ZERO, |import| import.transfer);
    // The transfer overlaps with the time in the engine's queue, so only the longer one counts.
    let wait = estimated_wait(engine, now).max(transfer);
    let time_to_first_token_s = wait.as_secs_f64() + prefill_tokens / rate;
    EnginePlan {
        engine: id,
        import,
        resident_blocks: resident,
        prefill_tokens,
        time_to_first_token_s,
        cost_s: time_to_first_token_s,
    }
}

fn with_resource_prices<'p>(mut plan: EnginePlan<'p>, prices: &Prices) -> EnginePlan<'p> {
    let link_mib =
        plan.import.map_or(0.0, |import| import.import.object.size_bytes as f64 / MEBIBYTE);
    let recomputed = plan.prefill_tokens / KILOTOKEN;
    plan.cost_s += link_mib * prices.link_s_per_mib;
    plan.cost_s += recomputed * prices.recompute_s_per_kilotoken;
    plan
}

/// Estimates how long a request sent now waits for its own prefill to start.
fn estimated_wait(engine: &EngineView, now: BootTime) -> Duration {
    let report = engine.fresh_report(now);
    let rate =
        report.map_or(DEFAULT_PREFILL_TOKENS_PER_S, |report| report.prefill_tokens_per_s).max(1.0);
    let prefill = Duration::from_secs_f64(engine.queued_tokens(now) as f64 / rate);
    let batch_slots = report.map_or(1, |report| report.max_batch).max(1);
    let excess = (engine.estimated_requests(now) + 1).saturating_sub(batch_slots);
    prefill + BATCH_SLOT_HOLD_TIME * excess / batch_slots
}

fn least_cost<'v>(
    candidates: &[(&'v TargetId, &'v EngineView)],
    request_number: u64,
    cost: impl Fn(&TargetId, &EngineView) -> Duration,
) -> Option<(&'v TargetId, &'v EngineView)> {
    let least = candidates.iter().map(|(id, engine)| cost(id, engine)).min()?;
    let limit = least + COST_TIE_TOLERANCE;
    let tied: Vec<_> = candidates.iter().filter(|(id, engine)| cost(id, engine) <= limit).collect();
    tied.get(request_number as usize % tied.len().max(1)).map(|chosen| **chosen)
}

/// Weight for rendezvous hashing: each key is assigned to the target with the highest weight.
pub fn rendezvous_weight(key: u128, id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(id.as_bytes());
    let mut weight = [0; 8];
    weight.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(weight)
}
