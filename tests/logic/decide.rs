//! The routing decision: eligibility, cost, imports, and the estimates of queues and links.

use std::time::Duration;

use kumquatpost::config::{Policy, Prices};

use kumquatpost::peer::message::Dispatched;
use kumquatpost::prompt::{BLOCK_TOKENS, Chain, Owner};
use kumquatpost::route::{Decision, EngineView, RouteRequest, Router, StoreView, View, decide};
use kumquatpost::upstream::api::{
    LoadReport, Presence, Role, StoreReport, StoredObject, Target, TargetList,
};

const NOW: Duration = Duration::from_secs(100);
const BLOCKS: usize = 20;

fn chain() -> Chain {
    let owner = Owner {
        account: "anna".into(),
        model: "mechanic".into(),
        weight_version: "v1".into(),
        adapter: String::new(),
    };
    Chain::new(&owner, &"history ".repeat(BLOCKS * BLOCK_TOKENS))
}

fn engine(queued: u64) -> EngineView {
    let mut engine = EngineView::new("mechanic", "http://e", "patan", 1);
    let report = LoadReport {
        incarnation: 1,
        queued_prefill_tokens: queued,
        max_batch: 16,
        prefill_tokens_per_s: 10_000.0,
        weight_version: Some("v1".into()),
        reproducible: true,
        ..LoadReport::default()
    };
    engine.apply_report(report, NOW);
    engine
}

fn store(backlog_ms: u64) -> StoreView {
    let mut store = StoreView::new("http://s", "patan");
    let report = StoreReport { link_bytes_per_s: 1e9, backlog_ms, ..StoreReport::default() };
    store.report = Some((NOW, report));
    store
}

fn view(engines: Vec<(&str, EngineView)>) -> View {
    let engines = engines.into_iter().map(|(id, engine)| (id.to_string(), engine)).collect();
    View { engines, stores: [("s".to_string(), store(0))].into(), live_nodes: 1 }
}

fn stored_prefix(chain: &Chain, blocks: usize) -> (String, StoredObject) {
    let object = StoredObject {
        root: chain.keys[0],
        key: chain.keys[blocks - 1],
        generation: 1,
        blocks: blocks as u32,
        size_bytes: 10_000_000,
        checksum: 0,
    };
    ("s".to_string(), object)
}

fn request<'a>(
    chain: &'a Chain,
    version: &'a String,
    stored_prefixes: &'a [(String, StoredObject)],
) -> RouteRequest<'a> {
    RouteRequest {
        model: "mechanic",
        weight_version: version,
        chain,
        stored_prefixes,
        excluded_engines: &[],
        request_number: 0,
    }
}

fn decide_by_cost(view: &View, stored_prefixes: &[(String, StoredObject)]) -> Option<Decision> {
    let (chain, version) = (chain(), "v1".to_string());
    decide(Policy::Cost, &Prices::default(), view, &request(&chain, &version, stored_prefixes), NOW)
}

#[test]
fn only_eligible_engines_are_chosen() {
    type Change = fn(&mut EngineView);
    let cases: [(&str, Change); 7] = [
        ("leaving", |e| e.takes_work = false),
        ("another model", |e| e.model = "counter".into()),
        ("another version", |e| {
            let (_, report) = e.report.as_mut().expect("no report");
            report.weight_version = Some("v2".into());
        }),
        ("loading weights", |e| e.report.as_mut().expect("no report").1.weight_version = None),
        ("an outdated report", |e| {
            e.report.as_mut().expect("no report").0 = Duration::from_secs(90)
        }),
        ("no report", |e| e.report = None),
        ("a report of an earlier incarnation", |e| e.incarnation = 2),
    ];
    let policies = [Policy::RoundRobin, Policy::LeastLoad, Policy::PrefixSticky, Policy::Cost];
    for policy in policies {
        for (case_name, change) in &cases {
            let mut ineligible = engine(0);
            change(&mut ineligible);
            let view = view(vec![("bad", ineligible), ("good", engine(90_000))]);
            let (chain, version) = (chain(), "v1".to_string());
            for request_number in 0..4 {
                let request = RouteRequest { request_number, ..request(&chain, &version, &[]) };
                let chosen = decide(policy, &Prices::default(), &view, &request, NOW)
                    .expect("no engine was chosen");
                assert_eq!(chosen.engine, "good", "{policy:?}: {case_name}");
                let excluded_engines = ["good".to_string()];
                let request = RouteRequest { excluded_engines: &excluded_engines, ..request };
                assert_eq!(
                    decide(policy, &Prices::default(), &view, &request, NOW),
                    None,
                    "{case_name}"
                );
            }
        }
    }
}

#[test]
fn cost_weighs_queueing_against_resident_blocks() {
    let chain = chain();
    let cases = [
        ("resident and idle", 0, 0, "resident"),
        ("resident behind a short queue", 2_000, 0, "resident"),
        ("resident behind a long queue", 60_000, 0, "idle"),
        ("both queued", 60_000, 60_000, "resident"),
    ];
    for (case_name, queued_resident, queued_idle, expected) in cases {
        let mut resident = engine(queued_resident);
        resident.residency.expect_resident(&chain.keys);
        let view = view(vec![("idle", engine(queued_idle)), ("resident", resident)]);
        assert_eq!(
            decide_by_cost(&view, &[]).expect("no engine was chosen").engine,
            expected,
            "{case_name}"
        );
    }
}

#[test]
fn an_import_is_chosen_only_if_it_is_cheapest_and_of_the_same_prefix() {
    let chain = chain();
    let whole_prefix = stored_prefix(&chain, BLOCKS);
    let idle = || view(vec![("a", engine(0))]);
    assert!(
        decide_by_cost(&idle(), std::slice::from_ref(&whole_prefix))
            .expect("no engine was chosen")
            .import
            .is_some(),
        "fast link"
    );
    let mut slow = idle();
    slow.stores.insert("s".into(), store(10_000));
    assert_eq!(
        decide_by_cost(&slow, std::slice::from_ref(&whole_prefix))
            .expect("no engine was chosen")
            .import,
        None,
        "long backlog"
    );
    let mut without_report = idle();
    without_report.stores.get_mut("s").expect("unknown store").report = None;
    assert_eq!(
        decide_by_cost(&without_report, std::slice::from_ref(&whole_prefix))
            .expect("no engine was chosen")
            .import,
        None,
        "unknown link"
    );
    let mut resident = engine(0);
    resident.residency.expect_resident(&chain.keys);
    let already_resident = view(vec![("a", resident)]);
    assert_eq!(
        decide_by_cost(&already_resident, std::slice::from_ref(&whole_prefix))
            .expect("no engine was chosen")
            .import,
        None,
        "resident"
    );
    let foreign = ("s".to_string(), StoredObject { key: 1, ..whole_prefix.1.clone() });
    assert_eq!(
        decide_by_cost(&idle(), &[foreign]).expect("no engine was chosen").import,
        None,
        "another prompt's key"
    );
    let misplaced = ("s".to_string(), StoredObject { blocks: 3, ..whole_prefix.1.clone() });
    assert_eq!(
        decide_by_cost(&idle(), &[misplaced]).expect("no engine was chosen").import,
        None,
        "another position in the chain"
    );
    let high_link_price = Prices { link_s_per_mib: 10.0, recompute_s_per_kilotoken: 0.0 };
    let (version, stored_prefixes) = ("v1".to_string(), [whole_prefix]);
    let decision = decide(
        Policy::Cost,
        &high_link_price,
        &idle(),
        &request(&chain, &version, &stored_prefixes),
        NOW,
    );
    assert_eq!(decision.expect("no engine was chosen").import, None, "the link is too expensive");
}

#[test]
fn own_dispatches_count_until_a_later_report_includes_them() {
    // The engine prefills 10 tokens per millisecond.
    let at = |ms| NOW + Duration::from_millis(ms);
    let mut engine = engine(1_000);
    engine.unreported.push_back((at(10), 5_000));
    engine.unreported.push_back((at(20), 700));
    assert_eq!(engine.queued_tokens(at(50)), 1_000 + 5_000 + 700 - 500);
    let (_, report) = engine.report.clone().expect("no report");
    engine.apply_report(report, at(15));
    assert_eq!(engine.queued_tokens(at(50)), 1_000 + 700 - 350);
    assert_eq!(engine.queued_tokens(at(1_000)), 0, "the queue is empty");
}

#[test]
fn the_backlog_of_a_link_drains_over_time() {
    let at = |ms| NOW + Duration::from_millis(ms);
    // The link transfers 1 MB per millisecond and has a backlog of 50 ms.
    let mut store = store(50);
    let transfer_time = |store: &StoreView, ms| store.transfer_time(20_000_000, at(ms));
    assert_eq!(transfer_time(&store, 0), Some(Duration::from_millis(70)));
    store.record_transfer(100_000_000, at(30));
    assert_eq!(transfer_time(&store, 30), Some(Duration::from_millis(140)));
    assert_eq!(transfer_time(&store, 140), Some(Duration::from_millis(30)));
    assert_eq!(transfer_time(&store, 400), Some(Duration::from_millis(20)), "the backlog is empty");
    assert_eq!(transfer_time(&store, 3_000), None, "the report is outdated");
}

#[test]
fn equal_engines_share_the_load_except_under_the_sticky_policy() {
    let names: Vec<String> = (0..6).map(|n| format!("e{n}")).collect();
    let view = view(names.iter().map(|name| (name.as_str(), engine(0))).collect());
    let (chain, version) = (chain(), "v1".to_string());
    for (policy, expected_engines) in [
        (Policy::RoundRobin, 6),
        (Policy::LeastLoad, 6),
        (Policy::Cost, 6),
        (Policy::PrefixSticky, 1),
    ] {
        let chosen: std::collections::BTreeSet<String> = (0..60)
            .map(|request_number| {
                let request = RouteRequest { request_number, ..request(&chain, &version, &[]) };
                decide(policy, &Prices::default(), &view, &request, NOW)
                    .expect("no engine was chosen")
                    .engine
            })
            .collect();
        assert_eq!(chosen.len(), expected_engines, "{policy:?}");
    }
}

#[test]
fn a_dispatch_by_a_peer_counts_only_for_the_current_incarnation_of_its_engine() {
    let target = Target {
        id: "e".into(),
        incarnation: 2,
        role: Role::Engine { model: "mechanic".into() },
        url: "http://e".into(),
        failure_domain: "patan".into(),
        presence: Presence::Live,
        checks_fencing: true,
    };
    let mut router = Router::new(1, 64);
    router.apply_list(TargetList { targets: vec![target] });
    let queued = |router: &Router| router.view().engines["e"].queued_tokens(NOW);
    let mut record_dispatch = |engine: &str, incarnation| {
        let engine = engine.to_string();
        router.record_peer_dispatch(
            &Dispatched { engine, incarnation, prefill_tokens: 700, import: None },
            NOW,
        );
        queued(&router)
    };
    assert_eq!(record_dispatch("e", 1), 0, "an earlier incarnation");
    assert_eq!(record_dispatch("x", 2), 0, "an unknown engine");
    assert_eq!(record_dispatch("e", 2), 700);
    for second in 0..10_000 {
        let now = NOW + Duration::from_secs(second);
        let dispatch =
            Dispatched { engine: "e".into(), incarnation: 2, prefill_tokens: 1, import: None };
        router.record_peer_dispatch(&dispatch, now);
    }
    assert!(router.view().engines["e"].unreported.len() < 10, "must be bounded without reports");
}
