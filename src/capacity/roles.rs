//! Each role at the two-year size, worked out from the slopes.

use super::costs::append_wire_bytes;
use super::size::TwoYears;
use super::slopes::Slopes;
use crate::route::residency::MAX_TRACKED_BLOCKS;

/// Share of requests that are marked not repeatable, assumed.
const CLAIMED_SHARE: f64 = 0.02;
/// Share of requests whose prompt returns, so that it is looked up and noted, assumed.
const CONTEXT_SHARE: f64 = 0.7;
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
const WATCHED_PER_MODEL: f64 = 64.0;
/// Blocks remembered of all engines' caches together.
const ALL_BLOCKS: f64 = 131_072.0;
/// Changes of a target a day that make a node read the whole list: starts, leavings, failures.
const LIST_CHANGES_PER_DAY: f64 = 2_000.0;
/// A read of a list that has not changed, with headers.
const UNCHANGED_BYTES: f64 = 300.0;
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
const SECONDS_TO_US: f64 = 1e6;

/// One role on one node at the two-year size.
#[derive(Clone, Debug, PartialEq)]
pub struct Role {
    /// Its name.
    pub name: &'static str,
    /// Messages a second, sent and received.
    pub messages_per_s: f64,
    /// Bytes a second, sent and received.
    pub bytes_per_s: f64,
    /// Share of a core.
    pub core: f64,
    /// Bytes of memory.
    pub memory_bytes: f64,
    /// Whether it counts against the limits of control; the rest serves requests.
    pub control: bool,
    /// Whether it runs on the hosts set aside, so not on every node.
    pub set_aside: bool,
    /// How the figures come about.
    pub formula: String,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
}

/// All roles.
pub fn roles(slopes: &Slopes, size: &TwoYears) -> Vec<Role> {
    vec![
        entry(slopes, size),
        router(slopes, size),
        reports(slopes, size),
        target_list(slopes, size),
        whereabouts(slopes, size),
        lease_node(slopes, size),
        relay(slopes, size),
        limits(slopes, size),
        membership(slopes, size),
        claims(slopes, size),
        log_leader(slopes, size),
        orders(slopes, size),
    ]
}

/// All control on one node that is not set aside, and the part of it that can't be helped by
/// leaving out what does not fit.
pub fn total(roles: &[Role], without: &[&str]) -> Role {
    let counted = || {
        roles.iter().filter(|role| role.control && !role.set_aside && !without.contains(&role.name))
    };
    let sum = |value: fn(&Role) -> f64| counted().map(value).filter(|v| !v.is_nan()).sum();
    let name = if without.is_empty() { "all control on a relay" } else { "the same without these" };
    Role {
        name,
        messages_per_s: sum(|role| role.messages_per_s),
        bytes_per_s: sum(|role| role.bytes_per_s),
        core: sum(|role| role.core),
        memory_bytes: sum(|role| role.memory_bytes),
        control: true,
        set_aside: false,
        formula: if without.is_empty() {
            "sum of all control above that is not set aside".into()
        } else {
            format!("without: {}", without.join(", "))
        },
        mechanism: "",
    }
}

fn core(us_per_s: f64) -> f64 {
    us_per_s / SECONDS_TO_US
}

fn entry(slopes: &Slopes, size: &TwoYears) -> Role {
    let requests = size.requests_per_node();
    let cut_us = slopes.chain_us.at(PROMPT_TOKENS);
    Role {
        name: "entry",
        messages_per_s: requests * 2.0,
        bytes_per_s: 0.0,
        core: core(requests * cut_us),
        memory_bytes: 0.0,
        control: false,
        set_aside: false,
        formula: format!(
            "{requests:.1} requests/s × {cut_us:.0} µs to cut {PROMPT_TOKENS:.0} tokens; relaying \
             {:.0} tokens/s is not in it (see the measured cost of a node)",
            size.tokens_per_s / size.nodes
        ),
        mechanism: "each node decides and streams what reaches it",
    }
}

fn router(slopes: &Slopes, size: &TwoYears) -> Role {
    let requests = size.requests_per_node();
    let candidates = size.engines / size.models;
    let decide_us = slopes.decide_us.at(candidates.min(WATCHED_PER_MODEL));
    Role {
        name: "router",
        messages_per_s: 0.0,
        bytes_per_s: 0.0,
        core: core(requests * decide_us),
        memory_bytes: slopes.engine_view_bytes.each / MAX_TRACKED_BLOCKS as f64 * ALL_BLOCKS,
        control: true,
        set_aside: false,
        formula: format!(
            "{requests:.1} decisions/s × {decide_us:.1} µs at {WATCHED_PER_MODEL:.0} candidates; \
             memory of {ALL_BLOCKS:.0} remembered blocks × {:.0} bytes",
            slopes.engine_view_bytes.each / MAX_TRACKED_BLOCKS as f64
        ),
        mechanism: "pure decision over the watched engines of one model",
    }
}

fn reports(slopes: &Slopes, size: &TwoYears) -> Role {
    let watched = WATCHED_PER_MODEL * size.models;
    let reads = watched * REPORT_READS_PER_S * 2.0;
    Role {
        name: "reading engines' reports",
        messages_per_s: reads * 2.0,
        bytes_per_s: slopes.report_bytes.at(watched) * REPORT_READS_PER_S * 2.0,
        core: f64::NAN,
        memory_bytes: 0.0,
        control: true,
        set_aside: false,
        formula: format!(
            "{watched:.0} engines watched × {REPORT_READS_PER_S:.0} reads/s × 2 (load and events)"
        ),
        mechanism: "every node reads each engine that it watches",
    }
}

fn target_list(slopes: &Slopes, size: &TwoYears) -> Role {
    let list_us = slopes.list_us.at(size.engines);
    let changes_per_s = LIST_CHANGES_PER_DAY / 86_400.0;
    Role {
        name: "reading the platform's list",
        messages_per_s: LIST_READS_PER_S * 2.0,
        bytes_per_s: slopes.list_bytes.at(size.engines) * changes_per_s
            + UNCHANGED_BYTES * LIST_READS_PER_S,
        core: core(list_us * changes_per_s),
        memory_bytes: slopes.list_bytes.at(size.engines) * 2.0,
        control: true,
        set_aside: false,
        formula: format!(
            "{LIST_READS_PER_S:.0} conditional reads/s × {UNCHANGED_BYTES:.0} bytes; \
             {LIST_CHANGES_PER_DAY:.0} changes a day (assumed) × {list_us:.0} µs and {:.0} bytes for \
             {:.0} targets",
            slopes.list_bytes.at(size.engines),
            size.engines
        ),
        mechanism: "conditional reads with an ETag; leaving also spreads with membership",
    }
}

fn whereabouts(slopes: &Slopes, size: &TwoYears) -> Role {
    let looked_up = size.requests_per_node() * CONTEXT_SHARE;
    let contexts = size.contexts_per_node();
    Role {
        name: "whereabouts owner",
        messages_per_s: looked_up * 4.0,
        // Asked and answering: every node does both.
        bytes_per_s: looked_up * slopes.context_wire_bytes.at(PROMPT_BLOCKS) * 2.0,
        core: core(looked_up * slopes.catalog_us.at_by_logarithm(contexts)),
        memory_bytes: slopes.catalog_bytes.at(contexts),
        control: false,
        set_aside: false,
        formula: format!(
            "{looked_up:.1} lookups and notes/s × {:.1} µs; {contexts:.0} contexts × {:.0} bytes",
            slopes.catalog_us.at_by_logarithm(contexts),
            slopes.catalog_bytes.each
        ),
        mechanism: "two owners by rendezvous hashing; rebuilt from inventories",
    }
}

fn lease_node(slopes: &Slopes, size: &TwoYears) -> Role {
    let patches_each = size.config_changes_per_s / RENEWALS_PER_S;
    let bytes = slopes.renew_wire_bytes.at(patches_each) * RENEWALS_PER_S;
    let patch_us = slopes.patch_us.at(size.accounts);
    Role {
        name: "freshness lease and configuration",
        messages_per_s: RENEWALS_PER_S * 2.0,
        bytes_per_s: bytes,
        core: core(patch_us * size.config_changes_per_s),
        memory_bytes: slopes.document_bytes.at(size.accounts) * 4.0,
        control: true,
        set_aside: false,
        formula: format!(
            "1 renewal/s with {patches_each:.2} patches each; {:.3} patches/s × {patch_us:.0} µs at \
             {:.0} accounts",
            size.config_changes_per_s, size.accounts
        ),
        mechanism: "deltas ride on renewals along leader, relay, node",
    }
}

fn relay(slopes: &Slopes, size: &TwoYears) -> Role {
    let children = size.nodes_per_domain();
    let patches_each = size.config_changes_per_s / RENEWALS_PER_S;
    Role {
        name: "relay of a failure domain",
        messages_per_s: children * RENEWALS_PER_S * 2.0,
        bytes_per_s: children * slopes.renew_wire_bytes.at(patches_each) * RENEWALS_PER_S,
        core: core(children * RENEWALS_PER_S * slopes.grant_us.at(children)),
        memory_bytes: children * 64.0,
        control: true,
        set_aside: false,
        formula: format!(
            "{children:.0} children × 1 renewal/s × {:.2} µs",
            slopes.grant_us.at(children)
        ),
        mechanism: "the live node with the lowest id in each failure domain",
    }
}

fn limits(slopes: &Slopes, size: &TwoYears) -> Role {
    // Asked and asking: every node does both.
    let asks = ACTIVE_ACCOUNTS * 2.0;
    let holders = size.nodes_per_region();
    Role {
        name: "owner of accounts' limits",
        messages_per_s: asks * 2.0,
        bytes_per_s: slopes.share_wire_bytes.each * asks,
        core: core(ACTIVE_ACCOUNTS * slopes.share_us.at(holders)),
        memory_bytes: size.accounts / size.nodes * holders * 64.0,
        control: true,
        set_aside: false,
        formula: format!(
            "{ACTIVE_ACCOUNTS:.0} accounts active at a node (at most one for each request a second), \
             each asked for once a second; {:.1} µs at {holders:.0} holders",
            slopes.share_us.at(holders)
        ),
        mechanism: "one owner an account by rendezvous hashing; leases of shares",
    }
}

fn membership(slopes: &Slopes, size: &TwoYears) -> Role {
    let known = size.nodes;
    Role {
        name: "membership",
        messages_per_s: 4.0,
        bytes_per_s: slopes.swim_bytes_per_s.at(known) * 2.0,
        core: core(slopes.swim_us_per_s.at(known)),
        memory_bytes: known * 160.0,
        control: true,
        set_aside: false,
        formula: format!(
            "{known:.0} nodes known: {:.0} µs/s and {:.0} bytes/s sent, as many received",
            slopes.swim_us_per_s.at(known),
            slopes.swim_bytes_per_s.at(known)
        ),
        mechanism: "SWIM-like probes; one group over all regions today",
    }
}

fn claims(slopes: &Slopes, size: &TwoYears) -> Role {
    let claimed = size.requests_per_s * CLAIMED_SHARE;
    let held = claimed * CLAIM_RETENTION_S;
    let syncs = claimed * 2.0 / CLAIMS_PER_SYNC;
    let sync_us = slopes.sync_us.at(CLAIMS_PER_SYNC);
    Role {
        name: "claims, one group",
        messages_per_s: claimed * 2.0 * (2.0 + FOLLOWERS * 2.0),
        bytes_per_s: claimed * slopes.claim_log_bytes.each * (1.0 + FOLLOWERS),
        core: core(claimed * slopes.claim_us.at_by_logarithm(held)),
        memory_bytes: slopes.claim_bytes.at(held),
        control: true,
        set_aside: true,
        formula: format!(
            "{claimed:.0} claims/s ({:.0} % of requests) × {:.0} µs; {held:.0} held for a day × \
             {:.0} bytes; {syncs:.0} syncs/s × {sync_us:.0} µs: the disk is {:.0} % busy",
            CLAIMED_SHARE * 100.0,
            slopes.claim_us.at_by_logarithm(held),
            slopes.claim_bytes.each,
            syncs * sync_us / SECONDS_TO_US * 100.0
        ),
        mechanism: "replicated log with group commit",
    }
}

fn log_leader(slopes: &Slopes, size: &TwoYears) -> Role {
    let changes = size.config_changes_per_s;
    let relays = size.domains;
    let patch_us = slopes.patch_us.at(size.accounts);
    let renewals = relays * RENEWALS_PER_S;
    Role {
        name: "log leader, configuration and leases",
        messages_per_s: changes * FOLLOWERS * 2.0 + renewals * 2.0 + FOLLOWERS * 20.0,
        bytes_per_s: changes * append_wire_bytes(200) * FOLLOWERS
            + renewals * slopes.renew_wire_bytes.at(changes)
            + FOLLOWERS * 20.0 * append_wire_bytes(0),
        core: core(changes * patch_us + renewals * slopes.grant_us.at(relays)),
        memory_bytes: slopes.document_bytes.at(size.accounts) * 4.0 + 65_536.0 * 400.0,
        control: true,
        set_aside: true,
        formula: format!(
            "{changes:.3} changes/s to {FOLLOWERS:.0} followers, {relays:.0} relays, heartbeats 10/s; \
             65,536 remembered answers"
        ),
        mechanism: "Raft of our own; five replicas on hosts set aside",
    }
}

fn orders(slopes: &Slopes, size: &TwoYears) -> Role {
    let plan_us = slopes.plan_us.at(size.engines);
    Role {
        name: "orders",
        messages_per_s: PLANS_PER_S,
        bytes_per_s: 0.0,
        core: core(plan_us * PLANS_PER_S),
        memory_bytes: size.engines * 200.0,
        control: true,
        set_aside: true,
        formula: format!(
            "{PLANS_PER_S} plans/s × {plan_us:.0} µs at {:.0} engines, while a roll-out is under way",
            size.engines
        ),
        mechanism: "the log's leader plans over all engines",
    }
}
