//! Estimates the load of each role at the planned scale from the cost models.

use super::benchmarks::append_wire_bytes;
use super::cost_models::CostModels;
use super::planned_scale::PlannedScale;
use crate::route::residency::MAX_TRACKED_BLOCKS;

/// Share of requests that are marked not repeatable.
const NON_REPEATABLE_SHARE: f64 = 0.02;
/// Share of requests whose prompt returns and is therefore looked up in the prefix catalog.
const RETURNING_PROMPT_SHARE: f64 = 0.7;
/// Length of such a prompt in tokens.
const PROMPT_TOKENS: f64 = 2_000.0;
/// Length of such a prompt in blocks.
const PROMPT_BLOCKS: f64 = 16.0;
/// Lease renewals of one node per second.
const RENEWALS_PER_S: f64 = 1.0;
/// Reads of the platform's target list by one node per second with the default settings.
const LIST_READS_PER_S: f64 = 2.0;
/// Reads of one engine's load reports per second with the default settings.
const REPORT_READS_PER_S: f64 = 4.0;
/// Engines of one model that a node watches with the default settings.
const WATCHED_ENGINES_PER_MODEL: f64 = 64.0;
/// Cached blocks tracked by a router, summed over all engines.
const TRACKED_BLOCKS: f64 = 131_072.0;
/// Starts, departures and failures of targets per day; each makes every node read the whole list.
const TARGET_CHANGES_PER_DAY: f64 = 2_000.0;
/// Size of a request and a "not modified" response, with headers.
const NOT_MODIFIED_BYTES: f64 = 300.0;
/// Accounts with requests at one node during a lease; about the request rate of a node, which bounds it.
const ACTIVE_ACCOUNTS: f64 = 20.0;
/// Load order plans of the leader per second.
const PLANS_PER_S: f64 = 3.3;
/// Time for which claims are retained.
const CLAIM_RETENTION_S: f64 = 86_400.0;
/// Followers in a group of five replicas.
const FOLLOWERS: f64 = 4.0;
/// Number of claims that one sync makes durable at the planned rate.
const CLAIMS_PER_SYNC: f64 = 8.0;
const US_PER_S: f64 = 1e6;

/// The load of one role on one node at the planned scale.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleLoad {
    pub name: &'static str,
    /// Messages sent and received.
    pub messages_per_s: f64,
    /// Bytes sent and received.
    pub bytes_per_s: f64,
    /// Processor use in cores; NaN if it is not estimated.
    pub cores: f64,
    pub memory_bytes: f64,
    /// Whether it counts towards the limits of the control plane; the other roles serve requests.
    pub is_control: bool,
    /// Whether it runs on dedicated hosts rather than on every node.
    pub on_dedicated_host: bool,
    /// How the figures are computed.
    pub formula: String,
    /// How the role is implemented.
    pub mechanism: &'static str,
}

/// The load of every role.
pub fn role_loads(costs: &CostModels, scale: &PlannedScale) -> Vec<RoleLoad> {
    vec![
        entry(costs, scale),
        router(costs, scale),
        report_polling(costs, scale),
        target_list_polling(costs, scale),
        prefix_catalog_owner(costs, scale),
        lease_renewal(costs, scale),
        relay(costs, scale),
        limit_shares(costs, scale),
        membership(costs, scale),
        claims(costs, scale),
        log_leader(costs, scale),
        order_planning(costs, scale),
    ]
}

/// The summed load of the control roles on one node, without dedicated hosts and the `excluded` roles. A
/// processor use that is not estimated counts as 0.
pub fn total_load(roles: &[RoleLoad], excluded: &[&str]) -> RoleLoad {
    let included = || {
        roles.iter().filter(|role| {
            role.is_control && !role.on_dedicated_host && !excluded.contains(&role.name)
        })
    };
    let sum = |value: fn(&RoleLoad) -> f64| included().map(value).filter(|v| !v.is_nan()).sum();
    let name = if excluded.is_empty() {
        "all control on a relay"
    } else {
        "all control on a relay, some roles excluded"
    };
    RoleLoad {
        name,
        messages_per_s: sum(|role| role.messages_per_s),
        bytes_per_s: sum(|role| role.bytes_per_s),
        cores: sum(|role| role.cores),
        memory_bytes: sum(|role| role.memory_bytes),
        is_control: true,
        on_dedicated_host: false,
        formula: if excluded.is_empty() {
            "sum of all control roles above that do not run on dedicated hosts".into()
        } else {
            format!("without: {}", excluded.join(", "))
        },
        mechanism: "",
    }
}

fn cores(us_per_s: f64) -> f64 {
    us_per_s / US_PER_S
}

fn entry(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let requests_per_s = scale.requests_per_node();
    let chain_us = costs.chain_us.at(PROMPT_TOKENS);
    RoleLoad {
        name: "entry",
        messages_per_s: requests_per_s * 2.0,
        bytes_per_s: 0.0,
        cores: cores(requests_per_s * chain_us),
        memory_bytes: 0.0,
        is_control: false,
        on_dedicated_host: false,
        formula: format!(
            "{requests_per_s:.1} requests/s × {chain_us:.0} µs to hash {PROMPT_TOKENS:.0} tokens; without relaying \
             {:.0} tokens/s (see the measured cost of a node)",
            scale.tokens_per_s / scale.nodes
        ),
        mechanism: "each node routes and streams the requests that it receives",
    }
}

fn router(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let requests_per_s = scale.requests_per_node();
    let candidates = scale.engines / scale.models;
    let decide_us = costs.decide_us.at(candidates.min(WATCHED_ENGINES_PER_MODEL));
    RoleLoad {
        name: "router",
        messages_per_s: 0.0,
        bytes_per_s: 0.0,
        cores: cores(requests_per_s * decide_us),
        memory_bytes: costs.engine_view_bytes.per_unit / MAX_TRACKED_BLOCKS as f64 * TRACKED_BLOCKS,
        is_control: true,
        on_dedicated_host: false,
        formula: format!(
            "{requests_per_s:.1} decisions/s × {decide_us:.1} µs at {WATCHED_ENGINES_PER_MODEL:.0} candidates; \
             memory of {TRACKED_BLOCKS:.0} tracked blocks × {:.0} bytes",
            costs.engine_view_bytes.per_unit / MAX_TRACKED_BLOCKS as f64
        ),
        mechanism: "pure function of the watched engines of one model",
    }
}

fn report_polling(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let watched_engines = WATCHED_ENGINES_PER_MODEL * scale.models;
    let reads_per_s = watched_engines * REPORT_READS_PER_S * 2.0;
    RoleLoad {
        name: "reading engines' reports",
        messages_per_s: reads_per_s * 2.0,
        bytes_per_s: costs.report_bytes.at(watched_engines) * REPORT_READS_PER_S * 2.0,
        cores: f64::NAN,
        memory_bytes: 0.0,
        is_control: true,
        on_dedicated_host: false,
        formula: format!(
            "{watched_engines:.0} watched engines × {REPORT_READS_PER_S:.0} reads/s × 2 (load and events)"
        ),
        mechanism: "every node polls each engine that it watches",
    }
}

fn target_list_polling(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let list_us = costs.list_us.at(scale.engines);
    let changes_per_s = TARGET_CHANGES_PER_DAY / 86_400.0;
    RoleLoad {
        name: "reading the platform's list",
        messages_per_s: LIST_READS_PER_S * 2.0,
        bytes_per_s: costs.list_bytes.at(scale.engines) * changes_per_s
            + NOT_MODIFIED_BYTES * LIST_READS_PER_S,
        cores: cores(list_us * changes_per_s),
        memory_bytes: costs.list_bytes.at(scale.engines) * 2.0,
        is_control: true,
        on_dedicated_host: false,
        formula: format!(
            "{LIST_READS_PER_S:.0} conditional reads/s × {NOT_MODIFIED_BYTES:.0} bytes; \
             {TARGET_CHANGES_PER_DAY:.0} changes a day (assumed) × {list_us:.0} µs and {:.0} bytes for \
             {:.0} targets",
            costs.list_bytes.at(scale.engines),
            scale.engines
        ),
        mechanism: "conditional reads with an ETag; departures are also gossiped by the membership protocol",
    }
}

fn prefix_catalog_owner(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let lookups_per_s = scale.requests_per_node() * RETURNING_PROMPT_SHARE;
    let contexts = scale.contexts_per_node();
    RoleLoad {
        name: "prefix catalog owner",
        messages_per_s: lookups_per_s * 4.0,
        // Every node both sends lookups and replies to them.
        bytes_per_s: lookups_per_s * costs.context_wire_bytes.at(PROMPT_BLOCKS) * 2.0,
        cores: cores(lookups_per_s * costs.catalog_us.at_log_growth(contexts)),
        memory_bytes: costs.catalog_bytes.at(contexts),
        is_control: false,
        on_dedicated_host: false,
        formula: format!(
            "{lookups_per_s:.1} lookups and updates/s × {:.1} µs; {contexts:.0} contexts × {:.0} bytes",
            costs.catalog_us.at_log_growth(contexts),
            costs.catalog_bytes.per_unit
        ),
        mechanism: "two owners by rendezvous hashing; rebuilt from the inventories of stores",
    }
}

fn lease_renewal(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let patches_per_renewal = scale.config_changes_per_s / RENEWALS_PER_S;
    let renewal_bytes_per_s = costs.renew_wire_bytes.at(patches_per_renewal) * RENEWALS_PER_S;
    let patch_us = costs.patch_us.at(scale.accounts);
    RoleLoad {
        name: "freshness lease and configuration",
        messages_per_s: RENEWALS_PER_S * 2.0,
        bytes_per_s: renewal_bytes_per_s,
        cores: cores(patch_us * scale.config_changes_per_s),
        memory_bytes: costs.document_bytes.at(scale.accounts) * 4.0,
        is_control: true,
        on_dedicated_host: false,
        formula: format!(
            "1 renewal/s with {patches_per_renewal:.2} patches each; {:.3} patches/s × {patch_us:.0} µs at \
             {:.0} accounts",
            scale.config_changes_per_s, scale.accounts
        ),
        mechanism: "deltas in the renewal replies from the leader to relays and from relays to nodes",
    }
}

fn relay(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let children = scale.nodes_per_domain();
    let patches_per_renewal = scale.config_changes_per_s / RENEWALS_PER_S;
    RoleLoad {
        name: "relay of a failure domain",
        messages_per_s: children * RENEWALS_PER_S * 2.0,
        bytes_per_s: children * costs.renew_wire_bytes.at(patches_per_renewal) * RENEWALS_PER_S,
        cores: cores(children * RENEWALS_PER_S * costs.grant_us.at(children)),
        memory_bytes: children * 64.0,
        is_control: true,
        on_dedicated_host: false,
        formula: format!(
            "{children:.0} children × 1 renewal/s × {:.2} µs",
            costs.grant_us.at(children)
        ),
        mechanism: "the live node with the lowest id in each failure domain",
    }
}

fn limit_shares(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    // Every node both sends share requests and replies to them.
    let share_requests_per_s = ACTIVE_ACCOUNTS * 2.0;
    let holders = scale.nodes_per_region();
    RoleLoad {
        name: "owner of accounts' limits",
        messages_per_s: share_requests_per_s * 2.0,
        bytes_per_s: costs.share_wire_bytes.per_unit * share_requests_per_s,
        cores: cores(ACTIVE_ACCOUNTS * costs.share_us.at(holders)),
        memory_bytes: scale.accounts / scale.nodes * holders * 64.0,
        is_control: true,
        on_dedicated_host: false,
        formula: format!(
            "{ACTIVE_ACCOUNTS:.0} accounts active at a node (at most its requests per second), \
             one share request/s each; {:.1} µs at {holders:.0} holders",
            costs.share_us.at(holders)
        ),
        mechanism: "one owner per account by rendezvous hashing; shares are leased",
    }
}

fn membership(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let known_nodes = scale.nodes;
    RoleLoad {
        name: "membership",
        messages_per_s: 4.0,
        bytes_per_s: costs.swim_bytes_per_s.at(known_nodes) * 2.0,
        cores: cores(costs.swim_us_per_s.at(known_nodes)),
        memory_bytes: known_nodes * 160.0,
        is_control: true,
        on_dedicated_host: false,
        formula: format!(
            "{known_nodes:.0} known nodes: {:.0} µs/s and {:.0} bytes/s sent, the same received",
            costs.swim_us_per_s.at(known_nodes),
            costs.swim_bytes_per_s.at(known_nodes)
        ),
        mechanism: "SWIM-like probes; one group over all regions",
    }
}

fn claims(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let claims_per_s = scale.requests_per_s * NON_REPEATABLE_SHARE;
    let retained_claims = claims_per_s * CLAIM_RETENTION_S;
    let syncs_per_s = claims_per_s * 2.0 / CLAIMS_PER_SYNC;
    let sync_us = costs.sync_us.at(CLAIMS_PER_SYNC);
    RoleLoad {
        name: "claims, one replica group",
        messages_per_s: claims_per_s * 2.0 * (2.0 + FOLLOWERS * 2.0),
        bytes_per_s: claims_per_s * costs.claim_log_bytes.per_unit * (1.0 + FOLLOWERS),
        cores: cores(claims_per_s * costs.claim_us.at_log_growth(retained_claims)),
        memory_bytes: costs.claim_bytes.at(retained_claims),
        is_control: true,
        on_dedicated_host: true,
        formula: format!(
            "{claims_per_s:.0} claims/s ({:.0} % of requests) × {:.0} µs; {retained_claims:.0} retained for a day × \
             {:.0} bytes; {syncs_per_s:.0} syncs/s × {sync_us:.0} µs: the disk is {:.0} % busy",
            NON_REPEATABLE_SHARE * 100.0,
            costs.claim_us.at_log_growth(retained_claims),
            costs.claim_bytes.per_unit,
            syncs_per_s * sync_us / US_PER_S * 100.0
        ),
        mechanism: "replicated log with group commit",
    }
}

fn log_leader(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let changes_per_s = scale.config_changes_per_s;
    let relays = scale.domains;
    let patch_us = costs.patch_us.at(scale.accounts);
    let renewals_per_s = relays * RENEWALS_PER_S;
    RoleLoad {
        name: "log leader, configuration and leases",
        messages_per_s: changes_per_s * FOLLOWERS * 2.0 + renewals_per_s * 2.0 + FOLLOWERS * 20.0,
        bytes_per_s: changes_per_s * append_wire_bytes(200) * FOLLOWERS
            + renewals_per_s * costs.renew_wire_bytes.at(changes_per_s)
            + FOLLOWERS * 20.0 * append_wire_bytes(0),
        cores: cores(changes_per_s * patch_us + renewals_per_s * costs.grant_us.at(relays)),
        memory_bytes: costs.document_bytes.at(scale.accounts) * 4.0 + 65_536.0 * 400.0,
        is_control: true,
        on_dedicated_host: true,
        formula: format!(
            "{changes_per_s:.3} changes/s to {FOLLOWERS:.0} followers, {relays:.0} relays, heartbeats 10/s; \
             65,536 retained answers"
        ),
        mechanism: "Raft; five replicas on dedicated hosts",
    }
}

fn order_planning(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let plan_us = costs.plan_us.at(scale.engines);
    RoleLoad {
        name: "load orders",
        messages_per_s: PLANS_PER_S,
        bytes_per_s: 0.0,
        cores: cores(plan_us * PLANS_PER_S),
        memory_bytes: scale.engines * 200.0,
        is_control: true,
        on_dedicated_host: true,
        formula: format!(
            "{PLANS_PER_S} plans/s × {plan_us:.0} µs at {:.0} engines, during a rollout",
            scale.engines
        ),
        mechanism: "the leader of the log plans for all engines",
    }
}
