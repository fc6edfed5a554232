//! The decision: which engine runs a request, and whether it imports a kept prefix first.

use std::time::Duration;

use super::view::{EngineView, View};
use crate::clock::BootTime;
use crate::config::{Policy, Prices};
use crate::ids::{TargetId, WeightVersion};
use crate::prompt::{BLOCK_TOKENS, Chain};
use crate::upstream::api::StoredObject;

/// Engines whose cost differs by less than this count as equal; one of them is drawn.
const EQUAL_WITHIN: Duration = Duration::from_micros(500);
/// A full batch frees a place about this often for each of its places.
const PLACE_HELD: Duration = Duration::from_millis(100);
/// Assumed until an engine has reported its rate.
const ASSUMED_TOKENS_PER_S: f64 = 10_000.0;

const MEBIBYTE: f64 = 1_048_576.0;
const KILOTOKEN: f64 = 1_000.0;

/// A request as far as routing sees it.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The model.
    pub model: &'a str,
    /// The weight version that must answer.
    pub weight_version: &'a WeightVersion,
    /// The prompt.
    pub chain: &'a Chain,
    /// Prefixes of it that stores hold, with the store of each.
    pub kept: &'a [(TargetId, StoredObject)],
    /// Engines that must not be used, since they failed this request before.
    pub avoid: &'a [TargetId],
    /// A number that is random for each request: draws between equals.
    pub draw: u64,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The engine.
    pub engine: TargetId,
    /// What it imports first, if that is worth it.
    pub import: Option<Import>,
    /// Blocks that are believed to be resident there.
    pub resident_blocks: usize,
    /// Tokens that it must prefill, if all goes as believed.
    pub prefill_tokens: u64,
    /// Estimated time to first token.
    pub first_token: Duration,
}

/// An import of a kept prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Import {
    /// The store.
    pub store: TargetId,
    /// The object.
    pub object: StoredObject,
}

/// Chooses an engine; `None` if no engine may take the request.
pub fn decide(
    policy: Policy,
    prices: &Prices,
    view: &View,
    ask: &Ask<'_>,
    now: BootTime,
) -> Option<Decision> {
    let candidates: Vec<(&TargetId, &EngineView)> =
        view.engines.iter().filter(|(id, engine)| may_take(id, engine, ask, now)).collect();
    let chosen = match policy {
        Policy::RoundRobin => {
            let position = ask.draw as usize % candidates.len().max(1);
            candidates.get(position).copied()
        }
        Policy::LeastLoad => least(&candidates, ask.draw, |_, engine| waiting(engine, now)),
        Policy::PrefixSticky => {
            let root = ask.chain.root().unwrap_or(u128::from(ask.draw));
            candidates.iter().copied().max_by_key(|(id, _)| rendezvous(root, id))
        }
        Policy::Cost => return cheapest(&candidates, prices, view, ask, now),
    };
    let (id, engine) = chosen?;
    Some(plan(id, engine, None, ask, now).into_decision())
}

fn may_take(id: &TargetId, engine: &EngineView, ask: &Ask<'_>, now: BootTime) -> bool {
    engine.takes_work
        && engine.model == ask.model
        && !ask.avoid.contains(id)
        && engine.health.admits(engine.running, now)
        && engine.fresh_report(now).is_some_and(|report| {
            report.weight_version.as_ref() == Some(ask.weight_version)
                && report.incarnation == engine.incarnation
        })
}

/// A way to run a request on one engine, with what it costs.
struct Plan<'p> {
    engine: &'p TargetId,
    import: Option<&'p Usable>,
    resident_blocks: usize,
    prefill_tokens: f64,
    first_token_s: f64,
    cost_s: f64,
}

impl Plan<'_> {
    fn into_decision(self) -> Decision {
        Decision {
            engine: self.engine.clone(),
            import: self.import.map(|usable| usable.import.clone()),
            resident_blocks: self.resident_blocks,
            prefill_tokens: self.prefill_tokens.round() as u64,
            first_token: Duration::from_secs_f64(self.first_token_s),
        }
    }
}

fn cheapest(
    candidates: &[(&TargetId, &EngineView)],
    prices: &Prices,
    view: &View,
    ask: &Ask<'_>,
    now: BootTime,
) -> Option<Decision> {
    let imports = usable_imports(view, ask, now);
    let mut plans: Vec<Plan> = Vec::with_capacity(candidates.len());
    for (id, engine) in candidates {
        let mut best = priced(plan(id, engine, None, ask, now), prices);
        for import in &imports {
            let other = priced(plan(id, engine, Some(import), ask, now), prices);
            if other.cost_s < best.cost_s {
                best = other;
            }
        }
        plans.push(best);
    }
    let least = plans.iter().map(|plan| plan.cost_s).min_by(f64::total_cmp)?;
    let limit = least + EQUAL_WITHIN.as_secs_f64();
    let equals: Vec<Plan> = plans.into_iter().filter(|plan| plan.cost_s <= limit).collect();
    let drawn = ask.draw as usize % equals.len().max(1);
    equals.into_iter().nth(drawn).map(Plan::into_decision)
}

/// An import that can be had now, and how long it takes.
struct Usable {
    import: Import,
    transfer: Duration,
}

fn usable_imports(view: &View, ask: &Ask<'_>, now: BootTime) -> Vec<Usable> {
    let mut usable = Vec::new();
    for (store_id, object) in ask.kept {
        let blocks = object.blocks as usize;
        // The key must be one of this very prompt's; anything else is somebody else's.
        if blocks == 0 || ask.chain.keys.get(blocks - 1) != Some(&object.key) {
            continue;
        }
        let Some(store) = view.stores.get(store_id) else { continue };
        if !store.health.admits(0, now) {
            continue;
        }
        let Some(transfer) = store.transfer_time(object.size_bytes, now) else { continue };
        let import = Import { store: store_id.clone(), object: object.clone() };
        usable.push(Usable { import, transfer });
    }
    usable
}

fn plan<'p>(
    id: &'p TargetId,
    engine: &EngineView,
    import: Option<&'p Usable>,
    ask: &Ask<'_>,
    now: BootTime,
) -> Plan<'p> {
    let resident = engine.residency.resident(&ask.chain.keys);
    let believed = resident as f64 * engine.residency.trust();
    let imported = import.map_or(0, |usable| usable.import.object.blocks as usize);
    let reused_blocks = believed.max(imported as f64);
    let reused = (reused_blocks * BLOCK_TOKENS as f64).min(ask.chain.tokens as f64);
    let prefill_tokens = ask.chain.tokens as f64 - reused;
    let rate = engine
        .fresh_report(now)
        .map_or(ASSUMED_TOKENS_PER_S, |report| report.prefill_tokens_per_s)
        .max(1.0);
    let transfer = import.map_or(Duration::ZERO, |usable| usable.transfer);
    // The import runs while others prefill, so the longer of the two waits counts.
    let wait = waiting(engine, now).max(transfer);
    let first_token_s = wait.as_secs_f64() + prefill_tokens / rate;
    Plan {
        engine: id,
        import,
        resident_blocks: resident,
        prefill_tokens,
        first_token_s,
        cost_s: first_token_s,
    }
}

fn priced<'p>(mut plan: Plan<'p>, prices: &Prices) -> Plan<'p> {
    let link_mib =
        plan.import.map_or(0.0, |usable| usable.import.object.size_bytes as f64 / MEBIBYTE);
    let recomputed = plan.prefill_tokens / KILOTOKEN;
    plan.cost_s += link_mib * prices.link_s_per_mib;
    plan.cost_s += recomputed * prices.recompute_s_per_kilotoken;
    plan
}

/// How long a request that is sent now waits before its own prefill starts.
fn waiting(engine: &EngineView, now: BootTime) -> Duration {
    let report = engine.fresh_report(now);
    let rate = report.map_or(ASSUMED_TOKENS_PER_S, |report| report.prefill_tokens_per_s).max(1.0);
    let prefill = Duration::from_secs_f64(engine.queued_tokens(now) as f64 / rate);
    let places = report.map_or(1, |report| report.max_batch).max(1);
    let over = (engine.requests(now) + 1).saturating_sub(places);
    prefill + PLACE_HELD * over / places
}

fn least<'v>(
    candidates: &[(&'v TargetId, &'v EngineView)],
    draw: u64,
    cost: impl Fn(&TargetId, &EngineView) -> Duration,
) -> Option<(&'v TargetId, &'v EngineView)> {
    let least = candidates.iter().map(|(id, engine)| cost(id, engine)).min()?;
    let limit = least + EQUAL_WITHIN;
    let equals: Vec<_> =
        candidates.iter().filter(|(id, engine)| cost(id, engine) <= limit).collect();
    equals.get(draw as usize % equals.len().max(1)).map(|chosen| **chosen)
}

/// Rendezvous weight of a target for a key: each key goes to the target with the highest.
pub fn rendezvous(key: u128, id: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(id.as_bytes());
    let mut weight = [0; 8];
    weight.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(weight)
}
