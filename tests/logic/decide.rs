//! The decision, by tables.

use std::time::Duration;

use kumquatpost::config::{Policy, Prices};
use kumquatpost::peer::message::Dispatched;
use kumquatpost::prompt::{BLOCK_TOKENS, Chain, Owner};
use kumquatpost::route::{Ask, Decision, EngineView, Router, StoreView, View, decide};
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
    engine.take_report(report, NOW);
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
    View { engines, stores: [("s".to_string(), store(0))].into(), nodes: 1 }
}

fn kept(chain: &Chain, blocks: usize) -> (String, StoredObject) {
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

fn ask<'a>(chain: &'a Chain, version: &'a String, kept: &'a [(String, StoredObject)]) -> Ask<'a> {
    Ask { model: "mechanic", weight_version: version, chain, kept, avoid: &[], draw: 0 }
}

fn cost(view: &View, kept: &[(String, StoredObject)]) -> Option<Decision> {
    let (chain, version) = (chain(), "v1".to_string());
    decide(Policy::Cost, &Prices::default(), view, &ask(&chain, &version, kept), NOW)
}

#[test]
fn only_engines_that_may_take_the_request_are_chosen() {
    type Change = fn(&mut EngineView);
    let cases: [(&str, Change); 7] = [
        ("leaving", |e| e.takes_work = false),
        ("another model", |e| e.model = "counter".into()),
        ("another version", |e| {
            let (_, report) = e.report.as_mut().expect("a report");
            report.weight_version = Some("v2".into());
        }),
        ("loading weights", |e| e.report.as_mut().expect("a report").1.weight_version = None),
        ("an old report", |e| e.report.as_mut().expect("a report").0 = Duration::from_secs(90)),
        ("no report", |e| e.report = None),
        ("a report of an earlier start", |e| e.incarnation = 2),
    ];
    let policies = [Policy::RoundRobin, Policy::LeastLoad, Policy::PrefixSticky, Policy::Cost];
    for policy in policies {
        for (what, change) in &cases {
            let mut bad = engine(0);
            change(&mut bad);
            let view = view(vec![("bad", bad), ("good", engine(90_000))]);
            let (chain, version) = (chain(), "v1".to_string());
            for draw in 0..4 {
                let ask = Ask { draw, ..ask(&chain, &version, &[]) };
                let chosen = decide(policy, &Prices::default(), &view, &ask, NOW).expect("one");
                assert_eq!(chosen.engine, "good", "{policy:?}: {what}");
                let avoid = ["good".to_string()];
                let ask = Ask { avoid: &avoid, ..ask };
                assert_eq!(decide(policy, &Prices::default(), &view, &ask, NOW), None, "{what}");
            }
        }
    }
}

#[test]
fn cost_weighs_waiting_against_what_is_resident() {
    let chain = chain();
    let cases = [
        ("resident and idle", 0, 0, "resident"),
        ("resident behind a short queue", 2_000, 0, "resident"),
        ("resident behind a long queue", 60_000, 0, "idle"),
        ("both queued", 60_000, 60_000, "resident"),
    ];
    for (what, queued_resident, queued_idle, expected) in cases {
        let mut resident = engine(queued_resident);
        resident.residency.expect(&chain.keys);
        let view = view(vec![("idle", engine(queued_idle)), ("resident", resident)]);
        assert_eq!(cost(&view, &[]).expect("one").engine, expected, "{what}");
    }
}

#[test]
fn an_import_is_chosen_where_it_is_cheapest_and_only_of_this_very_prompt() {
    let chain = chain();
    let all = kept(&chain, BLOCKS);
    let idle = || view(vec![("a", engine(0))]);
    assert!(cost(&idle(), std::slice::from_ref(&all)).expect("one").import.is_some(), "quick link");
    let mut slow = idle();
    slow.stores.insert("s".into(), store(10_000));
    assert_eq!(cost(&slow, std::slice::from_ref(&all)).expect("one").import, None, "long backlog");
    let mut silent = idle();
    silent.stores.get_mut("s").expect("a store").report = None;
    assert_eq!(
        cost(&silent, std::slice::from_ref(&all)).expect("one").import,
        None,
        "unknown link"
    );
    let mut resident = engine(0);
    resident.residency.expect(&chain.keys);
    let there = view(vec![("a", resident)]);
    assert_eq!(cost(&there, std::slice::from_ref(&all)).expect("one").import, None, "resident");
    let foreign = ("s".to_string(), StoredObject { key: 1, ..all.1.clone() });
    assert_eq!(cost(&idle(), &[foreign]).expect("one").import, None, "another prompt's key");
    let moved = ("s".to_string(), StoredObject { blocks: 3, ..all.1.clone() });
    assert_eq!(cost(&idle(), &[moved]).expect("one").import, None, "another place of the chain");
    let pricey = Prices { link_s_per_mib: 10.0, recompute_s_per_kilotoken: 0.0 };
    let (version, kept) = ("v1".to_string(), [all]);
    let decision = decide(Policy::Cost, &pricey, &idle(), &ask(&chain, &version, &kept), NOW);
    assert_eq!(decision.expect("one").import, None, "the link is too dear");
}

#[test]
fn own_dispatches_count_until_a_report_can_know_of_them() {
    // The engine prefills 10 tokens a millisecond meanwhile.
    let at = |ms| NOW + Duration::from_millis(ms);
    let mut engine = engine(1_000);
    engine.unreported.push_back((at(10), 5_000));
    engine.unreported.push_back((at(20), 700));
    assert_eq!(engine.queued_tokens(at(50)), 1_000 + 5_000 + 700 - 500);
    let (_, report) = engine.report.clone().expect("a report");
    engine.take_report(report, at(15));
    assert_eq!(engine.queued_tokens(at(50)), 1_000 + 700 - 350);
    assert_eq!(engine.queued_tokens(at(1_000)), 0, "all of it is done by then");
}

#[test]
fn a_link_works_off_what_waits_for_it() {
    let at = |ms| NOW + Duration::from_millis(ms);
    // 1 MB a millisecond, 50 ms behind.
    let mut store = store(50);
    let time = |store: &StoreView, ms| store.transfer_time(20_000_000, at(ms));
    assert_eq!(time(&store, 0), Some(Duration::from_millis(70)));
    store.note_transfer(100_000_000, at(30));
    assert_eq!(time(&store, 30), Some(Duration::from_millis(140)));
    assert_eq!(time(&store, 140), Some(Duration::from_millis(30)));
    assert_eq!(time(&store, 400), Some(Duration::from_millis(20)), "all of it is done");
    assert_eq!(time(&store, 3_000), None, "an old report says nothing");
}

#[test]
fn equals_share_the_load_and_sticky_keeps_to_one() {
    let names: Vec<String> = (0..6).map(|n| format!("e{n}")).collect();
    let view = view(names.iter().map(|name| (name.as_str(), engine(0))).collect());
    let (chain, version) = (chain(), "v1".to_string());
    for (policy, different) in [
        (Policy::RoundRobin, 6),
        (Policy::LeastLoad, 6),
        (Policy::Cost, 6),
        (Policy::PrefixSticky, 1),
    ] {
        let chosen: std::collections::BTreeSet<String> = (0..60)
            .map(|draw| {
                let ask = Ask { draw, ..ask(&chain, &version, &[]) };
                decide(policy, &Prices::default(), &view, &ask, NOW).expect("one").engine
            })
            .collect();
        assert_eq!(chosen.len(), different, "{policy:?}");
    }
}

#[test]
fn news_of_another_nodes_dispatch_count_for_this_start_of_the_engine_only() {
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
    router.take_list(TargetList { targets: vec![target] });
    let queued = |router: &Router| router.view().engines["e"].queued_tokens(NOW);
    let mut tell = |engine: &str, incarnation| {
        let engine = engine.to_string();
        router.take_dispatched(
            &Dispatched { engine, incarnation, prefill_tokens: 700, import: None },
            NOW,
        );
        queued(&router)
    };
    assert_eq!(tell("e", 1), 0, "an earlier start");
    assert_eq!(tell("x", 2), 0, "an engine that is not known");
    assert_eq!(tell("e", 2), 700);
    for second in 0..10_000 {
        let now = NOW + Duration::from_secs(second);
        let news =
            Dispatched { engine: "e".into(), incarnation: 2, prefill_tokens: 1, import: None };
        router.take_dispatched(&news, now);
    }
    assert!(router.view().engines["e"].unreported.len() < 10, "bounded without reports");
}
