//! Each role at the two-year size, worked out from the slopes.

use super::benchmarks::append_wire_bytes;
use super::cost_models::CostModels;
use super::planned_scale::PlannedScale;
use crate::route::residency::MAX_TRACKED_BLOCKS;

/// Share of requests that are marked not repeatable, assumed.
const NON_REPEATABLE_SHARE: f64 = 0.02;
/// Share of requests whose prompt returns, so that it is looked up and noted, assumed.
const RETURNING_PROMPT_SHARE: f64 = 0.7;
/// Tokens of such a prompt, assumed.
const PROMPT_TOKENS: f64 = 2_000.0;
/// Blocks of such a prompt.
const PROMPT_BLOCKS: f64 = 16.0;
/// Renewals a second of one node.
const RENEWALS_PER_S: f64 = 1.0;
/// Reads of the platform's list a second of one node, by the default settings.
const LIST_READS_PER_S: f64 = 2.0;
/// Reads of one engine's reports a second, by the default settings.
const REPORT_READS_PER_S: f64 = 4.0;
/// Engines of one model that a node watches, by the default settings.
const WATCHED_ENGINES_PER_MODEL: f64 = 64.0;
/// Blocks remembered of all engines' caches together.
const TRACKED_BLOCKS: f64 = 131_072.0;
/// Changes of a target a day that make a node read the whole list: starts, leavings, failures.
const TARGET_CHANGES_PER_DAY: f64 = 2_000.0;
/// A read of a list that has not changed, with headers.
const NOT_MODIFIED_BYTES: f64 = 300.0;
/// Accounts with requests at one node within a lease: no more than its requests a second.
const ACTIVE_ACCOUNTS: f64 = 20.0;
/// Plans of orders a second of the leader.
const PLANS_PER_S: f64 = 3.3;
/// Seconds for which claims are kept.
const CLAIM_RETENTION_S: f64 = 86_400.0;
/// Replicas that a leader sends entries to, of five.
const FOLLOWERS: f64 = 4.0;
/// Claims that one sync makes durable when they come at this rate, assumed.
const CLAIMS_PER_SYNC: f64 = 8.0;
const US_PER_S: f64 = 1e6;

/// One role on one node at the two-year size.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleLoad {
    /// Its name.
    pub name: &'static str,
    /// Messages a second, sent and received.
    pub messages_per_s: f64,
    /// Bytes a second, sent and received.
    pub bytes_per_s: f64,
    /// Share of a core.
    pub cores: f64,
    /// Bytes of memory.
    pub memory_bytes: f64,
    /// Whether it counts against the limits of control; the rest serves requests.
    pub is_control: bool,
    /// Whether it runs on the hosts set aside, so not on every node.
    pub on_dedicated_host: bool,
    /// How the figures come about.
    pub formula: String,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
}

/// All roles.
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

/// All control on one node that is not set aside, and the part of it that can't be helped by
/// leaving out what does not fit.
pub fn total_load(roles: &[RoleLoad], excluded: &[&str]) -> RoleLoad {
    let included = || {
        roles.iter().filter(|role| {
            role.is_control && !role.on_dedicated_host && !excluded.contains(&role.name)
        })
    };
    let sum = |value: fn(&RoleLoad) -> f64| included().map(value).filter(|v| !v.is_nan()).sum();
    let name =
        if excluded.is_empty() { "all control on a relay" } else { "the same without these" };
    RoleLoad {
        name,
        messages_per_s: sum(|role| role.messages_per_s),
        bytes_per_s: sum(|role| role.bytes_per_s),
        cores: sum(|role| role.cores),
        memory_bytes: sum(|role| role.memory_bytes),
        is_control: true,
        on_dedicated_host: false,
        formula: if excluded.is_empty() {
            "sum of all control above that is not set aside".into()
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
            "{requests_per_s:.1} requests/s × {chain_us:.0} µs to cut {PROMPT_TOKENS:.0} tokens; relaying \
             {:.0} tokens/s is not in it (see the measured cost of a node)",
            scale.tokens_per_s / scale.nodes
        ),
        mechanism: "each node decides and streams what reaches it",
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
             memory of {TRACKED_BLOCKS:.0} remembered blocks × {:.0} bytes",
            costs.engine_view_bytes.per_unit / MAX_TRACKED_BLOCKS as f64
        ),
        mechanism: "pure decision over the watched engines of one model",
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
            "{watched_engines:.0} engines watched × {REPORT_READS_PER_S:.0} reads/s × 2 (load and events)"
        ),
        mechanism: "every node reads each engine that it watches",
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
        mechanism: "conditional reads with an ETag; leaving also spreads with membership",
    }
}

fn prefix_catalog_owner(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let lookups_per_s = scale.requests_per_node() * RETURNING_PROMPT_SHARE;
    let contexts = scale.contexts_per_node();
    RoleLoad {
        name: "whereabouts owner",
        messages_per_s: lookups_per_s * 4.0,
        // Asked and answering: every node does both.
        bytes_per_s: lookups_per_s * costs.context_wire_bytes.at(PROMPT_BLOCKS) * 2.0,
        cores: cores(lookups_per_s * costs.catalog_us.at_log_growth(contexts)),
        memory_bytes: costs.catalog_bytes.at(contexts),
        is_control: false,
        on_dedicated_host: false,
        formula: format!(
            "{lookups_per_s:.1} lookups and notes/s × {:.1} µs; {contexts:.0} contexts × {:.0} bytes",
            costs.catalog_us.at_log_growth(contexts),
            costs.catalog_bytes.per_unit
        ),
        mechanism: "two owners by rendezvous hashing; rebuilt from inventories",
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
        mechanism: "deltas ride on renewals along leader, relay, node",
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
    // Asked and asking: every node does both.
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
            "{ACTIVE_ACCOUNTS:.0} accounts active at a node (at most one for each request a second), \
             each asked for once a second; {:.1} µs at {holders:.0} holders",
            costs.share_us.at(holders)
        ),
        mechanism: "one owner an account by rendezvous hashing; leases of shares",
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
            "{known_nodes:.0} nodes known: {:.0} µs/s and {:.0} bytes/s sent, as many received",
            costs.swim_us_per_s.at(known_nodes),
            costs.swim_bytes_per_s.at(known_nodes)
        ),
        mechanism: "SWIM-like probes; one group over all regions today",
    }
}

fn claims(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let claims_per_s = scale.requests_per_s * NON_REPEATABLE_SHARE;
    let retained_claims = claims_per_s * CLAIM_RETENTION_S;
    let syncs_per_s = claims_per_s * 2.0 / CLAIMS_PER_SYNC;
    let sync_us = costs.sync_us.at(CLAIMS_PER_SYNC);
    RoleLoad {
        name: "claims, one group",
        messages_per_s: claims_per_s * 2.0 * (2.0 + FOLLOWERS * 2.0),
        bytes_per_s: claims_per_s * costs.claim_log_bytes.per_unit * (1.0 + FOLLOWERS),
        cores: cores(claims_per_s * costs.claim_us.at_log_growth(retained_claims)),
        memory_bytes: costs.claim_bytes.at(retained_claims),
        is_control: true,
        on_dedicated_host: true,
        formula: format!(
            "{claims_per_s:.0} claims/s ({:.0} % of requests) × {:.0} µs; {retained_claims:.0} held for a day × \
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
             65,536 remembered answers"
        ),
        mechanism: "Raft of our own; five replicas on hosts set aside",
    }
}

fn order_planning(costs: &CostModels, scale: &PlannedScale) -> RoleLoad {
    let plan_us = costs.plan_us.at(scale.engines);
    RoleLoad {
        name: "orders",
        messages_per_s: PLANS_PER_S,
        bytes_per_s: 0.0,
        cores: cores(plan_us * PLANS_PER_S),
        memory_bytes: scale.engines * 200.0,
        is_control: true,
        on_dedicated_host: true,
        formula: format!(
            "{PLANS_PER_S} plans/s × {plan_us:.0} µs at {:.0} engines, while a roll-out is under way",
            scale.engines
        ),
        mechanism: "the log's leader plans over all engines",
    }
}
